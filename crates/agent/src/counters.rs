//! Counters, each only ever growing, shared by the agent's threads. Each has a key in the JSON of the HTTP port, which
//! is public and stays, and a name in full here.

use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident => $key:literal;)*) => {
        /// All counters of the agent.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: AtomicU64,)*
        }

        impl Counters {
            /// All counters, by their public keys.
            pub fn all(&self) -> std::collections::BTreeMap<&'static str, u64> {
                [$(($key, self.$name.load(Ordering::Relaxed)),)*].into()
            }
        }
    };
}

counters! {
    /// Messages queued for peers.
    messages_sent => "sent";
    /// Messages to peers that were dropped: the queue was full or there was no connection.
    outbound_messages_dropped => "unsent";
    /// Messages received from peers.
    messages_received => "received";
    /// Messages from peers that were dropped: the engine's queue was full.
    inbound_messages_dropped => "overrun";
    /// Violations of the peer protocol, such as malformed frames; each ended its connection.
    protocol_violations => "unreadable";
    /// Hellos of peers that were rejected.
    hellos_rejected => "hellos_refused";
    /// Connections to peers that were established.
    connections_established => "connected";
    /// Connections to peers that could not be established or that failed.
    connections_failed => "disconnected";
    /// Batches committed to the store.
    batches_committed => "commits";
    /// Log entries committed to the store.
    entries_committed => "entries";
    /// Time spent in commits, in microseconds.
    commit_time_us => "commit_us";
    /// Snapshots written, whether from compaction or from the leader.
    snapshots_written => "snapshots";
    /// How often this instance became leader.
    elections_won => "led";
    /// How often the process was paused for longer than an election timeout.
    process_pauses => "freezes";
    /// Requests on the HTTP port.
    http_requests => "requests";
    /// Requests shed because too many were pending.
    requests_shed => "busy";
    /// Proposals that were applied within their timeout.
    proposals_applied => "applied";
    /// Proposals that got no answer within their timeout.
    proposals_timed_out => "unanswered";
    /// Leases acquired by this instance.
    leases_acquired => "granted";
    /// Verdicts reported by proxies.
    verdicts_reported => "verdicts";
}

/// Adds one to a counter.
pub fn count(counter: &AtomicU64) {
    add(counter, 1);
}

/// Adds to a counter.
pub fn add(counter: &AtomicU64, amount: u64) {
    counter.fetch_add(amount, Ordering::Relaxed);
}

//! Monotonic counters shared by the agent's threads. Each has a field name in the code and a fixed key in the
//! JSON of the HTTP port, which is part of the public interface.

use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident => $key:literal;)*) => {
        /// All counters of the agent.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: AtomicU64,)*
        }

        impl Counters {
            /// Returns the values of all counters, by their public keys.
            pub fn values_by_key(&self) -> std::collections::BTreeMap<&'static str, u64> {
                [$(($key, self.$name.load(Ordering::Relaxed)),)*].into()
            }
        }
    };
}

counters! {
    /// Messages queued for peers.
    messages_sent => "sent";
    /// Messages to peers that were dropped because the queue was full or there was no connection.
    outbound_messages_dropped => "unsent";
    /// Messages received from peers.
    messages_received => "received";
    /// Messages from peers that were dropped because the engine's queue was full.
    inbound_messages_dropped => "overrun";
    /// Connections ended by a violation of the peer protocol, such as a malformed frame.
    protocol_violations => "unreadable";
    /// Hellos from peers that were rejected.
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
    /// Snapshots written to the store, from a compaction or from the leader.
    snapshots_written => "snapshots";
    /// Elections won by this instance.
    elections_won => "led";
    /// Pauses of the process that were longer than an election timeout.
    process_pauses => "freezes";
    /// Requests received on the HTTP port.
    http_requests => "requests";
    /// Requests shed because too many were pending.
    requests_shed => "busy";
    /// Proposals that were applied within their timeout.
    proposals_applied => "applied";
    /// Proposals without an answer within their timeout.
    proposals_timed_out => "unanswered";
    /// Leases acquired by this instance.
    leases_acquired => "granted";
    /// Verdicts reported by proxies.
    verdicts_reported => "verdicts";
}

/// Increments a counter by one.
pub fn increment(counter: &AtomicU64) {
    add(counter, 1);
}

/// Adds an amount to a counter.
pub fn add(counter: &AtomicU64, amount: u64) {
    counter.fetch_add(amount, Ordering::Relaxed);
}

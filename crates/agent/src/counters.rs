//! Counters, each only ever growing, shared by the agent's threads. A counter's name is its key in the JSON of the HTTP
//! port, so names stay.

use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident;)*) => {
        /// All counters of the agent.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: AtomicU64,)*
        }

        impl Counters {
            /// All counters, by name.
            pub fn all(&self) -> std::collections::BTreeMap<&'static str, u64> {
                [$((stringify!($name), self.$name.load(Ordering::Relaxed)),)*].into()
            }
        }
    };
}

counters! {
    /// Messages queued for peers.
    sent;
    /// Messages to peers that were dropped: the queue was full or there was no connection.
    unsent;
    /// Messages received from peers.
    received;
    /// Messages from peers that were dropped: the engine's queue was full.
    overrun;
    /// Violations of the peer protocol, such as malformed frames; each ended its connection.
    unreadable;
    /// Hellos of peers that were rejected.
    hellos_refused;
    /// Connections to peers that were established.
    connected;
    /// Connections to peers that could not be established or that failed.
    disconnected;
    /// Batches committed to the store.
    commits;
    /// Log entries committed to the store.
    entries;
    /// Time spent in commits, in microseconds.
    commit_us;
    /// Snapshots written, whether from compaction or from the leader.
    snapshots;
    /// How often this instance became leader.
    led;
    /// How often the process was paused for longer than an election timeout.
    freezes;
    /// Requests on the HTTP port.
    requests;
    /// Requests shed because too many were pending.
    busy;
    /// Proposals that were applied within their timeout.
    applied;
    /// Proposals that got no answer within their timeout.
    unanswered;
    /// Leases acquired by this instance.
    granted;
    /// Verdicts reported by proxies.
    verdicts;
}

/// Adds one to a counter.
pub fn count(counter: &AtomicU64) {
    add(counter, 1);
}

/// Adds to a counter.
pub fn add(counter: &AtomicU64, amount: u64) {
    counter.fetch_add(amount, Ordering::Relaxed);
}

//! Counters, each only ever growing, shared by the agent's threads.

use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident;)*) => {
        /// What the agent counts.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: AtomicU64,)*
        }

        impl Counters {
            /// All of them, by name.
            pub fn all(&self) -> std::collections::BTreeMap<&'static str, u64> {
                [$((stringify!($name), self.$name.load(Ordering::Relaxed)),)*].into()
            }
        }
    };
}

counters! {
    /// Messages to peers.
    sent;
    /// Messages to peers that found no room or no connection.
    unsent;
    /// Messages of peers.
    received;
    /// Messages of peers that found the core busy.
    overrun;
    /// Frames that could not be read; each ended its connection.
    unreadable;
    /// Hellos refused.
    hellos_refused;
    /// Connections to peers that came up.
    connected;
    /// Connections to peers that did not come up or broke.
    disconnected;
    /// Batches made durable.
    commits;
    /// Entries made durable.
    entries;
    /// Microseconds spent in commits.
    commit_us;
    /// Snapshots folded or installed.
    snapshots;
    /// Times this instance became leader.
    led;
    /// Times the process had not run for longer than an election.
    freezes;
    /// Requests on the local port.
    requests;
    /// Requests refused for want of room.
    busy;
    /// Proposals that were applied in time.
    applied;
    /// Proposals that got no answer in time.
    unanswered;
    /// Grants taken over by this instance.
    granted;
    /// Verdicts of fronts.
    verdicts;
}

/// One more.
pub fn count(counter: &AtomicU64) {
    add(counter, 1);
}

/// So many more.
pub fn add(counter: &AtomicU64, more: u64) {
    counter.fetch_add(more, Ordering::Relaxed);
}

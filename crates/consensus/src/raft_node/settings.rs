//! Settings of a Raft node.

/// The settings of a Raft node. All instances of a cluster should use the same settings except for the seed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RaftSettings {
    /// Minimum ticks without a leader after which an instance starts an election. The actual timeout lies
    /// between this and twice this number, so that instances do not all start elections at once.
    pub election_ticks: usize,
    /// Ticks between heartbeats of a leader.
    pub heartbeat_ticks: usize,
    /// Ticks after which an unanswered proposal or read is passed to the Raft library again, because the
    /// leader to which it was forwarded may have lost it.
    pub retry_ticks: u64,
    /// Maximum number of proposals and reads that wait for an answer at this instance.
    pub max_pending_requests: usize,
    /// Number of applied entries after which the log is compacted into a snapshot.
    pub compact_every: u64,
    /// Number of entries before a snapshot's index that are retained in memory, so that a follower slightly
    /// behind needs no snapshot.
    pub retained_entries: u64,
    /// Maximum size of the entries in one message, in bytes. A single entry is sent regardless of its size.
    pub max_message_bytes: u64,
    /// Maximum size of the entries that a leader has proposed but that are not committed yet, in bytes.
    pub max_uncommitted_bytes: u64,
    /// Seed of the election timeouts, different for each instance.
    pub seed: u64,
}

impl Default for RaftSettings {
    fn default() -> Self {
        Self {
            election_ticks: 10,
            heartbeat_ticks: 2,
            retry_ticks: 10,
            max_pending_requests: 4096,
            compact_every: 10_000,
            retained_entries: 1_000,
            max_message_bytes: 1024 * 1024,
            max_uncommitted_bytes: 16 * 1024 * 1024,
            seed: 0,
        }
    }
}

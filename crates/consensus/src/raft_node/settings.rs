//! How an instance behaves.

/// How an instance behaves. All instances of a cluster should have the same settings, the seed excepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RaftSettings {
    /// Ticks without a leader after which an instance starts an election. The actual timeout is drawn between this
    /// and twice as many, so that not all instances start one at once.
    pub election_ticks: usize,
    /// Ticks between two heartbeats of a leader.
    pub heartbeat_ticks: usize,
    /// Ticks after which a proposal or a read without an answer is given to the Raft library again: the leader that
    /// it was forwarded to may have lost it.
    pub retry_ticks: u64,
    /// Greatest number of proposals and reads that wait for an answer at this instance.
    pub max_pending_requests: usize,
    /// Entries applied before the log is compacted into a snapshot.
    pub compact_every: u64,
    /// Entries kept in memory behind a snapshot, so that a follower a little behind needs no snapshot.
    pub retained_entries: u64,
    /// Greatest number of bytes of entries in one message. A single entry is sent whatever its size.
    pub max_message_bytes: u64,
    /// Greatest number of bytes of entries that a leader has proposed and that are not committed yet.
    pub max_uncommitted_bytes: u64,
    /// Seed of the election timeouts; a different one at each instance.
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

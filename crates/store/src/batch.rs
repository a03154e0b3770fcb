//! The stored types, and the batch that changes them atomically.

use serde::{Deserialize, Serialize};

/// Raft hard state, which an instance must persist before it sends messages that depend on it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Latest term that the instance has seen.
    pub term: u64,
    /// Id of the instance that received its vote in that term; 0 if it has not voted.
    pub vote: u64,
    /// Highest log index known to be committed.
    pub commit: u64,
}

/// Log entry.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Position in the log, starting at 1.
    pub index: u64,
    /// Term in which the entry was proposed.
    pub term: u64,
    /// Kind of the content; the caller defines the values.
    pub kind: u8,
    /// Content, in the caller's encoding.
    pub data: Vec<u8>,
    /// Additional content in the caller's encoding, such as the context of a membership change.
    pub context: Vec<u8>,
}

/// Snapshot of the replicated state at a log index.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Last log index that the snapshot covers.
    pub index: u64,
    /// Term of the entry at that index.
    pub term: u64,
    /// Members at that index, in the caller's encoding.
    pub members: Vec<u8>,
    /// State at that index, in the caller's encoding.
    pub data: Vec<u8>,
}

/// Identity of the instance that owns a store. It is fixed when the store is created.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerIdentity {
    /// Name of the cluster.
    pub cluster: String,
    /// Name of the instance.
    pub name: String,
    /// Random id of the instance, generated when the file is created: a recreated file is a different
    /// instance.
    pub id: u64,
}

/// Set of changes that is applied atomically.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Batch {
    /// New hard state.
    pub hard_state: Option<HardState>,
    /// Snapshot that replaces the stored one and all entries up to its index. Entries after that index are
    /// kept only if the stored log contains the snapshot's last entry, with the same term.
    pub snapshot: Option<Snapshot>,
    /// Entries to append, in order. They replace all stored entries from the index of the first one on.
    pub entries: Vec<LogEntry>,
    /// Changes to the keys of other subsystems: `Some` sets the key's value, `None` removes the key.
    pub key_changes: Vec<(String, Option<Vec<u8>>)>,
}

impl Batch {
    /// Returns whether the batch contains no change.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

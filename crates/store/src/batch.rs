//! What is stored, and a change of it.

use serde::{Deserialize, Serialize};

/// Raft's hard state: what an instance must not forget between two messages.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term that it has seen.
    pub term: u64,
    /// The instance that it voted for in that term; 0: none.
    pub vote: u64,
    /// The last index that it knows to be committed.
    pub commit: u64,
}

/// One entry of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its index in the log, from 1.
    pub index: u64,
    /// The term in which it was proposed.
    pub term: u64,
    /// The kind of its content; the caller defines the numbers.
    pub kind: u8,
    /// The caller's bytes.
    pub data: Vec<u8>,
    /// More of the caller's bytes, such as the context of a change of membership.
    pub context: Vec<u8>,
}

/// The state up to an index.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The last index that it covers.
    pub index: u64,
    /// The term of that entry.
    pub term: u64,
    /// The members at that index, in the caller's encoding.
    pub members: Vec<u8>,
    /// The state, in the caller's encoding.
    pub data: Vec<u8>,
}

/// The instance that owns a store. Fixed when the store is created.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The cluster's name.
    pub cluster: String,
    /// The instance's name.
    pub name: String,
    /// The instance's id, drawn when the file was created: a file that is created again is another instance.
    pub id: u64,
}

/// A change that happens completely or not at all.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Batch {
    /// A new hard state.
    pub hard_state: Option<HardState>,
    /// A snapshot that replaces the stored one and all entries up to its index. Entries beyond it are kept only
    /// where the log continues it.
    pub snapshot: Option<Snapshot>,
    /// Entries to append, in order; stored entries from the first one's index on are replaced.
    pub entries: Vec<Record>,
    /// Keys of other subsystems, each with its new value or none to remove it.
    pub keys: Vec<(String, Option<Vec<u8>>)>,
}

impl Batch {
    /// Whether it changes nothing.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

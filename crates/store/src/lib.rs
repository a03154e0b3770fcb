//! State that survives crashes: one file with an append log, the hard state (term, vote, commit), the latest
//! snapshot and a key space for other subsystems.
//!
//! Every change goes in as one [`Batch`]: after a crash at any write either all of it is there or nothing, and
//! what [`Store::commit`] has acknowledged is there. The pages and their atomic commit are redb's; the schema
//! with its version and upgrades, sealed values, recovery, scrubbing and compaction are ours.
//!
//! A commit that fails ends the store: a sync that failed once may have dropped the pages it was to write, and
//! a second sync would then report success for bytes that are lost.

mod device;
mod schema;
mod seal;
mod store;

pub use schema::{Found, SCHEMA};
pub use seal::Corrupt;
pub use store::{Loaded, Scrub, Store, StoreError, Usage};

use serde::{Deserialize, Serialize};

/// What an instance must not forget between two messages.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term it has seen.
    pub term: u64,
    /// Whom it voted for in that term; 0: nobody.
    pub vote: u64,
    /// The last index it knows to be decided.
    pub commit: u64,
}

/// One entry of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its place in the log, from 1.
    pub index: u64,
    /// The term in which it was proposed.
    pub term: u64,
    /// What it holds, as the caller numbers kinds.
    pub kind: u8,
    /// The caller's bytes.
    pub data: Vec<u8>,
    /// More of the caller's bytes.
    pub context: Vec<u8>,
}

/// Everything up to an index, folded into one piece.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The last index folded in.
    pub index: u64,
    /// The term of that entry.
    pub term: u64,
    /// Who the members were at that index, in the caller's encoding.
    pub members: Vec<u8>,
    /// The state, in the caller's encoding.
    pub data: Vec<u8>,
}

/// Who owns this file. Fixed when it is created.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The cluster's name.
    pub cluster: String,
    /// The instance's name.
    pub name: String,
    /// The instance's number, drawn when the file was made: a file made anew is another instance.
    pub id: u64,
}

/// A change that happens whole or not at all.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Batch {
    /// A new hard state.
    pub hard: Option<HardState>,
    /// A snapshot that takes the place of the one held and of all entries up to its index. Entries beyond it
    /// are kept only where the log runs on from it.
    pub snapshot: Option<Snapshot>,
    /// Entries to append, in order; whatever is held from the first one's index on goes.
    pub entries: Vec<Record>,
    /// Keys of other subsystems: a value, or none to remove it.
    pub keys: Vec<(String, Option<Vec<u8>>)>,
}

impl Batch {
    /// Whether there is nothing in it.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

//! State that survives crashes: one file with an append log, the Raft hard state (term, vote, commit), the latest
//! snapshot and a key space for other subsystems.
//!
//! Every change goes in as one [`Batch`]: after a crash at any write either all of it is there or nothing, and what
//! [`Store::commit`] has acknowledged is there. The pages and their atomic commit are redb's; the schema with its
//! version and upgrades, checksummed values, recovery, scrubbing and compaction are ours.
//!
//! A commit that fails ends the store: a sync that failed once may have dropped the pages it was to write, and a
//! second sync would then report success for bytes that are lost.
//!
//! - `store`: [`Store`]: opening, commits, loading, keys, scrubbing;
//! - `schema`: tables, their version and upgrades from older ones;
//! - `checksum`, `codec`: values as bytes; `synced_device`: what redb writes to;
//! - `error`: [`StoreError`].

#![warn(
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::wildcard_imports,
    clippy::missing_errors_doc
)]

mod checksum;
mod codec;
mod error;
mod schema;
mod store;
mod synced_device;

pub use checksum::{CorruptValue, Corruption};
pub use error::{BatchOrderError, StoreError};
pub use schema::{SCHEMA_VERSION, StoredSchema};
pub use store::{Loaded, Scrub, Store, Usage};

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
    pub hard: Option<HardState>,
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

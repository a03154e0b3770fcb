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
//! - `batch`: [`Batch`] and what it consists of;
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

mod batch;
mod checksum;
mod codec;
mod error;
mod schema;
mod store;
mod synced_device;

pub use batch::{Batch, HardState, Identity, Record, Snapshot};
pub use checksum::{CorruptValue, Corruption};
pub use error::{BatchOrderError, StoreError};
pub use schema::{SCHEMA_VERSION, StoredSchema};
pub use store::{Loaded, Scrub, Store, Usage};

//! Crash-safe storage in one file: the Raft log, the Raft hard state (term, vote, commit), the latest
//! snapshot and a key-value space for other subsystems.
//!
//! Changes are written as a [`Batch`], which is atomic and durable: a crash at any write leaves either all of
//! the batch or none of it, and every batch that [`Store::commit`] has acknowledged survives. redb provides
//! the pages and their atomic commit; this crate adds a versioned schema with upgrades, checksummed values,
//! recovery, scrubbing and compaction.
//!
//! After a failed commit the store accepts no more commits: the operating system may drop dirty pages when a
//! sync fails, and a second sync would then report success although their bytes are lost.
//!
//! - `batch`: [`Batch`] and the types of its fields;
//! - `store`: [`Store`], with opening, commits, loading, key lookups and scrubbing;
//! - `schema`: the tables, the schema version and upgrades from older versions;
//! - `checksum`, `codec`: the byte encoding of stored values;
//! - `synced_device`: the storage backend that redb writes to;
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

pub use batch::{Batch, HardState, LogEntry, OwnerIdentity, Snapshot};
pub use checksum::{CorruptValue, Corruption};
pub use error::{BatchOrderError, StoreError};
pub use schema::{SCHEMA_VERSION, StoredSchema};
pub use store::{PersistedState, ScrubReport, Store, Usage};

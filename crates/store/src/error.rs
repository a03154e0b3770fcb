//! Why a store can't go on.

use std::io;
use std::path::PathBuf;

use crate::batch::Identity;
use crate::checksum::{CorruptValue, Corruption};

/// In an error: the place of what concerns the whole file.
const FILE_TABLE: &str = "file";
const PAGES_KEY: &str = "pages";

/// Why a store can't go on.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Bytes that are not what was written. They are never served.
    #[error("corrupt: {0}")]
    Corrupt(#[from] CorruptValue),
    /// The file has a schema version that this program can't read.
    #[error("the file has layout {found}, this program knows up to {known}: use the program that wrote it")]
    UnsupportedSchema {
        /// The file's version.
        found: u32,
        /// The latest version that this program can read.
        known: u32,
    },
    /// The file belongs to another instance.
    #[error("the store belongs to {}, not to {}", describe(found), describe(wanted))]
    WrongOwner {
        /// The file's owner.
        found: Box<Identity>,
        /// The instance that opens it.
        wanted: Box<Identity>,
    },
    /// A batch that does not follow what is stored. Nothing was changed.
    #[error("a batch out of order: {0}")]
    OutOfOrder(#[from] BatchOrderError),
    /// The device is full; nothing of the batch was stored and nothing that was stored is lost.
    #[error("the device is full: {0}")]
    DeviceFull(#[source] io::Error),
    /// The file does not exist.
    #[error("{}: no such file", path.display())]
    NotFound {
        /// The file.
        path: PathBuf,
    },
    /// The file exists and nothing was ever written to it.
    #[error("no store: nothing was ever written")]
    Empty,
    /// Another process has the file open.
    #[error("the store is in use by another process")]
    InUse,
    /// The file or its folder can't be opened or synced.
    #[error("the store has ended: {}: {source}", path.display())]
    File {
        /// The file or the folder.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The device failed: the instance has to end and to recover from the file.
    #[error("the store has ended: {0}")]
    Device(#[source] Box<redb::Error>),
    /// An earlier call failed and ended the store.
    #[error("the store has ended before: {reason}")]
    Failed {
        /// The earlier call's error.
        reason: String,
    },
}

/// In which way a batch does not follow what is stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BatchOrderError {
    /// A snapshot older than the stored one.
    #[error("a snapshot of {index} behind {stored}")]
    OldSnapshot {
        /// The last index that it covers.
        index: u64,
        /// The last index that the stored one covers.
        stored: u64,
    },
    /// The first entry leaves a gap, or lies behind the snapshot.
    #[error("entry {index} after {last}, snapshot {snapshot}")]
    Gap {
        /// The entry's index.
        index: u64,
        /// The last index stored.
        last: u64,
        /// The last index that the snapshot covers.
        snapshot: u64,
    },
    /// Entries of the batch that don't follow one another.
    #[error("entry {index} in place of {expected}")]
    NotConsecutive {
        /// The entry's index.
        index: u64,
        /// The index that it should have.
        expected: u64,
    },
}

impl StoreError {
    /// An error about the file's pages.
    pub(crate) fn pages(corruption: Corruption) -> Self {
        CorruptValue { table: FILE_TABLE, key: PAGES_KEY.to_owned(), corruption }.into()
    }
}

fn describe(identity: &Identity) -> String {
    format!("{} ({:016x}) of cluster {}", identity.name, identity.id, identity.cluster)
}

impl From<redb::Error> for StoreError {
    fn from(error: redb::Error) -> Self {
        match error {
            redb::Error::Io(source) if is_full(&source) => Self::DeviceFull(source),
            redb::Error::Corrupted(what) => Self::pages(Corruption::Pages(what)),
            redb::Error::DatabaseAlreadyOpen => Self::InUse,
            other => Self::Device(Box::new(other)),
        }
    }
}

fn is_full(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded)
}

macro_rules! from_redb_errors {
    ($($from:ty),*) => {$(
        impl From<$from> for StoreError {
            fn from(error: $from) -> Self {
                redb::Error::from(error).into()
            }
        }
    )*};
}
from_redb_errors!(
    redb::DatabaseError,
    redb::TransactionError,
    redb::TableError,
    redb::StorageError,
    redb::CommitError,
    redb::CompactionError
);

//! Errors of the store.

use std::io;
use std::path::PathBuf;

use crate::batch::OwnerIdentity;
use crate::checksum::{CorruptValue, Corruption};

/// Table name that errors report if the corruption is not in a single table.
const FILE_TABLE: &str = "file";
/// Key that errors report if the corruption is in the pages of the file.
const PAGES_KEY: &str = "pages";

/// Error of a store.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A stored value is corrupt. Its bytes are never returned to a caller.
    #[error("corrupt value {0}")]
    Corrupt(#[from] CorruptValue),
    /// The file has a schema version that this program does not support.
    #[error(
        "unsupported schema version {found}: this program supports versions up to {supported}, \
         use the program version that wrote the file"
    )]
    UnsupportedSchema {
        /// Schema version of the file.
        found: u32,
        /// Latest schema version that this program supports.
        supported: u32,
    },
    /// The file belongs to another instance.
    #[error("the store belongs to {}, not to {}", describe_owner(found), describe_owner(expected))]
    WrongOwner {
        /// Owner of the file.
        found: Box<OwnerIdentity>,
        /// Instance that tried to open the file.
        expected: Box<OwnerIdentity>,
    },
    /// The batch does not continue the stored log. Nothing was changed.
    #[error("batch does not continue the stored log: {0}")]
    OutOfOrder(#[from] BatchOrderError),
    /// The device is full. No part of the batch was stored, and no stored data is lost.
    #[error("the device is full: {0}")]
    DeviceFull(#[source] io::Error),
    /// The file does not exist.
    #[error("{}: no such file", path.display())]
    NotFound {
        /// Path of the file.
        path: PathBuf,
    },
    /// The file exists, but no store was ever written to it.
    #[error("the file contains no store: nothing was ever written to it")]
    Empty,
    /// Another process has the file open.
    #[error("the store is in use by another process")]
    InUse,
    /// The file or its directory can't be opened or synced.
    #[error("cannot open or sync {}: {source}", path.display())]
    File {
        /// Path of the file or directory.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The device or redb failed. An instance that runs on the store has to end; opening the store again
    /// recovers it from the file.
    #[error("the store has failed: {0}")]
    Device(#[source] Box<redb::Error>),
    /// An earlier commit failed, so the store accepts no more commits until it is opened again.
    #[error("the store accepts no commits after an earlier failure: {reason}")]
    Failed {
        /// Text of the earlier error.
        reason: String,
    },
}

/// Reason why a batch does not continue the stored log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BatchOrderError {
    /// The snapshot is older than the stored one.
    #[error("the snapshot's index {index} is below the stored snapshot's index {stored}")]
    OldSnapshot {
        /// Last index that the new snapshot covers.
        index: u64,
        /// Last index that the stored snapshot covers.
        stored: u64,
    },
    /// The first entry leaves a gap after the last stored index, or the snapshot covers it already.
    #[error(
        "the first entry has index {index}: an index above the snapshot's {snapshot} \
         and at most one above the log's last index {last} is required"
    )]
    FirstIndexOutOfRange {
        /// Index of the first entry.
        index: u64,
        /// Last index of the log.
        last: u64,
        /// Last index that the snapshot covers.
        snapshot: u64,
    },
    /// The indexes of the batch's entries are not consecutive.
    #[error("an entry has index {index}, expected {expected}")]
    NotConsecutive {
        /// Index of the entry.
        index: u64,
        /// Index that would be consecutive.
        expected: u64,
    },
}

impl StoreError {
    /// Returns an error that reports corrupt pages of the file.
    pub(crate) fn corrupt_pages(corruption: Corruption) -> Self {
        CorruptValue { table: FILE_TABLE, key: PAGES_KEY.to_owned(), corruption }.into()
    }
}

fn describe_owner(identity: &OwnerIdentity) -> String {
    format!("{} ({:016x}) of cluster {}", identity.name, identity.id, identity.cluster)
}

impl From<redb::Error> for StoreError {
    fn from(error: redb::Error) -> Self {
        match error {
            redb::Error::Io(source) if is_out_of_space(&source) => Self::DeviceFull(source),
            redb::Error::Corrupted(message) => Self::corrupt_pages(Corruption::Pages(message)),
            redb::Error::DatabaseAlreadyOpen => Self::InUse,
            other => Self::Device(Box::new(other)),
        }
    }
}

fn is_out_of_space(error: &io::Error) -> bool {
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

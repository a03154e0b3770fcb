//! Opening a store. A new file is initialized with the schema version and the owner; an existing one is
//! upgraded, and its owner is checked.

use std::fs::File;
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;

use redb::backends::FileBackend;
use redb::{Database, ReadableTable, StorageBackend, WriteTransaction};

use super::{LogEnd, Store};
use crate::batch::OwnerIdentity;
use crate::checksum::{CorruptValue, Corruption};
use crate::codec::{SnapshotHeader, read_meta, write_meta};
use crate::error::StoreError;
use crate::schema::{
    self, CHUNKS, IDENTITY_KEY, KEYS, LOG, META_NAME, SCHEMA_VERSION, SNAPSHOT_KEY, STARTS_KEY, StoredSchema,
};
use crate::synced_device::SyncedDevice;

/// Size of redb's page cache, in bytes. The caller keeps the entries in memory, so few pages are read more
/// than once.
const CACHE_BYTES: usize = 8 * 1024 * 1024;

impl Store {
    /// Opens or creates the file at `path`. A new file is owned by `identity`; a file of another owner is
    /// rejected.
    ///
    /// # Errors
    /// Returns an error if the file belongs to another owner, has an unsupported schema version or is
    /// corrupt, or if the device fails.
    pub fn open(path: &Path, identity: &OwnerIdentity) -> Result<Self, StoreError> {
        let file = open_file(path).map_err(|source| StoreError::File { path: path.to_owned(), source })?;
        // If the file is new, its directory entry must be durable as well.
        if let Some(directory) = path.parent().filter(|directory| !directory.as_os_str().is_empty()) {
            sync_directory(directory)
                .map_err(|source| StoreError::File { path: directory.to_owned(), source })?;
        }
        Self::open_on(FileBackend::new(file)?, identity)
    }

    /// Opens or creates a store on the given storage backend.
    ///
    /// # Errors
    /// Returns the same errors as [`Store::open`].
    pub fn open_on(device: impl StorageBackend, identity: &OwnerIdentity) -> Result<Self, StoreError> {
        let db = open_database(|| {
            Database::builder().set_cache_size(CACHE_BYTES).create_with_backend(SyncedDevice(device))
        })?;
        let txn = db.begin_write()?;
        let owner = match schema::read_schema(&txn)? {
            StoredSchema::Empty => {
                initialize(&txn, identity)?;
                identity.clone()
            }
            StoredSchema::Version(version) => upgrade(&txn, version)?,
        };
        if owner != *identity {
            let (found, expected) = (Box::new(owner), Box::new(identity.clone()));
            return Err(StoreError::WrongOwner { found, expected });
        }
        // The count must be durable: it distinguishes operations in flight from an earlier run from those of
        // this run.
        let start_count = read_start_count(&txn)? + 1;
        write_meta(&txn, STARTS_KEY, &start_count)?;
        let log_end = create_missing_tables(&txn)?;
        txn.commit()?;
        Ok(Self { db, identity: owner, start_count, log_end, failure: None })
    }

    /// Opens an existing file of any owner for inspection. No stored value is changed, but redb may write to
    /// the file, for example to recover it.
    ///
    /// # Errors
    /// Returns an error if the file does not exist, contains no store, is in use, has an unsupported schema
    /// version or is corrupt, or if the device fails.
    pub fn inspect(path: &Path) -> Result<Self, StoreError> {
        if !path.is_file() {
            return Err(StoreError::NotFound { path: path.to_owned() });
        }
        let db = open_database(|| Database::builder().set_cache_size(CACHE_BYTES).open(path))?;
        let txn = db.begin_write()?;
        let owner = match schema::read_schema(&txn)? {
            StoredSchema::Empty => return Err(StoreError::Empty),
            StoredSchema::Version(version) => upgrade(&txn, version)?,
        };
        let start_count = read_start_count(&txn)?;
        let log_end = create_missing_tables(&txn)?;
        txn.abort()?;
        Ok(Self { db, identity: owner, start_count, log_end, failure: None })
    }

    /// Returns the owner of the file at `path`, or `None` if the file does not exist.
    ///
    /// # Errors
    /// Returns the same errors as [`Store::inspect`].
    pub fn owner(path: &Path) -> Result<Option<OwnerIdentity>, StoreError> {
        if !path.is_file() {
            return Ok(None);
        }
        Ok(Some(Self::inspect(path)?.identity))
    }
}

fn open_file(path: &Path) -> io::Result<File> {
    File::options().read(true).write(true).create(true).truncate(false).open(path)
}

fn sync_directory(path: &Path) -> io::Result<()> {
    File::open(path)?.sync_all()
}

/// Opens the database. Returns [`Corruption::InconsistentPages`] if redb panics, as it does on inconsistent
/// pages.
fn open_database(
    open: impl FnOnce() -> Result<Database, redb::DatabaseError>,
) -> Result<Database, StoreError> {
    match catch_unwind(AssertUnwindSafe(open)) {
        Ok(opened) => Ok(opened?),
        Err(_) => Err(StoreError::corrupt_pages(Corruption::InconsistentPages)),
    }
}

/// Writes the schema version and the owner to a new file.
fn initialize(txn: &WriteTransaction, owner: &OwnerIdentity) -> Result<(), StoreError> {
    schema::write_version(txn, SCHEMA_VERSION)?;
    write_meta(txn, IDENTITY_KEY, owner)
}

/// Upgrades a file to this program's schema version. Returns the owner.
fn upgrade(txn: &WriteTransaction, version: u32) -> Result<OwnerIdentity, StoreError> {
    schema::upgrade(txn, version, SCHEMA_VERSION, schema::UPGRADES)?;
    match read_meta(txn, IDENTITY_KEY)? {
        Some(owner) => Ok(owner),
        None => {
            let key = IDENTITY_KEY.to_owned();
            Err(CorruptValue { table: META_NAME, key, corruption: Corruption::Missing }.into())
        }
    }
}

fn read_start_count(txn: &WriteTransaction) -> Result<u64, StoreError> {
    Ok(read_meta(txn, STARTS_KEY)?.unwrap_or(0))
}

/// Creates the tables that do not exist. Returns the end of the log.
fn create_missing_tables(txn: &WriteTransaction) -> Result<LogEnd, StoreError> {
    txn.open_table(CHUNKS)?;
    txn.open_table(KEYS)?;
    let header: Option<SnapshotHeader> = read_meta(txn, SNAPSHOT_KEY)?;
    let snapshot_index = header.map_or(0, |header| header.index);
    let last_entry_index = txn.open_table(LOG)?.last()?.map_or(0, |(index, _)| index.value());
    Ok(LogEnd { last_index: last_entry_index.max(snapshot_index), snapshot_index })
}

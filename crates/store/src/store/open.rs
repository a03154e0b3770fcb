//! Opening a store: a new file is given its schema and its owner, an old one is upgraded and checked.

use std::fs::File;
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;

use redb::backends::FileBackend;
use redb::{Database, ReadableTable, StorageBackend, WriteTransaction};

use super::{LogEnd, Store};
use crate::batch::Identity;
use crate::checksum::{CorruptValue, Corruption};
use crate::codec::{SnapshotHeader, get_meta, put_meta};
use crate::error::StoreError;
use crate::schema::{
    self, CHUNKS, IDENTITY_KEY, KEYS, LOG, META_NAME, SCHEMA_VERSION, SNAPSHOT_KEY, STARTS_KEY, StoredSchema,
};
use crate::synced_device::SyncedDevice;

/// Memory for cached pages, in bytes. The caller keeps the entries, so few pages are read twice.
const CACHE_BYTES: usize = 8 * 1024 * 1024;

impl Store {
    /// Opens the file at `path`, or creates it. A new file takes `identity`; a file of another owner is rejected.
    ///
    /// # Errors
    /// A file of another owner or of a later schema, corrupt bytes, or a device that fails.
    pub fn open(path: &Path, identity: &Identity) -> Result<Self, StoreError> {
        let file = open_file(path).map_err(|source| StoreError::File { path: path.to_owned(), source })?;
        // The entry in the folder must last as long as the file, which may be new.
        if let Some(folder) = path.parent().filter(|folder| !folder.as_os_str().is_empty()) {
            sync_folder(folder).map_err(|source| StoreError::File { path: folder.to_owned(), source })?;
        }
        Self::open_on(FileBackend::new(file)?, identity)
    }

    /// Opens or creates a store on any device, as [`Store::open`] does.
    ///
    /// # Errors
    /// As [`Store::open`].
    pub fn open_on(device: impl StorageBackend, identity: &Identity) -> Result<Self, StoreError> {
        let db = open_pages(|| {
            Database::builder().set_cache_size(CACHE_BYTES).create_with_backend(SyncedDevice(device))
        })?;
        let txn = db.begin_write()?;
        let owner = match schema::stored_schema(&txn)? {
            StoredSchema::Empty => {
                create(&txn, identity)?;
                identity.clone()
            }
            StoredSchema::Version(version) => upgrade(&txn, version)?,
        };
        if owner != *identity {
            let (found, wanted) = (Box::new(owner), Box::new(identity.clone()));
            return Err(StoreError::WrongOwner { found, wanted });
        }
        // Counted durably at each start, so that what an earlier run has in flight is told from this run's.
        let starts = stored_starts(&txn)? + 1;
        put_meta(&txn, STARTS_KEY, &starts)?;
        let end = prepare_tables(&txn)?;
        txn.commit()?;
        Ok(Self { db, identity: owner, starts, end, failure: None })
    }

    /// Opens an existing file of any owner, to look at it. No stored value is changed; the database library may still
    /// write to the file, such as to recover it.
    ///
    /// # Errors
    /// The file does not exist or is in use, and as [`Store::open`].
    pub fn inspect(path: &Path) -> Result<Self, StoreError> {
        if !path.is_file() {
            return Err(StoreError::NotFound { path: path.to_owned() });
        }
        let db = open_pages(|| Database::builder().set_cache_size(CACHE_BYTES).open(path))?;
        let txn = db.begin_write()?;
        let owner = match schema::stored_schema(&txn)? {
            StoredSchema::Empty => return Err(StoreError::Empty),
            StoredSchema::Version(version) => upgrade(&txn, version)?,
        };
        let starts = stored_starts(&txn)?;
        let end = prepare_tables(&txn)?;
        txn.abort()?;
        Ok(Self { db, identity: owner, starts, end, failure: None })
    }

    /// The owner of the file at `path`, if there is a file.
    ///
    /// # Errors
    /// As [`Store::inspect`].
    pub fn owner(path: &Path) -> Result<Option<Identity>, StoreError> {
        if !path.is_file() {
            return Ok(None);
        }
        Ok(Some(Self::inspect(path)?.identity))
    }
}

fn open_file(path: &Path) -> io::Result<File> {
    File::options().read(true).write(true).create(true).truncate(false).open(path)
}

fn sync_folder(path: &Path) -> io::Result<()> {
    File::open(path)?.sync_all()
}

/// Opens pages. Those that make no sense at all end in an error that says so, not in redb's panic.
fn open_pages(open: impl FnOnce() -> Result<Database, redb::DatabaseError>) -> Result<Database, StoreError> {
    match catch_unwind(AssertUnwindSafe(open)) {
        Ok(opened) => Ok(opened?),
        Err(_) => Err(StoreError::pages(Corruption::InconsistentPages)),
    }
}

/// Gives a new file its schema and its owner.
fn create(txn: &WriteTransaction, owner: &Identity) -> Result<(), StoreError> {
    schema::write_version(txn, SCHEMA_VERSION)?;
    put_meta(txn, IDENTITY_KEY, owner)
}

/// Upgrades a file to this program's schema; its owner.
fn upgrade(txn: &WriteTransaction, version: u32) -> Result<Identity, StoreError> {
    schema::upgrade(txn, version, SCHEMA_VERSION, schema::UPGRADES)?;
    match get_meta(txn, IDENTITY_KEY)? {
        Some(owner) => Ok(owner),
        None => {
            let key = IDENTITY_KEY.to_owned();
            Err(CorruptValue { table: META_NAME, key, corruption: Corruption::Missing }.into())
        }
    }
}

fn stored_starts(txn: &WriteTransaction) -> Result<u64, StoreError> {
    Ok(get_meta(txn, STARTS_KEY)?.unwrap_or(0))
}

/// Makes sure that all tables exist; where the log ends.
fn prepare_tables(txn: &WriteTransaction) -> Result<LogEnd, StoreError> {
    txn.open_table(CHUNKS)?;
    txn.open_table(KEYS)?;
    let header: Option<SnapshotHeader> = get_meta(txn, SNAPSHOT_KEY)?;
    let snapshot = header.map_or(0, |header| header.index);
    let last_entry = txn.open_table(LOG)?.last()?.map_or(0, |(index, _)| index.value());
    Ok(LogEnd { last: last_entry.max(snapshot), snapshot })
}

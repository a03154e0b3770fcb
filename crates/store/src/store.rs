//! The store itself: open and recover, commit, load, scrub, compact, inspect.

use std::path::Path;

use redb::backends::FileBackend;
use redb::{
    Database, ReadableDatabase, ReadableTable, ReadableTableMetadata, StorageBackend, WriteTransaction,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::device::Steady;
use crate::schema::{self, Found, KEYS, LOG, META, PIECES, SCHEMA};
use crate::seal::{self, Corrupt};
use crate::{Batch, HardState, Identity, Record, Snapshot};

/// Largest piece of a snapshot in one value, in bytes.
const PIECE: usize = 64 * 1024;
/// Entries behind the snapshot that a commit takes away at the least; more with more entries in it. Taking all away
/// with the snapshot itself held a busy instance up for a quarter of a second at 10,000 entries.
const SWEPT: usize = 16;
/// Memory for pages held, in bytes: entries are kept by the caller, so few are read twice.
const CACHE: usize = 8 * 1024 * 1024;

/// Why the store can't go on.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Bytes that are not what was written: what and where. They are never served.
    #[error("corrupt: {0}")]
    Corrupt(Corrupt),
    /// The file is of another layout.
    #[error("the file has layout {found}, this program knows up to {known}: use the program that wrote it")]
    Schema {
        /// Its version.
        found: u32,
        /// Ours.
        known: u32,
    },
    /// The file belongs to another instance.
    #[error("the store belongs to {found}, not to {wanted}")]
    Identity {
        /// Whose it is.
        found: String,
        /// Who asked.
        wanted: String,
    },
    /// A batch that does not follow from what is held.
    #[error("a batch out of order: {0}")]
    Order(String),
    /// The device is full; nothing of the batch was kept and nothing that was held is lost.
    #[error("the device is full: {0}")]
    Full(String),
    /// The device failed, now or earlier: the instance has to end and to recover from the file.
    #[error("the store has ended: {0}")]
    Ended(String),
}

impl From<Corrupt> for StoreError {
    fn from(corrupt: Corrupt) -> Self {
        StoreError::Corrupt(corrupt)
    }
}

macro_rules! device_errors {
    ($($from:ty),*) => {$(
        impl From<$from> for StoreError {
            fn from(error: $from) -> Self {
                device(redb::Error::from(error))
            }
        }
    )*};
}
device_errors!(
    redb::DatabaseError,
    redb::TransactionError,
    redb::TableError,
    redb::StorageError,
    redb::CommitError,
    redb::CompactionError
);

fn device(error: redb::Error) -> StoreError {
    match error {
        redb::Error::Io(e)
            if matches!(e.kind(), std::io::ErrorKind::StorageFull | std::io::ErrorKind::QuotaExceeded) =>
        {
            StoreError::Full(e.to_string())
        }
        redb::Error::Corrupted(what) => {
            StoreError::Corrupt(Corrupt { table: "file", key: "pages".to_owned(), what })
        }
        other => StoreError::Ended(other.to_string()),
    }
}

/// What is held, as read back at a start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Loaded {
    /// The hard state.
    pub hard: HardState,
    /// The latest snapshot, if there is one.
    pub snapshot: Option<Snapshot>,
    /// The entries behind it, without a gap.
    pub entries: Vec<Record>,
}

/// What a scrub found.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Scrub {
    /// Values read whose seal holds.
    pub sound: u64,
    /// Values that are not what was written.
    pub corrupt: Vec<Corrupt>,
}

/// How much is held.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Usage {
    /// Length of the file's used pages, in bytes.
    pub bytes: u64,
    /// Entries held.
    pub entries: u64,
    /// The first of them, if any.
    pub first: Option<u64>,
    /// The last of them, if any.
    pub last: Option<u64>,
    /// Keys of other subsystems.
    pub keys: u64,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct Head {
    index: u64,
    term: u64,
    members: Vec<u8>,
    pieces: u64,
    bytes: u64,
}

/// One instance's state on its device.
#[derive(Debug)]
pub struct Store {
    db: Database,
    identity: Identity,
    starts: u64,
    /// The last index held, so that an append needs no look at the log.
    last: u64,
    /// The index that the snapshot held covers.
    covered: u64,
    ended: Option<String>,
}

impl Store {
    /// Opens the file at `path`, or makes it. A file made anew takes `identity`; another's is refused.
    ///
    /// # Errors
    /// Another's file, a later layout, corrupt bytes, or a device that fails.
    pub fn open(path: &Path, identity: &Identity) -> Result<Self, StoreError> {
        let file = std::fs::File::options().read(true).write(true).create(true).truncate(false).open(path);
        let file = file.map_err(|e| StoreError::Ended(format!("{}: {e}", path.display())))?;
        // The entry in the folder must last as long as the file: it is as new as the file may be.
        if let Some(folder) = path.parent().filter(|folder| !folder.as_os_str().is_empty()) {
            let synced = std::fs::File::open(folder).and_then(|folder| folder.sync_all());
            synced.map_err(|e| StoreError::Ended(format!("{}: {e}", folder.display())))?;
        }
        Self::open_on(FileBackend::new(file)?, identity)
    }

    /// The same on any device.
    ///
    /// # Errors
    /// As [`Store::open`].
    pub fn open_on(device: impl StorageBackend, identity: &Identity) -> Result<Self, StoreError> {
        let open = || Database::builder().set_cache_size(CACHE).create_with_backend(Steady(device));
        Self::start(guarded(open)?, Some(identity))
    }

    /// Opens a file that is there, whoever owns it, to look at it.
    ///
    /// # Errors
    /// No such file, a file in use, and as [`Store::open`].
    pub fn inspect(path: &Path) -> Result<Self, StoreError> {
        if !path.is_file() {
            return Err(StoreError::Ended(format!("{}: no such file", path.display())));
        }
        Self::start(guarded(|| Database::builder().set_cache_size(CACHE).open(path))?, None)
    }

    /// Whose file is at `path`, if there is one.
    ///
    /// # Errors
    /// As [`Store::inspect`].
    pub fn owner(path: &Path) -> Result<Option<Identity>, StoreError> {
        if !path.is_file() {
            return Ok(None);
        }
        Ok(Some(Self::inspect(path)?.identity))
    }

    fn start(db: Database, wanted: Option<&Identity>) -> Result<Self, StoreError> {
        let txn = db.begin_write()?;
        let identity = match (schema::found(&txn)?, wanted) {
            (Found::Nothing, Some(wanted)) => {
                txn.open_table(META)?.insert("schema", SCHEMA.to_le_bytes().as_slice())?;
                put_meta(&txn, "identity", wanted)?;
                wanted.clone()
            }
            (Found::Nothing, None) => {
                return Err(StoreError::Ended("no store: nothing was ever written".to_owned()));
            }
            (Found::Version(version), _) => {
                schema::upgrade(&txn, version, SCHEMA, schema::STEPS)?;
                get_meta::<Identity>(&txn, "identity")?.ok_or_else(|| missing("identity"))?
            }
        };
        if let Some(wanted) = wanted
            && *wanted != identity
        {
            let say = |i: &Identity| format!("{} ({:016x}) of cluster {}", i.name, i.id, i.cluster);
            return Err(StoreError::Identity { found: say(&identity), wanted: say(wanted) });
        }
        // Counted durably at each start: whatever an earlier run still has in flight is told from this run's.
        let starts = get_meta::<u64>(&txn, "starts")?.unwrap_or(0) + u64::from(wanted.is_some());
        put_meta(&txn, "starts", &starts)?;
        txn.open_table(PIECES)?;
        txn.open_table(KEYS)?;
        let covered = get_meta::<Head>(&txn, "snapshot")?.map_or(0, |head| head.index);
        let last = txn.open_table(LOG)?.last()?.map_or(0, |(index, _)| index.value()).max(covered);
        if wanted.is_some() {
            txn.commit()?;
        } else {
            txn.abort()?;
        }
        Ok(Self { db, identity, starts, last, covered, ended: None })
    }

    /// Whose store it is.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// How many times it was opened by its owner, this time counted.
    pub fn starts(&self) -> u64 {
        self.starts
    }

    /// Makes a change durable: when this returns, all of `batch` survives any crash.
    ///
    /// # Errors
    /// [`StoreError::Order`] for a batch that leaves a gap, with nothing changed. After any other error the store
    /// has ended and every later call says so: the caller recovers by opening the file again.
    pub fn commit(&mut self, batch: &Batch) -> Result<(), StoreError> {
        if let Some(why) = &self.ended {
            return Err(StoreError::Ended(why.clone()));
        }
        let (last, covered) = self.check(batch)?;
        match self.write(batch, covered) {
            Ok(()) => {
                self.last = last;
                self.covered = covered;
                Ok(())
            }
            Err(error) => {
                self.ended = Some(error.to_string());
                Err(error)
            }
        }
    }

    /// What the last index and the snapshot's will be, if the batch follows from what is held.
    fn check(&self, batch: &Batch) -> Result<(u64, u64), StoreError> {
        let (mut last, mut covered) = (self.last, self.covered);
        if let Some(snapshot) = &batch.snapshot {
            if snapshot.index < covered {
                return Err(StoreError::Order(format!("a snapshot of {} behind {covered}", snapshot.index)));
            }
            covered = snapshot.index;
            let txn = self.db.begin_read()?;
            if !runs_on(&txn.open_table(LOG)?, snapshot)? {
                last = covered;
            }
        }
        if let Some(first) = batch.entries.first() {
            if first.index <= covered || first.index > last + 1 {
                return Err(StoreError::Order(format!(
                    "entry {} after {last}, snapshot {covered}",
                    first.index
                )));
            }
            for (expected, record) in (first.index..).zip(&batch.entries) {
                if record.index != expected {
                    return Err(StoreError::Order(format!("entry {} in place of {expected}", record.index)));
                }
                last = expected;
            }
        }
        Ok((last, covered))
    }

    fn write(&self, batch: &Batch, covered: u64) -> Result<(), StoreError> {
        let txn = self.db.begin_write()?;
        if let Some(snapshot) = &batch.snapshot {
            write_snapshot(&txn, snapshot)?;
        }
        if let Some(hard) = &batch.hard {
            put_meta(&txn, "hard", hard)?;
        }
        if let Some(first) = batch.entries.first() {
            let mut log = txn.open_table(LOG)?;
            // Most appends replace nothing, and asking for the last index costs less than an empty range.
            if log.last()?.is_some_and(|(last, _)| last.value() >= first.index) {
                log.retain_in(first.index.., |_, _| false)?;
            }
            for record in &batch.entries {
                let sealed = seal::seal("log", &record.index.to_le_bytes(), &encode(record));
                log.insert(record.index, sealed.as_slice())?;
            }
            // Faster than entries come, so that what is left behind has an end.
            for _ in 0..SWEPT + 3 * batch.entries.len() {
                if log.first()?.is_none_or(|(first, _)| first.value() > covered) {
                    break;
                }
                log.pop_first()?;
            }
        }
        if !batch.keys.is_empty() {
            let mut keys = txn.open_table(KEYS)?;
            for (key, value) in &batch.keys {
                match value {
                    Some(value) => {
                        keys.insert(key.as_str(), seal::seal("keys", key.as_bytes(), value).as_slice())?;
                    }
                    None => {
                        keys.remove(key.as_str())?;
                    }
                }
            }
        }
        txn.commit()?;
        Ok(())
    }

    /// Everything that an instance needs to go on.
    ///
    /// # Errors
    /// Corrupt bytes with their place, a gap in the log, or a device that fails.
    pub fn load(&self) -> Result<Loaded, StoreError> {
        let txn = self.db.begin_read()?;
        let meta = txn.open_table(META)?;
        let hard = read_meta(&meta, "hard")?.unwrap_or_default();
        let snapshot = match read_meta::<Head>(&meta, "snapshot")? {
            None => None,
            Some(head) => {
                let pieces = txn.open_table(PIECES)?;
                let mut data = Vec::with_capacity(head.bytes as usize);
                for number in 0..head.pieces {
                    let value = pieces.get(number)?.ok_or_else(|| gap("pieces", number))?;
                    data.extend_from_slice(seal::open(
                        "pieces",
                        &number.to_le_bytes(),
                        &number.to_string(),
                        value.value(),
                    )?);
                }
                if data.len() as u64 != head.bytes {
                    let what = format!("{} bytes, {} were written", data.len(), head.bytes);
                    return Err(Corrupt { table: "pieces", key: "all".to_owned(), what }.into());
                }
                Some(Snapshot { index: head.index, term: head.term, members: head.members, data })
            }
        };
        let covered = snapshot.as_ref().map_or(0, |s| s.index);
        let mut entries = Vec::new();
        let log = txn.open_table(LOG)?;
        for item in log.range(covered + 1..)? {
            let (index, value) = item?;
            let index = index.value();
            let expected = covered + 1 + entries.len() as u64;
            if index != expected {
                return Err(gap("log", expected).into());
            }
            entries.push(record(index, value.value())?);
        }
        Ok(Loaded { hard, snapshot, entries })
    }

    /// A key's value.
    ///
    /// # Errors
    /// Corrupt bytes, or a device that fails.
    pub fn key(&self, key: &str) -> Result<Option<Vec<u8>>, StoreError> {
        let keys = self.db.begin_read()?.open_table(KEYS)?;
        let Some(value) = keys.get(key)? else { return Ok(None) };
        Ok(Some(seal::open("keys", key.as_bytes(), key, value.value())?.to_vec()))
    }

    /// All keys that start with `prefix`, with their values, in order.
    ///
    /// # Errors
    /// Corrupt bytes, or a device that fails.
    pub fn keys_from(&self, prefix: &str) -> Result<Vec<(String, Vec<u8>)>, StoreError> {
        let keys = self.db.begin_read()?.open_table(KEYS)?;
        let mut found = Vec::new();
        for item in keys.range(prefix..)? {
            let (key, value) = item?;
            let key = key.value();
            if !key.starts_with(prefix) {
                break;
            }
            found.push((key.to_owned(), seal::open("keys", key.as_bytes(), key, value.value())?.to_vec()));
        }
        Ok(found)
    }

    /// Reads everything that is held and names whatever is not what was written.
    ///
    /// # Errors
    /// A device that fails; corrupt values are in the report.
    pub fn scrub(&self) -> Result<Scrub, StoreError> {
        let txn = self.db.begin_read()?;
        let mut report = Scrub::default();
        let mut note = |result: Result<(), Corrupt>| match result {
            Ok(()) => report.sound += 1,
            Err(corrupt) => report.corrupt.push(corrupt),
        };
        for item in txn.open_table(META)?.iter()? {
            let (key, value) = item?;
            if key.value() != "schema" {
                note(seal::open("meta", key.value().as_bytes(), key.value(), value.value()).map(drop));
            }
        }
        for item in txn.open_table(LOG)?.iter()? {
            let (index, value) = item?;
            note(record(index.value(), value.value()).map(drop));
        }
        for item in txn.open_table(PIECES)?.iter()? {
            let (number, value) = item?;
            let number = number.value();
            note(seal::open("pieces", &number.to_le_bytes(), &number.to_string(), value.value()).map(drop));
        }
        for item in txn.open_table(KEYS)?.iter()? {
            let (key, value) = item?;
            note(seal::open("keys", key.value().as_bytes(), key.value(), value.value()).map(drop));
        }
        Ok(report)
    }

    /// How much is held.
    ///
    /// # Errors
    /// A device that fails.
    pub fn usage(&self) -> Result<Usage, StoreError> {
        let txn = self.db.begin_read()?;
        let (log, pieces) = (txn.open_table(LOG)?, txn.open_table(PIECES)?);
        let keys = txn.open_table(KEYS)?;
        let stats = [log.stats()?, pieces.stats()?, keys.stats()?, txn.open_table(META)?.stats()?];
        let bytes = stats.iter().map(|s| s.stored_bytes() + s.metadata_bytes() + s.fragmented_bytes()).sum();
        let held = || log.range(self.covered + 1..);
        let first = held()?.next().transpose()?.map(|(index, _)| index.value());
        let last = held()?.next_back().transpose()?.map(|(index, _)| index.value());
        Ok(Usage {
            bytes,
            entries: first.zip(last).map_or(0, |(first, last)| last - first + 1),
            first,
            last,
            keys: keys.len()?,
        })
    }

    /// Gives unused space at the end of the file back to the system; takes as long as there are pages.
    ///
    /// # Errors
    /// A device that fails.
    pub fn shrink(&mut self) -> Result<bool, StoreError> {
        Ok(self.db.compact()?)
    }
}

/// Whether the log held is of the same history as the snapshot.
fn runs_on(log: &impl ReadableTable<u64, &'static [u8]>, snapshot: &Snapshot) -> Result<bool, StoreError> {
    match log.get(snapshot.index)? {
        Some(value) => Ok(record(snapshot.index, value.value())?.term == snapshot.term),
        None => Ok(false),
    }
}

/// Opens pages; those that make no sense at all end in an error that says so, not in a panic.
fn guarded(open: impl FnOnce() -> Result<Database, redb::DatabaseError>) -> Result<Database, StoreError> {
    match std::panic::catch_unwind(std::panic::AssertUnwindSafe(open)) {
        Ok(opened) => Ok(opened?),
        Err(_) => {
            let what = "the pages contradict themselves".to_owned();
            Err(Corrupt { table: "file", key: "pages".to_owned(), what }.into())
        }
    }
}

fn write_snapshot(txn: &WriteTransaction, snapshot: &Snapshot) -> Result<(), StoreError> {
    let mut log = txn.open_table(LOG)?;
    // What lies behind the snapshot stays only where the log runs on from it: else those entries belong to a
    // history that the snapshot has replaced.
    if !runs_on(&log, snapshot)? {
        log.retain_in(snapshot.index.., |_, _| false)?;
    }
    // What the snapshot covers is not read any more; later commits take it away, a few at a time.
    let mut pieces = txn.open_table(PIECES)?;
    pieces.retain(|_, _| false)?;
    let mut number = 0u64;
    for piece in snapshot.data.chunks(PIECE) {
        pieces.insert(number, seal::seal("pieces", &number.to_le_bytes(), piece).as_slice())?;
        number += 1;
    }
    let head = Head {
        index: snapshot.index,
        term: snapshot.term,
        members: snapshot.members.clone(),
        pieces: number,
        bytes: snapshot.data.len() as u64,
    };
    put_meta(txn, "snapshot", &head)
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Only maps with unknown lengths and the like can fail here, and no type of ours holds one.
    postcard::to_stdvec(value).unwrap_or_default()
}

fn decode<T: DeserializeOwned>(table: &'static str, key: &str, bytes: &[u8]) -> Result<T, Corrupt> {
    postcard::from_bytes(bytes).map_err(|e| Corrupt { table, key: key.to_owned(), what: e.to_string() })
}

fn record(index: u64, sealed: &[u8]) -> Result<Record, Corrupt> {
    let shown = index.to_string();
    let record: Record = decode("log", &shown, seal::open("log", &index.to_le_bytes(), &shown, sealed)?)?;
    if record.index != index {
        let what = format!("it holds entry {}", record.index);
        return Err(Corrupt { table: "log", key: shown, what });
    }
    Ok(record)
}

fn put_meta<T: Serialize>(txn: &WriteTransaction, key: &str, value: &T) -> Result<(), StoreError> {
    let sealed = seal::seal("meta", key.as_bytes(), &encode(value));
    txn.open_table(META)?.insert(key, sealed.as_slice())?;
    Ok(())
}

fn get_meta<T: DeserializeOwned>(txn: &WriteTransaction, key: &str) -> Result<Option<T>, StoreError> {
    read_meta(&txn.open_table(META)?, key)
}

fn read_meta<T: DeserializeOwned>(
    meta: &impl ReadableTable<&'static str, &'static [u8]>,
    key: &str,
) -> Result<Option<T>, StoreError> {
    let Some(value) = meta.get(key)? else { return Ok(None) };
    Ok(Some(decode("meta", key, seal::open("meta", key.as_bytes(), key, value.value())?)?))
}

fn missing(key: &str) -> Corrupt {
    Corrupt { table: "meta", key: key.to_owned(), what: "missing".to_owned() }
}

fn gap(table: &'static str, key: u64) -> Corrupt {
    Corrupt { table, key: key.to_string(), what: "missing between others".to_owned() }
}

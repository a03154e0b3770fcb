//! Loading of the state that an instance resumes from after a start.

use redb::{ReadTransaction, ReadableDatabase};

use super::Store;
use crate::batch::{HardState, LogEntry, Snapshot};
use crate::checksum::{CorruptValue, Corruption};
use crate::codec::{SnapshotHeader, decode_chunk, decode_entry, read_meta_from_table};
use crate::error::StoreError;
use crate::schema::{CHUNKS, CHUNKS_NAME, HARD_STATE_KEY, LOG, LOG_NAME, META, SNAPSHOT_KEY};

/// State that an instance resumes from.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PersistedState {
    /// Hard state; the default if none was ever written.
    pub hard_state: HardState,
    /// Latest snapshot, if there is one.
    pub snapshot: Option<Snapshot>,
    /// Log entries after the snapshot, with consecutive indexes.
    pub entries: Vec<LogEntry>,
}

impl Store {
    /// Reads the hard state, the latest snapshot and the log entries after it.
    ///
    /// # Errors
    /// Returns an error if a value is corrupt, if a log entry or a snapshot chunk is missing, or if the
    /// device fails.
    pub fn load(&self) -> Result<PersistedState, StoreError> {
        let txn = self.db.begin_read()?;
        let meta = txn.open_table(META)?;
        let hard_state = read_meta_from_table(&meta, HARD_STATE_KEY)?.unwrap_or_default();
        let snapshot = match read_meta_from_table(&meta, SNAPSHOT_KEY)? {
            Some(header) => Some(load_snapshot(&txn, header)?),
            None => None,
        };
        let snapshot_index = snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let entries = load_entries(&txn, snapshot_index)?;
        Ok(PersistedState { hard_state, snapshot, entries })
    }
}

fn load_snapshot(txn: &ReadTransaction, header: SnapshotHeader) -> Result<Snapshot, StoreError> {
    let chunks = txn.open_table(CHUNKS)?;
    let mut data = Vec::with_capacity(header.data_bytes as usize);
    for number in 0..header.chunk_count {
        let stored = chunks.get(number)?.ok_or_else(|| missing_value(CHUNKS_NAME, number))?;
        data.extend_from_slice(decode_chunk(number, stored.value())?);
    }
    let found = data.len() as u64;
    if found != header.data_bytes {
        let corruption = Corruption::SnapshotLengthMismatch { found, expected: header.data_bytes };
        return Err(CorruptValue { table: CHUNKS_NAME, key: "all".to_owned(), corruption }.into());
    }
    Ok(Snapshot { index: header.index, term: header.term, members: header.members, data })
}

/// Reads the log entries after the snapshot.
fn load_entries(txn: &ReadTransaction, snapshot_index: u64) -> Result<Vec<LogEntry>, StoreError> {
    let mut entries = Vec::new();
    let log = txn.open_table(LOG)?;
    for item in log.range(snapshot_index + 1..)? {
        let (index, stored) = item?;
        let index = index.value();
        let expected = snapshot_index + 1 + entries.len() as u64;
        if index != expected {
            return Err(missing_value(LOG_NAME, expected).into());
        }
        entries.push(decode_entry(index, stored.value())?);
    }
    Ok(entries)
}

fn missing_value(table: &'static str, key: u64) -> CorruptValue {
    CorruptValue { table, key: key.to_string(), corruption: Corruption::MissingFromSequence }
}

//! Loading: what an instance needs to go on after a start.

use redb::{ReadTransaction, ReadableDatabase};

use super::Store;
use crate::batch::{HardState, Record, Snapshot};
use crate::checksum::{CorruptValue, Corruption};
use crate::codec::{SnapshotHeader, decode_chunk, decode_record, read_meta};
use crate::error::StoreError;
use crate::schema::{CHUNKS, CHUNKS_NAME, HARD_STATE_KEY, LOG, LOG_NAME, META, SNAPSHOT_KEY};

/// What is stored, as read back at a start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Loaded {
    /// The hard state.
    pub hard_state: HardState,
    /// The latest snapshot, if there is one.
    pub snapshot: Option<Snapshot>,
    /// The entries behind it, without a gap.
    pub entries: Vec<Record>,
}

impl Store {
    /// Reads everything that an instance needs to go on.
    ///
    /// # Errors
    /// Corrupt bytes with their place, a gap in the log, or a device that fails.
    pub fn load(&self) -> Result<Loaded, StoreError> {
        let txn = self.db.begin_read()?;
        let meta = txn.open_table(META)?;
        let hard = read_meta(&meta, HARD_STATE_KEY)?.unwrap_or_default();
        let snapshot = match read_meta(&meta, SNAPSHOT_KEY)? {
            Some(header) => Some(load_snapshot(&txn, header)?),
            None => None,
        };
        let covered = snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let entries = load_entries(&txn, covered)?;
        Ok(Loaded { hard_state: hard, snapshot, entries })
    }
}

fn load_snapshot(txn: &ReadTransaction, header: SnapshotHeader) -> Result<Snapshot, StoreError> {
    let chunks = txn.open_table(CHUNKS)?;
    let mut data = Vec::with_capacity(header.data_bytes as usize);
    for number in 0..header.chunk_count {
        let stored = chunks.get(number)?.ok_or_else(|| missing(CHUNKS_NAME, number))?;
        data.extend_from_slice(decode_chunk(number, stored.value())?);
    }
    let found = data.len() as u64;
    if found != header.data_bytes {
        let corruption = Corruption::SnapshotLength { found, written: header.data_bytes };
        return Err(CorruptValue { table: CHUNKS_NAME, key: "all".to_owned(), corruption }.into());
    }
    Ok(Snapshot { index: header.index, term: header.term, members: header.members, data })
}

/// The entries behind an index.
fn load_entries(txn: &ReadTransaction, covered: u64) -> Result<Vec<Record>, StoreError> {
    let mut entries = Vec::new();
    let log = txn.open_table(LOG)?;
    for item in log.range(covered + 1..)? {
        let (index, stored) = item?;
        let index = index.value();
        let expected = covered + 1 + entries.len() as u64;
        if index != expected {
            return Err(missing(LOG_NAME, expected).into());
        }
        entries.push(decode_record(index, stored.value())?);
    }
    Ok(entries)
}

fn missing(table: &'static str, key: u64) -> CorruptValue {
    CorruptValue { table, key: key.to_string(), corruption: Corruption::MissingBetweenOthers }
}

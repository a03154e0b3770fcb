//! Scrubbing and usage: whether everything stored can still be read, and how much it is.

use redb::{ReadableDatabase, ReadableTable, ReadableTableMetadata};
use serde::Serialize;

use super::Store;
use crate::checksum::CorruptValue;
use crate::codec::{decode_chunk, decode_key_value, decode_record, verify_meta};
use crate::error::StoreError;
use crate::schema::{CHUNKS, KEYS, LOG, META, SCHEMA_KEY};

/// What a scrub found.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Scrub {
    /// Number of values that are what was written.
    pub sound: u64,
    /// Values that are not what was written.
    pub corrupt: Vec<CorruptValue>,
}

impl Scrub {
    fn record<T>(&mut self, value: Result<T, CorruptValue>) {
        match value {
            Ok(_) => self.sound += 1,
            Err(corrupt) => self.corrupt.push(corrupt),
        }
    }
}

/// How much is stored.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Usage {
    /// Length of the file's used pages, in bytes.
    pub bytes: u64,
    /// Number of entries behind the snapshot.
    pub entries: u64,
    /// Index of the first of them, if any.
    pub first: Option<u64>,
    /// Index of the last of them, if any.
    pub last: Option<u64>,
    /// Number of keys of other subsystems.
    pub keys: u64,
}

impl Store {
    /// Reads everything that is stored and names whatever is not what was written.
    ///
    /// # Errors
    /// A device that fails; corrupt values are in the report.
    pub fn scrub(&self) -> Result<Scrub, StoreError> {
        let txn = self.db.begin_read()?;
        let mut report = Scrub::default();
        for item in txn.open_table(META)?.iter()? {
            let (key, stored) = item?;
            if key.value() != SCHEMA_KEY {
                report.record(verify_meta(key.value(), stored.value()));
            }
        }
        for item in txn.open_table(LOG)?.iter()? {
            let (index, stored) = item?;
            report.record(decode_record(index.value(), stored.value()));
        }
        for item in txn.open_table(CHUNKS)?.iter()? {
            let (number, stored) = item?;
            report.record(decode_chunk(number.value(), stored.value()));
        }
        for item in txn.open_table(KEYS)?.iter()? {
            let (key, stored) = item?;
            report.record(decode_key_value(key.value(), stored.value()));
        }
        Ok(report)
    }

    /// How much is stored.
    ///
    /// # Errors
    /// A device that fails.
    pub fn usage(&self) -> Result<Usage, StoreError> {
        let txn = self.db.begin_read()?;
        let log = txn.open_table(LOG)?;
        let chunks = txn.open_table(CHUNKS)?;
        let keys = txn.open_table(KEYS)?;
        let meta = txn.open_table(META)?;
        let mut bytes = 0;
        for stats in [log.stats()?, chunks.stats()?, keys.stats()?, meta.stats()?] {
            bytes += stats.stored_bytes() + stats.metadata_bytes() + stats.fragmented_bytes();
        }
        let behind_snapshot = || log.range(self.end.snapshot + 1..);
        let first = behind_snapshot()?.next().transpose()?.map(|(index, _)| index.value());
        let last = behind_snapshot()?.next_back().transpose()?.map(|(index, _)| index.value());
        let entries = match (first, last) {
            (Some(first), Some(last)) => last - first + 1,
            _ => 0,
        };
        Ok(Usage { bytes, entries, first, last, keys: keys.len()? })
    }
}

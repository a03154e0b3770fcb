//! Verification of all stored values, and the size of the store.

use redb::{ReadableDatabase, ReadableTable, ReadableTableMetadata};
use serde::Serialize;

use super::Store;
use crate::checksum::CorruptValue;
use crate::codec::{decode_chunk, decode_entry, decode_key_value, verify_meta};
use crate::error::StoreError;
use crate::schema::{CHUNKS, KEYS, LOG, META, SCHEMA_KEY};

/// Result of a scrub.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ScrubReport {
    /// Number of values that were verified successfully.
    pub valid_count: u64,
    /// Corrupt values.
    pub corrupt: Vec<CorruptValue>,
}

impl ScrubReport {
    fn add_result<T>(&mut self, value: Result<T, CorruptValue>) {
        match value {
            Ok(_) => self.valid_count += 1,
            Err(corrupt) => self.corrupt.push(corrupt),
        }
    }
}

/// Size of the stored data.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Usage {
    /// Space that the tables use in the file, in bytes.
    pub bytes: u64,
    /// Number of log entries after the snapshot.
    pub entries: u64,
    /// Index of the first entry after the snapshot, if there is one.
    pub first: Option<u64>,
    /// Index of the last entry after the snapshot, if there is one.
    pub last: Option<u64>,
    /// Number of keys in the key space of other subsystems.
    pub keys: u64,
}

impl Store {
    /// Reads and verifies all stored values. The schema version is skipped because it has no checksum.
    ///
    /// # Errors
    /// Returns an error if the device fails. Corrupt values are not an error but part of the result.
    pub fn scrub(&self) -> Result<ScrubReport, StoreError> {
        let txn = self.db.begin_read()?;
        let mut report = ScrubReport::default();
        for item in txn.open_table(META)?.iter()? {
            let (key, stored) = item?;
            if key.value() != SCHEMA_KEY {
                report.add_result(verify_meta(key.value(), stored.value()));
            }
        }
        for item in txn.open_table(LOG)?.iter()? {
            let (index, stored) = item?;
            report.add_result(decode_entry(index.value(), stored.value()));
        }
        for item in txn.open_table(CHUNKS)?.iter()? {
            let (number, stored) = item?;
            report.add_result(decode_chunk(number.value(), stored.value()));
        }
        for item in txn.open_table(KEYS)?.iter()? {
            let (key, stored) = item?;
            report.add_result(decode_key_value(key.value(), stored.value()));
        }
        Ok(report)
    }

    /// Returns the size of the stored data.
    ///
    /// # Errors
    /// Returns an error if the device fails.
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
        let entries_after_snapshot = || log.range(self.log_end.snapshot_index + 1..);
        let first = entries_after_snapshot()?.next().transpose()?.map(|(index, _)| index.value());
        let last = entries_after_snapshot()?.next_back().transpose()?.map(|(index, _)| index.value());
        let entries = match (first, last) {
            (Some(first), Some(last)) => last - first + 1,
            _ => 0,
        };
        Ok(Usage { bytes, entries, first, last, keys: keys.len()? })
    }
}

//! Commits. A batch is validated against the stored log and written in one transaction.

use redb::{ReadableDatabase, ReadableTable, WriteTransaction};

use super::{LogEnd, Store};
use crate::batch::{Batch, LogEntry, Snapshot};
use crate::codec::{SnapshotHeader, decode_entry, encode_chunk, encode_entry, encode_key_value, write_meta};
use crate::error::{BatchOrderError, StoreError};
use crate::schema::{CHUNKS, HARD_STATE_KEY, KEYS, LOG, SNAPSHOT_KEY};

/// Maximum size of a snapshot chunk, in bytes.
const CHUNK_BYTES: usize = 64 * 1024;
/// Base number of old entries, covered by the snapshot, that a commit of entries also removes;
/// [`REMOVED_PER_WRITTEN_ENTRY`] more for each entry written. The removal is spread over several commits
/// because removing all covered entries with the snapshot itself would delay a busy instance.
const BASE_REMOVED_ENTRIES: usize = 16;
/// Number of old entries removed in addition for each entry that the commit writes. The value is above 1 so
/// that covered entries are removed soon, even while the log grows.
const REMOVED_PER_WRITTEN_ENTRY: usize = 3;

impl Store {
    /// Writes a batch atomically. Once this returns `Ok`, the batch is durable.
    ///
    /// # Errors
    /// Returns [`StoreError::OutOfOrder`] if the batch does not continue the stored log; nothing is changed
    /// then. If writing the batch fails, every later commit fails as well: the caller recovers by opening the
    /// file again.
    pub fn commit(&mut self, batch: &Batch) -> Result<(), StoreError> {
        if let Some(reason) = &self.failure {
            return Err(StoreError::Failed { reason: reason.clone() });
        }
        let log_end = self.validate_batch(batch)?;
        match self.write(batch, log_end) {
            Ok(()) => {
                self.log_end = log_end;
                Ok(())
            }
            Err(error) => {
                self.failure = Some(error.to_string());
                Err(error)
            }
        }
    }

    /// Validates a batch against the stored log. Returns the end of the log after the batch.
    fn validate_batch(&self, batch: &Batch) -> Result<LogEnd, StoreError> {
        let mut log_end = self.log_end;
        if let Some(snapshot) = &batch.snapshot {
            log_end = self.validate_snapshot(snapshot)?;
        }
        if let Some(first) = batch.entries.first() {
            if first.index <= log_end.snapshot_index || first.index > log_end.last_index + 1 {
                let (index, last, snapshot) = (first.index, log_end.last_index, log_end.snapshot_index);
                return Err(BatchOrderError::FirstIndexOutOfRange { index, last, snapshot }.into());
            }
            for (expected, entry) in (first.index..).zip(&batch.entries) {
                if entry.index != expected {
                    return Err(BatchOrderError::NotConsecutive { index: entry.index, expected }.into());
                }
                log_end.last_index = expected;
            }
        }
        Ok(log_end)
    }

    /// Validates a snapshot against the stored one. Returns the end of the log after the snapshot.
    fn validate_snapshot(&self, snapshot: &Snapshot) -> Result<LogEnd, StoreError> {
        let index = snapshot.index;
        if index < self.log_end.snapshot_index {
            return Err(BatchOrderError::OldSnapshot { index, stored: self.log_end.snapshot_index }.into());
        }
        let txn = self.db.begin_read()?;
        let last_index = if contains_last_entry(&txn.open_table(LOG)?, snapshot)? {
            self.log_end.last_index
        } else {
            index
        };
        Ok(LogEnd { last_index, snapshot_index: index })
    }

    fn write(&self, batch: &Batch, log_end: LogEnd) -> Result<(), StoreError> {
        let txn = self.db.begin_write()?;
        if let Some(snapshot) = &batch.snapshot {
            write_snapshot(&txn, snapshot)?;
        }
        if let Some(hard_state) = &batch.hard_state {
            write_meta(&txn, HARD_STATE_KEY, hard_state)?;
        }
        if !batch.entries.is_empty() {
            write_entries(&txn, &batch.entries, log_end.snapshot_index)?;
        }
        if !batch.key_changes.is_empty() {
            write_keys(&txn, &batch.key_changes)?;
        }
        txn.commit()?;
        Ok(())
    }
}

/// Returns whether the log contains the snapshot's last entry, with the same term: only then do the entries
/// after it belong to the history of the snapshot.
fn contains_last_entry(
    log: &impl ReadableTable<u64, &'static [u8]>,
    snapshot: &Snapshot,
) -> Result<bool, StoreError> {
    match log.get(snapshot.index)? {
        Some(stored) => Ok(decode_entry(snapshot.index, stored.value())?.term == snapshot.term),
        None => Ok(false),
    }
}

fn write_snapshot(txn: &WriteTransaction, snapshot: &Snapshot) -> Result<(), StoreError> {
    let mut log = txn.open_table(LOG)?;
    // If the log does not contain the snapshot's last entry, the entries after it belong to a history that
    // the snapshot replaces.
    if !contains_last_entry(&log, snapshot)? {
        log.retain_in(snapshot.index.., |_, _| false)?;
    }
    // Entries covered by the snapshot are no longer read. Later commits remove them, a limited number at a
    // time.
    let mut chunks = txn.open_table(CHUNKS)?;
    chunks.retain(|_, _| false)?;
    let mut chunk_count = 0u64;
    for chunk in snapshot.data.chunks(CHUNK_BYTES) {
        chunks.insert(chunk_count, encode_chunk(chunk_count, chunk).as_slice())?;
        chunk_count += 1;
    }
    let header = SnapshotHeader {
        index: snapshot.index,
        term: snapshot.term,
        members: snapshot.members.clone(),
        chunk_count,
        data_bytes: snapshot.data.len() as u64,
    };
    write_meta(txn, SNAPSHOT_KEY, &header)
}

/// Writes at least one entry, and removes a limited number of entries that the snapshot covers.
///
/// # Panics
/// Panics if `entries` is empty.
fn write_entries(
    txn: &WriteTransaction,
    entries: &[LogEntry],
    snapshot_index: u64,
) -> Result<(), StoreError> {
    let first_index = entries[0].index;
    let mut log = txn.open_table(LOG)?;
    // Most appends replace no entry, and reading the last index is cheaper than removing an empty range.
    if log.last()?.is_some_and(|(last_index, _)| last_index.value() >= first_index) {
        log.retain_in(first_index.., |_, _| false)?;
    }
    for entry in entries {
        log.insert(entry.index, encode_entry(entry).as_slice())?;
    }
    // More entries are removed than written, so that the removal completes.
    for _ in 0..BASE_REMOVED_ENTRIES + REMOVED_PER_WRITTEN_ENTRY * entries.len() {
        if log.first()?.is_none_or(|(index, _)| index.value() > snapshot_index) {
            break;
        }
        log.pop_first()?;
    }
    Ok(())
}

fn write_keys(txn: &WriteTransaction, changes: &[(String, Option<Vec<u8>>)]) -> Result<(), StoreError> {
    let mut keys = txn.open_table(KEYS)?;
    for (key, value) in changes {
        match value {
            Some(value) => {
                keys.insert(key.as_str(), encode_key_value(key, value).as_slice())?;
            }
            None => {
                keys.remove(key.as_str())?;
            }
        }
    }
    Ok(())
}

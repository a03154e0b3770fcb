//! Commits: a batch is checked against what is stored and written in one transaction.

use redb::{ReadableDatabase, ReadableTable, WriteTransaction};

use super::{LogEnd, Store};
use crate::batch::{Batch, Record, Snapshot};
use crate::codec::{SnapshotHeader, decode_record, encode_chunk, encode_key_value, encode_record, put_meta};
use crate::error::{BatchOrderError, StoreError};
use crate::schema::{CHUNKS, HARD_STATE_KEY, KEYS, LOG, SNAPSHOT_KEY};

/// Largest chunk of a snapshot in one value, in bytes.
const CHUNK_BYTES: usize = 64 * 1024;
/// Fewest entries behind the snapshot that a commit of entries removes; more with more entries in it. Removing all
/// of them with the snapshot itself delayed a busy instance by a quarter of a second at 10,000 entries.
const MIN_REMOVED_ENTRIES: usize = 16;
/// Entries removed for each entry written, so that the old ones are gone before long.
const REMOVED_PER_ENTRY: usize = 3;

impl Store {
    /// Makes a change durable: when this returns, all of `batch` survives any crash.
    ///
    /// # Errors
    /// [`StoreError::OutOfOrder`] for a batch that does not follow what is stored, with nothing changed. After any other
    /// error the store has ended and every later call fails: the caller recovers by opening the file again.
    pub fn commit(&mut self, batch: &Batch) -> Result<(), StoreError> {
        if let Some(reason) = &self.failure {
            return Err(StoreError::Failed { reason: reason.clone() });
        }
        let end = self.end_after(batch)?;
        match self.write(batch, end) {
            Ok(()) => {
                self.end = end;
                Ok(())
            }
            Err(error) => {
                self.failure = Some(error.to_string());
                Err(error)
            }
        }
    }

    /// Where the log ends after the batch, if the batch follows what is stored.
    fn end_after(&self, batch: &Batch) -> Result<LogEnd, StoreError> {
        let mut end = self.end;
        if let Some(snapshot) = &batch.snapshot {
            end = self.end_after_snapshot(snapshot)?;
        }
        if let Some(first) = batch.entries.first() {
            if first.index <= end.snapshot || first.index > end.last + 1 {
                let (index, last, snapshot) = (first.index, end.last, end.snapshot);
                return Err(BatchOrderError::Gap { index, last, snapshot }.into());
            }
            for (expected, record) in (first.index..).zip(&batch.entries) {
                if record.index != expected {
                    return Err(BatchOrderError::NotConsecutive { index: record.index, expected }.into());
                }
                end.last = expected;
            }
        }
        Ok(end)
    }

    fn end_after_snapshot(&self, snapshot: &Snapshot) -> Result<LogEnd, StoreError> {
        let index = snapshot.index;
        if index < self.end.snapshot {
            return Err(BatchOrderError::OldSnapshot { index, stored: self.end.snapshot }.into());
        }
        let txn = self.db.begin_read()?;
        let last = if log_continues(&txn.open_table(LOG)?, snapshot)? { self.end.last } else { index };
        Ok(LogEnd { last, snapshot: index })
    }

    fn write(&self, batch: &Batch, end: LogEnd) -> Result<(), StoreError> {
        let txn = self.db.begin_write()?;
        if let Some(snapshot) = &batch.snapshot {
            write_snapshot(&txn, snapshot)?;
        }
        if let Some(hard) = &batch.hard_state {
            put_meta(&txn, HARD_STATE_KEY, hard)?;
        }
        if !batch.entries.is_empty() {
            write_entries(&txn, &batch.entries, end.snapshot)?;
        }
        if !batch.keys.is_empty() {
            write_keys(&txn, &batch.keys)?;
        }
        txn.commit()?;
        Ok(())
    }
}

/// Whether the stored log is of the same history as the snapshot.
fn log_continues(
    log: &impl ReadableTable<u64, &'static [u8]>,
    snapshot: &Snapshot,
) -> Result<bool, StoreError> {
    match log.get(snapshot.index)? {
        Some(stored) => Ok(decode_record(snapshot.index, stored.value())?.term == snapshot.term),
        None => Ok(false),
    }
}

fn write_snapshot(txn: &WriteTransaction, snapshot: &Snapshot) -> Result<(), StoreError> {
    let mut log = txn.open_table(LOG)?;
    // Entries behind the snapshot stay only where the log continues it: else they belong to a history that the
    // snapshot has replaced.
    if !log_continues(&log, snapshot)? {
        log.retain_in(snapshot.index.., |_, _| false)?;
    }
    // Entries that the snapshot covers are not read any more; later commits remove them, a few at a time.
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
    put_meta(txn, SNAPSHOT_KEY, &header)
}

/// Writes entries, of which there is at least one, and removes some that the snapshot covers.
fn write_entries(txn: &WriteTransaction, entries: &[Record], snapshot: u64) -> Result<(), StoreError> {
    let first = entries[0].index;
    let mut log = txn.open_table(LOG)?;
    // Most appends replace nothing, and asking for the last index costs less than an empty range.
    if log.last()?.is_some_and(|(last, _)| last.value() >= first) {
        log.retain_in(first.., |_, _| false)?;
    }
    for record in entries {
        log.insert(record.index, encode_record(record).as_slice())?;
    }
    // Faster than entries are written, so that the removal comes to an end.
    for _ in 0..MIN_REMOVED_ENTRIES + REMOVED_PER_ENTRY * entries.len() {
        if log.first()?.is_none_or(|(first, _)| first.value() > snapshot) {
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

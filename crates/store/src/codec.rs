//! Encoding and decoding of the values of each table, with their checksums.

use redb::{ReadableTable, WriteTransaction};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::batch::LogEntry;
use crate::checksum::{CorruptValue, Corruption, prepend_checksum, verify_checksum};
use crate::error::StoreError;
use crate::schema::{CHUNKS_NAME, KEYS_NAME, LOG_NAME, META, META_NAME};

/// Header of the snapshot, stored in [`META`]. The order of the fields defines the stored format.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct SnapshotHeader {
    pub(crate) index: u64,
    pub(crate) term: u64,
    pub(crate) members: Vec<u8>,
    /// Number of chunks that contain the data.
    pub(crate) chunk_count: u64,
    /// Length of the data, in bytes.
    pub(crate) data_bytes: u64,
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Serialization fails only for sequences of unknown length, which no stored type contains.
    postcard::to_stdvec(value).unwrap_or_default()
}

fn decode<T: DeserializeOwned>(table: &'static str, key: &str, bytes: &[u8]) -> Result<T, CorruptValue> {
    postcard::from_bytes(bytes).map_err(|error| CorruptValue {
        table,
        key: key.to_owned(),
        corruption: error.into(),
    })
}

/// Encodes a log entry for storage.
pub(crate) fn encode_entry(entry: &LogEntry) -> Vec<u8> {
    prepend_checksum(LOG_NAME, &entry.index.to_le_bytes(), &encode(entry))
}

/// Decodes the log entry stored at an index.
pub(crate) fn decode_entry(index: u64, stored: &[u8]) -> Result<LogEntry, CorruptValue> {
    let key = index.to_string();
    let bytes = verify_checksum(LOG_NAME, &index.to_le_bytes(), &key, stored)?;
    let entry: LogEntry = decode(LOG_NAME, &key, bytes)?;
    if entry.index != index {
        let corruption = Corruption::EntryIndexMismatch { index: entry.index };
        return Err(CorruptValue { table: LOG_NAME, key, corruption });
    }
    Ok(entry)
}

/// Encodes a chunk of the snapshot for storage.
pub(crate) fn encode_chunk(number: u64, chunk: &[u8]) -> Vec<u8> {
    prepend_checksum(CHUNKS_NAME, &number.to_le_bytes(), chunk)
}

/// Decodes the chunk of the snapshot stored under a number.
pub(crate) fn decode_chunk(number: u64, stored: &[u8]) -> Result<&[u8], CorruptValue> {
    verify_checksum(CHUNKS_NAME, &number.to_le_bytes(), &number.to_string(), stored)
}

/// Encodes a value of the key space for storage.
pub(crate) fn encode_key_value(key: &str, value: &[u8]) -> Vec<u8> {
    prepend_checksum(KEYS_NAME, key.as_bytes(), value)
}

/// Decodes the value stored under a key of the key space.
pub(crate) fn decode_key_value<'a>(key: &str, stored: &'a [u8]) -> Result<&'a [u8], CorruptValue> {
    verify_checksum(KEYS_NAME, key.as_bytes(), key, stored)
}

/// Verifies a value of [`META`] and returns it without its checksum.
pub(crate) fn verify_meta<'a>(key: &str, stored: &'a [u8]) -> Result<&'a [u8], CorruptValue> {
    verify_checksum(META_NAME, key.as_bytes(), key, stored)
}

/// Reads a value from the opened [`META`] table. Returns `None` if the key does not exist.
pub(crate) fn read_meta_from_table<T: DeserializeOwned>(
    meta: &impl ReadableTable<&'static str, &'static [u8]>,
    key: &str,
) -> Result<Option<T>, StoreError> {
    let Some(stored) = meta.get(key)? else { return Ok(None) };
    let bytes = verify_meta(key, stored.value())?;
    Ok(Some(decode(META_NAME, key, bytes)?))
}

/// Reads a value of [`META`] in a write transaction. Returns `None` if the key does not exist.
pub(crate) fn read_meta<T: DeserializeOwned>(
    txn: &WriteTransaction,
    key: &str,
) -> Result<Option<T>, StoreError> {
    read_meta_from_table(&txn.open_table(META)?, key)
}

/// Writes a value of [`META`].
pub(crate) fn write_meta<T: Serialize>(
    txn: &WriteTransaction,
    key: &str,
    value: &T,
) -> Result<(), StoreError> {
    let stored = prepend_checksum(META_NAME, key.as_bytes(), &encode(value));
    txn.open_table(META)?.insert(key, stored.as_slice())?;
    Ok(())
}

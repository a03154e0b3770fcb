//! Values as bytes with a checksum, table by table.

use redb::{ReadableTable, WriteTransaction};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::batch::Record;
use crate::checksum::{CorruptValue, Corruption, add_checksum, verify_checksum};
use crate::error::StoreError;
use crate::schema::{CHUNKS_NAME, KEYS_NAME, LOG_NAME, META, META_NAME};

/// What [`META`] holds of the snapshot. The order of the fields is the stored form.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct SnapshotHeader {
    pub(crate) index: u64,
    pub(crate) term: u64,
    pub(crate) members: Vec<u8>,
    /// Number of chunks that the data is stored in.
    pub(crate) chunk_count: u64,
    /// Length of the data, in bytes.
    pub(crate) data_bytes: u64,
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Fails only for sequences whose length is not known beforehand; no stored type has one.
    postcard::to_stdvec(value).unwrap_or_default()
}

fn decode<T: DeserializeOwned>(table: &'static str, key: &str, bytes: &[u8]) -> Result<T, CorruptValue> {
    postcard::from_bytes(bytes).map_err(|error| CorruptValue {
        table,
        key: key.to_owned(),
        corruption: error.into(),
    })
}

/// An entry as it is stored.
pub(crate) fn encode_record(record: &Record) -> Vec<u8> {
    add_checksum(LOG_NAME, &record.index.to_le_bytes(), &encode(record))
}

/// The entry that is stored at an index.
pub(crate) fn decode_record(index: u64, stored: &[u8]) -> Result<Record, CorruptValue> {
    let key = index.to_string();
    let bytes = verify_checksum(LOG_NAME, &index.to_le_bytes(), &key, stored)?;
    let record: Record = decode(LOG_NAME, &key, bytes)?;
    if record.index != index {
        let corruption = Corruption::WrongEntry { index: record.index };
        return Err(CorruptValue { table: LOG_NAME, key, corruption });
    }
    Ok(record)
}

/// A chunk of the snapshot as it is stored.
pub(crate) fn encode_chunk(number: u64, chunk: &[u8]) -> Vec<u8> {
    add_checksum(CHUNKS_NAME, &number.to_le_bytes(), chunk)
}

/// The chunk of the snapshot that is stored under a number.
pub(crate) fn decode_chunk(number: u64, stored: &[u8]) -> Result<&[u8], CorruptValue> {
    verify_checksum(CHUNKS_NAME, &number.to_le_bytes(), &number.to_string(), stored)
}

/// A key's value as it is stored.
pub(crate) fn encode_key_value(key: &str, value: &[u8]) -> Vec<u8> {
    add_checksum(KEYS_NAME, key.as_bytes(), value)
}

/// The value that is stored under a key.
pub(crate) fn decode_key_value<'a>(key: &str, stored: &'a [u8]) -> Result<&'a [u8], CorruptValue> {
    verify_checksum(KEYS_NAME, key.as_bytes(), key, stored)
}

/// The bytes that are stored in [`META`] under a key.
pub(crate) fn verify_meta<'a>(key: &str, stored: &'a [u8]) -> Result<&'a [u8], CorruptValue> {
    verify_checksum(META_NAME, key.as_bytes(), key, stored)
}

/// Reads a value of [`META`], if it is there.
pub(crate) fn read_meta<T: DeserializeOwned>(
    meta: &impl ReadableTable<&'static str, &'static [u8]>,
    key: &str,
) -> Result<Option<T>, StoreError> {
    let Some(stored) = meta.get(key)? else { return Ok(None) };
    let bytes = verify_meta(key, stored.value())?;
    Ok(Some(decode(META_NAME, key, bytes)?))
}

/// Reads a value of [`META`] in a write transaction, if it is there.
pub(crate) fn get_meta<T: DeserializeOwned>(
    txn: &WriteTransaction,
    key: &str,
) -> Result<Option<T>, StoreError> {
    read_meta(&txn.open_table(META)?, key)
}

/// Writes a value of [`META`].
pub(crate) fn put_meta<T: Serialize>(txn: &WriteTransaction, key: &str, value: &T) -> Result<(), StoreError> {
    let stored = add_checksum(META_NAME, key.as_bytes(), &encode(value));
    txn.open_table(META)?.insert(key, stored.as_slice())?;
    Ok(())
}

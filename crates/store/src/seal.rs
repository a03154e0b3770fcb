//! Sealed values: a checksum over the place and the bytes, so that neither a flipped bit nor a value in
//! another one's place is ever served.

use std::fmt;

/// Bytes that are not what was written there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Corrupt {
    /// Which table.
    pub table: &'static str,
    /// Which key in it.
    pub key: String,
    /// What is wrong.
    pub what: String,
}

impl fmt::Display for Corrupt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}[{}]: {}", self.table, self.key, self.what)
    }
}

/// Length of the checksum in front of each value, in bytes.
const SUM: usize = 4;

fn sum(table: &str, key: &[u8], bytes: &[u8]) -> [u8; SUM] {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(table.as_bytes());
    hasher.update(&[0]);
    hasher.update(&(key.len() as u64).to_le_bytes());
    hasher.update(key);
    hasher.update(bytes);
    hasher.finalize().to_le_bytes()
}

/// The bytes with their seal in front.
pub(crate) fn seal(table: &str, key: &[u8], bytes: &[u8]) -> Vec<u8> {
    let mut sealed = Vec::with_capacity(SUM + bytes.len());
    sealed.extend_from_slice(&sum(table, key, bytes));
    sealed.extend_from_slice(bytes);
    sealed
}

/// The bytes behind the seal, if it holds.
pub(crate) fn open<'a>(
    table: &'static str,
    key: &[u8],
    shown: &str,
    sealed: &'a [u8],
) -> Result<&'a [u8], Corrupt> {
    let corrupt = |what: String| Corrupt { table, key: shown.to_owned(), what };
    let Some((front, bytes)) = sealed.split_at_checked(SUM) else {
        return Err(corrupt(format!("{} bytes, shorter than a checksum", sealed.len())));
    };
    if front != sum(table, key, bytes) {
        return Err(corrupt(format!("the checksum over {} bytes does not match", bytes.len())));
    }
    Ok(bytes)
}

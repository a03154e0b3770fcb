//! Checksummed values: a checksum over the table, the key and the bytes, so that neither a flipped bit nor a value in
//! the place of another one is ever served.

use std::fmt;

/// Length of the checksum in front of each value, in bytes.
const CHECKSUM_BYTES: usize = 4;

/// A value that is not what was written, and where it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CorruptValue {
    /// The table.
    pub table: &'static str,
    /// The key in it.
    pub key: String,
    /// What is wrong.
    pub corruption: Corruption,
}

impl fmt::Display for CorruptValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}[{}]: {}", self.table, self.key, self.corruption)
    }
}

impl std::error::Error for CorruptValue {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.corruption)
    }
}

/// In which way a value is not what was written.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Corruption {
    /// The file's pages, in redb's words.
    #[error("{0}")]
    Pages(String),
    /// The file's pages are so inconsistent that redb panicked.
    #[error("the pages contradict themselves")]
    InconsistentPages,
    /// Too short for a checksum.
    #[error("{length} bytes, shorter than a checksum")]
    TooShort {
        /// Its length, in bytes.
        length: usize,
    },
    /// The checksum is another one.
    #[error("the checksum over {length} bytes does not match")]
    ChecksumMismatch {
        /// Length of the value without its checksum, in bytes.
        length: usize,
    },
    /// The bytes can't be decoded.
    #[error("{0}")]
    Undecodable(#[from] postcard::Error),
    /// The schema version has another length than four bytes.
    #[error("not four bytes")]
    SchemaLength,
    /// A value that each store has is missing.
    #[error("missing")]
    Missing,
    /// A value is missing between others.
    #[error("missing between others")]
    MissingBetweenOthers,
    /// An entry with another index than its place.
    #[error("it holds entry {index}")]
    WrongEntry {
        /// The index that it has.
        index: u64,
    },
    /// A snapshot whose chunks don't have the length that was written.
    #[error("{found} bytes, {written} were written")]
    SnapshotLength {
        /// Their length, in bytes.
        found: u64,
        /// The length that was written, in bytes.
        written: u64,
    },
}

fn checksum(table: &str, key: &[u8], bytes: &[u8]) -> [u8; CHECKSUM_BYTES] {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(table.as_bytes());
    hasher.update(&[0]);
    hasher.update(&(key.len() as u64).to_le_bytes());
    hasher.update(key);
    hasher.update(bytes);
    hasher.finalize().to_le_bytes()
}

/// The bytes with their checksum in front.
pub(crate) fn add_checksum(table: &str, key: &[u8], bytes: &[u8]) -> Vec<u8> {
    let mut checksummed = Vec::with_capacity(CHECKSUM_BYTES + bytes.len());
    checksummed.extend_from_slice(&checksum(table, key, bytes));
    checksummed.extend_from_slice(bytes);
    checksummed
}

/// The bytes without their checksum, if it matches. `shown_key` is the key in an error.
pub(crate) fn verify_checksum<'a>(
    table: &'static str,
    key: &[u8],
    shown_key: &str,
    checksummed: &'a [u8],
) -> Result<&'a [u8], CorruptValue> {
    let corrupt = |corruption| CorruptValue { table, key: shown_key.to_owned(), corruption };
    let Some((stored, bytes)) = checksummed.split_at_checked(CHECKSUM_BYTES) else {
        return Err(corrupt(Corruption::TooShort { length: checksummed.len() }));
    };
    if stored != checksum(table, key, bytes) {
        return Err(corrupt(Corruption::ChecksumMismatch { length: bytes.len() }));
    }
    Ok(bytes)
}

//! Checksums of stored values. A checksum covers the table name, the key and the bytes, so that it detects
//! both flipped bits and a value that is stored under another value's key.

use std::fmt;

/// Length of the checksum that precedes each value, in bytes.
const CHECKSUM_BYTES: usize = 4;

/// Corrupt or missing value, with its location. The text is part of the JSON output of
/// `garnetcrank --json ledger inspect --scrub`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CorruptValue {
    /// Name of the table.
    pub table: &'static str,
    /// Key in the table.
    pub key: String,
    /// Kind of the corruption.
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

/// Kind of corruption of a value. The texts are part of the JSON output of
/// `garnetcrank --json ledger inspect --scrub`.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Corruption {
    /// The file's pages are corrupt; the text is redb's message.
    #[error("{0}")]
    Pages(String),
    /// The file's pages are so inconsistent that redb panicked.
    #[error("the pages contradict themselves")]
    InconsistentPages,
    /// The value is shorter than a checksum.
    #[error("{length} bytes, shorter than a checksum")]
    TooShort {
        /// Length of the value, in bytes.
        length: usize,
    },
    /// The stored checksum differs from the computed one.
    #[error("the checksum over {length} bytes does not match")]
    ChecksumMismatch {
        /// Length of the value without the checksum, in bytes.
        length: usize,
    },
    /// The bytes can't be decoded.
    #[error("{0}")]
    Undecodable(#[from] postcard::Error),
    /// The schema version is not four bytes long.
    #[error("not four bytes")]
    SchemaVersionLength,
    /// A value that every store has is missing.
    #[error("missing")]
    Missing,
    /// A value is missing from a sequence of consecutive keys.
    #[error("missing between others")]
    MissingFromSequence,
    /// A log entry is stored under the key of another index.
    #[error("it holds entry {index}")]
    EntryIndexMismatch {
        /// Index in the entry.
        index: u64,
    },
    /// The total length of a snapshot's chunks differs from the length in its header.
    #[error("{found} bytes, {expected} were written")]
    SnapshotLengthMismatch {
        /// Total length of the chunks, in bytes.
        found: u64,
        /// Length in the header, in bytes.
        expected: u64,
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

/// Returns the bytes, preceded by their checksum.
pub(crate) fn prepend_checksum(table: &str, key: &[u8], bytes: &[u8]) -> Vec<u8> {
    let mut checksummed = Vec::with_capacity(CHECKSUM_BYTES + bytes.len());
    checksummed.extend_from_slice(&checksum(table, key, bytes));
    checksummed.extend_from_slice(bytes);
    checksummed
}

/// Verifies the checksum and returns the bytes without it. `display_key` is the key that an error reports.
pub(crate) fn verify_checksum<'a>(
    table: &'static str,
    key: &[u8],
    display_key: &str,
    checksummed: &'a [u8],
) -> Result<&'a [u8], CorruptValue> {
    let corrupt = |corruption| CorruptValue { table, key: display_key.to_owned(), corruption };
    let Some((stored, bytes)) = checksummed.split_at_checked(CHECKSUM_BYTES) else {
        return Err(corrupt(Corruption::TooShort { length: checksummed.len() }));
    };
    if stored != checksum(table, key, bytes) {
        return Err(corrupt(Corruption::ChecksumMismatch { length: bytes.len() }));
    }
    Ok(bytes)
}

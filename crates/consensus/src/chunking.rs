//! Messages that are too long for one frame, such as snapshots, in pieces: short messages pass between them, and
//! whoever joins them holds one at a time, of a bounded size.

use serde::{Deserialize, Serialize};

/// Longest piece, in bytes.
pub const CHUNK_BYTES: usize = 64 * 1024;
/// Longest message that is put together, in bytes.
pub const MAX_MESSAGE_BYTES: u64 = 256 * 1024 * 1024;

/// A part of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Which message of this sender's.
    pub transfer: u64,
    /// Where it begins, in bytes.
    #[serde(rename = "at")]
    pub offset: u64,
    /// How long the whole is, in bytes.
    #[serde(rename = "whole")]
    pub total_len: u64,
    /// The bytes.
    pub bytes: Vec<u8>,
}

/// The pieces of a message, in order.
pub fn split(transfer: u64, message: &[u8]) -> impl Iterator<Item = Chunk> {
    let whole = message.len() as u64;
    message.chunks(CHUNK_BYTES).enumerate().map(move |(n, bytes)| Chunk {
        transfer,
        offset: (n * CHUNK_BYTES) as u64,
        total_len: whole,
        bytes: bytes.to_vec(),
    })
}

/// Why pieces don't make a message.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ChunkError {
    /// One is missing in front of this one.
    #[error("a piece at {found} where {expected} was to come")]
    Gap {
        /// Where it begins.
        found: u64,
        /// Where it should.
        expected: u64,
    },
    /// The sizes contradict one another or the limits.
    #[error("a message of {0} bytes with a piece that does not fit")]
    TooLarge(u64),
}

/// Puts one sender's pieces together.
#[derive(Debug, Default)]
pub struct ChunkAssembler {
    transfer: u64,
    whole: u64,
    buffered_bytes: Vec<u8>,
}

impl ChunkAssembler {
    /// One more piece; the message, if it was the last. A new transfer ends an unfinished one: its sender has
    /// given it up.
    ///
    /// # Errors
    /// A gap or a size that makes no sense; what was held is dropped.
    pub fn push(&mut self, piece: Chunk) -> Result<Option<Vec<u8>>, ChunkError> {
        if piece.transfer != self.transfer || piece.offset == 0 {
            *self = Self { transfer: piece.transfer, whole: piece.total_len, buffered_bytes: Vec::new() };
        }
        let end = piece.offset.checked_add(piece.bytes.len() as u64);
        let fits = end.is_some_and(|end| end <= piece.total_len);
        if !fits || piece.total_len != self.whole || self.whole > MAX_MESSAGE_BYTES || piece.bytes.is_empty()
        {
            *self = Self::default();
            return Err(ChunkError::TooLarge(piece.total_len));
        }
        let expected = self.buffered_bytes.len() as u64;
        if piece.offset != expected {
            *self = Self::default();
            return Err(ChunkError::Gap { found: piece.offset, expected });
        }
        // Grown by what has come, never by what was announced: an announced length costs nothing.
        self.buffered_bytes.extend_from_slice(&piece.bytes);
        if self.buffered_bytes.len() as u64 == self.whole {
            return Ok(Some(std::mem::take(self).buffered_bytes));
        }
        Ok(None)
    }

    /// Bytes held.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered_bytes.len()
    }
}

//! Messages that are too long for one frame, such as snapshots, in chunks: short messages pass between them, and the
//! receiver assembles one message at a time, of a bounded size.

use serde::{Deserialize, Serialize};

/// Longest chunk, in bytes.
pub const CHUNK_BYTES: usize = 64 * 1024;
/// Longest message that is assembled, in bytes.
pub const MAX_MESSAGE_BYTES: u64 = 256 * 1024 * 1024;

/// A part of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Which message of this sender it belongs to.
    pub transfer: u64,
    /// Where in the message it begins, in bytes.
    #[serde(rename = "at")]
    pub offset: u64,
    /// Length of the message, in bytes.
    #[serde(rename = "whole")]
    pub total_len: u64,
    /// The bytes.
    pub bytes: Vec<u8>,
}

/// The chunks of a message, in order.
pub fn split(transfer: u64, message: &[u8]) -> impl Iterator<Item = Chunk> {
    let total_len = message.len() as u64;
    message.chunks(CHUNK_BYTES).enumerate().map(move |(position, bytes)| Chunk {
        transfer,
        offset: (position * CHUNK_BYTES) as u64,
        total_len,
        bytes: bytes.to_vec(),
    })
}

/// Why chunks don't make a message.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ChunkError {
    /// A chunk before this one is missing.
    #[error("a chunk at {found} where one at {expected} was expected")]
    Gap {
        /// Where this chunk begins.
        found: u64,
        /// Where the next one should begin.
        expected: u64,
    },
    /// The sizes contradict one another or the limit.
    #[error("a message of {0} bytes, {MAX_MESSAGE_BYTES} at the most, with a chunk that does not fit")]
    InvalidSize(u64),
}

/// Assembles one sender's chunks.
#[derive(Debug, Default)]
pub struct ChunkAssembler {
    transfer: u64,
    total_len: u64,
    buffer: Vec<u8>,
}

impl ChunkAssembler {
    /// One more chunk; the message, if it was the last. A new transfer ends an unfinished one: its sender has given
    /// it up.
    ///
    /// # Errors
    /// A chunk is missing or its size is invalid; what was buffered is dropped.
    pub fn push(&mut self, chunk: Chunk) -> Result<Option<Vec<u8>>, ChunkError> {
        if chunk.transfer != self.transfer || chunk.offset == 0 {
            *self = Self { transfer: chunk.transfer, total_len: chunk.total_len, buffer: Vec::new() };
        }
        if !self.fits(&chunk) {
            *self = Self::default();
            return Err(ChunkError::InvalidSize(chunk.total_len));
        }
        let expected = self.buffer.len() as u64;
        if chunk.offset != expected {
            *self = Self::default();
            return Err(ChunkError::Gap { found: chunk.offset, expected });
        }
        // Grown by what has come, never by what was announced: an announced length costs nothing.
        self.buffer.extend_from_slice(&chunk.bytes);
        let buffered = self.buffer.len() as u64;
        if buffered < self.total_len {
            return Ok(None);
        }
        let message = std::mem::take(self).buffer;
        Ok(Some(message))
    }

    fn fits(&self, chunk: &Chunk) -> bool {
        let Some(end) = chunk.offset.checked_add(chunk.bytes.len() as u64) else { return false };
        end <= chunk.total_len
            && chunk.total_len == self.total_len
            && self.total_len <= MAX_MESSAGE_BYTES
            && !chunk.bytes.is_empty()
    }

    /// Bytes of an unfinished message.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }
}

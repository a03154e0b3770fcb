//! Splitting of messages that are too long for one frame, such as snapshots, into chunks. Short messages can
//! be sent between the chunks, and the receiver assembles one message of bounded size at a time.

use serde::{Deserialize, Serialize};

/// Maximum size of a chunk, in bytes.
pub const CHUNK_BYTES: usize = 64 * 1024;
/// Maximum size of an assembled message, in bytes.
pub const MAX_MESSAGE_BYTES: u64 = 256 * 1024 * 1024;

/// A chunk of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Number of the message, among those of the same sender, that the chunk belongs to.
    pub transfer: u64,
    /// Offset of the chunk in the message, in bytes.
    #[serde(rename = "at")]
    pub offset: u64,
    /// Size of the complete message, in bytes.
    #[serde(rename = "whole")]
    pub total_len: u64,
    /// Contents of the chunk.
    pub bytes: Vec<u8>,
}

/// Splits a message into chunks, in order.
pub fn split(transfer: u64, message: &[u8]) -> impl Iterator<Item = Chunk> {
    let total_len = message.len() as u64;
    message.chunks(CHUNK_BYTES).enumerate().map(move |(position, bytes)| Chunk {
        transfer,
        offset: (position * CHUNK_BYTES) as u64,
        total_len,
        bytes: bytes.to_vec(),
    })
}

/// Reason why chunks can't be assembled into a message.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ChunkError {
    /// Missing chunk before this one.
    #[error("chunk out of order: got offset {found}, expected {expected}")]
    Gap {
        /// Offset of this chunk, in bytes.
        found: u64,
        /// Expected offset of the next chunk, in bytes.
        expected: u64,
    },
    /// Inconsistent sizes, or a message that exceeds the limit. The value is the message size, in bytes.
    #[error("invalid chunk or message size: message of {0} bytes, at most {MAX_MESSAGE_BYTES} allowed")]
    InvalidSize(u64),
}

/// An assembler for the chunks of one sender.
#[derive(Debug, Default)]
pub struct ChunkAssembler {
    transfer: u64,
    total_len: u64,
    buffer: Vec<u8>,
}

impl ChunkAssembler {
    /// Adds a chunk, and returns the message if it was the last one. The first chunk of a new transfer
    /// discards an unfinished transfer, which its sender has abandoned.
    ///
    /// # Errors
    /// A chunk is missing or its size is invalid. The buffered chunks are discarded.
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
        // The buffer grows with the received bytes only, so that announcing a large size allocates no memory.
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

    /// Returns the number of bytes buffered for an unfinished message.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }
}

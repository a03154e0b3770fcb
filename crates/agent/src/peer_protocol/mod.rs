//! Frames between agents: a length of four bytes, little-endian, then a value in postcard's encoding, which is the
//! order of its fields and variants without their names. The first frame of a connection is a [`Hello`], whose layout
//! never changes; what follows is of the protocol version that it names.

use garnetcrank_consensus::chunking::{CHUNK_BYTES, Chunk};
use garnetcrank_consensus::ids::InstanceId;
use garnetcrank_consensus::replicated_state::Member;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

mod handshake;
#[cfg(test)]
mod tests;

pub use handshake::{HelloRejection, check_hello};

/// The protocol version of this program.
pub const VERSION: u32 = 1;
/// First bytes of each connection, so that whatever is not an agent is recognised at once.
pub const MAGIC: [u8; 4] = *b"GCAG";
/// Longest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;
/// Longest hello and longest reply to one, in bytes.
pub const MAX_HELLO_BYTES: usize = 1024;
/// Longest message that is sent in one frame, in bytes; a longer one is split into chunks.
pub const MAX_UNCHUNKED_BYTES: usize = 2 * 1024 * 1024;
/// Length of the length in front of each frame, in bytes.
const LENGTH_BYTES: usize = 4;

/// The first frame: who connects, and to whom.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// See [`MAGIC`].
    pub magic: [u8; 4],
    /// The caller's protocol version.
    pub version: u32,
    /// The caller's cluster.
    pub cluster: String,
    /// The caller.
    pub from: Member,
    /// The instance that the caller wants to reach; 0: whichever answers.
    pub to: InstanceId,
}

/// The reply to a hello.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum HelloReply {
    /// The caller may send; this is the instance that answers.
    Accepted(Member),
    /// The connection is refused, for this reason.
    Rejected(String),
}

/// A frame after the hello; only the caller sends these.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// A Raft message.
    Message(Vec<u8>),
    /// A part of a Raft message that is too long for one frame.
    Chunk(Chunk),
    /// A heartbeat: the connection is open.
    Heartbeat,
}

/// Why a connection ends.
#[derive(Debug, thiserror::Error)]
pub enum PeerProtocolError {
    /// The connection broke, ended or timed out.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A frame longer than allowed.
    #[error("a frame must have at most {max} bytes, got {length}")]
    FrameTooLong {
        /// Its length, in bytes.
        length: usize,
        /// The longest allowed, in bytes.
        max: usize,
    },
    /// Bytes that are no value of the expected type.
    #[error("malformed frame: {0}")]
    Malformed(#[from] postcard::Error),
    /// Bytes after the value.
    #[error("malformed frame: {count} bytes after its value")]
    TrailingBytes {
        /// How many.
        count: usize,
    },
    /// Chunks that don't make up a message.
    #[error("malformed chunk: {0}")]
    Chunk(#[from] garnetcrank_consensus::chunking::ChunkError),
    /// Bytes that are no Raft message.
    #[error("malformed message: {0}")]
    Message(#[from] garnetcrank_consensus::raft_node::DecodeMessageError),
    /// A message in the name of another instance than the one that connected.
    #[error("a message must come from the instance that connected, got one of {from:016x}")]
    ForeignMessage {
        /// The instance that the message names as its sender.
        from: u64,
    },
    /// The peer sent something after its reply to the hello.
    #[error("the peer sent bytes after its hello reply, where none are allowed")]
    UnexpectedBytes,
    /// Another instance answers at the peer's address.
    #[error("{} ({:016x}) answers at this address", .0.name, .0.id.0)]
    WrongPeer(Member),
    /// The peer rejected the hello.
    #[error("refused: {0}")]
    Rejected(String),
}

impl PeerProtocolError {
    /// An operation that took too long.
    pub(crate) fn timed_out() -> Self {
        Self::Io(std::io::ErrorKind::TimedOut.into())
    }

    /// Whether the other side broke the protocol; else the connection itself failed.
    pub fn is_violation(&self) -> bool {
        !matches!(self, Self::Io(_))
    }
}

/// A value as a frame, with its length in front.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = vec![0; LENGTH_BYTES];
    // Fails only for sequences whose length is not known beforehand; no type of the protocol has one.
    bytes.extend(postcard::to_stdvec(value).unwrap_or_default());
    let length = (bytes.len() - LENGTH_BYTES) as u32;
    bytes[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
    bytes
}

/// Decodes a frame's bytes without their length.
///
/// # Errors
/// The bytes are no value of this type, or more bytes follow it.
pub fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, PeerProtocolError> {
    let (value, rest) = postcard::take_from_bytes(bytes)?;
    if !rest.is_empty() {
        return Err(PeerProtocolError::TrailingBytes { count: rest.len() });
    }
    Ok(value)
}

/// Writes a value as a frame.
///
/// # Errors
/// The connection broke.
pub async fn write<T: Serialize>(
    to: &mut (impl AsyncWriteExt + Unpin),
    value: &T,
) -> Result<(), PeerProtocolError> {
    to.write_all(&encode(value)).await?;
    to.flush().await?;
    Ok(())
}

/// Reads a frame of `max` bytes at most. Memory is allocated as bytes arrive, not for the length that is announced,
/// so that a false length costs nothing.
///
/// # Errors
/// The connection broke, or the frame is too long or malformed.
pub async fn read<T: for<'a> Deserialize<'a>>(
    from: &mut (impl AsyncReadExt + Unpin),
    max: usize,
) -> Result<T, PeerProtocolError> {
    let length = from.read_u32_le().await? as usize;
    if length > max {
        return Err(PeerProtocolError::FrameTooLong { length, max });
    }
    let mut bytes = Vec::with_capacity(length.min(CHUNK_BYTES));
    let read = from.take(length as u64).read_to_end(&mut bytes).await?;
    if read < length {
        return Err(std::io::Error::from(std::io::ErrorKind::UnexpectedEof).into());
    }
    decode(&bytes)
}

//! The protocol between agents. A frame is a four-byte little-endian length followed by a value in postcard
//! encoding, which depends on the order of fields and variants and not on their names. The first frame of a
//! connection is a [`Hello`], whose layout never changes; all later frames belong to the protocol version
//! that it names.

use garnetcrank_consensus::chunking::{CHUNK_BYTES, Chunk};
use garnetcrank_consensus::ids::InstanceId;
use garnetcrank_consensus::replicated_state::Member;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

mod handshake;
#[cfg(test)]
mod tests;

pub use handshake::{HelloRejection, check_hello};

/// The protocol version implemented by this program.
pub const VERSION: u32 = 1;
/// The magic number at the start of each connection, so that callers that are not agents are detected at
/// once.
pub const MAGIC: [u8; 4] = *b"GCAG";
/// Maximum length of a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;
/// Maximum length of a hello and of the reply to it, in bytes.
pub const MAX_HELLO_BYTES: usize = 1024;
/// Maximum length of a message sent in one frame, in bytes; longer messages are split into chunks.
pub const MAX_UNCHUNKED_BYTES: usize = 2 * 1024 * 1024;
/// Size of the length prefix of each frame, in bytes.
const LENGTH_PREFIX_BYTES: usize = 4;

/// The first frame of a connection, sent by the instance that connects (the caller).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The constant [`MAGIC`].
    pub magic: [u8; 4],
    /// The caller's protocol version.
    pub version: u32,
    /// The caller's cluster.
    pub cluster: String,
    /// The caller.
    pub from: Member,
    /// The instance that the caller expects to reach; 0 accepts any instance.
    pub to: InstanceId,
}

/// The reply to a hello.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum HelloReply {
    /// Acceptance of the caller, with the instance that answers.
    Accepted(Member),
    /// Rejection of the caller, with the reason.
    Rejected(String),
}

/// A frame after the handshake, sent only by the caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// A Raft message.
    Message(Vec<u8>),
    /// A part of a Raft message that is too long for one frame.
    Chunk(Chunk),
    /// A heartbeat, which shows that the connection is alive.
    Heartbeat,
}

/// An error that ends a connection.
#[derive(Debug, thiserror::Error)]
pub enum PeerProtocolError {
    /// A connection that failed, was closed or timed out.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A frame that is longer than allowed.
    #[error("a frame must have at most {max} bytes, got {length}")]
    FrameTooLong {
        /// The frame's length, in bytes.
        length: usize,
        /// The maximum length, in bytes.
        max: usize,
    },
    /// Bytes that can't be decoded as the expected type.
    #[error("malformed frame: {0}")]
    Malformed(#[from] postcard::Error),
    /// Excess bytes after the value of a frame.
    #[error("malformed frame: {count} trailing bytes")]
    TrailingBytes {
        /// Number of excess bytes.
        count: usize,
    },
    /// A chunk that does not fit the message being assembled.
    #[error("malformed chunk: {0}")]
    Chunk(#[from] garnetcrank_consensus::chunking::ChunkError),
    /// Bytes that can't be decoded as a Raft message.
    #[error("malformed message: {0}")]
    Message(#[from] garnetcrank_consensus::raft_node::DecodeMessageError),
    /// A message with a sender other than the instance that connected.
    #[error("the sender of a message must be the instance that connected, got {from:016x}")]
    ForeignMessage {
        /// The sender named by the message.
        from: u64,
    },
    /// Bytes from the peer after its reply to the hello.
    #[error("the peer sent bytes after its hello reply, where none are allowed")]
    UnexpectedBytes,
    /// A reply from another instance than the peer expected at the address.
    #[error("another instance answers at the peer's address: {} ({:016x})", .0.name, .0.id.0)]
    WrongPeer(Member),
    /// A hello that the peer rejected, with the peer's reason.
    #[error("the peer rejected the hello: {0}")]
    Rejected(String),
}

impl PeerProtocolError {
    /// Builds the error for an operation that timed out.
    pub(crate) fn timed_out() -> Self {
        Self::Io(std::io::ErrorKind::TimedOut.into())
    }

    /// Returns whether the error is a protocol violation rather than a failure of the connection.
    pub fn is_violation(&self) -> bool {
        !matches!(self, Self::Io(_))
    }
}

/// Encodes a value as a frame, including the length prefix.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = vec![0; LENGTH_PREFIX_BYTES];
    // Encoding fails only for sequences of unknown length, which no type of the protocol contains.
    bytes.extend(postcard::to_stdvec(value).unwrap_or_default());
    let length = (bytes.len() - LENGTH_PREFIX_BYTES) as u32;
    bytes[..LENGTH_PREFIX_BYTES].copy_from_slice(&length.to_le_bytes());
    bytes
}

/// Decodes the bytes of a frame that follow the length prefix.
///
/// # Errors
/// The bytes can't be decoded as this type, or excess bytes follow the value.
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
/// The connection failed.
pub async fn write<T: Serialize>(
    to: &mut (impl AsyncWriteExt + Unpin),
    value: &T,
) -> Result<(), PeerProtocolError> {
    to.write_all(&encode(value)).await?;
    to.flush().await?;
    Ok(())
}

/// Reads a frame of at most `max` bytes. Memory is allocated as bytes arrive rather than for the announced
/// length, so that a false length does not consume memory.
///
/// # Errors
/// The connection failed, or the frame is too long or malformed.
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

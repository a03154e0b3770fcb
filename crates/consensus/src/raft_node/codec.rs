//! Encoding of messages, proposals and the replicated state.

use protobuf::Message as _;
use raft::eraftpb::Message;
use serde::Serialize;

/// The error for bytes that are not a valid Raft message.
#[derive(Debug, thiserror::Error)]
#[error("can't decode Raft message: {0}")]
pub struct DecodeMessageError(#[from] protobuf::ProtobufError);

/// Encodes a message.
pub fn encode_message(message: &Message) -> Vec<u8> {
    message.write_to_bytes().unwrap_or_default()
}

/// Decodes a message.
///
/// # Errors
/// The bytes are not a valid Raft message.
pub fn decode_message(bytes: &[u8]) -> Result<Message, DecodeMessageError> {
    let mut message = Message::default();
    message.merge_from_bytes(bytes)?;
    Ok(message)
}

/// Encodes a value with postcard.
pub(super) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Fails only for a sequence of unknown length, and no type of this package contains one.
    postcard::to_stdvec(value).unwrap_or_default()
}

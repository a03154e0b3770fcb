//! Bytes of messages, proposals and the replicated state.

use protobuf::Message as _;
use raft::eraftpb::Message;
use serde::Serialize;

/// Bytes that are no Raft message.
#[derive(Debug, thiserror::Error)]
#[error("not a Raft message: {0}")]
pub struct DecodeMessageError(#[from] protobuf::ProtobufError);

/// A message as bytes.
pub fn encode_message(message: &Message) -> Vec<u8> {
    message.write_to_bytes().unwrap_or_default()
}

/// The message that these bytes are.
///
/// # Errors
/// The bytes are no Raft message.
pub fn decode_message(bytes: &[u8]) -> Result<Message, DecodeMessageError> {
    let mut message = Message::default();
    message.merge_from_bytes(bytes)?;
    Ok(message)
}

/// A value as postcard writes it.
pub(super) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Fails only for sequences whose length is not known beforehand, and no type of this package has one.
    postcard::to_stdvec(value).unwrap_or_default()
}

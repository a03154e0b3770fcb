//! Reading of message heads, which are the start line and the headers. They are parsed by httparse.

use crate::error::MessageError;
use crate::ring::Ring;

/// Maximum size of a head, in bytes. Some kilobytes are common; a larger head is an error or an attack.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum number of header lines.
pub(crate) const MAX_HEADERS: usize = 64;

/// Result of reading a message from the bytes that have arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Parsed<T> {
    /// More bytes are needed.
    Incomplete,
    /// The complete message.
    Complete(T),
}

/// A parsed head.
#[derive(Debug)]
pub(crate) struct ParsedHead<T> {
    /// Size of the head, in bytes.
    pub(crate) len: usize,
    /// Message without its body, as built from the head.
    pub(crate) content: T,
}

pub(crate) fn head_error(error: httparse::Error) -> MessageError {
    match error {
        httparse::Error::TooManyHeaders => MessageError::HeadTooLarge,
        httparse::Error::Version => MessageError::Version,
        _ => MessageError::Malformed("the head can't be read"),
    }
}

/// Removes a head from the ring once it is complete, and returns its content.
pub(crate) fn take_head<T>(
    ring: &mut Ring,
    parse: impl FnOnce(&[u8]) -> Result<Option<ParsedHead<T>>, MessageError>,
) -> Result<Option<ParsedHead<T>>, MessageError> {
    let bytes = ring.contiguous();
    let head_bytes = &bytes[..bytes.len().min(MAX_HEAD_BYTES)];
    match parse(head_bytes)? {
        None if head_bytes.len() == MAX_HEAD_BYTES => Err(MessageError::HeadTooLarge),
        None => Ok(None),
        Some(head) => {
            ring.consume(head.len);
            Ok(Some(head))
        }
    }
}

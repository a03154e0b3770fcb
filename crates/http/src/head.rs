//! The head of a message: its start line and headers, parsed by httparse.

use crate::error::MessageError;
use crate::ring::Ring;

/// Maximum size of a head, in bytes: some kilobytes are common, more is a mistake or an attack.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum number of header lines.
pub(crate) const MAX_HEADERS: usize = 64;

/// How far the reading of a message is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Parsed<T> {
    /// More bytes are needed.
    Incomplete,
    /// The message is complete.
    Complete(T),
}

/// A head that was parsed.
pub(crate) struct ParsedHead<T> {
    /// Its size in bytes.
    pub(crate) len: usize,
    /// Its content.
    pub(crate) content: T,
}

pub(crate) fn head_error(error: httparse::Error) -> MessageError {
    match error {
        httparse::Error::TooManyHeaders => MessageError::HeadTooLarge,
        httparse::Error::Version => MessageError::Version,
        _ => MessageError::Malformed("the head can't be read"),
    }
}

/// Takes a head from the ring once it is complete.
pub(crate) fn take_head<T>(
    ring: &mut Ring,
    parse: impl FnOnce(&[u8]) -> Result<Option<ParsedHead<T>>, MessageError>,
) -> Result<Option<T>, MessageError> {
    if ring.is_empty() {
        return Ok(None);
    }
    let bytes = ring.contiguous();
    let head_bytes = &bytes[..bytes.len().min(MAX_HEAD_BYTES)];
    match parse(head_bytes)? {
        None if head_bytes.len() == MAX_HEAD_BYTES => Err(MessageError::HeadTooLarge),
        None => Ok(None),
        Some(head) => {
            ring.consume(head.len);
            Ok(Some(head.content))
        }
    }
}

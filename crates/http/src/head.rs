//! The head of a message: its start line and headers, parsed by httparse.

use crate::error::Bad;
use crate::ring::Ring;

/// Maximum size of a head, in bytes: some kilobytes are common, more is a mistake or an attack.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum number of header lines.
pub(crate) const MAX_HEADERS: usize = 64;

/// How far the reading of a message is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Parsing<T> {
    /// More bytes are needed.
    More,
    /// The message is complete.
    Done(T),
}

/// A head that was parsed.
pub(crate) struct ParsedHead<T> {
    /// Its size in bytes.
    pub(crate) len: usize,
    /// Its content.
    pub(crate) content: T,
}

pub(crate) fn head_error(error: httparse::Error) -> Bad {
    match error {
        httparse::Error::TooManyHeaders => Bad::HeadTooLarge,
        httparse::Error::Version => Bad::Version,
        _ => Bad::Malformed("the head can't be read"),
    }
}

/// Takes a head from the ring once it is complete.
pub(crate) fn take_head<T>(
    ring: &mut Ring,
    parse: impl FnOnce(&[u8]) -> Result<Option<ParsedHead<T>>, Bad>,
) -> Result<Option<T>, Bad> {
    if ring.is_empty() {
        return Ok(None);
    }
    let bytes = ring.contiguous();
    let head_bytes = &bytes[..bytes.len().min(MAX_HEAD_BYTES)];
    match parse(head_bytes)? {
        None if head_bytes.len() == MAX_HEAD_BYTES => Err(Bad::HeadTooLarge),
        None => Ok(None),
        Some(head) => {
            ring.consume(head.len);
            Ok(Some(head.content))
        }
    }
}

//! Reading of message bodies, delimited by a length, by chunks or by the end of the connection.

use crate::error::MessageError;
use crate::headers::Headers;
use crate::ring::Ring;

/// Maximum length of a chunk size line and of a trailer line, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 512;
/// Maximum number of trailer lines after the last chunk.
const MAX_TRAILERS: usize = 32;

/// Framing of a body, and the position of the reader in it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Framing {
    /// Number of bytes left of a body with a known length.
    Length(usize),
    /// The next line is a chunk size.
    ChunkSize,
    /// Number of bytes left of the current chunk.
    ChunkData(usize),
    /// The line end after a chunk's data is next.
    ChunkEnd,
    /// The next line is a trailer line. The value is the number of those read before.
    Trailers(usize),
    /// The end of the connection ends the body.
    UntilClose,
    /// The body is complete.
    Ended,
}

/// Result of reading one element of a body.
enum ReadStatus {
    /// The ring may hold more elements of the body.
    Continue,
    /// More bytes are needed.
    NeedsMore,
    /// The body is complete.
    Ended,
}

impl Framing {
    /// Returns the framing that the headers announce, or `None` if they announce no body.
    pub(crate) fn from_headers(headers: &Headers) -> Result<Option<Framing>, MessageError> {
        let mut lengths = headers.values("content-length");
        let length = lengths.next();
        if lengths.next().is_some() {
            return Err(MessageError::Malformed("more than one Content-Length"));
        }
        let mut encodings = headers.values("transfer-encoding");
        let Some(encoding) = encodings.next() else {
            return length.map(Self::from_content_length).transpose();
        };
        if length.is_some() {
            return Err(MessageError::Malformed("Content-Length beside Transfer-Encoding"));
        }
        if encodings.next().is_some() || !encoding.trim_ascii().eq_ignore_ascii_case(b"chunked") {
            return Err(MessageError::Unsupported("a transfer encoding other than chunked"));
        }
        Ok(Some(Framing::ChunkSize))
    }

    fn from_content_length(value: &[u8]) -> Result<Framing, MessageError> {
        let digits = std::str::from_utf8(value.trim_ascii())
            .ok()
            .filter(|digits| !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_digit()))
            .ok_or(MessageError::Malformed("Content-Length is no number"))?;
        // A number that overflows `usize` exceeds every body limit.
        digits.parse().map(Framing::Length).map_err(|_| MessageError::BodyTooLarge)
    }

    /// Moves body bytes from `ring` to `to`, up to a total length of `max` bytes. Returns whether the body is
    /// complete.
    pub(crate) fn read(
        &mut self,
        ring: &mut Ring,
        to: &mut Vec<u8>,
        max: usize,
    ) -> Result<bool, MessageError> {
        loop {
            match self.read_element(ring, to, max)? {
                ReadStatus::Continue => {}
                ReadStatus::NeedsMore => return Ok(false),
                ReadStatus::Ended => return Ok(true),
            }
        }
    }

    fn read_element(
        &mut self,
        ring: &mut Ring,
        to: &mut Vec<u8>,
        max: usize,
    ) -> Result<ReadStatus, MessageError> {
        let room = max.saturating_sub(to.len());
        match self {
            Framing::Ended | Framing::Length(0) => Ok(ReadStatus::Ended),
            Framing::ChunkData(0) => {
                *self = Framing::ChunkEnd;
                Ok(ReadStatus::Continue)
            }
            Framing::Length(left) | Framing::ChunkData(left) => {
                let moved = ring.take((*left).min(room), to);
                *left -= moved;
                Ok(if moved == 0 { ReadStatus::NeedsMore } else { ReadStatus::Continue })
            }
            Framing::UntilClose => {
                ring.take(room, to);
                Ok(ReadStatus::NeedsMore)
            }
            Framing::ChunkEnd => self.read_chunk_end(ring),
            Framing::ChunkSize => self.read_chunk_size(ring),
            Framing::Trailers(_) => self.read_trailer(ring),
        }
    }

    fn read_chunk_end(&mut self, ring: &mut Ring) -> Result<ReadStatus, MessageError> {
        match ring.contiguous() {
            [b'\r', b'\n', ..] => {
                ring.consume(2);
                *self = Framing::ChunkSize;
                Ok(ReadStatus::Continue)
            }
            [] | [b'\r'] => Ok(ReadStatus::NeedsMore),
            _ => Err(MessageError::Malformed("a chunk is longer than it says")),
        }
    }

    fn read_chunk_size(&mut self, ring: &mut Ring) -> Result<ReadStatus, MessageError> {
        match httparse::parse_chunk_size(ring.contiguous()) {
            Ok(httparse::Status::Complete((line_bytes, size))) => {
                ring.consume(line_bytes);
                let size =
                    usize::try_from(size).map_err(|_| MessageError::Malformed("a chunk's size is absurd"))?;
                *self = if size == 0 { Framing::Trailers(0) } else { Framing::ChunkData(size) };
                Ok(ReadStatus::Continue)
            }
            Ok(httparse::Status::Partial) if ring.len() <= MAX_CHUNK_LINE_BYTES => Ok(ReadStatus::NeedsMore),
            _ => Err(MessageError::Malformed("a chunk's size can't be read")),
        }
    }

    /// Reads and drops one trailer line. An empty line ends the body.
    fn read_trailer(&mut self, ring: &mut Ring) -> Result<ReadStatus, MessageError> {
        let Framing::Trailers(read) = self else { return Ok(ReadStatus::NeedsMore) };
        let bytes = ring.contiguous();
        let Some(line_end) = bytes.iter().position(|byte| *byte == b'\n') else {
            if ring.len() > MAX_CHUNK_LINE_BYTES {
                return Err(MessageError::Malformed("a trailer line is too long"));
            }
            return Ok(ReadStatus::NeedsMore);
        };
        let is_empty = matches!(&bytes[..line_end], [] | [b'\r']);
        ring.consume(line_end + 1);
        *read += 1;
        if is_empty {
            *self = Framing::Ended;
        } else if *read > MAX_TRAILERS {
            return Err(MessageError::Malformed("too many trailer lines"));
        }
        Ok(ReadStatus::Continue)
    }
}

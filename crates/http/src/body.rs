//! The body of a message: delimited by its length, by chunks or by the end of the connection.

use crate::error::MessageError;
use crate::headers::Headers;
use crate::ring::Ring;

/// Maximum length of a line that gives a chunk's size, and of a trailer line, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 512;
/// Maximum number of trailer lines after the last chunk.
const MAX_TRAILERS: usize = 32;

/// How the end of a body is recognised, and how far reading is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Framing {
    /// So many bytes are left.
    Length(usize),
    /// The line with a chunk's size is next.
    ChunkSize,
    /// So many bytes of a chunk are left.
    ChunkData(usize),
    /// The line end behind a chunk is next.
    ChunkEnd,
    /// A trailer line is next; so many were read.
    Trailers(usize),
    /// The body ends with the connection.
    UntilClose,
    /// The body has ended.
    Ended,
}

/// What one step of reading comes to.
enum Step {
    /// There may be more to read.
    Continue,
    /// More bytes are needed.
    NeedsMore,
    /// The body is complete.
    Ended,
}

impl Framing {
    /// The framing that the headers announce; none: they announce no body.
    pub(crate) fn of(headers: &Headers) -> Result<Option<Framing>, MessageError> {
        let mut lengths = headers.values("content-length");
        let length = lengths.next();
        if lengths.next().is_some() {
            return Err(MessageError::Malformed("more than one Content-Length"));
        }
        let mut encodings = headers.values("transfer-encoding");
        let Some(encoding) = encodings.next() else {
            return length.map(Self::of_length).transpose();
        };
        if length.is_some() {
            return Err(MessageError::Malformed("Content-Length beside Transfer-Encoding"));
        }
        if encodings.next().is_some() || !encoding.trim_ascii().eq_ignore_ascii_case(b"chunked") {
            return Err(MessageError::Unsupported("a transfer encoding other than chunked"));
        }
        Ok(Some(Framing::ChunkSize))
    }

    fn of_length(value: &[u8]) -> Result<Framing, MessageError> {
        let digits = std::str::from_utf8(value.trim_ascii())
            .ok()
            .filter(|digits| !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_digit()))
            .ok_or(MessageError::Malformed("Content-Length is no number"))?;
        // Digits that are no usize are a number beyond every bound.
        digits.parse().map(Framing::Length).map_err(|_| MessageError::BodyTooLarge)
    }

    /// Moves body bytes from `ring` to `to`, which takes `max` bytes in all. Returns whether the body has ended.
    pub(crate) fn read(
        &mut self,
        ring: &mut Ring,
        to: &mut Vec<u8>,
        max: usize,
    ) -> Result<bool, MessageError> {
        loop {
            match self.step(ring, to, max)? {
                Step::Continue => {}
                Step::NeedsMore => return Ok(false),
                Step::Ended => return Ok(true),
            }
        }
    }

    fn step(&mut self, ring: &mut Ring, to: &mut Vec<u8>, max: usize) -> Result<Step, MessageError> {
        let room = max.saturating_sub(to.len());
        match self {
            Framing::Ended | Framing::Length(0) => Ok(Step::Ended),
            Framing::ChunkData(0) => {
                *self = Framing::ChunkEnd;
                Ok(Step::Continue)
            }
            Framing::Length(left) | Framing::ChunkData(left) => {
                let moved = ring.take((*left).min(room), to);
                *left -= moved;
                Ok(if moved == 0 { Step::NeedsMore } else { Step::Continue })
            }
            Framing::UntilClose => {
                ring.take(room, to);
                Ok(Step::NeedsMore)
            }
            Framing::ChunkEnd => self.read_chunk_end(ring),
            Framing::ChunkSize => self.read_chunk_size(ring),
            Framing::Trailers(_) => self.read_trailer(ring),
        }
    }

    fn read_chunk_end(&mut self, ring: &mut Ring) -> Result<Step, MessageError> {
        match ring.contiguous() {
            [b'\r', b'\n', ..] => {
                ring.consume(2);
                *self = Framing::ChunkSize;
                Ok(Step::Continue)
            }
            [] | [b'\r'] => Ok(Step::NeedsMore),
            _ => Err(MessageError::Malformed("a chunk is longer than it says")),
        }
    }

    fn read_chunk_size(&mut self, ring: &mut Ring) -> Result<Step, MessageError> {
        match httparse::parse_chunk_size(ring.contiguous()) {
            Ok(httparse::Status::Complete((line_bytes, size))) => {
                ring.consume(line_bytes);
                let size =
                    usize::try_from(size).map_err(|_| MessageError::Malformed("a chunk's size is absurd"))?;
                *self = if size == 0 { Framing::Trailers(0) } else { Framing::ChunkData(size) };
                Ok(Step::Continue)
            }
            Ok(httparse::Status::Partial) if ring.len() <= MAX_CHUNK_LINE_BYTES => Ok(Step::NeedsMore),
            _ => Err(MessageError::Malformed("a chunk's size can't be read")),
        }
    }

    /// Reads and drops one trailer line; an empty one ends the body.
    fn read_trailer(&mut self, ring: &mut Ring) -> Result<Step, MessageError> {
        let Framing::Trailers(read) = self else { return Ok(Step::NeedsMore) };
        let bytes = ring.contiguous();
        let Some(line_end) = bytes.iter().position(|byte| *byte == b'\n') else {
            if ring.len() > MAX_CHUNK_LINE_BYTES {
                return Err(MessageError::Malformed("a trailer line is too long"));
            }
            return Ok(Step::NeedsMore);
        };
        let is_empty = matches!(&bytes[..line_end], [] | [b'\r']);
        ring.consume(line_end + 1);
        *read += 1;
        if is_empty {
            *self = Framing::Ended;
        } else if *read > MAX_TRAILERS {
            return Err(MessageError::Malformed("too many trailer lines"));
        }
        Ok(Step::Continue)
    }
}

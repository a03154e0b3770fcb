//! Reading of responses, buffered until complete or streamed.

use crate::body::Framing;
use crate::error::MessageError;
use crate::head::{MAX_HEADERS, Parsed, ParsedHead, head_error, take_head};
use crate::headers::Headers;
use crate::input::InputState;
use crate::memory::MemoryCharge;
use crate::ring::Ring;

/// Maximum number of interim responses before the final one. A peer that sends more is assumed to never send
/// the final one.
const MAX_INTERIM_RESPONSES: usize = 16;

/// A response, complete or as far as it has been read.
#[derive(Debug, PartialEq, Eq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Header lines.
    pub headers: Headers,
    /// Body, or its part that has been read and not been taken yet.
    pub body: Vec<u8>,
    /// Whether the connection can be used for another request.
    pub keep_alive: bool,
    /// Charge for the memory of the response.
    pub memory: MemoryCharge,
}

/// A response whose head is complete.
#[derive(Debug)]
struct PartialResponse {
    response: Response,
    framing: Framing,
    /// Memory of the response without its body, in bytes.
    head_bytes: usize,
}

impl PartialResponse {
    fn update_charge(&mut self) {
        self.response.memory.set(self.head_bytes + self.response.body.capacity());
    }
}

/// Handling of the body while it is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyMode {
    /// The body is held until it is complete.
    Buffered,
    /// The body is taken in parts while it arrives.
    Streamed,
}

/// Reads one response from the input buffer of a connection.
#[derive(Debug)]
pub struct ResponseReader {
    max_body_bytes: usize,
    mode: BodyMode,
    interim_responses: usize,
    partial: Option<PartialResponse>,
}

impl ResponseReader {
    /// Creates a reader that holds the response until it is complete, with a body of up to `max_body_bytes`.
    /// A response with status 200 must be delimited by a length or chunks: if the end of the connection
    /// delimits it, a truncated response looks complete.
    pub fn buffered(max_body_bytes: usize) -> Self {
        Self::new(max_body_bytes, BodyMode::Buffered)
    }

    /// Creates a reader for a response of any length, whose body is taken in parts of up to `max_body_bytes`.
    pub fn streamed(max_body_bytes: usize) -> Self {
        Self::new(max_body_bytes, BodyMode::Streamed)
    }

    fn new(max_body_bytes: usize, mode: BodyMode) -> Self {
        ResponseReader { max_body_bytes, mode, interim_responses: 0, partial: None }
    }

    /// Returns the response as far as it has been read, or `None` before its head is complete.
    pub fn partial_response(&self) -> Option<&Response> {
        self.partial.as_ref().map(|partial| &partial.response)
    }

    /// Returns the memory that the response takes as far as it has been read, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.partial.as_ref().map_or(0, |partial| partial.response.memory.bytes())
    }

    /// Takes the part of the body that has been read and not been taken yet. It is no longer counted.
    pub fn take_body(&mut self) -> Vec<u8> {
        let Some(partial) = &mut self.partial else { return Vec::new() };
        let body = std::mem::take(&mut partial.response.body);
        partial.update_charge();
        body
    }

    /// Reads the response, as far as the ring holds it. `input` is the state of the connection after the bytes in the
    /// ring. An orderly close completes a response that the end of the connection delimits; the loss of the connection
    /// does not, as the rest of the response may be lost, too.
    ///
    /// If the input has ended and the response is incomplete, its body has to be taken before the rest can be read.
    ///
    /// # Errors
    /// The response is rejected or truncated; nothing more can be read from the connection then.
    pub fn read(&mut self, ring: &mut Ring, input: InputState) -> Result<Parsed<Response>, MessageError> {
        if self.partial.is_none() {
            self.partial = self.read_head(ring)?;
        }
        let Some(partial) = &mut self.partial else {
            return if input.has_ended() { Err(MessageError::Truncated) } else { Ok(Parsed::Incomplete) };
        };
        let is_buffered = self.mode == BodyMode::Buffered;
        // Reading one byte more than allowed distinguishes a body at the limit from one beyond it.
        let read_limit = self.max_body_bytes + usize::from(is_buffered);
        let is_complete = partial.framing.read(ring, &mut partial.response.body, read_limit)?;
        partial.update_charge();
        if is_buffered && partial.response.body.len() > self.max_body_bytes {
            return Err(MessageError::BodyTooLarge);
        }
        if is_complete || self.is_completed_by(input, ring) {
            return Ok(self
                .partial
                .take()
                .map_or(Parsed::Incomplete, |partial| Parsed::Complete(partial.response)));
        }
        if input.has_ended() && !self.must_take_body_first(ring) {
            return Err(MessageError::Truncated);
        }
        Ok(Parsed::Incomplete)
    }

    /// Returns whether the state of the input completes the response, which holds all bytes before it.
    fn is_completed_by(&self, input: InputState, ring: &Ring) -> bool {
        let until_close = self.partial.as_ref().is_some_and(|partial| partial.framing == Framing::UntilClose);
        until_close && ring.is_empty() && input == InputState::Closed
    }

    /// Returns whether the body that has been read leaves no space for the rest, which the ring holds. Only the body of
    /// a successful response is taken while it arrives.
    fn must_take_body_first(&self, ring: &Ring) -> bool {
        let is_full = |partial: &PartialResponse| {
            partial.response.status == 200 && partial.response.body.len() >= self.max_body_bytes
        };
        self.mode == BodyMode::Streamed && !ring.is_empty() && self.partial.as_ref().is_some_and(is_full)
    }

    /// Reads the head of the final response, and skips interim responses before it.
    fn read_head(&mut self, ring: &mut Ring) -> Result<Option<PartialResponse>, MessageError> {
        while let Some(head) = response_head(ring)? {
            if head.content.status == 101 {
                return Err(MessageError::Unsupported("a change of protocol"));
            }
            if head.content.status >= 200 {
                return self.begin(head).map(Some);
            }
            self.interim_responses += 1;
            if self.interim_responses > MAX_INTERIM_RESPONSES {
                return Err(MessageError::Malformed("too many interim answers"));
            }
        }
        Ok(None)
    }

    fn begin(&self, head: ParsedHead<Response>) -> Result<PartialResponse, MessageError> {
        let head_bytes = head.len + head.content.headers.list_bytes();
        let head = head.content;
        let framing = match head.status {
            204 | 304 => Framing::Ended,
            _ => Framing::from_headers(&head.headers)?.unwrap_or(Framing::UntilClose),
        };
        let is_buffered = self.mode == BodyMode::Buffered;
        if is_buffered && matches!(framing, Framing::Length(length) if length > self.max_body_bytes) {
            return Err(MessageError::BodyTooLarge);
        }
        let until_close = framing == Framing::UntilClose;
        if is_buffered && until_close && head.status == 200 {
            return Err(MessageError::Malformed("an answer that does not say how long it is"));
        }
        let keep_alive = head.keep_alive && !until_close;
        Ok(PartialResponse { response: Response { keep_alive, ..head }, framing, head_bytes })
    }
}

fn response_head(ring: &mut Ring) -> Result<Option<ParsedHead<Response>>, MessageError> {
    if ring.is_empty() {
        return Ok(None);
    }
    let memory = ring.new_charge();
    take_head(ring, |bytes| {
        let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut lines);
        let httparse::Status::Complete(len) = head.parse(bytes).map_err(head_error)? else {
            return Ok(None);
        };
        let headers = Headers::read(head.headers);
        let content = Response {
            status: head.code.unwrap_or_default(),
            keep_alive: head.version == Some(1) && !headers.contains_token("connection", "close"),
            headers,
            body: Vec::new(),
            memory,
        };
        Ok(Some(ParsedHead { len, content }))
    })
}

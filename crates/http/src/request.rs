//! Reading of requests.

use crate::body::Framing;
use crate::error::MessageError;
use crate::head::{MAX_HEADERS, Parsed, ParsedHead, head_error, take_head};
use crate::headers::Headers;
use crate::memory::MemoryCharge;
use crate::ring::Ring;

/// A complete request.
#[derive(Debug, PartialEq, Eq)]
pub struct Request {
    /// Method, as received.
    pub method: String,
    /// Path and query, as received.
    pub target: String,
    /// Header lines.
    pub headers: Headers,
    /// Body, which is empty if there is none.
    pub body: Vec<u8>,
    /// Whether the client keeps the connection open after the response.
    pub keep_alive: bool,
    /// Charge for the memory of the request.
    pub memory: MemoryCharge,
}

/// A request whose head is complete.
#[derive(Debug)]
struct PartialRequest {
    request: Request,
    framing: Framing,
    /// Memory of the request without its body, in bytes.
    head_bytes: usize,
}

/// Reads consecutive requests from the input buffer of a connection.
#[derive(Debug)]
pub struct RequestReader {
    max_body_bytes: usize,
    partial: Option<PartialRequest>,
    /// Whether the client waits for `100 Continue` before it sends the body.
    wants_continue: bool,
}

impl RequestReader {
    /// Creates a reader that accepts bodies of up to `max_body_bytes`.
    pub fn new(max_body_bytes: usize) -> Self {
        RequestReader { max_body_bytes, partial: None, wants_continue: false }
    }

    /// Returns whether the head of a request has been read but not its complete body.
    pub fn is_partial(&self) -> bool {
        self.partial.is_some()
    }

    /// Returns the memory that the part of a request takes that has been read, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.partial.as_ref().map_or(0, |partial| partial.request.memory.bytes())
    }

    /// Drops the part of a request that has been read.
    pub fn reset(&mut self) {
        self.partial = None;
        self.wants_continue = false;
    }

    /// Returns whether an interim response (`100 Continue`) is due, and resets this.
    pub fn take_continue(&mut self) -> bool {
        std::mem::take(&mut self.wants_continue)
    }

    /// Reads the next request, as far as the ring holds it.
    ///
    /// # Errors
    /// The request is rejected; nothing more can be read from the connection then.
    pub fn read(&mut self, ring: &mut Ring) -> Result<Parsed<Request>, MessageError> {
        if self.partial.is_none() {
            let Some(head) = request_head(ring)? else { return Ok(Parsed::Incomplete) };
            self.begin(head, ring)?;
        }
        let Some(PartialRequest { request, framing, head_bytes }) = &mut self.partial else {
            return Ok(Parsed::Incomplete);
        };
        // Reading one byte more than allowed distinguishes a body at the limit from one beyond it.
        let is_complete = framing.read(ring, &mut request.body, self.max_body_bytes + 1)?;
        request.memory.set(*head_bytes + request.body.capacity());
        if request.body.len() > self.max_body_bytes {
            return Err(MessageError::BodyTooLarge);
        }
        if !is_complete {
            return Ok(Parsed::Incomplete);
        }
        self.wants_continue = false;
        Ok(self.partial.take().map_or(Parsed::Incomplete, |partial| Parsed::Complete(partial.request)))
    }

    fn begin(&mut self, head: ParsedHead<Request>, ring: &Ring) -> Result<(), MessageError> {
        let request = head.content;
        let framing = Framing::from_headers(&request.headers)?.unwrap_or(Framing::Ended);
        if matches!(framing, Framing::Length(length) if length > self.max_body_bytes) {
            return Err(MessageError::BodyTooLarge);
        }
        self.wants_continue = request.headers.contains_token("expect", "100-continue") && ring.is_empty();
        let head_bytes = head.len + request.headers.list_bytes();
        self.partial = Some(PartialRequest { request, framing, head_bytes });
        Ok(())
    }
}

fn request_head(ring: &mut Ring) -> Result<Option<ParsedHead<Request>>, MessageError> {
    if ring.is_empty() {
        return Ok(None);
    }
    let memory = ring.new_charge();
    take_head(ring, |bytes| {
        let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Request::new(&mut lines);
        let httparse::Status::Complete(len) = head.parse(bytes).map_err(head_error)? else {
            return Ok(None);
        };
        if head.version != Some(1) {
            return Err(MessageError::Version);
        }
        let headers = Headers::read(head.headers);
        if headers.single_value("host")?.is_none() {
            return Err(MessageError::Malformed("no Host"));
        }
        let content = Request {
            method: head.method.unwrap_or_default().to_owned(),
            target: head.path.unwrap_or_default().to_owned(),
            keep_alive: !headers.contains_token("connection", "close"),
            headers,
            body: Vec::new(),
            memory,
        };
        Ok(Some(ParsedHead { len, content }))
    })
}

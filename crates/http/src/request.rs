//! Requests, read one after another from a connection.

use crate::body::Framing;
use crate::error::MessageError;
use crate::head::{MAX_HEADERS, Parsed, ParsedHead, head_error, take_head};
use crate::headers::Headers;
use crate::ring::Ring;

/// A complete request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The method, as it came.
    pub method: String,
    /// Path and query, as they came.
    pub target: String,
    /// Header lines.
    pub headers: Headers,
    /// The body; empty without one.
    pub body: Vec<u8>,
    /// The client keeps the connection open after the response.
    pub keep_alive: bool,
}

/// A request whose head is complete.
#[derive(Debug)]
struct PartialRequest {
    request: Request,
    framing: Framing,
}

/// Reads requests one after another from a connection's ring.
#[derive(Debug)]
pub struct RequestReader {
    max_body_bytes: usize,
    partial: Option<PartialRequest>,
    /// The client waits for an interim response before it sends the body.
    wants_continue: bool,
}

impl RequestReader {
    /// A reader that accepts bodies of up to `max_body_bytes`.
    pub fn new(max_body_bytes: usize) -> Self {
        RequestReader { max_body_bytes, partial: None, wants_continue: false }
    }

    /// Whether a request has been read in part.
    pub fn is_partial(&self) -> bool {
        self.partial.is_some()
    }

    /// Whether an interim response (`100 Continue`) is due. Asking resets it.
    pub fn take_continue(&mut self) -> bool {
        std::mem::take(&mut self.wants_continue)
    }

    /// Reads what the ring holds of the next request.
    ///
    /// # Errors
    /// The request is rejected; the connection is of no further use then.
    pub fn read(&mut self, ring: &mut Ring) -> Result<Parsed<Request>, MessageError> {
        if self.partial.is_none() {
            let Some(head) = request_head(ring)? else { return Ok(Parsed::Incomplete) };
            self.begin(head, ring)?;
        }
        let Some(PartialRequest { request, framing }) = &mut self.partial else {
            return Ok(Parsed::Incomplete);
        };
        // One byte more than allowed is read, so that a body at the limit is told from one beyond it.
        let is_complete = framing.read(ring, &mut request.body, self.max_body_bytes + 1)?;
        if request.body.len() > self.max_body_bytes {
            return Err(MessageError::BodyTooLarge);
        }
        if !is_complete {
            return Ok(Parsed::Incomplete);
        }
        self.wants_continue = false;
        Ok(self.partial.take().map_or(Parsed::Incomplete, |partial| Parsed::Complete(partial.request)))
    }

    fn begin(&mut self, request: Request, ring: &Ring) -> Result<(), MessageError> {
        let framing = Framing::of(&request.headers)?.unwrap_or(Framing::Ended);
        if matches!(framing, Framing::Length(length) if length > self.max_body_bytes) {
            return Err(MessageError::BodyTooLarge);
        }
        self.wants_continue = request.headers.contains_token("expect", "100-continue") && ring.is_empty();
        self.partial = Some(PartialRequest { request, framing });
        Ok(())
    }
}

fn request_head(ring: &mut Ring) -> Result<Option<Request>, MessageError> {
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
        };
        Ok(Some(ParsedHead { len, content }))
    })
}

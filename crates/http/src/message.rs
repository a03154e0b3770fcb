//! Reading and writing of messages: heads by httparse, bodies by length, chunks or the end of the connection.

use std::fmt;

use crate::ring::{Full, Ring};

/// Longest head of a message; some kilobytes are common, more is a mistake or an attack.
const HEAD_MOST: usize = 16 * 1024;
/// Most header lines of a message.
const HEADERS_MOST: usize = 64;
/// Longest line that gives a chunk's size, and longest trailer line.
const CHUNK_LINE_MOST: usize = 512;
/// Most trailer lines after the last chunk.
const TRAILERS_MOST: usize = 32;
/// Most interim answers in front of the final one; a machine that sends more never comes to it.
const INTERIM_MOST: usize = 16;

/// Why a message can't be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Bad {
    /// It breaks the grammar or contradicts itself.
    Malformed(&'static str),
    /// Its body is beyond the bound.
    BodyTooLarge,
    /// Its head is beyond the bound.
    HeadTooLarge,
    /// It asks for something that is not spoken here.
    Unsupported(&'static str),
    /// Not HTTP/1.1.
    Version,
    /// The connection ended in its midst.
    Truncated,
}

impl Bad {
    /// The status that tells a client so.
    pub fn status(self) -> u16 {
        match self {
            Bad::Malformed(_) | Bad::Truncated => 400,
            Bad::BodyTooLarge => 413,
            Bad::HeadTooLarge => 431,
            Bad::Unsupported(_) => 501,
            Bad::Version => 505,
        }
    }
}

impl fmt::Display for Bad {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Bad::Malformed(words) | Bad::Unsupported(words) => f.write_str(words),
            Bad::BodyTooLarge => f.write_str("body too large"),
            Bad::HeadTooLarge => f.write_str("head too large"),
            Bad::Version => f.write_str("not HTTP/1.1"),
            Bad::Truncated => f.write_str("ended in the midst of a message"),
        }
    }
}

impl std::error::Error for Bad {}

/// Header lines in their order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Headers(Vec<(String, Vec<u8>)>);

impl Headers {
    fn read(lines: &[httparse::Header<'_>]) -> Self {
        Headers(lines.iter().map(|h| (h.name.to_owned(), h.value.to_vec())).collect())
    }

    /// All lines.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.0.iter().map(|(name, value)| (name.as_str(), value.as_slice()))
    }

    /// The values of one name, as they came.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    /// The value of a header that may stand once; `Err` when it stands more often or is not text.
    pub fn one<'a>(&'a self, name: &'a str) -> Result<Option<&'a str>, Bad> {
        let mut all = self.all(name);
        match (all.next(), all.next()) {
            (None, _) => Ok(None),
            (Some(_), Some(_)) => Err(Bad::Malformed("a header that may stand once stands twice")),
            (Some(value), None) => match std::str::from_utf8(value) {
                Ok(text) => Ok(Some(text.trim())),
                Err(_) => Err(Bad::Malformed("a header value is not text")),
            },
        }
    }

    /// Whether a comma-separated header names `token`.
    pub fn names(&self, name: &str, token: &str) -> bool {
        let tokens = self.all(name).flat_map(|v| v.split(|b| *b == b','));
        tokens.into_iter().any(|t| t.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
    }

    /// The lines that concern the message and not the connection: what a go-between passes on. Length and
    /// framing are made anew, so they are left out too.
    pub fn end_to_end(&self) -> impl Iterator<Item = (&str, &[u8])> {
        const HOP: [&str; 10] = [
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect",
        ];
        self.iter().filter(|(name, _)| {
            !HOP.iter().any(|hop| name.eq_ignore_ascii_case(hop)) && !self.names("connection", name)
        })
    }
}

/// How far a message is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Parsing<T> {
    /// More bytes are needed.
    More,
    /// It is whole.
    Done(T),
}

/// How the end of a body is told.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Framing {
    Length(usize),
    ChunkSize,
    ChunkData(usize),
    ChunkEnd,
    Trailers(usize),
    UntilClose,
    Ended,
}

impl Framing {
    /// Of a message with these headers; none: no word of a body.
    fn of(headers: &Headers) -> Result<Option<Framing>, Bad> {
        let mut lengths = headers.all("content-length");
        let length = lengths.next();
        if lengths.next().is_some() {
            return Err(Bad::Malformed("more than one Content-Length"));
        }
        let mut encodings = headers.all("transfer-encoding");
        if let Some(encoding) = encodings.next() {
            if length.is_some() {
                return Err(Bad::Malformed("Content-Length beside Transfer-Encoding"));
            }
            if encodings.next().is_some() || !encoding.trim_ascii().eq_ignore_ascii_case(b"chunked") {
                return Err(Bad::Unsupported("a transfer encoding other than chunked"));
            }
            return Ok(Some(Framing::ChunkSize));
        }
        let Some(length) = length else { return Ok(None) };
        let digits = std::str::from_utf8(length.trim_ascii()).ok();
        let digits = digits.filter(|d| !d.is_empty() && d.bytes().all(|b| b.is_ascii_digit()));
        match digits.ok_or(Bad::Malformed("Content-Length is no number"))?.parse() {
            Ok(length) => Ok(Some(Framing::Length(length))),
            Err(_) => Err(Bad::BodyTooLarge),
        }
    }

    /// Moves body bytes from `ring` to `to`, which takes `most` in all. True once the body has ended.
    fn read(&mut self, ring: &mut Ring, to: &mut Vec<u8>, most: usize) -> Result<bool, Bad> {
        loop {
            let room = most.saturating_sub(to.len());
            match self {
                Framing::Ended | Framing::Length(0) => return Ok(true),
                Framing::Length(left) | Framing::ChunkData(left) if *left > 0 => {
                    let moved = ring.take((*left).min(room), to);
                    *left -= moved;
                    if moved == 0 {
                        return Ok(false);
                    }
                }
                Framing::UntilClose => {
                    ring.take(room, to);
                    return Ok(false);
                }
                Framing::ChunkData(_) => *self = Framing::ChunkEnd,
                Framing::ChunkEnd => match ring.contiguous() {
                    [b'\r', b'\n', ..] => {
                        ring.consume(2);
                        *self = Framing::ChunkSize;
                    }
                    [] | [b'\r'] => return Ok(false),
                    _ => return Err(Bad::Malformed("a chunk is longer than it says")),
                },
                Framing::ChunkSize => match httparse::parse_chunk_size(ring.contiguous()) {
                    Ok(httparse::Status::Complete((line, size))) => {
                        ring.consume(line);
                        let size =
                            usize::try_from(size).map_err(|_| Bad::Malformed("a chunk's size is absurd"))?;
                        *self = if size == 0 { Framing::Trailers(0) } else { Framing::ChunkData(size) };
                    }
                    Ok(httparse::Status::Partial) if ring.len() <= CHUNK_LINE_MOST => return Ok(false),
                    _ => return Err(Bad::Malformed("a chunk's size can't be read")),
                },
                Framing::Trailers(read) => {
                    let Some(end) = ring.contiguous().iter().position(|b| *b == b'\n') else {
                        if ring.len() > CHUNK_LINE_MOST {
                            return Err(Bad::Malformed("a trailer line is too long"));
                        }
                        return Ok(false);
                    };
                    let empty = matches!(&ring.contiguous()[..end], [] | [b'\r']);
                    ring.consume(end + 1);
                    *read += 1;
                    if empty {
                        *self = Framing::Ended;
                    } else if *read > TRAILERS_MOST {
                        return Err(Bad::Malformed("too many trailer lines"));
                    }
                }
                Framing::Length(_) => return Ok(true),
            }
        }
    }
}

fn head_error(error: httparse::Error) -> Bad {
    match error {
        httparse::Error::TooManyHeaders => Bad::HeadTooLarge,
        httparse::Error::Version => Bad::Version,
        _ => Bad::Malformed("the head can't be read"),
    }
}

/// A whole request.
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
    /// The client keeps the connection open after the answer.
    pub keep_alive: bool,
}

/// Reads requests one after another from a connection's ring.
#[derive(Debug)]
pub struct RequestReader {
    most_body: usize,
    under_way: Option<(Request, Framing)>,
    /// The client waits for an interim answer before it sends the body.
    wants_continue: bool,
}

impl RequestReader {
    /// A reader that takes bodies of up to `most_body` bytes.
    pub fn new(most_body: usize) -> Self {
        RequestReader { most_body, under_way: None, wants_continue: false }
    }

    /// Whether a request has been read in part.
    pub fn midway(&self) -> bool {
        self.under_way.is_some()
    }

    /// Whether an interim answer (`100 Continue`) is due; it is asked for once.
    pub fn take_continue(&mut self) -> bool {
        std::mem::take(&mut self.wants_continue)
    }

    /// Takes what there is. After an error the connection is of no further use.
    pub fn read(&mut self, ring: &mut Ring) -> Result<Parsing<Request>, Bad> {
        if self.under_way.is_none() {
            let Some(head) = request_head(ring)? else { return Ok(Parsing::More) };
            let framing = Framing::of(&head.headers)?.unwrap_or(Framing::Ended);
            if matches!(framing, Framing::Length(n) if n > self.most_body) {
                return Err(Bad::BodyTooLarge);
            }
            self.wants_continue = head.headers.names("expect", "100-continue") && ring.is_empty();
            self.under_way = Some((head, framing));
        }
        let Some((request, framing)) = &mut self.under_way else { return Ok(Parsing::More) };
        // One byte more than allowed is let in, so that a body at its bound is told from one beyond it.
        let whole = framing.read(ring, &mut request.body, self.most_body + 1)?;
        if request.body.len() > self.most_body {
            return Err(Bad::BodyTooLarge);
        }
        match self.under_way.take_if(|_| whole) {
            Some((request, _)) => {
                self.wants_continue = false;
                Ok(Parsing::Done(request))
            }
            None => Ok(Parsing::More),
        }
    }
}

/// Takes a head from the ring once it is whole. `parse` says how long it is and what it means.
fn take_head<T>(
    ring: &mut Ring,
    parse: impl FnOnce(&[u8]) -> Result<Option<(usize, T)>, Bad>,
) -> Result<Option<T>, Bad> {
    if ring.is_empty() {
        return Ok(None);
    }
    let bytes = ring.contiguous();
    let seen = &bytes[..bytes.len().min(HEAD_MOST)];
    match parse(seen)? {
        None if seen.len() == HEAD_MOST => Err(Bad::HeadTooLarge),
        None => Ok(None),
        Some((length, head)) => {
            ring.consume(length);
            Ok(Some(head))
        }
    }
}

fn request_head(ring: &mut Ring) -> Result<Option<Request>, Bad> {
    take_head(ring, |bytes| {
        let mut lines = [httparse::EMPTY_HEADER; HEADERS_MOST];
        let mut head = httparse::Request::new(&mut lines);
        let httparse::Status::Complete(length) = head.parse(bytes).map_err(head_error)? else {
            return Ok(None);
        };
        if head.version != Some(1) {
            return Err(Bad::Version);
        }
        let headers = Headers::read(head.headers);
        if headers.one("host")?.is_none() {
            return Err(Bad::Malformed("no Host"));
        }
        let request = Request {
            method: head.method.unwrap_or_default().to_owned(),
            target: head.path.unwrap_or_default().to_owned(),
            keep_alive: !headers.names("connection", "close"),
            headers,
            body: Vec::new(),
        };
        Ok(Some((length, request)))
    })
}

/// An answer: whole, or as far as it has come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// The status.
    pub status: u16,
    /// Header lines.
    pub headers: Headers,
    /// The body, or the part of it not yet taken.
    pub body: Vec<u8>,
    /// The connection can be used again.
    pub keep_alive: bool,
}

/// Reads one answer from a connection's ring.
#[derive(Debug)]
pub struct ResponseReader {
    most: usize,
    whole: bool,
    interim: usize,
    under_way: Option<(Response, Framing)>,
}

impl ResponseReader {
    /// For an answer that is held until it is whole, with a body of up to `most` bytes. One with status 200 must
    /// say how long it is: where only the connection's end tells, one that was cut short looks whole.
    pub fn whole(most: usize) -> Self {
        ResponseReader { most, whole: true, interim: 0, under_way: None }
    }

    /// For an answer of any length, whose body is taken as it comes, at most `most` bytes at once.
    pub fn streamed(most: usize) -> Self {
        ResponseReader { most, whole: false, interim: 0, under_way: None }
    }

    /// The answer as far as it has come: none before its head is whole.
    pub fn begun(&self) -> Option<&Response> {
        self.under_way.as_ref().map(|(response, _)| response)
    }

    /// Takes away the part of the body that has come.
    pub fn take_body(&mut self) -> Vec<u8> {
        self.under_way.as_mut().map(|(r, _)| std::mem::take(&mut r.body)).unwrap_or_default()
    }

    /// Takes what there is; `ended`: nothing more will come. After an error the connection is of no use.
    pub fn read(&mut self, ring: &mut Ring, ended: bool) -> Result<Parsing<Response>, Bad> {
        while self.under_way.is_none() {
            let Some(head) = response_head(ring)? else {
                return if ended { Err(Bad::Truncated) } else { Ok(Parsing::More) };
            };
            if head.status == 101 {
                return Err(Bad::Unsupported("a change of protocol"));
            } else if head.status < 200 {
                self.interim += 1;
                if self.interim > INTERIM_MOST {
                    return Err(Bad::Malformed("too many interim answers"));
                }
                continue;
            }
            let framing = match head.status {
                204 | 304 => Framing::Ended,
                _ => Framing::of(&head.headers)?.unwrap_or(Framing::UntilClose),
            };
            if self.whole && matches!(framing, Framing::Length(n) if n > self.most) {
                return Err(Bad::BodyTooLarge);
            }
            if self.whole && framing == Framing::UntilClose && head.status == 200 {
                return Err(Bad::Malformed("an answer that does not say how long it is"));
            }
            let keep_alive = head.keep_alive && framing != Framing::UntilClose;
            self.under_way = Some((Response { keep_alive, ..head }, framing));
        }
        let Some((response, framing)) = &mut self.under_way else { return Ok(Parsing::More) };
        let most = self.most + usize::from(self.whole);
        let mut done = framing.read(ring, &mut response.body, most)?;
        if self.whole && response.body.len() > self.most {
            return Err(Bad::BodyTooLarge);
        }
        if ended && ring.is_empty() && !done {
            if *framing != Framing::UntilClose {
                return Err(Bad::Truncated);
            }
            done = true;
        }
        Ok(self.under_way.take_if(|_| done).map_or(Parsing::More, |(r, _)| Parsing::Done(r)))
    }
}

fn response_head(ring: &mut Ring) -> Result<Option<Response>, Bad> {
    take_head(ring, |bytes| {
        let mut lines = [httparse::EMPTY_HEADER; HEADERS_MOST];
        let mut head = httparse::Response::new(&mut lines);
        let httparse::Status::Complete(length) = head.parse(bytes).map_err(head_error)? else {
            return Ok(None);
        };
        let headers = Headers::read(head.headers);
        let response = Response {
            status: head.code.unwrap_or_default(),
            keep_alive: head.version == Some(1) && !headers.names("connection", "close"),
            headers,
            body: Vec::new(),
        };
        Ok(Some((length, response)))
    })
}

/// An answer that stays open and carries one text a line.
#[derive(Debug)]
pub struct StreamReader {
    reader: ResponseReader,
    most_line: usize,
    line: Vec<u8>,
}

impl StreamReader {
    /// A reader for lines of up to `most_line` bytes.
    pub fn new(most_line: usize) -> Self {
        StreamReader { reader: ResponseReader::streamed(64 * 1024), most_line, line: Vec::new() }
    }

    /// The status, once known.
    pub fn status(&self) -> Option<u16> {
        self.reader.begun().map(|r| r.status)
    }

    /// Adds the lines that have come whole to `lines`, without their ends; true once the answer has ended.
    /// Lines that were whole before the answer became unreadable are among them.
    pub fn read(&mut self, ring: &mut Ring, ended: bool, lines: &mut Vec<Vec<u8>>) -> Result<bool, Bad> {
        loop {
            let before = ring.len();
            let (body, over) = match self.reader.read(ring, ended) {
                Ok(Parsing::Done(response)) => (response.body, Ok(true)),
                Ok(Parsing::More) => (self.reader.take_body(), Ok(false)),
                Err(bad) => (self.reader.take_body(), Err(bad)),
            };
            for part in body.split_inclusive(|b| *b == b'\n') {
                if self.line.len() + part.len() > self.most_line {
                    return Err(Bad::BodyTooLarge);
                }
                self.line.extend_from_slice(part);
                if self.line.ends_with(b"\n") {
                    self.line.pop();
                    lines.push(std::mem::take(&mut self.line));
                }
            }
            if over? {
                return Ok(true);
            } else if ring.len() == before {
                return Ok(false);
            }
        }
    }
}

/// Appends a request to `ring`, whole or not at all.
pub fn write_request<'a>(
    ring: &mut Ring,
    method: &str,
    target: &str,
    headers: impl Iterator<Item = (&'a str, &'a [u8])>,
    body: &[u8],
) -> Result<(), Full> {
    let mut text = Vec::with_capacity(512 + body.len());
    for part in [method, " ", target, " HTTP/1.1\r\n"] {
        text.extend_from_slice(part.as_bytes());
    }
    write_lines(&mut text, headers);
    if !body.is_empty() || !matches!(method, "GET" | "HEAD" | "DELETE" | "OPTIONS") {
        text.extend_from_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
    }
    text.extend_from_slice(b"\r\n");
    text.extend_from_slice(body);
    ring.push(&text)
}

/// Appends an answer to `ring`, whole or not at all. Without a body the head alone is written, for one that
/// is sent in chunks afterwards.
pub fn write_response<'a>(
    ring: &mut Ring,
    status: u16,
    headers: impl Iterator<Item = (&'a str, &'a [u8])>,
    body: Option<&[u8]>,
) -> Result<(), Full> {
    let mut text = Vec::with_capacity(256 + body.map_or(0, <[u8]>::len));
    text.extend_from_slice(format!("HTTP/1.1 {status} {}\r\n", reason(status)).as_bytes());
    write_lines(&mut text, headers);
    match body {
        Some(body) => text.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes()),
        None => text.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n"),
    }
    text.extend_from_slice(body.unwrap_or_default());
    ring.push(&text)
}

fn write_lines<'a>(text: &mut Vec<u8>, headers: impl Iterator<Item = (&'a str, &'a [u8])>) {
    for (name, value) in headers {
        for part in [name.as_bytes(), b": ", value, b"\r\n"] {
            text.extend_from_slice(part);
        }
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        100 => "Continue",
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        505 => "HTTP Version Not Supported",
        _ => "Answer",
    }
}

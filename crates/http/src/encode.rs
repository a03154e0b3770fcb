//! Writing of requests and responses.

use crate::ring::{Ring, RingFull};

/// Usual size of a request head, in bytes, for which memory is reserved before the head is written.
const REQUEST_HEAD_BYTES: usize = 512;
/// Usual size of a response head, in bytes, for which memory is reserved before the head is written.
const RESPONSE_HEAD_BYTES: usize = 256;
/// Methods whose requests usually have no body. For these an empty body is written without `Content-Length`.
const METHODS_WITHOUT_BODY: [&str; 4] = ["GET", "HEAD", "DELETE", "OPTIONS"];

/// Appends a complete request to `ring`.
///
/// # Errors
/// The request does not fit; nothing has been appended then.
pub fn write_request<'a>(
    ring: &mut Ring,
    method: &str,
    target: &str,
    headers: impl Iterator<Item = (&'a str, &'a [u8])>,
    body: &[u8],
) -> Result<(), RingFull> {
    let mut text = Vec::with_capacity(REQUEST_HEAD_BYTES + body.len());
    for part in [method, " ", target, " HTTP/1.1\r\n"] {
        text.extend_from_slice(part.as_bytes());
    }
    write_headers(&mut text, headers);
    if !body.is_empty() || !METHODS_WITHOUT_BODY.contains(&method) {
        text.extend_from_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
    }
    text.extend_from_slice(b"\r\n");
    text.extend_from_slice(body);
    ring.push(&text)
}

/// Appends a complete response to `ring`. If `body` is `None`, only the head is written, and the body is to
/// be sent in chunks afterwards.
///
/// # Errors
/// The response does not fit; nothing has been appended then.
pub fn write_response<'a>(
    ring: &mut Ring,
    status: u16,
    headers: impl Iterator<Item = (&'a str, &'a [u8])>,
    body: Option<&[u8]>,
) -> Result<(), RingFull> {
    let mut text = Vec::with_capacity(RESPONSE_HEAD_BYTES + body.map_or(0, <[u8]>::len));
    text.extend_from_slice(format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status)).as_bytes());
    write_headers(&mut text, headers);
    match body {
        Some(body) => text.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes()),
        None => text.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n"),
    }
    text.extend_from_slice(body.unwrap_or_default());
    ring.push(&text)
}

fn write_headers<'a>(text: &mut Vec<u8>, headers: impl Iterator<Item = (&'a str, &'a [u8])>) {
    for (name, value) in headers {
        for part in [name.as_bytes(), b": ", value, b"\r\n"] {
            text.extend_from_slice(part);
        }
    }
}

fn reason_phrase(status: u16) -> &'static str {
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

//! HTTP messages, read and written independently of the proxy's own implementation.

use std::io::BufRead;

/// A message that was read.
#[derive(Debug, Clone)]
pub struct ReceivedMessage {
    /// The request line or status line.
    pub start_line: String,
    /// The names and values of the headers.
    pub headers: Vec<(String, String)>,
    /// The body, decoded if it was chunked.
    pub body: Vec<u8>,
}

impl ReceivedMessage {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(header_name, _)| header_name.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.start_line
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .unwrap_or_else(|| panic!("{self:?}"))
    }
}

/// Reads one message. Returns none at the end of the connection or on an error.
pub fn read_message(from: &mut impl BufRead) -> Option<ReceivedMessage> {
    let mut next_line = || {
        let mut text = String::new();
        let read = from.read_line(&mut text).ok()?;
        (read > 0 && text.ends_with('\n')).then(|| text.trim_end().to_owned())
    };
    let start_line = next_line()?;
    let mut headers = Vec::new();
    loop {
        let text = next_line()?;
        if text.is_empty() {
            break;
        }
        let (name, value) = text.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let mut message = ReceivedMessage { start_line, headers, body: Vec::new() };
    if message.header("transfer-encoding").is_some() {
        loop {
            let mut size = String::new();
            from.read_line(&mut size).ok()?;
            let size = usize::from_str_radix(size.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            from.read_exact(&mut chunk).ok()?;
            message.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                return Some(message);
            }
        }
    }
    let length = message.header("content-length").map_or(0, |value| value.parse().unwrap_or(0));
    message.body.resize(length, 0);
    from.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Formats a response.
pub(super) fn response_bytes(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut text =
        format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    text.extend_from_slice(body);
    text
}

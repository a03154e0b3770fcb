//! HTTP messages, read and written without regard to the proxy's own implementation.

use std::io::BufRead;

/// A message as it was read: its first line, its header lines and its body.
#[derive(Debug, Clone)]
pub struct ReceivedMessage {
    /// Its first line.
    pub first: String,
    /// Its header lines.
    pub headers: Vec<(String, String)>,
    /// Its body.
    pub body: Vec<u8>,
}

impl ReceivedMessage {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or_else(|| panic!("{self:?}"))
    }
}

/// Reads one message; none at the end of the connection or on an error.
pub fn read_message(from: &mut impl BufRead) -> Option<ReceivedMessage> {
    let mut line = || {
        let mut text = String::new();
        let read = from.read_line(&mut text).ok()?;
        (read > 0 && text.ends_with('\n')).then(|| text.trim_end().to_owned())
    };
    let first = line()?;
    let mut headers = Vec::new();
    loop {
        let text = line()?;
        if text.is_empty() {
            break;
        }
        let (name, value) = text.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let mut message = ReceivedMessage { first, headers, body: Vec::new() };
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
    let length = message.header("content-length").map_or(0, |l| l.parse().unwrap_or(0));
    message.body.resize(length, 0);
    from.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// The bytes of a response.
pub(super) fn answer(status: u16, lines: &str, body: &[u8]) -> Vec<u8> {
    let mut text =
        format!("HTTP/1.1 {status} X\r\n{lines}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    text.extend_from_slice(body);
    text
}

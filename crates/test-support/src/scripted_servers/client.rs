//! A client of the proxy.

use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};

use super::WAIT_TIMEOUT;
use super::message::{ReceivedMessage, read_message};

static REQUESTS: AtomicU64 = AtomicU64::new(0);

/// The text of a request with an id of its own.
pub fn request(method: &str, target: &str, wait_ms: u64, body: &str) -> String {
    let id = REQUESTS.fetch_add(1, Ordering::Relaxed);
    let length = if method == "GET" { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    format!(
        "{method} {target} HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {id:016x}\r\nTenant: acme\r\n\
         Request-Timeout-Ms: {wait_ms}\r\n{length}\r\n{body}"
    )
}

/// A client's connection.
pub struct TestClient {
    reader: BufReader<TcpStream>,
}

impl TestClient {
    /// A client on an open connection.
    pub fn on(stream: TcpStream) -> TestClient {
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a time-out");
        TestClient { reader: BufReader::new(stream) }
    }

    /// Sends text as it is. Returns whether that was possible.
    pub fn send(&mut self, text: &str) -> bool {
        self.reader.get_mut().write_all(text.as_bytes()).is_ok()
    }

    /// Reads a response; none if the connection ends before one is complete.
    pub fn read(&mut self) -> Option<ReceivedMessage> {
        read_message(&mut self.reader)
    }

    /// Sends text and reads the response.
    pub fn exchange(&mut self, text: &str) -> Option<ReceivedMessage> {
        self.send(text);
        self.read()
    }

    /// Sends an idempotent request with a long timeout, and reads the response.
    pub fn get(&mut self) -> ReceivedMessage {
        self.exchange(&request("GET", "/look", 9000, "")).expect("an answer")
    }

    /// Whether the peer has closed the connection.
    pub fn is_closed(&mut self) -> bool {
        let mut rest = Vec::new();
        self.reader.read_to_end(&mut rest).map_or(true, |_| rest.is_empty())
    }

    /// Reads what arrives next, up to `max` bytes.
    pub fn read_at_most(&mut self, max: usize) -> Vec<u8> {
        let mut bytes = vec![0; max];
        let read = self.reader.read(&mut bytes).unwrap_or(0);
        bytes.truncate(read);
        bytes
    }
}

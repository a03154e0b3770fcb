//! A client of the proxy.

use std::io::{self, BufReader, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};

use super::WAIT_TIMEOUT;
use super::message::{ReceivedMessage, read_message};

static NEXT_REQUEST_ID: AtomicU64 = AtomicU64::new(0);

/// Formats a request with a unique id.
pub fn request(method: &str, target: &str, timeout_ms: u64, body: &str) -> String {
    let id = NEXT_REQUEST_ID.fetch_add(1, Ordering::Relaxed);
    let content_length =
        if method == "GET" { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    format!(
        "{method} {target} HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {id:016x}\r\nTenant: acme\r\n\
         Request-Timeout-Ms: {timeout_ms}\r\n{content_length}\r\n{body}"
    )
}

/// Returns the id of a request that [`request`] has formatted.
///
/// # Panics
/// When the text has none.
pub fn request_id(text: &str) -> &str {
    let mut ids = text.lines().filter_map(|line| line.strip_prefix("Request-Id: "));
    ids.next().expect("a request has an id")
}

/// A stream on which a read that takes longer than [`WAIT_TIMEOUT`] fails the test: that nothing arrives is neither the end
/// of the connection nor an error of it.
struct PatientStream(TcpStream);

impl Read for PatientStream {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let result = self.0.read(buffer);
        if let Err(error) = &result {
            let has_waited = matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut);
            assert!(!has_waited, "within {WAIT_TIMEOUT:?}, neither bytes nor the end of the connection");
        }
        result
    }
}

/// A client's connection.
pub struct TestClient {
    reader: BufReader<PatientStream>,
}

impl TestClient {
    /// Creates a client for an open connection.
    pub fn new(stream: TcpStream) -> TestClient {
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the read timeout is set");
        TestClient { reader: BufReader::new(PatientStream(stream)) }
    }

    /// Sends text unchanged. Returns whether the connection accepted it.
    pub fn send(&mut self, text: &str) -> bool {
        self.reader.get_mut().0.write_all(text.as_bytes()).is_ok()
    }

    /// Sends as much of a text as the connection takes without waiting. Returns the number of bytes sent.
    ///
    /// # Panics
    /// When the connection fails.
    pub fn send_without_waiting(&mut self, text: &str) -> usize {
        let stream = &mut self.reader.get_mut().0;
        stream.set_nonblocking(true).expect("the mode is set");
        let mut sent = 0;
        while sent < text.len() {
            match stream.write(&text.as_bytes()[sent..]) {
                Ok(written) => sent += written,
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) => panic!("the connection fails: {error}"),
            }
        }
        stream.set_nonblocking(false).expect("the mode is set");
        sent
    }

    /// Reads a response. Returns none if the connection ends before the response is complete.
    ///
    /// # Panics
    /// When nothing arrives.
    pub fn read(&mut self) -> Option<ReceivedMessage> {
        read_message(&mut self.reader)
    }

    /// Sends text unchanged and reads the response.
    pub fn exchange(&mut self, text: &str) -> Option<ReceivedMessage> {
        self.send(text);
        self.read()
    }

    /// Sends an idempotent request with a long timeout, and reads the response.
    pub fn get(&mut self) -> ReceivedMessage {
        self.exchange(&request("GET", "/look", 9000, "")).expect("the proxy responds")
    }

    /// Reads to the end of the connection, which may be a reset. Returns false if bytes arrive before it.
    ///
    /// # Panics
    /// When the connection stays open.
    pub fn is_closed(&mut self) -> bool {
        let mut remaining = Vec::new();
        // A reset ends the connection, too.
        let _ = self.reader.read_to_end(&mut remaining);
        remaining.is_empty()
    }

    /// Reads the next bytes that arrive, up to `max`. Returns none at the end of the connection.
    ///
    /// # Panics
    /// When nothing arrives.
    pub fn read_at_most(&mut self, max: usize) -> Vec<u8> {
        let mut bytes = vec![0; max];
        let read = self.reader.read(&mut bytes).unwrap_or(0);
        bytes.truncate(read);
        bytes
    }
}

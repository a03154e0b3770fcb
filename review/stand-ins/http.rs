//! HTTP/1.1 messages on blocking sockets, for stand-ins and clients.

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A message whose body is delimited by its length.
pub struct Message {
    pub start: String,
    headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

/// A connection with the bytes that were read and not used yet.
pub struct Conn {
    pub stream: TcpStream,
    bytes: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        let _ = stream.set_nodelay(true);
        Conn { stream, bytes: Vec::new() }
    }

    pub fn connect(address: SocketAddr) -> io::Result<Conn> {
        Ok(Conn::new(TcpStream::connect_timeout(&address, Duration::from_secs(2))?))
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    pub fn read(&mut self) -> io::Result<Message> {
        let head_end = loop {
            if let Some(end) = self.bytes.windows(4).position(|four| four == b"\r\n\r\n") {
                break end;
            }
            self.read_more()?;
        };
        let head = String::from_utf8_lossy(&self.bytes[..head_end]).into_owned();
        self.bytes.drain(..head_end + 4);
        let mut lines = head.split("\r\n");
        let start = lines.next().unwrap_or("").to_owned();
        let headers: HashMap<String, String> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        let length: usize = headers.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        while self.bytes.len() < length {
            self.read_more()?;
        }
        let body = self.bytes.drain(..length).collect();
        Ok(Message { start, headers, body })
    }

    fn read_more(&mut self) -> io::Result<()> {
        let mut buffer = [0; 16 * 1024];
        match self.stream.read(&mut buffer)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            read => {
                self.bytes.extend_from_slice(&buffer[..read]);
                Ok(())
            }
        }
    }
}

/// Returns an answer with a status and a body.
pub fn answer(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// Returns a client's request.
pub fn request(class: &str, id: &str, timeout_ms: u64, body: &[u8]) -> Vec<u8> {
    let method = if body.is_empty() { "GET" } else { "POST" };
    let length = if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    let head = format!(
        "{method} /{class} HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {id}\r\nTenant: acme\r\n\
         Request-Timeout-Ms: {timeout_ms}\r\n{length}\r\n"
    );
    [head.as_bytes(), body].concat()
}

/// Listens on a free port of loopback.
pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a local address");
    (listener, address)
}

/// Serves each connection in a thread of its own.
pub fn serve(listener: TcpListener, handle: impl Fn(Conn) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || handle(Conn::new(stream)));
        }
    });
}

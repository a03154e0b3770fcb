//! An endpoint that answers requests as a script says.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};

use super::lock;
use super::message::{ReceivedMessage, answer, read_message};

/// What an endpoint does with a request.
#[derive(Debug, Clone)]
pub enum EndpointBehavior {
    /// Responds with this status, header lines and body.
    Respond(u16, &'static str, Vec<u8>),
    /// Sends nothing.
    Ignore,
    /// Closes the connection.
    Close,
    /// Sends these bytes, whatever they are, and keeps the connection open.
    SendRaw(Vec<u8>),
    /// Sends these bytes and closes the connection.
    SendRawAndClose(&'static str),
    /// Waits for [`ScriptedEndpoint::release`], then responds with 200.
    WaitForRelease,
    /// Streams parts, each once released; then completes the stream, or breaks it off for `false`.
    Stream {
        /// Its chunks.
        parts: Vec<&'static str>,
        /// Whether the last chunk is sent; else the connection is closed before it.
        complete: bool,
    },
}

#[derive(Default)]
struct Shared {
    behavior: Option<EndpointBehavior>,
    requests: Vec<ReceivedMessage>,
    released: u64,
    connections: u64,
}

/// A scripted endpoint.
pub struct ScriptedEndpoint {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<(Mutex<Shared>, Condvar)>,
}

impl ScriptedEndpoint {
    /// Starts an endpoint that does so with every request.
    pub fn start(behavior: EndpointBehavior) -> ScriptedEndpoint {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let shared: Arc<(Mutex<Shared>, Condvar)> = Arc::default();
        lock(&shared.0).behavior = Some(behavior);
        let all = Arc::clone(&shared);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                lock(&all.0).connections += 1;
                let shared = Arc::clone(&all);
                std::thread::spawn(move || serve(stream, &shared));
            }
        });
        ScriptedEndpoint { address, shared }
    }

    /// Changes what it does with further requests.
    pub fn set_behavior(&self, behavior: EndpointBehavior) {
        lock(&self.shared.0).behavior = Some(behavior);
    }

    /// Lets waiting responses continue by one step.
    pub fn release(&self) {
        lock(&self.shared.0).released += 1;
        self.shared.1.notify_all();
    }

    /// The complete requests that have arrived.
    pub fn requests(&self) -> Vec<ReceivedMessage> {
        lock(&self.shared.0).requests.clone()
    }

    /// Number of connections that were made to it.
    pub fn connections(&self) -> u64 {
        lock(&self.shared.0).connections
    }
}

fn serve(stream: TcpStream, shared: &(Mutex<Shared>, Condvar)) {
    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
    let mut stream = stream;
    let mut released_steps = 0;
    while let Some(message) = read_message(&mut reader) {
        let behavior = {
            let mut shared = lock(&shared.0);
            shared.requests.push(message);
            shared.behavior.clone()
        };
        let mut wait = || {
            let mut state = lock(&shared.0);
            while state.released <= released_steps {
                state = shared.1.wait(state).unwrap_or_else(PoisonError::into_inner);
            }
            released_steps += 1;
        };
        let text = match behavior.unwrap_or(EndpointBehavior::Ignore) {
            EndpointBehavior::Respond(status, lines, body) => answer(status, lines, &body),
            EndpointBehavior::Ignore => continue,
            EndpointBehavior::Close => return,
            EndpointBehavior::SendRaw(bytes) => bytes,
            EndpointBehavior::SendRawAndClose(text) => {
                let _ = stream.write_all(text.as_bytes());
                return;
            }
            EndpointBehavior::WaitForRelease => {
                wait();
                answer(200, "", b"late")
            }
            EndpointBehavior::Stream { parts, complete } => {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                for part in parts {
                    wait();
                    let _ = stream.write_all(format!("{:x}\r\n{part}\r\n", part.len()).as_bytes());
                }
                wait();
                if !complete {
                    return;
                }
                b"0\r\n\r\n".to_vec()
            }
        };
        if stream.write_all(&text).is_err() {
            return;
        }
    }
}

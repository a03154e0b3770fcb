//! An endpoint whose responses a test controls.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use socket2::SockRef;

use super::lock;
use super::message::{ReceivedMessage, read_message, response_bytes};

/// How an endpoint ends a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// An orderly close.
    Close,
    /// A reset, as when its process dies.
    Reset,
}

/// Reaction of an endpoint to a request.
#[derive(Debug, Clone)]
pub enum EndpointBehavior {
    /// A response with this status, header lines and body.
    Respond(u16, &'static str, Vec<u8>),
    /// No response; the connection stays open.
    Ignore,
    /// The end of the connection without a response.
    Close,
    /// These bytes, valid HTTP or not; the connection stays open.
    SendRaw(Vec<u8>),
    /// These bytes, then the end of the connection.
    SendRawAndClose(&'static str),
    /// These parts of a response, valid HTTP or not, and then the end of the connection. Each part and the end wait for a
    /// call of [`ScriptedEndpoint::release`].
    SendParts {
        /// The parts.
        parts: Vec<Vec<u8>>,
        /// The end of the connection.
        end: ConnectionEnd,
    },
    /// A response with status 200, after a call of [`ScriptedEndpoint::release`].
    WaitForRelease,
    /// A response that states that the request was not started, after a call of [`ScriptedEndpoint::release`].
    RejectAfterRelease,
    /// A streamed response. Each chunk and the end wait for a call of [`ScriptedEndpoint::release`].
    Stream {
        /// The chunks.
        chunks: Vec<&'static str>,
        /// Whether the last, empty chunk is sent; else the connection is closed instead.
        complete: bool,
    },
}

#[derive(Default)]
struct Shared {
    behavior: Option<EndpointBehavior>,
    requests: Vec<ReceivedMessage>,
    released_steps: u64,
    connection_count: u64,
}

/// A scripted endpoint.
pub struct ScriptedEndpoint {
    /// Address on which it listens.
    pub address: SocketAddr,
    shared: Arc<(Mutex<Shared>, Condvar)>,
}

impl ScriptedEndpoint {
    /// Starts an endpoint that reacts with `behavior` to every request.
    pub fn start(behavior: EndpointBehavior) -> ScriptedEndpoint {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let shared: Arc<(Mutex<Shared>, Condvar)> = Arc::default();
        lock(&shared.0).behavior = Some(behavior);
        let listener_shared = Arc::clone(&shared);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                lock(&listener_shared.0).connection_count += 1;
                let shared = Arc::clone(&listener_shared);
                std::thread::spawn(move || serve(stream, &shared));
            }
        });
        ScriptedEndpoint { address, shared }
    }

    /// Changes the reaction to further requests.
    pub fn set_behavior(&self, behavior: EndpointBehavior) {
        lock(&self.shared.0).behavior = Some(behavior);
    }

    /// Releases one more waiting step on every connection, later ones included.
    pub fn release(&self) {
        lock(&self.shared.0).released_steps += 1;
        self.shared.1.notify_all();
    }

    /// Returns the complete requests that have arrived.
    pub fn requests(&self) -> Vec<ReceivedMessage> {
        lock(&self.shared.0).requests.clone()
    }

    /// Returns the number of connections accepted so far.
    pub fn connection_count(&self) -> u64 {
        lock(&self.shared.0).connection_count
    }
}

fn serve(stream: TcpStream, shared: &(Mutex<Shared>, Condvar)) {
    let mut reader = BufReader::new(stream.try_clone().expect("the stream is cloned"));
    let mut stream = stream;
    let mut steps_taken = 0;
    while let Some(message) = read_message(&mut reader) {
        let behavior = {
            let mut shared = lock(&shared.0);
            shared.requests.push(message);
            shared.behavior.clone()
        };
        let mut wait_for_release = || {
            let mut state = lock(&shared.0);
            while state.released_steps <= steps_taken {
                state = shared.1.wait(state).unwrap_or_else(PoisonError::into_inner);
            }
            steps_taken += 1;
        };
        let response = match behavior.unwrap_or(EndpointBehavior::Ignore) {
            EndpointBehavior::Respond(status, headers, body) => response_bytes(status, headers, &body),
            EndpointBehavior::Ignore => continue,
            EndpointBehavior::Close => return,
            EndpointBehavior::SendRaw(bytes) => bytes,
            EndpointBehavior::SendRawAndClose(response) => {
                let _ = stream.write_all(response.as_bytes());
                return;
            }
            EndpointBehavior::SendParts { parts, end } => {
                for part in parts {
                    wait_for_release();
                    let _ = stream.write_all(&part);
                }
                wait_for_release();
                if end == ConnectionEnd::Reset {
                    reset_on_close(&stream);
                }
                return;
            }
            EndpointBehavior::WaitForRelease => {
                wait_for_release();
                response_bytes(200, "", b"late")
            }
            EndpointBehavior::RejectAfterRelease => {
                wait_for_release();
                response_bytes(503, "Not-Started: 1\r\n", b"")
            }
            EndpointBehavior::Stream { chunks, complete } => {
                stream_chunks(&mut stream, &chunks, &mut wait_for_release);
                if !complete {
                    return;
                }
                b"0\r\n\r\n".to_vec()
            }
        };
        if stream.write_all(&response).is_err() {
            return;
        }
    }
}

/// Sends the head of a streamed response and its chunks, each after a release. Returns after one more release.
fn stream_chunks(stream: &mut TcpStream, chunks: &[&str], wait_for_release: &mut impl FnMut()) {
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    for chunk in chunks {
        wait_for_release();
        let _ = stream.write_all(format!("{:x}\r\n{chunk}\r\n", chunk.len()).as_bytes());
    }
    wait_for_release();
}

/// Makes the close of a connection reset it.
///
/// # Panics
/// When the option can't be set.
pub fn reset_on_close(stream: &TcpStream) {
    SockRef::from(stream).set_linger(Some(Duration::ZERO)).expect("the linger time is set");
}

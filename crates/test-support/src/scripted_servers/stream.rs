//! Discovery and the release controller: responses that stay open and carry one event a line.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::lock;
use super::message::{answer, read_message};

/// A server whose response stays open and carries one event a line: discovery, or the release controller.
pub struct ScriptedStream {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Mutex<StreamState>>,
}

#[derive(Default)]
struct StreamState {
    first: String,
    streams: Vec<TcpStream>,
    /// Connections that are open and never get a byte.
    unanswered: Vec<TcpStream>,
    requested_targets: Vec<String>,
    votes: Vec<String>,
    vote_answer: (u16, String),
    silent: bool,
}

impl ScriptedStream {
    /// Starts a server that sends `first` on each connection.
    pub fn start(first: &str) -> ScriptedStream {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let shared: Arc<Mutex<StreamState>> = Arc::default();
        {
            let mut state = lock(&shared);
            state.first = first.to_owned();
            state.vote_answer = (409, r#"{"error":"out_of_date"}"#.to_owned());
        }
        let all = Arc::clone(&shared);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&all);
                std::thread::spawn(move || serve_stream(stream, &shared));
            }
        });
        // Heartbeats, while it is not silent.
        let all = Arc::clone(&shared);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(500));
                let mut state = lock(&all);
                if !state.silent {
                    state.streams.retain_mut(|s| s.write_all(&chunk("\n")).is_ok());
                }
            }
        });
        ScriptedStream { address, shared }
    }

    /// Sends a line on all connections; later ones are sent `first`.
    pub fn publish(&self, line: &str, first: &str) {
        let mut state = lock(&self.shared);
        state.first = first.to_owned();
        state.streams.retain_mut(|s| s.write_all(&chunk(&format!("{line}\n"))).is_ok());
    }

    /// Sends a line with bytes behind it that are no chunk; later connections are sent `first`.
    pub fn publish_corrupt(&self, line: &str, first: &str) {
        let mut state = lock(&self.shared);
        state.first = first.to_owned();
        let bytes = [chunk(&format!("{line}\n")), b"no chunk\r\n".to_vec()].concat();
        state.streams.retain_mut(|s| s.write_all(&bytes).is_ok());
    }

    /// Falls silent, or sends again on further connections.
    pub fn set_silent(&self, silent: bool) {
        lock(&self.shared).silent = silent;
    }

    /// Closes all its connections.
    pub fn disconnect_all(&self) {
        let mut state = lock(&self.shared);
        let unanswered = std::mem::take(&mut state.unanswered);
        for stream in state.streams.drain(..).chain(unanswered) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Sets the answer to votes; status 0 leaves them unanswered.
    pub fn answer_votes(&self, status: u16, body: &str) {
        lock(&self.shared).vote_answer = (status, body.to_owned());
    }

    /// The targets that were requested.
    pub fn requested_targets(&self) -> Vec<String> {
        lock(&self.shared).requested_targets.clone()
    }

    /// The bodies of the votes that arrived.
    pub fn votes(&self) -> Vec<String> {
        lock(&self.shared).votes.clone()
    }
}

fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

fn serve_stream(stream: TcpStream, shared: &Mutex<StreamState>) {
    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
    let mut stream = stream;
    let Some(message) = read_message(&mut reader) else { return };
    let mut state = lock(shared);
    state.requested_targets.push(message.first.split(' ').nth(1).unwrap_or_default().to_owned());
    if message.first.starts_with("POST") {
        state.votes.push(String::from_utf8_lossy(&message.body).into_owned());
        let (status, body) = state.vote_answer.clone();
        if status == 0 {
            return state.unanswered.push(stream);
        }
        let _ = stream.write_all(&answer(status, "", body.as_bytes()));
    } else if !state.silent {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        let first = format!("{}\n", state.first);
        let _ = stream.write_all(&chunk(&first));
        state.streams.push(stream);
    } else {
        state.unanswered.push(stream);
    }
}

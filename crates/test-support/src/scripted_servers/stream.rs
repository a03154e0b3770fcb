//! Discovery and the release controller, whose responses stay open and carry one event per line.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::lock;
use super::message::{read_message, response_bytes};

/// A scripted discovery, release controller or agent, whose responses stay open and carry one event per line.
pub struct ScriptedStream {
    /// Address on which it listens.
    pub address: SocketAddr,
    shared: Arc<Mutex<StreamState>>,
}

#[derive(Default)]
struct StreamState {
    first_event: String,
    streams: Vec<TcpStream>,
    /// Open connections that get no response.
    unanswered: Vec<TcpStream>,
    requested_targets: Vec<String>,
    votes: Vec<String>,
    vote_response: (u16, String),
    silent: bool,
}

impl ScriptedStream {
    /// Starts a server that sends `first_event` on each connection.
    pub fn start(first_event: &str) -> ScriptedStream {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let shared: Arc<Mutex<StreamState>> = Arc::default();
        {
            let mut state = lock(&shared);
            state.first_event = first_event.to_owned();
            state.vote_response = (409, r#"{"error":"out_of_date"}"#.to_owned());
        }
        let thread_shared = Arc::clone(&shared);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&thread_shared);
                std::thread::spawn(move || serve_stream(stream, &shared));
            }
        });
        // Sends heartbeats while it is not silent.
        let thread_shared = Arc::clone(&shared);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(500));
                let mut state = lock(&thread_shared);
                if !state.silent {
                    state.streams.retain_mut(|stream| stream.write_all(&chunk("\n")).is_ok());
                }
            }
        });
        ScriptedStream { address, shared }
    }

    /// Sends a line on all open connections, and `first_event` on later ones.
    pub fn publish(&self, line: &str, first_event: &str) {
        let mut state = lock(&self.shared);
        state.first_event = first_event.to_owned();
        state.streams.retain_mut(|stream| stream.write_all(&chunk(&format!("{line}\n"))).is_ok());
    }

    /// Sends a line and then an invalid chunk on all open connections, and `first_event` on later ones.
    pub fn publish_corrupt(&self, line: &str, first_event: &str) {
        let mut state = lock(&self.shared);
        state.first_event = first_event.to_owned();
        let bytes = [chunk(&format!("{line}\n")), b"no chunk\r\n".to_vec()].concat();
        state.streams.retain_mut(|stream| stream.write_all(&bytes).is_ok());
    }

    /// Stops or resumes heartbeats and the responses to new watch requests.
    pub fn set_silent(&self, silent: bool) {
        lock(&self.shared).silent = silent;
    }

    /// Closes all connections.
    pub fn disconnect_all(&self) {
        let mut state = lock(&self.shared);
        let unanswered = std::mem::take(&mut state.unanswered);
        for stream in state.streams.drain(..).chain(unanswered) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Sets the response to votes; with status 0 they get none.
    pub fn set_vote_response(&self, status: u16, body: &str) {
        lock(&self.shared).vote_response = (status, body.to_owned());
    }

    /// Returns the requested targets, those of votes included.
    pub fn requested_targets(&self) -> Vec<String> {
        lock(&self.shared).requested_targets.clone()
    }

    /// Returns the bodies of the received votes.
    pub fn votes(&self) -> Vec<String> {
        lock(&self.shared).votes.clone()
    }
}

fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

fn serve_stream(stream: TcpStream, shared: &Mutex<StreamState>) {
    let mut reader = BufReader::new(stream.try_clone().expect("the stream is cloned"));
    let mut stream = stream;
    let Some(message) = read_message(&mut reader) else { return };
    let mut state = lock(shared);
    state.requested_targets.push(message.start_line.split(' ').nth(1).unwrap_or_default().to_owned());
    if message.start_line.starts_with("POST") {
        state.votes.push(String::from_utf8_lossy(&message.body).into_owned());
        let (status, body) = state.vote_response.clone();
        if status == 0 {
            return state.unanswered.push(stream);
        }
        let _ = stream.write_all(&response_bytes(status, "", body.as_bytes()));
    } else if !state.silent {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        let first_event = format!("{}\n", state.first_event);
        let _ = stream.write_all(&chunk(&first_event));
        state.streams.push(stream);
    } else {
        state.unanswered.push(stream);
    }
}

//! An endpoint that reacts to requests at random, by a seed, and records when each began and whether it ran.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::scripted_servers::read_message;

/// An attempt whose complete request reached an endpoint.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// The request's `Request-Id`.
    pub request_id: String,
    /// Method, target and version of the request.
    pub start_line: String,
    /// Time of its first byte.
    pub began_at: Instant,
    /// Whether the endpoint ran it; otherwise it stated that it did not.
    pub ran: bool,
}

/// What an endpoint does with a request.
enum Reaction {
    Serve(Duration),
    Reject(Duration),
    Fail,
    Close,
}

impl Reaction {
    fn draw(rng: &mut fastrand::Rng) -> Self {
        match rng.u32(0..10) {
            0..5 => Reaction::Serve(Duration::from_millis(rng.u64(5..60))),
            5..7 => Reaction::Reject(Duration::from_millis(rng.u64(0..250))),
            7 => Reaction::Serve(Duration::from_millis(450)),
            8 => Reaction::Fail,
            _ => Reaction::Close,
        }
    }
}

/// A running endpoint.
pub struct RecordingEndpoint {
    /// Address on which it listens.
    pub address: SocketAddr,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl RecordingEndpoint {
    /// Starts an endpoint.
    ///
    /// # Panics
    /// When no loopback port is free.
    pub fn start(seed: u64) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
        let shared = Arc::clone(&arrivals);
        std::thread::spawn(move || {
            let mut rng = fastrand::Rng::with_seed(seed);
            for stream in listener.incoming().flatten() {
                let (shared, rng) = (Arc::clone(&shared), rng.fork());
                std::thread::spawn(move || serve(stream, rng, &shared));
            }
        });
        RecordingEndpoint { address, arrivals }
    }

    /// Returns the attempts that have arrived so far.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

fn serve(mut stream: TcpStream, mut rng: fastrand::Rng, arrivals: &Mutex<Vec<Arrival>>) {
    loop {
        let mut first = [0];
        if !stream.read(&mut first).is_ok_and(|read| read > 0) {
            return;
        }
        let began_at = Instant::now();
        let Ok(rest) = stream.try_clone() else { return };
        let Some(message) = read_message(&mut BufReader::new(first.as_slice().chain(rest))) else { return };
        let reaction = Reaction::draw(&mut rng);
        let request_id = message.header("Request-Id").unwrap_or_default().to_owned();
        let ran = !matches!(reaction, Reaction::Reject(_));
        let arrival = Arrival { request_id, start_line: message.start_line, began_at, ran };
        arrivals.lock().unwrap_or_else(PoisonError::into_inner).push(arrival);
        let response: &[u8] = match reaction {
            Reaction::Serve(latency) => {
                std::thread::sleep(latency);
                b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes"
            }
            Reaction::Reject(latency) => {
                std::thread::sleep(latency);
                b"HTTP/1.1 503 X\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
            }
            Reaction::Fail => b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
            Reaction::Close => return,
        };
        if stream.write_all(response).is_err() {
            return;
        }
    }
}

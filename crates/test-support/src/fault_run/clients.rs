//! What the clients of a run do, and the signals that the process gets.

use std::time::{Duration, Instant};

use super::{FaultRun, RESPONSE_GRACE, TIMEOUT};
use crate::load_generator::{ClientLoad, run_clients};
use crate::scripted_servers::{request, request_id};

/// Number of clients that stop in the middle of a request.
const PARTIAL_REQUEST_CLIENTS: usize = 150;
/// Size of the largest body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

impl FaultRun<'_> {
    /// Sends requests on one connection, and on a new one where the proxy has closed it.
    pub(super) fn run_patient_client(&self, mut rng: fastrand::Rng) {
        let mut client = None;
        while self.is_running() {
            let text = draw_request(&mut rng);
            let reused = client.is_some();
            let Some(mut connection) = client.take().or_else(|| self.connect()) else { return };
            let mut sent_at = Instant::now();
            let mut response = connection.exchange(&text);
            if response.is_none() && reused {
                // The connection was closed between requests: the request is sent once more.
                let Some(new_connection) = self.connect() else { return };
                connection = new_connection;
                sent_at = Instant::now();
                response = connection.exchange(&text);
            }
            let Some(response) = response else {
                if self.is_running() {
                    self.observe(|seen| seen.violations.push(format!("no response to {text:?}")));
                }
                return;
            };
            let (status, duration) = (response.status(), sent_at.elapsed());
            self.observe(|seen| {
                seen.served += usize::from(status == 200);
                if duration > TIMEOUT + RESPONSE_GRACE {
                    seen.violations.push(format!("{status} after {duration:?} to {text:?}"));
                }
                if status == 503 && text.starts_with("POST /pay") {
                    seen.promised_without_effect.insert(request_id(&text).to_owned());
                }
            });
            if response.header("Connection") != Some("close") {
                client = Some(connection);
            }
            std::thread::sleep(Duration::from_millis(rng.u64(0..20)));
        }
    }

    /// Sends requests with something behind them, disconnects before the response, and sends some of them again.
    pub(super) fn run_disconnecting_client(&self, mut rng: fastrand::Rng) {
        while self.is_serving() {
            let text = draw_request(&mut rng);
            let Some(mut client) = self.connect() else { return };
            client.send(&text);
            client.send_without_waiting(&draw_input_behind(&mut rng));
            std::thread::sleep(Duration::from_millis(rng.u64(0..250)));
            drop(client);
            self.observe(|seen| {
                seen.disconnected_at.insert(request_id(&text).to_owned(), Instant::now());
            });
            if text.starts_with("POST /pay") && rng.bool() {
                std::thread::sleep(Duration::from_millis(rng.u64(0..60)));
                // It may run now, if it has not before.
                self.observe(|seen| {
                    seen.disconnected_at.remove(request_id(&text));
                });
                let Some(mut client) = self.connect() else { return };
                if client.exchange(&text).is_none() && self.is_serving() {
                    self.observe(|seen| seen.violations.push(format!("no response to {text:?}, sent again")));
                }
            }
        }
    }

    /// Sends series of signals that do not stop the process.
    pub(super) fn send_signals(&self, mut rng: fastrand::Rng) {
        while self.is_running() {
            std::thread::sleep(Duration::from_millis(rng.u64(20..300)));
            for _ in 0..rng.u32(1..4) {
                if self.is_running() {
                    self.proxy.signal(if rng.bool() { "HUP" } else { "USR1" });
                }
            }
        }
    }

    /// Connects clients that stop near the end of a large request.
    pub(super) fn run_partial_request_clients(&self) {
        let text = request("POST", "/book", 1000, &"x".repeat(MAX_BODY_BYTES));
        let mut clients = Vec::new();
        while self.is_running() && clients.len() < PARTIAL_REQUEST_CLIENTS {
            let Some(mut client) = self.connect() else { return };
            client.send_without_waiting(&text[..text.len() - 1]);
            clients.push(client);
        }
        while self.is_running() {
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Sends requests with next to no time at full speed.
    pub(super) fn run_short_deadline_client(&self, timeout: Duration, duration: Duration) {
        let load = ClientLoad { count: 1, interval: None, timeout };
        run_clients(self.proxy.address, load, duration);
    }
}

fn draw_request(rng: &mut fastrand::Rng) -> String {
    match rng.u32(0..3) {
        0 => request("POST", "/pay", TIMEOUT.as_millis() as u64, "x"),
        _ => request("GET", "/look", TIMEOUT.as_millis() as u64, ""),
    }
}

fn draw_input_behind(rng: &mut fastrand::Rng) -> String {
    let large = request("POST", "/book", 1000, &"x".repeat(MAX_BODY_BYTES));
    match rng.u32(0..4) {
        0 => String::new(),
        1 => large[..rng.usize(1..large.len())].to_owned(),
        _ => (0..rng.usize(1..3_000)).map(|_| draw_request(rng)).collect(),
    }
}

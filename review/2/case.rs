//! Clients that stop in the middle of a request and stay, beside usual clients.

#[path = "../stand-ins/common.rs"]
mod common;

use std::thread;
use std::time::{Duration, Instant};

use common::http::Conn;
use common::{Case, control, judge, usual_clients};

const MACHINES: usize = 4;
const USUAL_CLIENTS: usize = 8;
const BAD_CLIENTS: usize = 200;

fn main() {
    let case = Case::from_arguments();
    let machines = case.sound_machines(MACHINES);
    let front = case.start_front(&machines, 192, 256);
    let until = Instant::now() + Duration::from_secs(10);
    let clients = usual_clients(&case, front.address, USUAL_CLIENTS, until);
    let control = control(&case, until);
    thread::sleep(Duration::from_secs(3));
    if case.trouble {
        case.record.line(format!("{BAD_CLIENTS} clients send half a request each and stay"));
        for _ in 0..BAD_CLIENTS {
            let (record, address) = (case.record.clone(), front.address);
            thread::spawn(move || {
                let begun = Instant::now();
                let Ok(mut conn) = Conn::connect(address) else { return };
                let _ = conn.send(b"GET /lookup HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: ");
                let outcome = conn.read().map(|answer| answer.status());
                record.line(format!("bad client: {outcome:?} after {} ms", begun.elapsed().as_millis()));
            });
        }
    }
    let code = judge(&case, clients, control);
    case.end(front, code);
}

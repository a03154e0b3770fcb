//! Clients that send hundreds of requests at once, and each again as soon as it is turned away, beside usual clients.

#[path = "../stand-ins/common.rs"]
mod common;

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::http::{Conn, request};
use common::{Case, control, fresh_id, judge, usual_clients};

const MACHINES: usize = 4;
const USUAL_CLIENTS: usize = 4;
const BAD_CLIENTS: usize = 60;
/// Requests that a bad client has open at once.
const AT_ONCE: usize = 300;

fn main() {
    let case = Case::from_arguments();
    let machines = case.sound_machines(MACHINES);
    let front = case.start_front(&machines, 192, 256);
    let until = Instant::now() + Duration::from_secs(12);
    let clients = usual_clients(&case, front.address, USUAL_CLIENTS, until);
    let control = control(&case, until);
    thread::sleep(Duration::from_secs(3));
    let answers = Arc::new([AtomicUsize::new(0), AtomicUsize::new(0)]);
    if case.trouble {
        case.record.line(format!("{BAD_CLIENTS} bad clients with {AT_ONCE} requests at once"));
        for _ in 0..BAD_CLIENTS {
            let (answers, address) = (Arc::clone(&answers), front.address);
            thread::spawn(
                move || while Instant::now() < until && flood(address, until, &answers).is_err() {},
            );
        }
    }
    let code = judge(&case, clients, control);
    let [served, turned_away] = &*answers;
    case.record.line(format!("bad clients: served {served:?}, turned away {turned_away:?}"));
    println!("bad clients: served {served:?}, turned away {turned_away:?}");
    case.end(front, code);
}

/// Sends [`AT_ONCE`] requests, reads every answer, and sends a request again for each one that was turned away.
fn flood(front: SocketAddr, until: Instant, answers: &[AtomicUsize; 2]) -> std::io::Result<()> {
    let requests = |count: usize| -> Vec<u8> {
        (0..count).flat_map(|_| request("lookup", &fresh_id(), 1000, b"")).collect()
    };
    let mut conn = Conn::connect(front)?;
    conn.send(&requests(AT_ONCE))?;
    let mut buffer = vec![0; 64 * 1024];
    let mut tail = Vec::new();
    while Instant::now() < until {
        let read = conn.stream.read(&mut buffer)?;
        if read == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        tail.extend_from_slice(&buffer[..read]);
        let count = |line: &[u8]| tail.windows(line.len()).filter(|bytes| *bytes == line).count();
        let (served, turned_away) = (count(b"HTTP/1.1 200"), count(b"HTTP/1.1 503"));
        answers[0].fetch_add(served, Ordering::Relaxed);
        answers[1].fetch_add(turned_away, Ordering::Relaxed);
        conn.stream.write_all(&requests(turned_away))?;
        // A status line that has arrived in part is counted with its rest.
        let rest = tail.len() - tail.len().min(11);
        tail.drain(..rest);
    }
    Ok(())
}

//! Clients that stop near the end of a request of 64 KiB and stay, at a front with 32 MB. The platform kills a front that
//! goes over its limit.

#[path = "../stand-ins/common.rs"]
mod common;

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use common::http::{Conn, request};
use common::{BROKEN, COULD_NOT_RUN, Case, Front, Record};
use common::{control, fresh_id, judge, usual_clients};

const MACHINES: usize = 4;
const USUAL_CLIENTS: usize = 8;
const BAD_CLIENTS: usize = 500;
const MEMORY_MB: u64 = 32;
/// Largest body that the protocol allows.
const BODY_BYTES: usize = 64 * 1024;

fn main() {
    let case = Case::from_arguments();
    let machines = case.sound_machines(MACHINES);
    let mut front = case.start_front(&machines, MEMORY_MB, 1024);
    let until = Instant::now() + Duration::from_secs(10);
    let clients = usual_clients(&case, front.address, USUAL_CLIENTS, until);
    let control = control(&case, until);
    let trouble_at = Instant::now() + Duration::from_secs(3);
    let address = front.address;
    if case.trouble {
        let record = case.record.clone();
        thread::spawn(move || {
            thread::sleep(trouble_at.saturating_duration_since(Instant::now()));
            for _ in 0..BAD_CLIENTS {
                let record = record.clone();
                thread::spawn(move || stop_near_the_end(address, &record));
            }
        });
    }
    let killed = supervise(&case, &mut front, until);
    let code = match judge(&case, clients, control) {
        COULD_NOT_RUN => COULD_NOT_RUN,
        _ if killed => BROKEN,
        code => code,
    };
    println!("killed for memory: {killed}");
    case.end(front, code);
}

/// Sends all but the last byte of a request with the largest body, and waits for the error or the close.
fn stop_near_the_end(front: SocketAddr, record: &Record) {
    let Ok(mut conn) = Conn::connect(front) else { return };
    let id = fresh_id();
    let bytes = request("order", &id, 1000, &[b'x'; BODY_BYTES]);
    let sent = &bytes[..bytes.len() - 1];
    record.line(format!("bad client: sends {} of {} bytes of {id}", sent.len(), bytes.len()));
    let outcome = conn.send(sent).and_then(|()| conn.read()).map(|answer| answer.status());
    record.line(format!("bad client: {id} ended with {outcome:?}"));
}

/// Does what the platform does: kills the front once its anonymous memory, without the pages of files, is over the limit. Returns whether it did.
fn supervise(case: &Case, front: &mut Front, until: Instant) -> bool {
    let mut peak_kb = 0;
    while Instant::now() < until {
        let Some(memory_kb) = memory_kb(front.pid()) else { break };
        peak_kb = peak_kb.max(memory_kb);
        if memory_kb > MEMORY_MB * 1024 {
            front.kill();
            case.record.line(format!("the platform kills the front: {memory_kb} KiB of {MEMORY_MB} MB"));
            println!("killed at {memory_kb} KiB");
            return true;
        }
        thread::sleep(Duration::from_millis(5));
    }
    case.record.line(format!("peak of the front's memory: {peak_kb} KiB"));
    println!("peak {peak_kb} KiB");
    false
}

fn memory_kb(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("RssAnon:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

//! Load on a front: machines that answer as fast as they can and keep nothing, and clients that ask as fast as they
//! can or at a steady rate.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use crate::scripted_servers::{ProxySetup, ScriptedStream, list, member, progress, state};

/// Stack of a thread here: there may be a thousand.
const STACK: usize = 64 * 1024;

fn thread(run: impl FnOnce() + Send + 'static) {
    let started = std::thread::Builder::new().stack_size(STACK).spawn(run);
    drop(started.expect("a thread"));
}

/// Reads a head and its body; false at the end of the connection. The head's text is in `head`.
fn read_request(from: &mut BufReader<TcpStream>, head: &mut String) -> bool {
    head.clear();
    loop {
        let before = head.len();
        match from.read_line(head) {
            Ok(0) | Err(_) => return false,
            Ok(_) if head[before..].trim_end().is_empty() => break,
            Ok(_) => {}
        }
    }
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse::<u64>().ok())?
    });
    let rest = length.unwrap_or(0);
    rest == 0 || std::io::copy(&mut from.by_ref().take(rest), &mut std::io::sink()).is_ok_and(|n| n == rest)
}

/// A machine that answers everything with 200 and a short body.
pub fn machine() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread(move || {
        for stream in listener.incoming().flatten() {
            thread(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut out) = stream.try_clone() else { return };
                let (mut from, mut head) = (BufReader::new(stream), String::new());
                while read_request(&mut from, &mut head) {
                    if out.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer").is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Discovery, platform and a front's plan for machines of a released build.
pub fn around(machines: &[SocketAddr]) -> (ScriptedStream, ScriptedStream, ProxySetup) {
    let members: Vec<String> =
        machines.iter().enumerate().map(|(n, at)| member(&format!("s-{n}"), *at, 4, "Ready")).collect();
    let known = list(1, true, &members);
    let news = state(4, 1, "COMPLETE", 1.0);
    let (discovery, platform) = (ScriptedStream::start(&known), ScriptedStream::start(&progress(&news)));
    let plan = ProxySetup::new(&known, news, &discovery, &platform);
    (discovery, platform, plan)
}

/// What clients got.
#[derive(Debug)]
pub struct LoadReport {
    /// Times of answers with 200, in microseconds.
    pub times: Histogram<u64>,
    /// Other answers.
    pub others: u64,
    /// Requests without an answer.
    pub unanswered: u64,
    /// How long it took, in seconds.
    pub seconds: f64,
}

/// So many clients, each on one connection, one request at a time, for a while. `gap`: between two requests of one
/// client; none: as fast as it can.
pub fn run_clients(front: SocketAddr, count: usize, gap: Option<Duration>, long: Duration) -> LoadReport {
    static ID: AtomicU64 = AtomicU64::new(1 << 40);
    let stop = Arc::new(AtomicBool::new(false));
    let begun = Instant::now();
    let run = |number: usize| {
        let stop = stop.clone();
        let started = std::thread::Builder::new().stack_size(STACK).spawn(move || {
            let mut times = Histogram::<u64>::new(3).expect("a histogram");
            let (mut others, mut unanswered) = (0u64, 0u64);
            let stream = TcpStream::connect(front).expect("a connection");
            let _ = (stream.set_nodelay(true), stream.set_read_timeout(Some(Duration::from_secs(10))));
            let mut out = stream.try_clone().expect("a second handle");
            let (mut from, mut head) = (BufReader::new(stream), String::new());
            if let Some(gap) = gap {
                // Spread over the first gap, or all would ask in step.
                std::thread::sleep(gap.mul_f64(number as f64 / count as f64));
            }
            while !stop.load(Ordering::Relaxed) {
                let id = ID.fetch_add(1, Ordering::Relaxed);
                let sent = Instant::now();
                let text = format!(
                    "GET /look/7 HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {id:016x}\r\nTenant: acme\r\n\
                     Request-Timeout-Ms: 9000\r\n\r\n"
                );
                if out.write_all(text.as_bytes()).is_err() || !read_request(&mut from, &mut head) {
                    unanswered += 1;
                    break;
                }
                if head.starts_with("HTTP/1.1 200") {
                    times.record(sent.elapsed().as_micros() as u64).expect("in range");
                } else {
                    others += 1;
                }
                if let Some(gap) = gap {
                    std::thread::sleep(gap.saturating_sub(sent.elapsed()));
                }
            }
            (times, others, unanswered)
        });
        started.expect("a thread")
    };
    let threads: Vec<_> = (0..count).map(run).collect();
    std::thread::sleep(long);
    stop.store(true, Ordering::Relaxed);
    let seconds = begun.elapsed().as_secs_f64();
    let mut heard =
        LoadReport { times: Histogram::new(3).expect("a histogram"), others: 0, unanswered: 0, seconds };
    for thread in threads {
        let (times, others, unanswered) = thread.join().expect("a client");
        heard.times.add(times).expect("histograms add");
        heard.others += others;
        heard.unanswered += unanswered;
    }
    heard
}

/// Processor time of a process so far, all threads, in seconds: of user code and of the system for it.
pub fn processor_time(process: u32) -> f64 {
    let tasks = std::fs::read_dir(format!("/proc/{process}/task"));
    let of = |task: std::fs::DirEntry| {
        let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<u64>().ok()
    };
    let nanos: u64 = tasks.into_iter().flatten().flatten().filter_map(of).sum();
    nanos as f64 / 1e9
}

//! Load on a proxy: endpoints that respond as fast as they can and keep nothing, and clients that send as fast as they
//! can or at a steady rate.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use crate::scripted_servers::{ProxySetup, ScriptedStream, list, member, progress, state};

/// Significant digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Maximum wait of a client for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Stack size of a thread, in bytes: there may be a thousand.
const STACK_BYTES: usize = 64 * 1024;

fn spawn_detached(run: impl FnOnce() + Send + 'static) {
    let started = std::thread::Builder::new().stack_size(STACK_BYTES).spawn(run);
    drop(started.expect("a thread"));
}

/// Reads a head and its body; false at the end of the connection. The head's text is in `head`.
fn read_message(from: &mut BufReader<TcpStream>, head: &mut String) -> bool {
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

/// Starts an endpoint that answers everything with 200 and a short body.
pub fn start_endpoint() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    spawn_detached(move || {
        for stream in listener.incoming().flatten() {
            spawn_detached(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut out) = stream.try_clone() else { return };
                let (mut from, mut head) = (BufReader::new(stream), String::new());
                while read_message(&mut from, &mut head) {
                    if out.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer").is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Discovery, a release controller and a setup of a proxy for endpoints of a released build.
pub fn proxy_setup(endpoints: &[SocketAddr]) -> (ScriptedStream, ScriptedStream, ProxySetup) {
    let members: Vec<String> =
        endpoints.iter().enumerate().map(|(n, at)| member(&format!("s-{n}"), *at, 4, "Ready")).collect();
    let cached_list = list(1, true, &members);
    let rollout = state(4, 1, "COMPLETE", 1.0);
    let discovery = ScriptedStream::start(&cached_list);
    let controller = ScriptedStream::start(&progress(&rollout));
    let setup = ProxySetup::new(&cached_list, rollout, &discovery, &controller);
    (discovery, controller, setup)
}

/// What clients measured.
#[derive(Debug)]
pub struct LoadReport {
    /// Times of responses with status 200, in microseconds.
    pub times: Histogram<u64>,
    /// Responses with another status.
    pub others: u64,
    /// Requests without a response.
    pub unanswered: u64,
    /// Duration of the run, in seconds.
    pub seconds: f64,
}

impl LoadReport {
    fn new() -> Self {
        let times = Histogram::new(SIGNIFICANT_DIGITS).expect("a histogram");
        LoadReport { times, others: 0, unanswered: 0, seconds: 0.0 }
    }

    fn add(&mut self, other: &LoadReport) {
        self.times.add(&other.times).expect("histograms add");
        self.others += other.others;
        self.unanswered += other.unanswered;
    }
}

/// Runs `count` clients for a while, each with one connection and one request at a time. `gap`: time between two
/// requests of one client; none: as fast as it can.
pub fn run_clients(proxy: SocketAddr, count: usize, gap: Option<Duration>, duration: Duration) -> LoadReport {
    let stop = Arc::new(AtomicBool::new(false));
    let started = Instant::now();
    let spawn = |number: usize| {
        let stop = stop.clone();
        // Spread over the first gap, or all would send in step.
        let delay = gap.map(|gap| gap.mul_f64(number as f64 / count as f64));
        let client = move || run_client(proxy, gap, delay, &stop);
        std::thread::Builder::new().stack_size(STACK_BYTES).spawn(client).expect("a thread")
    };
    let threads: Vec<_> = (0..count).map(spawn).collect();
    std::thread::sleep(duration);
    stop.store(true, Ordering::Relaxed);
    let mut report = LoadReport::new();
    report.seconds = started.elapsed().as_secs_f64();
    for thread in threads {
        report.add(&thread.join().expect("a client"));
    }
    report
}

/// One client, until it is stopped or its connection ends.
fn run_client(
    proxy: SocketAddr,
    gap: Option<Duration>,
    delay: Option<Duration>,
    stop: &AtomicBool,
) -> LoadReport {
    let mut report = LoadReport::new();
    let stream = TcpStream::connect(proxy).expect("a connection");
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(RESPONSE_TIMEOUT));
    let mut output = stream.try_clone().expect("a second handle");
    let mut input = BufReader::new(stream);
    let mut head = String::new();
    if let Some(delay) = delay {
        std::thread::sleep(delay);
    }
    while !stop.load(Ordering::Relaxed) {
        let sent = Instant::now();
        if output.write_all(request().as_bytes()).is_err() || !read_message(&mut input, &mut head) {
            report.unanswered += 1;
            break;
        }
        if head.starts_with("HTTP/1.1 200") {
            report.times.record(sent.elapsed().as_micros() as u64).expect("in range");
        } else {
            report.others += 1;
        }
        if let Some(gap) = gap {
            std::thread::sleep(gap.saturating_sub(sent.elapsed()));
        }
    }
    report
}

/// A request with an id of its own.
fn request() -> String {
    static NEXT_ID: AtomicU64 = AtomicU64::new(1 << 40);
    let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    format!(
        "GET /look/7 HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {id:016x}\r\nTenant: acme\r\n\
         Request-Timeout-Ms: 9000\r\n\r\n"
    )
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

//! Load on a proxy: endpoints that respond at once and store nothing, and clients that send as fast as they
//! can or at a steady rate.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use crate::scripted_servers::{
    ProxySetup, ScriptedStream, endpoint_json, endpoint_list_json, rollout_event_json, rollout_state_json,
};

/// Significant digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Time that a usual client gives its requests.
pub const USUAL_TIMEOUT: Duration = Duration::from_secs(9);
/// Maximum wait of a client for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Stack size of a thread, in bytes; small, as there may be a thousand threads.
const STACK_BYTES: usize = 64 * 1024;

fn spawn_detached(run: impl FnOnce() + Send + 'static) {
    let started = std::thread::Builder::new().stack_size(STACK_BYTES).spawn(run);
    drop(started.expect("the thread starts"));
}

/// Reads a message, stores its head in `head` and drops its body. Returns false at the end of the connection
/// or on an error.
fn read_message(input: &mut BufReader<TcpStream>, head: &mut String) -> bool {
    head.clear();
    loop {
        let before = head.len();
        match input.read_line(head) {
            Ok(0) | Err(_) => return false,
            Ok(_) if head[before..].trim_end().is_empty() => break,
            Ok(_) => {}
        }
    }
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse::<u64>().ok())?
    });
    let body_length = length.unwrap_or(0);
    body_length == 0
        || std::io::copy(&mut input.by_ref().take(body_length), &mut std::io::sink())
            .is_ok_and(|copied| copied == body_length)
}

/// Starts an endpoint that responds to every request at once, with 200 and a short body. Returns its address.
pub fn start_endpoint() -> SocketAddr {
    start_endpoint_with_latency(Duration::ZERO)
}

/// Starts an endpoint that responds to every request after `latency`, with 200 and a short body. Returns its address.
pub fn start_endpoint_with_latency(latency: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener has an address");
    spawn_detached(move || {
        for stream in listener.incoming().flatten() {
            spawn_detached(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut output) = stream.try_clone() else { return };
                let (mut input, mut head) = (BufReader::new(stream), String::new());
                while read_message(&mut input, &mut head) {
                    std::thread::sleep(latency);
                    if output.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer").is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Starts discovery and a release controller for endpoints of a released build. Returns them with the proxy's
/// setup.
pub fn proxy_setup(endpoints: &[SocketAddr]) -> (ScriptedStream, ScriptedStream, ProxySetup) {
    let entries: Vec<String> = endpoints
        .iter()
        .enumerate()
        .map(|(number, address)| endpoint_json(&format!("s-{number}"), *address, 4, "Ready"))
        .collect();
    let cached_list = endpoint_list_json(1, true, &entries);
    let rollout = rollout_state_json(4, 1, "COMPLETE", 1.0);
    let discovery = ScriptedStream::start(&cached_list);
    let controller = ScriptedStream::start(&rollout_event_json(&rollout));
    let setup = ProxySetup::new(&cached_list, rollout, &discovery, &controller);
    (discovery, controller, setup)
}

/// Measurements of the clients.
#[derive(Debug)]
pub struct LoadReport {
    /// Latencies of responses with status 200, in microseconds.
    pub latencies: Histogram<u64>,
    /// Responses with another status.
    pub other_statuses: u64,
    /// Requests without a response.
    pub unanswered: u64,
    /// Duration of the run, in seconds.
    pub duration_seconds: f64,
}

impl LoadReport {
    fn new() -> Self {
        let latencies = Histogram::new(SIGNIFICANT_DIGITS).expect("the number of digits is valid");
        LoadReport { latencies, other_statuses: 0, unanswered: 0, duration_seconds: 0.0 }
    }

    fn add(&mut self, other: &LoadReport) {
        self.latencies.add(&other.latencies).expect("the histograms are added");
        self.other_statuses += other.other_statuses;
        self.unanswered += other.unanswered;
    }
}

/// Clients that each have one connection, and one request open at a time.
#[derive(Debug, Clone, Copy)]
pub struct ClientLoad {
    /// Number of clients.
    pub count: usize,
    /// Time from the start of one request to that of the next. Without it, a client starts the next request as soon as
    /// it has a response.
    pub interval: Option<Duration>,
    /// Time that the clients state for each request.
    pub timeout: Duration,
}

/// Runs clients for a while.
pub fn run_clients(proxy: SocketAddr, load: ClientLoad, duration: Duration) -> LoadReport {
    let ClientLoad { count, interval, .. } = load;
    let stop = Arc::new(AtomicBool::new(false));
    let started = Instant::now();
    let spawn = |number: usize| {
        let stop = stop.clone();
        // Spreads the clients over the first interval, or all would send at the same moments.
        let delay = interval.map(|interval| interval.mul_f64(number as f64 / count as f64));
        let client = move || run_client(proxy, load, delay, &stop);
        std::thread::Builder::new().stack_size(STACK_BYTES).spawn(client).expect("the thread starts")
    };
    let threads: Vec<_> = (0..count).map(spawn).collect();
    std::thread::sleep(duration);
    stop.store(true, Ordering::Relaxed);
    let mut report = LoadReport::new();
    report.duration_seconds = started.elapsed().as_secs_f64();
    for thread in threads {
        report.add(&thread.join().expect("the client does not panic"));
    }
    report
}

/// Runs one client until `stop` is set or the connection ends.
fn run_client(proxy: SocketAddr, load: ClientLoad, delay: Option<Duration>, stop: &AtomicBool) -> LoadReport {
    let ClientLoad { interval, timeout, .. } = load;
    let mut report = LoadReport::new();
    let stream = TcpStream::connect(proxy).expect("the proxy accepts a connection");
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(RESPONSE_TIMEOUT));
    let mut output = stream.try_clone().expect("the stream is cloned");
    let mut input = BufReader::new(stream);
    let mut head = String::new();
    if let Some(delay) = delay {
        std::thread::sleep(delay);
    }
    while !stop.load(Ordering::Relaxed) {
        let sent = Instant::now();
        if output.write_all(request(timeout).as_bytes()).is_err() || !read_message(&mut input, &mut head) {
            report.unanswered += 1;
            break;
        }
        if head.starts_with("HTTP/1.1 200") {
            report.latencies.record(sent.elapsed().as_micros() as u64).expect("the latency is recorded");
        } else {
            report.other_statuses += 1;
        }
        if let Some(interval) = interval {
            std::thread::sleep(interval.saturating_sub(sent.elapsed()));
        }
    }
    report
}

/// Formats a request with a unique id.
fn request(timeout: Duration) -> String {
    static NEXT_ID: AtomicU64 = AtomicU64::new(1 << 40);
    let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    format!(
        "GET /look/7 HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {id:016x}\r\nTenant: acme\r\n\
         Request-Timeout-Ms: {}\r\n\r\n",
        timeout.as_millis()
    )
}

/// Returns the processor time of all threads of a process so far, in seconds, user and system.
pub fn cpu_time_seconds(process: u32) -> f64 {
    let tasks = std::fs::read_dir(format!("/proc/{process}/task"));
    let cpu_nanos = |task: std::fs::DirEntry| {
        let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<u64>().ok()
    };
    let total_nanos: u64 = tasks.into_iter().flatten().flatten().filter_map(cpu_nanos).sum();
    total_nanos as f64 / 1e9
}

/// Returns the resident memory of a process without the pages of files, in KiB.
///
/// # Panics
/// When the process does not run or the system does not report it.
pub fn anonymous_memory_kib(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).expect("the process runs");
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    let value = line.and_then(|line| line.split_whitespace().next()).expect("the system reports it");
    value.parse().expect("a number")
}

/// Has `count` requests open on one connection until `stop` is set or `duration` is over, and sends another for each that
/// is rejected.
///
/// # Panics
/// When the connection fails.
pub fn pipeline_requests(proxy: SocketAddr, count: usize, duration: Duration, stop: &AtomicBool) {
    const REJECTED: &[u8] = b"HTTP/1.1 503";
    let requests = |count| -> String { (0..count).map(|_| request(USUAL_TIMEOUT)).collect() };
    let until = Instant::now() + duration;
    let mut stream = TcpStream::connect(proxy).expect("the proxy accepts a connection");
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).expect("the read timeout is set");
    stream.write_all(requests(count).as_bytes()).expect("the proxy reads");
    let mut buffer = vec![0; 64 * 1024];
    let mut unread = Vec::new();
    while Instant::now() < until && !stop.load(Ordering::Relaxed) {
        let read = stream.read(&mut buffer).expect("the proxy responds");
        unread.extend_from_slice(&buffer[..read]);
        let rejected = unread.windows(REJECTED.len()).filter(|bytes| *bytes == REJECTED).count();
        stream.write_all(requests(rejected).as_bytes()).expect("the proxy reads");
        // A status line that has arrived in part is counted with its rest.
        unread.drain(..unread.len().saturating_sub(REJECTED.len() - 1));
    }
}

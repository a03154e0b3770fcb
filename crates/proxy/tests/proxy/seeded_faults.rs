//! Runs of a few seconds under faults drawn from a seed, judged by what clients and endpoints have seen.
//!
//! `SEEDED_FAULTS_SEEDS=FIRST..LAST` runs other seeds than the usual ones.

use std::collections::HashMap;
use std::net::TcpStream;
use std::ops::Range;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use garnetcrank_test_support::load_generator::{ClientLoad, anonymous_memory_kib, run_clients};
use garnetcrank_test_support::recording_endpoint::{Arrival, RecordingEndpoint};
use garnetcrank_test_support::scripted_servers::{RunningProxy, TestClient, request};

use crate::common::proxy_setup;

const USUAL_SEEDS: Range<u64> = 1..6;
const ENDPOINTS: u64 = 5;
const USUAL_CLIENTS: u64 = 6;
const LEAVING_CLIENTS: u64 = 6;
const CROWD: usize = 150;
const MEMORY_LIMIT_MIB: u64 = 32;
const DURATION_BEFORE_STOP: Duration = Duration::from_secs(2);
const TIMEOUT: Duration = Duration::from_secs(1);
/// The process may be killed this long after SIGTERM: the longest deadline, 3 s at the least, and 0.7 s.
const KILL_DELAY: Duration = Duration::from_millis(3_700);
/// Time after SIGTERM in which clients still connect.
const CONNECTING_AFTER_STOP: Duration = Duration::from_millis(300);
/// Time after its deadline in which a response still counts.
const RESPONSE_GRACE: Duration = Duration::from_millis(500);
/// Time after a client's disconnect in which an attempt may still begin, with the slack that holds on sockets.
const DISCONNECT_GRACE: Duration = Duration::from_millis(150);

/// What the clients have seen.
#[derive(Default)]
struct Observations {
    violations: Vec<String>,
    /// When each client left that did not wait for its response, by `Request-Id`.
    left_at: HashMap<String, Instant>,
    /// `Request-Id`s of orders whose response promised that they have not run.
    promised_not_run: Vec<String>,
    served: usize,
}

struct Run<'a> {
    proxy: &'a RunningProxy,
    observations: Mutex<Observations>,
    /// Whether new connections are made.
    connecting: AtomicBool,
    /// Whether the process has not been told to stop.
    serving: AtomicBool,
    /// Whether the process has not been killed.
    running: AtomicBool,
}

impl Run<'_> {
    fn observe(&self, change: impl FnOnce(&mut Observations)) {
        change(&mut self.observations.lock().expect("no client panics"));
    }

    fn connect(&self) -> Option<TestClient> {
        if !self.connecting.load(Ordering::SeqCst) {
            return None;
        }
        let stream = TcpStream::connect(self.proxy.address).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(TestClient::new(stream))
    }

    fn is_serving(&self) -> bool {
        self.serving.load(Ordering::SeqCst)
    }

    fn is_running(&self) -> bool {
        self.running.load(Ordering::SeqCst)
    }

    /// Sends requests on one connection, and on a new one where the proxy has closed it.
    fn run_usual_client(&self, mut rng: fastrand::Rng) {
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
                    seen.promised_not_run.push(request_id(&text));
                }
            });
            if response.header("Connection") != Some("close") {
                client = Some(connection);
            }
            std::thread::sleep(Duration::from_millis(rng.u64(0..20)));
        }
    }

    /// Sends requests with something behind them, leaves before the response, and sends some of them again.
    fn run_leaving_client(&self, mut rng: fastrand::Rng) {
        while self.is_serving() {
            let text = draw_request(&mut rng);
            let Some(mut client) = self.connect() else { return };
            client.send(&text);
            client.send_without_waiting(&draw_input_behind(&mut rng));
            std::thread::sleep(Duration::from_millis(rng.u64(0..250)));
            drop(client);
            self.observe(|seen| {
                seen.left_at.insert(request_id(&text), Instant::now());
            });
            if text.starts_with("POST /pay") && rng.bool() {
                std::thread::sleep(Duration::from_millis(rng.u64(0..60)));
                // It may run now, if it has not before.
                self.observe(|seen| {
                    seen.left_at.remove(&request_id(&text));
                });
                let Some(mut client) = self.connect() else { return };
                client.exchange(&text);
            }
        }
    }

    fn send_signals(&self, mut rng: fastrand::Rng) {
        while self.is_running() {
            std::thread::sleep(Duration::from_millis(rng.u64(20..300)));
            for _ in 0..rng.u32(1..4) {
                if self.is_running() {
                    self.proxy.signal(if rng.bool() { "HUP" } else { "USR1" });
                }
            }
        }
    }

    /// Connects clients that stop in the middle of a large request.
    fn run_crowd(&self) {
        let text = request("POST", "/book", 1000, &"x".repeat(64 * 1024));
        let mut crowd = Vec::new();
        while self.is_running() && crowd.len() < CROWD {
            let Some(mut client) = self.connect() else { return };
            client.send_without_waiting(&text[..text.len() - 1]);
            crowd.push(client);
        }
        while self.is_running() {
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    fn watch_memory(&self) {
        while self.is_serving() {
            let memory_kib = anonymous_memory_kib(self.proxy.process_id());
            if memory_kib > MEMORY_LIMIT_MIB * 1024 {
                self.observe(|seen| seen.violations.push(format!("{memory_kib} KiB of memory")));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

fn draw_request(rng: &mut fastrand::Rng) -> String {
    match rng.u32(0..3) {
        0 => request("POST", "/pay", TIMEOUT.as_millis() as u64, "x"),
        _ => request("GET", "/look", TIMEOUT.as_millis() as u64, ""),
    }
}

fn draw_input_behind(rng: &mut fastrand::Rng) -> String {
    let large = request("POST", "/book", 1000, &"x".repeat(64 * 1024));
    match rng.u32(0..4) {
        0 => String::new(),
        1 => large[..rng.usize(1..large.len())].to_owned(),
        _ => (0..rng.usize(1..3_000)).map(|_| draw_request(rng)).collect(),
    }
}

fn request_id(text: &str) -> String {
    let line = text.lines().find_map(|line| line.strip_prefix("Request-Id: "));
    line.expect("a request has an id").to_owned()
}

/// Adds the violations that the endpoints' records show.
fn judge(arrivals: &[Arrival], seen: &mut Observations) {
    let mut runs: HashMap<&str, usize> = HashMap::new();
    for arrival in arrivals {
        let id = arrival.request_id.as_str();
        if arrival.ran && arrival.start_line.starts_with("POST /pay") {
            *runs.entry(id).or_default() += 1;
        }
        if let Some(left_at) = seen.left_at.get(id) {
            let delay = arrival.began_at.saturating_duration_since(*left_at);
            if delay > DISCONNECT_GRACE {
                seen.violations.push(format!("attempt {delay:?} after the client of {id} left"));
            }
        }
    }
    for (id, count) in runs {
        if count > 1 {
            seen.violations.push(format!("{id} ran {count} times"));
        }
        if seen.promised_not_run.iter().any(|promised| promised == id) {
            seen.violations.push(format!("{id} ran, and was answered 503"));
        }
    }
}

fn run_seed(seed: u64) -> Observations {
    let mut rng = fastrand::Rng::with_seed(seed);
    let endpoints: Vec<_> =
        (0..ENDPOINTS).map(|number| RecordingEndpoint::start(seed << 8 | number)).collect();
    let addresses: Vec<_> = endpoints.iter().map(|endpoint| endpoint.address).collect();
    let (_discovery, _controller, mut setup) = proxy_setup(&addresses);
    setup.memory_mb = MEMORY_LIMIT_MIB;
    for class in setup.settings["grades"].as_array_mut().expect("the settings have classes") {
        class["goalTime"] = 400.0.into();
        class["deadline"] = 1_000.0.into();
    }
    let mut proxy = RunningProxy::start(&setup);
    let run = Run {
        proxy: &proxy,
        observations: Mutex::default(),
        connecting: AtomicBool::new(true),
        serving: AtomicBool::new(true),
        running: AtomicBool::new(true),
    };
    std::thread::scope(|threads| {
        for _ in 0..USUAL_CLIENTS {
            let rng = rng.fork();
            threads.spawn(|| run.run_usual_client(rng));
        }
        for _ in 0..LEAVING_CLIENTS {
            let rng = rng.fork();
            threads.spawn(|| run.run_leaving_client(rng));
        }
        let signal_rng = rng.fork();
        threads.spawn(|| run.send_signals(signal_rng));
        threads.spawn(|| run.watch_memory());
        if rng.bool() {
            threads.spawn(|| run.run_crowd());
        }
        if rng.bool() {
            let hasty =
                ClientLoad { count: 1, interval: None, timeout: Duration::from_millis(rng.u64(0..5)) };
            let address = run.proxy.address;
            threads.spawn(move || run_clients(address, hasty, DURATION_BEFORE_STOP));
        }
        std::thread::sleep(DURATION_BEFORE_STOP);
        run.serving.store(false, Ordering::SeqCst);
        run.proxy.signal("TERM");
        std::thread::sleep(CONNECTING_AFTER_STOP);
        run.connecting.store(false, Ordering::SeqCst);
        std::thread::sleep(KILL_DELAY - CONNECTING_AFTER_STOP);
        run.running.store(false, Ordering::SeqCst);
    });
    let mut seen = run.observations.into_inner().expect("no client panics");
    let arrivals: Vec<Arrival> = endpoints.iter().flat_map(RecordingEndpoint::arrivals).collect();
    judge(&arrivals, &mut seen);
    if !proxy.wait_for_exit().success() {
        seen.violations.push("the proxy did not exit with 0".to_owned());
    }
    seen
}

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("SEEDED_FAULTS_SEEDS") else { return USUAL_SEEDS };
    let (first, last) = text.split_once("..").expect("FIRST..LAST");
    first.parse().expect("a number")..last.parse().expect("a number")
}

#[test]
fn no_rule_is_broken_while_clients_leave_and_endpoints_fail() {
    for seed in seeds() {
        let seen = run_seed(seed);
        println!("seed {seed}: {} served, {} left", seen.served, seen.left_at.len());
        assert!(seen.violations.is_empty(), "seed {seed}: {:#?}", seen.violations);
        assert!(seen.served > 50, "seed {seed}: {} served", seen.served);
    }
}

//! A run of a proxy for a few seconds under faults drawn from a seed. It is judged from outside, by what clients and
//! endpoints have seen.

mod clients;

use std::collections::{HashMap, HashSet};
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::load_generator::{anonymous_memory_kib, proxy_setup};
use crate::recording_endpoint::{Arrival, RecordingEndpoint};
use crate::scripted_servers::{ProxySetup, RunningProxy, TestClient};

const ENDPOINTS: u64 = 5;
const PATIENT_CLIENTS: u64 = 6;
const DISCONNECTING_CLIENTS: u64 = 6;
const MEMORY_LIMIT_MIB: u64 = 32;
/// Latency objective and deadline of every class, in milliseconds.
const LATENCY_OBJECTIVE_MS: f64 = 400.0;
/// Time that patient clients give a request, which is also the deadline of every class.
const TIMEOUT: Duration = Duration::from_secs(1);
const DURATION_BEFORE_STOP: Duration = Duration::from_secs(2);
/// Time from SIGTERM to the earliest SIGKILL: the longest deadline, 3 s or more, and 0.7 s.
const KILL_DELAY: Duration = Duration::from_millis(3_700);
/// Time after SIGTERM in which clients still connect.
const CONNECTING_AFTER_STOP: Duration = Duration::from_millis(300);
/// Time after its deadline in which a response still counts.
const RESPONSE_GRACE: Duration = Duration::from_millis(500);
/// Time after a client's disconnect in which an attempt may still begin, with the slack that holds on sockets.
const DISCONNECT_GRACE: Duration = Duration::from_millis(150);

/// What was seen in a run.
#[derive(Debug, Default)]
pub struct Observations {
    /// Rules that were broken, in words.
    pub violations: Vec<String>,
    /// Number of patient clients' requests that were answered with 200.
    pub served: usize,
    /// When each client disconnected that did not wait for its response, by `Request-Id`.
    disconnected_at: HashMap<String, Instant>,
    /// `Request-Id`s of orders whose response promised that they had no effect.
    promised_without_effect: HashSet<String>,
}

impl Observations {
    /// Adds the violations that the endpoints' records show.
    fn judge(&mut self, arrivals: &[Arrival]) {
        let mut runs: HashMap<&str, usize> = HashMap::new();
        for arrival in arrivals {
            let id = arrival.request_id.as_str();
            if arrival.ran && arrival.start_line.starts_with("POST /pay") {
                *runs.entry(id).or_default() += 1;
            }
            if let Some(disconnected_at) = self.disconnected_at.get(id) {
                let delay = arrival.began_at.saturating_duration_since(*disconnected_at);
                if delay > DISCONNECT_GRACE {
                    self.violations.push(format!("attempt {delay:?} after the client of {id} disconnected"));
                }
            }
        }
        for (id, count) in runs {
            if count > 1 {
                self.violations.push(format!("{id} ran {count} times"));
            }
            if self.promised_without_effect.contains(id) {
                self.violations.push(format!("{id} ran, and was answered 503"));
            }
        }
    }
}

/// A run in progress.
struct FaultRun<'a> {
    proxy: &'a RunningProxy,
    observations: Mutex<Observations>,
    /// Whether new connections are made.
    connecting: AtomicBool,
    /// Whether the process has not been told to stop.
    serving: AtomicBool,
    /// Whether the process could not have been killed yet.
    running: AtomicBool,
}

/// Runs a proxy under the faults of a seed.
///
/// # Panics
/// When the proxy can't be started, or a client fails in a way that no fault explains.
pub fn run_seed(seed: u64) -> Observations {
    let mut rng = fastrand::Rng::with_seed(seed);
    let endpoints: Vec<_> =
        (0..ENDPOINTS).map(|number| RecordingEndpoint::start(seed << 8 | number)).collect();
    let addresses: Vec<_> = endpoints.iter().map(|endpoint| endpoint.address).collect();
    let (_discovery, _controller, mut setup) = proxy_setup(&addresses);
    limit(&mut setup);
    let mut proxy = RunningProxy::start(&setup);
    let run = FaultRun {
        proxy: &proxy,
        observations: Mutex::default(),
        connecting: AtomicBool::new(true),
        serving: AtomicBool::new(true),
        running: AtomicBool::new(true),
    };
    run.run(&mut rng);
    let mut seen = run.observations.into_inner().expect("no client panics");
    let arrivals: Vec<Arrival> = endpoints.iter().flat_map(RecordingEndpoint::arrivals).collect();
    seen.judge(&arrivals);
    if !proxy.wait_for_exit().success() {
        seen.violations.push("the proxy did not exit with 0".to_owned());
    }
    seen
}

fn limit(setup: &mut ProxySetup) {
    setup.memory_mb = MEMORY_LIMIT_MIB;
    for class in setup.settings["grades"].as_array_mut().expect("the settings have classes") {
        class["goalTime"] = LATENCY_OBJECTIVE_MS.into();
        class["deadline"] = (TIMEOUT.as_millis() as f64).into();
    }
}

impl FaultRun<'_> {
    /// Runs all clients until the process may be killed.
    fn run(&self, rng: &mut fastrand::Rng) {
        std::thread::scope(|threads| {
            for _ in 0..PATIENT_CLIENTS {
                let rng = rng.fork();
                threads.spawn(|| self.run_patient_client(rng));
            }
            for _ in 0..DISCONNECTING_CLIENTS {
                let rng = rng.fork();
                threads.spawn(|| self.run_disconnecting_client(rng));
            }
            let signal_rng = rng.fork();
            threads.spawn(|| self.send_signals(signal_rng));
            threads.spawn(|| self.watch_memory());
            if rng.bool() {
                threads.spawn(|| self.run_partial_request_clients());
            }
            if rng.bool() {
                let timeout = Duration::from_millis(rng.u64(0..5));
                threads.spawn(move || self.run_short_deadline_client(timeout, DURATION_BEFORE_STOP));
            }
            self.stop();
        });
    }

    /// Stops the process after a while, and the clients when it could be killed.
    fn stop(&self) {
        std::thread::sleep(DURATION_BEFORE_STOP);
        self.serving.store(false, Ordering::SeqCst);
        self.proxy.signal("TERM");
        std::thread::sleep(CONNECTING_AFTER_STOP);
        self.connecting.store(false, Ordering::SeqCst);
        std::thread::sleep(KILL_DELAY - CONNECTING_AFTER_STOP);
        self.running.store(false, Ordering::SeqCst);
    }

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

//! Throughput of several threads that share one policy under a lock, and of threads with a policy each.
//! Busy-waiting replaces the socket work, so that only the effect of sharing is measured.
//!
//! `cargo bench --locked -p garnetcrank-proxy --bench brain -- [--socket-us U] [--seconds S]` prints a table.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use garnetcrank_policy::Policy;
use garnetcrank_policy::api::{
    Action, AttemptResult, Build, ClassId, EndpointId, EndpointRecord, EndpointUpdate, Event, Micros,
    Outcome, Request, RequestId, RolloutPhase, RolloutStatus, TenantId,
};
use garnetcrank_settings::Settings;

/// Start time of a run, in microseconds; later than the age of the build.
const START: Micros = 2_000_000_000;
/// Timeout of each request, in microseconds.
const REQUEST_TIMEOUT: Micros = 9_000_000;

fn numeric_option(name: &str, default: f64) -> f64 {
    let mut args = std::env::args().skip_while(|arg| arg != name).skip(1);
    args.next().map_or(default, |text| text.parse().unwrap_or_else(|error| panic!("{name}: {error}")))
}

fn new_policy() -> Policy {
    let value = serde_json::from_str(include_str!("../tests/settings.json")).expect("valid JSON");
    let settings = Settings::from_json(&value).expect("valid settings");
    let mut policy = Policy::new(7, settings.config);
    let record = |number| EndpointRecord {
        endpoint: EndpointId(number),
        build: Build(4),
        rating: 1.0,
        ..EndpointRecord::default()
    };
    let mut actions = Vec::new();
    let endpoints = EndpointUpdate::Snapshot { endpoints: (0..8).map(record).collect(), cached: false };
    policy.handle(0, Event::EndpointsUpdated(endpoints), &mut actions);
    let rollout = RolloutStatus {
        build: Build(4),
        stage: 1,
        phase: RolloutPhase::Released,
        exposure_cap: 1.0,
        age: 1_000_000_000,
    };
    policy.handle(0, Event::RolloutUpdated(rollout), &mut actions);
    policy
}

fn spin(duration: Duration) {
    let started = Instant::now();
    while started.elapsed() < duration {
        std::hint::spin_loop();
    }
}

/// A policy under a lock, and the time for which the lock was held.
struct Shared {
    policy: Mutex<Policy>,
    /// Time for which the lock was held, in nanoseconds.
    locked_ns: AtomicU64,
}

impl Shared {
    fn new() -> Self {
        Shared { policy: Mutex::new(new_policy()), locked_ns: AtomicU64::new(0) }
    }

    /// Runs `work` under the lock and adds its duration to `locked_ns`.
    fn with_policy(&self, work: impl FnOnce(&mut Policy)) {
        let mut policy = self.policy.lock().unwrap_or_else(PoisonError::into_inner);
        let locked_at = Instant::now();
        work(&mut policy);
        self.locked_ns.fetch_add(locked_at.elapsed().as_nanos() as u64, Ordering::Relaxed);
    }
}

fn request_event(id: RequestId, arrived: Micros) -> Event {
    Event::Request(Request {
        id,
        class: ClassId(0),
        tenant: Some(TenantId(0)),
        key: None,
        deadline: arrived + REQUEST_TIMEOUT,
        work_hint: None,
        is_retry: false,
    })
}

fn success_event(id: RequestId) -> Event {
    Event::AttemptCompleted(AttemptResult {
        id,
        attempt: 0,
        outcome: Outcome::Success,
        latency: 400,
        request_finished: true,
        load_report: Vec::new(),
    })
}

fn forwarded_id(action: Action) -> Option<RequestId> {
    match action {
        Action::Forward { id, .. } => Some(id),
        _ => None,
    }
}

/// Sends requests to the policy in `shared`, `batch` for each time that it takes the lock, until `stop` is
/// set. Returns the number of requests that were forwarded and answered.
fn run_worker(
    shared: &Shared,
    number: u32,
    batch: u32,
    socket_time: Duration,
    started: Instant,
    stop: &AtomicBool,
) -> u64 {
    let mut actions = Vec::new();
    let mut answered = 0;
    let mut next_id = 0u32;
    let now = || START + started.elapsed().as_micros() as u64;
    while !stop.load(Ordering::Relaxed) {
        let ids: Vec<RequestId> = (0..batch).map(|n| RequestId((next_id + n) << 3 | number)).collect();
        next_id = (next_id + batch) % (1 << 28);
        spin(socket_time / 2 * batch);
        shared.with_policy(|policy| {
            let arrived = now();
            for id in &ids {
                policy.handle(arrived, request_event(*id, arrived), &mut actions);
            }
        });
        let sent: Vec<RequestId> = actions.drain(..).filter_map(forwarded_id).collect();
        spin(socket_time / 2 * batch);
        shared.with_policy(|policy| {
            for id in sent {
                policy.handle(now(), success_event(id), &mut actions);
                answered += 1;
            }
            if number == 0 {
                policy.handle(now(), Event::Timer(0), &mut actions);
            }
        });
        actions.clear();
    }
    answered
}

/// Runs the threads for `run_time`. Returns the requests per second, and the share of the time for which the
/// shared lock was held.
fn run_threads(
    threads: u32,
    policy_shared: bool,
    batch: u32,
    socket_time: Duration,
    run_time: Duration,
) -> (f64, f64) {
    let common = Arc::new(Shared::new());
    let stop = Arc::new(AtomicBool::new(false));
    let started = Instant::now();
    let start = |number: u32| {
        let shared = if policy_shared { Arc::clone(&common) } else { Arc::new(Shared::new()) };
        // Worker 0 sends the timer events. With a policy each, every worker must send them.
        let number = if policy_shared { number } else { 0 };
        let stop = Arc::clone(&stop);
        std::thread::spawn(move || run_worker(&shared, number, batch, socket_time, started, &stop))
    };
    let threads: Vec<_> = (0..threads).map(start).collect();
    std::thread::sleep(run_time);
    stop.store(true, Ordering::Relaxed);
    let answered: u64 =
        threads.into_iter().map(|thread| thread.join().expect("the worker does not panic")).sum();
    let seconds = started.elapsed().as_secs_f64();
    let locked_seconds = common.locked_ns.load(Ordering::Relaxed) as f64 / 1e9;
    (answered as f64 / seconds, locked_seconds / seconds)
}

fn main() {
    let socket_time = Duration::from_nanos((numeric_option("--socket-us", 15.0) * 1e3) as u64);
    let run_time = Duration::from_secs_f64(numeric_option("--seconds", 1.0));
    println!(
        "| threads | requests per lock | shared policy, requests/s | speedup | lock held | policy each, requests/s | speedup |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for batch in [1, 8] {
        let mut one_thread_shared = 0.0;
        let mut one_thread_each = 0.0;
        for threads in [1, 2, 4, 6] {
            let (shared, locked) = run_threads(threads, true, batch, socket_time, run_time);
            let (each, _) = run_threads(threads, false, batch, socket_time, run_time);
            if threads == 1 {
                one_thread_shared = shared;
                one_thread_each = each;
            }
            println!(
                "| {threads} | {batch} | {shared:.0} | {:.2} | {:.0}% | {each:.0} | {:.2} |",
                shared / one_thread_shared,
                locked * 100.0,
                each / one_thread_each
            );
        }
    }
}

//! A prototype to choose by: what several threads get through one `Brain` under a lock, and through a `Brain` each.
//! Socket work is stood in for by spinning, so that nothing but the sharing is measured.
//!
//! `cargo bench --locked -p garnetcrank-proxy --bench brain -- [--socket-us U] [--seconds S]` prints a table.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use garnetcrank_policy::Policy;
use garnetcrank_policy::api::*;
use garnetcrank_settings::Settings;

fn value(name: &str, default: f64) -> f64 {
    let mut args = std::env::args().skip_while(|arg| arg != name).skip(1);
    args.next().map_or(default, |text| text.parse().unwrap_or_else(|e| panic!("{name}: {e}")))
}

fn brain() -> Policy {
    let value = serde_json::from_str(include_str!("../tests/settings.json")).expect("JSON");
    let settings = Settings::read(&value).expect("settings");
    let mut brain = Policy::new(7, settings.config);
    let entry = |n| EndpointRecord {
        endpoint: EndpointId(n),
        build: Build(4),
        rating: 1.0,
        ..EndpointRecord::default()
    };
    let mut actions = Vec::new();
    let fleet = EndpointUpdate::Snapshot { endpoints: (0..8).map(entry).collect(), cached: false };
    brain.handle(0, Event::EndpointsUpdated(fleet), &mut actions);
    let stage = RolloutStatus {
        build: Build(4),
        stage: 1,
        phase: RolloutPhase::Released,
        exposure_cap: 1.0,
        age: 1_000_000_000,
    };
    brain.handle(0, Event::RolloutUpdated(stage), &mut actions);
    brain
}

fn spin(span: Duration) {
    let begun = Instant::now();
    while begun.elapsed() < span {
        std::hint::spin_loop();
    }
}

/// What the threads share.
struct Shared {
    brain: Mutex<Policy>,
    /// Nanoseconds for which the lock was held.
    held: AtomicU64,
}

/// Requests through the lock of `shared`, `batch` in each hold, until told to stop; how many were placed and answered.
fn worker(
    shared: &Shared,
    number: u32,
    batch: u32,
    socket: Duration,
    begun: Instant,
    stop: &AtomicBool,
) -> u64 {
    let (mut actions, mut answered, mut next) = (Vec::new(), 0, 0u32);
    let now = || 2_000_000_000 + begun.elapsed().as_micros() as u64;
    let deadline = |now: Micros| now + 9_000_000;
    while !stop.load(Ordering::Relaxed) {
        let ids: Vec<RequestId> = (0..batch).map(|n| RequestId((next + n) << 3 | number)).collect();
        next = (next + batch) % (1 << 28);
        spin(socket / 2 * batch);
        let mut locked = shared.brain.lock().unwrap_or_else(PoisonError::into_inner);
        let taken = Instant::now();
        let arrived = now();
        for id in &ids {
            let request = Request {
                id: *id,
                class: ClassId(0),
                tenant: Some(TenantId(0)),
                key: None,
                deadline: deadline(arrived),
                work_hint: None,
                is_retry: false,
            };
            locked.handle(arrived, Event::Request(request), &mut actions);
        }
        shared.held.fetch_add(taken.elapsed().as_nanos() as u64, Ordering::Relaxed);
        drop(locked);
        let placed: Vec<RequestId> = (actions.drain(..))
            .filter_map(|action| match action {
                Action::Forward { id, .. } => Some(id),
                _ => None,
            })
            .collect();
        spin(socket / 2 * batch);
        let mut locked = shared.brain.lock().unwrap_or_else(PoisonError::into_inner);
        let taken = Instant::now();
        for id in placed {
            let outcome = Outcome::Success;
            let done = AttemptResult {
                id,
                attempt: 0,
                outcome,
                latency: 400,
                request_finished: true,
                load_report: Vec::new(),
            };
            locked.handle(now(), Event::AttemptCompleted(done), &mut actions);
            answered += 1;
        }
        if number == 0 {
            locked.handle(now(), Event::Timer(0), &mut actions);
        }
        shared.held.fetch_add(taken.elapsed().as_nanos() as u64, Ordering::Relaxed);
        drop(locked);
        actions.clear();
    }
    answered
}

/// Requests a second, and the share of the time for which a lock was held.
fn run(threads: u32, one: bool, batch: u32, socket: Duration, long: Duration) -> (f64, f64) {
    let make = || Arc::new(Shared { brain: Mutex::new(brain()), held: AtomicU64::new(0) });
    let common = make();
    let (stop, begun) = (Arc::new(AtomicBool::new(false)), Instant::now());
    let start = |number: u32| {
        let (shared, stop) = (if one { common.clone() } else { make() }, stop.clone());
        // With a Brain each, every thread is the one that ticks.
        std::thread::spawn(move || worker(&shared, if one { number } else { 0 }, batch, socket, begun, &stop))
    };
    let threads: Vec<_> = (0..threads).map(start).collect();
    std::thread::sleep(long);
    stop.store(true, Ordering::Relaxed);
    let answered: u64 = threads.into_iter().map(|t| t.join().expect("a worker")).sum();
    let seconds = begun.elapsed().as_secs_f64();
    (answered as f64 / seconds, common.held.load(Ordering::Relaxed) as f64 / 1e9 / seconds)
}

fn main() {
    let socket = Duration::from_nanos((value("--socket-us", 15.0) * 1e3) as u64);
    let long = Duration::from_secs_f64(value("--seconds", 1.0));
    println!(
        "| threads | requests in a hold | one Brain, a second | times one thread | lock held | a Brain each, a second | times |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for batch in [1, 8] {
        let (mut first, mut first_each) = (0.0, 0.0);
        for threads in [1, 2, 4, 6] {
            let (one, held) = run(threads, true, batch, socket, long);
            let (each, _) = run(threads, false, batch, socket, long);
            if threads == 1 {
                (first, first_each) = (one, each);
            }
            println!(
                "| {threads} | {batch} | {one:.0} | {:.2} | {:.0}% | {each:.0} | {:.2} |",
                one / first,
                held * 100.0,
                each / first_each
            );
        }
    }
}

//! A proxy with several worker threads, whose decisions do not depend on the thread that has a connection.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use garnetcrank_test_support::scripted_servers::{
    EndpointBehavior, ProxySetup, RunningProxy, ScriptedEndpoint, TestClient, request, rollout_event_json,
    rollout_state_json, wait_until,
};

use crate::common::{proxy_setup, respond_ok, trial_setup};

const THREADS: usize = 4;

fn with_worker_threads(setup: ProxySetup) -> ProxySetup {
    ProxySetup { features: Some(format!(r#"{{"cores":{THREADS}}}"#)), ..setup }
}

/// Guard that sets a flag when it is dropped, also by a panic.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Runs clients that send one request after another, each on its own connection, until `done` returns true.
/// Returns the number of responses with status 200.
fn run_clients_until(proxy: &RunningProxy, clients: usize, done: impl Fn() -> bool) -> usize {
    let stop = AtomicBool::new(false);
    std::thread::scope(|threads| {
        let run = || {
            let mut client = proxy.client();
            let mut served = 0;
            while !stop.load(Ordering::SeqCst) {
                served += usize::from(client.get().status() == 200);
            }
            served
        };
        let all: Vec<_> = (0..clients).map(|_| threads.spawn(run)).collect();
        {
            // A failed wait must stop the clients as well, or the scope would wait for them forever.
            let _stop_clients = StopOnDrop(&stop);
            wait_until("the condition that ends the load", done);
        }
        all.into_iter().map(|thread| thread.join().expect("the client thread does not panic")).sum()
    })
}

fn read_counter(proxy: &RunningProxy, name: &str) -> usize {
    let before = proxy.log().matches("counters ").count();
    proxy.signal("USR1");
    wait_until("the counters are logged", || proxy.log().matches("counters ").count() > before);
    let log = proxy.log();
    let line = log.lines().rev().find(|line| line.contains("counters ")).unwrap_or_default().to_owned();
    let value =
        line.split_whitespace().find_map(|word| word.strip_prefix(&format!("{name}=")).map(str::to_owned));
    value.and_then(|value| value.parse().ok()).unwrap_or_else(|| panic!("no counter {name} in {line}"))
}

#[test]
fn every_request_is_answered_and_counted_once_on_any_worker() {
    let endpoints = [ScriptedEndpoint::start(respond_ok("one")), ScriptedEndpoint::start(respond_ok("two"))];
    let (_discovery, _controller, setup) =
        proxy_setup(&endpoints.each_ref().map(|endpoint| endpoint.address));
    let proxy = RunningProxy::start(&with_worker_threads(setup));
    let sent = || endpoints.iter().map(|endpoint| endpoint.requests().len()).sum::<usize>();
    let served = run_clients_until(&proxy, 16, || sent() > 2_000);
    assert_eq!(served, sent(), "requests answered and requests sent differ");
    // Each thread publishes its counters at the end of a turn of its event loop.
    wait_until("all requests are counted", || read_counter(&proxy, "passed") == served);
    assert!(proxy.log().contains("4 threads"));
}

#[test]
fn the_exposure_cap_is_shared_by_all_workers() {
    let (old, new) = (ScriptedEndpoint::start(respond_ok("old")), ScriptedEndpoint::start(respond_ok("new")));
    let (_discovery, controller, setup) = trial_setup(&old, &new);
    let rollout = rollout_state_json(5, 0, "IN_PROGRESS", 0.2);
    let setup = with_worker_threads(ProxySetup { rollout: rollout.clone(), ..setup });
    controller.publish(&rollout_event_json(&rollout), &rollout_event_json(&rollout));
    let proxy = RunningProxy::start(&setup);
    let started = Instant::now();
    run_clients_until(&proxy, 12, || new.requests().len() > 100);
    let (at_new, all) = (new.requests().len(), old.requests().len() + new.requests().len());
    // The build on trial may get a fifth of the requests, and two more attempts in each exposure window.
    let windows = started.elapsed().as_secs_f64() / 3.0 + 1.0;
    assert!(at_new as f64 <= 2.0 * windows + 0.2 * all as f64, "{at_new} of {all} in {windows:.1} windows");
}

#[test]
fn an_exposure_cap_lowered_to_zero_applies_to_all_workers_at_once() {
    let (old, new) = (ScriptedEndpoint::start(respond_ok("old")), ScriptedEndpoint::start(respond_ok("new")));
    let (_discovery, controller, setup) = trial_setup(&old, &new);
    let proxy = RunningProxy::start(&with_worker_threads(setup));
    let lower_cap_published = AtomicBool::new(false);
    let mut sent = 0;
    let counts_after_lower_cap = Mutex::new(None);
    run_clients_until(&proxy, 12, || {
        if !lower_cap_published.load(Ordering::SeqCst) && new.requests().len() > 50 {
            let lower_cap = rollout_event_json(&rollout_state_json(5, 0, "ROLLING_BACK", 0.0));
            controller.publish(&lower_cap, &lower_cap);
            lower_cap_published.store(true, Ordering::SeqCst);
        }
        let mut counts_after_lower_cap = counts_after_lower_cap.lock().expect("the lock is not poisoned");
        if counts_after_lower_cap.is_none() && proxy.log().contains("RollingBack") {
            // Attempts in flight at that moment arrive during this wait.
            std::thread::sleep(Duration::from_millis(150));
            *counts_after_lower_cap = Some((new.requests().len(), old.requests().len()));
        }
        counts_after_lower_cap.is_some_and(|(_, at_old)| old.requests().len() > at_old + 300)
    });
    if let Some((at_new, _)) = *counts_after_lower_cap.lock().expect("the lock is not poisoned") {
        sent = at_new;
    }
    assert_eq!(new.requests().len(), sent, "the build on trial got a request after its cap was 0");
}

#[test]
fn an_instance_casts_one_vote_for_all_its_workers() {
    let (old, new) = (
        ScriptedEndpoint::start(respond_ok("old")),
        ScriptedEndpoint::start(EndpointBehavior::Respond(500, "", Vec::new())),
    );
    let (_discovery, controller, setup) = trial_setup(&old, &new);
    controller.set_vote_response(200, &setup.rollout);
    let proxy = RunningProxy::start(&with_worker_threads(setup));
    run_clients_until(&proxy, 8, || controller.votes().iter().any(|vote| vote.contains("ROLLBACK")));
    let holds = controller.votes().iter().filter(|vote| vote.contains("HOLD")).count();
    assert!((1..=2).contains(&holds), "{holds} votes to hold in three seconds: {:?}", controller.votes());
}

#[test]
fn a_graceful_shutdown_finishes_the_requests_of_all_workers() {
    let endpoint = ScriptedEndpoint::start(EndpointBehavior::WaitForRelease);
    let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
    let mut proxy = RunningProxy::start(&with_worker_threads(setup));
    let clients: Vec<TestClient> = (0..12)
        .map(|_| {
            let mut client = proxy.client();
            assert!(client.send(&request("GET", "/look", 9000, "")));
            client
        })
        .collect();
    wait_until("all requests reach the endpoint", || endpoint.requests().len() == 12);
    proxy.signal("TERM");
    wait_until("the proxy drains", || proxy.log().contains("draining"));
    endpoint.set_behavior(respond_ok("late"));
    (0..12).for_each(|_| endpoint.release());
    for mut client in clients {
        assert_eq!(client.read().expect("the proxy responds").status(), 200);
    }
    assert!(proxy.wait_for_exit().success());
}

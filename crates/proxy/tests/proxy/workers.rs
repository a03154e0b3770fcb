//! A proxy on several threads: one set of decisions, whatever thread a connection is on.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use garnetcrank_test_support::scripted_servers::{
    EndpointBehavior, ProxySetup, RunningProxy, ScriptedEndpoint, TestClient, progress, request, state,
    wait_until,
};

use crate::common::{ok, proxy_setup, trial_setup};

const THREADS: usize = 4;

fn on_threads(setup: ProxySetup) -> ProxySetup {
    ProxySetup { features: Some(format!(r#"{{"cores":{THREADS}}}"#)), ..setup }
}

/// Sets a flag when it goes out of scope, also by a panic.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Clients that ask over and over, each on its own connection, until `done` says so; how many responses were 200.
fn ask(proxy: &RunningProxy, clients: usize, done: impl Fn() -> bool) -> usize {
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
            // A wait that fails must end the clients too, or the scope would wait for them for ever.
            let _stop_clients = StopOnDrop(&stop);
            wait_until("what the clients ask for", done);
        }
        all.into_iter().map(|thread| thread.join().expect("a client")).sum()
    })
}

fn counter(proxy: &RunningProxy, name: &str) -> usize {
    let before = proxy.log().matches("counters ").count();
    proxy.signal("USR1");
    wait_until("the counters", || proxy.log().matches("counters ").count() > before);
    let log = proxy.log();
    let line = log.lines().rev().find(|line| line.contains("counters ")).unwrap_or_default().to_owned();
    let value =
        line.split_whitespace().find_map(|word| word.strip_prefix(&format!("{name}=")).map(str::to_owned));
    value.and_then(|value| value.parse().ok()).unwrap_or_else(|| panic!("{name} in {line}"))
}

#[test]
fn every_request_is_answered_and_counted_once_on_any_worker() {
    let endpoints = [ScriptedEndpoint::start(ok("one")), ScriptedEndpoint::start(ok("two"))];
    let (_discovery, _controller, setup) = proxy_setup(&endpoints.each_ref().map(|m| m.address));
    let proxy = RunningProxy::start(&on_threads(setup));
    let sent = || endpoints.iter().map(|m| m.requests().len()).sum::<usize>();
    let served = ask(&proxy, 16, || sent() > 2_000);
    assert_eq!(served, sent(), "each was sent once and answered once");
    // Each thread publishes its own counters at the end of a turn.
    wait_until("all are counted", || counter(&proxy, "passed") == served);
    assert!(proxy.log().contains("4 threads"));
}

#[test]
fn the_exposure_cap_is_shared_by_all_workers() {
    let (old, new) = (ScriptedEndpoint::start(ok("old")), ScriptedEndpoint::start(ok("new")));
    let (_discovery, controller, setup) = trial_setup(&old, &new);
    let rollout = state(5, 0, "IN_PROGRESS", 0.2);
    let setup = on_threads(ProxySetup { rollout: rollout.clone(), ..setup });
    controller.publish(&progress(&rollout), &progress(&rollout));
    let proxy = RunningProxy::start(&setup);
    let began = Instant::now();
    ask(&proxy, 12, || new.requests().len() > 100);
    let (at_new, all) = (new.requests().len(), old.requests().len() + new.requests().len());
    // Within one window two attempts are free and a fifth of the requests may go there; over several, the free
    // ones come again with each.
    let windows = began.elapsed().as_secs_f64() / 3.0 + 1.0;
    assert!(at_new as f64 <= 2.0 * windows + 0.2 * all as f64, "{at_new} of {all} in {windows:.1} windows");
}

#[test]
fn a_cap_lowered_to_zero_binds_all_workers_at_once() {
    let (old, new) = (ScriptedEndpoint::start(ok("old")), ScriptedEndpoint::start(ok("new")));
    let (_discovery, controller, setup) = trial_setup(&old, &new);
    let proxy = RunningProxy::start(&on_threads(setup));
    let told = AtomicBool::new(false);
    let mut sent = 0;
    let since = Mutex::new(None);
    ask(&proxy, 12, || {
        if !told.load(Ordering::SeqCst) && new.requests().len() > 50 {
            let lower = progress(&state(5, 0, "ROLLING_BACK", 0.0));
            controller.publish(&lower, &lower);
            told.store(true, Ordering::SeqCst);
        }
        let mut since = since.lock().expect("a lock");
        if since.is_none() && proxy.log().contains("RollingBack") {
            // What was on its way then has arrived a moment later.
            std::thread::sleep(Duration::from_millis(150));
            *since = Some((new.requests().len(), old.requests().len()));
        }
        since.is_some_and(|(_, at_old)| old.requests().len() > at_old + 300)
    });
    if let Some((at_new, _)) = *since.lock().expect("a lock") {
        sent = at_new;
    }
    assert_eq!(new.requests().len(), sent, "nothing goes there once the cap is nothing");
}

#[test]
fn an_instance_casts_one_vote_whatever_its_workers() {
    let (old, new) = (
        ScriptedEndpoint::start(ok("old")),
        ScriptedEndpoint::start(EndpointBehavior::Respond(500, "", Vec::new())),
    );
    let (_discovery, controller, setup) = trial_setup(&old, &new);
    controller.answer_votes(200, &setup.rollout);
    let proxy = RunningProxy::start(&on_threads(setup));
    ask(&proxy, 8, || controller.votes().iter().any(|vote| vote.contains("ROLLBACK")));
    let holds = controller.votes().iter().filter(|vote| vote.contains("HOLD")).count();
    assert!((1..=2).contains(&holds), "{holds} votes to hold in three seconds: {:?}", controller.votes());
}

#[test]
fn a_graceful_shutdown_finishes_the_requests_of_all_workers() {
    let endpoint = ScriptedEndpoint::start(EndpointBehavior::WaitForRelease);
    let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
    let mut proxy = RunningProxy::start(&on_threads(setup));
    let clients: Vec<TestClient> = (0..12)
        .map(|_| {
            let mut client = proxy.client();
            assert!(client.send(&request("GET", "/look", 9000, "")));
            client
        })
        .collect();
    wait_until("all are at the machine", || endpoint.requests().len() == 12);
    proxy.signal("TERM");
    wait_until("it drains", || proxy.log().contains("draining"));
    endpoint.set_behavior(ok("late"));
    (0..12).for_each(|_| endpoint.release());
    for mut client in clients {
        assert_eq!(client.read().expect("an answer").status(), 200);
    }
    assert!(proxy.exit().success());
}

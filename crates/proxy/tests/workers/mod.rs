//! A front on several threads: one set of decisions, whatever thread a connection is on.

use std::sync::atomic::{AtomicBool, Ordering};

use garnetcrank_test_support::scripted_servers::*;

use super::{around, ok, on_trial};

const THREADS: usize = 4;

fn on_threads(plan: ProxySetup) -> ProxySetup {
    ProxySetup { features: Some(format!(r#"{{"cores":{THREADS}}}"#)), ..plan }
}

/// Clients that ask over and over, each on its own connection, until `done` says so; how many answers were 200.
fn ask(front: &RunningProxy, clients: usize, done: impl Fn() -> bool) -> usize {
    let stop = AtomicBool::new(false);
    std::thread::scope(|threads| {
        let run = || {
            let mut client = front.client();
            let mut served = 0;
            while !stop.load(Ordering::SeqCst) {
                served += usize::from(client.look().status() == 200);
            }
            served
        };
        let all: Vec<_> = (0..clients).map(|_| threads.spawn(run)).collect();
        wait_until("what the clients ask for", done);
        stop.store(true, Ordering::SeqCst);
        all.into_iter().map(|thread| thread.join().expect("a client")).sum()
    })
}

fn counter(front: &RunningProxy, name: &str) -> usize {
    let before = front.log().matches("counters ").count();
    front.signal("USR1");
    wait_until("the counters", || front.log().matches("counters ").count() > before);
    let log = front.log();
    let line = log.lines().rev().find(|line| line.contains("counters ")).unwrap_or_default().to_owned();
    let value =
        line.split_whitespace().find_map(|word| word.strip_prefix(&format!("{name}=")).map(str::to_owned));
    value.and_then(|value| value.parse().ok()).unwrap_or_else(|| panic!("{name} in {line}"))
}

#[test]
fn every_request_is_answered_once_and_counted_whatever_thread_has_it() {
    let machines = [ScriptedEndpoint::start(ok("one")), ScriptedEndpoint::start(ok("two"))];
    let (_discovery, _platform, plan) = around(&machines.each_ref().map(|m| m.address));
    let front = RunningProxy::start(&on_threads(plan));
    let sent = || machines.iter().map(|m| m.requests().len()).sum::<usize>();
    let served = ask(&front, 16, || sent() > 2_000);
    assert_eq!(served, sent(), "each was sent once and answered once");
    // Each thread tells its own part at the end of a turn.
    wait_until("all are counted", || counter(&front, "passed") == served);
    assert!(front.log().contains("4 threads"));
}

#[test]
fn the_cap_on_a_build_on_trial_is_one_for_all_threads() {
    let (old, new) = (ScriptedEndpoint::start(ok("old")), ScriptedEndpoint::start(ok("new")));
    let (_discovery, _platform, plan) = on_trial(&old, &new);
    let news = state(5, 0, "IN_PROGRESS", 0.2);
    let plan = on_threads(ProxySetup { news: news.clone(), ..plan });
    _platform.publish(&progress(&news), &progress(&news));
    let front = RunningProxy::start(&plan);
    let began = std::time::Instant::now();
    ask(&front, 12, || new.requests().len() > 100);
    let (at_new, all) = (new.requests().len(), old.requests().len() + new.requests().len());
    // Within one window two attempts are free and a fifth of the requests may go there; over several, the free
    // ones come again with each.
    let windows = began.elapsed().as_secs_f64() / 3.0 + 1.0;
    assert!(at_new as f64 <= 2.0 * windows + 0.2 * all as f64, "{at_new} of {all} in {windows:.1} windows");
}

#[test]
fn a_cap_that_falls_to_nothing_binds_all_threads_at_once() {
    let (old, new) = (ScriptedEndpoint::start(ok("old")), ScriptedEndpoint::start(ok("new")));
    let (_discovery, platform, plan) = on_trial(&old, &new);
    let front = RunningProxy::start(&on_threads(plan));
    let told = AtomicBool::new(false);
    let mut sent = 0;
    let since = std::sync::Mutex::new(None);
    ask(&front, 12, || {
        if !told.load(Ordering::SeqCst) && new.requests().len() > 50 {
            let lower = progress(&state(5, 0, "ROLLING_BACK", 0.0));
            platform.publish(&lower, &lower);
            told.store(true, Ordering::SeqCst);
        }
        let mut since = since.lock().expect("a lock");
        if since.is_none() && front.log().contains("RollingBack") {
            // What was on its way then has arrived a moment later.
            std::thread::sleep(std::time::Duration::from_millis(150));
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
fn one_vote_an_instance_not_one_a_thread() {
    let (old, new) = (
        ScriptedEndpoint::start(ok("old")),
        ScriptedEndpoint::start(EndpointBehavior::Respond(500, "", Vec::new())),
    );
    let (_discovery, platform, plan) = on_trial(&old, &new);
    platform.answer_votes(200, &plan.news);
    let front = RunningProxy::start(&on_threads(plan));
    ask(&front, 8, || platform.votes().iter().any(|vote| vote.contains("ROLLBACK")));
    let holds = platform.votes().iter().filter(|vote| vote.contains("HOLD")).count();
    assert!((1..=2).contains(&holds), "{holds} votes to hold in three seconds: {:?}", platform.votes());
}

#[test]
fn told_to_stop_it_finishes_what_all_threads_hold_and_exits_well() {
    let machine = ScriptedEndpoint::start(EndpointBehavior::WaitForRelease);
    let (_discovery, _platform, plan) = around(&[machine.address]);
    let mut front = RunningProxy::start(&on_threads(plan));
    let clients: Vec<TestClient> = (0..12)
        .map(|_| {
            let mut client = front.client();
            assert!(client.send(&request("GET", "/look", 9000, "")));
            client
        })
        .collect();
    wait_until("all are at the machine", || machine.requests().len() == 12);
    front.signal("TERM");
    wait_until("it drains", || front.log().contains("draining"));
    machine.set_behavior(ok("late"));
    (0..12).for_each(|_| machine.release());
    for mut client in clients {
        assert_eq!(client.read().expect("an answer").status(), 200);
    }
    assert!(front.exit().success());
}

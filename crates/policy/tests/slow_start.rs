//! Budgets of endpoints that are warming up.

mod common;

use common::{Harness, MS, OLD, READ, config, endpoint_record, forwarded_to, large_tier};
use garnetcrank_policy::Policy;
use garnetcrank_policy::api::{Config, EndpointRecord, Event, Outcome, Request, RequestId};

#[test]
fn a_warming_endpoint_gets_at_most_what_a_warm_one_serves_of_this_instance() {
    let mut harness = Harness::on_trial(config(), vec![endpoint_record(1, OLD)]);
    // One of 100 ms every 200: half a core of the warm endpoint is this instance's.
    for _ in 0..100 {
        let (id, _) = harness.request(READ);
        for _ in 0..4 {
            harness.tick(25);
        }
        harness.complete(id, 0, Outcome::Success, 100 * MS);
        for _ in 0..4 {
            harness.tick(25);
        }
    }
    let started = Some(harness.now);
    harness.set_endpoints(vec![EndpointRecord { started, ..endpoint_record(2, OLD) }]);
    // 2 x 0.5 x half a core for 1 s, 0.9 of it used: 450 ms of work, hints of 100 ms.
    let sent = (1..=5).filter(|_| forwarded_to(&harness.request(READ).1).is_some()).count();
    assert_eq!(sent, 4);
    harness.now += 1_001 * MS;
    assert!(forwarded_to(&harness.request(READ).1).is_some(), "the window has passed");
    harness.now += 4_000 * MS;
    let sent = (1..=20).filter(|_| forwarded_to(&harness.request(READ).1).is_some()).count();
    assert_eq!(sent, 20, "warm by now");
}

#[test]
fn an_instance_without_measurements_takes_its_part_of_a_fraction_of_a_core() {
    let mut harness = Harness::on_trial(config(), Vec::new());
    let started = Some(harness.now);
    harness.set_endpoints(vec![EndpointRecord { started, ..endpoint_record(1, OLD) }]);
    // 2 x 0.5 of a quarter core for 1 s between two instances is 125 ms, less what is kept free for chance: one
    // of 100 ms.
    let sent = (1..=5).filter(|_| forwarded_to(&harness.request(READ).1).is_some()).count();
    assert_eq!(sent, 1);
}

/// Danger: hundreds of instances send a warming endpoint one request each.
#[test]
fn hundreds_of_instances_together_do_not_overload_a_warming_endpoint() {
    let instances = 300;
    let mut work = 0;
    for seed in 0..u64::from(instances) {
        let mut harness = Harness::new(large_tier(instances, 15));
        let own = Config { instance_index: seed as u32, ..large_tier(instances, 15) };
        harness.policy = Policy::new(seed, own);
        let started = Some(harness.now);
        harness.set_endpoints(vec![EndpointRecord { started, ..endpoint_record(1, OLD) }]);
        for _ in 0..10 {
            let (_, actions) = harness.request(READ);
            work += forwarded_to(&actions).map_or(0, |_| 100);
            harness.now += 100 * MS;
        }
    }
    // Twice what a quarter core does in a second when half warm rising to five eighths; chance adds a little.
    assert!((100..=400).contains(&work), "{work} ms of work in the first second");
}

/// Danger: requests without a hint count as no work until a warm endpoint has answered.
#[test]
fn requests_without_a_hint_use_up_the_slow_start_budget() {
    let mut harness = Harness::new(large_tier(1, 1));
    let started = Some(harness.now);
    harness.set_endpoints(vec![EndpointRecord { started, ..endpoint_record(1, OLD) }]);
    let mut sent = 0;
    for id in 0..200 {
        let deadline = harness.now + 1_000 * MS;
        let id = RequestId(id);
        let request =
            Request { id, class: READ, tenant: None, key: None, deadline, work_hint: None, is_retry: false };
        if forwarded_to(&harness.send(Event::Request(request))).is_some() {
            sent += 1;
            harness.complete(id, 0, Outcome::Success, MS);
        }
    }
    assert!(
        (1..=20).contains(&sent),
        "{sent} at once, at 50 ms each of a second's budget of one half-warm core"
    );
}

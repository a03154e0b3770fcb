//! Slow start: work budgets of endpoints that are warming up.

mod common;

use common::{Harness, MS, OLD, READ, config, endpoint_record, forwarded_to, large_tier_config};
use garnetcrank_policy::Policy;
use garnetcrank_policy::api::{Config, EndpointRecord, Event, Outcome, Request, RequestId};

#[test]
fn the_budget_of_a_warming_endpoint_is_limited_by_the_load_that_a_warm_one_serves() {
    let mut harness = Harness::on_trial(config(), vec![endpoint_record(1, OLD)]);
    // One request of 100 ms every 200 ms: this instance uses half a core of the warm endpoint.
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
    // The budget is 2 x 0.5 x half a core x 1 s, of which 0.9 is used: 450 ms of work at 100 ms per request.
    let forwarded = (1..=5).filter(|_| forwarded_to(&harness.request(READ).1).is_some()).count();
    assert_eq!(forwarded, 4);
    harness.now += 1_001 * MS;
    assert!(forwarded_to(&harness.request(READ).1).is_some(), "rejected after the overload window");
    harness.now += 4_000 * MS;
    let forwarded = (1..=20).filter(|_| forwarded_to(&harness.request(READ).1).is_some()).count();
    assert_eq!(forwarded, 20, "rejected after the slow start");
}

#[test]
fn an_instance_without_measurements_uses_its_part_of_a_quarter_core() {
    let mut harness = Harness::on_trial(config(), Vec::new());
    let started = Some(harness.now);
    harness.set_endpoints(vec![EndpointRecord { started, ..endpoint_record(1, OLD) }]);
    // The budget is 2 x 0.5 x a quarter core x 1 s, split between two instances: 125 ms, less a reserve for
    // random variation. One request of 100 ms fits.
    let forwarded = (1..=5).filter(|_| forwarded_to(&harness.request(READ).1).is_some()).count();
    assert_eq!(forwarded, 1);
}

/// Guards against an overloaded warming endpoint: hundreds of instances send it one request each.
#[test]
fn hundreds_of_instances_together_do_not_overload_a_warming_endpoint() {
    let instances = 300;
    let mut work_ms = 0;
    for seed in 0..u64::from(instances) {
        let mut harness = Harness::new(large_tier_config(instances, 15));
        let instance_config = Config { instance_index: seed as u32, ..large_tier_config(instances, 15) };
        harness.policy = Policy::new(seed, instance_config);
        let started = Some(harness.now);
        harness.set_endpoints(vec![EndpointRecord { started, ..endpoint_record(1, OLD) }]);
        for _ in 0..10 {
            let (_, actions) = harness.request(READ);
            work_ms += forwarded_to(&actions).map_or(0, |_| 100);
            harness.now += 100 * MS;
        }
    }
    // Twice the work of a quarter core in a second, at a slow start factor that rises from 1/2 to 5/8; random
    // variation adds a little.
    assert!((100..=400).contains(&work_ms), "{work_ms} ms of work in the first second");
}

/// Guards against an unlimited slow start: requests without a work hint count as no work until a warm
/// endpoint has responded.
#[test]
fn requests_without_a_hint_use_up_the_slow_start_budget() {
    let mut harness = Harness::new(large_tier_config(1, 1));
    let started = Some(harness.now);
    harness.set_endpoints(vec![EndpointRecord { started, ..endpoint_record(1, OLD) }]);
    let mut forwarded = 0;
    for id in 0..200 {
        let deadline = harness.now + 1_000 * MS;
        let id = RequestId(id);
        let request =
            Request { id, class: READ, tenant: None, key: None, deadline, work_hint: None, is_retry: false };
        if forwarded_to(&harness.send(Event::Request(request))).is_some() {
            forwarded += 1;
            harness.complete(id, 0, Outcome::Success, MS);
        }
    }
    assert!(
        (1..=20).contains(&forwarded),
        "{forwarded} of 200 requests of 50 ms were forwarded at once, expected 1 to 20"
    );
}

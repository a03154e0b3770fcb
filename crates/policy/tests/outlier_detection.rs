//! Slow and failing endpoints and zones: ejection, and the way back.

mod common;

use common::{
    Harness, MS, OLD, PAY, READ, class, config, endpoint_record, fleet_with_new, large_tier, light_traffic,
    rollout_status, stage_one_trial,
};
use garnetcrank_policy::Policy;
use garnetcrank_policy::api::{
    ClassId, EndpointId, EndpointRecord, Event, Idempotency, Outcome, RolloutPhase, ZoneId,
};

#[test]
fn unreachable_endpoints_stay_ejected_even_if_they_are_most() {
    let mut harness = stage_one_trial((1..=6).map(|m| endpoint_record(m, OLD)).collect());
    let unreachable = |m: EndpointId| if m.0 > 1 { Outcome::ConnectFailed } else { Outcome::Success };
    for _ in 0..20 {
        harness.serve(READ, unreachable);
    }
    let targets: Vec<_> = (0..20).filter_map(|_| harness.serve(READ, unreachable)).collect();
    assert!(targets.iter().all(|m| m.0 == 1), "{targets:?}");
}

/// Danger: a failing endpoint keeps drawing traffic by its quick errors.
#[test]
fn a_failing_endpoint_is_ejected_and_recovers() {
    let mut harness = stage_one_trial(fleet_with_new(&[]));
    let failing = |m: EndpointId| if m.0 == 2 { Outcome::Error } else { Outcome::Success };
    for _ in 0..60 {
        harness.serve(READ, failing);
    }
    let at_failing = (0..60).filter(|_| harness.serve(READ, failing) == Some(EndpointId(2))).count();
    assert!(at_failing <= 3, "{at_failing} of 60");
    for _ in 0..360 {
        harness.tick(25);
    }
    let back = (0..240).filter(|_| harness.serve(READ, |_| Outcome::Success) == Some(EndpointId(2))).count();
    assert!(back >= 20, "there is a way back: {back} of 240");
}

/// Danger: an instance of a large tier meets an endpoint every few seconds, which goes on failing.
#[test]
fn a_rarely_met_failing_endpoint_is_ejected() {
    let mut harness = Harness::new(config());
    harness.set_endpoints((0..30).map(|m| endpoint_record(m, OLD)).collect());
    harness.send(Event::RolloutUpdated(rollout_status(OLD, 2, RolloutPhase::Released, 1.0)));
    let failing = |m: EndpointId| if m.0 < 4 { Outcome::Error } else { Outcome::Success };
    let mut errors = [0, 0];
    for turn in 0..600 {
        harness.tick(200);
        let class = if turn % 2 == 0 { READ } else { PAY };
        let met = harness.serve(class, failing).is_some_and(|m| m.0 < 4);
        errors[turn % 2] += u32::from(met);
    }
    // Evenly spread they would be met 80 times, half of these with requests that must not run twice.
    assert!(errors[0] + errors[1] <= 10, "{errors:?} errors in two minutes");
    assert!(
        errors[1] < errors[0],
        "requests that must not run twice go to endpoints that failed: {errors:?}"
    );
}

#[test]
fn an_endpoint_recovers_if_all_classes_are_non_idempotent() {
    let mut only_pay = config();
    only_pay.classes = vec![class("pay", Idempotency::NonIdempotent)];
    let mut harness = Harness::new(only_pay);
    harness.set_endpoints((0..6).map(|m| endpoint_record(m, OLD)).collect());
    harness.send(Event::RolloutUpdated(rollout_status(OLD, 2, RolloutPhase::Released, 1.0)));
    let turns = |harness: &mut Harness, outcome_of: &dyn Fn(EndpointId) -> Outcome| {
        let at_failing = (0..200).filter(|_| {
            harness.tick(500);
            harness.serve(ClassId(0), outcome_of) == Some(EndpointId(2))
        });
        at_failing.count()
    };
    turns(&mut harness, &|m| if m.0 == 2 { Outcome::Error } else { Outcome::Success });
    let back = turns(&mut harness, &|_| Outcome::Success);
    assert!(back >= 1, "there is a way back: {back} of 200");
}

/// Danger: answers are lost everywhere now and then, and a healthy fleet is ejected.
#[test]
fn occasional_lost_connections_eject_few_endpoints() {
    let mut ejected = 0;
    for seed in 0..40 {
        let mut harness = Harness::on_trial(large_tier(2, 1), Vec::new());
        harness.policy = Policy::new(seed, large_tier(2, 1));
        harness.set_endpoints((1..=6).map(|m| endpoint_record(m, OLD)).collect());
        let count = std::cell::Cell::new(0u32);
        for _ in 0..300 {
            harness.serve(READ, |_| {
                count.set(count.get() + 1);
                if count.get().is_multiple_of(5) { Outcome::ConnectionLost } else { Outcome::Success }
            });
            harness.tick(25);
        }
        ejected += harness.log.iter().filter(|line| line.contains("ejected")).count();
    }
    // Five in a row now and then are chance; a bar of two in a row would bring hundreds.
    assert!(ejected <= 80, "{ejected} ejections by a reset now and then, on 240 endpoints");
}

/// Danger: the way to a zone grows slow, and an instance meets each endpoint there too rarely to know.
#[test]
fn a_slow_zone_is_left_out_and_tried_again() {
    let mut config = large_tier(300, 15);
    config.cross_zone_price = 0.04;
    let mut harness = Harness::new(config);
    let near = (1..=20).map(|m| endpoint_record(m, OLD));
    let far = (21..=40).map(|m| EndpointRecord { zone: ZoneId(1), ..endpoint_record(m, OLD) });
    harness.set_endpoints(near.chain(far).collect());
    harness.send(Event::RolloutUpdated(rollout_status(OLD, 2, RolloutPhase::Released, 1.0)));
    light_traffic(&mut harness, 90, |_| 40 * MS);
    let link = |m: EndpointId| if m.0 > 20 { 350 * MS } else { 40 * MS };
    light_traffic(&mut harness, 90, link);
    let count = std::cell::Cell::new(0);
    light_traffic(&mut harness, 120, |m| {
        count.set(count.get() + u32::from(m.0 > 20));
        link(m)
    });
    assert!(count.get() <= 12, "{} of 120 over the slow link", count.get());
    count.set(0);
    light_traffic(&mut harness, 200, |_| 40 * MS);
    light_traffic(&mut harness, 100, |m| {
        count.set(count.get() + u32::from(m.0 > 20));
        40 * MS
    });
    assert!(count.get() >= 10, "the zone is tried again: {}", count.get());
}

//! Ejection and recovery of slow or failing endpoints and zones.

mod common;

use common::{
    Harness, MS, OLD, PAY, READ, class, config, endpoint_record, fleet_with_new, large_tier_config,
    rollout_status, run_light_traffic, second_stage_trial,
};
use garnetcrank_policy::Policy;
use garnetcrank_policy::api::{
    ClassId, EndpointId, EndpointRecord, Event, Idempotency, Outcome, RolloutPhase, ZoneId,
};

#[test]
fn unreachable_endpoints_stay_ejected_even_if_they_are_the_majority() {
    let mut harness = second_stage_trial((1..=6).map(|endpoint| endpoint_record(endpoint, OLD)).collect());
    let unreachable =
        |endpoint: EndpointId| if endpoint.0 > 1 { Outcome::ConnectFailed } else { Outcome::Success };
    for _ in 0..20 {
        harness.serve(READ, unreachable);
    }
    let targets: Vec<_> = (0..20).filter_map(|_| harness.serve(READ, unreachable)).collect();
    assert!(targets.iter().all(|endpoint| endpoint.0 == 1), "{targets:?}");
}

/// Guards against a failing endpoint that attracts traffic: its errors are faster than successful responses.
#[test]
fn a_failing_endpoint_is_ejected_and_recovers() {
    let mut harness = second_stage_trial(fleet_with_new(&[]));
    let failing = |endpoint: EndpointId| if endpoint.0 == 2 { Outcome::Error } else { Outcome::Success };
    for _ in 0..60 {
        harness.serve(READ, failing);
    }
    let at_failing = (0..60).filter(|_| harness.serve(READ, failing) == Some(EndpointId(2))).count();
    assert!(at_failing <= 3, "{at_failing} of 60 requests went to the failing endpoint");
    for _ in 0..360 {
        harness.tick(25);
    }
    let after_recovery =
        (0..240).filter(|_| harness.serve(READ, |_| Outcome::Success) == Some(EndpointId(2))).count();
    assert!(after_recovery >= 20, "only {after_recovery} of 240 requests went to the recovered endpoint");
}

/// Guards against a failing endpoint that stays in use: an instance of a large tier sends to it only every
/// few seconds.
#[test]
fn a_rarely_used_failing_endpoint_is_ejected() {
    let mut harness = Harness::new(config());
    harness.set_endpoints((0..30).map(|endpoint| endpoint_record(endpoint, OLD)).collect());
    harness.send(Event::RolloutUpdated(rollout_status(OLD, 2, RolloutPhase::Released, 1.0)));
    let failing = |endpoint: EndpointId| if endpoint.0 < 4 { Outcome::Error } else { Outcome::Success };
    let mut errors = [0, 0];
    for index in 0..600 {
        harness.tick(200);
        let class = if index % 2 == 0 { READ } else { PAY };
        let failed = harness.serve(class, failing).is_some_and(|endpoint| endpoint.0 < 4);
        errors[index % 2] += u32::from(failed);
    }
    // With an even spread, 80 requests would go to the failing endpoints, half of them non-idempotent.
    assert!(errors[0] + errors[1] <= 10, "idempotent and non-idempotent errors in two minutes: {errors:?}");
    assert!(
        errors[1] < errors[0],
        "non-idempotent requests were not kept from endpoints that failed: {errors:?}"
    );
}

#[test]
fn an_endpoint_recovers_if_all_classes_are_non_idempotent() {
    let mut only_pay = config();
    only_pay.classes = vec![class("pay", Idempotency::NonIdempotent)];
    let mut harness = Harness::new(only_pay);
    harness.set_endpoints((0..6).map(|endpoint| endpoint_record(endpoint, OLD)).collect());
    harness.send(Event::RolloutUpdated(rollout_status(OLD, 2, RolloutPhase::Released, 1.0)));
    let count_at_failing = |harness: &mut Harness, outcome_of: &dyn Fn(EndpointId) -> Outcome| {
        let at_failing = (0..200).filter(|_| {
            harness.tick(500);
            harness.serve(ClassId(0), outcome_of) == Some(EndpointId(2))
        });
        at_failing.count()
    };
    count_at_failing(&mut harness, &|endpoint| {
        if endpoint.0 == 2 { Outcome::Error } else { Outcome::Success }
    });
    let after_recovery = count_at_failing(&mut harness, &|_| Outcome::Success);
    assert!(after_recovery >= 1, "only {after_recovery} of 200 requests went to the recovered endpoint");
}

/// Guards against the ejection of a healthy fleet: connections to every endpoint are lost occasionally.
#[test]
fn occasional_lost_connections_eject_few_endpoints() {
    let mut ejected = 0;
    for seed in 0..40 {
        let mut harness = Harness::on_trial(large_tier_config(2, 1), Vec::new());
        harness.policy = Policy::new(seed, large_tier_config(2, 1));
        harness.set_endpoints((1..=6).map(|endpoint| endpoint_record(endpoint, OLD)).collect());
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
    // Five losses in a row occur at random; a threshold of two in a row would cause hundreds of ejections.
    assert!(ejected <= 80, "{ejected} ejections of 240 endpoints with occasional lost connections");
}

/// Guards against traffic over a slow link to a zone: an instance uses each endpoint there too rarely to
/// detect it.
#[test]
fn a_slow_zone_is_avoided_and_used_again_after_recovery() {
    let mut config = large_tier_config(300, 15);
    config.cross_zone_price = 0.04;
    let mut harness = Harness::new(config);
    let local = (1..=20).map(|endpoint| endpoint_record(endpoint, OLD));
    let remote =
        (21..=40).map(|endpoint| EndpointRecord { zone: ZoneId(1), ..endpoint_record(endpoint, OLD) });
    harness.set_endpoints(local.chain(remote).collect());
    harness.send(Event::RolloutUpdated(rollout_status(OLD, 2, RolloutPhase::Released, 1.0)));
    run_light_traffic(&mut harness, 90, |_| 40 * MS);
    let latency_at = |endpoint: EndpointId| if endpoint.0 > 20 { 350 * MS } else { 40 * MS };
    run_light_traffic(&mut harness, 90, latency_at);
    let count = std::cell::Cell::new(0);
    run_light_traffic(&mut harness, 120, |endpoint| {
        count.set(count.get() + u32::from(endpoint.0 > 20));
        latency_at(endpoint)
    });
    assert!(count.get() <= 12, "{} of 120 requests went over the slow link", count.get());
    count.set(0);
    run_light_traffic(&mut harness, 200, |_| 40 * MS);
    run_light_traffic(&mut harness, 100, |endpoint| {
        count.set(count.get() + u32::from(endpoint.0 > 20));
        40 * MS
    });
    assert!(count.get() >= 10, "only {} of 100 requests went to the recovered zone", count.get());
}

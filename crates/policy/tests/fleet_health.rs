//! Builds that are slow, or slow the whole fleet.

mod common;

use common::{
    Harness, MS, NEW, OLD, READ, endpoint_record, forwarded_to, large_tier, light_traffic, released_fleet,
    rollout_status,
};
use garnetcrank_policy::api::{Config, EndpointId, Event, Micros, Outcome, RolloutPhase, Verdict};

/// Traffic in which the latency at all endpoints is 40 ms times `factor`, which is given the time since a new
/// endpoint was last sent to; the votes cast.
fn timed_traffic(harness: &mut Harness, ms: Micros, factor: impl Fn(Micros) -> u64) -> Vec<Verdict> {
    let mut votes = Vec::new();
    let mut sent_new = harness.now;
    let until = harness.now + ms * MS;
    while harness.now < until {
        for _ in 0..4 {
            let (id, actions) = harness.request(READ);
            if let Some(endpoint) = forwarded_to(&actions) {
                if endpoint.0 >= 8 {
                    sent_new = harness.now;
                }
                let latency = 40 * MS * factor(harness.now - sent_new);
                harness.complete(id, 0, Outcome::Success, latency);
            }
        }
        votes.extend(harness.tick_and_vote(25));
    }
    votes
}

/// A released fleet whose latency is known, then a build on trial at its second stage.
fn trial_with_baseline() -> Harness {
    let mut harness = released_fleet();
    timed_traffic(&mut harness, 2_000, |_| 1);
    harness.send(Event::RolloutUpdated(rollout_status(NEW, 1, RolloutPhase::OnTrial, 0.5)));
    harness.now += 100 * MS;
    harness.set_endpoints(
        (1..=6)
            .map(|m| endpoint_record(m, OLD))
            .chain([endpoint_record(8, NEW), endpoint_record(9, NEW)])
            .collect(),
    );
    harness
}

#[test]
fn a_build_that_slows_the_whole_fleet_is_rolled_back() {
    let mut harness = trial_with_baseline();
    // The effect stays for a second after the last request to the build.
    let votes = timed_traffic(&mut harness, 16_000, |since_new| if since_new > 1_000 * MS { 1 } else { 3 });
    assert!(votes.contains(&Verdict::Hold) && votes.contains(&Verdict::RollBack), "{votes:?}");
}

#[test]
fn a_stage_change_during_the_fleet_test_ends_in_a_verdict() {
    for (slow_after, expected) in [(3, Verdict::RollBack), (1, Verdict::Abstain)] {
        let mut harness = trial_with_baseline();
        let mut votes = Vec::new();
        while !votes.contains(&Verdict::Hold) {
            votes.extend(timed_traffic(&mut harness, 100, |_| 3));
        }
        harness.send(Event::RolloutUpdated(rollout_status(NEW, 2, RolloutPhase::OnTrial, 1.0)));
        // The earlier endpoints go one by one, and the build is withheld from none of the requests.
        let mut to_new = 0;
        for left in (0..6).rev() {
            harness.set_endpoints(
                (1..=left)
                    .map(|m| endpoint_record(m, OLD))
                    .chain((8..=13).map(|m| endpoint_record(m, NEW)))
                    .collect(),
            );
            to_new +=
                (0..40).filter(|_| harness.serve(READ, |_| Outcome::Success) > Some(EndpointId(7))).count();
            // A moment of quick answers says nothing yet, whatever follows.
            votes.extend(timed_traffic(&mut harness, 600, |_| if left == 4 { 1 } else { slow_after }));
        }
        assert!(to_new > 80, "{to_new} of 240 requests went to the endpoints that stay");
        assert_eq!(votes.last(), Some(&expected), "{votes:?}");
    }
}

/// Danger: a dependency slows every endpoint, and the build is blamed.
#[test]
fn a_slow_dependency_does_not_condemn_a_build() {
    let mut harness = trial_with_baseline();
    let votes = timed_traffic(&mut harness, 12_000, |_| 3);
    assert!(!votes.contains(&Verdict::RollBack), "{votes:?}");
    assert!(votes.contains(&Verdict::Abstain), "held for no longer than the test takes: {votes:?}");
}

#[test]
fn a_build_that_is_only_slow_is_rolled_back() {
    let mut harness = trial_with_baseline();
    let mut votes = Vec::new();
    let until = harness.now + 12_000 * MS;
    while harness.now < until {
        for _ in 0..4 {
            let (id, actions) = harness.request(READ);
            if let Some(endpoint) = forwarded_to(&actions) {
                harness.complete(id, 0, Outcome::Success, if endpoint.0 >= 8 { 120 * MS } else { 40 * MS });
            }
        }
        votes.extend(harness.tick_and_vote(25));
    }
    assert!(votes.contains(&Verdict::RollBack), "{votes:?}");
}

/// A released fleet whose latency is known at low traffic, then a build on trial at its second stage, with these
/// settings.
fn large_tier_trial(config: Config) -> Harness {
    let mut harness = Harness::new(config);
    let old: Vec<_> = (1..=6).map(|m| endpoint_record(m, OLD)).collect();
    harness.set_endpoints(old.clone());
    harness.send(Event::RolloutUpdated(rollout_status(OLD, 2, RolloutPhase::Released, 1.0)));
    light_traffic(&mut harness, 90, |_| 40 * MS);
    harness.send(Event::RolloutUpdated(rollout_status(NEW, 1, RolloutPhase::OnTrial, 0.5)));
    harness
        .set_endpoints(old.into_iter().chain([endpoint_record(8, NEW), endpoint_record(9, NEW)]).collect());
    harness
}

fn slow_at_new(endpoint: EndpointId) -> Micros {
    if endpoint.0 >= 8 { 150 * MS } else { 40 * MS }
}

/// Danger: an instance with a handful of outcomes says nothing of a slow build.
#[test]
fn few_latencies_suffice_if_many_instances_must_agree() {
    let mut agreed = large_tier_trial(large_tier(300, 15));
    assert!(light_traffic(&mut agreed, 100, slow_at_new).contains(&Verdict::RollBack), "fifteen must agree");
    let mut alone = large_tier_trial(large_tier(300, 1));
    assert!(
        !light_traffic(&mut alone, 100, slow_at_new).contains(&Verdict::RollBack),
        "alone it must be surer"
    );
}

#[test]
fn a_slow_fleet_does_not_condemn_a_build_at_low_traffic() {
    let mut harness = large_tier_trial(large_tier(300, 15));
    assert!(!light_traffic(&mut harness, 150, |_| 90 * MS).contains(&Verdict::RollBack));
}

/// Danger: a bad build is released, and its successor is held for it.
#[test]
fn a_build_is_not_blamed_for_a_slowdown_before_it_mattered() {
    let slowed = |before: Micros| {
        let mut harness = Harness::new(large_tier(2, 1));
        let old: Vec<_> = (1..=6).map(|m| endpoint_record(m, OLD)).collect();
        harness.set_endpoints(old.clone());
        harness.send(Event::RolloutUpdated(rollout_status(OLD, 2, RolloutPhase::Released, 1.0)));
        light_traffic(&mut harness, 150, |_| 40 * MS);
        harness.send(Event::RolloutUpdated(rollout_status(NEW, 0, RolloutPhase::OnTrial, 0.1)));
        harness.set_endpoints(old.iter().copied().chain([endpoint_record(8, NEW)]).collect());
        light_traffic(&mut harness, 60, |_| before);
        harness.send(Event::RolloutUpdated(rollout_status(NEW, 1, RolloutPhase::OnTrial, 0.5)));
        harness.tick(25);
        harness.set_endpoints(
            old.iter().copied().chain([endpoint_record(8, NEW), endpoint_record(9, NEW)]).collect(),
        );
        light_traffic(&mut harness, 60, |_| 100 * MS);
        harness.log.iter().any(|line| line.contains("withholding"))
    };
    assert!(!slowed(100 * MS), "all was as slow before the build mattered");
    assert!(slowed(40 * MS), "all grew slow with it");
}

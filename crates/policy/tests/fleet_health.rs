//! Verdicts on builds that are slow, or that slow down all endpoints.

mod common;

use common::{
    Harness, MS, NEW, OLD, READ, endpoint_record, forwarded_to, large_tier_config, released_fleet,
    rollout_status, run_light_traffic,
};
use garnetcrank_policy::api::{Config, EndpointId, Event, Micros, Outcome, RolloutPhase, Verdict};

/// Runs traffic for `ms` milliseconds in which the latency at all endpoints is 40 ms times `slowdown`, a
/// function of the time since the last attempt at a new endpoint. Returns the votes cast.
fn run_slowed_traffic(harness: &mut Harness, ms: Micros, slowdown: impl Fn(Micros) -> u64) -> Vec<Verdict> {
    let mut votes = Vec::new();
    let mut last_sent_to_new = harness.now;
    let end = harness.now + ms * MS;
    while harness.now < end {
        for _ in 0..4 {
            let (id, actions) = harness.request(READ);
            if let Some(endpoint) = forwarded_to(&actions) {
                if endpoint.0 >= 8 {
                    last_sent_to_new = harness.now;
                }
                let latency = 40 * MS * slowdown(harness.now - last_sent_to_new);
                harness.complete(id, 0, Outcome::Success, latency);
            }
        }
        votes.extend(harness.tick_and_vote(25));
    }
    votes
}

/// Creates a released fleet with a latency baseline, then puts a build on trial at its second stage.
fn trial_with_baseline() -> Harness {
    let mut harness = released_fleet();
    run_slowed_traffic(&mut harness, 2_000, |_| 1);
    harness.send(Event::RolloutUpdated(rollout_status(NEW, 1, RolloutPhase::OnTrial, 0.5)));
    harness.now += 100 * MS;
    harness.set_endpoints(
        (1..=6)
            .map(|endpoint| endpoint_record(endpoint, OLD))
            .chain([endpoint_record(8, NEW), endpoint_record(9, NEW)])
            .collect(),
    );
    harness
}

#[test]
fn a_build_that_slows_all_endpoints_is_rolled_back() {
    let mut harness = trial_with_baseline();
    // The slowdown lasts for a second after the last attempt at the build.
    let votes =
        run_slowed_traffic(&mut harness, 16_000, |since_new| if since_new > 1_000 * MS { 1 } else { 3 });
    assert!(votes.contains(&Verdict::Hold) && votes.contains(&Verdict::RollBack), "{votes:?}");
}

#[test]
fn a_stage_change_while_a_build_is_withheld_ends_in_a_verdict() {
    for (slow_after, expected) in [(3, Verdict::RollBack), (1, Verdict::Abstain)] {
        let mut harness = trial_with_baseline();
        let mut votes = Vec::new();
        while !votes.contains(&Verdict::Hold) {
            votes.extend(run_slowed_traffic(&mut harness, 100, |_| 3));
        }
        harness.send(Event::RolloutUpdated(rollout_status(NEW, 2, RolloutPhase::OnTrial, 1.0)));
        // The earlier endpoints are removed one by one, and the build is not withheld meanwhile.
        let mut to_new = 0;
        for earlier_endpoints in (0..6).rev() {
            harness.set_endpoints(
                (1..=earlier_endpoints)
                    .map(|endpoint| endpoint_record(endpoint, OLD))
                    .chain((8..=13).map(|endpoint| endpoint_record(endpoint, NEW)))
                    .collect(),
            );
            to_new +=
                (0..40).filter(|_| harness.serve(READ, |_| Outcome::Success) > Some(EndpointId(7))).count();
            // A short period of low latency must not decide the verdict.
            votes.extend(run_slowed_traffic(&mut harness, 600, |_| {
                if earlier_endpoints == 4 { 1 } else { slow_after }
            }));
        }
        assert!(to_new > 80, "only {to_new} of 240 requests went to the new endpoints");
        assert_eq!(votes.last(), Some(&expected), "{votes:?}");
    }
}

/// Guards against the rollback of a good build: a slow dependency slows down every endpoint during its trial.
#[test]
fn a_slow_dependency_does_not_roll_a_build_back() {
    let mut harness = trial_with_baseline();
    let votes = run_slowed_traffic(&mut harness, 12_000, |_| 3);
    assert!(!votes.contains(&Verdict::RollBack), "{votes:?}");
    assert!(
        votes.contains(&Verdict::Abstain),
        "the hold outlasted the test that withholds the build: {votes:?}"
    );
}

#[test]
fn a_build_that_is_only_slow_is_rolled_back() {
    let mut harness = trial_with_baseline();
    let mut votes = Vec::new();
    let end = harness.now + 12_000 * MS;
    while harness.now < end {
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

/// Creates a released fleet under `config` with a latency baseline from light traffic, then puts a build on
/// trial at its second stage.
fn large_tier_trial(config: Config) -> Harness {
    let mut harness = Harness::new(config);
    let old: Vec<_> = (1..=6).map(|endpoint| endpoint_record(endpoint, OLD)).collect();
    harness.set_endpoints(old.clone());
    harness.send(Event::RolloutUpdated(rollout_status(OLD, 2, RolloutPhase::Released, 1.0)));
    run_light_traffic(&mut harness, 90, |_| 40 * MS);
    harness.send(Event::RolloutUpdated(rollout_status(NEW, 1, RolloutPhase::OnTrial, 0.5)));
    harness
        .set_endpoints(old.into_iter().chain([endpoint_record(8, NEW), endpoint_record(9, NEW)]).collect());
    harness
}

fn slow_at_new(endpoint: EndpointId) -> Micros {
    if endpoint.0 >= 8 { 150 * MS } else { 40 * MS }
}

/// Guards against the release of a slow build: each instance of a large tier has too few outcomes to assess
/// it alone.
#[test]
fn few_latencies_suffice_for_a_vote_with_a_large_quorum() {
    let mut large_quorum = large_tier_trial(large_tier_config(300, 15));
    assert!(
        run_light_traffic(&mut large_quorum, 100, slow_at_new).contains(&Verdict::RollBack),
        "no rollback vote although 15 votes are needed"
    );
    let mut single_vote = large_tier_trial(large_tier_config(300, 1));
    assert!(
        !run_light_traffic(&mut single_vote, 100, slow_at_new).contains(&Verdict::RollBack),
        "rollback vote on few latencies although one vote suffices"
    );
}

#[test]
fn a_slow_fleet_does_not_roll_a_build_back_at_low_traffic() {
    let mut harness = large_tier_trial(large_tier_config(300, 15));
    assert!(!run_light_traffic(&mut harness, 150, |_| 90 * MS).contains(&Verdict::RollBack));
}

/// Guards against holding a good build: the released build before it already slowed down all endpoints.
#[test]
fn a_build_is_not_withheld_for_a_slowdown_that_preceded_its_second_stage() {
    let is_withheld = |first_stage_latency: Micros| {
        let mut harness = Harness::new(large_tier_config(2, 1));
        let old: Vec<_> = (1..=6).map(|endpoint| endpoint_record(endpoint, OLD)).collect();
        harness.set_endpoints(old.clone());
        harness.send(Event::RolloutUpdated(rollout_status(OLD, 2, RolloutPhase::Released, 1.0)));
        run_light_traffic(&mut harness, 150, |_| 40 * MS);
        harness.send(Event::RolloutUpdated(rollout_status(NEW, 0, RolloutPhase::OnTrial, 0.1)));
        harness.set_endpoints(old.iter().copied().chain([endpoint_record(8, NEW)]).collect());
        run_light_traffic(&mut harness, 60, |_| first_stage_latency);
        harness.send(Event::RolloutUpdated(rollout_status(NEW, 1, RolloutPhase::OnTrial, 0.5)));
        harness.tick(25);
        harness.set_endpoints(
            old.iter().copied().chain([endpoint_record(8, NEW), endpoint_record(9, NEW)]).collect(),
        );
        run_light_traffic(&mut harness, 60, |_| 100 * MS);
        harness.log.iter().any(|line| line.contains("withholding"))
    };
    assert!(!is_withheld(100 * MS), "withheld although all endpoints were as slow in the first stage");
    assert!(is_withheld(40 * MS), "not withheld although all endpoints became slow in the second stage");
}

//! Exposure caps of builds on trial, tested at their boundaries.

mod common;

use common::{BOOK, Harness, MS, NEW, OLD, PAY, READ, config, endpoint_record, forwarded_to, rollout_status};
use garnetcrank_policy::api::{ClassId, EndpointId, Event, KeyId, Outcome, RolloutPhase};

/// Sends `requests` requests of a class while only endpoints of the build on trial exist. Returns the
/// positions, from 1, of the forwarded ones.
fn forwarded_to_trial(harness: &mut Harness, class: ClassId, requests: usize) -> Vec<usize> {
    (1..=requests).filter(|_| forwarded_to(&harness.request(class).1).is_some()).collect()
}

#[test]
fn exposure_is_capped_at_the_allowance_plus_the_cap_times_requests() {
    let mut harness = Harness::on_trial(config(), vec![endpoint_record(1, NEW)]);
    // The allowance admits two attempts; at a cap of 0.1 the third needs ten requests, and the fourth twenty.
    assert_eq!(forwarded_to_trial(&mut harness, READ, 20), [1, 2, 10, 20]);
}

#[test]
fn exposure_is_counted_over_a_sliding_window() {
    let mut harness = Harness::on_trial(config(), vec![endpoint_record(1, NEW)]);
    assert_eq!(forwarded_to_trial(&mut harness, READ, 3), [1, 2]);
    harness.now += 2_000 * MS;
    assert_eq!(
        forwarded_to_trial(&mut harness, READ, 1),
        [0; 0],
        "attempts at the edge of the window were not counted"
    );
    harness.now += 10 * MS;
    assert_eq!(forwarded_to_trial(&mut harness, READ, 3), [1, 2]);
}

#[test]
fn exposure_is_counted_by_class_if_configured() {
    let mut by_class = config();
    by_class.rollout.exposure_by_class = true;
    let mut harness = Harness::on_trial(by_class, vec![endpoint_record(1, NEW)]);
    assert_eq!(forwarded_to_trial(&mut harness, READ, 3), [1, 2]);
    assert_eq!(forwarded_to_trial(&mut harness, PAY, 3), [1, 2]);
    let mut harness = Harness::on_trial(config(), vec![endpoint_record(1, NEW)]);
    assert_eq!(forwarded_to_trial(&mut harness, READ, 3), [1, 2]);
    assert_eq!(forwarded_to_trial(&mut harness, PAY, 3), [0; 0]);
}

#[test]
fn a_zero_cap_allows_no_attempt() {
    let mut harness = Harness::on_trial(config(), vec![endpoint_record(1, NEW)]);
    harness.send(Event::RolloutUpdated(rollout_status(NEW, 0, RolloutPhase::RollingBack, 0.0)));
    assert_eq!(forwarded_to_trial(&mut harness, READ, 30), [0; 0]);
}

#[test]
fn a_lower_cap_restarts_the_count_after_the_grace() {
    let mut harness = Harness::on_trial(config(), vec![endpoint_record(1, NEW)]);
    harness.send(Event::RolloutUpdated(rollout_status(NEW, 1, RolloutPhase::OnTrial, 0.5)));
    assert_eq!(forwarded_to_trial(&mut harness, READ, 4), [1, 2, 3, 4]);
    harness.send(Event::RolloutUpdated(rollout_status(NEW, 0, RolloutPhase::RollingBack, 0.1)));
    assert_eq!(forwarded_to_trial(&mut harness, READ, 5), [0; 0], "the lower cap did not apply at once");
    harness.now += 500 * MS;
    assert_eq!(
        forwarded_to_trial(&mut harness, READ, 9),
        [1, 2],
        "the count did not restart with the allowance of two"
    );
}

#[test]
fn a_build_without_a_status_is_in_the_first_stage() {
    let mut harness = Harness::new(config());
    harness.set_endpoints(vec![endpoint_record(1, NEW)]);
    harness.send(Event::RolloutUpdated(rollout_status(OLD, 2, RolloutPhase::Released, 1.0)));
    assert_eq!(forwarded_to_trial(&mut harness, READ, 10), [1, 2, 10]);
    harness.send(Event::RolloutUpdated(rollout_status(NEW, 2, RolloutPhase::Released, 1.0)));
    assert_eq!(forwarded_to_trial(&mut harness, READ, 3), [1, 2, 3], "a released build was capped");
}

#[test]
fn guarded_stages_admit_idempotent_classes_only() {
    let mut guarded = config();
    guarded.rollout.guarded_stages = 1;
    let mut harness = Harness::on_trial(guarded, vec![endpoint_record(1, NEW)]);
    assert_eq!(forwarded_to_trial(&mut harness, PAY, 1), [0; 0]);
    assert_eq!(forwarded_to_trial(&mut harness, BOOK, 1), [0; 0]);
    assert_eq!(forwarded_to_trial(&mut harness, READ, 1), [1]);
    harness.send(Event::RolloutUpdated(rollout_status(NEW, 1, RolloutPhase::OnTrial, 0.5)));
    assert_eq!(forwarded_to_trial(&mut harness, PAY, 1), [1]);
}

#[test]
fn a_key_answered_by_the_build_on_trial_is_not_sent_to_an_earlier_build() {
    let mut forward_only = config();
    forward_only.rollout.forward_only_keys = true;
    let mut harness = Harness::on_trial(forward_only, vec![endpoint_record(1, NEW)]);
    let forward = |harness: &mut Harness, key: u32| {
        let (id, actions) = harness.request_with_key(READ, Some(KeyId(key)));
        (id, forwarded_to(&actions))
    };
    let (id, first) = forward(&mut harness, 5);
    assert_eq!(first, Some(EndpointId(1)));
    harness.complete(id, 0, Outcome::Success, 20 * MS);
    harness.set_endpoints(vec![endpoint_record(2, OLD)]);
    assert_eq!(forward(&mut harness, 5).1, None);
    assert_eq!(forward(&mut harness, 6).1, Some(EndpointId(2)));
    harness.send(Event::RolloutUpdated(rollout_status(NEW, 0, RolloutPhase::RollingBack, 0.0)));
    assert_eq!(forward(&mut harness, 5).1, Some(EndpointId(2)));
}

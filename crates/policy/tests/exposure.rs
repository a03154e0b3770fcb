//! Exposure caps of builds on trial: just inside and just outside.

mod common;

use common::{BOOK, Harness, MS, NEW, OLD, PAY, READ, config, endpoint_record, forwarded_to, rollout_status};
use garnetcrank_policy::api::{ClassId, EndpointId, Event, KeyId, Outcome, RolloutPhase};

/// Which of `n` requests of a class are forwarded when only an endpoint of the build on trial is there.
fn forwarded_to_trial(harness: &mut Harness, class: ClassId, n: usize) -> Vec<usize> {
    (1..=n).filter(|_| forwarded_to(&harness.request(class).1).is_some()).collect()
}

#[test]
fn exposure_is_capped_at_the_allowance_plus_the_cap_times_requests() {
    let mut harness = Harness::on_trial(config(), vec![endpoint_record(1, NEW)]);
    // Two by the allowance; the third attempt needs ten requests at a cap of 0.1, the fourth twenty.
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
        "attempts still count at the window's edge"
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
    assert_eq!(forwarded_to_trial(&mut harness, READ, 5), [0; 0], "the lower cap binds at once here");
    harness.now += 500 * MS;
    assert_eq!(
        forwarded_to_trial(&mut harness, READ, 9),
        [1, 2],
        "counted anew: the allowance of two, and requests from now on"
    );
}

#[test]
fn a_build_without_a_status_is_in_the_first_stage() {
    let mut harness = Harness::new(config());
    harness.set_endpoints(vec![endpoint_record(1, NEW)]);
    harness.send(Event::RolloutUpdated(rollout_status(OLD, 2, RolloutPhase::Released, 1.0)));
    assert_eq!(forwarded_to_trial(&mut harness, READ, 10), [1, 2, 10]);
    harness.send(Event::RolloutUpdated(rollout_status(NEW, 2, RolloutPhase::Released, 1.0)));
    assert_eq!(forwarded_to_trial(&mut harness, READ, 3), [1, 2, 3], "no cap once it is released");
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
fn a_key_answered_by_the_build_on_trial_goes_to_no_earlier_build() {
    let mut one_way = config();
    one_way.rollout.forward_only_keys = true;
    let mut harness = Harness::on_trial(one_way, vec![endpoint_record(1, NEW)]);
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

//! Votes on the newest build: when they are cast, renewed and withdrawn, and when none is cast.

mod common;

use common::{
    BOOK, Harness, MS, NEW, OLD, PAY, READ, config, endpoint_record, fails_at_new, is_new, mixed_fleet,
    rollout_status, trial_with_vote_mode,
};
use garnetcrank_policy::api::{
    Action, Build, ClassId, EndpointId, EndpointRecord, EndpointUpdate, Event, Micros, Outcome, RolloutPhase,
    Verdict, VoteMode, VoteResult,
};

fn succeeds(_: ClassId, _: EndpointId) -> Outcome {
    Outcome::Success
}

#[test]
fn a_failing_build_is_held_and_rolled_back_if_the_failure_persists() {
    let mut harness = trial_with_vote_mode(VoteMode::Timer);
    let votes = harness.run_traffic(2_500, fails_at_new);
    assert!(votes.contains(&Verdict::Hold), "{votes:?}");
    assert!(!votes.contains(&Verdict::RollBack), "rollback vote before 3 s: {votes:?}");
    let votes = harness.run_traffic(4_000, fails_at_new);
    assert!(votes.contains(&Verdict::RollBack), "{votes:?}");
}

#[test]
fn a_hold_is_withdrawn_if_the_failure_ends() {
    let mut harness = trial_with_vote_mode(VoteMode::Timer);
    harness.set_endpoints(vec![
        endpoint_record(1, OLD),
        endpoint_record(2, OLD),
        endpoint_record(6, NEW),
        endpoint_record(7, NEW),
        endpoint_record(8, NEW),
        endpoint_record(9, NEW),
    ]);
    let count = std::cell::Cell::new(0u32);
    let votes = harness.run_traffic(1_500, |_, endpoint| {
        count.set(count.get() + u32::from(endpoint.0 >= 6));
        if endpoint.0 >= 6 && count.get().is_multiple_of(4) { Outcome::Error } else { Outcome::Success }
    });
    assert!(votes.contains(&Verdict::Hold), "{votes:?}");
    let votes = harness.run_traffic(6_000, succeeds);
    assert!(votes.contains(&Verdict::Abstain) && !votes.contains(&Verdict::RollBack), "{votes:?}");
}

#[test]
fn a_healthy_build_gets_no_vote_in_timer_mode() {
    assert_eq!(trial_with_vote_mode(VoteMode::Timer).run_traffic(8_000, succeeds), []);
}

#[test]
fn a_healthy_build_is_advanced_after_the_soak() {
    for mode in [VoteMode::Any, VoteMode::InstanceCount] {
        let mut harness = trial_with_vote_mode(mode);
        let started = Some(harness.now);
        harness.send(Event::EndpointsUpdated(EndpointUpdate::Delta(vec![EndpointRecord {
            started,
            ..endpoint_record(9, NEW)
        }])));
        assert_eq!(harness.run_traffic(2_800, succeeds), [], "{mode:?}: vote before the end of the soak");
        assert!(harness.run_traffic(2_000, succeeds).contains(&Verdict::Advance), "{mode:?}");
    }
}

#[test]
fn a_failing_build_is_neither_advanced_nor_held_without_timer_mode() {
    let mut harness = trial_with_vote_mode(VoteMode::Any);
    let votes = harness.run_traffic(8_000, fails_at_new);
    assert_eq!(votes.first(), Some(&Verdict::RollBack), "{votes:?}");
}

#[test]
fn an_instance_without_an_assessed_class_does_not_vote() {
    let mut harness = trial_with_vote_mode(VoteMode::Any);
    for _ in 0..400 {
        assert!(harness.tick(25).is_empty());
    }
}

#[test]
fn a_vote_is_renewed_before_its_ttl_ends() {
    let mut harness = trial_with_vote_mode(VoteMode::Any);
    let mut cast_at = Vec::new();
    for _ in 0..400 {
        harness.serve(READ, |_| Outcome::Success);
        let votes = harness.tick_and_vote(25);
        cast_at.extend(votes.iter().map(|_| harness.now));
    }
    let gaps: Vec<Micros> = cast_at.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(!gaps.is_empty() && gaps.iter().all(|gap| *gap < 3_000 * MS && *gap > 1_500 * MS), "{gaps:?}");
}

#[test]
fn rate_limited_votes_back_off() {
    let mut harness = trial_with_vote_mode(VoteMode::Timer);
    let mut cast_at = Vec::new();
    for _ in 0..160 {
        for class in [READ, BOOK, PAY] {
            harness.serve(class, |endpoint| fails_at_new(class, endpoint));
        }
        for action in harness.tick(22) {
            if matches!(action, Action::Vote { .. }) {
                cast_at.push(harness.now);
                harness.send(Event::VoteCompleted(VoteResult::RateLimited, None));
            }
        }
    }
    let gaps: Vec<Micros> = cast_at.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(gaps.len() >= 2 && gaps.iter().all(|gap| *gap >= 125 * MS), "{gaps:?}");
    assert!(gaps.len() < 12, "the back-off does not grow: {gaps:?}");
}

#[test]
fn a_released_build_can_be_rolled_back_and_a_withdrawn_one_gets_no_vote() {
    let mut harness = trial_with_vote_mode(VoteMode::Timer);
    harness.run_traffic(1_000, succeeds);
    harness.set_endpoints(vec![endpoint_record(8, NEW), endpoint_record(9, NEW)]);
    harness.send(Event::RolloutUpdated(rollout_status(NEW, 2, RolloutPhase::Released, 1.0)));
    assert!(harness.run_traffic(8_000, fails_at_new).contains(&Verdict::RollBack));
    harness.send(Event::RolloutUpdated(rollout_status(NEW, 2, RolloutPhase::RollingBack, 0.0)));
    assert_eq!(harness.run_traffic(3_000, fails_at_new), []);
}

#[test]
fn a_new_build_starts_with_an_empty_record() {
    let mut harness = trial_with_vote_mode(VoteMode::Timer);
    assert!(harness.run_traffic(5_000, fails_at_new).contains(&Verdict::RollBack));
    harness.send(Event::RolloutUpdated(rollout_status(NEW, 1, RolloutPhase::Withdrawn, 0.0)));
    harness.set_endpoints(vec![
        endpoint_record(1, OLD),
        endpoint_record(2, OLD),
        endpoint_record(3, OLD),
        endpoint_record(8, Build(9)),
        endpoint_record(9, Build(9)),
    ]);
    harness.send(Event::RolloutUpdated(rollout_status(Build(9), 1, RolloutPhase::OnTrial, 0.5)));
    assert_eq!(harness.run_traffic(6_000, succeeds), []);
}

#[test]
fn failures_shared_with_the_earlier_build_do_not_roll_the_new_one_back() {
    let mut harness = trial_with_vote_mode(VoteMode::Timer);
    let attempts = std::cell::Cell::new(0u32);
    let votes = harness.run_traffic(8_000, |_, _| {
        attempts.set(attempts.get() + 1);
        if attempts.get().is_multiple_of(4) { Outcome::Error } else { Outcome::Success }
    });
    assert!(!votes.contains(&Verdict::RollBack), "{votes:?}");
}

/// Creates one of 300 instances, in a tier that needs `rollback_quorum` votes for a rollback.
fn instance_of_large_tier(mode: VoteMode, rollback_quorum: u32) -> Harness {
    let mut config = config();
    config.instance_count = 300;
    config.rollout.mode = mode;
    config.rollout.rollback_quorum = rollback_quorum;
    let mut harness = Harness::on_trial(config, mixed_fleet());
    harness.send(Event::RolloutUpdated(rollout_status(NEW, 1, RolloutPhase::OnTrial, 0.5)));
    harness
}

/// Runs traffic of two classes in turn until the build on trial has the given number of outcomes, then 4 s of
/// traffic to the earlier build alone. Returns the votes cast.
fn run_traffic_until(
    harness: &mut Harness,
    outcomes: u32,
    outcome_of: impl Fn(EndpointId) -> Outcome,
) -> Vec<Verdict> {
    let mut votes = Vec::new();
    let new_outcomes = std::cell::Cell::new(0);
    for i in 0..1_000 {
        harness.serve([READ, BOOK][i % 2], |endpoint| {
            new_outcomes.set(new_outcomes.get() + u32::from(is_new(endpoint)));
            outcome_of(endpoint)
        });
        if new_outcomes.get() >= outcomes {
            break;
        }
    }
    assert!(
        (outcomes..outcomes + 4).contains(&new_outcomes.get()),
        "expected {outcomes} outcomes and up to 3 more from retries, got {}",
        new_outcomes.get()
    );
    harness.send(Event::RolloutUpdated(rollout_status(NEW, 1, RolloutPhase::OnTrial, 0.0)));
    for _ in 0..80 {
        harness
            .serve(READ, |endpoint| if is_new(endpoint) { outcome_of(endpoint) } else { Outcome::Success });
        votes.extend(harness.tick_and_vote(50));
    }
    votes
}

/// Guards against the release of a build whose requests time out: each of hundreds of instances has only a
/// few outcomes per stage, too few to assess a class.
#[test]
fn few_outcomes_suffice_for_a_vote_with_a_large_quorum() {
    let times_out_at_new = |endpoint| if is_new(endpoint) { Outcome::TimedOut } else { Outcome::Success };
    let votes = run_traffic_until(&mut instance_of_large_tier(VoteMode::Timer, 15), 6, times_out_at_new);
    assert!(votes.contains(&Verdict::Hold) && votes.contains(&Verdict::RollBack), "{votes:?}");
    assert_eq!(
        run_traffic_until(&mut instance_of_large_tier(VoteMode::Timer, 1), 6, times_out_at_new),
        [],
        "vote on few outcomes although one vote suffices for a rollback"
    );
}

#[test]
fn outcomes_of_all_classes_together_advance_a_build_with_a_large_quorum() {
    let succeeds = |_| Outcome::Success;
    let votes = run_traffic_until(&mut instance_of_large_tier(VoteMode::InstanceCount, 15), 6, succeeds);
    assert!(votes.contains(&Verdict::Advance), "{votes:?}");
    // No vote is cast if one vote suffices, or on fewer outcomes.
    assert_eq!(run_traffic_until(&mut instance_of_large_tier(VoteMode::InstanceCount, 1), 12, succeeds), []);
    assert_eq!(run_traffic_until(&mut instance_of_large_tier(VoteMode::InstanceCount, 15), 3, succeeds), []);
}

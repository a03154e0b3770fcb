//! Outcomes that lead to a rollback vote, and outcomes that do not.

mod common;

use common::{MS, NEW, READ, endpoint_record, fleet_with_new, second_stage_trial};
use garnetcrank_policy::api::{
    Action, ClassId, EndpointId, EndpointRecord, EndpointUpdate, Event, Outcome, Verdict,
};

/// Guards against the rollback of a good build: one of its endpoints fails quickly among others that succeed.
#[test]
fn one_failing_endpoint_among_several_does_not_roll_a_build_back() {
    let mut harness = second_stage_trial(fleet_with_new(&[7, 8, 9]));
    let votes = harness
        .run_traffic(8_000, |_, endpoint| if endpoint.0 == 9 { Outcome::Error } else { Outcome::Success });
    assert!(!votes.contains(&Verdict::RollBack), "{votes:?}");
}

#[test]
fn a_failing_build_is_not_rolled_back_once_most_of_its_endpoints_are_healthy() {
    let mut harness = second_stage_trial(fleet_with_new(&[7]));
    let failing = |_, endpoint: EndpointId| if endpoint.0 == 7 { Outcome::Error } else { Outcome::Success };
    assert!(harness.run_traffic(1_500, failing).contains(&Verdict::Hold));
    harness.set_endpoints(fleet_with_new(&[7, 8, 9]));
    let votes = harness.run_traffic(12_000, failing);
    assert!(
        !votes.contains(&Verdict::RollBack),
        "rollback vote although one of three endpoints fails: {votes:?}"
    );
}

#[test]
fn a_failing_class_on_the_only_endpoint_rolls_the_build_back() {
    let mut harness = second_stage_trial(fleet_with_new(&[9]));
    let failing = |class, endpoint: EndpointId| {
        if endpoint.0 == 9 && class == READ { Outcome::Error } else { Outcome::Success }
    };
    assert!(harness.run_traffic(6_500, failing).contains(&Verdict::RollBack));
}

#[test]
fn conclusive_errors_hold_a_build_before_any_class_has_enough_outcomes() {
    let mut harness = second_stage_trial(fleet_with_new(&[8, 9]));
    let mut outcomes = 0;
    let mut requests = 0;
    while outcomes < 12 {
        // Four outcomes of each class at the new endpoints; without conclusive errors, assessing a class takes
        // ten.
        let class = ClassId(outcomes / 4);
        let outcome_of =
            |endpoint: EndpointId| if endpoint.0 >= 8 { Outcome::Error } else { Outcome::Success };
        outcomes += usize::from(harness.serve(class, outcome_of).is_some_and(|endpoint| endpoint.0 >= 8));
        requests += 1;
        assert!(requests < 2_000, "the build on trial receives no traffic");
    }
    let actions = harness.tick(25);
    assert!(matches!(actions[..], [Action::Vote { verdict: Verdict::Hold, .. }]), "{actions:?}");
}

#[test]
fn timeouts_at_warming_endpoints_do_not_count_against_a_build() {
    let mut harness = second_stage_trial(fleet_with_new(&[]));
    let started = Some(harness.now);
    let warming = |endpoint| EndpointRecord { started, ..endpoint_record(endpoint, NEW) };
    harness.send(Event::EndpointsUpdated(EndpointUpdate::Delta(vec![warming(8), warming(9)])));
    let votes = harness
        .run_traffic(3_900, |_, endpoint| if endpoint.0 >= 8 { Outcome::TimedOut } else { Outcome::Success });
    assert_eq!(votes, []);
}

/// Guards against the rollback of a good build: load causes time-outs as easily as a faulty build does.
#[test]
fn a_few_timeouts_under_load_do_not_roll_a_build_back() {
    let mut harness = second_stage_trial(fleet_with_new(&[8, 9]));
    let count = std::cell::Cell::new(0u32);
    let votes = harness.run_traffic(8_000, |_, endpoint| {
        count.set(count.get() + u32::from(endpoint.0 >= 8));
        if endpoint.0 >= 8 && count.get().is_multiple_of(5) { Outcome::TimedOut } else { Outcome::Success }
    });
    assert!(!votes.contains(&Verdict::RollBack), "{votes:?}");
}

/// Guards against the release of a faulty build: its wrong responses look successful, and only clients report
/// them.
#[test]
fn flagged_responses_roll_a_build_back() {
    let mut harness = second_stage_trial(fleet_with_new(&[8, 9]));
    let mut votes = Vec::new();
    for _ in 0..240 {
        if let Some(endpoint) = harness.serve(READ, |_| Outcome::Success).filter(|endpoint| endpoint.0 >= 8) {
            harness.send(Event::ResponseFlagged { endpoint, class: READ, age: 10 * MS });
        }
        votes.extend(harness.tick_and_vote(25));
    }
    assert!(votes.contains(&Verdict::RollBack), "{votes:?}");
}

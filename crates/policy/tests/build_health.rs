//! Which outcomes condemn a build, and which do not.

mod common;

use common::{MS, NEW, READ, endpoint_record, fleet_with_new, stage_one_trial};
use garnetcrank_policy::api::{
    Action, ClassId, EndpointId, EndpointRecord, EndpointUpdate, Event, Outcome, Verdict,
};

/// Danger: one endpoint with quick errors among others fails a good build.
#[test]
fn one_failing_endpoint_among_several_does_not_condemn_a_build() {
    let mut harness = stage_one_trial(fleet_with_new(&[7, 8, 9]));
    let votes = harness.run_traffic(8_000, |_, m| if m.0 == 9 { Outcome::Error } else { Outcome::Success });
    assert!(!votes.contains(&Verdict::RollBack), "{votes:?}");
}

#[test]
fn a_failure_ends_once_most_endpoints_are_healthy() {
    let mut harness = stage_one_trial(fleet_with_new(&[7]));
    let failing = |_, m: EndpointId| if m.0 == 7 { Outcome::Error } else { Outcome::Success };
    assert!(harness.run_traffic(1_500, failing).contains(&Verdict::Hold));
    harness.set_endpoints(fleet_with_new(&[7, 8, 9]));
    let votes = harness.run_traffic(12_000, failing);
    assert!(!votes.contains(&Verdict::RollBack), "one of three: {votes:?}");
}

#[test]
fn a_failing_class_on_the_only_endpoint_condemns_the_build() {
    let mut harness = stage_one_trial(fleet_with_new(&[9]));
    let fails = |c, m: EndpointId| if m.0 == 9 && c == READ { Outcome::Error } else { Outcome::Success };
    assert!(harness.run_traffic(6_500, fails).contains(&Verdict::RollBack));
}

#[test]
fn obvious_errors_hold_a_build_before_any_class_has_enough_outcomes() {
    let mut harness = stage_one_trial(fleet_with_new(&[8, 9]));
    let mut at_new = 0;
    let mut turn = 0;
    while at_new < 12 {
        // As many of each class at the new endpoints: four, where ten make a judged class.
        let class = ClassId(at_new / 4);
        let outcome_of = |m: EndpointId| if m.0 >= 8 { Outcome::Error } else { Outcome::Success };
        at_new += usize::from(harness.serve(class, outcome_of).is_some_and(|m| m.0 >= 8));
        turn += 1;
        assert!(turn < 2_000, "the build gets no traffic");
    }
    let actions = harness.tick(25);
    assert!(matches!(actions[..], [Action::Vote { verdict: Verdict::Hold, .. }]), "{actions:?}");
}

#[test]
fn timeouts_at_warming_endpoints_are_no_evidence() {
    let mut harness = stage_one_trial(fleet_with_new(&[]));
    let started = Some(harness.now);
    let warming = |m| EndpointRecord { started, ..endpoint_record(m, NEW) };
    harness.send(Event::EndpointsUpdated(EndpointUpdate::Delta(vec![warming(8), warming(9)])));
    let votes =
        harness.run_traffic(3_900, |_, m| if m.0 >= 8 { Outcome::TimedOut } else { Outcome::Success });
    assert_eq!(votes, []);
}

/// Danger: time-outs come from load as easily as from a build.
#[test]
fn a_few_timeouts_under_load_do_not_condemn_a_build() {
    let mut harness = stage_one_trial(fleet_with_new(&[8, 9]));
    let count = std::cell::Cell::new(0u32);
    let votes = harness.run_traffic(8_000, |_, m| {
        count.set(count.get() + u32::from(m.0 >= 8));
        if m.0 >= 8 && count.get().is_multiple_of(5) { Outcome::TimedOut } else { Outcome::Success }
    });
    assert!(!votes.contains(&Verdict::RollBack), "{votes:?}");
}

/// Danger: answers are wrong but look served; only clients tell.
#[test]
fn flagged_answers_condemn_a_build() {
    let mut harness = stage_one_trial(fleet_with_new(&[8, 9]));
    let mut votes = Vec::new();
    for _ in 0..240 {
        if let Some(endpoint) = harness.serve(READ, |_| Outcome::Success).filter(|m| m.0 >= 8) {
            harness.send(Event::AnswerFlagged { endpoint, class: READ, age: 10 * MS });
        }
        votes.extend(harness.tick_and_vote(25));
    }
    assert!(votes.contains(&Verdict::RollBack), "{votes:?}");
}

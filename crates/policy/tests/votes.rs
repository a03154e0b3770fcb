//! The record's life and the votes that come of it.

mod common;

use common::*;
use garnetcrank_policy::api::*;

fn fleet() -> Vec<EndpointRecord> {
    vec![entry(1, OLD), entry(2, OLD), entry(3, OLD), entry(8, NEW), entry(9, NEW)]
}

fn is_new(machine: EndpointId) -> bool {
    machine.0 >= 8
}

fn fails_at_new(_: ClassId, machine: EndpointId) -> Outcome {
    if is_new(machine) { Outcome::Error } else { Outcome::Success }
}

fn served(_: ClassId, _: EndpointId) -> Outcome {
    Outcome::Success
}

fn in_mode(mode: VoteMode) -> Rig {
    let mut config = config();
    config.rollout.mode = mode;
    let mut rig = Rig::on_trial(config, fleet());
    rig.send(Event::RolloutUpdated(stage(NEW, 1, RolloutPhase::OnTrial, 0.5)));
    rig
}

#[test]
fn a_failing_build_holds_the_clock_and_goes_back_once_sustained() {
    let mut rig = in_mode(VoteMode::Timer);
    let votes = rig.traffic(2_500, fails_at_new);
    assert!(votes.contains(&Verdict::Hold), "{votes:?}");
    assert!(!votes.contains(&Verdict::RollBack), "not before 3 s: {votes:?}");
    let votes = rig.traffic(4_000, fails_at_new);
    assert!(votes.contains(&Verdict::RollBack), "{votes:?}");
}

#[test]
fn a_failure_that_ends_in_time_takes_the_hold_away() {
    let mut rig = in_mode(VoteMode::Timer);
    rig.list(vec![entry(1, OLD), entry(2, OLD), entry(6, NEW), entry(7, NEW), entry(8, NEW), entry(9, NEW)]);
    let count = std::cell::Cell::new(0u32);
    let votes = rig.traffic(1_500, |_, m| {
        count.set(count.get() + u32::from(m.0 >= 6));
        if m.0 >= 6 && count.get().is_multiple_of(4) { Outcome::Error } else { Outcome::Success }
    });
    assert!(votes.contains(&Verdict::Hold), "{votes:?}");
    let votes = rig.traffic(6_000, served);
    assert!(votes.contains(&Verdict::Abstain) && !votes.contains(&Verdict::RollBack), "{votes:?}");
}

#[test]
fn a_good_build_gets_no_vote_where_the_stage_moves_by_itself() {
    assert_eq!(in_mode(VoteMode::Timer).traffic(8_000, served), []);
}

#[test]
fn where_votes_move_the_build_it_is_voted_on_after_the_soak() {
    for mode in [VoteMode::Any, VoteMode::Share] {
        let mut rig = in_mode(mode);
        let started = Some(rig.now);
        rig.send(Event::EndpointsUpdated(EndpointUpdate::Delta(vec![EndpointRecord {
            started,
            ..entry(9, NEW)
        }])));
        assert_eq!(rig.traffic(2_800, served), [], "{mode:?}: not before the soak has passed");
        assert!(rig.traffic(2_000, served).contains(&Verdict::Advance), "{mode:?}");
    }
}

#[test]
fn a_failing_build_is_neither_voted_on_nor_held_where_holds_are_unknown() {
    let mut rig = in_mode(VoteMode::Any);
    let votes = rig.traffic(8_000, fails_at_new);
    assert_eq!(votes.first(), Some(&Verdict::RollBack), "{votes:?}");
}

#[test]
fn an_instance_without_a_judged_class_stays_silent() {
    let mut rig = in_mode(VoteMode::Any);
    for _ in 0..400 {
        assert!(rig.tick(25).is_empty());
    }
}

#[test]
fn a_standing_verdict_is_renewed_before_its_life_ends() {
    let mut rig = in_mode(VoteMode::Any);
    let mut cast = Vec::new();
    for _ in 0..400 {
        rig.serve(READ, |_| Outcome::Success);
        let votes = rig.tick_votes(25);
        cast.extend(votes.iter().map(|_| rig.now));
    }
    let gaps: Vec<Micros> = cast.windows(2).map(|w| w[1] - w[0]).collect();
    assert!(!gaps.is_empty() && gaps.iter().all(|g| *g < 3_000 * MS && *g > 1_500 * MS), "{gaps:?}");
}

#[test]
fn a_vote_without_room_is_tried_again_with_restraint() {
    let mut rig = in_mode(VoteMode::Timer);
    let mut cast = Vec::new();
    for _ in 0..160 {
        for class in [READ, BOOK, PAY] {
            rig.serve(class, |m| fails_at_new(class, m));
        }
        for action in rig.tick(22) {
            if matches!(action, Action::Vote { .. }) {
                cast.push(rig.now);
                rig.send(Event::VoteCompleted(VoteResult::RateLimited, None));
            }
        }
    }
    let gaps: Vec<Micros> = cast.windows(2).map(|w| w[1] - w[0]).collect();
    assert!(gaps.len() >= 2 && gaps.iter().all(|g| *g >= 125 * MS), "{gaps:?}");
    assert!(gaps.len() < 12, "waits grow: {gaps:?}");
}

#[test]
fn back_also_works_after_the_release_and_not_once_withdrawn() {
    let mut rig = in_mode(VoteMode::Timer);
    rig.traffic(1_000, served);
    rig.list(vec![entry(8, NEW), entry(9, NEW)]);
    rig.send(Event::RolloutUpdated(stage(NEW, 2, RolloutPhase::Released, 1.0)));
    assert!(rig.traffic(8_000, fails_at_new).contains(&Verdict::RollBack));
    rig.send(Event::RolloutUpdated(stage(NEW, 2, RolloutPhase::RollingBack, 0.0)));
    assert_eq!(rig.traffic(3_000, fails_at_new), []);
}

#[test]
fn a_new_build_starts_with_an_empty_record() {
    let mut rig = in_mode(VoteMode::Timer);
    assert!(rig.traffic(5_000, fails_at_new).contains(&Verdict::RollBack));
    rig.send(Event::RolloutUpdated(stage(NEW, 1, RolloutPhase::Withdrawn, 0.0)));
    rig.list(vec![entry(1, OLD), entry(2, OLD), entry(3, OLD), entry(8, Build(9)), entry(9, Build(9))]);
    rig.send(Event::RolloutUpdated(stage(Build(9), 1, RolloutPhase::OnTrial, 0.5)));
    assert_eq!(rig.traffic(6_000, served), []);
}

#[test]
fn what_fails_as_much_at_the_earlier_build_is_no_fault_of_the_new_one() {
    let mut rig = in_mode(VoteMode::Timer);
    let every_fourth = std::cell::Cell::new(0u32);
    let votes = rig.traffic(8_000, |_, _| {
        every_fourth.set(every_fourth.get() + 1);
        if every_fourth.get().is_multiple_of(4) { Outcome::Error } else { Outcome::Success }
    });
    assert!(!votes.contains(&Verdict::RollBack), "{votes:?}");
}

#[test]
fn equal_events_bring_equal_actions() {
    let run = || {
        let mut rig = in_mode(VoteMode::Timer);
        let mut all = Vec::new();
        for i in 0..300u32 {
            let class = ClassId(i as usize % 3);
            let (id, out) = rig.request(class);
            let machine = placed(&out);
            all.extend(out);
            rig.now += 3 * MS;
            if let Some(machine) = machine {
                all.extend(rig.done(id, 0, fails_at_new(class, machine), 30 * MS));
            }
            all.extend(rig.tick(7));
        }
        all
    };
    assert_eq!(run(), run());
}

/// One instance of hundreds: so many votes must agree before a build goes.
fn one_of_many(mode: VoteMode, back_votes: u32) -> Rig {
    let mut config = config();
    config.instance_count = 300;
    config.rollout.mode = mode;
    config.rollout.rollback_quorum = back_votes;
    let mut rig = Rig::on_trial(config, fleet());
    rig.send(Event::RolloutUpdated(stage(NEW, 1, RolloutPhase::OnTrial, 0.5)));
    rig
}

/// Traffic until so many outcomes have come from the build on trial, two classes in turn; then 4 s of the earlier
/// build's alone. The votes cast.
fn few(rig: &mut Rig, outcomes: u32, fate: impl Fn(EndpointId) -> Outcome) -> Vec<Verdict> {
    let mut votes = Vec::new();
    let seen = std::cell::Cell::new(0);
    for i in 0..1_000 {
        rig.serve([READ, BOOK][i % 2], |m| {
            seen.set(seen.get() + u32::from(is_new(m)));
            fate(m)
        });
        if seen.get() >= outcomes {
            break;
        }
    }
    assert!((outcomes..outcomes + 4).contains(&seen.get()), "a retry may add to them: {}", seen.get());
    rig.send(Event::RolloutUpdated(stage(NEW, 1, RolloutPhase::OnTrial, 0.0)));
    for _ in 0..80 {
        rig.serve(READ, |m| if is_new(m) { fate(m) } else { Outcome::Success });
        votes.extend(rig.tick_votes(50));
    }
    votes
}

#[test]
fn a_front_with_few_outcomes_is_heard_where_many_must_agree() {
    // Danger: of hundreds of fronts each has a handful of outcomes of a stage, none is judged, and a build that lets
    // requests time out is released and takes the fleet.
    let late = |m| if is_new(m) { Outcome::TimedOut } else { Outcome::Success };
    let votes = few(&mut one_of_many(VoteMode::Timer, 15), 6, late);
    assert!(votes.contains(&Verdict::Hold) && votes.contains(&Verdict::RollBack), "{votes:?}");
    assert_eq!(few(&mut one_of_many(VoteMode::Timer, 1), 6, late), [], "one vote alone would do it");
}

#[test]
fn a_good_build_goes_on_by_fronts_that_see_little_of_each_class() {
    let served = |_| Outcome::Success;
    let votes = few(&mut one_of_many(VoteMode::Share, 15), 6, served);
    assert!(votes.contains(&Verdict::Advance), "{votes:?}");
    // Where one vote moves it, and with fewer outcomes, nothing is said.
    assert_eq!(few(&mut one_of_many(VoteMode::Share, 1), 12, served), []);
    assert_eq!(few(&mut one_of_many(VoteMode::Share, 15), 3, served), []);
}

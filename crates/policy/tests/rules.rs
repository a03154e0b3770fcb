//! Each rule's guard at its edge: just inside and just outside.

mod common;

use common::*;
use garnetcrank_policy::api::*;

/// Which of `n` requests of a class are sent when only the trial build's machine is there.
fn sent_to_trial(rig: &mut Rig, class: ClassId, n: usize) -> Vec<usize> {
    (1..=n).filter(|_| placed(&rig.request(class).1).is_some()).collect()
}

#[test]
fn exposure_ends_at_the_free_attempts_plus_the_cap_of_requests_taken() {
    let mut rig = Rig::on_trial(config(), vec![entry(1, NEW)]);
    // Two free; the third attempt needs ten requests at a cap of 0.1, the fourth twenty.
    assert_eq!(sent_to_trial(&mut rig, READ, 20), [1, 2, 10, 20]);
}

#[test]
fn exposure_counts_the_window_that_ends_now() {
    let mut rig = Rig::on_trial(config(), vec![entry(1, NEW)]);
    assert_eq!(sent_to_trial(&mut rig, READ, 3), [1, 2]);
    rig.now += 2_000 * MS;
    assert_eq!(sent_to_trial(&mut rig, READ, 1), [0; 0], "attempts still count at the window's edge");
    rig.now += 10 * MS;
    assert_eq!(sent_to_trial(&mut rig, READ, 3), [1, 2]);
}

#[test]
fn exposure_counts_each_class_by_itself_where_so_told() {
    let mut by_class = config();
    by_class.rollout.exposure_by_class = true;
    let mut rig = Rig::on_trial(by_class, vec![entry(1, NEW)]);
    assert_eq!(sent_to_trial(&mut rig, READ, 3), [1, 2]);
    assert_eq!(sent_to_trial(&mut rig, PAY, 3), [1, 2]);
    let mut rig = Rig::on_trial(config(), vec![entry(1, NEW)]);
    assert_eq!(sent_to_trial(&mut rig, READ, 3), [1, 2]);
    assert_eq!(sent_to_trial(&mut rig, PAY, 3), [0; 0]);
}

#[test]
fn a_cap_of_nought_allows_nothing() {
    let mut rig = Rig::on_trial(config(), vec![entry(1, NEW)]);
    rig.send(Event::RolloutUpdated(stage(NEW, 0, RolloutPhase::RollingBack, 0.0)));
    assert_eq!(sent_to_trial(&mut rig, READ, 30), [0; 0]);
}

#[test]
fn a_lower_cap_counts_anew_after_the_grace() {
    let mut rig = Rig::on_trial(config(), vec![entry(1, NEW)]);
    rig.send(Event::RolloutUpdated(stage(NEW, 1, RolloutPhase::OnTrial, 0.5)));
    assert_eq!(sent_to_trial(&mut rig, READ, 4), [1, 2, 3, 4]);
    rig.send(Event::RolloutUpdated(stage(NEW, 0, RolloutPhase::RollingBack, 0.1)));
    assert_eq!(sent_to_trial(&mut rig, READ, 5), [0; 0], "the lower cap binds at once here");
    rig.now += 500 * MS;
    assert_eq!(sent_to_trial(&mut rig, READ, 9), [1, 2], "counted anew: two free, requests from now on");
}

#[test]
fn a_build_that_no_news_names_is_in_the_first_stage() {
    let mut rig = Rig::new(config());
    rig.list(vec![entry(1, NEW)]);
    rig.send(Event::RolloutUpdated(stage(OLD, 2, RolloutPhase::Released, 1.0)));
    assert_eq!(sent_to_trial(&mut rig, READ, 10), [1, 2, 10]);
    rig.send(Event::RolloutUpdated(stage(NEW, 2, RolloutPhase::Released, 1.0)));
    assert_eq!(sent_to_trial(&mut rig, READ, 3), [1, 2, 3], "no cap once told that it is released");
}

#[test]
fn guarded_stages_take_safe_classes_alone() {
    let mut guarded = config();
    guarded.rollout.guarded_stages = 1;
    let mut rig = Rig::on_trial(guarded, vec![entry(1, NEW)]);
    assert_eq!(sent_to_trial(&mut rig, PAY, 1), [0; 0]);
    assert_eq!(sent_to_trial(&mut rig, BOOK, 1), [0; 0]);
    assert_eq!(sent_to_trial(&mut rig, READ, 1), [1]);
    rig.send(Event::RolloutUpdated(stage(NEW, 1, RolloutPhase::OnTrial, 0.5)));
    assert_eq!(sent_to_trial(&mut rig, PAY, 1), [1]);
}

#[test]
fn a_key_answered_by_the_trial_build_goes_to_no_earlier_one() {
    let mut one_way = config();
    one_way.rollout.forward_only_keys = true;
    let mut rig = Rig::on_trial(one_way, vec![entry(1, NEW)]);
    let ask = |rig: &mut Rig, key: u32| {
        let (id, out) = rig.request_on(READ, Some(KeyId(key)));
        (id, placed(&out))
    };
    let (id, first) = ask(&mut rig, 5);
    assert_eq!(first, Some(EndpointId(1)));
    rig.done(id, 0, Outcome::Success, 20 * MS);
    rig.list(vec![entry(2, OLD)]);
    assert_eq!(ask(&mut rig, 5).1, None);
    assert_eq!(ask(&mut rig, 6).1, Some(EndpointId(2)));
    rig.send(Event::RolloutUpdated(stage(NEW, 0, RolloutPhase::RollingBack, 0.0)));
    assert_eq!(ask(&mut rig, 5).1, Some(EndpointId(2)));
}

#[test]
fn nothing_new_goes_to_a_draining_or_missing_machine() {
    let mut rig = Rig::on_trial(config(), vec![entry(1, OLD), entry(2, OLD)]);
    let draining = EndpointRecord { status: EndpointStatus::Draining, ..entry(1, OLD) };
    rig.send(Event::EndpointsUpdated(EndpointUpdate::Delta(vec![draining])));
    for _ in 0..50 {
        assert_eq!(placed(&rig.request(READ).1), Some(EndpointId(2)));
    }
    rig.list(vec![entry(1, OLD)]);
    assert_eq!(placed(&rig.request(READ).1), Some(EndpointId(1)), "absent from a whole list is gone");
}

#[test]
fn a_cold_machine_gets_no_more_of_this_front_than_a_warm_one_carries_of_it() {
    let mut rig = Rig::on_trial(config(), vec![entry(1, OLD)]);
    // One of 100 ms every 200: half a core of the warm machine is this front's.
    for _ in 0..100 {
        let (id, _) = rig.request(READ);
        (0..4).for_each(|_| drop(rig.tick(25)));
        rig.done(id, 0, Outcome::Success, 100 * MS);
        (0..4).for_each(|_| drop(rig.tick(25)));
    }
    let started = Some(rig.now);
    rig.list(vec![EndpointRecord { started, ..entry(2, OLD) }]);
    // 2 x 0.5 x half a core for 1 s, 0.9 of it used: 450 ms of work, hints of 100 ms.
    let sent = (1..=5).filter(|_| placed(&rig.request(READ).1).is_some()).count();
    assert_eq!(sent, 4);
    rig.now += 1_001 * MS;
    assert!(placed(&rig.request(READ).1).is_some(), "the window has passed");
    rig.now += 4_000 * MS;
    let sent = (1..=20).filter(|_| placed(&rig.request(READ).1).is_some()).count();
    assert_eq!(sent, 20, "warm by now");
}

#[test]
fn a_front_that_knows_nothing_yet_takes_its_part_of_a_fraction_of_a_core() {
    let mut rig = Rig::on_trial(config(), Vec::new());
    let started = Some(rig.now);
    rig.list(vec![EndpointRecord { started, ..entry(1, OLD) }]);
    // 2 x 0.5 of a quarter core for 1 s between two fronts is 125 ms, and chance is kept free: one of 100 ms.
    let sent = (1..=5).filter(|_| placed(&rig.request(READ).1).is_some()).count();
    assert_eq!(sent, 1);
}

#[test]
fn an_unsafe_request_that_may_have_run_is_failed_and_never_sent_again() {
    for outcome in [Outcome::Error, Outcome::TimedOut, Outcome::ConnectionLost] {
        let mut rig = Rig::on_trial(config(), vec![entry(1, OLD), entry(2, OLD)]);
        let (id, out) = rig.request(PAY);
        assert!(placed(&out).is_some());
        let out = rig.done(id, 0, outcome, 20 * MS);
        assert_eq!(out, [Action::Fail(id)], "{outcome:?}");
    }
}

#[test]
fn an_unsafe_request_that_never_ran_may_go_elsewhere() {
    for outcome in [Outcome::Overloaded, Outcome::ConnectFailed, Outcome::NotSent] {
        let mut rig = Rig::on_trial(config(), vec![entry(1, OLD), entry(2, OLD)]);
        let (id, out) = rig.request(PAY);
        let first = placed(&out);
        let second = placed(&rig.done(id, 0, outcome, MS));
        assert!(second.is_some() && second != first, "{outcome:?}");
        let out = rig.done(id, 1, Outcome::Error, MS);
        assert_eq!(out, [Action::Fail(id)], "after {outcome:?}");
    }
}

#[test]
fn a_keyed_request_is_resent_only_while_its_repeat_is_discarded() {
    let mut rig = Rig::on_trial(config(), vec![entry(1, OLD), entry(2, OLD)]);
    let (id, _) = rig.request(BOOK);
    rig.now += 150 * MS;
    assert!(placed(&rig.done(id, 0, Outcome::Error, 150 * MS)).is_some(), "within the window");
    let (id, _) = rig.request(BOOK);
    rig.now += 300 * MS;
    assert_eq!(placed(&rig.done(id, 0, Outcome::Error, 300 * MS)), None, "the window has lapsed");
}

#[test]
fn a_keyed_request_stays_among_the_machines_that_discard_its_repeat() {
    let mut zoned = config();
    zoned.classes[BOOK.0].idempotency = Idempotency::Keyed { scope: KeyScope::Zone, window: 900 * MS };
    let elsewhere = EndpointRecord { zone: ZoneId(1), ..entry(2, OLD) };
    for (outcome, may) in [(Outcome::Error, false), (Outcome::Overloaded, true)] {
        let mut rig = Rig::on_trial(zoned.clone(), vec![entry(1, OLD)]);
        let (id, _) = rig.request(BOOK);
        rig.list(vec![elsewhere]);
        let out = rig.done(id, 0, outcome, MS);
        assert_eq!(placed(&out).is_some(), may, "{outcome:?}");
        if !may {
            assert_eq!(out, [Action::Fail(id)], "a refusal would promise too much");
        }
    }
}

#[test]
fn every_request_gets_one_final_answer() {
    let outcomes = [
        Outcome::Error,
        Outcome::TimedOut,
        Outcome::Overloaded,
        Outcome::ConnectionLost,
        Outcome::ConnectFailed,
        Outcome::NotSent,
        Outcome::Cancelled,
    ];
    for class in [READ, BOOK, PAY] {
        for outcome in outcomes {
            let mut rig = Rig::on_trial(config(), vec![entry(1, OLD), entry(2, OLD)]);
            let (id, out) = rig.request(class);
            let (mut open, mut answers, mut attempt) = (placed(&out).is_some(), 0, 0);
            while open {
                rig.now += 5 * MS;
                let out = rig.done(id, attempt, outcome, 5 * MS);
                (open, attempt) = (placed(&out).is_some(), attempt + 1);
                answers += finals(&out);
            }
            for _ in 0..50 {
                answers += finals(&rig.tick(25));
            }
            assert_eq!(answers, 1, "{class:?} {outcome:?}");
            assert!(attempt <= 4, "no more attempts than allowed");
        }
    }
}

#[test]
fn a_request_that_finds_no_machine_is_answered_at_once() {
    let mut rig = Rig::on_trial(config(), Vec::new());
    let (id, out) = rig.request(PAY);
    assert_eq!(out, [Action::Reject { id, retry_after: None }]);
    assert_eq!((0..60).map(|_| finals(&rig.tick(25))).sum::<usize>(), 0, "and never again");
}

#[test]
fn nothing_is_sent_for_a_request_whose_client_has_left() {
    let mut rig = Rig::on_trial(config(), vec![entry(1, OLD), entry(2, OLD)]);
    let (id, _) = rig.request(READ);
    assert_eq!(rig.send(Event::ClientDisconnected(id)), [Action::Cancel { id, attempt: 0 }]);
    assert!(rig.done(id, 0, Outcome::Error, MS).is_empty());
    assert!(rig.send(Event::ClientDisconnected(id)).is_empty());
    assert!(rig.done(id, 0, Outcome::Error, MS).is_empty(), "an outcome of a request long gone");
}

#[test]
fn a_begun_stream_belongs_to_the_client() {
    let mut rig = Rig::on_trial(config(), vec![entry(1, OLD), entry(2, OLD)]);
    let (id, _) = rig.request(READ);
    rig.send(Event::ResponseStarted { id, attempt: 0 });
    assert!(rig.send(Event::ClientDisconnected(id)).is_empty(), "not called off");
    assert!(rig.done(id, 0, Outcome::ConnectionLost, MS).is_empty());
}

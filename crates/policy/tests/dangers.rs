//! One scenario for each danger that a deployment showed, named by it.

mod common;

use common::*;
use garnetcrank_policy::api::*;

fn trial(entries: Vec<EndpointRecord>) -> Rig {
    let mut rig = Rig::on_trial(config(), entries);
    rig.send(Event::RolloutUpdated(stage(NEW, 1, RolloutPhase::OnTrial, 0.5)));
    rig
}

fn old_and(new: &[u32]) -> Vec<EndpointRecord> {
    let old = (1..=3).map(|m| entry(m, OLD));
    old.chain(new.iter().map(|m| entry(*m, NEW))).collect()
}

#[test]
fn one_machine_with_quick_errors_among_others_fails_a_good_build() {
    let mut rig = trial(old_and(&[7, 8, 9]));
    let votes = rig.traffic(8_000, |_, m| if m.0 == 9 { Outcome::Error } else { Outcome::Success });
    assert!(!votes.contains(&Verdict::RollBack), "{votes:?}");
}

#[test]
fn a_failing_mark_stands_though_only_one_machine_of_three_is_sick() {
    let mut rig = trial(old_and(&[7]));
    let sick = |_, m: EndpointId| if m.0 == 7 { Outcome::Error } else { Outcome::Success };
    assert!(rig.traffic(1_500, sick).contains(&Verdict::Hold));
    rig.list(old_and(&[7, 8, 9]));
    let votes = rig.traffic(12_000, sick);
    assert!(!votes.contains(&Verdict::RollBack), "one of three: {votes:?}");
}

#[test]
fn one_class_fails_on_the_only_machine_and_the_machine_is_blamed() {
    let mut rig = trial(old_and(&[9]));
    let fails = |c, m: EndpointId| if m.0 == 9 && c == READ { Outcome::Error } else { Outcome::Success };
    assert!(rig.traffic(6_500, fails).contains(&Verdict::RollBack));
}

#[test]
fn a_build_fails_every_class_before_any_has_ten_outcomes() {
    let mut rig = trial(old_and(&[8, 9]));
    let (mut at_new, mut turn) = (0, 0);
    while at_new < 12 {
        // As many of each class at the new machines: four, where ten make a judged class.
        let class = ClassId(at_new / 4);
        let fate = |m: EndpointId| if m.0 >= 8 { Outcome::Error } else { Outcome::Success };
        at_new += usize::from(rig.serve(class, fate).is_some_and(|m| m.0 >= 8));
        turn += 1;
        assert!(turn < 2_000, "the build gets no traffic");
    }
    let out = rig.tick(25);
    assert!(matches!(out[..], [Action::Vote { verdict: Verdict::Hold, .. }]), "{out:?}");
}

#[test]
fn time_outs_at_cold_machines_fail_a_good_build() {
    let mut rig = trial(old_and(&[]));
    let started = Some(rig.now);
    let cold = |m| EndpointRecord { started, ..entry(m, NEW) };
    rig.send(Event::EndpointsUpdated(EndpointUpdate::Delta(vec![cold(8), cold(9)])));
    let votes = rig.traffic(3_900, |_, m| if m.0 >= 8 { Outcome::TimedOut } else { Outcome::Success });
    assert_eq!(votes, []);
}

#[test]
fn a_few_time_outs_under_load_fail_a_good_build() {
    let mut rig = trial(old_and(&[8, 9]));
    let count = std::cell::Cell::new(0u32);
    let votes = rig.traffic(8_000, |_, m| {
        count.set(count.get() + u32::from(m.0 >= 8));
        if m.0 >= 8 && count.get().is_multiple_of(5) { Outcome::TimedOut } else { Outcome::Success }
    });
    assert!(!votes.contains(&Verdict::RollBack), "{votes:?}");
}

#[test]
fn most_machines_are_unreachable_and_all_are_used_again() {
    let mut rig = trial((1..=6).map(|m| entry(m, OLD)).collect());
    let dead = |m: EndpointId| if m.0 > 1 { Outcome::ConnectFailed } else { Outcome::Success };
    for _ in 0..20 {
        rig.serve(READ, dead);
    }
    let tries: Vec<_> = (0..20).filter_map(|_| rig.serve(READ, dead)).collect();
    assert!(tries.iter().all(|m| m.0 == 1), "{tries:?}");
}

#[test]
fn a_failing_machine_keeps_drawing_traffic_by_its_quick_errors() {
    let mut rig = trial(old_and(&[]));
    let sick = |m: EndpointId| if m.0 == 2 { Outcome::Error } else { Outcome::Success };
    for _ in 0..60 {
        rig.serve(READ, sick);
    }
    let at_sick = (0..60).filter(|_| rig.serve(READ, sick) == Some(EndpointId(2))).count();
    assert!(at_sick <= 3, "{at_sick} of 60");
    (0..360).for_each(|_| drop(rig.tick(25)));
    let back = (0..240).filter(|_| rig.serve(READ, |_| Outcome::Success) == Some(EndpointId(2))).count();
    assert!(back >= 20, "there is a way back: {back} of 240");
}

/// Traffic in which the time at all machines follows `slow`, told how long ago a new machine was last sent
/// to; the votes cast.
fn paced(rig: &mut Rig, ms: Micros, slow: impl Fn(Micros) -> u64) -> Vec<Verdict> {
    let (mut votes, mut sent_new) = (Vec::new(), rig.now);
    let until = rig.now + ms * MS;
    while rig.now < until {
        for _ in 0..4 {
            let (id, out) = rig.request(READ);
            if let Some(machine) = placed(&out) {
                sent_new = if machine.0 >= 8 { rig.now } else { sent_new };
                let lag = 40 * MS * slow(rig.now - sent_new);
                rig.done(id, 0, Outcome::Success, lag);
            }
        }
        votes.extend(rig.tick_votes(25));
    }
    votes
}

/// Six machines of a released build, and none on trial.
fn released() -> Rig {
    let mut rig = Rig::new(config());
    rig.list((1..=6).map(|m| entry(m, OLD)).collect());
    rig.send(Event::RolloutUpdated(stage(OLD, 2, RolloutPhase::Released, 1.0)));
    rig
}

fn warmed_up() -> Rig {
    let mut rig = released();
    paced(&mut rig, 2_000, |_| 1);
    rig.send(Event::RolloutUpdated(stage(NEW, 1, RolloutPhase::OnTrial, 0.5)));
    rig.now += 100 * MS;
    rig.list((1..=6).map(|m| entry(m, OLD)).chain([entry(8, NEW), entry(9, NEW)]).collect());
    rig
}

#[test]
fn a_build_slows_old_and_new_machines_alike() {
    let mut rig = warmed_up();
    // The effect stays for a second after the last request to the build.
    let votes = paced(&mut rig, 16_000, |since_new| if since_new > 1_000 * MS { 1 } else { 3 });
    assert!(votes.contains(&Verdict::Hold) && votes.contains(&Verdict::RollBack), "{votes:?}");
}

#[test]
fn the_stage_moves_on_under_the_test_of_a_build_that_slows_all_machines() {
    for (slow_after, expected) in [(3, Verdict::RollBack), (1, Verdict::Abstain)] {
        let mut rig = warmed_up();
        let mut votes = Vec::new();
        while !votes.contains(&Verdict::Hold) {
            votes.extend(paced(&mut rig, 100, |_| 3));
        }
        rig.send(Event::RolloutUpdated(stage(NEW, 2, RolloutPhase::OnTrial, 1.0)));
        // The earlier machines go one by one, and the build is withheld from none of the requests.
        let mut to_new = 0;
        for left in (0..6).rev() {
            rig.list((1..=left).map(|m| entry(m, OLD)).chain((8..=13).map(|m| entry(m, NEW))).collect());
            to_new += (0..40).filter(|_| rig.serve(READ, |_| Outcome::Success) > Some(EndpointId(7))).count();
            // A moment of quick answers says nothing yet, whatever follows.
            votes.extend(paced(&mut rig, 600, |_| if left == 4 { 1 } else { slow_after }));
        }
        assert!(to_new > 80, "{to_new} of 240 requests went to the machines that stay");
        assert_eq!(votes.last(), Some(&expected), "{votes:?}");
    }
}

#[test]
fn a_dependency_slows_every_machine_and_the_build_is_blamed() {
    let mut rig = warmed_up();
    let votes = paced(&mut rig, 12_000, |_| 3);
    assert!(!votes.contains(&Verdict::RollBack), "{votes:?}");
    assert!(votes.contains(&Verdict::Abstain), "held for no longer than the test takes: {votes:?}");
}

#[test]
fn only_the_new_machines_are_slow_and_no_error_tells() {
    let mut rig = warmed_up();
    let (mut votes, until) = (Vec::new(), rig.now + 12_000 * MS);
    while rig.now < until {
        for _ in 0..4 {
            let (id, out) = rig.request(READ);
            if let Some(machine) = placed(&out) {
                rig.done(id, 0, Outcome::Success, if machine.0 >= 8 { 120 * MS } else { 40 * MS });
            }
        }
        votes.extend(rig.tick_votes(25));
    }
    assert!(votes.contains(&Verdict::RollBack), "{votes:?}");
}

#[test]
fn clients_find_an_answer_wrong_that_looked_served() {
    let mut rig = trial(old_and(&[8, 9]));
    let mut votes = Vec::new();
    for _ in 0..240 {
        if let Some(machine) = rig.serve(READ, |_| Outcome::Success).filter(|m| m.0 >= 8) {
            rig.send(Event::AnswerFlagged { endpoint: machine, class: READ, age: 10 * MS });
        }
        votes.extend(rig.tick_votes(25));
    }
    assert!(votes.contains(&Verdict::RollBack), "{votes:?}");
}

#[test]
fn refused_clients_come_back_when_the_answer_is_worth_nothing() {
    let mut advised = config();
    advised.retry_after = Some(1_000 * MS);
    let mut rig = Rig::on_trial(advised, Vec::new());
    let (_, out) = rig.request(READ);
    let [Action::Reject { retry_after: Some(after), .. }] = out[..] else { panic!("{out:?}") };
    assert!(after < 200 * MS, "within half of the aim: {after}");
}

#[test]
fn the_fleet_list_is_out_of_reach_and_asked_for_without_restraint() {
    let mut asked = config();
    asked.poll_endpoints = true;
    let mut rig = Rig::new(asked);
    let saved = EndpointUpdate::Snapshot { endpoints: old_and(&[]), cached: true };
    rig.send(Event::EndpointsUpdated(saved));
    let mut calls = Vec::new();
    for _ in 0..800 {
        if rig.tick(25).contains(&Action::WatchEndpoints(true)) {
            calls.push(rig.now);
            rig.send(Event::EndpointsUpdated(EndpointUpdate::Unavailable));
        }
    }
    assert!((4..=16).contains(&calls.len()), "{} calls in 20 s", calls.len());
    assert!(calls.windows(2).all(|w| w[1] - w[0] >= 500 * MS && w[1] - w[0] <= 8_000 * MS));
    rig.list(old_and(&[]));
    assert!(
        (0..800).all(|_| !rig.tick(25).contains(&Action::WatchEndpoints(true))),
        "subscribed: no more calls"
    );
}

#[test]
fn odd_but_legal_events_bring_the_instance_down() {
    let mut single = config();
    single.classes.truncate(1);
    single.tenants.clear();
    let mut rig = Rig::new(single);
    rig.send(Event::Timer(99));
    rig.send(Event::AttemptCompleted(AttemptResult {
        id: RequestId(5),
        attempt: 3,
        outcome: Outcome::Success,
        latency: 0,
        request_finished: true,
        load_report: Vec::new(),
    }));
    rig.send(Event::ResponseStarted { id: RequestId(5), attempt: 9 });
    rig.list(vec![entry(1, OLD), entry(1, NEW), entry(1, OLD)]);
    rig.send(Event::EndpointsUpdated(EndpointUpdate::Delta(vec![EndpointRecord {
        status: EndpointStatus::Removed,
        ..entry(77, OLD)
    }])));
    rig.send(Event::RolloutUpdated(stage(Build(99), 7, RolloutPhase::OnTrial, 0.5)));
    rig.send(Event::VoteCompleted(VoteResult::Unknown, None));
    rig.send(Event::Tally { build: Build(3), class: READ, count: 0, errors: 9, mean: 0, age: 0 });
    rig.send(Event::AnswerFlagged { endpoint: EndpointId(400), class: READ, age: u64::MAX / 4 });
    rig.send(Event::GossipReceived { from: PeerId(9), bytes: vec![1, 2] });
    rig.send(Event::HealthCheckCompleted {
        endpoint: EndpointId(3),
        outcome: Outcome::Overloaded,
        latency: 0,
        load_report: vec![],
    });
    let (id, out) = rig.request(READ);
    assert!(placed(&out).is_some());
    rig.list(Vec::new());
    rig.done(id, 0, Outcome::Success, 0);
    rig.tick(25);
}

#[test]
fn lost_connections_are_taken_for_a_full_fleet() {
    let mut rig = released();
    for round in 0..200 {
        let ids: Vec<RequestId> = (0..12)
            .map(|i| {
                let (id, out) = rig.request(PAY);
                assert!(placed(&out).is_some(), "request {i} of round {round} was refused");
                id
            })
            .collect();
        rig.now += 20 * MS;
        for (i, id) in ids.into_iter().enumerate() {
            rig.done(id, 0, if i < 8 { Outcome::ConnectionLost } else { Outcome::Success }, 20 * MS);
        }
        rig.tick(25);
    }
}

#[test]
fn connections_lost_all_day_leave_requests_without_a_second_try() {
    let mut rig = released();
    let (mut attempts, mut refused) = (0, 0);
    for _ in 0..2_000 {
        let (id, mut out) = rig.request(READ);
        let mut attempt = 0;
        while placed(&out).is_some() {
            attempts += 1;
            // One attempt in seven is lost.
            let outcome = if attempts % 7 == 0 { Outcome::ConnectionLost } else { Outcome::Success };
            rig.now += 5 * MS;
            out = rig.done(id, attempt, outcome, 5 * MS);
            attempt += 1;
        }
        refused += finals(&out);
        rig.tick(5);
    }
    assert!(refused < 20, "{refused} of 2000 refused though a second try would have served them");
}

#[test]
fn a_machine_that_is_met_every_few_seconds_goes_on_failing() {
    let mut rig = Rig::new(config());
    rig.list((0..30).map(|m| entry(m, OLD)).collect());
    rig.send(Event::RolloutUpdated(stage(OLD, 2, RolloutPhase::Released, 1.0)));
    let sick = |m: EndpointId| if m.0 < 4 { Outcome::Error } else { Outcome::Success };
    let mut errors = [0, 0];
    for turn in 0..600 {
        rig.tick(200);
        let class = if turn % 2 == 0 { READ } else { PAY };
        let met = rig.serve(class, sick).is_some_and(|m| m.0 < 4);
        errors[turn % 2] += u32::from(met);
    }
    // Evenly spread they would be met 80 times, half of these with what can't be tried again.
    assert!(errors[0] + errors[1] <= 10, "{errors:?} errors in two minutes");
    assert!(errors[1] < errors[0], "effects try machines that failed: {errors:?}");
}

#[test]
fn a_machine_that_failed_once_is_lost_where_nothing_may_run_twice() {
    let mut single = config();
    single.classes = vec![class("pay", Idempotency::NonIdempotent)];
    let mut rig = Rig::new(single);
    rig.list((0..6).map(|m| entry(m, OLD)).collect());
    rig.send(Event::RolloutUpdated(stage(OLD, 2, RolloutPhase::Released, 1.0)));
    let turns = |rig: &mut Rig, fate: &dyn Fn(EndpointId) -> Outcome| {
        let at_sick = (0..200).filter(|_| {
            rig.tick(500);
            rig.serve(ClassId(0), fate) == Some(EndpointId(2))
        });
        at_sick.count()
    };
    turns(&mut rig, &|m| if m.0 == 2 { Outcome::Error } else { Outcome::Success });
    let back = turns(&mut rig, &|_| Outcome::Success);
    assert!(back >= 1, "there is a way back: {back} of 200");
}

#[test]
fn late_answers_are_waited_for_and_a_full_fleet_is_sent_more_until_they_come() {
    let mut patient = config();
    patient.classes.iter_mut().for_each(|c| (c.late_priority_weight, c.deadline) = (0.2, 60_000 * MS));
    let mut rig = Rig::new(patient);
    rig.list((0..6).map(|m| entry(m, OLD)).collect());
    rig.send(Event::RolloutUpdated(stage(OLD, 2, RolloutPhase::Released, 1.0)));
    rig.traffic(5_000, |_, _| Outcome::Success);
    // From here on nothing is answered for a long time: each request stays open until its deadline, a minute on.
    let open: usize = (0..200)
        .filter(|turn| {
            rig.tick(25);
            let (id, deadline) = (RequestId(1_000_000 + turn), rig.now + 60_000 * MS);
            let (class, tenant, key, hint) = (READ, None, None, Some(100 * MS));
            let request = Request { id, class, tenant, key, deadline, work_hint: hint, is_retry: false };
            placed(&rig.send(Event::Request(request))).is_some()
        })
        .count();
    // Sixteen were due when the first one's aim was over; a limit that knows is there a second later.
    assert!(open < 60, "{open} of 200 requests are open though not one was answered within its aim");
}

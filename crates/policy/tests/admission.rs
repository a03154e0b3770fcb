//! The concurrency limit, and classes that are mostly failing.

mod common;

use common::{
    BOOK, Harness, MS, OLD, PAY, READ, config, endpoint_record, forwarded_to, large_tier, released_fleet,
    rollout_status,
};
use garnetcrank_policy::api::{ClassId, Event, Micros, Outcome, Request, RequestId, RolloutPhase};

/// How many of twenty requests at once are admitted after minutes in which every answer was late, for an
/// instance that had `open` requests in flight while all went well.
fn admitted_under_overload(open: usize) -> usize {
    let mut harness = Harness::new(large_tier(300, 15));
    harness.set_endpoints((1..=30).map(|m| endpoint_record(m, OLD)).collect());
    let round = |harness: &mut Harness, first: usize, latency: Micros, outcome: Outcome| {
        let ids: Vec<_> = (0..open).map(|i| harness.request(ClassId((first + i) % 3))).collect();
        for _ in 0..latency / (25 * MS) + 1 {
            harness.tick(25);
        }
        for (id, actions) in ids {
            if forwarded_to(&actions).is_some() {
                harness.complete(id, 0, outcome, latency);
            }
        }
    };
    for i in 0..400 {
        round(&mut harness, i, 60 * MS, Outcome::Success);
    }
    for i in 0..300 {
        round(&mut harness, i, 400 * MS, Outcome::TimedOut);
    }
    (0..20).filter(|i| forwarded_to(&harness.request(ClassId(i % 3)).1).is_some()).count()
}

/// Danger: four requests open at each of hundreds of instances fill every queue.
#[test]
fn the_lowest_limit_follows_what_is_normally_in_flight() {
    assert_eq!(
        admitted_under_overload(1),
        2,
        "twice what a quiet instance has in flight while all goes well"
    );
    assert_eq!(admitted_under_overload(5), 10, "a busy instance keeps its part");
}

/// Danger: one class waits at every endpoint, and holds all slots until all classes miss their objective.
#[test]
fn a_mostly_failing_class_is_reduced_to_probes_until_it_recovers() {
    let mut harness = Harness::on_trial(large_tier(2, 1), (1..=6).map(|m| endpoint_record(m, OLD)).collect());
    let waits = |class: ClassId| if class == BOOK { Outcome::TimedOut } else { Outcome::Success };
    let sent =
        |harness: &mut Harness, requests: u32, class: ClassId, outcome_of: &dyn Fn(ClassId) -> Outcome| {
            let mut sent = 0;
            for _ in 0..requests {
                let (id, mut actions) = harness.request(class);
                sent += usize::from(forwarded_to(&actions).is_some());
                let latency = if outcome_of(class) == Outcome::Success { 40 * MS } else { 400 * MS };
                // Further attempts end as the first one did: none stays open.
                for attempt in 0.. {
                    if forwarded_to(&actions).is_none() {
                        break;
                    }
                    actions = harness.complete(id, attempt, outcome_of(class), latency);
                }
                harness.tick(25);
            }
            sent
        };
    for _ in 0..30 {
        sent(&mut harness, 1, READ, &waits);
        sent(&mut harness, 1, BOOK, &waits);
    }
    let probes = sent(&mut harness, 300, BOOK, &waits);
    assert!((1..=30).contains(&probes), "a few to see when it ends: {probes}");
    assert!(sent(&mut harness, 100, READ, &waits) >= 95, "the others are served");
    sent(&mut harness, 600, BOOK, &|_| Outcome::Success);
    assert!(sent(&mut harness, 100, BOOK, &|_| Outcome::Success) >= 95, "admitted again once it is served");
}

/// Danger: lost connections are taken for an overloaded fleet.
#[test]
fn lost_connections_do_not_lower_the_concurrency_limit() {
    let mut harness = released_fleet();
    for round in 0..200 {
        let ids: Vec<RequestId> = (0..12)
            .map(|i| {
                let (id, actions) = harness.request(PAY);
                assert!(forwarded_to(&actions).is_some(), "request {i} of round {round} was rejected");
                id
            })
            .collect();
        harness.now += 20 * MS;
        for (i, id) in ids.into_iter().enumerate() {
            harness.complete(id, 0, if i < 8 { Outcome::ConnectionLost } else { Outcome::Success }, 20 * MS);
        }
        harness.tick(25);
    }
}

/// Danger: late answers are waited for, and an overloaded fleet is sent more until they come.
#[test]
fn overdue_attempts_lower_the_limit_before_their_answers_come() {
    let mut waits_long = config();
    for class in &mut waits_long.classes {
        class.late_priority_weight = 0.2;
        class.deadline = 60_000 * MS;
    }
    let mut harness = Harness::new(waits_long);
    harness.set_endpoints((0..6).map(|m| endpoint_record(m, OLD)).collect());
    harness.send(Event::RolloutUpdated(rollout_status(OLD, 2, RolloutPhase::Released, 1.0)));
    harness.run_traffic(5_000, |_, _| Outcome::Success);
    // From here on nothing is answered for a long time: each request stays open until its deadline, a minute on.
    let open: usize = (0..200)
        .filter(|turn| {
            harness.tick(25);
            let request = Request {
                id: RequestId(1_000_000 + turn),
                class: READ,
                tenant: None,
                key: None,
                deadline: harness.now + 60_000 * MS,
                work_hint: Some(100 * MS),
                is_retry: false,
            };
            forwarded_to(&harness.send(Event::Request(request))).is_some()
        })
        .count();
    // Sixteen were due when the first one's objective was over; a limit that counts them is there a second later.
    assert!(open < 60, "{open} of 200 requests are open though not one was answered within its objective");
}

//! Admission of requests: the concurrency limit, and classes that are mostly failing.

mod common;

use common::{
    BOOK, Harness, MS, OLD, PAY, READ, config, endpoint_record, forwarded_to, large_tier_config,
    released_fleet, rollout_status,
};
use garnetcrank_policy::api::{ClassId, Event, Micros, Outcome, Request, RequestId, RolloutPhase};

/// Returns how many of 20 simultaneous requests are admitted after minutes in which every attempt timed out,
/// by an instance that had `in_flight` requests in flight before.
fn admitted_under_overload(in_flight: usize) -> usize {
    let mut harness = Harness::new(large_tier_config(300, 15));
    harness.set_endpoints((1..=30).map(|endpoint| endpoint_record(endpoint, OLD)).collect());
    let run_round = |harness: &mut Harness, first_class: usize, latency: Micros, outcome: Outcome| {
        let ids: Vec<_> = (0..in_flight).map(|i| harness.request(ClassId((first_class + i) % 3))).collect();
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
        run_round(&mut harness, i, 60 * MS, Outcome::Success);
    }
    for i in 0..300 {
        run_round(&mut harness, i, 400 * MS, Outcome::TimedOut);
    }
    (0..20).filter(|i| forwarded_to(&harness.request(ClassId(i % 3)).1).is_some()).count()
}

/// Guards against full queues under overload: four requests in flight at each of hundreds of instances fill
/// the queues of all endpoints.
#[test]
fn the_minimum_limit_is_twice_the_normal_number_of_requests_in_flight() {
    assert_eq!(
        admitted_under_overload(1),
        2,
        "the minimum limit is not twice the one request normally in flight"
    );
    assert_eq!(
        admitted_under_overload(5),
        10,
        "the minimum limit is not twice the five requests normally in flight"
    );
}

/// Guards against one class starving the others: its requests wait at every endpoint and occupy all slots
/// until every class misses its latency objective.
#[test]
fn a_mostly_failing_class_is_reduced_to_probes_until_it_recovers() {
    let mut harness = Harness::on_trial(
        large_tier_config(2, 1),
        (1..=6).map(|endpoint| endpoint_record(endpoint, OLD)).collect(),
    );
    let book_times_out = |class: ClassId| if class == BOOK { Outcome::TimedOut } else { Outcome::Success };
    let count_forwarded =
        |harness: &mut Harness, requests: u32, class: ClassId, outcome_of: &dyn Fn(ClassId) -> Outcome| {
            let mut forwarded = 0;
            for _ in 0..requests {
                let (id, mut actions) = harness.request(class);
                forwarded += usize::from(forwarded_to(&actions).is_some());
                let latency = if outcome_of(class) == Outcome::Success { 40 * MS } else { 400 * MS };
                // Retries end like the first attempt, so that no request stays open.
                for attempt in 0.. {
                    if forwarded_to(&actions).is_none() {
                        break;
                    }
                    actions = harness.complete(id, attempt, outcome_of(class), latency);
                }
                harness.tick(25);
            }
            forwarded
        };
    for _ in 0..30 {
        count_forwarded(&mut harness, 1, READ, &book_times_out);
        count_forwarded(&mut harness, 1, BOOK, &book_times_out);
    }
    let probes = count_forwarded(&mut harness, 300, BOOK, &book_times_out);
    assert!(
        (1..=30).contains(&probes),
        "{probes} of 300 requests were forwarded as probes, expected 1 to 30"
    );
    assert!(
        count_forwarded(&mut harness, 100, READ, &book_times_out) >= 95,
        "fewer than 95 of 100 requests of another class were forwarded"
    );
    count_forwarded(&mut harness, 600, BOOK, &|_| Outcome::Success);
    assert!(
        count_forwarded(&mut harness, 100, BOOK, &|_| Outcome::Success) >= 95,
        "fewer than 95 of 100 requests of the recovered class were forwarded"
    );
}

/// Guards against rejections without overload: lost connections are mistaken for an overloaded fleet.
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

/// Guards against more load on an overloaded fleet: overdue attempts that count only once they are answered
/// leave the limit too high until then.
#[test]
fn overdue_attempts_lower_the_limit_before_they_are_answered() {
    let mut long_deadlines = config();
    for class in &mut long_deadlines.classes {
        class.late_response_value = 0.2;
        class.deadline = 60_000 * MS;
    }
    let mut harness = Harness::new(long_deadlines);
    harness.set_endpoints((0..6).map(|endpoint| endpoint_record(endpoint, OLD)).collect());
    harness.send(Event::RolloutUpdated(rollout_status(OLD, 2, RolloutPhase::Released, 1.0)));
    harness.run_traffic(5_000, |_, _| Outcome::Success);
    // No request is answered from here on: each stays open until its deadline, one minute later.
    let forwarded: usize = (0..200)
        .filter(|index| {
            harness.tick(25);
            let request = Request {
                id: RequestId(1_000_000 + index),
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
    // Sixteen requests are sent before the first exceeds its objective; a limit that counts overdue attempts
    // takes effect within another second.
    assert!(forwarded < 60, "{forwarded} of 200 requests were forwarded although none was answered in time");
}

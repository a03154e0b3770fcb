//! Requests whose clients give them too little time.

mod common;

use common::{Harness, MS, READ, count_unsuccessful_answers, forwarded_to, released_fleet};
use garnetcrank_policy::api::{EndpointId, Micros, Outcome};

/// Time that endpoints usually take.
const USUAL_LATENCY: Micros = 50 * MS;

/// Has a client send requests with a short deadline, all of which end with `outcome`, and another client send one in ten.
/// Returns the endpoints of the other client's requests, and the number of these that were not served.
fn run_beside_short_deadlines(harness: &mut Harness, outcome: Outcome) -> (Vec<EndpointId>, usize) {
    let (mut targets, mut not_served) = (Vec::new(), 0);
    for number in 0..2_000 {
        let (id, actions) = harness.request_with_timeout(READ, MS);
        harness.now += MS;
        if forwarded_to(&actions).is_some() {
            harness.complete(id, 0, outcome, MS);
        }
        if number % 25 == 0 {
            harness.tick(0);
        }
        if number % 10 == 0 {
            let (id, actions) = harness.request(READ);
            not_served += count_unsuccessful_answers(&actions);
            targets.extend(forwarded_to(&actions));
            harness.complete(id, 0, Outcome::Success, USUAL_LATENCY);
        }
    }
    (targets, not_served)
}

#[test]
fn requests_that_can_not_be_answered_in_time_say_nothing_of_endpoints_and_load() {
    for outcome in [Outcome::TimedOut, Outcome::Overloaded, Outcome::ConnectionLost] {
        let mut harness = released_fleet();
        let (targets, not_served) = run_beside_short_deadlines(&mut harness, outcome);
        assert_eq!((targets.len(), not_served), (200, 0), "{outcome:?}");
        for endpoint in 1..=6 {
            let share = targets.iter().filter(|target| target.0 == endpoint).count();
            assert!(share >= 15, "{share} of 200 at endpoint {endpoint}: {outcome:?}");
        }
        assert!(!harness.log.iter().any(|line| line.contains("ejected")), "{outcome:?}: {:?}", harness.log);
    }
}

#[test]
fn time_outs_of_requests_with_enough_time_are_evidence() {
    let mut harness = released_fleet();
    let mut rejected = 0;
    for _ in 0..60 {
        let (id, actions) = harness.request_with_timeout(READ, 200 * MS);
        harness.now += 200 * MS;
        rejected += count_unsuccessful_answers(&actions);
        if forwarded_to(&actions).is_some() {
            harness.complete(id, 0, Outcome::TimedOut, 200 * MS);
        }
    }
    assert!(rejected >= 30, "{rejected} of 60 rejected, although the class mostly fails");
}

/// Sends requests with a short deadline, `interval` apart, and ends their attempts with `outcome`. Returns the number of
/// attempts.
fn run_short_deadlines(harness: &mut Harness, requests: usize, interval: Micros, outcome: Outcome) -> usize {
    let mut attempts = 0;
    for _ in 0..requests {
        let (id, actions) = harness.request_with_timeout(READ, 100 * MS);
        harness.now += interval;
        if forwarded_to(&actions).is_some() {
            attempts += 1;
            harness.complete(id, 0, outcome, 100 * MS);
        }
    }
    attempts
}

/// Guards against connections to endpoints that are made and closed for a client whose requests can't be answered.
#[test]
fn attempts_of_requests_with_too_little_time_are_few_beside_served_ones() {
    let mut harness = released_fleet();
    let served = run_short_deadlines(&mut harness, 200, 0, Outcome::Success);
    assert_eq!(served, 200, "requests that are served are not limited");
    assert_eq!(run_short_deadlines(&mut harness, 200, 0, Outcome::TimedOut), 10);
    let in_a_second = run_short_deadlines(&mut harness, 1_000, MS, Outcome::TimedOut);
    assert!((9..=10).contains(&in_a_second), "{in_a_second}");
    for _ in 0..40 {
        harness.serve(READ, |_| Outcome::Success);
    }
    let beside_served = run_short_deadlines(&mut harness, 200, 0, Outcome::TimedOut);
    assert!((5..=6).contains(&beside_served), "{beside_served}, one for eight that were served");
}

/// Guards against a client whose attempts all end before their connection is established.
#[test]
fn attempts_that_are_never_sent_or_cancelled_count_against_the_budget_if_they_began() {
    for outcome in [Outcome::NotSent, Outcome::Cancelled, Outcome::ConnectFailed] {
        for (latency, expected) in [(MS, 10..=12), (0, 200..=200)] {
            let mut harness = released_fleet();
            let mut attempts = 0;
            for _ in 0..200 {
                let (id, actions) = harness.request_with_timeout(READ, MS);
                harness.now += MS;
                if forwarded_to(&actions).is_some() {
                    attempts += 1;
                    harness.complete(id, 0, outcome, latency);
                }
            }
            assert!(
                expected.contains(&attempts),
                "{attempts} attempts of 200: {outcome:?} after {latency} us"
            );
        }
    }
}

/// Guards against rejecting all requests for good where all clients give little time.
#[test]
fn requests_with_little_time_are_served_again_after_a_fault() {
    let mut harness = released_fleet();
    run_short_deadlines(&mut harness, 200, 0, Outcome::TimedOut);
    harness.tick(1_000);
    assert_eq!(run_short_deadlines(&mut harness, 200, MS, Outcome::Success), 200);
}

#[test]
fn connections_that_fail_are_evidence_whatever_the_deadline() {
    let mut harness = released_fleet();
    let (id, actions) = harness.request_with_timeout(READ, MS);
    assert!(forwarded_to(&actions).is_some());
    harness.complete(id, 0, Outcome::ConnectFailed, MS);
    assert!(harness.log.iter().any(|line| line.contains("ejected")), "{:?}", harness.log);
}

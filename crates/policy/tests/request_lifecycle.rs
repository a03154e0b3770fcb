//! The lifecycle of a request, from its arrival to its final answer.

mod common;

use common::{
    BOOK, Harness, MS, OLD, PAY, READ, config, count_unsuccessful_answers, endpoint_record, forwarded_to,
};
use garnetcrank_policy::api::{Action, Event, Outcome};

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
            let mut harness =
                Harness::on_trial(config(), vec![endpoint_record(1, OLD), endpoint_record(2, OLD)]);
            let (id, actions) = harness.request(class);
            let mut in_flight = forwarded_to(&actions).is_some();
            let mut answers = 0;
            let mut attempt = 0;
            while in_flight {
                harness.now += 5 * MS;
                let actions = harness.complete(id, attempt, outcome, 5 * MS);
                in_flight = forwarded_to(&actions).is_some();
                attempt += 1;
                answers += count_unsuccessful_answers(&actions);
            }
            for _ in 0..50 {
                answers += count_unsuccessful_answers(&harness.tick(25));
            }
            assert_eq!(answers, 1, "{class:?} {outcome:?}");
            assert!(attempt <= 4, "{attempt} attempts, at most 4 are allowed");
        }
    }
}

#[test]
fn a_request_without_an_eligible_endpoint_is_answered_at_once() {
    let mut harness = Harness::on_trial(config(), Vec::new());
    let (id, actions) = harness.request(PAY);
    assert_eq!(actions, [Action::Reject { id, retry_after: None }]);
    assert_eq!(
        (0..60).map(|_| count_unsuccessful_answers(&harness.tick(25))).sum::<usize>(),
        0,
        "the request was answered a second time"
    );
}

#[test]
fn a_client_disconnect_cancels_attempts_and_stops_retries() {
    let mut harness = Harness::on_trial(config(), vec![endpoint_record(1, OLD), endpoint_record(2, OLD)]);
    let (id, _) = harness.request(READ);
    assert_eq!(harness.send(Event::ClientDisconnected(id)), [Action::Cancel { id, attempt: 0 }]);
    assert!(harness.complete(id, 0, Outcome::Error, MS).is_empty());
    assert!(harness.send(Event::ClientDisconnected(id)).is_empty());
    assert!(
        harness.complete(id, 0, Outcome::Error, MS).is_empty(),
        "the outcome of a finished request caused actions"
    );
}

#[test]
fn a_started_response_is_neither_cancelled_nor_retried() {
    let mut harness = Harness::on_trial(config(), vec![endpoint_record(1, OLD), endpoint_record(2, OLD)]);
    let (id, _) = harness.request(READ);
    harness.send(Event::ResponseStarted { id, attempt: 0 });
    assert!(
        harness.send(Event::ClientDisconnected(id)).is_empty(),
        "an attempt with a started response was cancelled"
    );
    assert!(harness.complete(id, 0, Outcome::ConnectionLost, MS).is_empty());
}

#[test]
fn retry_after_is_below_half_of_the_latency_objective() {
    let mut with_retry_after = config();
    with_retry_after.retry_after = Some(1_000 * MS);
    let mut harness = Harness::on_trial(with_retry_after, Vec::new());
    let (_, actions) = harness.request(READ);
    let [Action::Reject { retry_after: Some(after), .. }] = actions[..] else { panic!("{actions:?}") };
    assert!(
        after < 200 * MS,
        "retry_after is {after} us, must be less than 200000 us (half of the latency objective)"
    );
}

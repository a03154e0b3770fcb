//! Retries: which requests may be retried, and the retry budget.

mod common;

use common::{
    BOOK, Harness, MS, OLD, PAY, READ, config, count_unsuccessful_answers, endpoint_record, forwarded_to,
    released_fleet,
};
use garnetcrank_policy::api::{Action, EndpointRecord, Idempotency, KeyScope, Outcome, ZoneId};

#[test]
fn a_non_idempotent_request_that_may_have_run_fails_without_a_retry() {
    for outcome in [Outcome::Error, Outcome::TimedOut, Outcome::ConnectionLost] {
        let mut harness = Harness::on_trial(config(), vec![endpoint_record(1, OLD), endpoint_record(2, OLD)]);
        let (id, actions) = harness.request(PAY);
        assert!(forwarded_to(&actions).is_some());
        let actions = harness.complete(id, 0, outcome, 20 * MS);
        assert_eq!(actions, [Action::Fail(id)], "{outcome:?}");
    }
}

#[test]
fn a_non_idempotent_request_that_never_ran_is_retried_elsewhere() {
    for outcome in [Outcome::Overloaded, Outcome::ConnectFailed, Outcome::NotSent] {
        let mut harness = Harness::on_trial(config(), vec![endpoint_record(1, OLD), endpoint_record(2, OLD)]);
        let (id, actions) = harness.request(PAY);
        let first = forwarded_to(&actions);
        let second = forwarded_to(&harness.complete(id, 0, outcome, MS));
        assert!(second.is_some() && second != first, "{outcome:?}");
        let actions = harness.complete(id, 1, Outcome::Error, MS);
        assert_eq!(actions, [Action::Fail(id)], "after {outcome:?}");
    }
}

#[test]
fn a_keyed_request_is_retried_only_within_its_key_window() {
    let mut harness = Harness::on_trial(config(), vec![endpoint_record(1, OLD), endpoint_record(2, OLD)]);
    let (id, _) = harness.request(BOOK);
    harness.now += 150 * MS;
    assert!(
        forwarded_to(&harness.complete(id, 0, Outcome::Error, 150 * MS)).is_some(),
        "not retried within the key window"
    );
    let (id, _) = harness.request(BOOK);
    harness.now += 300 * MS;
    assert_eq!(
        forwarded_to(&harness.complete(id, 0, Outcome::Error, 300 * MS)),
        None,
        "retried after the key window"
    );
}

#[test]
fn a_keyed_request_is_retried_only_within_its_key_scope() {
    let mut keyed_by_zone = config();
    keyed_by_zone.classes[BOOK.0].idempotency =
        Idempotency::Keyed { scope: KeyScope::Zone, window: 900 * MS };
    let in_other_zone = EndpointRecord { zone: ZoneId(1), ..endpoint_record(2, OLD) };
    for (outcome, may_retry) in [(Outcome::Error, false), (Outcome::Overloaded, true)] {
        let mut harness = Harness::on_trial(keyed_by_zone.clone(), vec![endpoint_record(1, OLD)]);
        let (id, _) = harness.request(BOOK);
        harness.set_endpoints(vec![in_other_zone]);
        let actions = harness.complete(id, 0, outcome, MS);
        assert_eq!(forwarded_to(&actions).is_some(), may_retry, "{outcome:?}");
        if !may_retry {
            assert_eq!(
                actions,
                [Action::Fail(id)],
                "answered by a rejection, which promises that the request is safe to send again"
            );
        }
    }
}

/// Guards against an exhausted retry budget: with a steady loss of connections, requests get no second
/// attempt.
#[test]
fn the_retry_budget_covers_a_steady_loss_of_one_attempt_in_seven() {
    let mut harness = released_fleet();
    let mut attempts = 0;
    let mut unserved = 0;
    for _ in 0..2_000 {
        let (id, mut actions) = harness.request(READ);
        let mut attempt = 0;
        while forwarded_to(&actions).is_some() {
            attempts += 1;
            // One attempt in seven is lost.
            let outcome = if attempts % 7 == 0 { Outcome::ConnectionLost } else { Outcome::Success };
            harness.now += 5 * MS;
            actions = harness.complete(id, attempt, outcome, 5 * MS);
            attempt += 1;
        }
        unserved += count_unsuccessful_answers(&actions);
        harness.tick(5);
    }
    assert!(
        unserved < 20,
        "{unserved} of 2000 requests were not served although a second attempt would have succeeded"
    );
}

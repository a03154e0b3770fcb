//! Tests of the lifetime of `Request-Id`s.

use garnetcrank_http::{Parsed, RequestReader, Ring};

use super::*;

const DEADLINE: Micros = 1_000 * SECOND;
const MAX_RETAINED: usize = 2;
const ID: RequestId = RequestId(1);

fn message(request_id: &str) -> Message {
    let text = format!("GET /look HTTP/1.1\r\nHost: x\r\nRequest-Id: {request_id}\r\n\r\n");
    let mut ring = Ring::new(text.len());
    ring.push(text.as_bytes()).expect("space in the ring buffer");
    match RequestReader::new(0).read(&mut ring) {
        Ok(Parsed::Complete(message)) => message,
        other => panic!("not a request: {other:?}"),
    }
}

/// Opens a request and ends an attempt of it, after its client has disconnected.
fn end_request(ids: &mut RequestIds, request_id: &str, idempotency: Idempotency, outcome: Outcome) {
    ids.open(ID, &message(request_id), idempotency, DEADLINE);
    ids.attempt_started(ID);
    ids.response_ended(ID);
    assert!(ids.is_in_use(&message(request_id), DEADLINE), "an attempt is open");
    ids.attempt_ended(ID, outcome);
    assert!(!ids.is_open(ID));
}

#[test]
fn an_id_is_in_use_while_an_attempt_is_open_and_for_a_while_if_it_may_have_run() {
    let mut ids = RequestIds::new(MAX_RETAINED);
    for (idempotency, outcome, is_retained) in [
        (Idempotency::Idempotent, Outcome::Cancelled, false),
        (Idempotency::NonIdempotent, Outcome::NotSent, false),
        (Idempotency::NonIdempotent, Outcome::Overloaded, false),
        (Idempotency::NonIdempotent, Outcome::Cancelled, true),
        (Idempotency::NonIdempotent, Outcome::Success, true),
    ] {
        let request_id = format!("{idempotency:?}-{outcome:?}");
        end_request(&mut ids, &request_id, idempotency, outcome);
        assert_eq!(
            ids.is_in_use(&message(&request_id), DEADLINE + RETENTION - 1),
            is_retained,
            "{request_id}"
        );
    }
    assert!(!ids.is_in_use(&message("NonIdempotent-Success"), DEADLINE + RETENTION));
    assert!(ids.is_empty());
}

#[test]
fn ids_of_open_requests_are_in_use_however_many_are_retained() {
    let mut ids = RequestIds::new(MAX_RETAINED);
    ids.open(RequestId(0), &message("open"), Idempotency::NonIdempotent, DEADLINE);
    for number in 0..10 {
        end_request(&mut ids, &number.to_string(), Idempotency::NonIdempotent, Outcome::TimedOut);
    }
    let in_use = |ids: &mut RequestIds, request_id: &str| ids.is_in_use(&message(request_id), DEADLINE);
    assert!(in_use(&mut ids, "open"));
    let retained = (0..10).filter(|number| in_use(&mut ids, &number.to_string())).count();
    assert_eq!(retained, MAX_RETAINED);
}

#[test]
fn an_attempt_other_than_the_next_one_may_have_run() {
    let mut ids = RequestIds::new(MAX_RETAINED);
    ids.open(ID, &message("1"), Idempotency::NonIdempotent, DEADLINE);
    ids.attempt_started(ID);
    assert!(!ids.may_have_run_before(ID));
    ids.attempt_ended(ID, Outcome::ConnectFailed);
    ids.attempt_started(ID);
    assert!(!ids.may_have_run_before(ID));
    ids.attempt_started(ID);
    assert!(ids.may_have_run_before(ID), "another attempt is open");
    ids.attempt_ended(ID, Outcome::ConnectionLost);
    assert!(ids.may_have_run_before(ID), "another attempt may have run");
}

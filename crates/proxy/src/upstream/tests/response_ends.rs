//! Tests of responses that end with their connection, at a limit or because their memory is needed.

use std::net::TcpStream;

use garnetcrank_policy::api::Outcome;
use garnetcrank_test_support::scripted_servers::reset_on_close;

use super::{Fixture, NOW, RESPONSE, write_text};
use crate::clock::SECOND;
use crate::upstream::exchange::STREAM_IDLE_TIMEOUT;
use crate::upstream::{CutOffReason, MAX_BODY_BYTES};

/// Guards against a reset that is taken for the orderly close that delimits a response.
#[test]
fn a_reset_completes_no_response_that_a_close_would_complete() {
    let without_length = |status: &str| format!("HTTP/1.1 {status}\r\nConnection: close\r\n\r\nhello");
    for (response, streamed, after_close, after_reset) in [
        (without_length("200 OK"), true, Outcome::Success, Outcome::ConnectionLost),
        (without_length("200 OK"), false, Outcome::ConnectionLost, Outcome::ConnectionLost),
        (without_length("500 Oops"), true, Outcome::Error, Outcome::ConnectionLost),
        (without_length("500 Oops"), false, Outcome::Error, Outcome::ConnectionLost),
        (without_length("503 Busy\r\nNot-Started: 1"), false, Outcome::Overloaded, Outcome::ConnectionLost),
        (RESPONSE.to_owned(), true, Outcome::Success, Outcome::Success),
        (RESPONSE.to_owned(), false, Outcome::Success, Outcome::Success),
    ] {
        for (is_reset, expected) in [(false, after_close), (true, after_reset)] {
            let mut fixture = Fixture::new();
            fixture.start_attempt(1, streamed, NOW);
            let mut endpoint = fixture.accept();
            write_text(&mut endpoint, &response);
            fixture.wait_for_bytes();
            if is_reset {
                reset_on_close(&endpoint);
            }
            drop(endpoint);
            let (_, outcome) = fixture.finish_attempt();
            assert_eq!(outcome, expected, "streamed: {streamed}, reset: {is_reset}, {response:?}");
        }
    }
}

/// Responses of 200 with the same body in each framing, with the head of each.
fn in_each_framing(body: &str) -> [String; 3] {
    let (length, size) = (body.len(), format!("{:x}", body.len()));
    [
        format!("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{body}"),
        format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}"),
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{size}\r\n{body}\r\n0\r\n\r\n"),
    ]
}

/// Guards against a complete stream that is cut off because its connection is closed while more of it has been read than
/// is taken at once.
#[test]
fn a_stream_that_is_closed_is_forwarded_to_its_last_byte() {
    for body_bytes in [MAX_BODY_BYTES - 1, MAX_BODY_BYTES, MAX_BODY_BYTES + 1, 80_000, 90_000] {
        for response in in_each_framing(&"x".repeat(body_bytes)) {
            let mut fixture = Fixture::new();
            fixture.attempt_streamed(1, NOW);
            let mut endpoint = fixture.accept();
            write_text(&mut endpoint, &response);
            drop(endpoint);
            let (forwarded, outcome) = fixture.finish_attempt();
            let head: String = response.chars().take_while(|char| *char != 'x').collect();
            assert_eq!((forwarded, outcome), (body_bytes, Outcome::Success), "{head:?}");
        }
    }
}

/// Starts an attempt whose streamed response has begun with `body`. Returns it with the endpoint's connection.
fn start_stream(body: &str) -> (Fixture, TcpStream) {
    let mut fixture = Fixture::new();
    fixture.attempt_streamed(1, NOW);
    let mut endpoint = fixture.accept();
    write_text(&mut endpoint, &format!("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{body}"));
    fixture.wait_for_bytes();
    fixture.report_ready(NOW);
    (fixture, endpoint)
}

/// Guards against a stream that never ends because its endpoint has vanished: looking for unread bytes at the idle limit
/// counted as progress.
#[test]
fn a_stream_without_a_byte_for_the_idle_limit_is_lost() {
    let (mut fixture, mut endpoint) = start_stream("");
    // The last byte arrives after the attempt's own deadline, which no longer counts.
    let last_byte_at = NOW + 10 * SECOND;
    fixture.upstream.expire_attempts(last_byte_at - 1, &mut fixture.events);
    write_text(&mut endpoint, "x");
    fixture.wait_for_bytes();
    fixture.report_ready(last_byte_at);
    fixture.events.clear();
    for (at, expected) in [(STREAM_IDLE_TIMEOUT - 1, None), (STREAM_IDLE_TIMEOUT, Some(CutOffReason::Idle))] {
        fixture.report_ready(last_byte_at + at);
        fixture.upstream.expire_attempts(last_byte_at + at, &mut fixture.events);
        assert_eq!(fixture.take_cut_off_reason(), expected, "{at} us after the last byte");
    }
    assert_eq!(fixture.completed(), [(1, Outcome::ConnectionLost)]);
}

/// Guards against a stream that gives way to others and is not reported as cut off.
#[test]
fn a_stream_whose_memory_is_needed_is_cut_off() {
    let (mut fixture, _endpoint) = start_stream("x");
    fixture.events.clear();
    fixture.upstream.end_largest_exchange(NOW, &mut fixture.events);
    assert_eq!(fixture.take_cut_off_reason(), Some(CutOffReason::Memory));
    assert_eq!(fixture.completed(), [(1, Outcome::ConnectionLost)]);
}

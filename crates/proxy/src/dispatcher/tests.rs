//! Tests of the dispatcher against a real policy.

use super::*;
use crate::classify::classify;
use crate::clock::MS;
use crate::dispatcher::in_flight::EXPIRATION_GRACE;
use garnetcrank_http::{InputState, Parsed, RequestReader, ResponseReader, Ring};
use garnetcrank_policy::api::{EndpointRecord, EndpointStatus, EndpointUpdate};

const NOW: Micros = 1_700_000_000_000_000;

fn settings() -> Settings {
    let settings = serde_json::from_str(include_str!("../../tests/settings.json")).expect("JSON");
    Settings::from_json(&settings).expect("valid settings")
}

fn dispatcher_with_one_endpoint() -> Dispatcher {
    let mut dispatcher = Dispatcher::new(7, &settings(), 1, 1_024);
    let entry = EndpointRecord { rating: 1.0, ..EndpointRecord::default() };
    dispatcher.queue_priority_event(Event::EndpointsUpdated(EndpointUpdate::Snapshot {
        endpoints: vec![entry],
        cached: true,
    }));
    handle_all_events(&mut dispatcher);
    dispatcher
}

fn handle_all_events(dispatcher: &mut Dispatcher) -> Vec<Command> {
    let mut commands = Vec::new();
    while dispatcher.handle_next_event(NOW, &mut commands) {}
    commands.retain(|c| !matches!(c, Command::SetTimer { .. } | Command::Log(_)));
    commands
}

fn receive_request(dispatcher: &mut Dispatcher, target: &str) -> RequestId {
    receive_request_as(dispatcher, target, "1")
}

fn receive_request_as(dispatcher: &mut Dispatcher, target: &str, request_id: &str) -> RequestId {
    let text = format!(
        "POST {target} HTTP/1.1\r\nHost: x\r\nRequest-Id: {request_id}\r\nTenant: acme\r\n\
         Request-Timeout-Ms: 900\r\nContent-Length: 2\r\n\r\nhi"
    );
    let mut ring = Ring::new(4096);
    ring.push(text.as_bytes()).expect("space in the ring buffer");
    let Ok(Parsed::Complete(message)) = RequestReader::new(10).read(&mut ring) else {
        panic!("the request is not complete")
    };
    let classification = classify(&settings(), &message).expect("a classifiable request");
    assert!(!dispatcher.is_duplicate(&message, NOW), "an earlier request is still open");
    dispatcher.on_request(ConnId(1), message, classification, NOW)
}

fn result(id: RequestId, attempt: usize, outcome: Outcome) -> AttemptResult {
    AttemptResult { id, attempt, outcome, latency: 1000, request_finished: false, load_report: Vec::new() }
}

#[test]
fn a_client_that_disconnects_before_the_decision_leaks_nothing() {
    let mut dispatcher = dispatcher_with_one_endpoint();
    for _ in 0..100 {
        let id = receive_request(&mut dispatcher, "/look");
        let message_bytes = dispatcher.get(id).expect("in flight").message.memory.bytes();
        assert!(message_bytes > "POST /look HTTP/1.1\r\n\r\nhi".len(), "the head counts, too");
        assert_eq!((dispatcher.in_flight_count(), dispatcher.in_flight_bytes()), (1, message_bytes));
        dispatcher.on_disconnect(id);
        let commands = handle_all_events(&mut dispatcher);
        let only_cancelled = commands.iter().all(|c| matches!(c, Command::Cancel { .. }));
        assert!(only_cancelled, "commands other than Cancel: {commands:?}");
        assert!(
            dispatcher.in_flight.get(id).is_none()
                && dispatcher.in_flight_count() == 0
                && dispatcher.in_flight_bytes() == 0
        );
        assert!(dispatcher.in_flight.is_clean(), "the table still refers to the request");
    }
    // The policy's count of open attempts is still right: it forwards the next request at once.
    receive_request(&mut dispatcher, "/look");
    assert!(matches!(
        handle_all_events(&mut dispatcher)[..],
        [Command::Forward(ForwardAttempt { attempt: 0, .. })]
    ));
}

#[test]
fn the_first_response_is_final_and_the_request_does_not_expire_later() {
    let mut dispatcher = dispatcher_with_one_endpoint();
    let id = receive_request(&mut dispatcher, "/pay");
    assert_eq!(handle_all_events(&mut dispatcher).len(), 1);
    let mut ring = Ring::new(4096);
    ring.push(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx").expect("space in the ring buffer");
    let read = ResponseReader::buffered(10).read(&mut ring, InputState::Open);
    let Ok(Parsed::Complete(response)) = read else { panic!("the response is not complete") };
    let mut commands = Vec::new();
    dispatcher.on_attempt_completed(result(id, 0, Outcome::Success), Some(response), &mut commands);
    assert!(matches!(commands[..], [Command::Respond { client: ConnId(1), .. }]));
    commands.clear();
    dispatcher.expire_overdue(WorkerId::FIRST, NOW + 3_600_000 * MS, &mut commands);
    assert!(
        commands.is_empty()
            && handle_all_events(&mut dispatcher).is_empty()
            && dispatcher.in_flight.is_clean()
    );
}

#[test]
fn a_request_without_a_response_is_failed_when_it_expires() {
    let mut dispatcher = dispatcher_with_one_endpoint();
    let id = receive_request(&mut dispatcher, "/pay");
    handle_all_events(&mut dispatcher);
    let mut commands = Vec::new();
    dispatcher.expire_overdue(WorkerId::FIRST, NOW + 900 * MS, &mut commands);
    assert!(commands.is_empty(), "failed before the grace period ended");
    dispatcher.expire_overdue(WorkerId::FIRST, NOW + 900 * MS + EXPIRATION_GRACE, &mut commands);
    assert!(matches!(commands[..], [Command::DeadlineExceeded { client: ConnId(1) }]));
    assert!(matches!(handle_all_events(&mut dispatcher)[..], [Command::Cancel { attempt: 0, .. }]));
    dispatcher.on_attempt_completed(result(id, 0, Outcome::Cancelled), None, &mut commands);
    assert!(handle_all_events(&mut dispatcher).is_empty() && dispatcher.in_flight.is_clean());
}

#[test]
fn a_process_that_shuts_down_answers_every_request_before_it_may_be_killed() {
    let mut dispatcher = dispatcher_with_one_endpoint();
    receive_request(&mut dispatcher, "/pay");
    assert_eq!(handle_all_events(&mut dispatcher).len(), 1);
    dispatcher.limit_deadlines(NOW + 5_000 * MS);
    assert_eq!(
        dispatcher.next_deadline(WorkerId::FIRST),
        Some(NOW + 900 * MS + EXPIRATION_GRACE),
        "its own deadline is earlier"
    );
    dispatcher.limit_deadlines(NOW + 300 * MS);
    assert_eq!(dispatcher.next_deadline(WorkerId::FIRST), Some(NOW + 300 * MS + EXPIRATION_GRACE));
    let mut commands = Vec::new();
    dispatcher.expire_overdue(WorkerId::FIRST, NOW + 300 * MS + EXPIRATION_GRACE, &mut commands);
    assert!(matches!(commands[..], [Command::DeadlineExceeded { .. }]));
    handle_all_events(&mut dispatcher);
    // The shutdown deadline also limits a request that arrives after it was set, and its attempts.
    receive_request_as(&mut dispatcher, "/look", "2");
    assert_eq!(dispatcher.next_deadline(WorkerId::FIRST), Some(NOW + 300 * MS + EXPIRATION_GRACE));
    let in_time = |c: &Command| matches!(c, Command::Forward(forward) if forward.deadline <= NOW + 300 * MS);
    let forwarded = handle_all_events(&mut dispatcher);
    assert!(forwarded.iter().all(in_time) && forwarded.len() == 1, "{forwarded:?}");
    dispatcher.limit_deadlines(NOW + 200 * MS);
    assert_eq!(
        (dispatcher.in_flight.expiration_count(), dispatcher.in_flight_count()),
        (1, 1),
        "a replaced expiration was not removed"
    );
}

#[test]
fn an_attempt_is_retried_only_if_it_certainly_did_not_run() {
    for (outcome, retried) in [
        (Outcome::ConnectionLost, false),
        (Outcome::Error, false),
        (Outcome::TimedOut, false),
        (Outcome::Overloaded, true),
        (Outcome::ConnectFailed, true),
        (Outcome::NotSent, true),
    ] {
        let mut dispatcher = dispatcher_with_one_endpoint();
        let id = receive_request(&mut dispatcher, "/pay");
        handle_all_events(&mut dispatcher);
        dispatcher.on_attempt_completed(result(id, 0, outcome), None, &mut Vec::new());
        let commands = handle_all_events(&mut dispatcher);
        match retried {
            true => {
                assert!(
                    matches!(commands[..], [Command::Forward(ForwardAttempt { attempt: 1, .. })]),
                    "{commands:?}"
                )
            }
            false => assert!(matches!(commands[..], [Command::Fail { .. }]), "{commands:?}"),
        }
    }
}

#[test]
fn updates_are_handled_before_requests_of_the_same_turn() {
    let mut dispatcher = dispatcher_with_one_endpoint();
    receive_request(&mut dispatcher, "/pay");
    let draining =
        EndpointRecord { status: EndpointStatus::Draining, rating: 1.0, ..EndpointRecord::default() };
    dispatcher.queue_priority_event(Event::EndpointsUpdated(EndpointUpdate::Delta(vec![draining])));
    assert!(
        matches!(handle_all_events(&mut dispatcher)[..], [Command::Reject { .. }]),
        "forwarded to a draining endpoint"
    );
}

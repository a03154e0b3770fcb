//! Tests of what workers share.

use super::*;
use garnetcrank_policy::api::{EndpointId, EndpointUpdate};

fn shared(worker_count: usize) -> WorkerShared {
    let value = serde_json::from_str(include_str!("../../tests/settings.json")).expect("JSON");
    let settings = garnetcrank_settings::Settings::read(&value).expect("settings");
    WorkerShared::new(Dispatcher::new(7, &settings, worker_count), worker_count).expect("wake-up sources").0
}

#[test]
fn a_decision_from_before_an_update_or_long_ago_is_not_sent() {
    let shared = shared(3);
    let stamp = DecisionStamp { updates: 0, decided_at: 1_000 * MS };
    assert!(shared.may_send(stamp, 1_000 * MS + MAX_DECISION_AGE));
    assert!(!shared.may_send(stamp, 1_001 * MS + MAX_DECISION_AGE), "its thread did not run");
    shared.deliver(Event::EndpointsUpdated(EndpointUpdate::Delta(Vec::new())));
    assert!(!shared.may_send(stamp, 1_000 * MS), "it was decided without the update");
    let without_update = DecisionStamp { updates: 0, decided_at: 1_000 * MS };
    assert!(!shared.may_send(without_update, 1_000 * MS), "an update that waits is not handled yet");
    shared.dispatcher().handle_next_event(1_000 * MS, &mut Vec::new());
    assert!(shared.may_send(DecisionStamp { updates: 1, decided_at: 1_000 * MS }, 1_000 * MS));
}

#[test]
fn a_single_worker_sends_whatever_it_decided() {
    let shared = shared(1);
    shared.deliver(Event::EndpointsUpdated(EndpointUpdate::Delta(Vec::new())));
    assert!(shared.may_send(DecisionStamp { updates: 0, decided_at: 0 }, 9_000 * MS));
}

#[test]
fn the_worker_with_the_fewest_clients_accepts_the_next() {
    let shared = shared(3);
    shared.publish(WorkerId(0), 2, true, &Counters::default());
    shared.publish(WorkerId(1), 1, true, &Counters::default());
    shared.publish(WorkerId(2), 1, false, &Counters::default());
    assert!(
        !shared.has_fewest_clients(WorkerId(0))
            && shared.has_fewest_clients(WorkerId(1))
            && shared.has_fewest_clients(WorkerId(2))
    );
    assert!(!shared.others_drained(WorkerId(0)) && shared.others_drained(WorkerId(2)));
}

#[test]
fn messages_arrive_in_order_and_once() {
    let shared = shared(2);
    let message = |n| WorkerMessage::Command(Command::CloseIdle(EndpointId(n)));
    shared.post(WorkerId(1), [message(1), message(2)]);
    shared.post(WorkerId(1), [message(3)]);
    let numbers: Vec<u32> = (shared.take_messages(WorkerId(1)).into_iter())
        .filter_map(|message| match message {
            WorkerMessage::Command(Command::CloseIdle(endpoint)) => Some(endpoint.0),
            _ => None,
        })
        .collect();
    assert_eq!(numbers, [1, 2, 3]);
    assert!(shared.take_messages(WorkerId(1)).is_empty() && shared.take_messages(WorkerId(0)).is_empty());
}

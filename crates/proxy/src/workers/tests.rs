//! Tests of the state that the workers share.

use super::*;
use garnetcrank_policy::api::{EndpointId, EndpointUpdate};

fn shared(worker_count: usize) -> WorkerShared {
    let value = serde_json::from_str(include_str!("../../tests/settings.json")).expect("JSON");
    let settings = garnetcrank_settings::Settings::from_json(&value).expect("valid settings");
    WorkerShared::new(Dispatcher::new(7, &settings, worker_count, 1_024), worker_count)
        .expect("wake-up sources")
        .0
}

#[test]
fn a_decision_made_before_an_update_or_too_long_ago_is_not_current() {
    let shared = shared(3);
    let stamp = DecisionStamp { updates: 0, decided_at: 1_000 * MS };
    assert!(shared.is_decision_current(stamp, 1_000 * MS + MAX_DECISION_AGE));
    assert!(
        !shared.is_decision_current(stamp, 1_001 * MS + MAX_DECISION_AGE),
        "the decision is older than the maximum age"
    );
    shared.queue_update(Event::EndpointsUpdated(EndpointUpdate::Delta(Vec::new())));
    assert!(!shared.is_decision_current(stamp, 1_000 * MS), "the decision was made without the update");
    let without_update = DecisionStamp { updates: 0, decided_at: 1_000 * MS };
    assert!(
        !shared.is_decision_current(without_update, 1_000 * MS),
        "the queued update has not been handled yet"
    );
    shared.dispatcher().handle_next_event(1_000 * MS, &mut Vec::new());
    assert!(shared.is_decision_current(DecisionStamp { updates: 1, decided_at: 1_000 * MS }, 1_000 * MS));
}

#[test]
fn a_decision_of_a_single_worker_is_always_current() {
    let shared = shared(1);
    shared.queue_update(Event::EndpointsUpdated(EndpointUpdate::Delta(Vec::new())));
    assert!(shared.is_decision_current(DecisionStamp { updates: 0, decided_at: 0 }, 9_000 * MS));
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
fn messages_are_received_once_and_in_order() {
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

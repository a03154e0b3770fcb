//! The endpoint list: who gets attempts, and when the list is polled.

mod common;

use common::{Harness, MS, OLD, READ, config, endpoint_record, fleet_with_new, forwarded_to};
use garnetcrank_policy::api::{Action, EndpointId, EndpointRecord, EndpointStatus, EndpointUpdate, Event};

#[test]
fn draining_and_removed_endpoints_get_no_new_attempts() {
    let mut harness = Harness::on_trial(config(), vec![endpoint_record(1, OLD), endpoint_record(2, OLD)]);
    let draining = EndpointRecord { status: EndpointStatus::Draining, ..endpoint_record(1, OLD) };
    harness.send(Event::EndpointsUpdated(EndpointUpdate::Delta(vec![draining])));
    for _ in 0..50 {
        assert_eq!(forwarded_to(&harness.request(READ).1), Some(EndpointId(2)));
    }
    harness.set_endpoints(vec![endpoint_record(1, OLD)]);
    assert_eq!(forwarded_to(&harness.request(READ).1), Some(EndpointId(1)), "absent from a snapshot is gone");
}

/// Danger: the list is out of reach, and asked for by all instances without restraint.
#[test]
fn polls_of_an_unavailable_endpoint_list_back_off() {
    let mut polling = config();
    polling.poll_endpoints = true;
    let mut harness = Harness::new(polling);
    let cached = EndpointUpdate::Snapshot { endpoints: fleet_with_new(&[]), cached: true };
    harness.send(Event::EndpointsUpdated(cached));
    let mut polls = Vec::new();
    for _ in 0..800 {
        if harness.tick(25).contains(&Action::WatchEndpoints(true)) {
            polls.push(harness.now);
            harness.send(Event::EndpointsUpdated(EndpointUpdate::Unavailable));
        }
    }
    assert!((4..=16).contains(&polls.len()), "{} polls in 20 s", polls.len());
    assert!(polls.windows(2).all(|w| w[1] - w[0] >= 500 * MS && w[1] - w[0] <= 8_000 * MS));
    harness.set_endpoints(fleet_with_new(&[]));
    assert!(
        (0..800).all(|_| !harness.tick(25).contains(&Action::WatchEndpoints(true))),
        "watched: no more polls"
    );
}

//! The endpoint list: eligibility of its endpoints, and polling.

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
    assert_eq!(
        forwarded_to(&harness.request(READ).1),
        Some(EndpointId(1)),
        "the endpoint missing from the snapshot was used"
    );
}

/// Guards against overload of discovery: all instances poll an unavailable endpoint list without back-off.
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
    assert!(polls.windows(2).all(|pair| pair[1] - pair[0] >= 500 * MS && pair[1] - pair[0] <= 8_000 * MS));
    harness.set_endpoints(fleet_with_new(&[]));
    assert!(
        (0..800).all(|_| !harness.tick(25).contains(&Action::WatchEndpoints(true))),
        "polled although the list is watched"
    );
}

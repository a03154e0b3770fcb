//! Tests of the discovery client: complete lists, deltas, polls and reconfiguration.

use std::io::Write;
use std::net::TcpListener;

use calloop::{EventLoop, Readiness};
use garnetcrank_policy::api::{Build, CellId, EndpointId, EndpointUpdate, KindId, ZoneId};
use garnetcrank_settings::Settings;

use super::endpoint_registry::EndpointAddress;
use super::{Discovery, DiscoveryUpdate, MAX_LIST_BYTES, MemberList, SILENCE_TIMEOUT};
use crate::clock::SECOND;
use crate::readiness::{ConnId, ConnIds, Handle, TurnInputs};
use crate::unary_call::CallOutcome;
use crate::watch_stream::WatchEvents;

fn discovery() -> Discovery {
    let settings = serde_json::from_str(include_str!("../../tests/settings.json")).expect("JSON");
    let settings = Settings::from_json(&settings).expect("valid settings");
    Discovery::new("127.0.0.1:1".parse().expect("an address"), &settings, 7)
}

fn member(id: &str, port: u16, build: u32, phase: &str) -> String {
    format!(
        r#"{{"id":"{id}","host_port":"127.0.0.1:{port}","locality":"south","flavor":"box","cell":3,"phase":"{phase}","size":1.5,"up_since_ms":1700000000000,"build":{build}}}"#
    )
}

fn list(revision: u64, complete: bool, members: &[String]) -> String {
    format!(r#"{{"revision":{revision},"complete":{complete},"members":[{}]}}"#, members.join(","))
}

fn apply(discovery: &mut Discovery, line: &str) -> DiscoveryUpdate {
    let mut update = DiscoveryUpdate::default();
    discovery.apply_text(line.as_bytes(), &mut update).expect(line);
    update
}

#[test]
fn a_member_becomes_an_endpoint_record_and_an_address() {
    let mut discovery = discovery();
    let update = apply(&mut discovery, &list(4, true, &[member("s-1", 9001, 41, "Ready")]));
    let EndpointUpdate::Snapshot { endpoints: records, cached: false } = &update.endpoint_updates[0] else {
        panic!("{update:?}")
    };
    let record = records[0];
    assert_eq!((record.endpoint, record.zone, record.kind), (EndpointId(0), ZoneId(1), KindId(0)));
    assert_eq!((record.build, record.cell, record.rating), (Build(41), CellId(3), 1.5));
    assert_eq!(record.started, Some(1_700_000_000_000_000));
    assert_eq!(update.addresses[0].address, Some("127.0.0.1:9001".parse().expect("an address")));
}

#[test]
fn a_line_with_thousands_of_members_is_parsed() {
    let mut discovery = discovery();
    let member_count = 4096;
    let members: Vec<_> = (0..member_count).map(|n| member(&format!("s-{n}"), 9001, 41, "Ready")).collect();
    let line = list(1, true, &members);
    assert!(line.len() <= MAX_LIST_BYTES / 4, "{} bytes exceed a quarter of the limit", line.len());
    let update = apply(&mut discovery, &line);
    let EndpointUpdate::Snapshot { endpoints: records, .. } = &update.endpoint_updates[0] else {
        panic!("not a complete list")
    };
    assert_eq!(
        (records.len(), update.addresses.len(), discovery.registry.ids.len()),
        (member_count, member_count, member_count)
    );
}

#[test]
fn a_restart_marks_idle_connections_as_unusable_and_draining_does_not() {
    let mut discovery = discovery();
    apply(
        &mut discovery,
        &list(4, true, &[member("s-1", 9001, 41, "Ready"), member("s-2", 9002, 41, "Ready")]),
    );
    let update = apply(&mut discovery, &list(5, false, &[member("s-1", 9001, 42, "Ready")]));
    assert!(
        matches!(&update.endpoint_updates[0], EndpointUpdate::Delta(e) if e.len() == 1 && e[0].build == Build(42))
    );
    assert!(update.addresses[0].restarted);
    let update = apply(&mut discovery, &list(6, false, &[member("s-1", 9001, 42, "Terminating")]));
    assert!(!update.addresses[0].restarted, "draining keeps connections with requests in flight");
    let update = apply(&mut discovery, &list(7, false, &[member("s-1", 9001, 42, "Gone")]));
    assert_eq!((update.addresses[0].address, update.addresses[0].restarted), (None, true));
}

#[test]
fn an_endpoint_missing_from_a_complete_list_is_removed() {
    let mut discovery = discovery();
    apply(
        &mut discovery,
        &list(4, true, &[member("s-1", 9001, 41, "Ready"), member("s-2", 9002, 41, "Ready")]),
    );
    let update = apply(&mut discovery, &list(9, true, &[member("s-2", 9002, 41, "Ready")]));
    assert!(update.addresses.contains(&EndpointAddress::removed(EndpointId(0))));
}

#[test]
fn removed_endpoints_are_deleted_and_an_endpoint_added_again_gets_a_new_id() {
    let mut discovery = discovery();
    apply(&mut discovery, &list(1, true, &[member("s-0", 9000, 41, "Ready")]));
    let mut assigned_ids = Vec::new();
    for round in 1..500u64 {
        let (id, port) = (format!("s-{}", round % 7 + 1), 9001);
        let update =
            apply(&mut discovery, &list(2 * round, false, &[member(&id, port, 41 + round as u32, "Ready")]));
        assigned_ids.push(update.addresses[0].endpoint);
        apply(&mut discovery, &list(2 * round + 1, false, &[member(&id, port, 41, "Gone")]));
    }
    assigned_ids.dedup();
    assert_eq!(assigned_ids.len(), 499, "an endpoint id was assigned twice");
    assert_eq!((discovery.registry.ids.len(), discovery.registry.processes.len()), (1, 1));
    apply(&mut discovery, &list(2000, true, &[]));
    assert!(discovery.registry.ids.is_empty() && discovery.registry.processes.is_empty());
}

#[test]
fn an_older_delta_is_ignored_and_a_complete_list_is_always_applied() {
    let mut discovery = discovery();
    apply(&mut discovery, &list(4, true, &[member("s-1", 9001, 41, "Ready")]));
    apply(&mut discovery, &list(8, false, &[member("s-1", 9001, 41, "Terminating")]));
    let outdated = apply(&mut discovery, &list(7, false, &[member("s-1", 9001, 41, "Ready")]));
    // The empty delta still answers a pending poll of the policy.
    assert!(
        matches!(&outdated.endpoint_updates[..], [EndpointUpdate::Delta(e)] if e.is_empty())
            && outdated.addresses.is_empty()
    );
    assert_eq!(
        apply(&mut discovery, &list(2, true, &[member("s-1", 9001, 41, "Ready")])).endpoint_updates.len(),
        1
    );
}

/// The list as indented JSON with one value per line, as a peer may send it.
fn to_indented_json(line: &str) -> Vec<u8> {
    let value: serde_json::Value = serde_json::from_str(line).expect("JSON");
    serde_json::to_vec_pretty(&value).expect("JSON")
}

fn receive(discovery: &mut Discovery, text: &[u8]) -> DiscoveryUpdate {
    let lines = text.split(|b| *b == b'\n').map(<[u8]>::to_vec).collect();
    discovery.apply_events(WatchEvents { lines, lost: false }, 0)
}

#[test]
fn an_indented_list_is_one_text_and_an_incomplete_one_does_not_affect_the_next() {
    let mut discovery = discovery();
    let complete_list = to_indented_json(
        &list(4, true, &[member("s-\"{1", 9001, 41, "Ready")]).replace("s-\"{1", "s-\\\"{1"),
    );
    assert!(complete_list.contains(&b'\n'));
    assert!(
        matches!(&receive(&mut discovery, &complete_list).endpoint_updates[..], [EndpointUpdate::Snapshot { endpoints: records, .. }] if records.len() == 1)
    );
    let change = to_indented_json(&list(5, false, &[member("s-2", 9002, 41, "Ready")]));
    let middle = change.len() / 2;
    assert!(receive(&mut discovery, b"\n\n").endpoint_updates.is_empty(), "heartbeats");
    // A delta arrives in two parts, then half of a second one followed by a heartbeat.
    let end = change[..middle].iter().rposition(|b| *b == b'\n').expect("a line break");
    assert!(receive(&mut discovery, &change[..end]).endpoint_updates.is_empty());
    assert!(
        matches!(&receive(&mut discovery, &change[end + 1..]).endpoint_updates[..], [EndpointUpdate::Delta(e)] if e.len() == 1)
    );
    receive(&mut discovery, &change[..end]);
    assert_eq!(discovery.reconnects, 0);
    receive(&mut discovery, b"");
    assert_eq!(discovery.reconnects, 1, "an incomplete list is unreadable");
    let next_change = list(6, false, &[member("s-3", 9003, 41, "Ready")]);
    assert!(
        matches!(&receive(&mut discovery, next_change.as_bytes()).endpoint_updates[..], [EndpointUpdate::Delta(e)] if e.len() == 1)
    );
}

#[test]
fn a_polled_list_older_than_the_watch_stream_does_not_revert_draining() {
    let mut discovery = discovery();
    apply(&mut discovery, &list(4, true, &[member("s-1", 9001, 41, "Ready")]));
    apply(&mut discovery, &list(8, false, &[member("s-1", 9001, 41, "Terminating")]));
    let poll_response = |revision| {
        let body = list(revision, true, &[member("s-1", 9001, 41, "Ready")]).into_bytes();
        let headers = garnetcrank_http::Headers::default();
        let memory = garnetcrank_http::MemoryCharge::default();
        CallOutcome::Response(garnetcrank_http::Response {
            status: 200,
            headers,
            body,
            keep_alive: false,
            memory,
        })
    };
    let older = discovery.on_poll_ended(poll_response(7));
    assert!(matches!(&older.endpoint_updates[..], [EndpointUpdate::Delta(e)] if e.is_empty()), "{older:?}");
    assert!(older.addresses.is_empty());
    assert!(matches!(
        &discovery.on_poll_ended(poll_response(9)).endpoint_updates[..],
        [EndpointUpdate::Snapshot { .. }]
    ));
}

#[test]
fn a_lost_watch_reconnects_to_a_new_address_without_backoff() {
    let mut settings: serde_json::Value =
        serde_json::from_str(include_str!("../../tests/settings.json")).expect("JSON");
    settings["registryMode"] = "on_request".into();
    let settings = Settings::from_json(&settings).expect("valid settings");
    let event_loop = EventLoop::<TurnInputs>::try_new().expect("an event loop");
    let (handle, mut ids, now) = (Handle::new(event_loop.handle()), ConnIds::default(), 100 * SECOND);
    let listen = || TcpListener::bind("127.0.0.1:0").expect("a port");
    let (old, new) = (listen(), listen());
    let address = |l: &TcpListener| l.local_addr().expect("an address");
    let mut discovery = Discovery::new(address(&old), &settings, 7);
    // No byte arrives on the watch stream, so it is lost. The policy waits before it watches again.
    assert!(discovery.set_watching(true, now).endpoint_updates.is_empty());
    discovery.on_tick(&handle, &mut ids, now);
    let (_silent_stream, _) = old.accept().expect("a connection");
    let lost = discovery.on_tick(&handle, &mut ids, now + SILENCE_TIMEOUT);
    assert!(matches!(lost.endpoint_updates[..], [EndpointUpdate::Unavailable]), "{lost:?}");
    let last_id = ids.next();
    let empty_list = MemberList { revision: 0, complete: false, members: Vec::new() };
    discovery.reconfigure(address(&old), empty_list.clone(), now + SILENCE_TIMEOUT);
    discovery.on_tick(&handle, &mut ids, now + SILENCE_TIMEOUT);
    assert_eq!(ids.next().0, last_id.0 + 1, "at the same address the policy decides when to reconnect");
    // Updates from the new address count as delivered after 4 s, and the policy may wait for 6 s.
    discovery.reconfigure(address(&new), empty_list, now + SILENCE_TIMEOUT);
    discovery.on_tick(&handle, &mut ids, now + SILENCE_TIMEOUT);
    assert_eq!(ids.next().0, last_id.0 + 3, "no connection was made to the new address");
    new.accept().expect("a connection");
}

#[test]
fn a_pending_poll_fails_when_the_address_changes() {
    let event_loop = EventLoop::<TurnInputs>::try_new().expect("an event loop");
    let (handle, mut ids, now) = (Handle::new(event_loop.handle()), ConnIds::default(), 100 * SECOND);
    let listen = || TcpListener::bind("127.0.0.1:0").expect("a port");
    let (old, new) = (listen(), listen());
    let address = |l: &TcpListener| l.local_addr().expect("an address");
    let mut discovery = discovery();
    let empty_list = MemberList { revision: 0, complete: false, members: Vec::new() };
    discovery.reconfigure(address(&old), empty_list.clone(), now);
    assert!(discovery.poll(&handle, &mut ids, now).endpoint_updates.is_empty());
    let (mut old_stream, _) = old.accept().expect("a connection");
    let call = ConnId(ids.next().0 - 1);
    let unchanged = discovery.reconfigure(address(&old), empty_list.clone(), now);
    assert!(
        unchanged.endpoint_updates.is_empty() && discovery.poll.is_some(),
        "a reload without an address change keeps the poll pending"
    );
    let lost = discovery.reconfigure(address(&new), empty_list, now);
    assert!(
        matches!(lost.endpoint_updates[..], [EndpointUpdate::Unavailable]),
        "the policy must be notified: {lost:?}"
    );
    // A late response from the old address is ignored.
    let body = r#"{"revision":9,"complete":true,"members":[]}"#;
    let poll_response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let _ = old_stream.write_all(poll_response.as_bytes()); // the connection may be closed already
    let readiness = Readiness { readable: true, writable: true, error: false };
    assert!(discovery.on_ready(call, readiness, now).endpoint_updates.is_empty() && !discovery.list_received);
    assert!(discovery.poll(&handle, &mut ids, now).endpoint_updates.is_empty());
    new.accept().expect("a connection to the new address");
}

#[test]
fn a_text_that_is_not_an_endpoint_list_is_rejected() {
    let mut discovery = discovery();
    let mut update = DiscoveryUpdate::default();
    for line in ["{", "[]", r#"{"revision":1,"complete":true,"members":[{"id":"x","phase":"Odd"}]}"#] {
        assert!(discovery.apply_text(line.as_bytes(), &mut update).is_err(), "{line}");
    }
    assert!(update.endpoint_updates.is_empty() && !discovery.list_received);
}

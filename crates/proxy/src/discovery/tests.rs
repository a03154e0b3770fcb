//! Lists, changes, polls and reconfiguration of the discovery client.

use std::io::Write;
use std::net::TcpListener;

use calloop::{EventLoop, Readiness};
use garnetcrank_policy::api::{Build, CellId, EndpointId, EndpointUpdate, KindId, ZoneId};
use garnetcrank_settings::Settings;

use super::endpoint_registry::EndpointAddress;
use super::{Discovery, DiscoveryUpdate, MAX_LIST_BYTES, MemberList, SILENCE_TIMEOUT};
use crate::clock::SECOND;
use crate::readiness::{ConnId, ConnIds, TurnInputs};
use crate::unary_call::CallOutcome;
use crate::watch_stream::WatchEvents;

fn discovery() -> Discovery {
    let settings = serde_json::from_str(include_str!("../../tests/settings.json")).expect("JSON");
    let settings = Settings::read(&settings).expect("settings that hold together");
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
    let EndpointUpdate::Snapshot { endpoints: entries, cached: false } = &update.endpoint_updates[0] else {
        panic!("{update:?}")
    };
    let entry = entries[0];
    assert_eq!((entry.endpoint, entry.zone, entry.kind), (EndpointId(0), ZoneId(1), KindId(0)));
    assert_eq!((entry.build, entry.cell, entry.rating), (Build(41), CellId(3), 1.5));
    assert_eq!(entry.started, Some(1_700_000_000_000_000));
    assert_eq!(update.addresses[0].address, Some("127.0.0.1:9001".parse().expect("an address")));
}

#[test]
fn thousands_of_members_are_read_from_one_line() {
    let mut discovery = discovery();
    let most = 4096;
    let all: Vec<_> = (0..most).map(|n| member(&format!("s-{n}"), 9001, 41, "Ready")).collect();
    let line = list(1, true, &all);
    assert!(line.len() <= MAX_LIST_BYTES / 4, "{} bytes are a fourth of what a line may have", line.len());
    let update = apply(&mut discovery, &line);
    let EndpointUpdate::Snapshot { endpoints: entries, .. } = &update.endpoint_updates[0] else {
        panic!("no whole list")
    };
    assert_eq!((entries.len(), update.addresses.len(), discovery.registry.ids.len()), (most, most, most));
}

#[test]
fn an_endpoint_that_restarts_loses_its_connections() {
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
    assert!(!update.addresses[0].restarted, "a drain leaves what is under way alone");
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
fn removed_endpoints_leave_nothing_behind_and_one_that_returns_gets_a_new_id() {
    let mut discovery = discovery();
    apply(&mut discovery, &list(1, true, &[member("s-0", 9000, 41, "Ready")]));
    let mut numbers = Vec::new();
    for round in 1..500u64 {
        let (id, port) = (format!("s-{}", round % 7 + 1), 9001);
        let update =
            apply(&mut discovery, &list(2 * round, false, &[member(&id, port, 41 + round as u32, "Ready")]));
        numbers.push(update.addresses[0].endpoint);
        apply(&mut discovery, &list(2 * round + 1, false, &[member(&id, port, 41, "Gone")]));
    }
    numbers.dedup();
    assert_eq!(numbers.len(), 499, "a number was given twice");
    assert_eq!((discovery.registry.ids.len(), discovery.registry.processes.len()), (1, 1));
    apply(&mut discovery, &list(2000, true, &[]));
    assert!(discovery.registry.ids.is_empty() && discovery.registry.processes.is_empty());
}

#[test]
fn an_older_change_is_ignored_and_a_complete_list_always_counts() {
    let mut discovery = discovery();
    apply(&mut discovery, &list(4, true, &[member("s-1", 9001, 41, "Ready")]));
    apply(&mut discovery, &list(8, false, &[member("s-1", 9001, 41, "Terminating")]));
    let told = apply(&mut discovery, &list(7, false, &[member("s-1", 9001, 41, "Ready")]));
    // An answer all the same, to whoever asked.
    assert!(
        matches!(&told.endpoint_updates[..], [EndpointUpdate::Delta(e)] if e.is_empty())
            && told.addresses.is_empty()
    );
    assert_eq!(
        apply(&mut discovery, &list(2, true, &[member("s-1", 9001, 41, "Ready")])).endpoint_updates.len(),
        1
    );
}

/// A list with a line for each value, as an agent may write it.
fn indented(line: &str) -> Vec<u8> {
    let value: serde_json::Value = serde_json::from_str(line).expect("JSON");
    serde_json::to_vec_pretty(&value).expect("JSON")
}

fn receive(discovery: &mut Discovery, text: &[u8]) -> DiscoveryUpdate {
    let lines = text.split(|b| *b == b'\n').map(<[u8]>::to_vec).collect();
    discovery.take_events(WatchEvents { lines, lost: false }, 0)
}

#[test]
fn an_indented_list_is_one_text_and_an_incomplete_one_swallows_nothing() {
    let mut discovery = discovery();
    let whole =
        indented(&list(4, true, &[member("s-\"{1", 9001, 41, "Ready")]).replace("s-\"{1", "s-\\\"{1"));
    assert!(whole.contains(&b'\n'));
    assert!(
        matches!(&receive(&mut discovery, &whole).endpoint_updates[..], [EndpointUpdate::Snapshot { endpoints: entries, .. }] if entries.len() == 1)
    );
    let change = indented(&list(5, false, &[member("s-2", 9002, 41, "Ready")]));
    let half = change.len() / 2;
    assert!(receive(&mut discovery, b"\n\n").endpoint_updates.is_empty(), "signs of life");
    // It comes in two parts, then half of another with a heartbeat behind it.
    let end = change[..half].iter().rposition(|b| *b == b'\n').expect("a line's end");
    assert!(receive(&mut discovery, &change[..end]).endpoint_updates.is_empty());
    assert!(
        matches!(&receive(&mut discovery, &change[end + 1..]).endpoint_updates[..], [EndpointUpdate::Delta(e)] if e.len() == 1)
    );
    receive(&mut discovery, &change[..end]);
    assert_eq!(discovery.reconnects, 0);
    receive(&mut discovery, b"");
    assert_eq!(discovery.reconnects, 1, "half a list can't be read");
    let after = list(6, false, &[member("s-3", 9003, 41, "Ready")]);
    assert!(
        matches!(&receive(&mut discovery, after.as_bytes()).endpoint_updates[..], [EndpointUpdate::Delta(e)] if e.len() == 1)
    );
}

#[test]
fn a_polled_list_older_than_the_watch_stream_undoes_no_drain() {
    let mut discovery = discovery();
    apply(&mut discovery, &list(4, true, &[member("s-1", 9001, 41, "Ready")]));
    apply(&mut discovery, &list(8, false, &[member("s-1", 9001, 41, "Terminating")]));
    let answer = |revision| {
        let body = list(revision, true, &[member("s-1", 9001, 41, "Ready")]).into_bytes();
        let headers = garnetcrank_http::Headers::default();
        CallOutcome::Response(garnetcrank_http::Response { status: 200, headers, body, keep_alive: false })
    };
    let older = discovery.on_poll_ended(answer(7));
    assert!(matches!(&older.endpoint_updates[..], [EndpointUpdate::Delta(e)] if e.is_empty()), "{older:?}");
    assert!(older.addresses.is_empty());
    assert!(matches!(
        &discovery.on_poll_ended(answer(9)).endpoint_updates[..],
        [EndpointUpdate::Snapshot { .. }]
    ));
}

#[test]
fn a_lost_watch_is_reopened_at_once_at_a_new_address() {
    let mut settings: serde_json::Value =
        serde_json::from_str(include_str!("../../tests/settings.json")).expect("JSON");
    settings["registryMode"] = "on_request".into();
    let settings = Settings::read(&settings).expect("settings that hold together");
    let event_loop = EventLoop::<TurnInputs>::try_new().expect("a loop");
    let (handle, mut ids, now) = (event_loop.handle(), ConnIds::default(), 100 * SECOND);
    let listen = || TcpListener::bind("127.0.0.1:0").expect("a port");
    let (old, new) = (listen(), listen());
    let address = |l: &TcpListener| l.local_addr().expect("an address");
    let mut discovery = Discovery::new(address(&old), &settings, 7);
    // Watched, and not a byte arrives: lost, and the policy waits before it watches again.
    assert!(discovery.set_watching(true, now).endpoint_updates.is_empty());
    discovery.on_tick(&handle, &mut ids, now);
    let (_mute, _) = old.accept().expect("a connection");
    let lost = discovery.on_tick(&handle, &mut ids, now + SILENCE_TIMEOUT);
    assert!(matches!(lost.endpoint_updates[..], [EndpointUpdate::Unavailable]), "{lost:?}");
    let begun = ids.next();
    let nothing = MemberList { revision: 0, complete: false, members: Vec::new() };
    discovery.reconfigure(address(&old), nothing.clone(), now + SILENCE_TIMEOUT);
    discovery.on_tick(&handle, &mut ids, now + SILENCE_TIMEOUT);
    assert_eq!(ids.next().0, begun.0 + 1, "at the same address it is theirs to say when");
    // What is there now counts 4 s from here, and they may wait for 6.
    discovery.reconfigure(address(&new), nothing, now + SILENCE_TIMEOUT);
    discovery.on_tick(&handle, &mut ids, now + SILENCE_TIMEOUT);
    assert_eq!(ids.next().0, begun.0 + 3, "nothing was asked where it is now");
    new.accept().expect("a connection");
}

#[test]
fn a_poll_under_way_while_the_address_changes_counts_as_lost() {
    let event_loop = EventLoop::<TurnInputs>::try_new().expect("a loop");
    let (handle, mut ids, now) = (event_loop.handle(), ConnIds::default(), 100 * SECOND);
    let listen = || TcpListener::bind("127.0.0.1:0").expect("a port");
    let (old, new) = (listen(), listen());
    let address = |l: &TcpListener| l.local_addr().expect("an address");
    let mut discovery = discovery();
    let nothing = MemberList { revision: 0, complete: false, members: Vec::new() };
    discovery.reconfigure(address(&old), nothing.clone(), now);
    assert!(discovery.poll(&handle, &mut ids, now).endpoint_updates.is_empty());
    let (mut held, _) = old.accept().expect("the call");
    let call = ConnId(ids.next().0 - 1);
    let same = discovery.reconfigure(address(&old), nothing.clone(), now);
    assert!(
        same.endpoint_updates.is_empty() && discovery.poll.is_some(),
        "a reload that moves nothing lets it go on"
    );
    let lost = discovery.reconfigure(address(&new), nothing, now);
    assert!(
        matches!(lost.endpoint_updates[..], [EndpointUpdate::Unavailable]),
        "the policy must be notified: {lost:?}"
    );
    // The old address answers after all.
    let body = r#"{"revision":9,"complete":true,"members":[]}"#;
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let _ = held.write_all(answer.as_bytes()); // it may be closed by now
    let readiness = Readiness { readable: true, writable: true, error: false };
    assert!(discovery.on_ready(call, readiness, now).endpoint_updates.is_empty() && !discovery.list_received);
    assert!(discovery.poll(&handle, &mut ids, now).endpoint_updates.is_empty());
    new.accept().expect("the next call goes where it is now");
}

#[test]
fn a_text_that_is_no_list_is_rejected() {
    let mut discovery = discovery();
    let mut update = DiscoveryUpdate::default();
    for line in ["{", "[]", r#"{"revision":1,"complete":true,"members":[{"id":"x","phase":"Odd"}]}"#] {
        assert!(discovery.apply_text(line.as_bytes(), &mut update).is_err(), "{line}");
    }
    assert!(update.endpoint_updates.is_empty() && !discovery.list_received);
}

//! A listening socket with one client whose every byte the test writes; the clock is the test's.

use std::io::{Read, Write};
use std::net::TcpStream;

use calloop::{EventLoop, Readiness};
use garnetcrank_policy::api::{Micros, RequestId};

use super::client::{FIRST_REQUEST_TIMEOUT, LINGER_TIMEOUT, WRITE_TIMEOUT};
use super::{Downstream, DownstreamEvent};
use crate::clock::SECOND;
use crate::readiness::{ConnId, ConnIds, TurnInputs};

const NOW: Micros = 1_000 * SECOND;

/// A listening socket with one client, whose every byte the test writes; the clock is the test's.
struct Fixture {
    _event_loop: EventLoop<'static, TurnInputs>,
    downstream: Downstream,
    ids: ConnIds,
    events: Vec<DownstreamEvent>,
    client: TcpStream,
}

impl Fixture {
    fn new() -> Fixture {
        let event_loop = EventLoop::try_new().expect("a loop");
        let handle = event_loop.handle();
        let downstream =
            Downstream::listen(&handle, "127.0.0.1:0".parse().expect("an address")).expect("a port");
        let listener = &downstream.listener.as_ref().expect("a listener").socket;
        let client = TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
        Fixture { _event_loop: event_loop, downstream, ids: ConnIds::default(), events: Vec::new(), client }
    }

    /// The last arrivals are taken in, and the socket is closed.
    fn not_listening() -> Fixture {
        let mut fixture = Fixture::new();
        fixture.downstream.closing = true;
        while fixture.downstream.accept(&mut fixture.ids, NOW) {}
        fixture.downstream.stop_listening();
        assert_eq!(fixture.downstream.len(), 1, "it waited to be accepted");
        fixture
    }

    fn id(&self) -> ConnId {
        *self.downstream.clients.keys().next().expect("a client")
    }

    fn send(&mut self, text: &str) {
        self.client.write_all(text.as_bytes()).expect("sent");
        let (id, connection) =
            self.downstream.clients.iter().next().map(|(id, c)| (*id, &c.connection)).expect("a client");
        while connection.is_quiet() {
            std::thread::yield_now();
        }
        let readiness = Readiness { readable: true, writable: true, error: false };
        self.downstream.on_ready(id, readiness, NOW, &mut self.events);
    }
}

const REQUEST: &str = "GET /look HTTP/1.1\r\nHost: x\r\n\r\n";

#[test]
fn the_last_client_accepted_has_time_for_its_first_request() {
    let mut fixture = Fixture::not_listening();
    fixture.downstream.close_idle(NOW);
    fixture.downstream.close_idle(NOW + FIRST_REQUEST_TIMEOUT - 1);
    assert!(!fixture.downstream.is_drained(), "closed while its first request was on the way");
    fixture.send(REQUEST);
    assert!(matches!(fixture.events[..], [DownstreamEvent::Request(..)]));
    let mut silent = Fixture::not_listening();
    silent.downstream.close_idle(NOW + FIRST_REQUEST_TIMEOUT);
    assert!(silent.downstream.is_drained(), "it never sends a byte");
}

#[test]
fn the_process_waits_for_partial_unread_and_unsent_messages() {
    let mut fixture = Fixture::not_listening();
    let (half, rest) = REQUEST.split_at(20);
    fixture.send(half);
    fixture.downstream.close_idle(NOW + FIRST_REQUEST_TIMEOUT);
    assert!(!fixture.downstream.is_drained(), "half a request is read");
    fixture.send(rest);
    assert!(!fixture.downstream.is_drained(), "a request is read");
    let id = fixture.id();
    assert!(fixture.downstream.mark_in_flight(id, RequestId(1)));
    assert!(!fixture.downstream.is_drained());
    fixture.downstream.answer(id, 200, std::iter::empty(), b"hi", NOW, &mut fixture.events);
    // The answer has left, and what its client still sends must not be met by a reset that overtakes it.
    assert!(!fixture.downstream.is_drained(), "its last answer may be on the way");
    fixture.client.write_all(REQUEST.as_bytes()).expect("sent");
    fixture.downstream.on_tick(NOW + LINGER_TIMEOUT - 1, &mut fixture.events);
    assert!(!fixture.downstream.is_drained());
    let mut answer = String::new();
    fixture.client.read_to_string(&mut answer).expect("a whole answer and no reset");
    assert!(answer.ends_with("hi"), "{answer}");
    fixture.downstream.on_tick(NOW + LINGER_TIMEOUT, &mut fixture.events);
    assert!(fixture.downstream.is_drained(), "one that never leaves is not waited for");
}

#[test]
fn what_is_unread_on_an_idle_connection_is_read_before_it_is_closed() {
    let mut fixture = Fixture::not_listening();
    fixture.client.write_all(REQUEST.as_bytes()).expect("sent");
    while fixture.downstream.clients.values().all(|client| client.connection.is_quiet()) {
        std::thread::yield_now();
    }
    fixture.downstream.close_idle(NOW + SECOND);
    assert!(!fixture.downstream.is_drained(), "its request lies in the kernel");
}

#[test]
fn a_client_that_takes_no_byte_of_its_response_is_given_up() {
    let mut fixture = Fixture::not_listening();
    fixture.send(REQUEST);
    let id = fixture.id();
    assert!(fixture.downstream.mark_in_flight(id, RequestId(1)));
    fixture.downstream.start_response(id, std::iter::empty());
    let part = [b'x'; 16 * 1024];
    while !fixture.downstream.send_body_part(id, &part, NOW, &mut fixture.events) {}
    fixture.events.clear();
    fixture.downstream.on_tick(NOW + WRITE_TIMEOUT - 1, &mut fixture.events);
    // What it reads frees space, which the event loop reports.
    let mut some = vec![0; 1024 * 1024];
    fixture.client.read_exact(&mut some).expect("what has come so far");
    let (later, readiness) =
        (NOW + WRITE_TIMEOUT - 1, Readiness { readable: false, writable: true, error: false });
    let before = fixture.downstream.clients[&id].connection.output.len();
    while fixture.downstream.clients[&id].connection.output.len() == before {
        fixture.downstream.on_ready(id, readiness, later, &mut fixture.events);
    }
    while !fixture.downstream.send_body_part(id, &part, later, &mut fixture.events) {}
    fixture.downstream.on_tick(NOW + WRITE_TIMEOUT, &mut fixture.events);
    assert!(
        !fixture.downstream.is_drained()
            && !fixture.events.iter().any(|n| matches!(n, DownstreamEvent::Disconnected(_)))
    );
    // Nothing is taken from here on: the attempt behind it is not kept for it, nor the process.
    fixture.downstream.on_tick(later + WRITE_TIMEOUT, &mut fixture.events);
    assert!(fixture.downstream.is_drained());
    assert!(matches!(fixture.events[..], [.., DownstreamEvent::Disconnected(RequestId(1))]));
}

#[test]
fn it_is_not_drained_while_it_listens() {
    let mut fixture = Fixture::new();
    assert!(!fixture.downstream.is_drained(), "one waits to be accepted");
    fixture.downstream.stop_listening();
    assert!(fixture.downstream.is_drained());
}

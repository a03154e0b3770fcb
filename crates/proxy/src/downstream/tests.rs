//! Tests of the client connections. The test writes every byte of the other side and sets the time of each
//! call.

use std::io::{Read, Write};
use std::net::TcpStream;

use calloop::{EventLoop, Readiness};
use garnetcrank_policy::api::{Micros, RequestId};

use super::client::{FIRST_REQUEST_TIMEOUT, LINGER_TIMEOUT, PARTIAL_SHED_AFTER, WRITE_TIMEOUT};
use super::{AcceptOutcome, BadRequest, Downstream, DownstreamEvent, INPUT_RING_BYTES};
use crate::clock::SECOND;
use crate::connection::PeerStatus;
use crate::readiness::{ConnId, ConnIds, Handle, Source, TurnInputs};

const NOW: Micros = 1_000 * SECOND;

/// A listening socket and one connected client. Tests pass the current time to each call.
struct Fixture {
    _event_loop: EventLoop<'static, TurnInputs>,
    handle: Handle,
    downstream: Downstream,
    ids: ConnIds,
    events: Vec<DownstreamEvent>,
    client: TcpStream,
}

impl Fixture {
    fn new() -> Fixture {
        let event_loop = EventLoop::try_new().expect("creates an event loop");
        let handle = Handle::new(event_loop.handle());
        let downstream = Downstream::listen(&handle, "127.0.0.1:0".parse().expect("valid address"))
            .expect("binds to a free port");
        let listener = &downstream.listener.as_ref().expect("listening socket is open").socket;
        let client = TcpStream::connect(listener.local_addr().expect("local address")).expect("connects");
        Fixture {
            _event_loop: event_loop,
            handle,
            downstream,
            ids: ConnIds::default(),
            events: Vec::new(),
            client,
        }
    }

    /// Accepts the waiting client, then closes the listening socket as during shutdown.
    fn not_listening() -> Fixture {
        let mut fixture = Fixture::accepted();
        fixture.downstream.close_after_response = true;
        fixture.downstream.stop_listening();
        fixture
    }

    /// Accepts the waiting client.
    fn accepted() -> Fixture {
        let mut fixture = Fixture::new();
        while fixture.downstream.accept(&mut fixture.ids, NOW) != AcceptOutcome::NoneWaiting {}
        assert_eq!(fixture.downstream.len(), 1, "the waiting client is accepted");
        fixture
    }

    fn id(&self) -> ConnId {
        *self.downstream.clients.keys().next().expect("one client is connected")
    }

    /// Begins the next turn and handles the connections that were deferred to it.
    fn next_turn(&mut self) {
        let mut ready = Vec::new();
        self.handle.turn.begin(&mut ready);
        for (source, readiness) in ready {
            let Source::Downstream(id) = source else { panic!("not a client: {source:?}") };
            self.downstream.on_ready(id, readiness, NOW, &mut self.events);
        }
    }

    /// Sends a response with status 200 to the client.
    fn respond(&mut self, body: &[u8]) {
        let id = self.id();
        self.downstream.send_response(id, 200, std::iter::empty(), body, NOW, &mut self.events);
    }

    fn shed_partial_request(&mut self, now: Micros) -> bool {
        self.downstream.shed_partial_request(now, &mut self.events)
    }

    /// Reads at the client to the end of the connection.
    fn receive_all(&mut self) -> String {
        let mut response = String::new();
        self.client.read_to_string(&mut response).expect("complete response without a reset");
        response
    }

    fn send(&mut self, text: &str) {
        self.client.write_all(text.as_bytes()).expect("sends");
        let (id, connection) =
            self.downstream.clients.iter().next().map(|(id, c)| (*id, &c.connection)).expect("one client");
        while connection.is_open_without_input() {
            std::thread::yield_now();
        }
        let readiness = Readiness { readable: true, writable: true, error: false };
        self.downstream.on_ready(id, readiness, NOW, &mut self.events);
    }
}

const REQUEST: &str = "GET /look HTTP/1.1\r\nHost: x\r\n\r\n";

#[test]
fn a_new_client_has_time_for_its_first_request_during_shutdown() {
    let mut fixture = Fixture::not_listening();
    fixture.downstream.close_idle(NOW);
    fixture.downstream.close_idle(NOW + FIRST_REQUEST_TIMEOUT - 1);
    assert!(!fixture.downstream.is_drained(), "closed before the first request could arrive");
    fixture.send(REQUEST);
    assert!(matches!(fixture.events[..], [DownstreamEvent::Request(..)]));
    let mut silent = Fixture::not_listening();
    silent.downstream.close_idle(NOW + FIRST_REQUEST_TIMEOUT);
    assert!(silent.downstream.is_drained(), "a client that sends nothing is disconnected");
}

#[test]
fn partial_unread_and_unsent_messages_delay_shutdown() {
    let mut fixture = Fixture::not_listening();
    let (half, rest) = REQUEST.split_at(20);
    fixture.send(half);
    fixture.downstream.close_idle(NOW + FIRST_REQUEST_TIMEOUT);
    assert!(!fixture.downstream.is_drained(), "a request has been read in part");
    fixture.send(rest);
    assert!(!fixture.downstream.is_drained(), "a complete request has been read");
    let id = fixture.id();
    assert!(fixture.downstream.mark_in_flight(id, RequestId(1)));
    assert!(!fixture.downstream.is_drained());
    fixture.respond(b"hi");
    // The response has been sent. Closing now would reset the connection if the client sends more, and the
    // reset could overtake the response.
    assert!(!fixture.downstream.is_drained(), "the last response may be on the way");
    fixture.client.write_all(REQUEST.as_bytes()).expect("sends");
    fixture.downstream.on_tick(NOW + LINGER_TIMEOUT - 1, &mut fixture.events);
    assert!(!fixture.downstream.is_drained());
    let response = fixture.receive_all();
    assert!(response.ends_with("hi"), "{response}");
    fixture.downstream.on_tick(NOW + LINGER_TIMEOUT, &mut fixture.events);
    assert!(fixture.downstream.is_drained(), "a client that never disconnects does not delay shutdown");
}

#[test]
fn an_idle_connection_with_unread_input_is_not_closed() {
    let mut fixture = Fixture::not_listening();
    fixture.client.write_all(REQUEST.as_bytes()).expect("sends");
    while fixture.downstream.clients.values().all(|client| client.connection.is_open_without_input()) {
        std::thread::yield_now();
    }
    fixture.downstream.close_idle(NOW + SECOND);
    assert!(!fixture.downstream.is_drained(), "the request is unread in the socket's buffer");
}

#[test]
fn a_client_that_reads_nothing_within_the_write_timeout_is_disconnected() {
    let mut fixture = Fixture::not_listening();
    fixture.send(REQUEST);
    let id = fixture.id();
    assert!(fixture.downstream.mark_in_flight(id, RequestId(1)));
    fixture.downstream.start_response(id, std::iter::empty());
    let part = [b'x'; 16 * 1024];
    while !fixture.downstream.send_body_part(id, &part, NOW, &mut fixture.events) {}
    fixture.events.clear();
    fixture.downstream.on_tick(NOW + WRITE_TIMEOUT - 1, &mut fixture.events);
    // Reading frees space in the socket's buffer, so that the connection becomes writable again.
    let mut buffer = vec![0; 1024 * 1024];
    fixture.client.read_exact(&mut buffer).expect("reads the first MiB of the response");
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
            && !fixture.events.iter().any(|event| matches!(event, DownstreamEvent::Disconnected(_)))
    );
    // The client reads nothing more: the connection is closed and its request reported as disconnected.
    fixture.downstream.on_tick(later + WRITE_TIMEOUT, &mut fixture.events);
    assert!(fixture.downstream.is_drained());
    assert!(matches!(fixture.events[..], [.., DownstreamEvent::Disconnected(RequestId(1))]));
}

#[test]
fn an_open_listening_socket_delays_shutdown() {
    let mut fixture = Fixture::new();
    assert!(!fixture.downstream.is_drained(), "a client waits to be accepted");
    fixture.downstream.stop_listening();
    assert!(fixture.downstream.is_drained());
}

/// Guards against a client that has always sent its next request and is served without end in one turn.
#[test]
fn a_client_is_read_one_request_in_each_turn() {
    let mut fixture = Fixture::accepted();
    fixture.send(&REQUEST.repeat(3));
    for turn in 1..=3 {
        assert_eq!(fixture.events.len(), turn, "in turn {turn}");
        assert!(matches!(fixture.events[..], [.., DownstreamEvent::Request(..)]));
        fixture.respond(b"hi");
        assert_eq!(fixture.events.len(), turn, "the next request is read in turn {turn} already");
        fixture.next_turn();
    }
    assert_eq!(fixture.events.len(), 3);
    assert!(!fixture.handle.turn.has_deferred(), "nothing is left to read");
}

/// Guards against clients with half a request that keep their descriptors while others wait to be accepted.
#[test]
fn an_incomplete_request_gives_way_once_it_should_have_arrived() {
    let mut fixture = Fixture::accepted();
    fixture.send(&REQUEST[..20]);
    let due = NOW + PARTIAL_SHED_AFTER;
    assert!(!fixture.shed_partial_request(due - 1));
    // Further bytes do not prolong the time, which begins with the first one.
    fixture.send(&REQUEST[20..21]);
    assert!(fixture.shed_partial_request(due));
    assert_eq!(fixture.downstream.len(), 0);
    assert!(matches!(fixture.events[..], [DownstreamEvent::BadRequest(BadRequest::Shed)]));
    let response = fixture.receive_all();
    assert!(response.starts_with("HTTP/1.1 503 ") && response.contains("Connection: close"), "{response}");
}

#[test]
fn an_idle_client_and_one_with_a_request_in_flight_are_not_shed() {
    let mut fixture = Fixture::accepted();
    let later = NOW + SECOND;
    assert!(!fixture.shed_partial_request(later), "silent");
    fixture.send(REQUEST);
    let id = fixture.id();
    assert!(!fixture.shed_partial_request(later), "request read");
    assert!(fixture.downstream.mark_in_flight(id, RequestId(1)));
    assert!(!fixture.shed_partial_request(later), "in flight");
    fixture.respond(b"hi");
    assert!(!fixture.shed_partial_request(later), "idle");
    assert_eq!(fixture.downstream.len(), 1);
}

/// Guards against a request that is forwarded although its client gave up while it waited to be accepted.
#[test]
fn a_request_whose_client_disconnected_before_a_delayed_accept_is_dropped() {
    let mut fixture = Fixture::new();
    fixture.client.write_all(REQUEST.as_bytes()).expect("sends");
    fixture.client.shutdown(std::net::Shutdown::Both).expect("disconnects");
    fixture.downstream.accept_delayed = true;
    while fixture.downstream.accept(&mut fixture.ids, NOW) != AcceptOutcome::NoneWaiting {}
    let readiness = Readiness { readable: true, writable: true, error: false };
    fixture.downstream.on_ready(fixture.id(), readiness, NOW, &mut fixture.events);
    assert!(fixture.events.is_empty(), "{:?}", fixture.events);
    assert_eq!(fixture.downstream.len(), 0);
}

/// Guards against the bytes of an incomplete request counting nowhere.
#[test]
fn an_incomplete_request_counts_from_its_first_byte_and_is_released_when_shed() {
    let mut fixture = Fixture::accepted();
    let head = "POST /book HTTP/1.1\r\nHost: x\r\nContent-Length: 60000\r\n\r\n";
    fixture.send(&(head.to_owned() + &"x".repeat(9_000)));
    let held = fixture.handle.memory.bytes();
    assert!(held >= 9_000, "{held}");
    assert!(!fixture.downstream.shed_largest_partial_request(held + 1, NOW, &mut fixture.events));
    assert!(fixture.downstream.shed_largest_partial_request(9_000, NOW, &mut fixture.events));
    assert!(matches!(fixture.events[..], [DownstreamEvent::BadRequest(BadRequest::Shed)]));
    fixture.downstream.release_empty_buffers();
    assert_eq!(fixture.handle.memory.bytes(), 0);
    let response = fixture.receive_all();
    assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
}

#[test]
fn a_client_that_does_not_read_its_response_waits_with_its_next_request() {
    let mut fixture = Fixture::accepted();
    fixture.send(&REQUEST.repeat(2));
    let (id, body) = (fixture.id(), vec![b'x'; 60 * 1024]);
    let mut answered = 0;
    // The system's buffers take some responses.
    while fixture.downstream.clients[&id].connection.output.is_empty() {
        fixture.respond(&body);
        answered += 1;
    }
    let read_before = fixture.events.len();
    fixture.next_turn();
    assert_eq!(fixture.events.len(), read_before, "a request was read behind an unread response");
    let largest = fixture.downstream.largest_client().expect("one client is connected");
    assert_eq!((largest.id, largest.awaited_request), (id, None), "its response has been written");
    fixture.downstream.disconnect(id, &mut fixture.events);
    fixture.events.clear();
    assert_eq!((fixture.downstream.len(), fixture.handle.memory.bytes()), (0, 0), "{answered} responses");
}

#[test]
fn a_disconnect_behind_pipelined_requests_is_known_without_a_report_of_the_event_loop() {
    let mut fixture = Fixture::accepted();
    fixture.send(&REQUEST.repeat(3));
    let id = fixture.id();
    assert!(fixture.downstream.mark_in_flight(id, RequestId(1)));
    assert_eq!(fixture.downstream.client_status(id), PeerStatus::Connected);
    fixture.client.write_all(REQUEST.repeat(100).as_bytes()).expect("sends");
    fixture.client.shutdown(std::net::Shutdown::Write).expect("disconnects");
    while fixture.downstream.client_status(id) == PeerStatus::Connected {
        std::thread::yield_now();
    }
    assert_eq!(fixture.downstream.client_status(id), PeerStatus::Disconnected);
}

#[test]
fn a_disconnect_behind_more_input_than_is_held_is_unknown() {
    let mut fixture = Fixture::accepted();
    fixture.send(REQUEST);
    let id = fixture.id();
    assert!(fixture.downstream.mark_in_flight(id, RequestId(1)));
    fixture.client.write_all(&[b'x'; INPUT_RING_BYTES + 1]).expect("sends");
    while fixture.downstream.client_status(id) == PeerStatus::Connected {
        std::thread::yield_now();
    }
    assert_eq!(fixture.downstream.client_status(id), PeerStatus::Unknown);
    let held = fixture.downstream.clients[&id].connection.input.len();
    assert_eq!(held, INPUT_RING_BYTES);
}

/// Guards against a stream that gives way to others for its memory and looks complete.
#[test]
fn a_client_whose_stream_gives_way_gets_no_last_chunk() {
    let mut fixture = Fixture::accepted();
    fixture.send(REQUEST);
    fixture.events.clear();
    let id = fixture.id();
    assert!(fixture.downstream.mark_in_flight(id, RequestId(1)));
    fixture.downstream.start_response(id, std::iter::empty());
    fixture.downstream.send_body_part(id, b"part", NOW, &mut fixture.events);
    let largest = fixture.downstream.largest_client().expect("one client is connected");
    assert_eq!(largest.awaited_request, None, "a response that has begun is followed by no other");
    fixture.events.clear();
    fixture.downstream.disconnect(id, &mut fixture.events);
    assert!(matches!(fixture.events[..], [DownstreamEvent::Disconnected(RequestId(1))]));
    assert!(fixture.receive_all().ends_with("\r\n\r\n4\r\npart\r\n"));
}

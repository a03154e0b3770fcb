//! Tests of the connections to one endpoint. The test writes every byte of the other side and sets the time
//! of each call.

mod response_ends;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use calloop::{EventLoop, Readiness};
use garnetcrank_http::{InputState, Parsed, Request, RequestReader, Response, ResponseReader, Ring};
use garnetcrank_policy::api::{Build, EndpointId, Micros, Outcome, RequestId};
use garnetcrank_settings::Transport;

use super::exchange::{Purpose, REUSE_DELAY};
use super::outcome::{load_report, response_outcome};
use super::{CutOffReason, Upstream, UpstreamEvent, UpstreamRequest};
use crate::clock::SECOND;
use crate::discovery::EndpointAddress;
use crate::readiness::{ConnId, ConnIds, Handle, TurnInputs};
use crate::turn::MAX_READ_BYTES_PER_TURN;

fn read_response(text: &str) -> Response {
    let mut ring = Ring::new(4096);
    ring.push(text.as_bytes()).expect("response fits");
    match ResponseReader::buffered(4096).read(&mut ring, InputState::Closed) {
        Ok(Parsed::Complete(response)) => response,
        other => panic!("{other:?}"),
    }
}

const NOW: Micros = 1_000 * SECOND;
/// A connection that has not used up its quota may read once more.
const MAX_READ_BYTES: usize = 16 * 1024;
const LATER: Micros = NOW + 5 * SECOND;

/// One endpoint and the connections to it. Tests pass the current time to each call.
struct Fixture {
    _event_loop: EventLoop<'static, TurnInputs>,
    handle: Handle,
    listener: TcpListener,
    upstream: Upstream,
    ids: ConnIds,
    events: Vec<UpstreamEvent>,
    request: Request,
}

impl Fixture {
    fn new() -> Fixture {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds to a free port");
        let mut ring = Ring::new(4096);
        ring.push(b"GET /look HTTP/1.1\r\nHost: x\r\nRequest-Id: 1\r\n\r\n").expect("request fits");
        let read = RequestReader::new(10).read(&mut ring);
        let Ok(Parsed::Complete(request)) = read else { panic!("request is not read: {read:?}") };
        let transport = Transport {
            idle_timeout: 30 * SECOND,
            connect_timeout: SECOND,
            max_in_flight: None,
            report_columns: Vec::new(),
        };
        let event_loop = EventLoop::try_new().expect("creates an event loop");
        let handle = Handle::new(event_loop.handle());
        let (upstream, ids) = (Upstream::new(transport), ConnIds::default());
        let mut fixture =
            Fixture { _event_loop: event_loop, handle, listener, upstream, ids, events: Vec::new(), request };
        fixture.update(fixture.present_address());
        fixture
    }

    fn present_address(&self) -> EndpointAddress {
        let address = Some(self.listener.local_addr().expect("local address"));
        EndpointAddress {
            endpoint: EndpointId(1),
            address,
            restarted: false,
            draining: false,
            build: Build(7),
        }
    }

    fn update(&mut self, update: EndpointAddress) {
        self.upstream.update_address(&update, NOW, &mut self.events);
    }

    fn attempt(&mut self, id: u32, now: Micros) {
        self.start_attempt(id, false, now);
    }

    fn attempt_streamed(&mut self, id: u32, now: Micros) {
        self.start_attempt(id, true, now);
    }

    fn start_attempt(&mut self, id: u32, streamed: bool, now: Micros) {
        let request = UpstreamRequest {
            id: RequestId(id),
            attempt: 0,
            endpoint: EndpointId(1),
            request: &self.request,
            deadline: now + 4 * SECOND,
            streamed,
        };
        self.upstream
            .start_attempt(&self.handle, &mut self.ids, now, &request, &mut self.events)
            .expect("attempt starts");
    }

    /// Accepts the newest connection at the endpoint and reads the request from it.
    fn accept(&mut self) -> TcpStream {
        let (mut stream, _) = self.listener.accept().expect("accepts");
        stream.set_read_timeout(Some(Duration::from_secs(30))).expect("sets a read timeout");
        self.report_ready(NOW);
        read_request(&mut stream);
        stream
    }

    /// Reports all connections as readable and writable.
    fn report_ready(&mut self, now: Micros) {
        let ids: Vec<ConnId> = self.upstream.pool.iter().map(|(id, _)| *id).collect();
        let readiness = Readiness { readable: true, writable: true, error: false };
        ids.into_iter().for_each(|id| self.upstream.on_ready(id, readiness, now, &mut self.events));
    }

    /// Waits until a connection has bytes to read, without reporting readiness.
    fn wait_for_bytes(&self) {
        while self.upstream.pool.iter().all(|(_, connection)| connection.connection.is_open_without_input()) {
            std::thread::yield_now();
        }
    }

    /// Reports readiness until the attempt has ended. Returns the number of bytes of its body and its outcome.
    fn finish_attempt(&mut self) -> (usize, Outcome) {
        let mut body_bytes = 0;
        loop {
            self.handle.turn.begin(&mut Vec::new());
            self.report_ready(NOW);
            for event in self.events.drain(..) {
                match event {
                    UpstreamEvent::BodyPart { bytes, .. } => body_bytes += bytes.len(),
                    UpstreamEvent::AttemptCompleted { outcome, response, .. } => {
                        let rest = response.map_or(0, |response| response.body.len());
                        return (body_bytes + rest, outcome);
                    }
                    _ => {}
                }
            }
        }
    }

    /// Takes the first event if it reports that a stream was cut off, and returns why.
    fn take_cut_off_reason(&mut self) -> Option<CutOffReason> {
        let Some(UpstreamEvent::StreamCutOff { reason, .. }) = self.events.first() else { return None };
        let reason = *reason;
        self.events.remove(0);
        Some(reason)
    }

    fn completed(&mut self) -> Vec<(u32, Outcome)> {
        let outcome_of = |event| match event {
            UpstreamEvent::AttemptCompleted { id, outcome, .. } => (id.0, outcome),
            other => panic!("{other:?}"),
        };
        self.events.drain(..).map(outcome_of).collect()
    }
}

fn read_request(stream: &mut TcpStream) {
    let mut request = [0; 512];
    assert!(stream.read(&mut request).expect("reads a request") > 0);
}

fn write_text(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).expect("sends");
}

const RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";

#[test]
fn an_attempt_without_established_connection_ends_as_not_sent_when_its_endpoint_changes() {
    let elsewhere = Some("127.0.0.1:1".parse().expect("valid address"));
    let changes: [fn(EndpointAddress, Option<SocketAddr>) -> EndpointAddress; 4] = [
        |update, _| EndpointAddress { draining: true, ..update },
        |update, _| EndpointAddress { address: None, draining: true, restarted: true, ..update },
        |update, _| EndpointAddress { restarted: true, build: Build(8), ..update },
        |update, elsewhere| EndpointAddress { address: elsewhere, ..update },
    ];
    for change in changes {
        let mut fixture = Fixture::new();
        fixture.attempt(1, NOW);
        let mut sent_stream = fixture.accept();
        fixture.attempt(2, NOW);
        let (mut unsent_stream, _) = fixture.listener.accept().expect("accepts");
        fixture.update(fixture.present_address());
        assert!(fixture.completed().is_empty(), "an unchanged address ends no attempt");
        fixture.update(change(fixture.present_address(), elsewhere));
        assert_eq!(fixture.completed(), [(2, Outcome::NotSent)], "only the attempt that was not sent ends");
        assert_eq!(unsent_stream.read(&mut [0; 8]).expect("reads the end"), 0, "no byte was sent");
        write_text(&mut sent_stream, RESPONSE);
        fixture.wait_for_bytes();
        fixture.report_ready(NOW);
        assert_eq!(fixture.completed(), [(1, Outcome::Success)]);
    }
}

#[test]
fn end_unsent_attempts_of_build_ends_only_those_that_wait_for_a_connection_to_it() {
    let mut fixture = Fixture::new();
    fixture.attempt(1, NOW);
    fixture.upstream.end_unsent_attempts_of_build(Build(6), NOW, &mut fixture.events);
    assert!(fixture.completed().is_empty());
    fixture.upstream.end_unsent_attempts_of_build(Build(7), NOW, &mut fixture.events);
    assert_eq!(fixture.completed(), [(1, Outcome::NotSent)]);
    assert!(
        fixture.upstream.next_deadline().is_none() && fixture.upstream.len() == 0,
        "no deadline and no connection is left"
    );
}

#[test]
fn a_late_second_response_is_never_taken_for_the_response_to_the_next_request() {
    let mut fixture = Fixture::new();
    fixture.attempt(1, NOW);
    let mut first = fixture.accept();
    write_text(&mut first, RESPONSE);
    fixture.wait_for_bytes();
    fixture.report_ready(NOW);
    assert_eq!(fixture.completed(), [(1, Outcome::Success)]);
    // Within the reuse delay the next request gets a new connection, before the second response arrives.
    fixture.attempt(2, NOW + REUSE_DELAY - 1);
    assert_eq!((fixture.upstream.opened, fixture.upstream.reused), (2, 0));
    let mut second = fixture.accept();
    write_text(&mut first, RESPONSE);
    fixture.wait_for_bytes();
    fixture.report_ready(NOW + REUSE_DELAY - 1);
    assert!(fixture.completed().is_empty(), "the second response was taken for that to the next request");
    assert_eq!(fixture.upstream.len(), 1, "an idle connection with unexpected input is closed");
    write_text(&mut second, RESPONSE);
    fixture.wait_for_bytes();
    fixture.report_ready(NOW + REUSE_DELAY);
    assert_eq!(fixture.completed(), [(2, Outcome::Success)]);
    // A connection past the reuse delay is reused.
    fixture.attempt(3, NOW + 2 * REUSE_DELAY);
    assert_eq!((fixture.upstream.opened, fixture.upstream.reused), (2, 1));
    read_request(&mut second);
}

#[test]
fn a_response_that_has_arrived_by_the_deadline_is_in_time() {
    let mut fixture = Fixture::new();
    fixture.attempt(1, NOW);
    let mut endpoint = fixture.accept();
    write_text(&mut endpoint, RESPONSE);
    fixture.wait_for_bytes();
    fixture.upstream.expire_attempts(LATER, &mut fixture.events);
    assert_eq!(fixture.completed(), [(1, Outcome::Success)]);
    // Without a response the attempt times out, and without a connection nothing is sent at the deadline.
    fixture.attempt(2, LATER + REUSE_DELAY);
    read_request(&mut endpoint);
    fixture.upstream.expire_attempts(LATER + 5 * SECOND, &mut fixture.events);
    assert_eq!(fixture.completed(), [(2, Outcome::TimedOut)]);
    fixture.attempt(3, LATER);
    let (mut unsent_stream, _) = fixture.listener.accept().expect("accepts");
    fixture.upstream.expire_attempts(LATER + 5 * SECOND, &mut fixture.events);
    assert_eq!(fixture.completed(), [(3, Outcome::ConnectFailed)]);
    assert_eq!(unsent_stream.read(&mut [0; 8]).expect("reads the end"), 0);
}

#[test]
fn only_a_rejection_with_the_not_started_header_means_no_effect() {
    for (head, expected) in [
        ("200 OK\r\n", Outcome::Success),
        ("500 Oops\r\n", Outcome::Error),
        ("503 Busy\r\nNot-Started: 1\r\n", Outcome::Overloaded),
        ("504 Late\r\nNot-Started: 1\r\n", Outcome::Overloaded),
        ("503 Busy\r\n", Outcome::Error),
        ("503 Busy\r\nNot-Started: 0\r\n", Outcome::Error),
        ("504 Late\r\n", Outcome::Error),
        ("500 Oops\r\nNot-Started: 1\r\n", Outcome::Error),
        ("404 None\r\n", Outcome::Error),
    ] {
        let response = read_response(&format!("HTTP/1.1 {head}Content-Length: 0\r\n\r\n"));
        assert_eq!(response_outcome(&response), expected, "{head:?}");
    }
}

#[test]
fn a_load_report_is_read_in_the_order_of_the_settings() {
    let mut columns = vec!["util".to_owned(), "queue".to_owned()];
    let text = "HTTP/1.1 200 OK\r\nServer-Load: {\"inflight\":7,\"queue\":2,\"util\":0.61}\r\nContent-Length: 0\r\n\r\n";
    let load = |columns: &[String]| load_report(&read_response(text), Purpose::HealthCheck, columns);
    assert_eq!(load(&columns), [0.61, 2.0]);
    columns.push("unknown".to_owned());
    assert!(load(&columns).is_empty(), "an incomplete report gives no values");
}

/// Guards against the bytes of an incomplete response counting nowhere.
#[test]
fn the_largest_incomplete_response_gives_way_and_is_released() {
    let mut fixture = Fixture::new();
    fixture.attempt(1, NOW);
    let mut large = fixture.accept();
    fixture.attempt(2, NOW);
    let mut small = fixture.accept();
    write_text(&mut large, "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n");
    write_text(&mut large, &"x".repeat(50_000));
    while fixture.upstream.largest_bytes() < 50_000 {
        fixture.report_ready(NOW);
    }
    assert!(fixture.handle.memory.bytes() >= 50_000);
    fixture.upstream.end_largest_exchange(NOW, &mut fixture.events);
    assert_eq!(fixture.completed(), [(1, Outcome::ConnectionLost)]);
    fixture.upstream.release_empty_buffers();
    assert_eq!(fixture.handle.memory.bytes(), 0);
    write_text(&mut small, RESPONSE);
    fixture.wait_for_bytes();
    fixture.report_ready(NOW);
    assert_eq!(fixture.completed(), [(2, Outcome::Success)]);
}

/// Guards against an endpoint that always has more to send and is read without end in one turn.
#[test]
fn a_stream_is_read_up_to_the_quota_of_a_turn() {
    let mut fixture = Fixture::new();
    fixture.attempt_streamed(1, NOW);
    let mut endpoint = fixture.accept();
    let chunk = format!("8000\r\n{}\r\n", "x".repeat(0x8000));
    write_text(&mut endpoint, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    write_text(&mut endpoint, &chunk.repeat(10));
    let mut received = 0;
    while received < 10 * 0x8000 {
        fixture.handle.turn.begin(&mut Vec::new());
        fixture.report_ready(NOW);
        let body_bytes =
            |event| if let UpstreamEvent::BodyPart { bytes, .. } = event { bytes.len() } else { 0 };
        let read_in_turn: usize = fixture.events.drain(..).map(body_bytes).sum();
        assert!(read_in_turn <= MAX_READ_BYTES_PER_TURN + MAX_READ_BYTES, "{read_in_turn} bytes in a turn");
        received += read_in_turn;
    }
}

//! Connections to one endpoint whose every byte the test writes; the clock is the test's.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use calloop::{EventLoop, Readiness};
use garnetcrank_http::{Parsed, Request, RequestReader, Response, ResponseReader, Ring};
use garnetcrank_policy::api::{Build, EndpointId, Micros, Outcome, RequestId};
use garnetcrank_settings::Transport;

use super::exchange::{Purpose, REST_AFTER_RESPONSE};
use super::outcome::{load_report, response_outcome};
use super::{Upstream, UpstreamEvent, UpstreamRequest};
use crate::clock::SECOND;
use crate::discovery::EndpointAddress;
use crate::readiness::{ConnId, ConnIds, TurnInputs};

fn answer(text: &str) -> Response {
    let mut ring = Ring::new(4096);
    ring.push(text.as_bytes()).expect("room");
    match ResponseReader::buffered(4096).read(&mut ring, true) {
        Ok(Parsed::Complete(response)) => response,
        other => panic!("{other:?}"),
    }
}

const NOW: Micros = 1_000 * SECOND;
const LATER: Micros = NOW + 5 * SECOND;

/// Connections to one endpoint, whose every byte the test writes; the clock is the test's.
struct Fixture {
    event_loop: EventLoop<'static, TurnInputs>,
    listener: TcpListener,
    upstream: Upstream,
    ids: ConnIds,
    events: Vec<UpstreamEvent>,
    request: Request,
}

impl Fixture {
    fn new() -> Fixture {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let mut ring = Ring::new(4096);
        ring.push(b"GET /look HTTP/1.1\r\nHost: x\r\nRequest-Id: 1\r\n\r\n").expect("room");
        let read = RequestReader::new(10).read(&mut ring);
        let Ok(Parsed::Complete(request)) = read else { panic!("no request") };
        let transport = Transport {
            idle_timeout: 30 * SECOND,
            connect_timeout: SECOND,
            max_in_flight: None,
            report_columns: Vec::new(),
        };
        let event_loop = EventLoop::try_new().expect("a loop");
        let (upstream, ids) = (Upstream::new(transport), ConnIds::default());
        let mut fixture = Fixture { event_loop, listener, upstream, ids, events: Vec::new(), request };
        fixture.update(fixture.present_address());
        fixture
    }

    fn present_address(&self) -> EndpointAddress {
        let address = Some(self.listener.local_addr().expect("an address"));
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
        let request = UpstreamRequest {
            id: RequestId(id),
            attempt: 0,
            endpoint: EndpointId(1),
            request: &self.request,
            deadline: now + 4 * SECOND,
            streamed: false,
        };
        let handle = self.event_loop.handle();
        self.upstream
            .start_attempt(&handle, &mut self.ids, now, &request, &mut self.events)
            .expect("it starts");
    }

    /// The endpoint's side of the newest connection, once the request is there.
    fn accept(&mut self) -> TcpStream {
        let (mut stream, _) = self.listener.accept().expect("a connection");
        stream.set_read_timeout(Some(Duration::from_secs(30))).expect("a limit");
        self.report_ready(NOW);
        read_request(&mut stream);
        stream
    }

    /// The event loop reports readiness.
    fn report_ready(&mut self, now: Micros) {
        let ids: Vec<ConnId> = self.upstream.pool.iter().map(|(id, _)| *id).collect();
        let readiness = Readiness { readable: true, writable: true, error: false };
        ids.into_iter().for_each(|id| self.upstream.on_ready(id, readiness, now, &mut self.events));
    }

    /// Waits until a connection has bytes to read; readiness is not reported.
    fn wait_for_bytes(&self) {
        while self.upstream.pool.iter().all(|(_, connection)| connection.connection.is_quiet()) {
            std::thread::yield_now();
        }
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
    assert!(stream.read(&mut request).expect("a request") > 0);
}

fn write_text(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).expect("sent");
}

const ANSWER: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";

#[test]
fn an_attempt_that_waits_for_its_connection_is_recalled_when_its_endpoint_changes() {
    let elsewhere = Some("127.0.0.1:1".parse().expect("an address"));
    let changes: [fn(EndpointAddress, Option<SocketAddr>) -> EndpointAddress; 4] = [
        |update, _| EndpointAddress { draining: true, ..update },
        |update, _| EndpointAddress { address: None, draining: true, restarted: true, ..update },
        |update, _| EndpointAddress { restarted: true, build: Build(8), ..update },
        |update, elsewhere| EndpointAddress { address: elsewhere, ..update },
    ];
    for change in changes {
        let mut fixture = Fixture::new();
        fixture.attempt(1, NOW);
        let mut sent = fixture.accept();
        fixture.attempt(2, NOW);
        let (mut waits, _) = fixture.listener.accept().expect("a connection");
        fixture.update(fixture.present_address());
        assert!(fixture.completed().is_empty(), "a list that says nothing new");
        fixture.update(change(fixture.present_address(), elsewhere));
        assert_eq!(fixture.completed(), [(2, Outcome::NotSent)], "what was sent goes on");
        assert_eq!(waits.read(&mut [0; 8]).expect("its end"), 0, "nothing was sent");
        write_text(&mut sent, ANSWER);
        fixture.wait_for_bytes();
        fixture.report_ready(NOW);
        assert_eq!(fixture.completed(), [(1, Outcome::Success)]);
    }
}

#[test]
fn a_lower_cap_recalls_only_what_waits_for_a_connection_to_that_build() {
    let mut fixture = Fixture::new();
    fixture.attempt(1, NOW);
    fixture.upstream.recall_build(Build(6), NOW, &mut fixture.events);
    assert!(fixture.completed().is_empty());
    fixture.upstream.recall_build(Build(7), NOW, &mut fixture.events);
    assert_eq!(fixture.completed(), [(1, Outcome::NotSent)]);
    assert!(
        fixture.upstream.next_deadline().is_none() && fixture.upstream.len() == 0,
        "something is kept for it"
    );
}

#[test]
fn a_late_second_response_is_never_taken_for_the_next_one() {
    let mut fixture = Fixture::new();
    fixture.attempt(1, NOW);
    let mut first = fixture.accept();
    write_text(&mut first, ANSWER);
    fixture.wait_for_bytes();
    fixture.report_ready(NOW);
    assert_eq!(fixture.completed(), [(1, Outcome::Success)]);
    // The next request comes before the second answer: it goes on a connection of its own.
    fixture.attempt(2, NOW + REST_AFTER_RESPONSE - 1);
    assert_eq!((fixture.upstream.opened, fixture.upstream.reused), (2, 0));
    let mut second = fixture.accept();
    write_text(&mut first, ANSWER);
    fixture.wait_for_bytes();
    fixture.report_ready(NOW + REST_AFTER_RESPONSE - 1);
    assert!(fixture.completed().is_empty(), "it was taken for the answer to the second request");
    assert_eq!(fixture.upstream.len(), 1, "a connection with more on it than was asked is closed");
    write_text(&mut second, ANSWER);
    fixture.wait_for_bytes();
    fixture.report_ready(NOW + REST_AFTER_RESPONSE);
    assert_eq!(fixture.completed(), [(2, Outcome::Success)]);
    // One that has rested is used again.
    fixture.attempt(3, NOW + 2 * REST_AFTER_RESPONSE);
    assert_eq!((fixture.upstream.opened, fixture.upstream.reused), (2, 1));
    read_request(&mut second);
}

#[test]
fn a_response_that_has_arrived_by_the_deadline_is_in_time() {
    let mut fixture = Fixture::new();
    fixture.attempt(1, NOW);
    let mut endpoint = fixture.accept();
    write_text(&mut endpoint, ANSWER);
    fixture.wait_for_bytes();
    fixture.upstream.expire_attempts(LATER, &mut fixture.events);
    assert_eq!(fixture.completed(), [(1, Outcome::Success)]);
    // What could not be sent in time is not sent at the end of it.
    fixture.attempt(2, LATER + REST_AFTER_RESPONSE);
    read_request(&mut endpoint);
    fixture.upstream.expire_attempts(LATER + 5 * SECOND, &mut fixture.events);
    assert_eq!(fixture.completed(), [(2, Outcome::TimedOut)]);
    fixture.attempt(3, LATER);
    let (mut waits, _) = fixture.listener.accept().expect("a connection");
    fixture.upstream.expire_attempts(LATER + 5 * SECOND, &mut fixture.events);
    assert_eq!(fixture.completed(), [(3, Outcome::ConnectFailed)]);
    assert_eq!(waits.read(&mut [0; 8]).expect("its end"), 0);
}

#[test]
fn only_a_marked_rejection_proves_that_nothing_ran() {
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
        let response = answer(&format!("HTTP/1.1 {head}Content-Length: 0\r\n\r\n"));
        assert_eq!(response_outcome(&response), expected, "{head:?}");
    }
}

#[test]
fn a_load_report_is_read_in_the_order_of_the_settings() {
    let mut columns = vec!["util".to_owned(), "queue".to_owned()];
    let text = "HTTP/1.1 200 OK\r\nServer-Load: {\"inflight\":7,\"queue\":2,\"util\":0.61}\r\nContent-Length: 0\r\n\r\n";
    let load = |columns: &[String]| load_report(&answer(text), Purpose::HealthCheck, columns);
    assert_eq!(load(&columns), [0.61, 2.0]);
    columns.push("unheard".to_owned());
    assert!(load(&columns).is_empty(), "half a report is none");
}

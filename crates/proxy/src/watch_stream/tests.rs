//! Tests of a watch stream against a scripted peer.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

use calloop::{EventLoop, Readiness};
use garnetcrank_policy::api::Micros;
use garnetcrank_test_support::scripted_servers::reset_on_close;

use super::{FIRST_BYTE_TIMEOUT, ReconnectBackoff, WatchEvents, WatchStream, WatchTimeouts};
use crate::clock::{MS, SECOND};
use crate::readiness::{ConnIds, Handle, Source, TurnInputs};
use crate::turn::MAX_READ_BYTES_PER_TURN;

const SILENCE_TIMEOUT: Micros = 3 * SECOND;

/// Watch stream to a scripted peer, with a clock that the test advances.
struct Fixture {
    event_loop: EventLoop<'static, TurnInputs>,
    peer: TcpListener,
    watch: WatchStream,
    ids: ConnIds,
    now: Micros,
    /// Times at which connections were started.
    started_at: Vec<Micros>,
}

impl Fixture {
    fn new(seed: u64) -> Fixture {
        let peer = TcpListener::bind("127.0.0.1:0").expect("a port");
        let watch = WatchStream::new(
            "test",
            peer.local_addr().expect("an address"),
            WatchTimeouts { silence: SILENCE_TIMEOUT, first_byte: FIRST_BYTE_TIMEOUT },
            ReconnectBackoff::REMOTE,
            seed,
        );
        let event_loop = EventLoop::try_new().expect("an event loop");
        Fixture {
            event_loop,
            peer,
            watch,
            ids: ConnIds::default(),
            now: 100 * SECOND,
            started_at: Vec::new(),
        }
    }

    fn tick(&mut self) -> WatchEvents {
        let before = self.watch.open.as_ref().map(|open| open.id);
        let handle = Handle::new(self.event_loop.handle());
        let events =
            self.watch.on_tick(&handle, &mut self.ids, Source::Discovery, self.now, || "/w".to_owned());
        let after = self.watch.open.as_ref().map(|open| open.id);
        self.started_at.extend((after.is_some() && after != before).then_some(self.now));
        events
    }

    /// Accepts the new connection and reads its request. Returns the peer's end.
    fn accept(&mut self) -> TcpStream {
        let (mut stream, _) = self.peer.accept().expect("a connection");
        self.receive(); // marks the connection as established and sends the request
        let mut request = [0; 512];
        assert!(stream.read(&mut request).expect("a request") > 0);
        stream
    }

    /// Reports readiness to the watch stream and returns the events that it reads.
    fn receive(&mut self) -> WatchEvents {
        let id = self.watch.open.as_ref().expect("a connection").id;
        self.watch.on_ready(id, Readiness { readable: true, writable: true, error: false }, self.now)
    }

    /// Creates a fixture whose watch stream is connected and has received a first line.
    fn connected(seed: u64) -> (Fixture, TcpStream) {
        let mut fixture = Fixture::new(seed);
        fixture.tick();
        let mut stream = fixture.accept();
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nfirst\n\r\n")
            .expect("the peer writes");
        wait_for_bytes(&fixture);
        assert_eq!(fixture.receive().lines, [b"first"]);
        assert!(fixture.watch.is_connected());
        (fixture, stream)
    }
}

/// Waits until the socket of the watch stream has bytes to read, without reporting readiness.
fn wait_for_bytes(fixture: &Fixture) {
    let connection = &fixture.watch.open.as_ref().expect("a connection").connection;
    while connection.is_open_without_input() {
        std::thread::yield_now();
    }
}

#[test]
fn two_silent_or_unestablished_connections_leave_time_for_a_third() {
    // A missed update counts as delivered 6 s after the silence began, and 4 s after a change of address.
    for (seed, established) in (0..40)
        .flat_map(|seed| [[true, true], [true, false], [false, false]].map(|established| (seed, established)))
    {
        for (moved, limit) in [(false, 6 * SECOND), (true, 4 * SECOND)] {
            let (mut fixture, _first_stream) = Fixture::connected(seed);
            let silent_since = fixture.now;
            if moved {
                fixture.peer = TcpListener::bind("127.0.0.1:0").expect("a port");
                let events =
                    fixture.watch.retarget(fixture.peer.local_addr().expect("an address"), fixture.now);
                assert!(events.lines.is_empty() && !events.lost);
            }
            fixture.started_at.clear();
            let mut silent_streams = Vec::new();
            while fixture.started_at.len() < 3 {
                let before = fixture.started_at.len();
                fixture.tick();
                if fixture.started_at.len() > before && established.get(before) == Some(&true) {
                    silent_streams.push(fixture.accept()); // established, but silent
                }
                fixture.now += 100 * MS; // longest interval between sweeps
            }
            let third_after = fixture.started_at[2] - silent_since;
            assert!(
                third_after + 200 * MS < limit,
                "third connection after {third_after} us, seed {seed}, {established:?}, moved {moved}"
            );
        }
    }
}

#[test]
fn a_connection_is_open_when_a_silent_peer_recovers() {
    let (mut fixture, _first_stream) = Fixture::connected(1);
    let (mut silent_streams, mut ticks_without_connection) = (Vec::new(), 0);
    for _ in 0..500 {
        let before = fixture.started_at.len();
        fixture.tick();
        if fixture.started_at.len() > before {
            silent_streams.push(fixture.accept()); // established, but silent
        }
        ticks_without_connection += u32::from(fixture.watch.open.is_none());
        fixture.now += 20 * MS; // interval between sweeps
    }
    assert!((5..=8).contains(&silent_streams.len()), "{} connections in 10 s", silent_streams.len());
    // One sweep passes between two connections: the sweep that reports a loss does not also reconnect.
    assert_eq!(
        ticks_without_connection as usize,
        silent_streams.len(),
        "each reconnect takes exactly one sweep without a connection"
    );
    let mut last = silent_streams.pop().expect("a connection");
    last.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nback\n\r\n")
        .expect("the peer writes");
    wait_for_bytes(&fixture);
    assert_eq!(fixture.receive().lines, [b"back"]);
}

#[test]
fn lines_that_arrived_before_a_change_of_address_are_read() {
    let (mut fixture, mut stream) = Fixture::connected(1);
    stream.write_all(b"5\r\nlast\n\r\n").expect("the peer writes");
    wait_for_bytes(&fixture);
    let events = fixture.watch.retarget("127.0.0.1:1".parse().expect("an address"), fixture.now);
    assert_eq!(events.lines, [b"last"]);
    assert!(!events.lost && fixture.watch.open.is_none());
}

#[test]
fn a_process_that_was_suspended_reads_pending_lines_and_keeps_the_stream() {
    let (mut fixture, mut stream) = Fixture::connected(1);
    stream.write_all(b"5\r\nline\n\r\n").expect("the peer writes");
    wait_for_bytes(&fixture);
    fixture.now += 2 * SILENCE_TIMEOUT;
    let events = fixture.tick();
    assert_eq!(events.lines, [b"line"]);
    assert!(!events.lost && fixture.watch.is_connected());
    fixture.now += SILENCE_TIMEOUT;
    assert!(fixture.tick().lost, "a silent stream is lost after the timeout");
}

#[test]
fn lines_that_arrived_before_the_connection_broke_are_read() {
    let (mut fixture, mut stream) = Fixture::connected(1);
    stream.write_all(b"5\r\nlast\n\r\n").expect("the peer writes");
    drop(stream);
    wait_for_bytes(&fixture);
    let events = fixture.receive();
    assert_eq!(events.lines.first().map(Vec::as_slice), Some(&b"last"[..]));
}

#[test]
fn backoff_is_bounded_and_differs_between_proxies() {
    let mut delays = std::collections::BTreeSet::new();
    for seed in 0..20 {
        let (mut fixture, _stream) = Fixture::connected(seed);
        fixture.watch.disconnect(fixture.now, "test");
        delays.insert(fixture.watch.reconnect_at - fixture.now);
    }
    assert!(delays.len() > 10, "too few different delays: {delays:?}");
    let initial_limit = ReconnectBackoff::REMOTE.initial;
    assert!(delays.iter().all(|delay| (initial_limit / 2..=initial_limit).contains(delay)), "{delays:?}");
}

/// Guards against unread lines that are lost at a change of address where they exceed the quota of a turn.
#[test]
fn a_stream_that_is_closed_is_read_beyond_the_quota_of_a_turn() {
    const LINES: usize = 4;
    let (mut fixture, mut stream) = Fixture::connected(1);
    let line = format!("{}\n", "x".repeat(MAX_READ_BYTES_PER_TURN));
    let chunk = format!("{:x}\r\n{line}\r\n", line.len());
    stream.write_all(chunk.repeat(LINES).as_bytes()).expect("the peer writes");
    let other = TcpListener::bind("127.0.0.1:0").expect("a port");
    let events = fixture.watch.retarget(other.local_addr().expect("an address"), fixture.now);
    assert_eq!(events.lines.len(), LINES);
}

/// Guards against lines of an error response that are taken for events where the response ends in the same read.
#[test]
fn an_error_response_has_no_events_however_it_ends() {
    let bodies = [
        "Connection: close\r\n\r\nevent\n",
        "Content-Length: 6\r\n\r\nevent\n",
        "Content-Length: 60\r\n\r\nevent\n",
        "Transfer-Encoding: chunked\r\n\r\n6\r\nevent\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n6\r\nevent\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n6\r\nevent\n\r\nzz\r\n",
    ];
    for (body, is_reset) in bodies.into_iter().flat_map(|body| [(body, false), (body, true)]) {
        let mut fixture = Fixture::new(1);
        fixture.tick();
        let mut stream = fixture.accept();
        stream.write_all(format!("HTTP/1.1 503 Busy\r\n{body}").as_bytes()).expect("the peer writes");
        if is_reset {
            reset_on_close(&stream);
        }
        drop(stream);
        wait_for_bytes(&fixture);
        let events = fixture.receive();
        assert!(events.lines.is_empty() && events.lost, "reset: {is_reset}, {body:?}: {events:?}");
    }
}

/// Guards against the kind of the end of a connection being lost on its way to the log.
#[test]
fn the_reason_for_a_lost_watch_stream_tells_a_close_from_a_reset() {
    for (is_reset, expected) in
        [(false, "connection closed by the peer"), (true, "connection lost: connection reset")]
    {
        let (mut fixture, stream) = Fixture::connected(1);
        if is_reset {
            reset_on_close(&stream);
        }
        drop(stream);
        wait_for_bytes(&fixture);
        let open = fixture.watch.open.as_mut().expect("a connection");
        open.connection.mark_readable();
        let end = open.read_lines(&mut Vec::new()).end.expect("the connection has ended");
        assert_eq!(end.to_string(), expected);
    }
}

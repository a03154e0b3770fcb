//! A watch stream against a peer whose every byte the test writes.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

use calloop::{EventLoop, Readiness};
use garnetcrank_policy::api::Micros;

use super::{FIRST_BYTE_TIMEOUT, ReconnectBackoff, WatchEvents, WatchStream, WatchTimeouts};
use crate::clock::{MS, SECOND};
use crate::readiness::{ConnIds, Source, TurnInputs};

const SILENCE_TIMEOUT: Micros = 3 * SECOND;

/// A watch on a peer whose every byte the test writes, and a clock that the test moves.
struct Fixture {
    event_loop: EventLoop<'static, TurnInputs>,
    peer: TcpListener,
    watch: WatchStream,
    ids: ConnIds,
    now: Micros,
    /// When connections were begun.
    begun: Vec<Micros>,
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
        let event_loop = EventLoop::try_new().expect("a loop");
        Fixture { event_loop, peer, watch, ids: ConnIds::default(), now: 100 * SECOND, begun: Vec::new() }
    }

    fn tick(&mut self) -> WatchEvents {
        let before = self.watch.open.as_ref().map(|o| o.id);
        let handle = self.event_loop.handle();
        let events =
            self.watch.on_tick(&handle, &mut self.ids, Source::Discovery, self.now, || "/w".to_owned());
        let after = self.watch.open.as_ref().map(|o| o.id);
        self.begun.extend((after.is_some() && after != before).then_some(self.now));
        events
    }

    /// The peer's end of the connection just made, once its request is there.
    fn accept(&mut self) -> TcpStream {
        let (mut stream, _) = self.peer.accept().expect("a connection");
        self.receive(); // it is up, and the request leaves
        let mut request = [0; 512];
        assert!(stream.read(&mut request).expect("a request") > 0);
        stream
    }

    /// What the watch reads when readiness is reported.
    fn receive(&mut self) -> WatchEvents {
        let id = self.watch.open.as_ref().expect("a connection").id;
        self.watch.on_ready(id, Readiness { readable: true, writable: true, error: false }, self.now)
    }

    /// Connected, with a first line received.
    fn connected(seed: u64) -> (Fixture, TcpStream) {
        let mut fixture = Fixture::new(seed);
        fixture.tick();
        let mut stream = fixture.accept();
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nfirst\n\r\n")
            .expect("sent");
        wait_for_bytes(&fixture);
        assert_eq!(fixture.receive().lines, [b"first"]);
        assert!(fixture.watch.is_connected());
        (fixture, stream)
    }
}

/// Waits until the watch's socket has bytes to read; readiness is not reported.
fn wait_for_bytes(fixture: &Fixture) {
    let conn = &fixture.watch.open.as_ref().expect("a connection").connection;
    while conn.is_quiet() {
        std::thread::yield_now();
    }
}

#[test]
fn two_silent_connections_leave_time_for_a_third_in_every_order() {
    // What is missed counts 6 s after the silence began, and 4 s after a move.
    for (seed, up) in
        (0..40).flat_map(|seed| [[true, true], [true, false], [false, false]].map(|up| (seed, up)))
    {
        for (moved, limit) in [(false, 6 * SECOND), (true, 4 * SECOND)] {
            let (mut fixture, _first) = Fixture::connected(seed);
            let since = fixture.now;
            if moved {
                fixture.peer = TcpListener::bind("127.0.0.1:0").expect("a port");
                let events =
                    fixture.watch.retarget(fixture.peer.local_addr().expect("an address"), fixture.now);
                assert!(events.lines.is_empty() && !events.lost);
            }
            fixture.begun.clear();
            let mut mute = Vec::new();
            while fixture.begun.len() < 3 {
                let before = fixture.begun.len();
                fixture.tick();
                if fixture.begun.len() > before && up.get(before) == Some(&true) {
                    mute.push(fixture.accept()); // established, and then not a byte
                }
                fixture.now += 100 * MS; // the longest rest of a sweep
            }
            let third = fixture.begun[2] - since;
            assert!(third + 200 * MS < limit, "{third} us, seed {seed}, {up:?}, moved {moved}");
        }
    }
}

#[test]
fn while_the_peer_is_silent_a_connection_is_open_when_it_speaks_again() {
    let (mut fixture, _first) = Fixture::connected(1);
    let (mut mute, mut apart) = (Vec::new(), 0);
    for _ in 0..500 {
        let before = fixture.begun.len();
        fixture.tick();
        if fixture.begun.len() > before {
            mute.push(fixture.accept()); // established, and then not a byte
        }
        apart += u32::from(fixture.watch.open.is_none());
        fixture.now += 20 * MS; // a sweep
    }
    assert!((5..=8).contains(&mute.len()), "{} connections in 10 s", mute.len());
    // Between two of them one sweep passes, so that a turn that tells of a loss makes no connection as well.
    assert_eq!(apart as usize, mute.len(), "it waits while the other side may be back");
    let mut last = mute.pop().expect("a connection");
    last.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nback\n\r\n").expect("sent");
    wait_for_bytes(&fixture);
    assert_eq!(fixture.receive().lines, [b"back"]);
}

#[test]
fn what_arrived_before_the_address_changed_is_read() {
    let (mut fixture, mut stream) = Fixture::connected(1);
    stream.write_all(b"5\r\nlast\n\r\n").expect("sent");
    wait_for_bytes(&fixture);
    let events = fixture.watch.retarget("127.0.0.1:1".parse().expect("an address"), fixture.now);
    assert_eq!(events.lines, [b"last"]);
    assert!(!events.lost && fixture.watch.open.is_none());
}

#[test]
fn a_suspended_process_reads_what_has_arrived_and_keeps_the_stream() {
    let (mut fixture, mut stream) = Fixture::connected(1);
    stream.write_all(b"5\r\nlies\n\r\n").expect("sent");
    wait_for_bytes(&fixture);
    fixture.now += 2 * SILENCE_TIMEOUT;
    let events = fixture.tick();
    assert_eq!(events.lines, [b"lies"]);
    assert!(!events.lost && fixture.watch.is_connected());
    fixture.now += SILENCE_TIMEOUT;
    assert!(fixture.tick().lost, "and then nothing more");
}

#[test]
fn what_arrived_before_the_connection_broke_is_read() {
    let (mut fixture, mut stream) = Fixture::connected(1);
    stream.write_all(b"5\r\nlast\n\r\n").expect("sent");
    drop(stream);
    wait_for_bytes(&fixture);
    let events = fixture.receive();
    assert_eq!(events.lines.first().map(Vec::as_slice), Some(&b"last"[..]));
}

#[test]
fn backoff_differs_between_proxies_and_is_bounded() {
    let mut waits = std::collections::BTreeSet::new();
    for seed in 0..20 {
        let (mut fixture, _stream) = Fixture::connected(seed);
        fixture.watch.disconnect(fixture.now, "a test");
        waits.insert(fixture.watch.reconnect_at - fixture.now);
    }
    assert!(waits.len() > 10, "in step: {waits:?}");
    let first = ReconnectBackoff::REMOTE.initial;
    assert!(waits.iter().all(|w| (first / 2..=first).contains(w)), "{waits:?}");
}

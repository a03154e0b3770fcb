//! Tests of the end of a connection's input, with a peer whose every step the test takes.

use std::io::{ErrorKind, Write};
use std::net::{TcpListener, TcpStream};

use calloop::EventLoop;
use garnetcrank_http::InputState;
use garnetcrank_test_support::scripted_servers::{reset_on_close, wait_until};
use rustix::event::{PollFd, PollFlags, Timespec, poll};

use super::Connection;
use crate::readiness::{ConnId, Handle, Source, TurnInputs};

const RING_BYTES: usize = 1024;
const RESET: InputState = InputState::Lost(ErrorKind::ConnectionReset);

/// An established connection and its peer.
struct Fixture {
    _event_loop: EventLoop<'static, TurnInputs>,
    connection: Connection,
    peer: TcpStream,
}

impl Fixture {
    fn new() -> Fixture {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds to a free port");
        let stream = TcpStream::connect(listener.local_addr().expect("local address")).expect("connects");
        let (peer, _) = listener.accept().expect("accepts");
        let event_loop = EventLoop::try_new().expect("creates an event loop");
        let handle = Handle::new(event_loop.handle());
        let source = Source::Upstream(ConnId(1));
        let connection = Connection::adopt(&handle, stream, source, RING_BYTES, RING_BYTES).expect("adopts");
        Fixture { _event_loop: event_loop, connection, peer }
    }

    /// Lets the peer send `text` and end the connection by dropping its stream, after `prepare`. Waits until the end has
    /// arrived.
    fn after_end(text: &[u8], prepare: impl FnOnce(&TcpStream)) -> Connection {
        let Fixture { connection, mut peer, .. } = Fixture::new();
        peer.write_all(text).expect("sends");
        prepare(&peer);
        drop(peer);
        wait_for_events(&connection, PollFlags::RDHUP);
        connection
    }

    fn after_reset(text: &[u8]) -> Connection {
        Fixture::after_end(text, reset_on_close)
    }
}

fn wait_for_events(connection: &Connection, events: PollFlags) {
    wait_until("the end of the connection", || {
        let mut descriptors = [PollFd::new(&*connection.stream, events)];
        poll(&mut descriptors, Some(&Timespec::default())).expect("polls");
        descriptors[0].revents().contains(events)
    });
}

/// Reads to the end of the input. Returns its state and the bytes before it.
fn read_to_end(connection: &mut Connection) -> (InputState, Vec<u8>) {
    connection.mark_readable();
    while !connection.fill().has_ended() {}
    let mut bytes = Vec::new();
    connection.input.take(RING_BYTES, &mut bytes);
    (connection.fill(), bytes)
}

#[test]
fn a_close_and_a_reset_are_told_apart_after_the_bytes_before_them() {
    for text in [&b""[..], b"hello"] {
        let mut closed = Fixture::after_end(text, |_| {});
        assert_eq!(read_to_end(&mut closed), (InputState::Closed, text.to_vec()));
        let mut reset = Fixture::after_reset(text);
        assert_eq!(read_to_end(&mut reset), (RESET, text.to_vec()));
    }
}

/// Guards against a reset that another call than a read learns of first: the system reports an error once, and the read
/// after it returns 0 bytes as after an orderly close.
#[test]
fn a_reset_that_was_reported_to_another_call_is_not_taken_for_a_close() {
    let report_reset: [fn(&mut Connection); 3] = [
        |connection| {
            connection.output.push(b"request").expect("fits");
            connection.flush().expect_err("the connection is lost");
        },
        |connection| {
            connection.connected().expect_err("the connection is lost");
        },
        |connection| {
            connection.mark_readable();
            connection.fill();
            assert!(!connection.is_open_without_input());
        },
    ];
    for report_reset in report_reset {
        let mut connection = Fixture::after_reset(b"hello");
        report_reset(&mut connection);
        assert_eq!(read_to_end(&mut connection), (RESET, b"hello".to_vec()));
    }
}

/// Guards against the reset that follows an orderly close, as an answer to a write, being taken for the loss of input.
#[test]
fn a_close_that_a_reset_follows_stays_a_close() {
    let mut connection = Fixture::after_end(b"hello", |peer| {
        peer.shutdown(std::net::Shutdown::Write).expect("shuts down");
        reset_on_close(peer);
    });
    wait_for_events(&connection, PollFlags::ERR);
    connection.output.push(b"request").expect("fits");
    let error = connection.flush().expect_err("the connection is reset");
    assert_eq!(error.kind(), ErrorKind::BrokenPipe);
    assert_eq!(read_to_end(&mut connection), (InputState::Closed, b"hello".to_vec()));
}

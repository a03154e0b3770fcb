//! Clients: their connections, requests read whole, answers written.

use std::io;
use std::net::{SocketAddr, TcpListener};

use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, Readiness, RegistrationToken};
use garnetcrank_http::{Bad, Parsing, Request, RequestReader, write_response};
use garnetcrank_policy::api::{Micros, RequestId};
use rustc_hash::FxHashMap;
use socket2::{Domain, Socket, Type};

use crate::clock::{MS, SECOND};
use crate::connection::Connection;
use crate::readiness::{ConnId, ConnIds, Handle, Source, TurnInputs};
use crate::upstream::MAX_BODY_BYTES;

/// Connections that may wait to be accepted; a restart of another front sends its clients here at once.
const BACKLOG: i32 = 1024;
/// Room for what has come and is not yet taken apart: a head, and what a client sends too early.
const IN_MOST: usize = 32 * 1024;
/// Room for an answer with its head, and for a stream's parts ahead of a slow client.
const OUT_MOST: usize = 2 * MAX_BODY_BYTES + 64 * 1024;
/// Above this, no more of a stream is read until its client has taken what waits.
const STREAM_AHEAD: usize = MAX_BODY_BYTES;
/// A request must be whole so long after its first byte, the first one of a connection so long after that
/// was made: whoever drips or says nothing is turned away within 3 s.
const READ: Micros = 2_500 * MS;
/// An answer that its client takes no byte of for so long is given up; networks stall for less.
const STALLED: Micros = 10 * SECOND;
/// A connection without a request for so long is closed: what is kept for those who never return is bounded,
/// and those who do make a new one for little.
const IDLE: Micros = 5 * SECOND;
/// Where room is needed, one without a request for so long makes way ...
const MAKES_WAY: Micros = 2 * SECOND;
/// ... and one that was made so long ago and never said a word: whoever has something to say says it at once.
const SILENT: Micros = 50 * MS;
/// While the process ends, a connection that was just made is kept so long for its first request.
const FIRST_REQUEST: Micros = 250 * MS;
/// After the last answer on a connection, what the client still sends is read for so long and up to so many
/// bytes, lest a reset overtakes the answer.
const LINGER: Micros = 300 * MS;
const LINGER_MOST: usize = 256 * 1024;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Between requests, or reading one.
    Reading,
    /// Its request is with the decisions.
    Held(RequestId),
    /// A request was read and not yet taken over.
    Told,
    /// Its last answer is on its way.
    Closing,
}

struct Client {
    conn: Connection,
    reader: RequestReader,
    state: State,
    /// When its state last changed, bytes of an answer last moved, or the first byte of a request came.
    moved: Micros,
    /// No whole request has come yet.
    new: bool,
    lingered: usize,
    keep_alive: bool,
    streaming: bool,
    finished: bool, // sending has ended
}

/// Kinds of bad requests, as they are counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BadRequest {
    /// It can't be read.
    Unreadable(Bad),
    /// It did not come whole in time.
    Late,
    /// It can be read, and means nothing here.
    Meaningless(&'static str),
    /// It bears the name of another open one.
    NameTaken,
}

/// What clients did.
#[derive(Debug)]
pub enum DownstreamEvent {
    /// A whole request.
    Request(ConnId, Request),
    /// What came can't be read; it has been answered.
    Bad(BadRequest),
    /// A client left while its request was held.
    Left(RequestId),
    /// A client has taken what waited for it.
    Drained(RequestId),
}

/// The listening socket and all clients.
pub struct Downstream {
    handle: Handle,
    listener: Option<(TcpListener, RegistrationToken)>,
    clients: FxHashMap<ConnId, Client>,
    /// Every answer is the last one of its connection.
    pub closing: bool,
    /// Places are short, or others already wait for one: an answer closes its connection.
    pub crowded: bool,
    /// Connections may wait to be accepted.
    pub waiting: bool,
    /// Connections closed since nothing came on them.
    pub idle_closed: u64,
}

impl Downstream {
    /// Listens. The address can be taken again at once after a restart.
    pub fn listen(handle: &Handle, address: SocketAddr) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        Downstream::with_listener(handle, socket.into())
    }

    /// Clients of a socket that listens already, perhaps on other threads as well.
    pub fn with_listener(handle: &Handle, listener: TcpListener) -> io::Result<Self> {
        let source = Generic::new(listener.try_clone()?, Interest::READ, Mode::Edge);
        let noted = |readiness, _: &mut _, ready: &mut TurnInputs| {
            ready.connections.push((Source::Listener, readiness));
            Ok(PostAction::Continue)
        };
        let token = handle.insert_source(source, noted).map_err(|e| io::Error::other(e.to_string()))?;
        Ok(Downstream {
            handle: handle.clone(),
            listener: Some((listener, token)),
            clients: FxHashMap::default(),
            closing: false,
            crowded: false,
            waiting: true,
            idle_closed: 0,
        })
    }

    /// Whether it still listens.
    pub fn is_listening(&self) -> bool {
        self.listener.is_some()
    }

    /// The socket that listens, for another thread.
    pub fn listener(&self) -> io::Result<TcpListener> {
        let none = || io::Error::other("nothing listens");
        self.listener.as_ref().ok_or_else(none)?.0.try_clone()
    }

    /// Clients connected.
    pub fn len(&self) -> usize {
        self.clients.len()
    }

    /// Accepts one client. False if none waits; [`Clients::waiting`] then says so.
    pub fn accept(&mut self, ids: &mut ConnIds, now: Micros) -> bool {
        let Some((listener, _)) = &self.listener else {
            self.waiting = false;
            return false;
        };
        match listener.accept() {
            Ok((stream, _)) => {
                let id = ids.next();
                // A client that is gone again already is no client.
                if let Ok(conn) =
                    Connection::adopt(&self.handle, stream, Source::Downstream(id), IN_MOST, OUT_MOST)
                {
                    self.clients.insert(
                        id,
                        Client {
                            conn,
                            reader: RequestReader::new(MAX_BODY_BYTES),
                            state: State::Reading,
                            moved: now,
                            new: true,
                            lingered: 0,
                            keep_alive: true,
                            streaming: false,
                            finished: false,
                        },
                    );
                }
                true
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                self.waiting = false;
                false
            }
            // Such a connection is gone, others may wait; or descriptors are short, and it is tried again.
            Err(e) => e.kind() == io::ErrorKind::ConnectionAborted,
        }
    }

    /// Stops listening.
    pub fn stop_listening(&mut self) {
        if let Some((_, token)) = self.listener.take() {
            self.handle.remove(token);
        }
    }

    /// Takes what the loop told of a connection.
    pub fn on_ready(
        &mut self,
        id: ConnId,
        readiness: Readiness,
        now: Micros,
        notes: &mut Vec<DownstreamEvent>,
    ) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.conn.update_readiness(readiness);
            self.go_on(id, now, notes);
        }
    }

    /// Writes and reads as far as it goes.
    fn go_on(&mut self, id: ConnId, now: Micros, notes: &mut Vec<DownstreamEvent>) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let (before, was_idle) = (client.conn.output.len(), client.idle());
        let flushed = client.conn.flush();
        if client.conn.output.len() < before {
            client.moved = now;
        }
        let gone = loop {
            if let (State::Closing, Ok(whole)) = (client.state, &flushed) {
                if *whole && !std::mem::replace(&mut client.finished, *whole) {
                    client.conn.shutdown_write();
                }
                let (dropped, ended) = client.conn.discard(LINGER_MOST);
                client.lingered += dropped;
                break *whole && (ended || client.lingered >= LINGER_MOST);
            }
            let ended = client.conn.fill();
            match (client.state, &flushed) {
                (_, Err(_)) => break true,
                (State::Closing, _) => break false,
                (State::Held(_) | State::Told, _) if ended => break true,
                (State::Held(held), Ok(true)) if before > 0 && client.streaming => {
                    notes.push(DownstreamEvent::Drained(held));
                    break false;
                }
                // What a client sends before its answer is read after it.
                (State::Held(_) | State::Told, _) => break false,
                (State::Reading, _) => match client.reader.read(&mut client.conn.input) {
                    Ok(Parsing::Done(request)) => {
                        (client.state, client.moved, client.new) = (State::Told, now, false);
                        client.keep_alive = request.keep_alive;
                        notes.push(DownstreamEvent::Request(id, request));
                        break false;
                    }
                    Ok(Parsing::More) if ended => {
                        let midway = client.reader.midway() || !client.conn.input.is_empty();
                        if !midway {
                            break true;
                        }
                        return self.bad(id, Bad::Truncated, now, notes);
                    }
                    Ok(Parsing::More) => {
                        if client.reader.take_continue() {
                            // A client that can't be told has left, which is seen when reading.
                            let _ = client.conn.output.push(b"HTTP/1.1 100 Continue\r\n\r\n");
                            let _ = client.conn.flush();
                        }
                    }
                    Err(bad) => {
                        return self.bad(id, bad, now, notes);
                    }
                },
            }
            if ended || !client.conn.more_to_read() {
                break false;
            }
        };
        if gone {
            self.leave(id, notes);
        } else if was_idle && !client.idle() && !client.new {
            client.moved = now; // the first bytes of a request
        }
    }

    fn bad(&mut self, id: ConnId, bad: Bad, now: Micros, notes: &mut Vec<DownstreamEvent>) {
        notes.push(DownstreamEvent::Bad(BadRequest::Unreadable(bad)));
        self.answer_bad(id, bad.status(), &bad.to_string(), now, notes);
    }

    fn leave(&mut self, id: ConnId, notes: &mut Vec<DownstreamEvent>) {
        if let Some(Client { state: State::Held(request), .. }) = self.clients.remove(&id) {
            notes.push(DownstreamEvent::Left(request));
        }
    }

    /// The decisions have taken this client's request over. False if it has left meanwhile.
    pub fn mark_in_flight(&mut self, id: ConnId, request: RequestId) -> bool {
        let client = self.clients.get_mut(&id);
        client.map(|c| c.state = State::Held(request)).is_some()
    }

    /// Says what is wrong with a request, and closes the connection.
    pub fn answer_bad(
        &mut self,
        id: ConnId,
        status: u16,
        words: &str,
        now: Micros,
        notes: &mut Vec<DownstreamEvent>,
    ) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.keep_alive = false;
        }
        let body = format!("{words}\n");
        let lines: [(&str, &[u8]); 1] = [("Content-Type", b"text/plain")];
        self.answer(id, status, lines.into_iter(), body.as_bytes(), now, notes);
    }

    /// The final answer to a client's request. A request that it has sent already may follow in the notes.
    pub fn answer<'a>(
        &mut self,
        id: ConnId,
        status: u16,
        headers: impl Iterator<Item = (&'a str, &'a [u8])>,
        body: &[u8],
        now: Micros,
        notes: &mut Vec<DownstreamEvent>,
    ) {
        let last = self.closing || self.crowded;
        let Some(client) = self.clients.get_mut(&id) else { return };
        let headers = headers.chain(client.last_line(last));
        let written = write_response(&mut client.conn.output, status, headers, Some(body));
        if written.is_err() {
            // It cannot be sent whole, so it is not begun: the client sees the connection end.
            self.clients.remove(&id);
            return;
        }
        client.answered(now);
        self.go_on(id, now, notes);
    }

    /// Begins a streamed answer.
    pub fn start_response<'a>(&mut self, id: ConnId, headers: impl Iterator<Item = (&'a str, &'a [u8])>) {
        let last = self.closing || self.crowded;
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.streaming = true;
        let headers = headers.chain(client.last_line(last));
        // The ring is empty between answers, and a head is bounded.
        let _ = write_response(&mut client.conn.output, 200, headers, None);
    }

    /// Passes a part of a streamed answer on. True if the client takes it slower than it comes.
    pub fn send_body_part(
        &mut self,
        id: ConnId,
        bytes: &[u8],
        now: Micros,
        notes: &mut Vec<DownstreamEvent>,
    ) -> bool {
        let Some(client) = self.clients.get_mut(&id) else { return false };
        let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
        chunk.extend_from_slice(bytes);
        chunk.extend_from_slice(b"\r\n");
        if client.conn.output.push(&chunk).is_err() {
            self.leave(id, notes);
            return false;
        }
        client.moved = now;
        self.go_on(id, now, notes);
        self.clients.get(&id).is_some_and(|c| c.conn.output.len() > STREAM_AHEAD)
    }

    /// Ends a streamed answer.
    pub fn finish_response(&mut self, id: ConnId, now: Micros, notes: &mut Vec<DownstreamEvent>) {
        let last = self.closing || self.crowded;
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.keep_alive &= !last;
        if client.conn.output.push(b"0\r\n\r\n").is_err() {
            return self.abort_response(id);
        }
        client.streaming = false;
        client.answered(now);
        self.go_on(id, now, notes);
    }

    /// Ends a streamed answer so that the client can tell that it is incomplete.
    pub fn abort_response(&mut self, id: ConnId) {
        self.clients.remove(&id);
    }

    /// Whether nothing is owed to anyone, nor can be any more: nobody comes, and nobody is connected. Short of that a
    /// request may be half read or lie unread, or an answer may be overtaken by the reset of what its client sent.
    pub fn is_drained(&self) -> bool {
        !self.is_listening() && self.clients.is_empty()
    }

    /// Closes every connection that is between requests, once nothing more has come on it. One just made has its first
    /// request on the way.
    pub fn close_idle(&mut self, now: Micros) {
        let rests = |c: &Client| c.idle() && (!c.new || now >= c.moved + FIRST_REQUEST);
        self.clients.retain(|_, c| !(rests(c) && c.conn.is_quiet()));
    }

    /// Closes one connection to make room: of a client that has its last answer, has said nothing, or nothing
    /// more for longest. False if there is none.
    pub fn evict_idle(&mut self, now: Micros) -> bool {
        let rested = |c: &Client| c.idle() && now >= c.moved + if c.new { SILENT } else { MAKES_WAY };
        let rests = |c: &Client| c.finished || rested(c);
        let resting = self.clients.iter().filter(|(_, c)| rests(c) && c.conn.is_quiet());
        // Those whose end has been told first, then the silent ones, then the one that has rested for longest.
        let first = resting.min_by_key(|(id, c)| (!c.finished, !c.new, c.moved, **id)).map(|(id, _)| *id);
        first.is_some_and(|id| self.clients.remove(&id).is_some())
    }

    /// Gives up what has stalled, and looks whether a client whose request is held has left: its leaving may
    /// have come together with the request, and then nothing more tells of it.
    pub fn on_tick(&mut self, now: Micros, notes: &mut Vec<DownstreamEvent>) {
        let (mut stalled, mut unread) = (Vec::new(), Vec::new());
        for (id, client) in &self.clients {
            if matches!(client.state, State::Held(_)) && client.conn.more_to_read() {
                unread.push(*id);
            }
            let since = now.saturating_sub(client.moved);
            let limit = match client.state {
                State::Reading if client.idle() && !client.new => IDLE,
                State::Reading if client.conn.output.is_empty() => READ,
                State::Closing if client.finished => LINGER,
                State::Held(_) | State::Told if client.conn.output.is_empty() => continue,
                _ => STALLED,
            };
            if since >= limit {
                stalled.push(*id);
            }
        }
        unread.into_iter().for_each(|id| self.go_on(id, now, notes));
        for id in stalled {
            let Some(client) = self.clients.get(&id) else { continue };
            if !client.idle() && client.state == State::Reading {
                notes.push(DownstreamEvent::Bad(BadRequest::Late));
                self.answer_bad(id, 408, "the request did not come whole in time", now, notes);
            } else if !client.idle() || client.conn.is_quiet() {
                // What has come just now on an idle one is read first.
                self.idle_closed += u64::from(client.idle());
                self.leave(id, notes);
            }
        }
    }
}

impl Client {
    /// The header line that ends this connection, if its answer is the last one on it.
    fn last_line(&mut self, last: bool) -> Option<(&'static str, &'static [u8])> {
        self.keep_alive &= !last;
        (!self.keep_alive).then_some(("Connection", b"close"))
    }

    /// Its answer stands whole in the ring.
    fn answered(&mut self, now: Micros) {
        self.moved = now;
        self.state = if self.keep_alive { State::Reading } else { State::Closing };
    }

    fn idle(&self) -> bool {
        let nothing = self.conn.input.is_empty() && self.conn.output.is_empty();
        self.state == State::Reading && !self.reader.midway() && nothing
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::{Read, Write};
    use std::net::TcpStream;

    const NOW: Micros = 1_000 * SECOND;

    /// A listening socket with one client, whose every byte the test writes; the clock is the test's.
    struct Stand {
        _loop: calloop::EventLoop<'static, TurnInputs>,
        clients: Downstream,
        ids: ConnIds,
        notes: Vec<DownstreamEvent>,
        client: TcpStream,
    }

    impl Stand {
        fn new() -> Stand {
            let event_loop = calloop::EventLoop::try_new().expect("a loop");
            let handle = event_loop.handle();
            let clients =
                Downstream::listen(&handle, "127.0.0.1:0".parse().expect("an address")).expect("a port");
            let (listener, _) = clients.listener.as_ref().expect("a listener");
            let client =
                TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
            let (ids, notes) = (ConnIds::default(), Vec::new());
            Stand { _loop: event_loop, clients, ids, notes, client }
        }

        /// The last arrivals are taken in, and the socket is closed.
        fn deaf() -> Stand {
            let mut stand = Stand::new();
            stand.clients.closing = true;
            while stand.clients.accept(&mut stand.ids, NOW) {}
            stand.clients.stop_listening();
            assert_eq!(stand.clients.len(), 1, "it waited to be accepted");
            stand
        }

        fn id(&self) -> ConnId {
            *self.clients.clients.keys().next().expect("a client")
        }

        fn send(&mut self, text: &str) {
            self.client.write_all(text.as_bytes()).expect("sent");
            let (id, conn) =
                self.clients.clients.iter().next().map(|(id, c)| (*id, &c.conn)).expect("a client");
            while conn.is_quiet() {
                std::thread::yield_now();
            }
            let readiness = Readiness { readable: true, writable: true, error: false };
            self.clients.on_ready(id, readiness, NOW, &mut self.notes);
        }
    }

    const REQUEST: &str = "GET /look HTTP/1.1\r\nHost: x\r\n\r\n";

    #[test]
    fn one_accepted_last_is_heard_before_its_connection_counts_as_idle() {
        let mut stand = Stand::deaf();
        stand.clients.close_idle(NOW);
        stand.clients.close_idle(NOW + FIRST_REQUEST - 1);
        assert!(!stand.clients.is_drained(), "closed while its first request was on the way");
        stand.send(REQUEST);
        assert!(matches!(stand.notes[..], [DownstreamEvent::Request(..)]));
        let mut silent = Stand::deaf();
        silent.clients.close_idle(NOW + FIRST_REQUEST);
        assert!(silent.clients.is_drained(), "it never says a word");
    }

    #[test]
    fn the_process_waits_for_what_is_half_read_unread_or_not_yet_taken() {
        let mut stand = Stand::deaf();
        let (half, rest) = REQUEST.split_at(20);
        stand.send(half);
        stand.clients.close_idle(NOW + FIRST_REQUEST);
        assert!(!stand.clients.is_drained(), "half a request is read");
        stand.send(rest);
        assert!(!stand.clients.is_drained(), "a request is read");
        let id = stand.id();
        assert!(stand.clients.mark_in_flight(id, RequestId(1)));
        assert!(!stand.clients.is_drained());
        stand.clients.answer(id, 200, std::iter::empty(), b"hi", NOW, &mut stand.notes);
        // The answer has left, and what its client still sends must not be met by a reset that overtakes it.
        assert!(!stand.clients.is_drained(), "its last answer may be on the way");
        stand.client.write_all(REQUEST.as_bytes()).expect("sent");
        stand.clients.on_tick(NOW + LINGER - 1, &mut stand.notes);
        assert!(!stand.clients.is_drained());
        let mut answer = String::new();
        stand.client.read_to_string(&mut answer).expect("a whole answer and no reset");
        assert!(answer.ends_with("hi"), "{answer}");
        stand.clients.on_tick(NOW + LINGER, &mut stand.notes);
        assert!(stand.clients.is_drained(), "one that never leaves is not waited for");
    }

    #[test]
    fn what_lies_unread_on_an_idle_connection_is_heard_before_it_is_closed() {
        let mut stand = Stand::deaf();
        stand.client.write_all(REQUEST.as_bytes()).expect("sent");
        while stand.clients.clients.values().all(|c| c.conn.is_quiet()) {
            std::thread::yield_now();
        }
        stand.clients.close_idle(NOW + SECOND);
        assert!(!stand.clients.is_drained(), "its request lies in the kernel");
    }

    #[test]
    fn a_client_that_takes_no_byte_of_its_answer_is_given_up_and_one_that_takes_some_is_not() {
        let mut stand = Stand::deaf();
        stand.send(REQUEST);
        let id = stand.id();
        assert!(stand.clients.mark_in_flight(id, RequestId(1)));
        stand.clients.start_response(id, std::iter::empty());
        let part = [b'x'; 16 * 1024];
        while !stand.clients.send_body_part(id, &part, NOW, &mut stand.notes) {}
        stand.notes.clear();
        stand.clients.on_tick(NOW + STALLED - 1, &mut stand.notes);
        // What it reads makes room, which the loop tells.
        let mut some = vec![0; 1024 * 1024];
        stand.client.read_exact(&mut some).expect("what has come so far");
        let (later, readiness) =
            (NOW + STALLED - 1, Readiness { readable: false, writable: true, error: false });
        let before = stand.clients.clients[&id].conn.output.len();
        while stand.clients.clients[&id].conn.output.len() == before {
            stand.clients.on_ready(id, readiness, later, &mut stand.notes);
        }
        while !stand.clients.send_body_part(id, &part, later, &mut stand.notes) {}
        stand.clients.on_tick(NOW + STALLED, &mut stand.notes);
        assert!(
            !stand.clients.is_drained() && !stand.notes.iter().any(|n| matches!(n, DownstreamEvent::Left(_)))
        );
        // Nothing is taken from here on: the attempt behind it is not kept for it, nor the process.
        stand.clients.on_tick(later + STALLED, &mut stand.notes);
        assert!(stand.clients.is_drained());
        assert!(matches!(stand.notes[..], [.., DownstreamEvent::Left(RequestId(1))]));
    }

    #[test]
    fn while_it_listens_somebody_may_come() {
        let mut stand = Stand::new();
        assert!(!stand.clients.is_drained(), "one waits to be accepted");
        stand.clients.stop_listening();
        assert!(stand.clients.is_drained());
    }
}

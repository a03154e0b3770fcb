//! Connections from clients: requests read completely, responses written.

mod client;
mod event;
#[cfg(test)]
mod tests;

use std::io;
use std::net::{SocketAddr, TcpListener};

use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, Readiness, RegistrationToken};
use garnetcrank_http::{MessageError, write_response};
use garnetcrank_policy::api::{Micros, RequestId};
use rustc_hash::FxHashMap;
use socket2::{Domain, Socket, Type};

use crate::connection::Connection;
use crate::readiness::{ConnId, ConnIds, Handle, Source, TurnInputs};
use crate::upstream::MAX_BODY_BYTES;
use client::{Client, ClientState, Progress};
pub(crate) use event::{BadRequest, DownstreamEvent};

/// Connections that may wait to be accepted; a restart of another proxy sends its clients here at once.
const LISTEN_BACKLOG: i32 = 1024;
/// Capacity for what has arrived and is not parsed yet, in bytes: a head, and what a client sends too early.
const INPUT_RING_BYTES: usize = 32 * 1024;
/// Capacity for a response with its head, and for parts of a stream ahead of a slow client, in bytes.
const OUTPUT_RING_BYTES: usize = 2 * MAX_BODY_BYTES + 64 * 1024;
/// Bytes waiting for a client above which no more of its streamed response is read.
const MAX_STREAM_BACKLOG_BYTES: usize = MAX_BODY_BYTES;

/// The listening socket and its place in the event loop.
struct Listener {
    socket: TcpListener,
    token: RegistrationToken,
}

/// The listening socket and all clients of a worker.
pub(crate) struct Downstream {
    handle: Handle,
    listener: Option<Listener>,
    clients: FxHashMap<ConnId, Client>,
    /// Every response is the last one of its connection.
    pub(crate) closing: bool,
    /// Descriptors are short, or other clients wait for one: a response closes its connection.
    pub(crate) crowded: bool,
    /// Connections may wait to be accepted.
    pub(crate) waiting: bool,
    /// Connections closed because nothing arrived on them.
    pub(crate) idle_closed: u64,
}

impl Downstream {
    /// Listens. The address can be taken again at once after a restart.
    ///
    /// # Errors
    /// The address is taken or not this host's.
    pub(crate) fn listen(handle: &Handle, address: SocketAddr) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(LISTEN_BACKLOG)?;
        Downstream::with_listener(handle, socket.into())
    }

    /// Clients of a socket that listens already, perhaps on other workers as well.
    ///
    /// # Errors
    /// The socket could not be registered with the event loop.
    pub(crate) fn with_listener(handle: &Handle, socket: TcpListener) -> io::Result<Self> {
        let source = Generic::new(socket.try_clone()?, Interest::READ, Mode::Edge);
        let on_ready = |readiness, _: &mut _, inputs: &mut TurnInputs| {
            inputs.connections.push((Source::Listener, readiness));
            Ok(PostAction::Continue)
        };
        let token =
            handle.insert_source(source, on_ready).map_err(|error| io::Error::other(error.to_string()))?;
        Ok(Downstream {
            handle: handle.clone(),
            listener: Some(Listener { socket, token }),
            clients: FxHashMap::default(),
            closing: false,
            crowded: false,
            waiting: true,
            idle_closed: 0,
        })
    }

    /// Whether it still listens.
    pub(crate) fn is_listening(&self) -> bool {
        self.listener.is_some()
    }

    /// The listening socket, for another worker.
    ///
    /// # Errors
    /// It no longer listens, or descriptors are short.
    pub(crate) fn listener(&self) -> io::Result<TcpListener> {
        match &self.listener {
            Some(listener) => listener.socket.try_clone(),
            None => Err(io::Error::other("nothing listens")),
        }
    }

    /// Number of clients that are connected.
    pub(crate) fn len(&self) -> usize {
        self.clients.len()
    }

    /// Accepts one client. Returns whether another may wait; if none does, [`Downstream::waiting`] is reset.
    pub(crate) fn accept(&mut self, ids: &mut ConnIds, now: Micros) -> bool {
        let Some(listener) = &self.listener else {
            self.waiting = false;
            return false;
        };
        match listener.socket.accept() {
            Ok((stream, _)) => {
                let id = ids.next();
                let source = Source::Downstream(id);
                let adopted =
                    Connection::adopt(&self.handle, stream, source, INPUT_RING_BYTES, OUTPUT_RING_BYTES);
                // A client that has disconnected already is no client.
                if let Ok(connection) = adopted {
                    self.clients.insert(id, Client::new(connection, now));
                }
                true
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                self.waiting = false;
                false
            }
            // Such a connection is gone and others may wait; or descriptors are short, and it is tried again.
            Err(error) => error.kind() == io::ErrorKind::ConnectionAborted,
        }
    }

    /// Stops listening.
    pub(crate) fn stop_listening(&mut self) {
        if let Some(listener) = self.listener.take() {
            self.handle.remove(listener.token);
        }
    }

    /// Reads and writes on a connection that the event loop has reported.
    pub(crate) fn on_ready(
        &mut self,
        id: ConnId,
        readiness: Readiness,
        now: Micros,
        events: &mut Vec<DownstreamEvent>,
    ) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.connection.update_readiness(readiness);
            self.advance(id, now, events);
        }
    }

    /// Writes and reads as much as possible.
    fn advance(&mut self, id: ConnId, now: Micros, events: &mut Vec<DownstreamEvent>) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        match client.advance(now) {
            Progress::Waiting => {}
            Progress::Request(request) => events.push(DownstreamEvent::Request(id, request)),
            Progress::OutputDrained(request) => events.push(DownstreamEvent::OutputDrained(request)),
            Progress::Malformed(bad) => self.reject_malformed(id, bad, now, events),
            Progress::Disconnected => self.disconnect(id, events),
        }
    }

    fn reject_malformed(
        &mut self,
        id: ConnId,
        bad: MessageError,
        now: Micros,
        events: &mut Vec<DownstreamEvent>,
    ) {
        events.push(DownstreamEvent::BadRequest(BadRequest::Malformed(bad)));
        self.answer_bad(id, bad.status(), &bad.to_string(), now, events);
    }

    fn disconnect(&mut self, id: ConnId, events: &mut Vec<DownstreamEvent>) {
        if let Some(Client { state: ClientState::InFlight(request), .. }) = self.clients.remove(&id) {
            events.push(DownstreamEvent::Disconnected(request));
        }
    }

    /// The client's request is in flight from here on. Returns whether the client is still connected.
    pub(crate) fn mark_in_flight(&mut self, id: ConnId, request: RequestId) -> bool {
        let Some(client) = self.clients.get_mut(&id) else { return false };
        client.state = ClientState::InFlight(request);
        true
    }

    /// Answers a bad request with its fault, and closes the connection.
    pub(crate) fn answer_bad(
        &mut self,
        id: ConnId,
        status: u16,
        fault: &str,
        now: Micros,
        events: &mut Vec<DownstreamEvent>,
    ) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.keep_alive = false;
        }
        let body = format!("{fault}\n");
        let headers: [(&str, &[u8]); 1] = [("Content-Type", b"text/plain")];
        self.answer(id, status, headers.into_iter(), body.as_bytes(), now, events);
    }

    /// Sends the final answer to a client's request. A request that the client has sent already may follow in the
    /// events.
    pub(crate) fn answer<'a>(
        &mut self,
        id: ConnId,
        status: u16,
        headers: impl Iterator<Item = (&'a str, &'a [u8])>,
        body: &[u8],
        now: Micros,
        events: &mut Vec<DownstreamEvent>,
    ) {
        let is_last = self.closing || self.crowded;
        let Some(client) = self.clients.get_mut(&id) else { return };
        let headers = headers.chain(client.connection_header(is_last));
        let written = write_response(&mut client.connection.output, status, headers, Some(body));
        if written.is_err() {
            // It cannot be sent completely, so it is not begun: the client sees the connection end.
            self.clients.remove(&id);
            return;
        }
        client.on_response_written(now);
        self.advance(id, now, events);
    }

    /// Starts a streamed response.
    pub(crate) fn start_response<'a>(
        &mut self,
        id: ConnId,
        headers: impl Iterator<Item = (&'a str, &'a [u8])>,
    ) {
        let is_last = self.closing || self.crowded;
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.streaming = true;
        let headers = headers.chain(client.connection_header(is_last));
        // The ring is empty between responses, and a head is bounded.
        let _ = write_response(&mut client.connection.output, 200, headers, None);
    }

    /// Forwards a part of a streamed response. Returns whether the client takes it more slowly than it comes.
    pub(crate) fn send_body_part(
        &mut self,
        id: ConnId,
        bytes: &[u8],
        now: Micros,
        events: &mut Vec<DownstreamEvent>,
    ) -> bool {
        let Some(client) = self.clients.get_mut(&id) else { return false };
        let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
        chunk.extend_from_slice(bytes);
        chunk.extend_from_slice(b"\r\n");
        if client.connection.output.push(&chunk).is_err() {
            self.disconnect(id, events);
            return false;
        }
        client.last_progress = now;
        self.advance(id, now, events);
        let client = self.clients.get(&id);
        client.is_some_and(|client| client.connection.output.len() > MAX_STREAM_BACKLOG_BYTES)
    }

    /// Ends a streamed response.
    pub(crate) fn finish_response(&mut self, id: ConnId, now: Micros, events: &mut Vec<DownstreamEvent>) {
        let is_last = self.closing || self.crowded;
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.keep_alive &= !is_last;
        if client.connection.output.push(b"0\r\n\r\n").is_err() {
            return self.abort_response(id);
        }
        client.streaming = false;
        client.on_response_written(now);
        self.advance(id, now, events);
    }

    /// Ends a streamed response so that the client can tell that it is incomplete.
    pub(crate) fn abort_response(&mut self, id: ConnId) {
        self.clients.remove(&id);
    }

    /// Whether no client can be owed anything any more: it does not listen, and nobody is connected. Short of that a
    /// request may be read in part or lie unread, or a response may be overtaken by the reset of what its client sent.
    pub(crate) fn is_drained(&self) -> bool {
        !self.is_listening() && self.clients.is_empty()
    }

    /// Closes every connection that is between requests, if nothing more has arrived on it. A new one has its first
    /// request on the way.
    pub(crate) fn close_idle(&mut self, now: Micros) {
        self.clients.retain(|_, client| !(client.may_close_on_shutdown(now) && client.connection.is_quiet()));
    }

    /// Closes one connection to free its descriptor. Returns whether there was one. Those whose last response was sent
    /// go first, then those that never sent a request, then the one without progress for longest.
    pub(crate) fn evict_idle(&mut self, now: Micros) -> bool {
        let evictable = self
            .clients
            .iter()
            .filter(|(_, client)| client.is_evictable(now) && client.connection.is_quiet());
        let first = evictable
            .min_by_key(|(id, client)| (!client.write_shut_down, !client.is_new, client.last_progress, **id));
        let Some(id) = first.map(|(id, _)| *id) else { return false };
        self.clients.remove(&id);
        true
    }

    /// Gives up what has stalled, and reads from clients whose request is in flight: such a client may have
    /// disconnected together with its request, and the event loop reports nothing more of it then.
    pub(crate) fn on_tick(&mut self, now: Micros, events: &mut Vec<DownstreamEvent>) {
        let mut unread = Vec::new();
        let mut stalled = Vec::new();
        for (id, client) in &self.clients {
            let in_flight = matches!(client.state, ClientState::InFlight(_));
            if in_flight && client.connection.more_to_read() {
                unread.push(*id);
            }
            if client.has_stalled(now) {
                stalled.push(*id);
            }
        }
        for id in unread {
            self.advance(id, now, events);
        }
        for id in stalled {
            self.give_up_stalled(id, now, events);
        }
    }

    fn give_up_stalled(&mut self, id: ConnId, now: Micros, events: &mut Vec<DownstreamEvent>) {
        let Some(client) = self.clients.get(&id) else { return };
        let is_idle = client.is_idle();
        if !is_idle && client.state == ClientState::Reading {
            events.push(DownstreamEvent::BadRequest(BadRequest::TimedOut));
            self.answer_bad(id, 408, "the request did not come whole in time", now, events);
        } else if !is_idle || client.connection.is_quiet() {
            // What has just arrived on an idle connection is read first.
            self.idle_closed += u64::from(is_idle);
            self.disconnect(id, events);
        }
    }
}

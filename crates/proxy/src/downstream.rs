//! Client connections of a worker: accepts them, reads complete requests and writes responses.

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

/// Maximum number of connections that wait to be accepted. When another proxy restarts, all of its clients
/// may connect here at the same time.
pub(crate) const LISTEN_BACKLOG: i32 = 1024;
/// Capacity of a client's input buffer, in bytes: a request head and pipelined bytes that are not parsed yet.
const INPUT_RING_BYTES: usize = 32 * 1024;
/// Capacity of a client's output buffer, in bytes: a response with its head, or the parts of a streamed
/// response that a slow client has not taken yet.
const OUTPUT_RING_BYTES: usize = 2 * MAX_BODY_BYTES + 64 * 1024;
/// Number of unsent bytes above which reading of the client's streamed response is paused.
const MAX_STREAM_BACKLOG_BYTES: usize = MAX_BODY_BYTES;

/// The listening socket and its registration with the event loop.
struct Listener {
    socket: TcpListener,
    token: RegistrationToken,
}

/// The listening socket and all clients of a worker.
pub(crate) struct Downstream {
    handle: Handle,
    listener: Option<Listener>,
    clients: FxHashMap<ConnId, Client>,
    /// Whether every response closes its connection, as during shutdown.
    pub(crate) close_after_response: bool,
    /// Whether every response closes its connection because file descriptors are scarce or other clients wait
    /// for one.
    pub(crate) descriptors_scarce: bool,
    /// Whether connections may be waiting to be accepted.
    pub(crate) accept_pending: bool,
    /// Whether the connection that is accepted next has waited for want of a descriptor.
    pub(crate) accept_delayed: bool,
    /// Number of connections closed because they were idle for too long.
    pub(crate) idle_closed: u64,
}

impl Downstream {
    /// Binds to `address` and listens. `SO_REUSEADDR` is set, so that a restarted process can bind at once.
    ///
    /// # Errors
    /// The address is in use or does not belong to this host.
    pub(crate) fn listen(handle: &Handle, address: SocketAddr) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(LISTEN_BACKLOG)?;
        Downstream::with_listener(handle, socket.into())
    }

    /// Accepts clients from a socket that already listens, and that other workers may share.
    ///
    /// # Errors
    /// The socket could not be duplicated or registered with the event loop.
    pub(crate) fn with_listener(handle: &Handle, socket: TcpListener) -> io::Result<Self> {
        let source = Generic::new(socket.try_clone()?, Interest::READ, Mode::Edge);
        let on_ready = |readiness, _: &mut _, inputs: &mut TurnInputs| {
            inputs.ready_connections.push((Source::Listener, readiness));
            Ok(PostAction::Continue)
        };
        let token = handle
            .event_loop
            .insert_source(source, on_ready)
            .map_err(|error| io::Error::other(error.to_string()))?;
        Ok(Downstream {
            handle: handle.clone(),
            listener: Some(Listener { socket, token }),
            clients: FxHashMap::default(),
            close_after_response: false,
            descriptors_scarce: false,
            accept_pending: true,
            accept_delayed: false,
            idle_closed: 0,
        })
    }

    /// Returns whether the listening socket is open.
    pub(crate) fn is_listening(&self) -> bool {
        self.listener.is_some()
    }

    /// Duplicates the listening socket for another worker.
    ///
    /// # Errors
    /// The listening socket is closed, or no file descriptor is available.
    pub(crate) fn listener(&self) -> io::Result<TcpListener> {
        match &self.listener {
            Some(listener) => listener.socket.try_clone(),
            None => Err(io::Error::other("the listening socket is closed")),
        }
    }

    /// Returns the number of connected clients.
    pub(crate) fn len(&self) -> usize {
        self.clients.len()
    }

    /// Accepts one client. Returns whether another may be waiting; if none is,
    /// [`Downstream::accept_pending`] is reset.
    pub(crate) fn accept(&mut self, ids: &mut ConnIds, now: Micros) -> bool {
        let Some(listener) = &self.listener else {
            self.accept_pending = false;
            return false;
        };
        match listener.socket.accept() {
            Ok((stream, _)) => {
                let id = ids.next();
                let source = Source::Downstream(id);
                let adopted =
                    Connection::adopt(&self.handle, stream, source, INPUT_RING_BYTES, OUTPUT_RING_BYTES);
                // Fails if the client has already disconnected; the connection is dropped then.
                if let Ok(connection) = adopted {
                    self.clients.insert(id, Client::new(connection, self.accept_delayed, now));
                }
                true
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                self.accept_pending = false;
                self.accept_delayed = false;
                false
            }
            // After an aborted connection others may be waiting. Any other error, such as a lack of
            // descriptors, ends the attempt but leaves `accept_pending` set, so that accepting is retried
            // later.
            Err(error) => error.kind() == io::ErrorKind::ConnectionAborted,
        }
    }

    /// Closes the listening socket.
    pub(crate) fn stop_listening(&mut self) {
        if let Some(listener) = self.listener.take() {
            self.handle.event_loop.remove(listener.token);
        }
    }

    /// Handles readiness that the event loop reported for a connection.
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

    /// Writes and reads as much as possible without blocking, and reports the result as events.
    fn advance(&mut self, id: ConnId, now: Micros, events: &mut Vec<DownstreamEvent>) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        match client.advance(now) {
            Progress::Waiting => {}
            Progress::Request(request) => events.push(DownstreamEvent::Request(id, request)),
            Progress::OutputDrained(request) => events.push(DownstreamEvent::OutputDrained(request)),
            Progress::Malformed(error) => self.reject_malformed(id, error, now, events),
            Progress::Disconnected => self.disconnect(id, events),
        }
    }

    fn reject_malformed(
        &mut self,
        id: ConnId,
        error: MessageError,
        now: Micros,
        events: &mut Vec<DownstreamEvent>,
    ) {
        events.push(DownstreamEvent::BadRequest(BadRequest::Malformed(error)));
        self.send_error_response(id, error.status(), &error.to_string(), now, events);
    }

    fn disconnect(&mut self, id: ConnId, events: &mut Vec<DownstreamEvent>) {
        if let Some(Client { state: ClientState::InFlight(request), .. }) = self.clients.remove(&id) {
            events.push(DownstreamEvent::Disconnected(request));
        }
    }

    /// Records that the client's request is in flight. Returns whether the client is still connected.
    pub(crate) fn mark_in_flight(&mut self, id: ConnId, request: RequestId) -> bool {
        let Some(client) = self.clients.get_mut(&id) else { return false };
        client.state = ClientState::InFlight(request);
        true
    }

    /// Responds to a bad request with an error message as plain text, and closes the connection.
    pub(crate) fn send_error_response(
        &mut self,
        id: ConnId,
        status: u16,
        message: &str,
        now: Micros,
        events: &mut Vec<DownstreamEvent>,
    ) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.keep_alive = false;
        }
        let body = format!("{message}\n");
        let headers: [(&str, &[u8]); 1] = [("Content-Type", b"text/plain")];
        self.send_response(id, status, headers.into_iter(), body.as_bytes(), now, events);
    }

    /// Sends the final response to a client's request. If the client has already sent its next request, that
    /// is read in the next turn.
    pub(crate) fn send_response<'a>(
        &mut self,
        id: ConnId,
        status: u16,
        headers: impl Iterator<Item = (&'a str, &'a [u8])>,
        body: &[u8],
        now: Micros,
        events: &mut Vec<DownstreamEvent>,
    ) {
        let is_last = self.close_after_response || self.descriptors_scarce;
        let Some(client) = self.clients.get_mut(&id) else { return };
        let headers = headers.chain(client.connection_header(is_last));
        let written = write_response(&mut client.connection.output, status, headers, Some(body));
        if written.is_err() {
            // The response does not fit into the output buffer, so none of it is sent and the connection is
            // closed.
            self.clients.remove(&id);
            return;
        }
        client.on_response_written(now);
        self.advance(id, now, events);
    }

    /// Writes the head of a streamed response.
    pub(crate) fn start_response<'a>(
        &mut self,
        id: ConnId,
        headers: impl Iterator<Item = (&'a str, &'a [u8])>,
    ) {
        let is_last = self.close_after_response || self.descriptors_scarce;
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.streaming = true;
        let headers = headers.chain(client.connection_header(is_last));
        // Always fits: the output buffer is empty between responses, and the size of a head is limited.
        let _ = write_response(&mut client.connection.output, 200, headers, None);
    }

    /// Forwards a part of a streamed response as one chunk. Returns true if more than
    /// [`MAX_STREAM_BACKLOG_BYTES`] are unsent afterwards; the caller then pauses the upstream.
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

    /// Writes the last chunk of a streamed response.
    pub(crate) fn finish_response(&mut self, id: ConnId, now: Micros, events: &mut Vec<DownstreamEvent>) {
        let is_last = self.close_after_response || self.descriptors_scarce;
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.keep_alive &= !is_last;
        if client.connection.output.push(b"0\r\n\r\n").is_err() {
            return self.abort_response(id);
        }
        client.streaming = false;
        client.on_response_written(now);
        self.advance(id, now, events);
    }

    /// Closes the connection without the last chunk, which shows the client that the response is incomplete.
    pub(crate) fn abort_response(&mut self, id: ConnId) {
        self.clients.remove(&id);
    }

    /// Returns true once the listening socket is closed and no client is connected. Until then a request may
    /// be unread or only partly read, and closing a connection on which the client still sends could cause a
    /// TCP reset that overtakes the last response.
    pub(crate) fn is_drained(&self) -> bool {
        !self.is_listening() && self.clients.is_empty()
    }

    /// Closes the connections that are between requests and have no unread input. A new connection is kept
    /// for [`client::FIRST_REQUEST_TIMEOUT`], as its first request may be on the way.
    pub(crate) fn close_idle(&mut self, now: Micros) {
        self.clients.retain(|_, client| {
            !(client.may_close_on_shutdown(now) && client.connection.is_open_without_input())
        });
    }

    /// Closes one connection to free its file descriptor. Returns false if none may be closed. Connections
    /// whose last response has been sent are preferred, then those that have not sent a request yet, then the
    /// one with the longest time since its last progress.
    pub(crate) fn evict_idle(&mut self, now: Micros) -> bool {
        let evictable = self.clients.iter().filter(|(_, client)| client.is_evictable(now));
        let mut in_order: Vec<_> = evictable
            .map(|(id, client)| (!client.write_shut_down, !client.is_new, client.last_progress, *id))
            .collect();
        in_order.sort_unstable();
        // Checked last, as each check is a system call.
        let is_open_without_input = |id: &ConnId| self.clients[id].connection.is_open_without_input();
        let Some(id) = in_order.into_iter().map(|(.., id)| id).find(is_open_without_input) else {
            return false;
        };
        self.clients.remove(&id);
        true
    }

    /// Rejects the request that has been incomplete for the longest time, and closes its connection to free the file
    /// descriptor. Returns false if there is none that may be rejected. The rest of a request that a client still sends
    /// is answered by a reset, which comes after the response.
    pub(crate) fn shed_partial_request(&mut self, now: Micros, events: &mut Vec<DownstreamEvent>) -> bool {
        let sheddable = self.clients.iter().filter(|(_, client)| client.is_sheddable(now));
        let mut oldest_first: Vec<_> = sheddable.map(|(id, client)| (client.last_progress, *id)).collect();
        oldest_first.sort_unstable();
        for (_, id) in oldest_first {
            self.reject_partial_request(id, now, events);
            // A client that has not read its earlier responses keeps its connection until it does.
            let response_sent = self.clients.get(&id).is_none_or(|client| client.write_shut_down);
            if response_sent {
                self.clients.remove(&id);
                return true;
            }
        }
        false
    }

    /// Rejects the incomplete request that takes the most memory, at least `min_bytes`, and releases it. Returns false if
    /// there is none.
    pub(crate) fn shed_largest_partial_request(
        &mut self,
        min_bytes: usize,
        now: Micros,
        events: &mut Vec<DownstreamEvent>,
    ) -> bool {
        let partial = self.clients.iter().filter(|(_, client)| client.has_partial_request());
        let sizes = partial.map(|(id, client)| (client.memory_bytes(), *id));
        let Some((bytes, id)) = sizes.max() else { return false };
        if bytes < min_bytes {
            return false;
        }
        self.reject_partial_request(id, now, events);
        true
    }

    fn reject_partial_request(&mut self, id: ConnId, now: Micros, events: &mut Vec<DownstreamEvent>) {
        events.push(DownstreamEvent::BadRequest(BadRequest::Shed));
        self.send_error_response(id, 503, "the request did not come whole while others waited", now, events);
    }

    /// Returns the memory of the connection that takes the most, in bytes.
    pub(crate) fn largest_bytes(&self) -> usize {
        self.clients.values().map(Client::memory_bytes).max().unwrap_or(0)
    }

    /// Closes the connection that takes the most memory.
    pub(crate) fn close_largest(&mut self, events: &mut Vec<DownstreamEvent>) {
        let sizes = self.clients.iter().map(|(id, client)| (client.memory_bytes(), *id));
        if let Some((_, id)) = sizes.max() {
            self.disconnect(id, events);
        }
    }

    /// Releases the memory of all buffers that are empty.
    pub(crate) fn release_empty_buffers(&mut self) {
        for client in self.clients.values_mut() {
            client.connection.release_empty_buffers();
        }
    }

    /// Closes stalled connections, and reads from clients whose request is in flight. The latter detects a
    /// client that disconnected right after its request: both arrive with one edge-triggered report, and no
    /// other follows.
    pub(crate) fn on_tick(&mut self, now: Micros, events: &mut Vec<DownstreamEvent>) {
        let mut unread = Vec::new();
        let mut stalled = Vec::new();
        for (id, client) in &self.clients {
            let in_flight = matches!(client.state, ClientState::InFlight(_));
            if in_flight && client.connection.can_read_more() {
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
            self.close_stalled(id, now, events);
        }
    }

    fn close_stalled(&mut self, id: ConnId, now: Micros, events: &mut Vec<DownstreamEvent>) {
        let Some(client) = self.clients.get(&id) else { return };
        let is_idle = client.is_idle();
        if !is_idle && client.state == ClientState::Reading {
            events.push(DownstreamEvent::BadRequest(BadRequest::TimedOut));
            self.send_error_response(id, 408, "the request did not come whole in time", now, events);
        } else if !is_idle || client.connection.is_open_without_input() {
            // An idle connection with unread input is kept, so that the input is read first.
            self.idle_closed += u64::from(is_idle);
            self.disconnect(id, events);
        }
    }
}

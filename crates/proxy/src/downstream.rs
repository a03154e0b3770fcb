//! Client connections of a worker: accepts them, reads complete requests and writes responses.

mod client;
mod event;
mod eviction;
mod responses;
#[cfg(test)]
mod tests;

use std::io;
use std::net::{SocketAddr, TcpListener};

use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, Readiness, RegistrationToken};
use garnetcrank_http::MessageError;
use garnetcrank_policy::api::{Micros, RequestId};
use rustc_hash::FxHashMap;
use rustix::io::Errno;
use socket2::{Domain, Socket, Type};

use crate::connection::{Connection, PeerStatus};
use crate::readiness::{ConnId, ConnIds, Handle, Source, TurnInputs};
use crate::upstream::MAX_BODY_BYTES;
use client::{Client, ClientState, Progress};
pub(crate) use event::{BadRequest, DownstreamEvent};
pub(crate) use eviction::LargestClient;

/// Maximum number of connections that wait to be accepted. When another proxy restarts, all of its clients
/// may connect here at the same time.
pub(crate) const LISTEN_BACKLOG: i32 = 1024;
/// Capacity of a client's input buffer, in bytes: a request head and pipelined bytes that are not parsed yet.
const INPUT_RING_BYTES: usize = 32 * 1024;
/// Capacity of a client's output buffer, in bytes: a response with its head, or the parts of a streamed
/// response that a slow client has not taken yet.
const OUTPUT_RING_BYTES: usize = 2 * MAX_BODY_BYTES + 64 * 1024;

/// Result of accepting a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AcceptOutcome {
    /// A client was accepted.
    Accepted,
    /// No client is waiting.
    NoneWaiting,
    /// The system has no descriptor or memory for a client. Those that wait keep waiting.
    NoResources,
    /// The call was interrupted, or the network failed the connection of one client. Others may be waiting.
    Failed,
}

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
    /// Whether the connections that wait to be accepted have waited for a free descriptor.
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

    /// Accepts one client. If none is waiting, [`Downstream::accept_pending`] is reset.
    pub(crate) fn accept(&mut self, ids: &mut ConnIds, now: Micros) -> AcceptOutcome {
        let Some(listener) = &self.listener else {
            self.accept_pending = false;
            return AcceptOutcome::NoneWaiting;
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
                AcceptOutcome::Accepted
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                self.accept_pending = false;
                self.accept_delayed = false;
                AcceptOutcome::NoneWaiting
            }
            // `accept_pending` stays set, so that accepting is tried again later.
            Err(error) => match Errno::from_io_error(&error) {
                Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM) => {
                    AcceptOutcome::NoResources
                }
                _ => AcceptOutcome::Failed,
            },
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

    /// Returns whether a client is still connected, as the system knows it now.
    pub(crate) fn client_status(&mut self, id: ConnId) -> PeerStatus {
        match self.clients.get_mut(&id) {
            Some(client) => client.connection.peer_status(),
            None => PeerStatus::Disconnected,
        }
    }

    /// Closes a connection without reporting its request in flight. A response that has begun lacks its last chunk then,
    /// which shows the client that it is incomplete.
    pub(crate) fn close(&mut self, id: ConnId) {
        self.clients.remove(&id);
    }

    /// Closes a connection, and reports its request in flight.
    pub(crate) fn disconnect(&mut self, id: ConnId, events: &mut Vec<DownstreamEvent>) {
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

    /// Returns true once the listening socket is closed and no client is connected. Until then a request may
    /// be unread or only partly read, and closing a connection on which the client still sends could cause a
    /// TCP reset that overtakes the last response.
    pub(crate) fn is_drained(&self) -> bool {
        !self.is_listening() && self.clients.is_empty()
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

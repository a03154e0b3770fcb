//! A TCP connection registered with the event loop, with one ring buffer for each direction.

mod end_tracker;
#[cfg(test)]
mod tests;

use std::io::{self, Read};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, Readiness, RegistrationToken};
use garnetcrank_http::{InputState, Ring};
use rustix::io::Errno;
use socket2::{Domain, Socket, Type};

use crate::readiness::{Handle, Source};
use crate::turn::TurnQuota;
use end_tracker::EndTracker;

/// Size of the buffer for reading input that is dropped, in bytes.
const DISCARD_BUFFER_BYTES: usize = 16 * 1024;

/// Status of a connection's peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PeerStatus {
    /// It is connected, and all that it has sent has been read.
    Connected,
    /// It has closed its sending direction, or the connection is lost.
    Disconnected,
    /// It has sent more than the input buffer holds, or still sends. A close can't be seen before the rest has been
    /// read.
    Unknown,
}

/// Maximum number of reads to determine the status of a peer. A few fill the input buffer, unless the peer sends byte by
/// byte.
const MAX_STATUS_READS: usize = 32;

/// A TCP connection with its input and output buffers. It is registered once with the event loop,
/// edge-triggered, and unregistered when dropped.
pub(crate) struct Connection {
    stream: Rc<TcpStream>,
    handle: Handle,
    token: RegistrationToken,
    /// What the connection may still do in the current turn.
    pub(crate) turn_quota: TurnQuota,
    /// Bytes that were received and are not parsed yet.
    pub(crate) input: Ring,
    /// Bytes that are not sent yet.
    pub(crate) output: Ring,
    /// Whether there may be unread input in the socket's buffer.
    readable: bool,
    /// Whether and how the input has ended, as far as it has been read.
    end: EndTracker,
}

impl Connection {
    /// Takes over a stream that is established or being established, and registers it with the event loop.
    /// The buffers hold up to `input_bytes` and `output_bytes`.
    ///
    /// # Errors
    /// The stream could not be configured or registered.
    pub(crate) fn adopt(
        handle: &Handle,
        stream: TcpStream,
        source: Source,
        input_bytes: usize,
        output_bytes: usize,
    ) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let stream = Rc::new(stream);
        let event_source = Generic::new(Rc::clone(&stream), Interest::BOTH, Mode::Edge);
        let token = handle
            .event_loop
            .insert_source(event_source, move |readiness, _, inputs| {
                inputs.ready_connections.push((source, readiness));
                Ok(PostAction::Continue)
            })
            .map_err(|error| io::Error::other(error.to_string()))?;
        Ok(Connection {
            stream,
            handle: handle.clone(),
            token,
            turn_quota: TurnQuota::new(Rc::clone(&handle.turn), source),
            input: Ring::counted(input_bytes, &handle.memory),
            output: Ring::counted(output_bytes, &handle.memory),
            readable: false,
            end: EndTracker::new(),
        })
    }

    /// Starts to connect without blocking. [`Connection::connected`] tells whether the connection is
    /// established.
    ///
    /// # Errors
    /// The connection attempt failed immediately, or the stream could not be configured or registered.
    pub(crate) fn connect(
        handle: &Handle,
        address: SocketAddr,
        source: Source,
        input_bytes: usize,
        output_bytes: usize,
    ) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_nonblocking(true)?;
        if let Err(error) = socket.connect(&address.into())
            && Errno::from_io_error(&error) != Some(Errno::INPROGRESS)
        {
            return Err(error);
        }
        Connection::adopt(handle, socket.into(), source, input_bytes, output_bytes)
    }

    /// Records readiness that the event loop reported.
    pub(crate) fn update_readiness(&mut self, readiness: Readiness) {
        self.readable |= readiness.readable || readiness.error;
    }

    /// Makes the next read try the socket even though the event loop has not reported it as readable.
    pub(crate) fn mark_readable(&mut self) {
        self.readable = true;
    }

    /// Returns whether the connection is established.
    ///
    /// # Errors
    /// The connection could not be established.
    pub(crate) fn connected(&self) -> io::Result<bool> {
        match self.stream.take_error()? {
            Some(error) => {
                self.end.on_error(&error);
                Err(error)
            }
            None => Ok(self.stream.peer_addr().is_ok()),
        }
    }

    /// Reads at most once, up to the free space of the input buffer. Returns the state of the input after the bytes in
    /// the buffer. It does not read until the socket is empty, as a message that is complete after one read needs
    /// no second one. A connection that has used up its quota of the turn reads no more before the next one.
    pub(crate) fn fill(&mut self) -> InputState {
        if self.can_read_more() {
            self.read_once();
        }
        self.end.input()
    }

    /// Reads what has arrived, as far as the input buffer has space, and returns the status of the peer. It asks the
    /// system, which knows of a close before the event loop reports it, also if the quota of the turn is used up.
    pub(crate) fn peer_status(&mut self) -> PeerStatus {
        self.readable = true;
        for _ in 0..MAX_STATUS_READS {
            if !self.has_unread_input() {
                let has_ended = self.end.input().has_ended();
                return if has_ended { PeerStatus::Disconnected } else { PeerStatus::Connected };
            }
            if self.input.free_bytes() == 0 {
                return PeerStatus::Unknown;
            }
            self.read_once();
        }
        PeerStatus::Unknown
    }

    fn read_once(&mut self) {
        let result = self.input.fill(&mut &*self.stream);
        self.record_read(result);
    }

    /// Records the result of a read. Returns the number of bytes read.
    fn record_read(&mut self, result: io::Result<usize>) -> usize {
        match result {
            Ok(0) => self.end.on_end_of_input(),
            Ok(read) => {
                self.turn_quota.record_read(read);
                return read;
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => self.readable = false,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => self.end.on_read_error(&error),
        }
        0
    }

    /// Drops the input buffer and reads and drops further input, until at least `max` bytes have been dropped
    /// or nothing more may be read in this turn. Returns the number of dropped bytes, and whether no more
    /// input can be read.
    pub(crate) fn discard(&mut self, max: usize) -> (usize, bool) {
        let mut buffer = [0; DISCARD_BUFFER_BYTES];
        let mut dropped = self.input.len();
        self.input.consume(usize::MAX);
        while self.has_unread_input() && dropped < max && self.turn_quota.may_read() {
            let result = (&*self.stream).read(&mut buffer);
            dropped += self.record_read(result);
        }
        (dropped, self.end.input().has_ended())
    }

    /// Returns whether more input may be available that the connection may read in this turn and has space
    /// for.
    pub(crate) fn can_read_more(&self) -> bool {
        self.has_unread_input() && self.input.free_bytes() > 0 && self.turn_quota.may_read()
    }

    /// Sends as much of the output buffer as possible without blocking. Returns whether all of it was sent.
    ///
    /// # Errors
    /// The connection is lost.
    pub(crate) fn flush(&mut self) -> io::Result<bool> {
        while !self.output.is_empty() {
            match self.output.drain(&mut &*self.stream) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(false),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => {
                    self.end.on_write_error(&error);
                    return Err(error);
                }
            }
        }
        Ok(true)
    }

    /// Returns whether there may be unread input in the socket's buffer, also if it may not be read in this
    /// turn.
    pub(crate) fn has_unread_input(&self) -> bool {
        self.readable && !self.end.input().has_ended()
    }

    /// Returns whether the connection is open and has no unread input, neither in the input buffer nor in the
    /// socket's.
    pub(crate) fn is_open_without_input(&self) -> bool {
        match self.stream.peek(&mut [0]) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                !self.end.input().has_ended() && self.input.is_empty()
            }
            Err(error) if error.kind() == io::ErrorKind::Interrupted => false,
            Err(error) => {
                self.end.on_error(&error);
                false
            }
            Ok(_) => false,
        }
    }

    /// Returns the memory of both buffers, in bytes.
    pub(crate) fn buffer_bytes(&self) -> usize {
        self.input.capacity() + self.output.capacity()
    }

    /// Releases the memory of the buffers that are empty.
    pub(crate) fn release_empty_buffers(&mut self) {
        self.input.release_if_empty();
        self.output.release_if_empty();
    }

    /// Shuts down the sending direction.
    pub(crate) fn shutdown_write(&self) {
        // Errors are ignored: the shutdown only fails if the connection is already lost.
        let _ = self.stream.shutdown(std::net::Shutdown::Write);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.handle.event_loop.remove(self.token);
    }
}

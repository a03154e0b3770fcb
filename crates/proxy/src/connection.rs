//! A TCP connection registered with the event loop, with one ring buffer for each direction.

use std::io::{self, Read};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, Readiness, RegistrationToken};
use garnetcrank_http::Ring;
use rustix::io::Errno;
use socket2::{Domain, Socket, Type};

use crate::readiness::{Handle, Source};

/// Size of the buffer into which bytes are read that are dropped.
const DISCARD_BUFFER_BYTES: usize = 16 * 1024;

/// A connection and the bytes waiting in both directions. It is registered once, edge-triggered, and unregistered when
/// dropped.
pub(crate) struct Connection {
    stream: Rc<TcpStream>,
    handle: Handle,
    token: RegistrationToken,
    /// Bytes that have arrived.
    pub(crate) input: Ring,
    /// Bytes to be sent.
    pub(crate) output: Ring,
    readable: bool,
    ended: bool,
}

impl Connection {
    /// Takes over a stream that is established or being established. The rings hold up to `input_bytes` and
    /// `output_bytes`.
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
            .insert_source(event_source, move |readiness, _, inputs| {
                inputs.connections.push((source, readiness));
                Ok(PostAction::Continue)
            })
            .map_err(|error| io::Error::other(error.to_string()))?;
        Ok(Connection {
            stream,
            handle: handle.clone(),
            token,
            input: Ring::new(input_bytes),
            output: Ring::new(output_bytes),
            readable: false,
            ended: false,
        })
    }

    /// Starts to connect, without waiting.
    ///
    /// # Errors
    /// The connection could not even be started.
    pub(crate) fn connect(
        handle: &Handle,
        to: SocketAddr,
        source: Source,
        input_bytes: usize,
        output_bytes: usize,
    ) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(to), Type::STREAM, None)?;
        socket.set_nonblocking(true)?;
        if let Err(error) = socket.connect(&to.into())
            && Errno::from_io_error(&error) != Some(Errno::INPROGRESS)
        {
            return Err(error);
        }
        Connection::adopt(handle, socket.into(), source, input_bytes, output_bytes)
    }

    /// Takes in what the event loop has reported.
    pub(crate) fn update_readiness(&mut self, readiness: Readiness) {
        self.readable |= readiness.readable || readiness.error;
    }

    /// Makes the next read look for bytes that the event loop has not reported yet.
    pub(crate) fn poll_readable(&mut self) {
        self.readable = true;
    }

    /// Whether the connection is established.
    ///
    /// # Errors
    /// It never will be.
    pub(crate) fn connected(&self) -> io::Result<bool> {
        match self.stream.take_error()? {
            Some(error) => Err(error),
            None => Ok(self.stream.peer_addr().is_ok()),
        }
    }

    /// Reads once, as much as the ring has room for. Returns whether nothing more will arrive. A message that is
    /// complete after it needs no second read to learn that nothing else has arrived.
    pub(crate) fn fill(&mut self) -> bool {
        if self.readable && !self.ended && self.input.free_bytes() > 0 {
            match self.input.fill(&mut &*self.stream) {
                Ok(0) => self.ended = true,
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => self.readable = false,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => self.ended = true,
            }
        }
        self.ended
    }

    /// Reads and drops up to `max` bytes, those in the ring included. Returns how many, and whether nothing more will
    /// arrive.
    pub(crate) fn discard(&mut self, max: usize) -> (usize, bool) {
        let mut buffer = [0; DISCARD_BUFFER_BYTES];
        let mut dropped = self.input.len();
        self.input.consume(usize::MAX);
        while self.readable && !self.ended && dropped < max {
            match (&*self.stream).read(&mut buffer) {
                Ok(0) => self.ended = true,
                Ok(read) => dropped += read,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => self.readable = false,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => self.ended = true,
            }
        }
        (dropped, self.ended)
    }

    /// Whether there may be more to read, and the ring has room for it.
    pub(crate) fn more_to_read(&self) -> bool {
        self.readable && !self.ended && self.input.free_bytes() > 0
    }

    /// Sends what is waiting, as much as the peer takes. Returns whether all of it was sent.
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
                Err(error) => return Err(error),
            }
        }
        Ok(true)
    }

    /// Whether the connection is open and nothing has arrived on it that was not read.
    pub(crate) fn is_quiet(&self) -> bool {
        let peeked = self.stream.peek(&mut [0]);
        let nothing_arrived = matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock);
        nothing_arrived && !self.ended && self.input.is_empty()
    }

    /// Ends the sending direction.
    pub(crate) fn shutdown_write(&self) {
        // A peer that has disconnected does not need it.
        let _ = self.stream.shutdown(std::net::Shutdown::Write);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.handle.remove(self.token);
    }
}

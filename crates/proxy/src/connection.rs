//! A TCP connection registered with the event loop, with one ring buffer a direction.

use std::io::{self, Read};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, Readiness, RegistrationToken};
use garnetcrank_http::Ring;
use rustix::io::Errno;
use socket2::{Domain, Socket, Type};

use crate::readiness::{Handle, Source};

/// A connection and what waits on it. It is registered once, edge-triggered, and unregistered when dropped.
pub struct Connection {
    stream: Rc<TcpStream>,
    handle: Handle,
    token: RegistrationToken,
    /// Bytes that came.
    pub input: Ring,
    /// Bytes to be sent.
    pub output: Ring,
    readable: bool,
    ended: bool,
}

impl Connection {
    /// Takes over an open or connecting stream; rings hold `most_in` and `most_out` bytes at the most.
    pub fn adopt(
        handle: &Handle,
        stream: TcpStream,
        who: Source,
        most_in: usize,
        most_out: usize,
    ) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        let stream = Rc::new(stream);
        let source = Generic::new(Rc::clone(&stream), Interest::BOTH, Mode::Edge);
        let token = handle
            .insert_source(source, move |readiness, _, ready| {
                ready.connections.push((who, readiness));
                Ok(PostAction::Continue)
            })
            .map_err(|e| io::Error::other(e.to_string()))?;
        Ok(Connection {
            stream,
            handle: handle.clone(),
            token,
            input: Ring::new(most_in),
            output: Ring::new(most_out),
            readable: false,
            ended: false,
        })
    }

    /// Starts to connect, without waiting.
    pub fn connect(
        handle: &Handle,
        to: SocketAddr,
        who: Source,
        most_in: usize,
        most_out: usize,
    ) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(to), Type::STREAM, None)?;
        socket.set_nonblocking(true)?;
        match socket.connect(&to.into()) {
            Err(e) if Errno::from_io_error(&e) != Some(Errno::INPROGRESS) => return Err(e),
            _ => {}
        }
        Connection::adopt(handle, socket.into(), who, most_in, most_out)
    }

    /// Notes what the loop told.
    pub fn update_readiness(&mut self, readiness: Readiness) {
        self.readable |= readiness.readable || readiness.error;
    }

    /// Has the next read look for what came since the loop told of it last.
    pub fn poll_readable(&mut self) {
        self.readable = true;
    }

    /// Whether the connection is up; an error if it never will be.
    pub fn connected(&self) -> io::Result<bool> {
        match self.stream.take_error()? {
            Some(error) => Err(error),
            None => Ok(self.stream.peer_addr().is_ok()),
        }
    }

    /// Reads once, for as much as the ring has room. True once nothing more will come. A message that is
    /// whole after it needs no second read to learn that nothing else has come.
    pub fn fill(&mut self) -> bool {
        if self.readable && !self.ended && self.input.room() > 0 {
            match self.input.fill(&mut &*self.stream) {
                Ok(0) => self.ended = true,
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.readable = false,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => self.ended = true,
            }
        }
        self.ended
    }

    /// Reads and drops up to `most` bytes, past the ring; how many came. True beside it once nothing more will.
    pub fn discard(&mut self, most: usize) -> (usize, bool) {
        let mut block = [0; 16 * 1024];
        let mut dropped = self.input.len();
        self.input.consume(usize::MAX);
        while self.readable && !self.ended && dropped < most {
            match (&*self.stream).read(&mut block) {
                Ok(0) => self.ended = true,
                Ok(read) => dropped += read,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.readable = false,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => self.ended = true,
            }
        }
        (dropped, self.ended)
    }

    /// Whether there may be more to read, and the ring has room for it.
    pub fn more_to_read(&self) -> bool {
        self.readable && !self.ended && self.input.room() > 0
    }

    /// Writes what waits, as far as the peer takes it. True once all is written.
    pub fn flush(&mut self) -> io::Result<bool> {
        while !self.output.is_empty() {
            match self.output.drain(&mut &*self.stream) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(false),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(true)
    }

    /// Whether an idle connection is still open with nothing on it.
    pub fn is_quiet(&self) -> bool {
        let nothing = matches!(self.stream.peek(&mut [0]), Err(e) if e.kind() == io::ErrorKind::WouldBlock);
        nothing && !self.ended && self.input.is_empty()
    }

    /// Tells the peer that nothing more will be sent.
    pub fn shutdown_write(&self) {
        // A peer that is gone already needs no telling.
        let _ = self.stream.shutdown(std::net::Shutdown::Write);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.handle.remove(self.token);
    }
}

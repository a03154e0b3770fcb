//! A response that stays open and carries one event a line: connected, supervised by its heartbeats, and reconnected.

mod open_stream;
#[cfg(test)]
mod tests;

use std::io;
use std::net::SocketAddr;

use calloop::Readiness;
use fastrand::Rng;
use garnetcrank_http::write_request;
use garnetcrank_policy::api::Micros;
use tracing::{info, warn};

use crate::clock::MS;
use crate::connection::Connection;
use crate::readiness::{ConnId, ConnIds, Handle, Source};
use open_stream::OpenStream;

/// Wait before a connection that broke or was refused is made again. The wait is drawn between half of the present
/// limit and the limit, so that proxies do not reconnect in step; the limit doubles from `initial` to `max`.
///
/// A silent connection is replaced at once, as its timeout bounds the rate: a peer that comes back sends on the
/// connections that are open, and what it sends then may count from that moment on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReconnectBackoff {
    /// The first limit.
    pub(crate) initial: Micros,
    /// The highest limit.
    pub(crate) max: Micros,
}

impl ReconnectBackoff {
    /// For a peer that many proxies share and that may be overloaded. Its events are wanted within four seconds, also
    /// over a few connections that fail one after another.
    pub(crate) const REMOTE: ReconnectBackoff = ReconnectBackoff { initial: 100 * MS, max: 800 * MS };
    /// For a peer on this machine that serves this proxy alone: what it has counts as notified whether or not a
    /// connection is open.
    pub(crate) const LOCAL: ReconnectBackoff = ReconnectBackoff { initial: 20 * MS, max: 100 * MS };
}

/// How long a connection may be silent before it is dead.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WatchTimeouts {
    /// Between two bytes, once a line has arrived.
    pub(crate) silence: Micros,
    /// Without a byte, until the first line has arrived.
    pub(crate) first_byte: Micros,
}

/// Timeout of the first byte for a peer that sends its first line at once. What it sends matters soon after,
/// whether or not it arrived, so a silent connection must leave time for two more.
pub(crate) const FIRST_BYTE_TIMEOUT: Micros = 1_000 * MS;
/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Micros = 1_000 * MS;
/// Capacity of each of the connection's ring buffers, in bytes.
const RING_BYTES: usize = 64 * 1024;
/// Maximum length of a line, in bytes: a list of about 20,000 endpoints.
const MAX_LINE_BYTES: usize = 4 * 1024 * 1024;

/// A supervised stream of events from one peer.
pub(crate) struct WatchStream {
    /// Name of the peer, for log lines.
    name: &'static str,
    to: SocketAddr,
    timeouts: WatchTimeouts,
    backoff: ReconnectBackoff,
    rng: Rng,
    open: Option<OpenStream>,
    /// When the connection was begun, or bytes last arrived on it.
    last_activity: Micros,
    reconnect_at: Micros,
    /// Present limit of the backoff.
    backoff_limit: Micros,
}

/// What has arrived on a watch stream.
#[derive(Debug, Default)]
pub(crate) struct WatchEvents {
    /// Lines, heartbeats (empty lines) among them.
    pub(crate) lines: Vec<Vec<u8>>,
    /// The connection was lost or could not be made.
    pub(crate) lost: bool,
}

impl WatchEvents {
    /// The lines that are no heartbeats.
    pub(crate) fn non_empty_lines(&self) -> impl Iterator<Item = &[u8]> {
        self.lines.iter().map(Vec::as_slice).filter(|line| !line.trim_ascii().is_empty())
    }

    fn connection_failed() -> Self {
        WatchEvents { lines: Vec::new(), lost: true }
    }
}

impl WatchStream {
    /// A stream that connects at its first tick.
    pub(crate) fn new(
        name: &'static str,
        to: SocketAddr,
        timeouts: WatchTimeouts,
        backoff: ReconnectBackoff,
        seed: u64,
    ) -> Self {
        WatchStream {
            name,
            to,
            timeouts,
            backoff,
            rng: Rng::with_seed(seed),
            open: None,
            last_activity: 0,
            reconnect_at: 0,
            backoff_limit: backoff.initial,
        }
    }

    /// Whether a connection is open and has delivered a line.
    pub(crate) fn is_connected(&self) -> bool {
        self.open.as_ref().is_some_and(|open| open.has_delivered)
    }

    /// Closes the connection; the next one may be made at once. What had arrived and was not read yet counts as
    /// notified, so it is returned.
    pub(crate) fn close(&mut self, now: Micros) -> WatchEvents {
        let last_events = self.poll(now);
        self.open = None;
        self.reconnect_at = 0;
        WatchEvents { lost: false, ..last_events }
    }

    /// Moves to another address: the old connection is closed as by [`WatchStream::close`].
    pub(crate) fn retarget(&mut self, to: SocketAddr, now: Micros) -> WatchEvents {
        if self.to == to {
            return WatchEvents::default();
        }
        self.to = to;
        self.backoff_limit = self.backoff.initial;
        self.close(now)
    }

    /// Gives the connection up, for a reason that is logged.
    pub(crate) fn disconnect(&mut self, now: Micros, reason: &str) {
        if self.open.take().is_some() {
            self.schedule_reconnect(now, reason);
        }
    }

    fn schedule_reconnect(&mut self, now: Micros, reason: &str) {
        let wait = self.rng.u64(self.backoff_limit / 2..=self.backoff_limit);
        warn!(peer = %self.name, reason, retry_in_ms = wait / MS, "watch stream lost");
        self.reconnect_at = now + wait;
        self.backoff_limit = (self.backoff_limit * 2).min(self.backoff.max);
    }

    /// Connects, or gives up a silent connection, where that is due. `target` gives the path and query to ask for.
    pub(crate) fn on_tick(
        &mut self,
        handle: &Handle,
        ids: &mut ConnIds,
        source: fn(ConnId) -> Source,
        now: Micros,
        target: impl FnOnce() -> String,
    ) -> WatchEvents {
        if self.open.is_some() {
            return self.check_silence(now);
        }
        if now < self.reconnect_at {
            return WatchEvents::default();
        }
        self.last_activity = now;
        let id = ids.next();
        match self.connect(handle, source(id), &target()) {
            Ok(connection) => {
                self.open = Some(OpenStream::new(id, connection, MAX_LINE_BYTES));
                WatchEvents::default()
            }
            Err(error) => {
                self.schedule_reconnect(now, &format!("cannot connect: {error}"));
                WatchEvents::connection_failed()
            }
        }
    }

    fn connect(&self, handle: &Handle, source: Source, target: &str) -> io::Result<Connection> {
        let host = self.to.to_string();
        let mut connection = Connection::connect(handle, self.to, source, RING_BYTES, RING_BYTES)?;
        let headers = std::iter::once(("Host", host.as_bytes()));
        write_request(&mut connection.output, "GET", target, headers, b"")
            .map_err(|_| io::Error::other("a request larger than its buffer"))?;
        Ok(connection)
    }

    /// Replaces the open connection if nothing arrived on it in time.
    fn check_silence(&mut self, now: Micros) -> WatchEvents {
        let Some((timeout, reason)) = self.silence_limit() else { return WatchEvents::default() };
        if now < self.last_activity + timeout {
            return WatchEvents::default();
        }
        // This process may have been suspended for as long, and what it waits for may have arrived.
        let last_events = self.poll(now);
        if last_events.lost || now < self.last_activity + timeout {
            return last_events;
        }
        warn!(peer = %self.name, reason, "watch stream silent, reconnecting");
        self.open = None;
        self.reconnect_at = now;
        WatchEvents { lost: true, ..last_events }
    }

    /// How long the open connection may be silent, and what its silence means.
    fn silence_limit(&self) -> Option<(Micros, &'static str)> {
        let open = self.open.as_ref()?;
        Some(if !open.is_established {
            (CONNECT_TIMEOUT, "connection not established in time")
        } else if !open.has_delivered {
            (self.timeouts.first_byte, "no byte on a new connection")
        } else {
            (self.timeouts.silence, "no heartbeat")
        })
    }

    /// Reads what has arrived on connection `id`, if that is this stream's.
    pub(crate) fn on_ready(&mut self, id: ConnId, readiness: Readiness, now: Micros) -> WatchEvents {
        let Some(open) = self.open.as_mut().filter(|open| open.id == id) else {
            return WatchEvents::default();
        };
        open.connection.update_readiness(readiness);
        self.read(now)
    }

    /// Reads what has arrived and the event loop has not reported yet.
    fn poll(&mut self, now: Micros) -> WatchEvents {
        if let Some(open) = &mut self.open {
            open.connection.poll_readable();
        }
        self.read(now)
    }

    fn read(&mut self, now: Micros) -> WatchEvents {
        let Some(open) = &mut self.open else { return WatchEvents::default() };
        let mut lines = Vec::new();
        let read = open.read_lines(&mut lines);
        if read.any_bytes {
            // An incomplete line is a heartbeat, too.
            self.last_activity = now;
        }
        if !lines.is_empty() {
            self.backoff_limit = self.backoff.initial;
            if !open.has_delivered {
                open.has_delivered = true;
                info!(peer = %self.name, "watch stream connected");
            }
        }
        if let Some(end) = &read.end {
            self.disconnect(now, &end.to_string());
        }
        WatchEvents { lines, lost: read.end.is_some() }
    }
}

//! Watch streams: long-lived HTTP responses with one event per line. A stream is supervised by its heartbeats and
//! reconnected when it fails.

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

/// Exponential backoff before the reconnect after a connection failed or was refused. The delay is drawn at random
/// between half of the current limit and the limit, so that proxies do not reconnect in step. The limit doubles from
/// `initial` to `max`.
///
/// A silent connection is replaced without backoff, since its timeout already bounds the rate. A peer that recovers
/// sends on the connections that are open at that moment, and its updates may count as delivered from then on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReconnectBackoff {
    /// Initial limit of the delay.
    pub(crate) initial: Micros,
    /// Maximum limit of the delay.
    pub(crate) max: Micros,
}

impl ReconnectBackoff {
    /// Backoff for a peer that many proxies share and that may be overloaded. Its events must arrive within 4 s, even
    /// if a few consecutive connections fail.
    pub(crate) const REMOTE: ReconnectBackoff = ReconnectBackoff { initial: 100 * MS, max: 800 * MS };
    /// Backoff for a peer on this host that serves only this proxy. Its updates count as delivered whether or not a
    /// connection is open.
    pub(crate) const LOCAL: ReconnectBackoff = ReconnectBackoff { initial: 20 * MS, max: 100 * MS };
}

/// Periods of silence after which a connection counts as dead.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WatchTimeouts {
    /// Maximum silence after the first line.
    pub(crate) silence: Micros,
    /// Maximum silence before the first line.
    pub(crate) first_byte: Micros,
}

/// Timeout of the first byte for a peer that sends its first line immediately. The line counts as delivered shortly
/// after, even if it was lost, so a silent connection must leave time for two more.
pub(crate) const FIRST_BYTE_TIMEOUT: Micros = 1_000 * MS;
/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Micros = 1_000 * MS;
/// Capacity of each of the connection's two ring buffers, in bytes.
const RING_BYTES: usize = 64 * 1024;
/// Maximum length of a line, in bytes; enough for a list of about 20,000 endpoints.
const MAX_LINE_BYTES: usize = 4 * 1024 * 1024;
/// Maximum number of reads on a connection that is closed, each of the quota of a turn. Together they take more than a
/// line of the maximum length.
const MAX_FINAL_READS: usize = 64;

/// Supervised stream of events from one peer.
pub(crate) struct WatchStream {
    /// Name of the peer, for log lines.
    name: &'static str,
    address: SocketAddr,
    timeouts: WatchTimeouts,
    backoff: ReconnectBackoff,
    rng: Rng,
    open: Option<OpenStream>,
    /// Time at which the connection was started or bytes last arrived on it.
    last_activity: Micros,
    reconnect_at: Micros,
    /// Current limit of the backoff.
    backoff_limit: Micros,
}

/// Lines received on a watch stream, and whether it was lost.
#[derive(Debug, Default)]
pub(crate) struct WatchEvents {
    /// Lines in order of arrival, including heartbeats (empty lines).
    pub(crate) lines: Vec<Vec<u8>>,
    /// Whether the connection was lost or could not be established.
    pub(crate) lost: bool,
}

impl WatchEvents {
    /// Returns the lines that are not heartbeats.
    pub(crate) fn non_empty_lines(&self) -> impl Iterator<Item = &[u8]> {
        self.lines.iter().map(Vec::as_slice).filter(|line| !line.trim_ascii().is_empty())
    }

    fn connection_failed() -> Self {
        WatchEvents { lines: Vec::new(), lost: true }
    }
}

impl WatchStream {
    /// Creates a stream that connects at its first tick.
    pub(crate) fn new(
        name: &'static str,
        address: SocketAddr,
        timeouts: WatchTimeouts,
        backoff: ReconnectBackoff,
        seed: u64,
    ) -> Self {
        WatchStream {
            name,
            address,
            timeouts,
            backoff,
            rng: Rng::with_seed(seed),
            open: None,
            last_activity: 0,
            reconnect_at: 0,
            backoff_limit: backoff.initial,
        }
    }

    /// Returns whether a connection is open and a line has arrived on it.
    pub(crate) fn is_connected(&self) -> bool {
        self.open.as_ref().is_some_and(|open| open.line_received)
    }

    /// Closes the connection and allows an immediate reconnect. Returns the lines that have arrived and were not read
    /// yet, since they count as delivered.
    pub(crate) fn close(&mut self, now: Micros) -> WatchEvents {
        let mut lines = Vec::new();
        for _ in 0..MAX_FINAL_READS {
            lines.append(&mut self.poll(now).lines);
            let Some(open) = &mut self.open else { break };
            if !open.connection.has_unread_input() {
                break;
            }
            open.connection.turn_quota.renew();
        }
        self.open = None;
        self.reconnect_at = 0;
        WatchEvents { lines, lost: false }
    }

    /// Changes the peer's address. The old connection is closed as by [`WatchStream::close`].
    pub(crate) fn retarget(&mut self, address: SocketAddr, now: Micros) -> WatchEvents {
        if self.address == address {
            return WatchEvents::default();
        }
        self.address = address;
        self.backoff_limit = self.backoff.initial;
        self.close(now)
    }

    /// Drops the connection, logs the reason and schedules a reconnect.
    pub(crate) fn disconnect(&mut self, now: Micros, reason: &str) {
        if self.open.take().is_some() {
            self.schedule_reconnect(now, reason);
        }
    }

    fn schedule_reconnect(&mut self, now: Micros, reason: &str) {
        let delay = self.rng.u64(self.backoff_limit / 2..=self.backoff_limit);
        warn!(peer = %self.name, reason, retry_in_ms = delay / MS, "watch stream lost");
        self.reconnect_at = now + delay;
        self.backoff_limit = (self.backoff_limit * 2).min(self.backoff.max);
    }

    /// Starts a connection if one is due, or drops a silent one. `target` returns the path and query of the request.
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
        let host = self.address.to_string();
        let mut connection = Connection::connect(handle, self.address, source, RING_BYTES, RING_BYTES)?;
        let headers = std::iter::once(("Host", host.as_bytes()));
        write_request(&mut connection.output, "GET", target, headers, b"")
            .map_err(|_| io::Error::other("request exceeds the connection's output buffer"))?;
        Ok(connection)
    }

    /// Drops the open connection if it has been silent for too long. The next tick reconnects.
    fn check_silence(&mut self, now: Micros) -> WatchEvents {
        let Some((timeout, reason)) = self.silence_limit() else { return WatchEvents::default() };
        if now < self.last_activity + timeout {
            return WatchEvents::default();
        }
        // This process may have been suspended, and bytes that arrived meanwhile may still be unread.
        let final_events = self.poll(now);
        if final_events.lost || now < self.last_activity + timeout {
            return final_events;
        }
        warn!(peer = %self.name, reason, "watch stream silent, reconnecting");
        self.open = None;
        self.reconnect_at = now;
        WatchEvents { lost: true, ..final_events }
    }

    /// Returns the silence timeout of the open connection and the reason to log when it expires.
    fn silence_limit(&self) -> Option<(Micros, &'static str)> {
        let open = self.open.as_ref()?;
        Some(if !open.is_established {
            (CONNECT_TIMEOUT, "connection not established in time")
        } else if !open.line_received {
            (self.timeouts.first_byte, "no byte on a new connection")
        } else {
            (self.timeouts.silence, "no heartbeat")
        })
    }

    /// Handles readiness of connection `id`, if it belongs to this stream.
    pub(crate) fn on_ready(&mut self, id: ConnId, readiness: Readiness, now: Micros) -> WatchEvents {
        let Some(open) = self.open.as_mut().filter(|open| open.id == id) else {
            return WatchEvents::default();
        };
        open.connection.update_readiness(readiness);
        self.read(now)
    }

    /// Reads bytes that have arrived but were not reported by the event loop yet.
    fn poll(&mut self, now: Micros) -> WatchEvents {
        if let Some(open) = &mut self.open {
            open.connection.mark_readable();
        }
        self.read(now)
    }

    fn read(&mut self, now: Micros) -> WatchEvents {
        let Some(open) = &mut self.open else { return WatchEvents::default() };
        let mut lines = Vec::new();
        let read = open.read_lines(&mut lines);
        if read.any_bytes {
            // An incomplete line shows that the peer is alive, too.
            self.last_activity = now;
        }
        if !lines.is_empty() {
            self.backoff_limit = self.backoff.initial;
            if !open.line_received {
                open.line_received = true;
                info!(peer = %self.name, "watch stream connected");
            }
        }
        if let Some(end) = &read.end {
            self.disconnect(now, &end.to_string());
        }
        WatchEvents { lines, lost: read.end.is_some() }
    }
}

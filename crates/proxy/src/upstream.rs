//! Connections to endpoints: made, kept for reuse, and the outcome of what was sent on them.

mod event;
mod exchange;
mod outcome;
mod pool;
mod start;
#[cfg(test)]
mod tests;

use std::collections::BTreeSet;

use calloop::Readiness;
use garnetcrank_policy::api::{Build, EndpointId, Micros, Outcome, RequestId};
use garnetcrank_settings::Transport;
use rustc_hash::FxHashMap;

use crate::discovery::EndpointAddress;
use crate::http_exchange::ExchangeProgress;
use crate::readiness::ConnId;
pub(crate) use event::{UpstreamEvent, UpstreamRequest};
use exchange::{Advance, CompletedResponse, Purpose, STREAM_SILENCE_TIMEOUT, UpstreamConnection};
use outcome::{load_report, response_outcome};
use pool::ConnectionPool;

/// Maximum size of a message's body, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 64 * 1024;
/// One attempt of a client's request.
type AttemptKey = (RequestId, usize);

/// All connections of a worker to endpoints.
pub(crate) struct Upstream {
    transport: Transport,
    pool: ConnectionPool,
    attempts: FxHashMap<AttemptKey, ConnId>,
    /// When exchanges are checked: one entry for each under way.
    deadlines: BTreeSet<(Micros, ConnId)>,
    /// Connections opened.
    pub(crate) opened: u64,
    /// Exchanges on reused connections.
    pub(crate) reused: u64,
}

impl Upstream {
    /// No connections yet.
    pub(crate) fn new(transport: Transport) -> Self {
        Upstream {
            pool: ConnectionPool::new(transport.idle_timeout),
            transport,
            attempts: FxHashMap::default(),
            deadlines: BTreeSet::new(),
            opened: 0,
            reused: 0,
        }
    }

    /// Number of connections that are open or being made.
    pub(crate) fn len(&self) -> usize {
        self.pool.len()
    }

    /// An update of where an endpoint listens. Idle connections to another process than that are closed. What is under
    /// way goes on, unless its connection is not established: that was decided on what is no longer true.
    pub(crate) fn update_address(
        &mut self,
        update: &EndpointAddress,
        now: Micros,
        events: &mut Vec<UpstreamEvent>,
    ) {
        let changed = self.pool.update_address(update);
        if changed || update.draining {
            self.recall_pending(now, events, |connection| connection.endpoint == update.endpoint);
        }
    }

    /// Takes back the attempts at a build whose exposure has been lowered, where no byte has been sent.
    pub(crate) fn recall_build(&mut self, build: Build, now: Micros, events: &mut Vec<UpstreamEvent>) {
        let endpoints = self.pool.endpoints_of_build(build);
        self.recall_pending(now, events, |connection| endpoints.contains(&connection.endpoint));
    }

    /// Takes back attempts whose connection is not established yet: they would be sent whenever it is, to an endpoint
    /// that takes nothing new by then, or to another process than the one chosen. The policy decides them anew.
    fn recall_pending(
        &mut self,
        now: Micros,
        events: &mut Vec<UpstreamEvent>,
        is_affected: impl Fn(&UpstreamConnection) -> bool,
    ) {
        let mut recalled: Vec<ConnId> = self
            .pool
            .iter()
            .filter(|(_, connection)| connection.awaits_connection() && is_affected(connection))
            .map(|(id, _)| *id)
            .collect();
        // In the order in which they were decided.
        recalled.sort_unstable();
        for id in recalled {
            self.end(id, Outcome::NotSent, None, now, events);
        }
    }

    /// Whether an exchange with this endpoint needs no new connection.
    pub(crate) fn has_idle(&self, endpoint: EndpointId, now: Micros) -> bool {
        self.pool.has_idle(endpoint, now)
    }

    /// Reads what the event loop has reported on a connection.
    pub(crate) fn on_ready(
        &mut self,
        id: ConnId,
        readiness: Readiness,
        now: Micros,
        events: &mut Vec<UpstreamEvent>,
    ) {
        if let Some(connection) = self.pool.get_mut(id) {
            connection.connection.update_readiness(readiness);
            self.resume(id, now, events);
        }
    }

    /// Writes what is left of a request, and reads what has arrived.
    fn resume(&mut self, id: ConnId, now: Micros, events: &mut Vec<UpstreamEvent>) {
        loop {
            let Some(connection) = self.pool.get_mut(id) else { return };
            if connection.paused {
                return;
            }
            if connection.active.is_none() {
                // Nothing was asked on an idle connection, so whatever arrives on it ends it.
                if !connection.connection.is_quiet() {
                    self.pool.remove(id);
                }
                return;
            }
            match connection.advance(now, events) {
                Advance::Again => {}
                Advance::Wait => return,
                Advance::Progress(progress) => return self.on_progress(id, progress, now, events),
            }
        }
    }

    fn on_progress(
        &mut self,
        id: ConnId,
        progress: ExchangeProgress,
        now: Micros,
        events: &mut Vec<UpstreamEvent>,
    ) {
        match progress {
            ExchangeProgress::Pending => {}
            ExchangeProgress::NeverSent => self.end(id, Outcome::ConnectFailed, None, now, events),
            ExchangeProgress::ConnectionLost => self.end(id, Outcome::ConnectionLost, None, now, events),
            ExchangeProgress::Response { response, reusable } => {
                let outcome = response_outcome(&response);
                self.end(id, outcome, Some(CompletedResponse { response, reusable }), now, events);
            }
        }
    }

    /// Ends an exchange; its connection is kept if it may be used again.
    fn end(
        &mut self,
        id: ConnId,
        outcome: Outcome,
        completed: Option<CompletedResponse>,
        now: Micros,
        events: &mut Vec<UpstreamEvent>,
    ) {
        let Some(mut connection) = self.pool.take(id) else { return };
        let Some(active) = connection.active.take() else { return };
        self.deadlines.remove(&(active.check_at, id));
        let latency = now.saturating_sub(active.started_at);
        let reusable = completed.as_ref().is_some_and(|completed| completed.reusable);
        let response = completed.map(|completed| completed.response);
        let columns = &self.transport.report_columns;
        let load_report = match &response {
            Some(response) => load_report(response, active.purpose, columns),
            None => Vec::new(),
        };
        events.push(match active.purpose {
            Purpose::Attempt { id, attempt, .. } => {
                self.attempts.remove(&(id, attempt));
                let is_answer = outcome == Outcome::Success && !active.is_streaming;
                let response = response.filter(|_| is_answer);
                UpstreamEvent::AttemptCompleted { id, attempt, outcome, latency, load_report, response }
            }
            Purpose::HealthCheck => UpstreamEvent::HealthCheckCompleted {
                endpoint: connection.endpoint,
                outcome,
                latency,
                load_report,
            },
        });
        if reusable {
            self.pool.keep_idle(id, connection, now);
        }
    }

    /// When the first exchange must be checked.
    pub(crate) fn next_deadline(&self) -> Option<Micros> {
        self.deadlines.first().map(|(at, _)| *at)
    }

    /// Ends the exchanges whose time, or whose time to connect, is over.
    pub(crate) fn expire_attempts(&mut self, now: Micros, events: &mut Vec<UpstreamEvent>) {
        while self.next_deadline().is_some_and(|at| at <= now) {
            let Some((check_at, id)) = self.deadlines.pop_first() else { return };
            self.read_before_expiry(id, now, events);
            let Some(connection) = self.pool.get_mut(id) else { continue };
            let paused = connection.paused;
            let Some(active) = connection.active.as_mut().filter(|active| active.check_at == check_at) else {
                continue;
            };
            if active.is_streaming && paused {
                // It is the client that is slow.
                active.deadline = now + STREAM_SILENCE_TIMEOUT;
            }
            match active.expiry(now) {
                Some(outcome) => self.end(id, outcome, None, now, events),
                None => {
                    active.check_at = active.deadline;
                    self.deadlines.insert((active.check_at, id));
                }
            }
        }
    }

    /// A response that has arrived is in time, even if the event loop has not reported it yet.
    fn read_before_expiry(&mut self, id: ConnId, now: Micros, events: &mut Vec<UpstreamEvent>) {
        let Some(connection) = self.pool.get_mut(id) else { return };
        if connection.request_sent() {
            connection.connection.poll_readable();
            self.resume(id, now, events);
        }
    }

    /// Cancels an attempt; one whose response is being streamed goes on.
    pub(crate) fn cancel(
        &mut self,
        id: RequestId,
        attempt: usize,
        now: Micros,
        events: &mut Vec<UpstreamEvent>,
    ) {
        let Some(&connection_id) = self.attempts.get(&(id, attempt)) else { return };
        let is_streaming = self.pool.get(connection_id).is_some_and(UpstreamConnection::is_streaming);
        if !is_streaming {
            self.end(connection_id, Outcome::Cancelled, None, now, events);
        }
    }

    /// Ends a streamed response whose client has gone.
    pub(crate) fn abort(
        &mut self,
        id: RequestId,
        attempt: usize,
        now: Micros,
        events: &mut Vec<UpstreamEvent>,
    ) {
        if let Some(&connection_id) = self.attempts.get(&(id, attempt)) {
            self.end(connection_id, Outcome::Cancelled, None, now, events);
        }
    }

    /// Stops reading a streamed response, or resumes it: its client takes it no faster.
    pub(crate) fn pause(
        &mut self,
        id: RequestId,
        attempt: usize,
        paused: bool,
        now: Micros,
        events: &mut Vec<UpstreamEvent>,
    ) {
        let Some(&connection_id) = self.attempts.get(&(id, attempt)) else { return };
        if let Some(connection) = self.pool.get_mut(connection_id) {
            connection.paused = paused;
            self.resume(connection_id, now, events);
        }
    }

    /// Closes idle connections to an endpoint.
    pub(crate) fn close_idle(&mut self, endpoint: EndpointId) {
        self.pool.close_idle(endpoint);
    }

    /// Closes the connection that has been idle for longest. Returns whether there was one.
    pub(crate) fn evict_idle(&mut self) -> bool {
        self.pool.evict_idle()
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn on_tick(&mut self, now: Micros) {
        self.pool.close_expired(now);
    }
}

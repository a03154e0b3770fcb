//! Connections to endpoints: establishes them, keeps them for reuse and reports the outcomes of attempts.

mod event;
mod exchange;
mod limits;
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
pub(crate) use event::{CutOffReason, UpstreamEvent, UpstreamRequest};
use exchange::{Advance, CompletedResponse, Purpose, UpstreamConnection};
use outcome::{load_report, response_outcome};
use pool::ConnectionPool;

/// Maximum size of a message body, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 64 * 1024;

/// An attempt of a client's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct AttemptKey {
    /// The client's request.
    pub(crate) request: RequestId,
    /// Number of the attempt, counted from 0.
    pub(crate) attempt: usize,
}

/// All connections of a worker to endpoints, and the exchanges in progress on them.
pub(crate) struct Upstream {
    transport: Transport,
    pool: ConnectionPool,
    attempts: FxHashMap<AttemptKey, ConnId>,
    /// Times at which exchanges are next checked, with one entry for each exchange in progress.
    deadlines: BTreeSet<(Micros, ConnId)>,
    /// Number of connections opened.
    pub(crate) opened: u64,
    /// Number of exchanges on reused connections.
    pub(crate) reused: u64,
}

impl Upstream {
    /// Creates an [`Upstream`] without connections.
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

    /// Returns the number of connections that are open or being established.
    pub(crate) fn len(&self) -> usize {
        self.pool.len()
    }

    /// Updates the address and build of an endpoint. Idle connections to an earlier address or process are
    /// closed. Exchanges in progress continue, except those whose connection is not established if the
    /// address or process has changed or the endpoint is draining. These end as not sent, as the endpoint was
    /// chosen from outdated information.
    pub(crate) fn update_address(
        &mut self,
        update: &EndpointAddress,
        now: Micros,
        events: &mut Vec<UpstreamEvent>,
    ) {
        let changed = self.pool.update_address(update);
        if changed || update.draining {
            self.end_unsent_exchanges(now, events, |connection| connection.endpoint == update.endpoint);
        }
    }

    /// Ends as not sent the attempts at a build whose connection is not established yet. It is called when
    /// the exposure of the build has been lowered.
    pub(crate) fn end_unsent_attempts_of_build(
        &mut self,
        build: Build,
        now: Micros,
        events: &mut Vec<UpstreamEvent>,
    ) {
        let endpoints = self.pool.endpoints_of_build(build);
        self.end_unsent_exchanges(now, events, |connection| endpoints.contains(&connection.endpoint));
    }

    /// Ends as not sent the affected exchanges whose connection is not established yet, so that the policy
    /// decides again. Otherwise they would be sent once connected, to an endpoint that accepts no new
    /// requests by then or to another process than the chosen one.
    fn end_unsent_exchanges(
        &mut self,
        now: Micros,
        events: &mut Vec<UpstreamEvent>,
        is_affected: impl Fn(&UpstreamConnection) -> bool,
    ) {
        let mut unsent: Vec<ConnId> = self
            .pool
            .iter()
            .filter(|(_, connection)| connection.awaits_connection() && is_affected(connection))
            .map(|(id, _)| *id)
            .collect();
        // Connection ids ascend, so this is the order in which the attempts were started.
        unsent.sort_unstable();
        for id in unsent {
            self.finish(id, Outcome::NotSent, None, now, events);
        }
    }

    /// Returns whether an idle connection to the endpoint can be used for an exchange.
    pub(crate) fn has_idle(&self, endpoint: EndpointId, now: Micros) -> bool {
        self.pool.has_idle(endpoint, now)
    }

    /// Handles readiness that the event loop reported for a connection.
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

    /// Writes the rest of a request and reads its response, as far as possible without blocking.
    fn resume(&mut self, id: ConnId, now: Micros, events: &mut Vec<UpstreamEvent>) {
        loop {
            let Some(connection) = self.pool.get_mut(id) else { return };
            if connection.paused {
                return;
            }
            if connection.active.is_none() {
                // No request is open on an idle connection, so any input or the end of the connection closes
                // it.
                if !connection.connection.is_open_without_input() {
                    self.pool.remove(id);
                }
                return;
            }
            match connection.advance(now, events) {
                Advance::ReadMore => {}
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
            ExchangeProgress::NeverSent => self.finish(id, Outcome::ConnectFailed, None, now, events),
            ExchangeProgress::ConnectionLost(error) => {
                self.report_cut_off(id, error.into(), events);
                self.finish(id, Outcome::ConnectionLost, None, now, events);
            }
            ExchangeProgress::Response { response, reusable } => {
                let outcome = response_outcome(&response);
                self.finish(id, outcome, Some(CompletedResponse { response, reusable }), now, events);
            }
        }
    }

    /// Reports why a response is cut off, if it is being streamed.
    fn report_cut_off(&self, id: ConnId, reason: CutOffReason, events: &mut Vec<UpstreamEvent>) {
        let Some(connection) = self.pool.get(id) else { return };
        if connection.is_streaming() {
            events.push(UpstreamEvent::StreamCutOff { endpoint: connection.endpoint, reason });
        }
    }

    /// Ends an exchange and reports its outcome. The connection is kept idle if it can be reused, else
    /// closed.
    fn finish(
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
                self.attempts.remove(&AttemptKey { request: id, attempt });
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

    /// Returns the attempt on a connection, if its request has not been sent completely.
    pub(crate) fn unsent_attempt(&self, id: ConnId) -> Option<AttemptKey> {
        let active = self.pool.get(id)?.active.as_ref()?;
        match active.purpose {
            Purpose::Attempt { id, attempt, .. } if !active.exchange.request_sent() => {
                Some(AttemptKey { request: id, attempt })
            }
            _ => None,
        }
    }

    /// Cancels an attempt, unless its response is already being streamed. One whose request has not been sent
    /// completely ends as not sent: the endpoint can't have started it.
    pub(crate) fn cancel(
        &mut self,
        id: RequestId,
        attempt: usize,
        now: Micros,
        events: &mut Vec<UpstreamEvent>,
    ) {
        let Some(&connection_id) = self.attempts.get(&AttemptKey { request: id, attempt }) else { return };
        let Some(connection) = self.pool.get(connection_id) else { return };
        if connection.is_streaming() {
            return;
        }
        let outcome = if connection.request_sent() { Outcome::Cancelled } else { Outcome::NotSent };
        self.finish(connection_id, outcome, None, now, events);
    }

    /// Cancels an attempt whose client has disconnected, even if its response is being streamed.
    pub(crate) fn abort_stream(
        &mut self,
        id: RequestId,
        attempt: usize,
        now: Micros,
        events: &mut Vec<UpstreamEvent>,
    ) {
        if let Some(&connection_id) = self.attempts.get(&AttemptKey { request: id, attempt }) {
            self.finish(connection_id, Outcome::Cancelled, None, now, events);
        }
    }

    /// Pauses or resumes reading of a streamed response, to match the rate at which its client reads.
    pub(crate) fn set_paused(
        &mut self,
        id: RequestId,
        attempt: usize,
        paused: bool,
        now: Micros,
        events: &mut Vec<UpstreamEvent>,
    ) {
        let Some(&connection_id) = self.attempts.get(&AttemptKey { request: id, attempt }) else { return };
        if let Some(connection) = self.pool.get_mut(connection_id) {
            connection.paused = paused;
            if let Some(active) = connection.active.as_mut().filter(|active| active.is_streaming) {
                active.restart_idle_limit(now);
            }
            self.resume(connection_id, now, events);
        }
    }

    /// Closes all idle connections to an endpoint.
    pub(crate) fn close_idle(&mut self, endpoint: EndpointId) {
        self.pool.close_idle(endpoint);
    }

    /// Closes the connection that has been idle longest. Returns false if none is idle.
    pub(crate) fn evict_idle(&mut self) -> bool {
        self.pool.evict_idle()
    }

    /// Closes connections that have exceeded their maximum idle time.
    pub(crate) fn on_tick(&mut self, now: Micros) {
        self.pool.close_expired(now);
    }
}

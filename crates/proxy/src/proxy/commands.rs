//! Executes the dispatcher's commands, each on the worker that owns the connection.

use std::sync::Arc;

use garnetcrank_http::{Headers, Response};
use garnetcrank_policy::api::{EndpointId, Event, Micros, Outcome};
use garnetcrank_vote_router::Vote;
use tracing::info;

use super::{Proxy, TimerTask};
use crate::dispatcher::{Command, ForwardAttempt};
use crate::readiness::ConnId;
use crate::upstream::UpstreamRequest;
use crate::worker_id::WorkerId;
use crate::workers::WorkerMessage;

/// Response header with an endpoint's load report, which the proxy does not forward to clients.
const LOAD_REPORT_HEADER: &str = "server-load";
/// Microseconds per second.
const MICROS_PER_SECOND: f64 = 1e6;

impl Proxy {
    /// Executes a command, or posts it to the worker that owns the connection.
    pub(super) fn dispatch_command(&mut self, command: Command, now: Micros) {
        if self.shared.worker_count() == 1 {
            self.execute(command, now);
            return;
        }
        if let Command::CloseIdle(endpoint) = command {
            for other in self.shared.others(self.worker) {
                self.shared.post(other, [WorkerMessage::Command(Command::CloseIdle(endpoint))]);
            }
        }
        let owner = self.command_owner(&command);
        if owner == self.worker {
            self.execute(command, now);
        } else {
            self.shared.post(owner, [WorkerMessage::Command(command)]);
        }
    }

    fn command_owner(&self, command: &Command) -> WorkerId {
        match command {
            Command::Forward(ForwardAttempt { id, .. }) | Command::Cancel { id, .. } => {
                self.shared.owner(*id)
            }
            Command::Respond { client, .. }
            | Command::Reject { client, .. }
            | Command::Fail { client }
            | Command::DeadlineExceeded { client }
            | Command::StartResponse { client, .. }
            | Command::FinishResponse { client }
            | Command::AbortResponse { client } => client.worker(),
            Command::CloseIdle(_) | Command::Log(_) => self.worker,
            Command::SetTimer { .. }
            | Command::HealthCheck(_)
            | Command::WatchEndpoints(_)
            | Command::PollEndpoints
            | Command::CastVote { .. } => WorkerId::FIRST,
        }
    }

    /// Executes a command on this worker.
    pub(super) fn execute(&mut self, command: Command, now: Micros) {
        match command {
            Command::Forward(forward) => self.start_attempt(&forward, now),
            Command::Cancel { id, attempt } => {
                self.upstream.cancel(id, attempt, now, &mut self.upstream_events);
            }
            Command::Respond { client, response } => self.forward_response(client, &response, now),
            Command::Reject { client, retry_after } => self.reject(client, retry_after, now),
            Command::Fail { client } => {
                self.counters.failed += 1;
                self.respond_without_body(client, 502, now);
            }
            Command::DeadlineExceeded { client } => {
                self.counters.deadline_exceeded += 1;
                self.respond_without_body(client, 504, now);
            }
            Command::StartResponse { client, headers } => {
                self.downstream.start_response(client, forwarded_headers(&headers));
            }
            Command::FinishResponse { client } => {
                self.counters.responses_forwarded += 1;
                self.downstream.finish_response(client, now, &mut self.downstream_events);
            }
            Command::AbortResponse { client } => {
                self.counters.failed += 1;
                self.downstream.close(client);
            }
            Command::SetTimer { at, token } => self.timers.set(at, TimerTask::Policy(token)),
            Command::HealthCheck(endpoint) => self.start_health_check(endpoint, now),
            Command::CloseIdle(endpoint) => self.upstream.close_idle(endpoint),
            Command::WatchEndpoints(watch) => self.watch_endpoints(watch, now),
            Command::PollEndpoints => self.poll_endpoints(now),
            Command::CastVote { build, stage, verdict } => {
                self.route_vote(Vote { build, stage, verdict }, now)
            }
            Command::Log(line) => info!("{line}"),
        }
        self.enforce_memory_budget(now);
    }

    fn forward_response(&mut self, client: ConnId, response: &Response, now: Micros) {
        self.counters.responses_forwarded += 1;
        let headers = forwarded_headers(&response.headers);
        self.downstream.send_response(client, 200, headers, &response.body, now, &mut self.downstream_events);
    }

    fn reject(&mut self, client: ConnId, retry_after: Option<Micros>, now: Micros) {
        self.counters.rejected += 1;
        let seconds = retry_after.map(|micros| format!("{:.3}", micros as f64 / MICROS_PER_SECOND));
        let headers = seconds.as_ref().map(|seconds| ("Retry-After", seconds.as_bytes()));
        self.downstream.send_response(
            client,
            503,
            headers.into_iter(),
            b"",
            now,
            &mut self.downstream_events,
        );
    }

    /// Responds with a status code and no body.
    pub(super) fn respond_without_body(&mut self, client: ConnId, status: u16, now: Micros) {
        let no_headers = std::iter::empty();
        self.downstream.send_response(client, status, no_headers, b"", now, &mut self.downstream_events);
    }

    /// Sends a request to its endpoint, unless its client has disconnected, the decision is outdated or no
    /// connection is available. An attempt that was not started is reported to the policy.
    fn start_attempt(&mut self, forward: &ForwardAttempt, now: Micros) {
        let ForwardAttempt { id, attempt, endpoint, deadline, stamp } = *forward;
        // The client may have disconnected since the decision.
        self.end_request_without_client(id, now);
        let request = self.shared.dispatcher().get(id).map(|r| (Arc::clone(&r.message), r.class));
        let Some((message, class)) = request else {
            self.shared.dispatcher().on_attempt_not_started(id, attempt, Outcome::NotSent);
            return;
        };
        if !self.shared.is_decision_current(stamp, now) {
            self.counters.decisions_repeated += 1;
            self.shared.dispatcher().on_attempt_not_started(id, attempt, Outcome::NotSent);
            return;
        }
        let started = if self.ensure_upstream_connection(endpoint, now) {
            let streamed = self.settings.config.classes[class.0].streamed;
            let request = UpstreamRequest { id, attempt, endpoint, request: &message, deadline, streamed };
            let events = &mut self.upstream_events;
            self.upstream.start_attempt(&self.handle, &mut self.conn_ids, now, &request, events)
        } else {
            self.counters.no_descriptor += 1;
            Err(Outcome::NotSent)
        };
        if let Err(outcome) = started {
            self.counters.record_outcome(outcome);
            self.shared.dispatcher().on_attempt_not_started(id, attempt, outcome);
        }
    }

    fn start_health_check(&mut self, endpoint: EndpointId, now: Micros) {
        self.counters.health_checks += 1;
        let started = if self.ensure_upstream_connection(endpoint, now) {
            let events = &mut self.upstream_events;
            self.upstream.start_health_check(&self.handle, &mut self.conn_ids, now, endpoint, events)
        } else {
            Err(Outcome::NotSent)
        };
        if let Err(outcome) = started {
            let load_report = Vec::new();
            let completed = Event::HealthCheckCompleted { endpoint, outcome, latency: 0, load_report };
            self.shared.dispatcher().queue_event(completed);
        }
    }
}

/// Returns the headers of an endpoint's response that are forwarded to the client.
fn forwarded_headers(headers: &Headers) -> impl Iterator<Item = (&str, &[u8])> {
    headers.end_to_end().filter(|(name, _)| !name.eq_ignore_ascii_case(LOAD_REPORT_HEADER))
}

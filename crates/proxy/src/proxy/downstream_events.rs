//! Processes events of client connections: requests, bad requests and disconnects.

use garnetcrank_http::{MessageError, Request};
use garnetcrank_policy::api::{Micros, RequestId};
use tracing::warn;

use super::Proxy;
use crate::classify::{Classification, classify};
use crate::downstream::{BadRequest, DownstreamEvent};
use crate::lifecycle::LifecycleStage;
use crate::readiness::ConnId;

/// Path of the proxy's own health check.
const HEALTH_PATH: &str = "/healthz";

/// Decision on whether a request is passed to the policy.
enum Admission {
    /// It was passed on, with this id.
    Accepted(RequestId),
    /// Another request that is open or may have run has the same `Request-Id`.
    DuplicateRequestId,
    /// Too many requests are in flight, or they take too much memory.
    OverLimit,
}

impl Proxy {
    /// Processes all queued events.
    pub(super) fn process_downstream_events(&mut self, now: Micros) {
        for event in std::mem::take(&mut self.downstream_events) {
            self.on_downstream_event(event, now);
        }
    }

    fn on_downstream_event(&mut self, event: DownstreamEvent, now: Micros) {
        match event {
            DownstreamEvent::Request(client, message) => self.on_request(client, message, now),
            DownstreamEvent::BadRequest(bad_request) => self.on_bad_request(bad_request, now),
            DownstreamEvent::Disconnected(id) => self.on_client_disconnected(id, now),
            DownstreamEvent::OutputDrained(id) => {
                let streaming = self.shared.dispatcher().get(id).and_then(|r| r.streaming_attempt);
                if let Some(attempt) = streaming {
                    self.upstream.set_paused(id, attempt, false, now, &mut self.upstream_events);
                }
            }
        }
    }

    pub(super) fn on_client_disconnected(&mut self, id: RequestId, now: Micros) {
        self.counters.clients_disconnected += 1;
        let streaming = self.shared.dispatcher().on_disconnect(id);
        if let Some(attempt) = streaming {
            self.upstream.abort_stream(id, attempt, now, &mut self.upstream_events);
        }
    }

    fn on_request(&mut self, client: ConnId, message: Request, now: Micros) {
        if message.target == HEALTH_PATH {
            self.respond_to_health_check(client, now);
            return;
        }
        let classification = match classify(&self.settings, &message) {
            Ok(classification) => classification,
            Err(error) => {
                let events = &mut self.downstream_events;
                self.downstream.send_error_response(client, error.status(), &error.to_string(), now, events);
                self.on_bad_request(BadRequest::Unclassified(error), now);
                return;
            }
        };
        match self.admit(client, message, classification, now) {
            Admission::Accepted(id) => {
                if !self.downstream.mark_in_flight(client, id) {
                    self.on_client_disconnected(id, now);
                }
            }
            Admission::DuplicateRequestId => {
                let reason = "a request of this Request-Id is still open or may have run";
                self.downstream.send_error_response(client, 409, reason, now, &mut self.downstream_events);
                self.on_bad_request(BadRequest::DuplicateRequestId, now);
            }
            Admission::OverLimit => {
                self.counters.over_limit += 1;
                self.respond_without_body(client, 503, now);
            }
        }
    }

    /// Passes a request to the dispatcher if its `Request-Id` is unused and the budgets allow it.
    fn admit(
        &mut self,
        client: ConnId,
        message: Request,
        classification: Classification,
        now: Micros,
    ) -> Admission {
        // The lock is held until the request is in flight: two workers must not both find its Request-Id
        // unused or both take the last free place.
        let mut dispatcher = self.shared.dispatcher();
        if dispatcher.is_duplicate(&message, now) {
            return Admission::DuplicateRequestId;
        }
        let in_flight_bytes = dispatcher.in_flight_bytes() + message.memory.bytes();
        let too_many_requests = dispatcher.in_flight_count_on(self.worker) >= self.budgets.in_flight_requests;
        if too_many_requests || in_flight_bytes > self.budgets.in_flight_bytes {
            return Admission::OverLimit;
        }
        self.counters.requests += 1;
        let id = dispatcher.on_request(client, message, classification, now);
        self.shared.drain_dispatcher(&mut dispatcher, now, &mut self.commands);
        Admission::Accepted(id)
    }

    fn respond_to_health_check(&mut self, client: ConnId, now: Micros) {
        let (status, body) = match self.lifecycle_stage(now) {
            LifecycleStage::Serving => (200, "serving\n"),
            _ => (503, "not serving\n"),
        };
        let events = &mut self.downstream_events;
        self.downstream.send_response(client, status, std::iter::empty(), body.as_bytes(), now, events);
    }

    fn on_bad_request(&mut self, bad_request: BadRequest, now: Micros) {
        self.count_bad_request(bad_request);
        if self.bad_request_lines.may_log(now) {
            warn!(total = self.counters.bad_requests, last = %bad_request, "bad requests");
        }
    }

    fn count_bad_request(&mut self, bad_request: BadRequest) {
        self.counters.bad_requests += 1;
        match bad_request {
            BadRequest::Malformed(MessageError::Truncated) => self.counters.bad_requests_truncated += 1,
            BadRequest::Malformed(MessageError::BodyTooLarge | MessageError::HeadTooLarge) => {
                self.counters.bad_requests_too_large += 1;
            }
            BadRequest::Malformed(_) => {}
            BadRequest::TimedOut => self.counters.bad_requests_timed_out += 1,
            BadRequest::Shed => self.counters.partial_requests_shed += 1,
            BadRequest::Unclassified(_) => self.counters.bad_requests_unclassified += 1,
            BadRequest::DuplicateRequestId => self.counters.bad_requests_duplicate_id += 1,
        }
    }
}

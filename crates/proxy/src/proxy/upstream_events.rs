//! Processes events of connections to endpoints: responses, body parts and health checks.

use garnetcrank_http::Headers;
use garnetcrank_policy::api::{AttemptResult, EndpointId, Event, Micros, RequestId};
use tracing::warn;

use super::Proxy;
use crate::upstream::{CutOffReason, UpstreamEvent};

impl Proxy {
    /// Processes all queued events.
    pub(super) fn process_upstream_events(&mut self, now: Micros) {
        for event in std::mem::take(&mut self.upstream_events) {
            self.on_upstream_event(event, now);
        }
    }

    fn on_upstream_event(&mut self, event: UpstreamEvent, now: Micros) {
        match event {
            UpstreamEvent::ResponseStarted { id, attempt, headers } => {
                self.on_response_started(id, attempt, headers, now);
            }
            UpstreamEvent::BodyPart { id, bytes } => self.forward_body_part(id, &bytes, now),
            UpstreamEvent::StreamCutOff { endpoint, reason } => self.on_stream_cut_off(endpoint, reason, now),
            UpstreamEvent::AttemptCompleted { id, attempt, outcome, latency, load_report, response } => {
                self.counters.record_outcome(outcome);
                let result =
                    AttemptResult { id, attempt, outcome, latency, request_finished: false, load_report };
                let mut dispatcher = self.shared.dispatcher();
                dispatcher.on_attempt_completed(result, response, &mut self.commands);
                self.shared.drain_dispatcher(&mut dispatcher, now, &mut self.commands);
            }
            UpstreamEvent::HealthCheckCompleted { endpoint, outcome, latency, load_report } => {
                self.shared.dispatcher().queue_event(Event::HealthCheckCompleted {
                    endpoint,
                    outcome,
                    latency,
                    load_report,
                });
            }
        }
    }

    fn on_stream_cut_off(&mut self, endpoint: EndpointId, reason: CutOffReason, now: Micros) {
        self.counters.streams_cut_off += 1;
        if self.cut_off_lines.may_log(now) {
            let total = self.counters.streams_cut_off;
            warn!(total, endpoint = endpoint.0, %reason, "streamed response cut off");
        }
    }

    fn on_response_started(&mut self, id: RequestId, attempt: usize, headers: Headers, now: Micros) {
        let accepted = self.shared.dispatcher().on_response_started(id, attempt, headers, &mut self.commands);
        if !accepted {
            self.upstream.abort_stream(id, attempt, now, &mut self.upstream_events);
        }
        // The head must be sent before the first part of the body.
        for command in std::mem::take(&mut self.commands) {
            self.dispatch_command(command, now);
        }
    }

    /// Forwards a part of a streamed body, and pauses the stream if the client reads more slowly than it
    /// arrives.
    fn forward_body_part(&mut self, id: RequestId, bytes: &[u8], now: Micros) {
        let stream = self.shared.dispatcher().get(id).map(|r| (r.client, r.streaming_attempt));
        let Some((client, Some(attempt))) = stream else { return };
        let client_is_behind =
            self.downstream.send_body_part(client, bytes, now, &mut self.downstream_events);
        if client_is_behind {
            self.upstream.set_paused(id, attempt, true, now, &mut self.upstream_events);
        }
    }
}

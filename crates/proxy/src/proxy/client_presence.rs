//! Makes sure that a client still waits for its response before an attempt begins: no attempt may begin for a client that
//! has disconnected.

use std::sync::Arc;

use garnetcrank_http::Request;
use garnetcrank_policy::api::{Micros, RequestId};
use tracing::warn;

use super::Proxy;
use crate::connection::PeerStatus;
use crate::readiness::ConnId;

/// Maximum length of a `Request-Id` in the log, in characters.
const MAX_LOGGED_ID_CHARS: usize = 64;

impl Proxy {
    /// Ends a request of which an attempt is about to begin, if its client has disconnected or may have without this
    /// being visible. Afterwards, the dispatcher has the request in flight only if the attempt may begin.
    pub(super) fn end_request_without_client(&mut self, id: RequestId, now: Micros) {
        let Some(client) = self.shared.dispatcher().get(id).map(|request| request.client) else { return };
        match self.downstream.client_status(client) {
            PeerStatus::Connected => {}
            PeerStatus::Disconnected => {
                self.log_withheld_attempt(id, "the client has disconnected", now);
                self.downstream.close(client);
                self.on_client_disconnected(id, now);
            }
            PeerStatus::Unknown => {
                self.log_withheld_attempt(id, "a disconnect would not show behind unread input", now);
                self.end_request_behind_unread_input(id, client, now);
            }
        }
    }

    /// Ends a request behind which its client has sent more than the proxy holds. The rest can be read once the request
    /// has its response.
    fn end_request_behind_unread_input(&mut self, id: RequestId, client: ConnId, now: Micros) {
        let may_have_run = {
            let mut dispatcher = self.shared.dispatcher();
            let may_have_run = dispatcher.may_have_run_before(id);
            dispatcher.on_disconnect(id);
            may_have_run
        };
        let status = if may_have_run { 502 } else { 503 };
        self.respond_without_body(client, status, now);
    }

    /// Cancels the attempt on a connection to an endpoint if its request has not been sent completely and its client
    /// no longer waits for the response.
    pub(super) fn cancel_unsent_without_client(&mut self, connection: ConnId, now: Micros) {
        let Some(key) = self.upstream.unsent_attempt(connection) else { return };
        self.end_request_without_client(key.request, now);
        if self.shared.dispatcher().get(key.request).is_none() {
            self.upstream.cancel(key.request, key.attempt, now, &mut self.upstream_events);
        }
    }

    fn log_withheld_attempt(&mut self, id: RequestId, reason: &str, now: Micros) {
        self.counters.attempts_withheld += 1;
        if self.withheld_attempt_lines.may_log(now) {
            let total = self.counters.attempts_withheld;
            let message = self.shared.dispatcher().get(id).map(|request| Arc::clone(&request.message));
            let request_id = message.as_deref().map(logged_request_id);
            warn!(total, request_id, reason, "attempt withheld");
        }
    }
}

/// Returns the start of a request's `Request-Id`, with control characters escaped.
fn logged_request_id(request: &Request) -> String {
    let id = request.headers.values("request-id").next().unwrap_or_default();
    String::from_utf8_lossy(id)
        .trim()
        .chars()
        .take(MAX_LOGGED_ID_CHARS)
        .flat_map(char::escape_default)
        .collect()
}

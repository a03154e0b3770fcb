//! One connection to an endpoint and the exchange in progress on it.

use garnetcrank_http::{Headers, Response};
use garnetcrank_policy::api::{EndpointId, Micros, Outcome, RequestId};

use super::event::UpstreamEvent;
use crate::clock::{MS, SECOND};
use crate::connection::Connection;
use crate::http_exchange::{ExchangeProgress, HttpExchange};

/// Time after a response before the connection is reused. An endpoint may send a second response to the same
/// request some milliseconds later, which would be taken for the response to the next request, usually of
/// another client.
pub(super) const REUSE_DELAY: Micros = 10 * MS;
/// Time without a byte received after which a streamed response counts as lost.
pub(super) const STREAM_IDLE_TIMEOUT: Micros = 60 * SECOND;

/// Purpose of an exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Purpose {
    /// An attempt of a client's request.
    Attempt { id: RequestId, attempt: usize, streamed: bool },
    /// A health check.
    HealthCheck,
}

/// An exchange in progress.
pub(super) struct ActiveExchange {
    pub(super) purpose: Purpose,
    pub(super) exchange: HttpExchange,
    pub(super) started_at: Micros,
    /// Deadline for establishing the connection.
    pub(super) connect_deadline: Micros,
    /// Time of the next check, which is also the key of the exchange in `Upstream::deadlines`.
    pub(super) check_at: Micros,
    /// Time at which the exchange times out.
    pub(super) deadline: Micros,
    /// Whether the response is being streamed to the client.
    pub(super) is_streaming: bool,
}

/// A connection to an endpoint.
pub(super) struct UpstreamConnection {
    pub(super) connection: Connection,
    pub(super) endpoint: EndpointId,
    /// Generation of the endpoint's process to which the connection was made.
    pub(super) generation: u64,
    pub(super) active: Option<ActiveExchange>,
    pub(super) idle_since: Micros,
    /// Whether reading of a streamed response is paused because its client reads slowly.
    pub(super) paused: bool,
}

/// Result of advancing an exchange.
pub(super) enum Advance {
    /// Nothing more can be read before the event loop reports readiness.
    Wait,
    /// More input may be available.
    ReadMore,
    /// Progress of the exchange. Any value except `Pending` ends the exchange.
    Progress(ExchangeProgress),
}

impl ActiveExchange {
    /// Returns the outcome if the deadline or the connect deadline has passed at `now`, else `None`.
    pub(super) fn expired_outcome(&self, now: Micros) -> Option<Outcome> {
        if !self.exchange.connected() && now >= self.connect_deadline {
            return Some(Outcome::ConnectFailed);
        }
        if now < self.deadline {
            return None;
        }
        Some(if self.is_streaming {
            Outcome::ConnectionLost
        } else if self.exchange.request_sent() {
            Outcome::TimedOut
        } else {
            // The request was not sent completely, so the endpoint cannot have started it.
            Outcome::NotSent
        })
    }

    /// Lets the idle limit of a streamed response begin at `now`. The entry in `Upstream::deadlines` is not moved; the new
    /// deadline is applied when that entry is due.
    pub(super) fn restart_idle_limit(&mut self, now: Micros) {
        self.deadline = now + STREAM_IDLE_TIMEOUT;
    }

    /// Returns the headers of a successful response that has just started.
    fn started_headers(&mut self) -> Option<Headers> {
        if self.is_streaming {
            return None;
        }
        let response = self.exchange.reader().partial_response()?;
        (response.status == 200).then(|| response.headers.clone())
    }

    /// Takes the bytes of the body that have arrived.
    fn take_body(&mut self, progress: &mut ExchangeProgress) -> Vec<u8> {
        match progress {
            ExchangeProgress::Response { response, .. } => std::mem::take(&mut response.body),
            _ => self.exchange.reader().take_body(),
        }
    }
}

impl UpstreamConnection {
    /// Returns whether [`REUSE_DELAY`] has passed since the last response.
    pub(super) fn is_reusable(&self, now: Micros) -> bool {
        now >= self.idle_since + REUSE_DELAY
    }

    /// Returns whether an exchange waits for the connection to be established.
    pub(super) fn awaits_connection(&self) -> bool {
        self.active.as_ref().is_some_and(|active| !active.exchange.connected())
    }

    /// Returns whether the request of the current exchange has been sent completely.
    pub(super) fn request_sent(&self) -> bool {
        self.active.as_ref().is_some_and(|active| active.exchange.request_sent())
    }

    /// Returns the memory that the connection takes, in bytes.
    pub(super) fn memory_bytes(&self) -> usize {
        let response_bytes = self.active.as_ref().map_or(0, |active| active.exchange.response_bytes());
        self.connection.buffer_bytes() + response_bytes
    }

    /// Returns whether the response is being streamed to the client.
    pub(super) fn is_streaming(&self) -> bool {
        self.active.as_ref().is_some_and(|active| active.is_streaming)
    }

    /// Writes the rest of the request and reads its response, as far as possible without blocking. The head
    /// and the parts of a streamed response are added to `events`.
    pub(super) fn advance(&mut self, now: Micros, events: &mut Vec<UpstreamEvent>) -> Advance {
        let Some(active) = &mut self.active else { return Advance::Wait };
        let mut progress = active.exchange.advance(&mut self.connection);
        let Purpose::Attempt { id, attempt, streamed: true } = active.purpose else {
            return Advance::Progress(progress);
        };
        if let Some(headers) = active.started_headers() {
            events.push(UpstreamEvent::ResponseStarted { id, attempt, headers });
            active.is_streaming = true;
            active.restart_idle_limit(now);
        }
        if !active.is_streaming {
            return Advance::Progress(progress);
        }
        let bytes = active.take_body(&mut progress);
        let has_bytes = !bytes.is_empty();
        if has_bytes {
            active.restart_idle_limit(now);
            events.push(UpstreamEvent::BodyPart { id, bytes });
        }
        if !matches!(progress, ExchangeProgress::Pending) {
            return Advance::Progress(progress);
        }
        let input_exhausted = self.connection.input.is_empty() && !self.connection.can_read_more();
        if !has_bytes || input_exhausted { Advance::Wait } else { Advance::ReadMore }
    }
}

/// A complete response, which ends an exchange.
pub(super) struct CompletedResponse {
    pub(super) response: Response,
    /// Whether another request may be sent on the connection.
    pub(super) reusable: bool,
}

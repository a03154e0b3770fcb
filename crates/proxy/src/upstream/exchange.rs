//! One connection to an endpoint, and the exchange under way on it.

use garnetcrank_http::{Headers, Response};
use garnetcrank_policy::api::{EndpointId, Micros, Outcome, RequestId};

use super::event::UpstreamEvent;
use crate::clock::{MS, SECOND};
use crate::connection::Connection;
use crate::http_exchange::{ExchangeProgress, HttpExchange};

/// Rest of a connection after a response. A second response to the same request may come some milliseconds late, and
/// the next request, another client's, would take it for its own.
pub(super) const REST_AFTER_RESPONSE: Micros = 10 * MS;
/// Time without a byte after which a streamed response is dead.
pub(super) const STREAM_SILENCE_TIMEOUT: Micros = 60 * SECOND;

/// What an exchange is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Purpose {
    /// An attempt of a client's request.
    Attempt { id: RequestId, attempt: usize, streamed: bool },
    /// A health check.
    HealthCheck,
}

/// An exchange under way.
pub(super) struct ActiveExchange {
    pub(super) purpose: Purpose,
    pub(super) exchange: HttpExchange,
    pub(super) started_at: Micros,
    /// When the connection must be established.
    pub(super) connect_deadline: Micros,
    /// When the exchange is next checked: its entry among the deadlines.
    pub(super) check_at: Micros,
    /// When it times out.
    pub(super) deadline: Micros,
    /// The response is being streamed to the client.
    pub(super) is_streaming: bool,
}

/// A connection to an endpoint.
pub(super) struct UpstreamConnection {
    pub(super) connection: Connection,
    pub(super) endpoint: EndpointId,
    /// Of the endpoint's process that the connection was made to.
    pub(super) generation: u64,
    pub(super) active: Option<ActiveExchange>,
    pub(super) idle_since: Micros,
    /// A streamed response is not read on: its client takes it no faster.
    pub(super) paused: bool,
}

/// How a step of an exchange went.
pub(super) enum Advance {
    /// Nothing more can be read now.
    Wait,
    /// There may be more to read.
    Again,
    /// The exchange came so far; anything but `Pending` is its end.
    Progress(ExchangeProgress),
}

impl ActiveExchange {
    /// What the exchange comes to at `now` if its time, or the time to connect, is over; none: it goes on.
    pub(super) fn expiry(&self, now: Micros) -> Option<Outcome> {
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
            // The request's last byte was not written, so the endpoint never starts it.
            Outcome::NotSent
        })
    }

    /// Headers of a successful response that has just started.
    fn started_headers(&mut self) -> Option<Headers> {
        if self.is_streaming {
            return None;
        }
        let response = self.exchange.reader().partial_response()?;
        (response.status == 200).then(|| response.headers.clone())
    }

    /// Takes the part of the body that has arrived.
    fn take_body(&mut self, progress: &mut ExchangeProgress) -> Vec<u8> {
        match progress {
            ExchangeProgress::Response { response, .. } => std::mem::take(&mut response.body),
            _ => self.exchange.reader().take_body(),
        }
    }
}

impl UpstreamConnection {
    /// Whether anything that belongs to the last response must have arrived.
    pub(super) fn is_rested(&self, now: Micros) -> bool {
        now >= self.idle_since + REST_AFTER_RESPONSE
    }

    /// Whether an exchange waits for the connection to be established.
    pub(super) fn awaits_connection(&self) -> bool {
        self.active.as_ref().is_some_and(|active| !active.exchange.connected())
    }

    /// Whether a request has been sent completely.
    pub(super) fn request_sent(&self) -> bool {
        self.active.as_ref().is_some_and(|active| active.exchange.request_sent())
    }

    /// Whether a response is being streamed to the client.
    pub(super) fn is_streaming(&self) -> bool {
        self.active.as_ref().is_some_and(|active| active.is_streaming)
    }

    /// Writes what is left of the request and reads what has arrived. Parts of a streamed response become events.
    pub(super) fn advance(&mut self, now: Micros, events: &mut Vec<UpstreamEvent>) -> Advance {
        let Some(active) = &mut self.active else { return Advance::Wait };
        let mut progress = active.exchange.step(&mut self.connection);
        let Purpose::Attempt { id, attempt, streamed: true } = active.purpose else {
            return Advance::Progress(progress);
        };
        if let Some(headers) = active.started_headers() {
            events.push(UpstreamEvent::ResponseStarted { id, attempt, headers });
            active.is_streaming = true;
        }
        if !active.is_streaming {
            return Advance::Progress(progress);
        }
        let bytes = active.take_body(&mut progress);
        let has_bytes = !bytes.is_empty();
        // Its entry among the deadlines stays; the new deadline is seen when that is due.
        active.deadline = now + STREAM_SILENCE_TIMEOUT;
        if has_bytes {
            events.push(UpstreamEvent::BodyPart { id, bytes });
        }
        if !matches!(progress, ExchangeProgress::Pending) {
            return Advance::Progress(progress);
        }
        let nothing_left = self.connection.input.is_empty() && !self.connection.more_to_read();
        if !has_bytes || nothing_left { Advance::Wait } else { Advance::Again }
    }
}

/// A response that ended an exchange.
pub(super) struct CompletedResponse {
    pub(super) response: Response,
    /// Another request may be sent on the connection.
    pub(super) reusable: bool,
}

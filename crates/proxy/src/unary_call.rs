//! A call to discovery, the release controller or the agent: one connection, one request, one response.

use std::io;
use std::net::SocketAddr;

use calloop::Readiness;
use garnetcrank_http::{Response, ResponseReader, write_request};
use garnetcrank_policy::api::Micros;

use crate::connection::Connection;
use crate::http_exchange::{ExchangeProgress, HttpExchange};
use crate::readiness::{ConnId, Handle, Source};

/// Capacity of each of the connection's ring buffers, in bytes.
const RING_BYTES: usize = 32 * 1024;

/// A call under way.
pub(crate) struct UnaryCall {
    /// Id of its connection.
    pub(crate) id: ConnId,
    connection: Connection,
    exchange: HttpExchange,
    deadline: Micros,
}

/// How a call ended.
#[derive(Debug)]
pub(crate) enum CallOutcome {
    /// A response arrived.
    Response(Response),
    /// The request was not sent completely, so it had no effect.
    NeverSent,
    /// No response arrived; the request may have had its effect.
    Unknown,
}

/// The request of a call.
pub(crate) struct CallRequest<'a> {
    /// The peer.
    pub(crate) to: SocketAddr,
    /// HTTP method.
    pub(crate) method: &'a str,
    /// Path and query.
    pub(crate) target: &'a str,
    /// Body, in JSON.
    pub(crate) body: &'a [u8],
    /// Maximum size of the response body, in bytes.
    pub(crate) max_response_bytes: usize,
    /// When the call is given up.
    pub(crate) deadline: Micros,
}

impl UnaryCall {
    /// Connects and queues the request.
    ///
    /// # Errors
    /// The connection could not be started, or the request is larger than its buffer.
    pub(crate) fn start(
        handle: &Handle,
        id: ConnId,
        source: Source,
        request: CallRequest<'_>,
    ) -> io::Result<Self> {
        let mut connection = Connection::connect(handle, request.to, source, RING_BYTES, RING_BYTES)?;
        let host = request.to.to_string();
        let headers: [(&str, &[u8]); 3] = [
            ("Host", host.as_bytes()),
            ("Content-Type", b"application/json"),
            // A connection of its own: the peer may close an idle one at the same moment, which would leave open
            // whether the call had its effect.
            ("Connection", b"close"),
        ];
        write_request(
            &mut connection.output,
            request.method,
            request.target,
            headers.into_iter(),
            request.body,
        )
        .map_err(|_| io::Error::other("a call larger than its buffer"))?;
        let exchange = HttpExchange::connecting(ResponseReader::buffered(request.max_response_bytes));
        Ok(UnaryCall { id, connection, exchange, deadline: request.deadline })
    }

    /// Sends and reads what is possible. Returns the outcome once the call has ended.
    pub(crate) fn on_ready(&mut self, readiness: Readiness) -> Option<CallOutcome> {
        self.connection.update_readiness(readiness);
        match self.exchange.step(&mut self.connection) {
            ExchangeProgress::Pending => None,
            ExchangeProgress::Response { response, .. } => Some(CallOutcome::Response(response)),
            ExchangeProgress::NeverSent => Some(CallOutcome::NeverSent),
            ExchangeProgress::ConnectionLost => Some(CallOutcome::Unknown),
        }
    }

    /// Returns the outcome if the deadline has passed.
    pub(crate) fn check_timeout(&self, now: Micros) -> Option<CallOutcome> {
        if now < self.deadline {
            return None;
        }
        Some(if self.exchange.request_sent() { CallOutcome::Unknown } else { CallOutcome::NeverSent })
    }
}

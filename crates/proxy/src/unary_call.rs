//! Unary calls to discovery, the release controller or the agent. Each call uses its own connection for one request and
//! one response.

use std::io;
use std::net::SocketAddr;

use calloop::Readiness;
use garnetcrank_http::{Response, ResponseReader, write_request};
use garnetcrank_policy::api::Micros;

use crate::connection::Connection;
use crate::http_exchange::{ExchangeProgress, HttpExchange};
use crate::readiness::{ConnId, Handle, Source};

/// Capacity of each of the connection's two ring buffers, in bytes.
const RING_BYTES: usize = 32 * 1024;

/// Pending call.
pub(crate) struct UnaryCall {
    /// Id of the call's connection.
    pub(crate) id: ConnId,
    connection: Connection,
    exchange: HttpExchange,
    deadline: Micros,
}

/// Outcome of a call.
#[derive(Debug)]
pub(crate) enum CallOutcome {
    /// A response arrived.
    Response(Response),
    /// The request was not sent completely, so it has had no effect.
    NeverSent,
    /// No response arrived, and the request may have taken effect.
    Unknown,
}

/// Request of a call.
pub(crate) struct CallRequest<'a> {
    /// Address of the peer.
    pub(crate) address: SocketAddr,
    /// HTTP method of the request.
    pub(crate) method: &'a str,
    /// Path and query of the request.
    pub(crate) target: &'a str,
    /// Body of the request, as JSON; may be empty.
    pub(crate) body: &'a [u8],
    /// Maximum size of the response body, in bytes.
    pub(crate) max_response_bytes: usize,
    /// Time at which the call is aborted.
    pub(crate) deadline: Micros,
}

impl UnaryCall {
    /// Connects and queues the request.
    ///
    /// # Errors
    /// Fails if the connection cannot be started or the request exceeds the output buffer.
    pub(crate) fn start(
        handle: &Handle,
        id: ConnId,
        source: Source,
        request: CallRequest<'_>,
    ) -> io::Result<Self> {
        let mut connection = Connection::connect(handle, request.address, source, RING_BYTES, RING_BYTES)?;
        let host = request.address.to_string();
        let headers: [(&str, &[u8]); 3] = [
            ("Host", host.as_bytes()),
            ("Content-Type", b"application/json"),
            // Connections are not reused. The peer could close an idle connection just as a call starts on it, and it
            // would then be unknown whether the call took effect.
            ("Connection", b"close"),
        ];
        write_request(
            &mut connection.output,
            request.method,
            request.target,
            headers.into_iter(),
            request.body,
        )
        .map_err(|_| io::Error::other("request exceeds the connection's output buffer"))?;
        let exchange = HttpExchange::connecting(ResponseReader::buffered(request.max_response_bytes));
        Ok(UnaryCall { id, connection, exchange, deadline: request.deadline })
    }

    /// Sends and reads as far as the connection allows. Returns the outcome once the call has ended.
    pub(crate) fn on_ready(&mut self, readiness: Readiness) -> Option<CallOutcome> {
        self.connection.update_readiness(readiness);
        match self.exchange.advance(&mut self.connection) {
            ExchangeProgress::Pending => None,
            ExchangeProgress::Response { response, .. } => Some(CallOutcome::Response(response)),
            ExchangeProgress::NeverSent => Some(CallOutcome::NeverSent),
            ExchangeProgress::ConnectionLost(_) => Some(CallOutcome::Unknown),
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

//! A call of ours to discovery or the platform: one connection, one request, one answer.

use std::io;
use std::net::SocketAddr;

use calloop::Readiness;
use garnetcrank_http::{Response, ResponseReader, write_request};
use garnetcrank_policy::api::Micros;

use crate::connection::Connection;
use crate::http_exchange::{ExchangeProgress, HttpExchange};
use crate::readiness::{ConnId, Handle, Source};

/// Room for what such a call sends and for what waits to be read of its answer.
const RING_MOST: usize = 32 * 1024;

/// A call under way.
pub struct UnaryCall {
    /// Number of its connection.
    pub id: ConnId,
    conn: Connection,
    exchange: HttpExchange,
    deadline: Micros,
}

/// How a call ended.
#[derive(Debug)]
pub enum CallOutcome {
    /// With an answer.
    Response(Response),
    /// Without having been sent whole.
    NeverSent,
    /// Unknown: it may have been carried out.
    Unknown,
}

/// Where a call goes and what it says.
pub struct CallRequest<'a> {
    /// The other side.
    pub to: SocketAddr,
    /// Method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Body, in JSON.
    pub body: &'a [u8],
    /// Longest body of the answer.
    pub max_response_bytes: usize,
    /// When it is given up.
    pub deadline: Micros,
}

impl UnaryCall {
    /// Starts a call.
    pub fn start(handle: &Handle, id: ConnId, who: Source, ask: CallRequest<'_>) -> io::Result<Self> {
        let mut conn = Connection::connect(handle, ask.to, who, RING_MOST, RING_MOST)?;
        let host = ask.to.to_string();
        let lines: [(&str, &[u8]); 3] = [
            ("Host", host.as_bytes()),
            ("Content-Type", b"application/json"),
            // Its own connection each time: a kept one may be closed by the other side at the same moment,
            // which would leave in doubt whether the call was carried out.
            ("Connection", b"close"),
        ];
        write_request(&mut conn.output, ask.method, ask.target, lines.into_iter(), ask.body)
            .map_err(|_| io::Error::other("a call larger than its buffer"))?;
        let exchange = HttpExchange::connecting(ResponseReader::whole(ask.max_response_bytes));
        Ok(UnaryCall { id, conn, exchange, deadline: ask.deadline })
    }

    /// Goes on; its end, if it has come.
    pub fn on_ready(&mut self, readiness: Readiness) -> Option<CallOutcome> {
        self.conn.update_readiness(readiness);
        match self.exchange.step(&mut self.conn) {
            ExchangeProgress::Pending => None,
            ExchangeProgress::Response { response, .. } => Some(CallOutcome::Response(response)),
            ExchangeProgress::NeverSent => Some(CallOutcome::NeverSent),
            ExchangeProgress::ConnectionLost => Some(CallOutcome::Unknown),
        }
    }

    /// Its end for want of time, if that has come.
    pub fn check_timeout(&self, now: Micros) -> Option<CallOutcome> {
        let end = || if self.exchange.request_sent() { CallOutcome::Unknown } else { CallOutcome::NeverSent };
        (now >= self.deadline).then(end)
    }
}

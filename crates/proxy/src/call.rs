//! A call of ours to discovery or the platform: one connection, one request, one answer.

use std::io;
use std::net::SocketAddr;

use calloop::Readiness;
use garnetcrank_http::{Response, ResponseReader, write_request};
use garnetcrank_policy::api::Micros;

use crate::conn::Conn;
use crate::exchange::{Exchange, Step};
use crate::ready::{ConnId, Handle, Who};

/// Room for what such a call sends and for what waits to be read of its answer.
const RING_MOST: usize = 32 * 1024;

/// A call under way.
pub struct Call {
    /// Number of its connection.
    pub id: ConnId,
    conn: Conn,
    exchange: Exchange,
    until: Micros,
}

/// How a call ended.
#[derive(Debug)]
pub enum CallEnd {
    /// With an answer.
    Answer(Response),
    /// Without having been sent whole.
    NeverSent,
    /// Unknown: it may have been carried out.
    Doubtful,
}

/// Where a call goes and what it says.
pub struct Ask<'a> {
    /// The other side.
    pub to: SocketAddr,
    /// Method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Body, in JSON.
    pub body: &'a [u8],
    /// Longest body of the answer.
    pub most: usize,
    /// When it is given up.
    pub until: Micros,
}

impl Call {
    /// Starts a call.
    pub fn start(handle: &Handle, id: ConnId, who: Who, ask: Ask<'_>) -> io::Result<Self> {
        let mut conn = Conn::connect(handle, ask.to, who, RING_MOST, RING_MOST)?;
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
        let exchange = Exchange::connecting(ResponseReader::whole(ask.most));
        Ok(Call { id, conn, exchange, until: ask.until })
    }

    /// Goes on; its end, if it has come.
    pub fn ready(&mut self, readiness: Readiness) -> Option<CallEnd> {
        self.conn.note(readiness);
        match self.exchange.step(&mut self.conn) {
            Step::Pending => None,
            Step::Answer { response, .. } => Some(CallEnd::Answer(response)),
            Step::NeverSent => Some(CallEnd::NeverSent),
            Step::Broken => Some(CallEnd::Doubtful),
        }
    }

    /// Its end for want of time, if that has come.
    pub fn late(&self, now: Micros) -> Option<CallEnd> {
        let end = || if self.exchange.sent() { CallEnd::Doubtful } else { CallEnd::NeverSent };
        (now >= self.until).then(end)
    }
}

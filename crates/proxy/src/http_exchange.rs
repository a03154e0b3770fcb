//! One request and its response on a connection to a server.

use garnetcrank_http::{Parsed, Response, ResponseReader};

use crate::connection::Connection;

/// How far an exchange is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ExchangeStage {
    /// The connection is being established.
    Connecting,
    /// The request is being sent.
    Sending,
    /// The request was sent completely.
    Receiving,
}

/// The state of one exchange. The request is in the connection's output ring.
#[derive(Debug)]
pub(crate) struct HttpExchange {
    stage: ExchangeStage,
    reader: ResponseReader,
}

/// What a step of an exchange came to.
#[derive(Debug)]
pub(crate) enum ExchangeProgress {
    /// It goes on.
    Pending,
    /// The response is complete.
    Response {
        /// The response.
        response: Response,
        /// Another request may be sent on this connection.
        reusable: bool,
    },
    /// The connection was not established, or broke before the request's last byte was sent: it had no effect.
    NeverSent,
    /// The connection broke, or the response made no sense, after that.
    ConnectionLost,
}

impl HttpExchange {
    /// An exchange on a connection that is being established.
    pub(crate) fn connecting(reader: ResponseReader) -> Self {
        HttpExchange { stage: ExchangeStage::Connecting, reader }
    }

    /// An exchange on a connection that is established.
    pub(crate) fn on_open_connection(reader: ResponseReader) -> Self {
        HttpExchange { stage: ExchangeStage::Sending, reader }
    }

    /// Whether the request's last byte has been sent.
    pub(crate) fn request_sent(&self) -> bool {
        self.stage == ExchangeStage::Receiving
    }

    /// Whether the connection was established.
    pub(crate) fn connected(&self) -> bool {
        self.stage != ExchangeStage::Connecting
    }

    /// The reader of the response.
    pub(crate) fn reader(&mut self) -> &mut ResponseReader {
        &mut self.reader
    }

    /// Goes on as far as the connection allows.
    pub(crate) fn step(&mut self, connection: &mut Connection) -> ExchangeProgress {
        if self.stage == ExchangeStage::Connecting {
            match connection.connected() {
                Ok(true) => self.stage = ExchangeStage::Sending,
                Ok(false) => return ExchangeProgress::Pending,
                Err(_) => return ExchangeProgress::NeverSent,
            }
        }
        let mut broken = false;
        if self.stage == ExchangeStage::Sending {
            match connection.flush() {
                Ok(true) => self.stage = ExchangeStage::Receiving,
                Ok(false) => {}
                // A response may have arrived before the connection broke, and is looked for below.
                Err(_) => broken = true,
            }
        }
        self.read(connection, broken)
    }

    fn read(&mut self, connection: &mut Connection, broken: bool) -> ExchangeProgress {
        loop {
            let ended = connection.fill();
            match self.reader.read(&mut connection.input, ended) {
                // No server answers with 200 what it has not read: those bytes are something else.
                Ok(Parsed::Complete(response)) if !self.request_sent() && response.status == 200 => {
                    return self.lost();
                }
                Ok(Parsed::Complete(response)) => {
                    let nothing_follows = self.request_sent() && !ended && connection.input.is_empty();
                    let reusable = nothing_follows && response.keep_alive;
                    return ExchangeProgress::Response { response, reusable };
                }
                Err(_) => return self.lost(),
                Ok(Parsed::Incomplete) if ended || broken => return self.lost(),
                Ok(Parsed::Incomplete) if connection.more_to_read() => {}
                Ok(Parsed::Incomplete) => return ExchangeProgress::Pending,
            }
        }
    }

    fn lost(&self) -> ExchangeProgress {
        if self.request_sent() { ExchangeProgress::ConnectionLost } else { ExchangeProgress::NeverSent }
    }
}

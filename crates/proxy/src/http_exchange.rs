//! One request and its answer on a connection of ours, told apart by how far it came.

use garnetcrank_http::{Parsing, Response, ResponseReader};

use crate::connection::Connection;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ExchangeStage {
    Connecting,
    Sending,
    Receiving,
}

/// The state of one exchange. The request stands in the connection's output ring.
#[derive(Debug)]
pub struct HttpExchange {
    stage: ExchangeStage,
    reader: ResponseReader,
}

/// How far an exchange is.
#[derive(Debug)]
pub enum ExchangeProgress {
    /// It goes on.
    Pending,
    /// The answer is whole; with the connection's further use.
    Response {
        /// The answer.
        response: Response,
        /// Another request may be written on this connection.
        reusable: bool,
    },
    /// No connection, or it broke before the request's last byte was written.
    NeverSent,
    /// It broke or made no sense after that.
    ConnectionLost,
}

impl HttpExchange {
    /// On a connection that is being made.
    pub fn connecting(reader: ResponseReader) -> Self {
        HttpExchange { stage: ExchangeStage::Connecting, reader }
    }

    /// On a connection that is up.
    pub fn on_open_connection(reader: ResponseReader) -> Self {
        HttpExchange { stage: ExchangeStage::Sending, reader }
    }

    /// Whether the request's last byte has been written.
    pub fn request_sent(&self) -> bool {
        self.stage == ExchangeStage::Receiving
    }

    /// Whether the connection came up.
    pub fn connected(&self) -> bool {
        self.stage != ExchangeStage::Connecting
    }

    /// The answer as far as it has come.
    pub fn reader(&mut self) -> &mut ResponseReader {
        &mut self.reader
    }

    /// Goes on as far as the connection lets it.
    pub fn step(&mut self, conn: &mut Connection) -> ExchangeProgress {
        if self.stage == ExchangeStage::Connecting {
            match conn.connected() {
                Ok(true) => self.stage = ExchangeStage::Sending,
                Ok(false) => return ExchangeProgress::Pending,
                Err(_) => return ExchangeProgress::NeverSent,
            }
        }
        let mut broke = false;
        if self.stage == ExchangeStage::Sending {
            match conn.flush() {
                Ok(true) => self.stage = ExchangeStage::Receiving,
                Ok(false) => {}
                // An answer may have come before the break, and is looked for below.
                Err(_) => broke = true,
            }
        }
        loop {
            let ended = conn.fill();
            let lost = if self.request_sent() {
                ExchangeProgress::ConnectionLost
            } else {
                ExchangeProgress::NeverSent
            };
            match self.reader.read(&mut conn.input, ended) {
                // No machine answers with 200 what it has not read: those are bytes of something else.
                Ok(Parsing::Done(response)) if !self.request_sent() && response.status == 200 => return lost,
                Ok(Parsing::Done(response)) => {
                    let clean = self.request_sent() && !ended && conn.input.is_empty();
                    return ExchangeProgress::Response { reusable: clean && response.keep_alive, response };
                }
                Err(_) => return lost,
                Ok(Parsing::More) if ended || broke => return lost,
                Ok(Parsing::More) if conn.more_to_read() => {}
                Ok(Parsing::More) => return ExchangeProgress::Pending,
            }
        }
    }
}

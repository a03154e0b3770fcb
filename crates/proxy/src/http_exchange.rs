//! Exchange of one HTTP request and its response on a connection to a server.

use std::io;

use garnetcrank_http::{Parsed, Response, ResponseReader};

use crate::connection::Connection;
use crate::response_error::ResponseError;

/// Stage of an exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ExchangeStage {
    /// The connection is being established.
    Connecting,
    /// The request is being sent.
    Sending,
    /// The request was sent completely, and the response is being received.
    Receiving,
}

/// State of an exchange. The request is in the connection's output buffer.
#[derive(Debug)]
pub(crate) struct HttpExchange {
    stage: ExchangeStage,
    reader: ResponseReader,
}

/// Result of advancing an exchange.
#[derive(Debug)]
pub(crate) enum ExchangeProgress {
    /// The exchange is not complete.
    Pending,
    /// The response is complete.
    Response {
        /// The complete response.
        response: Response,
        /// Whether another request may be sent on this connection.
        reusable: bool,
    },
    /// The connection was not established, or broke before the last byte of the request was sent. The request has had
    /// no effect.
    NeverSent,
    /// After the request was sent, the connection broke or the response was invalid. The request may have taken
    /// effect.
    ConnectionLost(ResponseError),
}

impl HttpExchange {
    /// Creates an exchange on a connection that is being established.
    pub(crate) fn connecting(reader: ResponseReader) -> Self {
        HttpExchange { stage: ExchangeStage::Connecting, reader }
    }

    /// Creates an exchange on an established connection.
    pub(crate) fn on_open_connection(reader: ResponseReader) -> Self {
        HttpExchange { stage: ExchangeStage::Sending, reader }
    }

    /// Returns whether the last byte of the request has been sent.
    pub(crate) fn request_sent(&self) -> bool {
        self.stage == ExchangeStage::Receiving
    }

    /// Returns whether the connection is established.
    pub(crate) fn connected(&self) -> bool {
        self.stage != ExchangeStage::Connecting
    }

    /// Returns the memory that the response takes as far as it has been read, in bytes.
    pub(crate) fn response_bytes(&self) -> usize {
        self.reader.memory_bytes()
    }

    /// Returns the reader of the response.
    pub(crate) fn reader(&mut self) -> &mut ResponseReader {
        &mut self.reader
    }

    /// Sends and reads as far as the connection allows.
    pub(crate) fn advance(&mut self, connection: &mut Connection) -> ExchangeProgress {
        if self.stage == ExchangeStage::Connecting {
            match connection.connected() {
                Ok(true) => self.stage = ExchangeStage::Sending,
                Ok(false) => return ExchangeProgress::Pending,
                Err(_) => return ExchangeProgress::NeverSent,
            }
        }
        let mut write_error = None;
        if self.stage == ExchangeStage::Sending {
            match connection.flush() {
                Ok(true) => self.stage = ExchangeStage::Receiving,
                Ok(false) => {}
                // A response may have arrived before the connection broke, so the input is still read below.
                Err(error) => write_error = Some(error.kind()),
            }
        }
        self.read(connection, write_error)
    }

    fn read(&mut self, connection: &mut Connection, write_error: Option<io::ErrorKind>) -> ExchangeProgress {
        loop {
            let input = connection.fill();
            match self.reader.read(&mut connection.input, input) {
                // A server does not respond with 200 to a request that it has not received completely, so these bytes
                // are not the response to this request.
                Ok(Parsed::Complete(response)) if !self.request_sent() && response.status == 200 => {
                    return ExchangeProgress::NeverSent;
                }
                Ok(Parsed::Complete(response)) => {
                    let nothing_follows =
                        self.request_sent() && !input.has_ended() && connection.input.is_empty();
                    let reusable = nothing_follows && response.keep_alive;
                    return ExchangeProgress::Response { response, reusable };
                }
                Err(error) => return self.failed(ResponseError::new(error, input)),
                Ok(Parsed::Incomplete) => {
                    if let Some(kind) = write_error {
                        return self.failed(ResponseError::ConnectionLost(kind));
                    }
                    if !connection.can_read_more() {
                        return ExchangeProgress::Pending;
                    }
                }
            }
        }
    }

    fn failed(&self, error: ResponseError) -> ExchangeProgress {
        if self.request_sent() {
            ExchangeProgress::ConnectionLost(error)
        } else {
            ExchangeProgress::NeverSent
        }
    }
}

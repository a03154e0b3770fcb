//! Reasons why a response can't be read to its end.

use std::io;

use garnetcrank_http::{InputState, MessageError};

/// Reason why a response can't be read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum ResponseError {
    /// The peer closed the connection in an orderly way before the end of the response.
    #[error("connection closed by the peer")]
    ClosedEarly,
    /// The connection was lost by an error of this kind.
    #[error("connection lost: {0}")]
    ConnectionLost(io::ErrorKind),
    /// The bytes that arrived are not a response that can be read.
    #[error("unreadable response: {0}")]
    Unreadable(MessageError),
}

impl ResponseError {
    /// Returns the reason for an error of the response's reader. `input` is the state of the connection in which the reader
    /// returned it.
    pub(crate) fn new(error: MessageError, input: InputState) -> Self {
        match (error, input) {
            (MessageError::Truncated, InputState::Lost(kind)) => ResponseError::ConnectionLost(kind),
            (MessageError::Truncated, _) => ResponseError::ClosedEarly,
            (error, _) => ResponseError::Unreadable(error),
        }
    }
}

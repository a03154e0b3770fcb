//! Errors of reading messages.

/// Reason why a message is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// A message with invalid syntax or contradictory headers.
    #[error("{0}")]
    Malformed(&'static str),
    /// A body or line that is larger than allowed.
    #[error("body too large")]
    BodyTooLarge,
    /// A head that is larger than allowed or has too many header lines.
    #[error("head too large")]
    HeadTooLarge,
    /// A message that needs a feature that is not implemented.
    #[error("{0}")]
    Unsupported(&'static str),
    /// A version other than HTTP/1.1.
    #[error("not HTTP/1.1")]
    Version,
    /// A message that was incomplete when the connection ended.
    #[error("ended in the midst of a message")]
    Truncated,
}

impl MessageError {
    /// Returns the status code of the error response if the message is a request.
    pub fn status(self) -> u16 {
        match self {
            MessageError::Malformed(_) | MessageError::Truncated => 400,
            MessageError::BodyTooLarge => 413,
            MessageError::HeadTooLarge => 431,
            MessageError::Unsupported(_) => 501,
            MessageError::Version => 505,
        }
    }
}

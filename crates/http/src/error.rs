//! Why a message is rejected.

/// Why a message can't be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// It breaks the grammar or contradicts itself.
    #[error("{0}")]
    Malformed(&'static str),
    /// Its body is larger than allowed.
    #[error("body too large")]
    BodyTooLarge,
    /// Its head is larger than allowed.
    #[error("head too large")]
    HeadTooLarge,
    /// It asks for a feature that is not implemented.
    #[error("{0}")]
    Unsupported(&'static str),
    /// Not HTTP/1.1.
    #[error("not HTTP/1.1")]
    Version,
    /// The connection ended before the message did.
    #[error("ended in the midst of a message")]
    Truncated,
}

impl MessageError {
    /// The status code for a client that sent such a request.
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

//! What clients did.

use garnetcrank_http::{MessageError, Request};
use garnetcrank_policy::api::RequestId;

use crate::classify::ClassifyError;
use crate::readiness::ConnId;

/// Why a request is bad.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum BadRequest {
    /// It can't be read.
    #[error("{0}")]
    Malformed(MessageError),
    /// It was not complete in time.
    #[error("it was not complete in time")]
    TimedOut,
    /// It can be read, and means nothing at this deployment.
    #[error("{0}")]
    Unclassified(ClassifyError),
    /// Another open request has the same `Request-Id`.
    #[error("its Request-Id is that of another one still open")]
    DuplicateRequestId,
}

/// What a client did.
#[derive(Debug)]
pub(crate) enum DownstreamEvent {
    /// It sent a complete request.
    Request(ConnId, Request),
    /// It sent a bad request, which has been answered.
    BadRequest(BadRequest),
    /// It disconnected while its request was in flight.
    Disconnected(RequestId),
    /// It has taken all that was waiting of a streamed response.
    OutputDrained(RequestId),
}

//! Events on client connections.

use garnetcrank_http::{MessageError, Request};
use garnetcrank_policy::api::RequestId;

use crate::classify::ClassifyError;
use crate::readiness::ConnId;

/// Reason why a request is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum BadRequest {
    /// The input is not a valid HTTP request.
    #[error("{0}")]
    Malformed(MessageError),
    /// The request was not complete within the read timeout.
    #[error("request not complete within the read timeout")]
    TimedOut,
    /// The request was incomplete when its descriptor or its memory was needed for others.
    #[error("request not complete while descriptors or memory were scarce")]
    Shed,
    /// The request is valid HTTP but cannot be classified with the settings of this deployment.
    #[error("{0}")]
    Unclassified(ClassifyError),
    /// Another request that is in flight or may have run has the same `Request-Id`.
    #[error("Request-Id is the same as that of another request that is in flight or may have run")]
    DuplicateRequestId,
}

/// Event on a client's connection.
#[derive(Debug)]
pub(crate) enum DownstreamEvent {
    /// A complete request from the client.
    Request(ConnId, Request),
    /// A bad request, to which an error response has been sent.
    BadRequest(BadRequest),
    /// The client disconnected while its request was in flight.
    Disconnected(RequestId),
    /// All buffered bytes of a streamed response have been sent.
    OutputDrained(RequestId),
}

//! Requests to endpoints and events on the connections to them.

use garnetcrank_http::{Headers, Request, Response};
use garnetcrank_policy::api::{EndpointId, Micros, Outcome, RequestId};

use crate::response_error::ResponseError;

/// An attempt to send a request to an endpoint.
pub(crate) struct UpstreamRequest<'a> {
    /// The client's request.
    pub(crate) id: RequestId,
    /// Number of the attempt, counted from 0.
    pub(crate) attempt: usize,
    /// The endpoint chosen for the attempt.
    pub(crate) endpoint: EndpointId,
    /// The request as the client sent it.
    pub(crate) request: &'a Request,
    /// Time at which the attempt times out.
    pub(crate) deadline: Micros,
    /// Whether the response is forwarded to the client while it arrives.
    pub(crate) streamed: bool,
}

/// Reason why a response that is being streamed was cut off before its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum CutOffReason {
    /// The rest of the response can't be read.
    #[error(transparent)]
    Response(#[from] ResponseError),
    /// No byte arrived within the idle limit.
    #[error("no byte within the idle limit")]
    Idle,
    /// The memory of the response was needed for others.
    #[error("its memory was needed")]
    Memory,
}

/// Event on a connection to an endpoint.
#[derive(Debug)]
pub(crate) enum UpstreamEvent {
    /// The start of a streamed response.
    ResponseStarted {
        /// The client's request.
        id: RequestId,
        /// Number of the attempt.
        attempt: usize,
        /// Headers of the response.
        headers: Headers,
    },
    /// A part of the body of a streamed response.
    BodyPart {
        /// The client's request.
        id: RequestId,
        /// Bytes of the body.
        bytes: Vec<u8>,
    },
    /// The end of a streamed response before it was complete. The end of its attempt follows.
    StreamCutOff {
        /// The endpoint.
        endpoint: EndpointId,
        /// Reason for the end.
        reason: CutOffReason,
    },
    /// The end of an attempt.
    AttemptCompleted {
        /// The client's request.
        id: RequestId,
        /// Number of the attempt.
        attempt: usize,
        /// Outcome of the attempt.
        outcome: Outcome,
        /// Time since the start of the attempt.
        latency: Micros,
        /// Load report of the endpoint; empty without one.
        load_report: Vec<f64>,
        /// The complete response, if the attempt succeeded and was not streamed.
        response: Option<Response>,
    },
    /// The end of a health check.
    HealthCheckCompleted {
        /// The checked endpoint.
        endpoint: EndpointId,
        /// Outcome of the health check.
        outcome: Outcome,
        /// Time since the start of the health check.
        latency: Micros,
        /// Load report of the endpoint; empty without one.
        load_report: Vec<f64>,
    },
}

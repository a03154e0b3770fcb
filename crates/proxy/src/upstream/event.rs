//! Requests to endpoints and events on the connections to them.

use garnetcrank_http::{Headers, Request, Response};
use garnetcrank_policy::api::{EndpointId, Micros, Outcome, RequestId};

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

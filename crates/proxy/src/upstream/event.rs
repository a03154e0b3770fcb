//! What goes into the connections to endpoints and what comes out of them.

use garnetcrank_http::{Headers, Request, Response};
use garnetcrank_policy::api::{EndpointId, Micros, Outcome, RequestId};

/// An attempt to be made.
pub(crate) struct UpstreamRequest<'a> {
    /// The client's request.
    pub(crate) id: RequestId,
    /// Number of the attempt, from 0.
    pub(crate) attempt: usize,
    /// Where it goes.
    pub(crate) endpoint: EndpointId,
    /// What the client sent.
    pub(crate) request: &'a Request,
    /// When the attempt times out.
    pub(crate) deadline: Micros,
    /// The response is forwarded as it comes.
    pub(crate) streamed: bool,
}

/// What happened on the connections.
#[derive(Debug)]
pub(crate) enum UpstreamEvent {
    /// A streamed response has started.
    ResponseStarted {
        /// The client's request.
        id: RequestId,
        /// Number of the attempt.
        attempt: usize,
        /// Headers of the response.
        headers: Headers,
    },
    /// A part of a streamed body has arrived.
    BodyPart {
        /// The client's request.
        id: RequestId,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// An attempt ended.
    AttemptCompleted {
        /// The client's request.
        id: RequestId,
        /// Number of the attempt.
        attempt: usize,
        /// How it ended.
        outcome: Outcome,
        /// Time since the attempt began.
        latency: Micros,
        /// Load report of the endpoint; empty without one.
        load_report: Vec<f64>,
        /// The complete response, if the attempt succeeded and was not streamed.
        response: Option<Response>,
    },
    /// A health check ended.
    HealthCheckCompleted {
        /// The endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it began.
        latency: Micros,
        /// Load report of the endpoint; empty without one.
        load_report: Vec<f64>,
    },
}

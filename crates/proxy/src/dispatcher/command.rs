//! What the dispatcher asks the sockets to do.

use garnetcrank_http::{Headers, Response};
use garnetcrank_policy::api::{Build, EndpointId, Micros, RequestId, Verdict};
use garnetcrank_shared_policy::DecisionStamp;

use crate::readiness::ConnId;

/// An attempt that the policy has decided on.
#[derive(Debug)]
pub(crate) struct ForwardAttempt {
    /// The request.
    pub(crate) id: RequestId,
    /// Number of the attempt, counted from 0.
    pub(crate) attempt: usize,
    /// The endpoint to send it to.
    pub(crate) endpoint: EndpointId,
    /// When to stop waiting for its response.
    pub(crate) deadline: Micros,
    /// What the decision was based on; checked again just before sending.
    pub(crate) stamp: DecisionStamp,
}

/// One thing to be done on a worker's sockets or timers.
#[derive(Debug)]
pub(crate) enum Command {
    /// Start an attempt for a request in flight.
    Forward(ForwardAttempt),
    /// Cancel an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: usize,
    },
    /// Final answer: an endpoint's response.
    Respond {
        /// The client's connection.
        client: ConnId,
        /// The response to forward.
        response: Response,
    },
    /// Final answer: rejected without having run anywhere, so a retry is harmless.
    Reject {
        /// The client's connection.
        client: ConnId,
        /// Time after which the client may retry, in microseconds from now.
        retry_after: Option<Micros>,
    },
    /// Final answer: the policy failed the request.
    Fail {
        /// The client's connection.
        client: ConnId,
    },
    /// Final answer: the dispatcher failed the request, since nothing else had ended it in time.
    DeadlineExceeded {
        /// The client's connection.
        client: ConnId,
    },
    /// A streamed response starts.
    StartResponse {
        /// The client's connection.
        client: ConnId,
        /// Headers of the endpoint's response.
        headers: Headers,
    },
    /// A streamed response is complete.
    FinishResponse {
        /// The client's connection.
        client: ConnId,
    },
    /// A streamed response broke off; the client must be able to tell that it is incomplete.
    AbortResponse {
        /// The client's connection.
        client: ConnId,
    },
    /// Return a token to the policy at a moment.
    SetTimer {
        /// The moment.
        at: Micros,
        /// The policy's token.
        token: u64,
    },
    /// Send a health check to an endpoint.
    HealthCheck(EndpointId),
    /// Close the idle connections to an endpoint.
    CloseIdle(EndpointId),
    /// Start or stop watching discovery's endpoint list.
    WatchEndpoints(bool),
    /// Poll discovery once for the complete endpoint list.
    PollEndpoints,
    /// Cast a vote on a build.
    CastVote {
        /// The build.
        build: Build,
        /// The rollout stage that the vote is about.
        stage: usize,
        /// The vote.
        verdict: Verdict,
    },
    /// Write a line to the log.
    Log(String),
}

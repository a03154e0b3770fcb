//! Commands of the dispatcher to the I/O layer.

use garnetcrank_http::{Headers, Response};
use garnetcrank_policy::api::{Build, EndpointId, Micros, RequestId, Verdict};
use garnetcrank_shared_policy::DecisionStamp;

use crate::readiness::ConnId;

/// An attempt that the policy has decided on.
#[derive(Debug)]
pub(crate) struct ForwardAttempt {
    /// Request that the attempt belongs to.
    pub(crate) id: RequestId,
    /// Number of the attempt, counted from 0.
    pub(crate) attempt: usize,
    /// Endpoint to send the request to.
    pub(crate) endpoint: EndpointId,
    /// Time at which the attempt times out.
    pub(crate) deadline: Micros,
    /// State of the policy that the decision was based on; checked again just before sending.
    pub(crate) stamp: DecisionStamp,
}

/// Operation on a worker's connections or timers.
#[derive(Debug)]
pub(crate) enum Command {
    /// Start an attempt of a request in flight.
    Forward(ForwardAttempt),
    /// Cancel an attempt.
    Cancel {
        /// Request that the attempt belongs to.
        id: RequestId,
        /// Number of the attempt, counted from 0.
        attempt: usize,
    },
    /// Final response: the response of an endpoint.
    Respond {
        /// The client's connection.
        client: ConnId,
        /// The response to forward.
        response: Response,
    },
    /// Final response: rejected without having run on any endpoint, so that a retry is safe.
    Reject {
        /// The client's connection.
        client: ConnId,
        /// Time after which the client may retry, in microseconds from now.
        retry_after: Option<Micros>,
    },
    /// Final response: failed by the policy.
    Fail {
        /// The client's connection.
        client: ConnId,
    },
    /// Final response: failed by the dispatcher because nothing else ended the request in time.
    DeadlineExceeded {
        /// The client's connection.
        client: ConnId,
    },
    /// Start a streamed response.
    StartResponse {
        /// The client's connection.
        client: ConnId,
        /// Headers of the endpoint's response.
        headers: Headers,
    },
    /// Finish a streamed response.
    FinishResponse {
        /// The client's connection.
        client: ConnId,
    },
    /// Abort a streamed response in such a way that the client can tell that it is incomplete.
    AbortResponse {
        /// The client's connection.
        client: ConnId,
    },
    /// Set a timer for the policy.
    SetTimer {
        /// Time at which the timer is due.
        at: Micros,
        /// Token that is returned to the policy when the timer is due.
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
        /// Build that the vote is about.
        build: Build,
        /// Rollout stage that the vote is about.
        stage: usize,
        /// Verdict of the vote.
        verdict: Verdict,
    },
    /// Write a line to the log.
    Log(String),
}

//! Actions that an instance asks its caller to carry out.

use super::{Build, EndpointId, Micros, PeerId, RequestId, Verdict};

/// An action for the caller to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Starts an attempt of a request.
    Forward {
        /// The request.
        id: RequestId,
        /// Endpoint that the attempt is sent to.
        endpoint: EndpointId,
        /// Time-out of the attempt; none: until the client gives up.
        timeout: Option<Micros>,
    },
    /// Cancels an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Number of the attempt, from 0 in the order of forwarding.
        attempt: usize,
    },
    /// Answers the client with a rejection: the request is safe to send again.
    Reject {
        /// The request.
        id: RequestId,
        /// Time after which the client should retry; none: the rejection does not say.
        retry_after: Option<Micros>,
    },
    /// Answers the client with a failure, which does not tell whether the request has run.
    Fail(RequestId),
    /// Requests an [`Event::Timer`](super::Event::Timer).
    SetTimer {
        /// Time from now until the timer is due.
        after: Micros,
        /// Token that the event carries.
        token: u64,
    },
    /// Sends a health check to an endpoint.
    HealthCheck(EndpointId),
    /// Closes the idle connections to an endpoint.
    CloseIdle(EndpointId),
    /// Sends a gossip message.
    SendGossip {
        /// Receiver; none: all peers.
        to: Option<PeerId>,
        /// Content of the message.
        bytes: Vec<u8>,
    },
    /// Starts (`true`) or stops (`false`) watching the endpoint list for changes.
    WatchEndpoints(bool),
    /// Fetches the full endpoint list once.
    PollEndpoints,
    /// Casts this instance's vote.
    Vote {
        /// Build that the vote is on.
        build: Build,
        /// Stage that the vote is for, from 0.
        stage: usize,
        /// Verdict of the vote.
        verdict: Verdict,
    },
    /// Logs a line for operators.
    Log(String),
}

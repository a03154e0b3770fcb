//! Events that an instance handles.

use super::{
    AttemptResult, Build, ClassId, EndpointId, EndpointUpdate, Micros, Outcome, PeerId, Request, RequestId,
    RolloutStatus, VoteResult,
};

/// An event that this instance handles.
#[derive(Debug, Clone)]
pub enum Event {
    /// A change of the endpoint list.
    EndpointsUpdated(EndpointUpdate),
    /// A new request.
    Request(Request),
    /// The start of the response to an attempt; no other attempt may answer the client from here on.
    ResponseStarted {
        /// The request.
        id: RequestId,
        /// Number of the attempt, from 0 in the order of forwarding.
        attempt: usize,
    },
    /// The end of an attempt.
    AttemptCompleted(AttemptResult),
    /// The disconnection of a client: its request needs no response any more.
    ClientDisconnected(RequestId),
    /// A timer that is due, by its token.
    Timer(u64),
    /// The end of a health check.
    HealthCheckCompleted {
        /// The endpoint.
        endpoint: EndpointId,
        /// Outcome of the check.
        outcome: Outcome,
        /// Time from the start to the end of the check.
        latency: Micros,
        /// Load report of the endpoint.
        load_report: Vec<f64>,
    },
    /// A gossip message from a peer.
    GossipReceived {
        /// Sender.
        from: PeerId,
        /// Content of the message.
        bytes: Vec<u8>,
    },
    /// A change of the release controller's status of the newest build.
    RolloutUpdated(RolloutStatus),
    /// The release controller's response to this instance's vote, with the rollout status if it is known.
    VoteCompleted(VoteResult, Option<RolloutStatus>),
    /// The release controller's totals for one build and class over a past period.
    BuildTally {
        /// The build.
        build: Build,
        /// The class.
        class: ClassId,
        /// Number of attempts.
        count: u32,
        /// Number of attempts that were not served.
        errors: u32,
        /// Mean latency of the attempts that were served.
        mean: Micros,
        /// Time since the end of the period.
        age: Micros,
    },
    /// A client's report that a response was wrong.
    ResponseFlagged {
        /// Endpoint that sent the response.
        endpoint: EndpointId,
        /// The class.
        class: ClassId,
        /// Time since the attempt was sent.
        age: Micros,
    },
}

//! What happens to an instance.

use super::{
    AttemptResult, Build, ClassId, EndpointId, EndpointUpdate, Micros, Outcome, PeerId, Request, RequestId,
    RolloutStatus, VoteResult,
};

/// One thing that happened to this instance.
#[derive(Debug, Clone)]
pub enum Event {
    /// The endpoint list changed.
    EndpointsUpdated(EndpointUpdate),
    /// A request arrived.
    Request(Request),
    /// The response to an attempt has started; no other attempt may answer the client any more.
    ResponseStarted {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: usize,
    },
    /// An attempt ended.
    AttemptCompleted(AttemptResult),
    /// The client has disconnected: the request needs no answer any more.
    ClientDisconnected(RequestId),
    /// A timer is due; carries its token.
    Timer(u64),
    /// A health check ended.
    HealthCheckCompleted {
        /// The endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        latency: Micros,
        /// The endpoint's load report.
        load_report: Vec<f64>,
    },
    /// A message came from a peer.
    GossipReceived {
        /// Who sent it.
        from: PeerId,
        /// Its content.
        bytes: Vec<u8>,
    },
    /// The release controller's status of the newest build changed.
    RolloutUpdated(RolloutStatus),
    /// The release controller's answer to this instance's vote; the status too where it is known.
    VoteCompleted(VoteResult, Option<RolloutStatus>),
    /// The release controller's count of one build and class over a past period.
    Tally {
        /// The build.
        build: Build,
        /// The class.
        class: ClassId,
        /// Attempts counted.
        count: u32,
        /// Those that were not served.
        errors: u32,
        /// Mean time of the rest.
        mean: Micros,
        /// Time since the period ended.
        age: Micros,
    },
    /// A client found an answer wrong.
    AnswerFlagged {
        /// Who answered.
        endpoint: EndpointId,
        /// The class.
        class: ClassId,
        /// Time since that attempt was sent.
        age: Micros,
    },
}

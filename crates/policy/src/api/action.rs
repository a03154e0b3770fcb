//! What an instance asks its caller to do.

use super::{Build, EndpointId, Micros, PeerId, RequestId, Verdict};

/// One thing that this instance asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Forward {
        /// The request.
        id: RequestId,
        /// Where.
        endpoint: EndpointId,
        /// Its time-out; none: until the client gives up.
        timeout: Option<Micros>,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: usize,
    },
    /// Final answer: rejected, safe to send again.
    Reject {
        /// The request.
        id: RequestId,
        /// After which time the client should retry.
        retry_after: Option<Micros>,
    },
    /// Final answer: failed, nothing promised.
    Fail(RequestId),
    /// Deliver [`Event::Timer`](super::Event::Timer) later.
    SetTimer {
        /// Span from now.
        after: Micros,
        /// Returned with the timer.
        token: u64,
    },
    /// Health-check an endpoint.
    HealthCheck(EndpointId),
    /// Close idle connections to an endpoint.
    CloseIdle(EndpointId),
    /// Send a message to one peer, or to all.
    SendGossip {
        /// One peer; none: all.
        to: Option<PeerId>,
        /// Its content.
        bytes: Vec<u8>,
    },
    /// Watch the endpoint list for changes (`true`), or no longer (`false`).
    WatchEndpoints(bool),
    /// Fetch the whole endpoint list once.
    PollEndpoints,
    /// Cast this instance's vote.
    Vote {
        /// The build.
        build: Build,
        /// The stage meant.
        stage: usize,
        /// What it says.
        verdict: Verdict,
    },
    /// A line for the people on call.
    Log(String),
}

//! Requests and the outcomes of their attempts.

use super::{ClassId, KeyId, Micros, RequestId, TenantId};

/// Outcome of an attempt or of a health check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A response without an error.
    Success,
    /// An error response; the request may have run.
    Error,
    /// No response in time; the request may have run or may still be running.
    TimedOut,
    /// A lost connection; the request may have run.
    ConnectionLost,
    /// Cancellation by this instance; the request may have run.
    Cancelled,
    /// Rejection by the endpoint before the request started; it has not run.
    Overloaded,
    /// No connection to the endpoint; the request has not run.
    ConnectFailed,
    /// Not sent; the request has not run.
    NotSent,
}

impl Outcome {
    /// Returns whether the request may have run.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// A client's request.
#[derive(Debug, Clone)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if known.
    pub tenant: Option<TenantId>,
    /// Its subject, if any.
    pub key: Option<KeyId>,
    /// Time at which the client gives up.
    pub deadline: Micros,
    /// Expected work, if the client gives a hint.
    pub work_hint: Option<Micros>,
    /// Whether it is the client's own retry, where clients report that.
    pub is_retry: bool,
}

/// Result of an attempt.
#[derive(Debug, Clone)]
pub struct AttemptResult {
    /// The request.
    pub id: RequestId,
    /// Number of the attempt, from 0 in the order of forwarding.
    pub attempt: usize,
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Time from the send to the end of the attempt.
    pub latency: Micros,
    /// Whether the request is finished and must not be retried.
    pub request_finished: bool,
    /// Load report of the endpoint, in the order of the settings.
    pub load_report: Vec<f64>,
}

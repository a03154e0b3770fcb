//! Requests, and how their attempts end.

use super::{ClassId, KeyId, Micros, RequestId, TenantId};

/// How an attempt or a health check ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Answered.
    Success,
    /// The endpoint answered with an error; it may have run.
    Error,
    /// No answer in time; it may have run or be running.
    TimedOut,
    /// The connection broke; it may have run.
    ConnectionLost,
    /// Cancelled by this instance; it may have run.
    Cancelled,
    /// Rejected by the endpoint before it started: never ran.
    Overloaded,
    /// No connection: never ran.
    ConnectFailed,
    /// Not sent at all: never ran.
    NotSent,
}

impl Outcome {
    /// Whether the request may have run.
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
    /// Its tenant, where known.
    pub tenant: Option<TenantId>,
    /// Its subject.
    pub key: Option<KeyId>,
    /// When the client gives it up.
    pub deadline: Micros,
    /// Expected work, where hinted.
    pub work_hint: Option<Micros>,
    /// A client's own retry, where clients say so.
    pub is_retry: bool,
}

/// The end of an attempt.
#[derive(Debug, Clone)]
pub struct AttemptResult {
    /// The request.
    pub id: RequestId,
    /// Number of the attempt, from 0 in the order of forwarding.
    pub attempt: usize,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub latency: Micros,
    /// The request is finished; no retry is wanted.
    pub request_finished: bool,
    /// The endpoint's load report, in the order of the settings.
    pub load_report: Vec<f64>,
}

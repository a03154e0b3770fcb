//! Numbers of the worker threads, and which of them owns a request.

use garnetcrank_policy::api::RequestId;

/// Largest number of worker threads that may be configured.
pub(crate) const MAX_WORKERS: usize = 16;

/// A worker thread of this process, counted from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct WorkerId(pub(crate) usize);

impl WorkerId {
    /// The worker that also runs the control plane, the lifecycle of the process and the policy's timers.
    pub(crate) const FIRST: WorkerId = WorkerId(0);

    /// The worker that owns a request: the dispatcher numbers requests so that the remainder is the worker.
    pub(crate) fn owning_request(id: RequestId, worker_count: usize) -> Self {
        WorkerId(id.0 as usize % worker_count)
    }
}

//! Ids of the worker threads, and their ownership of requests.

use garnetcrank_policy::api::RequestId;

/// Maximum number of worker threads that may be configured.
pub(crate) const MAX_WORKERS: usize = 16;

/// Id of a worker thread of this process, counted from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct WorkerId(pub(crate) usize);

impl WorkerId {
    /// Worker that also runs the control plane, the lifecycle of the process and the policy's timers.
    pub(crate) const FIRST: WorkerId = WorkerId(0);

    /// Returns the worker that owns a request. The dispatcher allocates request ids whose remainder by the
    /// number of workers is the owner.
    pub(crate) fn owning_request(id: RequestId, worker_count: usize) -> Self {
        WorkerId(id.0 as usize % worker_count)
    }
}

//! Limits of a worker on descriptors, clients, requests and bytes.

use rustix::process::{Resource, getrlimit};

use crate::agent_client;
use crate::feature_settings::FeatureSettings;
use crate::process_settings::ProcessSettings;

/// Descriptors reserved for everything but clients and endpoints: 3 standard streams, 4 for the event loop, 2
/// for the listener, 2 for discovery, 9 for the release controller and its votes, one to read a file, and a
/// margin.
const RESERVED_DESCRIPTORS: usize = 24;
/// Descriptors that each additional worker needs: its event loop, its listener and its wake-up source.
const DESCRIPTORS_PER_ADDITIONAL_WORKER: usize = 8;
/// Minimum number of descriptors of a worker for clients and endpoints, however low the limit of the process
/// is.
const MIN_DESCRIPTORS_PER_WORKER: usize = 8;
/// One in this many descriptors is for clients beyond the limit on requests in flight. Their requests are
/// rejected, so that no client waits without a response. A connection is never closed before its response,
/// since a request may be in transit on it.
const OVERFLOW_CLIENTS_DIVISOR: usize = 32;
/// Requests in flight may take one part in this many of the memory limit.
const IN_FLIGHT_MEMORY_DIVISOR: u64 = 8;
/// Buffers and messages, those of requests in flight included, may take one part in this many of the memory limit. The
/// rest is for the program itself, its other state, and memory that is free but not returned to the system.
const BUFFER_MEMORY_DIVISOR: u64 = 4;
/// Number of `Request-Id`s of ended requests that are retained for each MiB of the memory limit.
const RETAINED_IDS_PER_MIB: u64 = 1_024;
/// Bytes per MiB.
const MIB: u64 = 1024 * 1024;

/// Resource limits of one worker.
#[derive(Debug, Clone, Copy)]
pub(super) struct Budgets {
    /// Maximum number of connections to clients and endpoints together.
    pub(super) descriptors: usize,
    /// Maximum number of connections to clients.
    pub(super) clients: usize,
    /// Maximum number of requests in flight. A limit in the settings applies to each worker.
    pub(super) in_flight_requests: usize,
    /// Maximum total size of the requests in flight, in bytes, on all workers together.
    pub(super) in_flight_bytes: usize,
    /// Maximum total size of all buffers and messages, in bytes, on all workers together.
    pub(super) buffer_bytes: usize,
}

impl Budgets {
    /// Calculates the budgets of each configured worker. `max_descriptors` is the limit of the process.
    pub(super) fn per_worker(
        process: &ProcessSettings,
        features: &FeatureSettings,
        max_descriptors: usize,
    ) -> Self {
        let worker_count = features.worker_count();
        let agent_descriptors = if features.consensus.is_some() { agent_client::MAX_DESCRIPTORS } else { 0 };
        let additional_workers = (worker_count - 1) * DESCRIPTORS_PER_ADDITIONAL_WORKER;
        let reserved = RESERVED_DESCRIPTORS + agent_descriptors + additional_workers;
        let connection_descriptors =
            max_descriptors.saturating_sub(reserved).max(MIN_DESCRIPTORS_PER_WORKER * worker_count);
        let descriptors = connection_descriptors / worker_count;
        let overflow_clients = descriptors / OVERFLOW_CLIENTS_DIVISOR + 1;
        // A request in flight needs one connection to its client and one to an endpoint.
        let affordable_requests = (descriptors - overflow_clients) / 2;
        let configured_requests = process.settings.transport.max_in_flight.unwrap_or(usize::MAX);
        let in_flight_requests = configured_requests.min(affordable_requests);
        Budgets {
            descriptors,
            // Half of the descriptors that requests in flight may need for endpoints is kept free of clients.
            // The other half is freed on demand by evicting clients without a request.
            clients: descriptors - in_flight_requests / 2,
            in_flight_requests,
            in_flight_bytes: memory_quota(process.memory_mb, IN_FLIGHT_MEMORY_DIVISOR),
            buffer_bytes: memory_quota(process.memory_mb, BUFFER_MEMORY_DIVISOR),
        }
    }
}

/// Returns one part in `divisor` of the memory limit, in bytes.
fn memory_quota(memory_mb: u64, divisor: u64) -> usize {
    usize::try_from(memory_mb.saturating_mul(MIB) / divisor).unwrap_or(usize::MAX)
}

/// Returns the maximum number of `Request-Id`s of ended requests that are retained.
pub(super) fn max_retained_ids(memory_mb: u64) -> usize {
    usize::try_from(memory_mb.max(1).saturating_mul(RETAINED_IDS_PER_MIB)).unwrap_or(usize::MAX)
}

/// Returns the configured limit on descriptors, or the system's limit if that is lower.
pub(super) fn max_descriptors(configured: usize) -> usize {
    let system_limit = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    configured.min(usize::try_from(system_limit).unwrap_or(usize::MAX))
}

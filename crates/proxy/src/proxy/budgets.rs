//! How many descriptors, clients, requests and bytes a worker may hold.

use rustix::process::{Resource, getrlimit};

use crate::agent_client;
use crate::feature_settings::FeatureSettings;
use crate::process_settings::ProcessSettings;

/// Descriptors for all but clients and endpoints: 3 standard streams, 4 of the event loop, 2 for the listener, 2 for
/// discovery, 9 for the release controller with its votes, one to read a file, and a margin.
const RESERVED_DESCRIPTORS: usize = 24;
/// Descriptors that each further worker needs: its event loop, its listener and what wakes it.
const DESCRIPTORS_PER_FURTHER_WORKER: usize = 8;
/// Fewest descriptors that a worker is given for clients and endpoints, however few the process may have.
const MIN_DESCRIPTORS_PER_WORKER: usize = 8;
/// This part (one in 32) of the descriptors is for clients beyond those whose requests can be in flight: their requests
/// are rejected, so that nobody waits without an answer. A connection is never closed before its answer: a request may be on its
/// way.
const OVERFLOW_CLIENTS_DIVISOR: usize = 32;
/// Bodies of requests in flight may take this part (one in 8) of the memory limit.
const BODY_MEMORY_DIVISOR: u64 = 8;
/// Bytes in a MiB.
const MIB: u64 = 1024 * 1024;

/// What one worker may hold.
#[derive(Debug, Clone, Copy)]
pub(super) struct Budgets {
    /// Connections to clients and endpoints together.
    pub(super) descriptors: usize,
    /// Connections to clients.
    pub(super) clients: usize,
    /// Requests in flight. A limit that the settings give holds for each worker.
    pub(super) in_flight_requests: usize,
    /// Bytes in the bodies of requests in flight on all workers together.
    pub(super) body_bytes: usize,
}

impl Budgets {
    /// The budgets of each of the workers that the features ask for. `max_descriptors` is the limit on the whole
    /// process.
    pub(super) fn per_worker(
        process: &ProcessSettings,
        features: &FeatureSettings,
        max_descriptors: usize,
    ) -> Self {
        let worker_count = features.worker_count();
        let agent_descriptors = if features.agreement.is_some() { agent_client::DESCRIPTORS } else { 0 };
        let further_workers = (worker_count - 1) * DESCRIPTORS_PER_FURTHER_WORKER;
        let reserved = RESERVED_DESCRIPTORS + agent_descriptors + further_workers;
        let for_connections =
            max_descriptors.saturating_sub(reserved).max(MIN_DESCRIPTORS_PER_WORKER * worker_count);
        let descriptors = for_connections / worker_count;
        let overflow_clients = descriptors / OVERFLOW_CLIENTS_DIVISOR + 1;
        // A request in flight takes its client's connection and one to an endpoint.
        let affordable_requests = (descriptors - overflow_clients) / 2;
        let configured_requests = process.settings.transport.max_in_flight.unwrap_or(usize::MAX);
        let in_flight_requests = configured_requests.min(affordable_requests);
        Budgets {
            descriptors,
            // Half of what requests in flight may need at endpoints is kept free of clients; for the other half,
            // clients without a request are evicted.
            clients: descriptors - in_flight_requests / 2,
            in_flight_requests,
            body_bytes: usize::try_from(process.memory_mb * MIB / BODY_MEMORY_DIVISOR).unwrap_or(usize::MAX),
        }
    }
}

/// The limit on descriptors that is configured, or the system's own where that is lower.
pub(super) fn max_descriptors(configured: usize) -> usize {
    let system = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    configured.min(usize::try_from(system).unwrap_or(usize::MAX))
}

//! Table of the requests in flight, with their clients, expirations and memory use.

use std::collections::BTreeSet;
use std::sync::Arc;

use garnetcrank_http::Request as Message;
use garnetcrank_policy::api::{ClassId, Idempotency, Micros, RequestId};
use rustc_hash::FxHashMap;

use crate::clock::MS;
use crate::dispatcher::request_ids::RequestIds;
use crate::readiness::ConnId;
use crate::worker_id::WorkerId;

/// Grace period after a request's deadline before the dispatcher fails it. It lets the policy's own response
/// come first, and stays within the deployment's tolerance on deadlines.
pub(super) const EXPIRATION_GRACE: Micros = 5 * MS;

/// A request that the policy knows of, or whose arrival is queued for it.
pub(crate) struct InFlightRequest {
    /// Connection of the client that sent the request.
    pub(crate) client: ConnId,
    /// The request itself, shared so that it can be sent without holding the dispatcher's lock.
    pub(crate) message: Arc<Message>,
    /// Request class.
    pub(crate) class: ClassId,
    /// Deadline for the final response.
    pub(super) deadline: Micros,
    /// Number of attempts that the policy has requested.
    attempt_count: usize,
    /// Whether the final response is still due. Once it is not, the record stays until the policy has handled
    /// the event that ends the request, since the policy may still refer to it until then.
    pub(super) awaiting_response: bool,
    /// Attempt whose streamed response has started.
    pub(crate) streaming_attempt: Option<usize>,
}

/// Time at which a request is failed unless it ends first. Ordered by time, then by request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Expiration {
    at: Micros,
    id: RequestId,
}

impl Expiration {
    fn new(id: RequestId, deadline: Micros) -> Self {
        Expiration { at: deadline + EXPIRATION_GRACE, id }
    }
}

/// All requests in flight on all workers, with running totals of those that await their response.
pub(super) struct InFlightTable {
    requests: FxHashMap<RequestId, InFlightRequest>,
    /// The clients' own ids of the requests.
    pub(super) ids: RequestIds,
    expirations: BTreeSet<Expiration>,
    awaiting_count: usize,
    awaiting_count_by_worker: Vec<usize>,
    memory_bytes: usize,
    next_number: u32,
}

impl InFlightTable {
    /// Creates an empty table, with up to `max_retained_ids` ids of requests that have ended.
    pub(super) fn new(worker_count: usize, max_retained_ids: usize) -> Self {
        InFlightTable {
            requests: FxHashMap::default(),
            ids: RequestIds::new(max_retained_ids),
            expirations: BTreeSet::new(),
            awaiting_count: 0,
            awaiting_count_by_worker: vec![0; worker_count],
            memory_bytes: 0,
            next_number: 0,
        }
    }

    /// Returns the number of requests that await their response.
    pub(super) fn len(&self) -> usize {
        self.awaiting_count
    }

    /// Returns the number of requests of one worker that await their response.
    pub(super) fn len_on(&self, worker: WorkerId) -> usize {
        self.awaiting_count_by_worker[worker.0]
    }

    /// Returns the total size, in bytes, of the requests that await their response.
    pub(super) fn memory_bytes(&self) -> usize {
        self.memory_bytes
    }

    /// Returns a request that awaits its response.
    pub(super) fn get_awaiting_response(&self, id: RequestId) -> Option<&InFlightRequest> {
        self.requests.get(&id).filter(|request| request.awaiting_response)
    }

    /// Returns a request, completed or not.
    pub(super) fn get(&self, id: RequestId) -> Option<&InFlightRequest> {
        self.requests.get(&id)
    }

    /// Returns a request for modification, completed or not.
    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut InFlightRequest> {
        self.requests.get_mut(&id)
    }

    /// Adds a request and allocates its id.
    pub(super) fn insert(
        &mut self,
        client: ConnId,
        message: Message,
        class: ClassId,
        idempotency: Idempotency,
        deadline: Micros,
    ) -> RequestId {
        let id = self.allocate_id(client.worker());
        self.awaiting_count += 1;
        self.awaiting_count_by_worker[client.worker().0] += 1;
        self.memory_bytes += message.memory.bytes();
        self.ids.open(id, &message, idempotency, deadline);
        self.expirations.insert(Expiration::new(id, deadline));
        let request = InFlightRequest {
            client,
            message: Arc::new(message),
            class,
            deadline,
            attempt_count: 0,
            awaiting_response: true,
            streaming_attempt: None,
        };
        self.requests.insert(id, request);
        id
    }

    /// Allocates the next unused id whose remainder by the number of workers is the worker that owns the
    /// request.
    fn allocate_id(&mut self, worker: WorkerId) -> RequestId {
        let worker_count = self.awaiting_count_by_worker.len() as u32;
        let numbers_per_worker = u32::MAX / worker_count;
        let id_of = |number: u32| RequestId(number % numbers_per_worker * worker_count + worker.0 as u32);
        let is_used = |id: RequestId| self.requests.contains_key(&id) || self.ids.is_open(id);
        while is_used(id_of(self.next_number)) {
            self.next_number = self.next_number.wrapping_add(1);
        }
        let id = id_of(self.next_number);
        self.next_number = self.next_number.wrapping_add(1);
        id
    }

    /// Numbers the next attempt of a request and records that it is open. Returns none if the request is not in the
    /// table.
    pub(super) fn begin_attempt(&mut self, id: RequestId) -> Option<usize> {
        let request = self.requests.get_mut(&id)?;
        let attempt = request.attempt_count;
        request.attempt_count += 1;
        self.ids.attempt_started(id);
        Some(attempt)
    }

    /// Marks a request as completed: its final response has been given, or its client has disconnected.
    /// Returns the client, or none if the request was completed before. The record stays until
    /// [`InFlightTable::remove`].
    pub(super) fn mark_completed(&mut self, id: RequestId) -> Option<ConnId> {
        let request = self.requests.get_mut(&id)?;
        if !request.awaiting_response {
            return None;
        }
        request.awaiting_response = false;
        self.awaiting_count -= 1;
        self.awaiting_count_by_worker[request.client.worker().0] -= 1;
        self.memory_bytes -= request.message.memory.bytes();
        self.ids.response_ended(id);
        self.expirations.remove(&Expiration::new(id, request.deadline));
        Some(request.client)
    }

    /// Removes the record of a request whose end the policy has handled.
    pub(super) fn remove(&mut self, id: RequestId) {
        self.requests.remove(&id);
    }

    /// Moves the deadlines that are later than `latest` to `latest`, for all requests that await their
    /// response.
    pub(super) fn limit_deadlines(&mut self, latest: Micros) {
        for (id, request) in &mut self.requests {
            if !request.awaiting_response || request.deadline <= latest {
                continue;
            }
            self.expirations.remove(&Expiration::new(*id, request.deadline));
            request.deadline = latest;
            self.expirations.insert(Expiration::new(*id, request.deadline));
        }
    }

    /// Returns when the first request of a worker expires.
    pub(super) fn next_expiration(&self, worker: WorkerId) -> Option<Micros> {
        self.first_expiration(worker).map(|expiration| expiration.at)
    }

    /// Removes and returns the next expiration of a worker that is due. The request itself stays in the
    /// table.
    pub(super) fn pop_expired(&mut self, worker: WorkerId, now: Micros) -> Option<RequestId> {
        let expiration = self.first_expiration(worker)?;
        if expiration.at > now {
            return None;
        }
        self.expirations.remove(&expiration);
        Some(expiration.id)
    }

    fn first_expiration(&self, worker: WorkerId) -> Option<Expiration> {
        let worker_count = self.awaiting_count_by_worker.len();
        let mut expirations = self.expirations.iter();
        expirations.find(|e| WorkerId::owning_request(e.id, worker_count) == worker).copied()
    }

    /// Returns whether the table holds no trace of any request, but for retained ids.
    #[cfg(test)]
    pub(super) fn is_clean(&self) -> bool {
        self.requests.is_empty() && self.ids.has_no_open_request() && self.expirations.is_empty()
    }

    /// Returns the number of scheduled expirations.
    #[cfg(test)]
    pub(super) fn expiration_count(&self) -> usize {
        self.expirations.len()
    }
}

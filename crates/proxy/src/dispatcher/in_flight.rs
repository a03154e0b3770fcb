//! Requests in flight: who sent them, when they expire and how much they hold.

use std::collections::{BTreeSet, HashSet};
use std::sync::Arc;

use garnetcrank_http::Request as Message;
use garnetcrank_policy::api::{ClassId, Micros, RequestId};
use rustc_hash::FxHashMap;

use crate::clock::MS;
use crate::readiness::ConnId;
use crate::worker_id::WorkerId;

/// Grace after a request's deadline before the dispatcher fails it. The policy's own answer comes first within
/// it, and the deployment's slack on deadlines is not used up.
pub(super) const EXPIRATION_GRACE: Micros = 5 * MS;

/// A request that the policy knows of or is about to be notified of.
pub(crate) struct InFlightRequest {
    /// The connection of the client that sent it.
    pub(crate) client: ConnId,
    /// The request itself. Shared, so that it can be sent without holding the dispatcher's lock.
    pub(crate) message: Arc<Message>,
    /// Its request class.
    pub(crate) class: ClassId,
    /// When it must be answered.
    pub(super) deadline: Micros,
    /// Attempts that the policy has asked for so far.
    pub(super) attempts: usize,
    /// Its final answer has not been given. Once it has, the record stays until the policy has been notified, since
    /// the policy may ask for something in between.
    pub(super) awaiting_answer: bool,
    /// The attempt whose streamed response has started.
    pub(crate) streaming_attempt: Option<usize>,
}

/// When a request is failed unless something else ends it first. Ordered by time, then by request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Expiration {
    at: Micros,
    id: RequestId,
}

impl Expiration {
    fn of(id: RequestId, deadline: Micros) -> Self {
        Expiration { at: deadline + EXPIRATION_GRACE, id }
    }
}

/// All requests in flight on all workers, with running totals of those that still await their answer.
pub(super) struct InFlightTable {
    requests: FxHashMap<RequestId, InFlightRequest>,
    /// The `Request-Id` headers of the requests that await an answer.
    open_request_ids: HashSet<Vec<u8>>,
    expirations: BTreeSet<Expiration>,
    awaiting_answer: usize,
    awaiting_answer_by_worker: Vec<usize>,
    body_bytes: usize,
    next_number: u32,
}

impl InFlightTable {
    /// An empty table.
    pub(super) fn new(worker_count: usize) -> Self {
        InFlightTable {
            requests: FxHashMap::default(),
            open_request_ids: HashSet::new(),
            expirations: BTreeSet::new(),
            awaiting_answer: 0,
            awaiting_answer_by_worker: vec![0; worker_count],
            body_bytes: 0,
            next_number: 0,
        }
    }

    /// Requests that await their answer.
    pub(super) fn len(&self) -> usize {
        self.awaiting_answer
    }

    /// Requests of one worker that await their answer.
    pub(super) fn len_on(&self, worker: WorkerId) -> usize {
        self.awaiting_answer_by_worker[worker.0]
    }

    /// Bytes in the bodies of the requests that await their answer.
    pub(super) fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    /// Whether a request with the same `Request-Id` awaits its answer.
    pub(super) fn is_open(&self, message: &Message) -> bool {
        self.open_request_ids.contains(request_id_header(message))
    }

    /// A request that awaits its answer.
    pub(super) fn awaiting(&self, id: RequestId) -> Option<&InFlightRequest> {
        self.requests.get(&id).filter(|request| request.awaiting_answer)
    }

    /// A request, answered or not.
    pub(super) fn get(&self, id: RequestId) -> Option<&InFlightRequest> {
        self.requests.get(&id)
    }

    /// A request, answered or not.
    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut InFlightRequest> {
        self.requests.get_mut(&id)
    }

    /// Adds a request and allocates its number.
    pub(super) fn insert(
        &mut self,
        client: ConnId,
        message: Message,
        class: ClassId,
        deadline: Micros,
    ) -> RequestId {
        let id = self.allocate_id(client.worker());
        self.awaiting_answer += 1;
        self.awaiting_answer_by_worker[client.worker().0] += 1;
        self.body_bytes += message.body.len();
        self.open_request_ids.insert(request_id_header(&message).to_vec());
        self.expirations.insert(Expiration::of(id, deadline));
        let request = InFlightRequest {
            client,
            message: Arc::new(message),
            class,
            deadline,
            attempts: 0,
            awaiting_answer: true,
            streaming_attempt: None,
        };
        self.requests.insert(id, request);
        id
    }

    /// The next unused number whose remainder by the number of workers is the worker that owns the request.
    fn allocate_id(&mut self, worker: WorkerId) -> RequestId {
        let worker_count = self.awaiting_answer_by_worker.len() as u32;
        let numbers_per_worker = u32::MAX / worker_count;
        let id_of = |number: u32| RequestId(number % numbers_per_worker * worker_count + worker.0 as u32);
        while self.requests.contains_key(&id_of(self.next_number)) {
            self.next_number = self.next_number.wrapping_add(1);
        }
        let id = id_of(self.next_number);
        self.next_number = self.next_number.wrapping_add(1);
        id
    }

    /// The final answer has been given, or nobody waits for it any more: the client that had waited. None if that
    /// was so before. The record stays until [`InFlightTable::remove`].
    pub(super) fn mark_answered(&mut self, id: RequestId) -> Option<ConnId> {
        let request = self.requests.get_mut(&id)?;
        if !request.awaiting_answer {
            return None;
        }
        request.awaiting_answer = false;
        self.awaiting_answer -= 1;
        self.awaiting_answer_by_worker[request.client.worker().0] -= 1;
        self.body_bytes -= request.message.body.len();
        self.open_request_ids.remove(request_id_header(&request.message));
        self.expirations.remove(&Expiration::of(id, request.deadline));
        Some(request.client)
    }

    /// Forgets a request; the policy knows that it is over.
    pub(super) fn remove(&mut self, id: RequestId) {
        self.requests.remove(&id);
    }

    /// Moves the deadlines of all requests that await their answer to `latest`, where they are later.
    pub(super) fn limit_deadlines(&mut self, latest: Micros) {
        for (id, request) in &mut self.requests {
            if !request.awaiting_answer || request.deadline <= latest {
                continue;
            }
            self.expirations.remove(&Expiration::of(*id, request.deadline));
            request.deadline = latest;
            self.expirations.insert(Expiration::of(*id, request.deadline));
        }
    }

    /// When the first request of a worker expires.
    pub(super) fn next_expiration(&self, worker: WorkerId) -> Option<Micros> {
        self.first_expiration(worker).map(|expiration| expiration.at)
    }

    /// Takes the next request of a worker that has expired off the list of expirations.
    pub(super) fn pop_expired(&mut self, worker: WorkerId, now: Micros) -> Option<RequestId> {
        let expiration = self.first_expiration(worker)?;
        if expiration.at > now {
            return None;
        }
        self.expirations.remove(&expiration);
        Some(expiration.id)
    }

    fn first_expiration(&self, worker: WorkerId) -> Option<Expiration> {
        let worker_count = self.awaiting_answer_by_worker.len();
        let mut expirations = self.expirations.iter();
        expirations.find(|e| WorkerId::owning_request(e.id, worker_count) == worker).copied()
    }

    /// Whether nothing is kept of any request.
    #[cfg(test)]
    pub(super) fn is_clean(&self) -> bool {
        self.requests.is_empty() && self.open_request_ids.is_empty() && self.expirations.is_empty()
    }

    /// Entries on the list of expirations.
    #[cfg(test)]
    pub(super) fn expiration_count(&self) -> usize {
        self.expirations.len()
    }
}

/// The client's own name for a request.
fn request_id_header(message: &Message) -> &[u8] {
    message.headers.values("request-id").next().unwrap_or_default().trim_ascii()
}

//! The clients' `Request-Id`s that are in use: those of requests whose response is due or of which an attempt is open, and
//! for a while those of requests that may have run and must not run twice.

#[cfg(test)]
mod tests;

use std::collections::BTreeSet;
use std::hash::{BuildHasher, RandomState};

use garnetcrank_http::Request as Message;
use garnetcrank_policy::api::{Idempotency, Micros, Outcome, RequestId};
use rustc_hash::{FxHashMap, FxHashSet};

use crate::clock::SECOND;

/// Time after its deadline for which the id of a request that may have run stays in use.
pub(super) const RETENTION: Micros = 60 * SECOND;

/// Hash of a `Request-Id`. An id can be as long as a head, so it is not kept itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Fingerprint(u64);

/// A fingerprint that stays in use until a time. Ordered by that time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RetainedId {
    until: Micros,
    fingerprint: Fingerprint,
}

/// A request whose response is due or of which an attempt is open.
#[derive(Debug)]
struct OpenRequest {
    fingerprint: Fingerprint,
    deadline: Micros,
    idempotency: Idempotency,
    awaiting_response: bool,
    open_attempts: u32,
    /// Whether an attempt that has ended may have run.
    may_have_run: bool,
}

/// All `Request-Id`s in use, on all workers.
#[derive(Debug)]
pub(super) struct RequestIds {
    hash_builder: RandomState,
    in_use: FxHashSet<Fingerprint>,
    open_requests: FxHashMap<RequestId, OpenRequest>,
    retained: BTreeSet<RetainedId>,
    max_retained: usize,
}

impl RequestIds {
    /// Creates an empty set. It retains up to `max_retained` ids of requests that have ended.
    pub(super) fn new(max_retained: usize) -> Self {
        RequestIds {
            hash_builder: RandomState::new(),
            in_use: FxHashSet::default(),
            open_requests: FxHashMap::default(),
            retained: BTreeSet::new(),
            max_retained,
        }
    }

    /// Returns whether a message has a `Request-Id` that is in use.
    pub(super) fn is_in_use(&mut self, message: &Message, now: Micros) -> bool {
        self.drop_expired(now);
        self.in_use.contains(&self.fingerprint(message))
    }

    /// Returns whether the request is still open.
    pub(super) fn is_open(&self, id: RequestId) -> bool {
        self.open_requests.contains_key(&id)
    }

    /// Records a request that has been accepted.
    pub(super) fn open(
        &mut self,
        id: RequestId,
        message: &Message,
        idempotency: Idempotency,
        deadline: Micros,
    ) {
        let fingerprint = self.fingerprint(message);
        self.in_use.insert(fingerprint);
        let request = OpenRequest {
            fingerprint,
            deadline,
            idempotency,
            awaiting_response: true,
            open_attempts: 0,
            may_have_run: false,
        };
        self.open_requests.insert(id, request);
    }

    /// Records that an attempt has been decided on. Each has to be followed by [`RequestIds::attempt_ended`].
    pub(super) fn attempt_started(&mut self, id: RequestId) {
        if let Some(request) = self.open_requests.get_mut(&id) {
            request.open_attempts += 1;
        }
    }

    /// Records that an attempt has ended.
    pub(super) fn attempt_ended(&mut self, id: RequestId, outcome: Outcome) {
        let Some(request) = self.open_requests.get_mut(&id) else { return };
        request.open_attempts = request.open_attempts.saturating_sub(1);
        request.may_have_run |= outcome.may_have_run();
        self.close_if_ended(id);
    }

    /// Records that the final response has been given, or that the client has disconnected.
    pub(super) fn response_ended(&mut self, id: RequestId) {
        let Some(request) = self.open_requests.get_mut(&id) else { return };
        request.awaiting_response = false;
        self.close_if_ended(id);
    }

    /// Returns whether a request may have run by an attempt other than the one that is about to begin.
    pub(super) fn may_have_run_before(&self, id: RequestId) -> bool {
        self.open_requests.get(&id).is_some_and(|request| request.may_have_run || request.open_attempts > 1)
    }

    fn close_if_ended(&mut self, id: RequestId) {
        let has_ended = |request: &OpenRequest| !request.awaiting_response && request.open_attempts == 0;
        if !self.open_requests.get(&id).is_some_and(has_ended) {
            return;
        }
        let Some(request) = self.open_requests.remove(&id) else { return };
        if request.may_have_run && request.idempotency != Idempotency::Idempotent {
            self.retain(RetainedId { until: request.deadline + RETENTION, fingerprint: request.fingerprint });
        } else {
            self.in_use.remove(&request.fingerprint);
        }
    }

    /// Keeps an id in use. Beyond the maximum, the one that would be dropped first is dropped now.
    fn retain(&mut self, id: RetainedId) {
        self.retained.insert(id);
        if self.retained.len() > self.max_retained
            && let Some(first) = self.retained.pop_first()
        {
            self.in_use.remove(&first.fingerprint);
        }
    }

    fn drop_expired(&mut self, now: Micros) {
        while let Some(first) = self.retained.first().filter(|retained| retained.until <= now).copied() {
            self.retained.remove(&first);
            self.in_use.remove(&first.fingerprint);
        }
    }

    fn fingerprint(&self, message: &Message) -> Fingerprint {
        let id = message.headers.values("request-id").next().unwrap_or_default().trim_ascii();
        Fingerprint(self.hash_builder.hash_one(id))
    }

    /// Returns whether no request is open and no id retained.
    #[cfg(test)]
    pub(super) fn is_empty(&self) -> bool {
        self.in_use.is_empty() && self.open_requests.is_empty() && self.retained.is_empty()
    }

    /// Returns whether no request is open.
    #[cfg(test)]
    pub(super) fn has_no_open_request(&self) -> bool {
        self.open_requests.is_empty() && self.in_use.len() == self.retained.len()
    }
}

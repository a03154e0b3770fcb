//! Frees descriptors by evicting idle connections and by rejecting requests that do not get complete.

use garnetcrank_policy::api::{EndpointId, Micros};

use super::Proxy;

impl Proxy {
    /// Ensures that an exchange with this endpoint can have a connection: an idle one to it, or a new one.
    /// For a new one, an idle connection to another endpoint or a client may be evicted. Returns false if that
    /// is not possible.
    pub(super) fn ensure_upstream_connection(&mut self, endpoint: EndpointId, now: Micros) -> bool {
        self.upstream.has_idle(endpoint, now) || self.ensure_descriptor(now)
    }

    /// Ensures that a descriptor is free, evicting an idle connection to an endpoint or else a client if
    /// necessary. Returns false if that is not possible.
    pub(super) fn ensure_descriptor(&mut self, now: Micros) -> bool {
        self.has_free_descriptor() || self.evict_idle_upstream() || self.evict_client(now)
    }

    fn has_free_descriptor(&self) -> bool {
        self.downstream.len() + self.upstream.len() < self.budgets.descriptors
    }

    /// Closes the connection of one client: of an idle one, else of one whose request is incomplete, which is
    /// rejected. Returns false if there is none.
    pub(super) fn evict_client(&mut self, now: Micros) -> bool {
        if self.downstream.evict_idle(now) {
            self.counters.clients_evicted += 1;
            return true;
        }
        self.downstream.shed_partial_request(now, &mut self.downstream_events)
    }

    fn evict_idle_upstream(&mut self) -> bool {
        let evicted = self.upstream.evict_idle();
        self.counters.upstream_evicted += u64::from(evicted);
        evicted
    }
}

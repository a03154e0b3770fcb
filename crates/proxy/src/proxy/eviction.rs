//! Frees descriptors by evicting idle connections.

use garnetcrank_policy::api::{EndpointId, Micros};

use super::Proxy;

impl Proxy {
    /// Ensures that an exchange with this endpoint can have a connection: an idle one to it, or a new one.
    /// For a new one, an idle connection to another endpoint or an idle client may be evicted. Returns false
    /// if that is not possible.
    pub(super) fn ensure_upstream_connection(&mut self, endpoint: EndpointId, now: Micros) -> bool {
        self.upstream.has_idle(endpoint, now) || self.ensure_descriptor(now)
    }

    /// Ensures that a descriptor is free, evicting an idle connection to an endpoint or else an idle client
    /// if necessary. Returns false if that is not possible.
    pub(super) fn ensure_descriptor(&mut self, now: Micros) -> bool {
        self.has_free_descriptor() || self.evict_idle_upstream() || self.evict_idle_client(now)
    }

    fn has_free_descriptor(&self) -> bool {
        self.downstream.len() + self.upstream.len() < self.budgets.descriptors
    }

    /// Closes the connection of one idle client. Returns false if there is none.
    pub(super) fn evict_idle_client(&mut self, now: Micros) -> bool {
        let evicted = self.downstream.evict_idle(now);
        self.counters.clients_evicted += u64::from(evicted);
        evicted
    }

    fn evict_idle_upstream(&mut self) -> bool {
        let evicted = self.upstream.evict_idle();
        self.counters.upstream_evicted += u64::from(evicted);
        evicted
    }
}

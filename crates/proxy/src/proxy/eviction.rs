//! Finding descriptors: a free one, or that of an idle connection that is closed for it.

use garnetcrank_policy::api::{EndpointId, Micros};

use super::Proxy;

impl Proxy {
    /// Whether an exchange with this endpoint can have a connection: an idle one to it, or a new one for which an idle
    /// connection to another endpoint or an idle client may be evicted.
    pub(super) fn find_upstream_connection(&mut self, endpoint: EndpointId, now: Micros) -> bool {
        self.upstream.has_idle(endpoint, now) || self.find_descriptor(now)
    }

    /// Whether there is a descriptor: a free one, or that of an idle connection to an endpoint or, failing that, of an
    /// idle client, which is evicted.
    pub(super) fn find_descriptor(&mut self, now: Micros) -> bool {
        self.has_free_descriptor() || self.evict_idle_upstream() || self.evict_idle_client(now)
    }

    fn has_free_descriptor(&self) -> bool {
        self.downstream.len() + self.upstream.len() < self.budgets.descriptors
    }

    /// Closes the connection of one idle client. False if there is none.
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

//! Accepts clients within the descriptor budget.

use garnetcrank_policy::api::Micros;

use super::Proxy;
use crate::downstream::{AcceptOutcome, LISTEN_BACKLOG};

/// Maximum number of clients accepted per turn, so that connected clients are not delayed.
const MAX_ACCEPTS_PER_TURN: usize = 64;

impl Proxy {
    /// Accepts waiting clients as long as descriptors are available, evicting connections to free some.
    pub(super) fn accept_clients(&mut self, now: Micros) {
        // With more than half of the client budget in use, responses close their connections. Otherwise
        // hundreds of clients that send one request and stay connected would fill the rest before any of them
        // had been idle long enough to be evicted.
        self.downstream.descriptors_scarce = self.downstream.len() > self.budgets.clients / 2;
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            if !self.downstream.accept_pending || !self.is_next_to_accept() {
                return;
            }
            let has_descriptor = if self.downstream.len() >= self.budgets.clients {
                self.evict_client(now)
            } else {
                self.ensure_descriptor(now)
            };
            if !has_descriptor {
                // Waiting clients are accepted once responses have closed connections or other clients have
                // been idle or sending a request for long enough.
                self.downstream.descriptors_scarce = true;
                self.downstream.accept_delayed = true;
                self.counters.accepts_paused += 1;
                return;
            }
            if self.accept_client(now) == AcceptOutcome::NoResources {
                return;
            }
        }
    }

    /// Accepts all waiting clients regardless of the budget: their connections are already established in the
    /// listen backlog. Those that connect meanwhile may exceed its length and are not accepted. Returns false if clients
    /// are left for which the system has no resources now.
    pub(super) fn accept_backlog(&mut self, now: Micros) -> bool {
        for _ in 0..=LISTEN_BACKLOG {
            match self.accept_client(now) {
                AcceptOutcome::Accepted | AcceptOutcome::Failed => {}
                AcceptOutcome::NoneWaiting => return true,
                AcceptOutcome::NoResources => return false,
            }
        }
        true
    }

    fn accept_client(&mut self, now: Micros) -> AcceptOutcome {
        let outcome = self.downstream.accept(&mut self.conn_ids, now);
        self.counters.client_connections += u64::from(outcome == AcceptOutcome::Accepted);
        outcome
    }

    /// Returns whether this worker accepts the next client: all workers are notified of it, and one with the
    /// fewest clients accepts it.
    fn is_next_to_accept(&self) -> bool {
        if self.shared.worker_count() == 1 {
            return true;
        }
        self.shared.publish_client_count(self.worker, self.downstream.len());
        self.shared.has_fewest_clients(self.worker)
    }
}

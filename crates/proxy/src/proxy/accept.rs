//! Accepting clients within the descriptor budget.

use garnetcrank_policy::api::Micros;

use super::Proxy;

/// Clients accepted in a turn at the most, so that those already connected are not kept waiting.
const MAX_ACCEPTS_PER_TURN: usize = 64;

impl Proxy {
    /// Accepts the clients that wait, as long as there are descriptors, for which idle connections are evicted.
    pub(super) fn accept_clients(&mut self, now: Micros) {
        // With half of the places taken, answers close their connections: clients that come by the hundreds, ask once
        // and stay would fill the rest before any of them had been idle long enough to be evicted.
        self.downstream.crowded = self.downstream.len() > self.budgets.clients / 2;
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            if !self.downstream.waiting || !self.is_next_to_accept() {
                return;
            }
            let has_descriptor = if self.downstream.len() >= self.budgets.clients {
                self.evict_idle_client(now)
            } else {
                self.find_descriptor(now)
            };
            if !has_descriptor {
                // Those who wait get in as soon as answers close connections, or others have been idle long enough.
                self.downstream.crowded = true;
                self.counters.accepts_paused += 1;
                return;
            }
            self.accept_client(now);
        }
    }

    /// Accepts all clients that wait, whatever the budget: this host's backlog has taken them already.
    pub(super) fn accept_backlog(&mut self, now: Micros) {
        while self.accept_client(now) {}
    }

    fn accept_client(&mut self, now: Micros) -> bool {
        let accepted = self.downstream.accept(&mut self.conn_ids, now);
        if accepted {
            self.counters.client_connections += 1;
        }
        accepted
    }

    /// Whether the next client is this worker's: every worker is notified of it, and the one with the fewest accepts it.
    fn is_next_to_accept(&self) -> bool {
        if self.shared.worker_count() == 1 {
            return true;
        }
        self.shared.publish_client_count(self.worker, self.downstream.len());
        self.shared.has_fewest_clients(self.worker)
    }
}

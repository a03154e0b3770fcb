//! Keeps the memory of buffers and messages within its budget. What a peer makes the proxy hold counts from its first
//! byte, and whoever holds most gives way first.

use garnetcrank_policy::api::Micros;

use super::Proxy;
use crate::downstream::LargestClient;

/// Connections that hold less are not closed to free memory. Those of usual clients hold less.
const MIN_SHED_BYTES: usize = 4 * 1024;

impl Proxy {
    /// Frees memory if buffers and messages take more than their budget. It is called after each step that may add to
    /// them, so that they exceed the budget by no more than one connection reads in a turn.
    pub(super) fn enforce_memory_budget(&mut self, now: Micros) {
        let held_bytes = self.handle.memory.bytes();
        self.counters.peak_buffer_bytes = self.counters.peak_buffer_bytes.max(held_bytes as u64);
        if held_bytes <= self.budgets.buffer_bytes {
            return;
        }
        // Requests that have been read are admitted or rejected first, and connections between requests need no buffers.
        self.process_downstream_events(now);
        self.downstream.release_empty_buffers();
        self.upstream.release_empty_buffers();
        while self.is_over_memory_budget() && self.shed_largest(now) {}
    }

    fn is_over_memory_budget(&self) -> bool {
        self.handle.memory.bytes() > self.budgets.buffer_bytes
    }

    /// Rejects the largest incomplete request, for which nothing has been done yet. If there is none, ends the exchange
    /// with an endpoint or the client's request that holds most. Returns false if none holds [`MIN_SHED_BYTES`].
    fn shed_largest(&mut self, now: Micros) -> bool {
        let events = &mut self.downstream_events;
        if self.downstream.shed_largest_partial_request(MIN_SHED_BYTES, now, events) {
            return true;
        }
        let client = self.downstream.largest_client();
        let client_bytes = client.map_or(0, |client| client.bytes);
        let upstream_bytes = self.upstream.largest_bytes();
        if client_bytes.max(upstream_bytes) < MIN_SHED_BYTES {
            return false;
        }
        match client {
            Some(client) if client_bytes >= upstream_bytes => self.shed_client(client, now),
            _ => self.upstream.end_largest_exchange(now, &mut self.upstream_events),
        }
        true
    }

    /// Fails the request of a client that awaits its response, and closes the connection. A client that has a response
    /// that it does not read gets nothing more.
    fn shed_client(&mut self, client: LargestClient, now: Micros) {
        self.counters.clients_evicted += 1;
        let events = &mut self.downstream_events;
        match client.awaited_request {
            Some(request) => {
                self.shared.dispatcher().on_disconnect(request);
                let reason = "the memory of its connection was needed";
                self.downstream.send_error_response(client.id, 502, reason, now, events);
            }
            None => self.downstream.disconnect(client.id, events),
        }
    }
}

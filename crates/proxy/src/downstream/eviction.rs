//! Connections that are closed, and incomplete requests that are rejected, because their descriptors or memory are needed.

use garnetcrank_policy::api::{Micros, RequestId};

use super::client::Client;
use super::{BadRequest, Downstream, DownstreamEvent};
use crate::readiness::ConnId;

/// The client's connection that takes the most memory.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LargestClient {
    /// The connection.
    pub(crate) id: ConnId,
    /// Its memory, in bytes.
    pub(crate) bytes: usize,
    /// The request whose response has not begun.
    pub(crate) awaited_request: Option<RequestId>,
}

impl Downstream {
    /// Closes the connections that are between requests and have no unread input. A new connection is kept
    /// for [`FIRST_REQUEST_TIMEOUT`](super::client::FIRST_REQUEST_TIMEOUT), as its first request may be on the way.
    pub(crate) fn close_idle(&mut self, now: Micros) {
        self.clients.retain(|_, client| {
            !(client.may_close_on_shutdown(now) && client.connection.is_open_without_input())
        });
    }

    /// Closes one connection to free its file descriptor. Returns false if none may be closed. Connections
    /// whose last response has been sent are preferred, then those that have not sent a request yet, then the
    /// one with the longest time since its last progress.
    pub(crate) fn evict_idle(&mut self, now: Micros) -> bool {
        let evictable = self.clients.iter().filter(|(_, client)| client.is_evictable(now));
        let mut in_order: Vec<_> = evictable
            .map(|(id, client)| (!client.write_shut_down, !client.is_new, client.last_progress, *id))
            .collect();
        in_order.sort_unstable();
        // Checked last, as each check is a system call.
        let is_open_without_input = |id: &ConnId| self.clients[id].connection.is_open_without_input();
        let Some(id) = in_order.into_iter().map(|(.., id)| id).find(is_open_without_input) else {
            return false;
        };
        self.clients.remove(&id);
        true
    }

    /// Rejects the request that has been incomplete for the longest time, and closes its connection to free the file
    /// descriptor. Returns false if there is none that may be rejected. The rest of a request that a client still sends
    /// is answered by a reset, which comes after the response.
    pub(crate) fn shed_partial_request(&mut self, now: Micros, events: &mut Vec<DownstreamEvent>) -> bool {
        let sheddable = self.clients.iter().filter(|(_, client)| client.is_sheddable(now));
        let mut oldest_first: Vec<_> = sheddable.map(|(id, client)| (client.last_progress, *id)).collect();
        oldest_first.sort_unstable();
        for (_, id) in oldest_first {
            self.reject_partial_request(id, now, events);
            // A client that has not read its earlier responses keeps its connection until it does.
            let response_sent = self.clients.get(&id).is_none_or(|client| client.write_shut_down);
            if response_sent {
                self.clients.remove(&id);
                return true;
            }
        }
        false
    }

    /// Rejects the incomplete request that takes the most memory, at least `min_bytes`, and releases it. Returns false if
    /// there is none.
    pub(crate) fn shed_largest_partial_request(
        &mut self,
        min_bytes: usize,
        now: Micros,
        events: &mut Vec<DownstreamEvent>,
    ) -> bool {
        let partial = self.clients.iter().filter(|(_, client)| client.has_partial_request());
        let sizes = partial.map(|(id, client)| (client.memory_bytes(), *id));
        let Some((bytes, id)) = sizes.max() else { return false };
        if bytes < min_bytes {
            return false;
        }
        self.reject_partial_request(id, now, events);
        true
    }

    fn reject_partial_request(&mut self, id: ConnId, now: Micros, events: &mut Vec<DownstreamEvent>) {
        events.push(DownstreamEvent::BadRequest(BadRequest::Shed));
        self.send_error_response(
            id,
            503,
            "the request was not complete when its connection was needed",
            now,
            events,
        );
    }

    /// Returns the connection that takes the most memory.
    pub(crate) fn largest_client(&self) -> Option<LargestClient> {
        let sizes = self.clients.iter().map(|(id, client)| (client.memory_bytes(), *id));
        let (bytes, id) = sizes.max()?;
        let awaited_request = self.clients.get(&id).and_then(Client::awaited_request);
        Some(LargestClient { id, bytes, awaited_request })
    }

    /// Releases the memory of all buffers that are empty.
    pub(crate) fn release_empty_buffers(&mut self) {
        for client in self.clients.values_mut() {
            client.connection.release_empty_buffers();
        }
    }
}

//! Pool of the connections to endpoints, with the idle ones of each endpoint.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use garnetcrank_policy::api::{Build, EndpointId, Micros};
use rustc_hash::FxHashMap;

use super::exchange::UpstreamConnection;
use crate::discovery::EndpointAddress;
use crate::readiness::ConnId;

/// Fraction of the endpoints' idle timeout after which an idle connection is closed. It is well below 1, so
/// that the proxy closes the connection before the endpoint does.
const IDLE_TIMEOUT_FRACTION: f64 = 0.8;

/// An endpoint in the endpoint list.
#[derive(Default)]
struct Endpoint {
    address: Option<SocketAddr>,
    build: Build,
    /// Number of the endpoint's current process, unique in the pool.
    generation: u64,
    /// Idle connections, the most recently used last.
    idle: Vec<ConnId>,
}

/// Pool of the connections to all endpoints.
pub(super) struct ConnectionPool {
    endpoints: BTreeMap<EndpointId, Endpoint>,
    /// Number of processes seen so far, which is the generation given out last.
    last_generation: u64,
    connections: FxHashMap<ConnId, UpstreamConnection>,
    /// Idle time after which a connection is closed.
    max_idle: Micros,
}

impl ConnectionPool {
    /// Creates an empty pool. Endpoints are expected to close connections that are idle for `idle_timeout`.
    pub(super) fn new(idle_timeout: Micros) -> Self {
        ConnectionPool {
            endpoints: BTreeMap::new(),
            last_generation: 0,
            connections: FxHashMap::default(),
            max_idle: (idle_timeout as f64 * IDLE_TIMEOUT_FRACTION) as Micros,
        }
    }

    /// Returns the number of connections, idle or in use.
    pub(super) fn len(&self) -> usize {
        self.connections.len()
    }

    /// Updates the address and build of an endpoint. If its address or process has changed, or it has been
    /// removed, closes its idle connections and returns true.
    pub(super) fn update_address(&mut self, update: &EndpointAddress) -> bool {
        let Some(address) = update.address else {
            // The endpoint has been removed from the endpoint list.
            self.close_idle(update.endpoint);
            self.endpoints.remove(&update.endpoint);
            return true;
        };
        let endpoint = self.endpoints.entry(update.endpoint).or_default();
        let unchanged = endpoint.address == Some(address) && !update.restarted;
        endpoint.address = Some(address);
        endpoint.build = update.build;
        if unchanged {
            return false;
        }
        self.last_generation += 1;
        endpoint.generation = self.last_generation;
        self.close_idle(update.endpoint);
        true
    }

    /// Returns the address of an endpoint.
    pub(super) fn address(&self, endpoint: EndpointId) -> Option<SocketAddr> {
        self.endpoints.get(&endpoint)?.address
    }

    /// Returns the generation of an endpoint's current process.
    pub(super) fn generation(&self, endpoint: EndpointId) -> Option<u64> {
        self.endpoints.get(&endpoint).map(|endpoint| endpoint.generation)
    }

    /// Returns the endpoints that run `build`.
    pub(super) fn endpoints_of_build(&self, build: Build) -> BTreeSet<EndpointId> {
        let of_build = self.endpoints.iter().filter(|(_, endpoint)| endpoint.build == build);
        of_build.map(|(id, _)| *id).collect()
    }

    /// Iterates over all connections, in no particular order.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&ConnId, &UpstreamConnection)> {
        self.connections.iter()
    }

    /// Iterates over all connections for modification, in no particular order.
    pub(super) fn values_mut(&mut self) -> impl Iterator<Item = &mut UpstreamConnection> {
        self.connections.values_mut()
    }

    /// Returns a connection.
    pub(super) fn get(&self, id: ConnId) -> Option<&UpstreamConnection> {
        self.connections.get(&id)
    }

    /// Returns a connection for modification.
    pub(super) fn get_mut(&mut self, id: ConnId) -> Option<&mut UpstreamConnection> {
        self.connections.get_mut(&id)
    }

    /// Adds a connection that is in use.
    pub(super) fn insert(&mut self, id: ConnId, connection: UpstreamConnection) {
        self.connections.insert(id, connection);
    }

    /// Removes a connection that is in use from the pool and returns it.
    pub(super) fn take(&mut self, id: ConnId) -> Option<UpstreamConnection> {
        self.connections.remove(&id)
    }

    /// Closes a connection.
    pub(super) fn remove(&mut self, id: ConnId) {
        let Some(connection) = self.connections.remove(&id) else { return };
        if let Some(endpoint) = self.endpoints.get_mut(&connection.endpoint) {
            endpoint.idle.retain(|idle| *idle != id);
        }
    }

    /// Returns whether an idle connection to the endpoint can be reused. It checks only the one that has been
    /// idle longest.
    pub(super) fn has_idle(&self, endpoint: EndpointId, now: Micros) -> bool {
        let first = self.endpoints.get(&endpoint).and_then(|endpoint| endpoint.idle.first());
        let connection = first.and_then(|id| self.connections.get(id));
        connection.is_some_and(|connection| connection.is_reusable(now))
    }

    /// Takes the most recently used idle connection that is past the reuse delay and still open. Closed or
    /// expired ones found before it are dropped.
    pub(super) fn take_idle(
        &mut self,
        endpoint: EndpointId,
        now: Micros,
    ) -> Option<(ConnId, UpstreamConnection)> {
        let endpoint = self.endpoints.get_mut(&endpoint)?;
        let is_reusable =
            |id: &ConnId| self.connections.get(id).is_none_or(|connection| connection.is_reusable(now));
        let mut candidate_count = endpoint.idle.iter().rposition(is_reusable).map_or(0, |last| last + 1);
        while candidate_count > 0 {
            candidate_count -= 1;
            let id = endpoint.idle.remove(candidate_count);
            let Some(connection) = self.connections.remove(&id) else { continue };
            if connection.connection.is_open_without_input() && now < connection.idle_since + self.max_idle {
                return Some((id, connection));
            }
        }
        None
    }

    /// Adds an idle connection for reuse, or closes it if the endpoint's process has changed since it was
    /// made.
    pub(super) fn keep_idle(&mut self, id: ConnId, mut connection: UpstreamConnection, now: Micros) {
        let Some(endpoint) = self.endpoints.get_mut(&connection.endpoint) else { return };
        if endpoint.generation != connection.generation {
            return;
        }
        connection.idle_since = now;
        connection.paused = false;
        endpoint.idle.push(id);
        self.connections.insert(id, connection);
    }

    /// Closes all idle connections to an endpoint.
    pub(super) fn close_idle(&mut self, endpoint: EndpointId) {
        if let Some(endpoint) = self.endpoints.get_mut(&endpoint) {
            for id in endpoint.idle.drain(..) {
                self.connections.remove(&id);
            }
        }
    }

    /// Closes the connection that has been idle longest. Returns false if none is idle.
    pub(super) fn evict_idle(&mut self) -> bool {
        let oldest_of_each = self.endpoints.values().filter_map(|endpoint| endpoint.idle.first());
        let idle_since = |id: &&ConnId| self.connections.get(id).map(|connection| connection.idle_since);
        let Some(oldest) = oldest_of_each.min_by_key(idle_since).copied() else { return false };
        self.remove(oldest);
        true
    }

    /// Closes connections that have been idle for the maximum idle time.
    pub(super) fn close_expired(&mut self, now: Micros) {
        let is_expired = |connection: &UpstreamConnection| {
            connection.active.is_none() && now >= connection.idle_since + self.max_idle
        };
        let expired: Vec<ConnId> = self
            .connections
            .iter()
            .filter(|(_, connection)| is_expired(connection))
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.remove(id);
        }
    }
}

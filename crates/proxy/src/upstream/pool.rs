//! Open connections to endpoints, and which of them are idle.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use garnetcrank_policy::api::{Build, EndpointId, Micros};
use rustc_hash::FxHashMap;

use super::exchange::UpstreamConnection;
use crate::discovery::EndpointAddress;
use crate::readiness::ConnId;

/// Part of the endpoints' idle timeout for which a connection is kept: well before the other side closes it.
const KEPT_PART_OF_IDLE_TIMEOUT: f64 = 0.8;

/// An endpoint that is on the list.
#[derive(Default)]
struct Endpoint {
    address: Option<SocketAddr>,
    build: Build,
    /// Number of its process.
    generation: u64,
    /// Idle connections, the newest last.
    idle: Vec<ConnId>,
}

/// The connections to all endpoints.
pub(super) struct ConnectionPool {
    endpoints: BTreeMap<EndpointId, Endpoint>,
    /// Processes seen so far: each gets a number of its own.
    last_generation: u64,
    connections: FxHashMap<ConnId, UpstreamConnection>,
    max_idle: Micros,
}

impl ConnectionPool {
    /// An empty pool. Endpoints close connections that were idle for `idle_timeout`.
    pub(super) fn new(idle_timeout: Micros) -> Self {
        ConnectionPool {
            endpoints: BTreeMap::new(),
            last_generation: 0,
            connections: FxHashMap::default(),
            max_idle: (idle_timeout as f64 * KEPT_PART_OF_IDLE_TIMEOUT) as Micros,
        }
    }

    /// Number of connections, idle or not.
    pub(super) fn len(&self) -> usize {
        self.connections.len()
    }

    /// Takes in where an endpoint listens. Returns whether another process listens there now, or none; idle connections
    /// are closed then.
    pub(super) fn update_address(&mut self, update: &EndpointAddress) -> bool {
        let Some(address) = update.address else {
            // Nothing is kept of an endpoint that has been removed.
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

    /// Where an endpoint listens.
    pub(super) fn address(&self, endpoint: EndpointId) -> Option<SocketAddr> {
        self.endpoints.get(&endpoint)?.address
    }

    /// Number of an endpoint's present process.
    pub(super) fn generation(&self, endpoint: EndpointId) -> Option<u64> {
        self.endpoints.get(&endpoint).map(|endpoint| endpoint.generation)
    }

    /// The endpoints that run a build.
    pub(super) fn endpoints_of_build(&self, build: Build) -> BTreeSet<EndpointId> {
        let of_build = self.endpoints.iter().filter(|(_, endpoint)| endpoint.build == build);
        of_build.map(|(id, _)| *id).collect()
    }

    /// All connections, in no particular order.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&ConnId, &UpstreamConnection)> {
        self.connections.iter()
    }

    /// A connection.
    pub(super) fn get(&self, id: ConnId) -> Option<&UpstreamConnection> {
        self.connections.get(&id)
    }

    /// A connection, to be used.
    pub(super) fn get_mut(&mut self, id: ConnId) -> Option<&mut UpstreamConnection> {
        self.connections.get_mut(&id)
    }

    /// Adds a connection that is in use.
    pub(super) fn insert(&mut self, id: ConnId, connection: UpstreamConnection) {
        self.connections.insert(id, connection);
    }

    /// Takes a connection that is in use out of the pool.
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

    /// Whether an idle connection to this endpoint can be used. The first one has rested for longest.
    pub(super) fn has_idle(&self, endpoint: EndpointId, now: Micros) -> bool {
        let first = self.endpoints.get(&endpoint).and_then(|endpoint| endpoint.idle.first());
        let connection = first.and_then(|id| self.connections.get(id));
        connection.is_some_and(|connection| connection.is_rested(now))
    }

    /// Takes the newest idle connection that has rested and is still open. Idle ones found closed on the way are
    /// dropped.
    pub(super) fn take_idle(
        &mut self,
        endpoint: EndpointId,
        now: Micros,
    ) -> Option<(ConnId, UpstreamConnection)> {
        let endpoint = self.endpoints.get_mut(&endpoint)?;
        let is_rested =
            |id: &ConnId| self.connections.get(id).is_none_or(|connection| connection.is_rested(now));
        let mut rested = endpoint.idle.iter().rposition(is_rested).map_or(0, |last| last + 1);
        while rested > 0 {
            rested -= 1;
            let id = endpoint.idle.remove(rested);
            let Some(connection) = self.connections.remove(&id) else { continue };
            if connection.connection.is_quiet() && now < connection.idle_since + self.max_idle {
                return Some((id, connection));
            }
        }
        None
    }

    /// Keeps a connection for reuse, unless another process listens at its endpoint by now.
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

    /// Closes idle connections to an endpoint.
    pub(super) fn close_idle(&mut self, endpoint: EndpointId) {
        if let Some(endpoint) = self.endpoints.get_mut(&endpoint) {
            for id in endpoint.idle.drain(..) {
                self.connections.remove(&id);
            }
        }
    }

    /// Closes the connection that has been idle for longest. Returns whether there was one.
    pub(super) fn evict_idle(&mut self) -> bool {
        let oldest_of_each = self.endpoints.values().filter_map(|endpoint| endpoint.idle.first());
        let idle_since = |id: &&ConnId| self.connections.get(id).map(|connection| connection.idle_since);
        let Some(oldest) = oldest_of_each.min_by_key(idle_since).copied() else { return false };
        self.remove(oldest);
        true
    }

    /// Closes connections that have been idle for too long.
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

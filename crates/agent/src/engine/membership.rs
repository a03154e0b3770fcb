//! Connections to the members, and to instances that may add this one to their cluster.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::mpsc::SyncSender;
use std::sync::{Arc, PoisonError};

use garnetcrank_consensus::ids::InstanceId;
use garnetcrank_consensus::raft_node::Message;
use garnetcrank_consensus::replicated_state::Member;
use tokio::runtime::Handle;
use tracing::{info, warn};

use super::Engine;
use crate::counters::count;
use crate::engine_input::EngineInput;
use crate::peer_transport::{PeerContext, PeerSender};

/// Most instances that have connected and are no members: those that are to be added, or that may add this one.
const MAX_DISCOVERED: usize = 1024;

struct PeerConnection {
    address: SocketAddr,
    sender: PeerSender,
}

/// The connections to all peers.
pub(super) struct PeerConnections {
    context: Arc<PeerContext>,
    inputs: SyncSender<EngineInput>,
    runtime: Handle,
    /// Addresses to be used in place of those that members announce, by name.
    overrides: BTreeMap<String, SocketAddr>,
    connections: BTreeMap<InstanceId, PeerConnection>,
    discovered: BTreeMap<InstanceId, Member>,
    /// The instances that [`PeerConnections::connections`] was last brought in line with.
    targets: Vec<Member>,
}

impl PeerConnections {
    pub(super) fn new(
        context: Arc<PeerContext>,
        inputs: SyncSender<EngineInput>,
        runtime: Handle,
        overrides: BTreeMap<String, SocketAddr>,
    ) -> Self {
        Self {
            context,
            inputs,
            runtime,
            overrides,
            connections: BTreeMap::new(),
            discovered: BTreeMap::new(),
            targets: Vec::new(),
        }
    }

    /// Notes an instance that has connected to this one.
    pub(super) fn on_discovered(&mut self, member: Member) {
        if self.discovered.len() < MAX_DISCOVERED || self.discovered.contains_key(&member.id) {
            self.discovered.insert(member.id, member);
        }
    }

    /// Sends a message to the peer that it names.
    pub(super) fn send(&self, message: &Message) {
        match self.connections.get(&InstanceId(message.to)) {
            Some(connection) => connection.sender.send(message),
            None => count(&self.context.counters.outbound_messages_dropped),
        }
    }

    /// Keeps a connection to each member; without members, to each instance that was discovered and so may be about
    /// to add this one.
    fn update(&mut self, members: Vec<Member>) {
        let waits_to_be_added = members.is_empty();
        let targets = if waits_to_be_added { self.discovered.values().cloned().collect() } else { members };
        if targets == self.targets {
            return;
        }
        if !waits_to_be_added {
            self.publish_members(&targets);
            self.discovered.clear();
        }
        let ids: BTreeSet<InstanceId> = targets.iter().map(|member| member.id).collect();
        self.connections.retain(|id, _| ids.contains(id));
        for member in &targets {
            if member.id != self.context.me.id {
                self.connect(member);
            }
        }
        let names: Vec<&str> = targets.iter().map(|member| member.name.as_str()).collect();
        info!(?names, "members changed");
        self.targets = targets;
    }

    /// Replaces the members that hellos of callers are checked against.
    fn publish_members(&self, members: &[Member]) {
        *self.context.members.write().unwrap_or_else(PoisonError::into_inner) = members.to_vec();
    }

    /// Connects to a peer, unless there is a connection to its address already.
    fn connect(&mut self, peer: &Member) {
        let Some(address) = self.address_of(peer) else {
            warn!(peer = peer.name, address = peer.address, "peer has no usable address");
            return;
        };
        if self.connections.get(&peer.id).is_some_and(|connection| connection.address == address) {
            return;
        }
        let sender =
            PeerSender::connect(&self.context, peer.clone(), address, self.inputs.clone(), &self.runtime);
        self.connections.insert(peer.id, PeerConnection { address, sender });
    }

    fn address_of(&self, peer: &Member) -> Option<SocketAddr> {
        match self.overrides.get(&peer.name) {
            Some(address) => Some(*address),
            None => peer.address.parse().ok(),
        }
    }
}

impl Engine {
    /// Brings the connections in line with the members.
    pub(super) fn connect_to_members(&mut self) {
        self.peers.update(self.node.state().members().cloned().collect());
    }
}

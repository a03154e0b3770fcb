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
use crate::counters::increment;
use crate::engine_input::EngineInput;
use crate::peer_transport::{PeerContext, PeerSender};

/// Maximum number of recorded instances that have connected to this one: those to be added to the cluster, or
/// those that may add this one to theirs.
const MAX_DISCOVERED: usize = 1024;

struct PeerConnection {
    address: SocketAddr,
    sender: PeerSender,
}

/// The connections to all peers.
pub(super) struct PeerConnections {
    context: Arc<PeerContext>,
    input_sender: SyncSender<EngineInput>,
    runtime: Handle,
    /// Addresses used in place of those that members announce, by member name.
    overrides: BTreeMap<String, SocketAddr>,
    connections: BTreeMap<InstanceId, PeerConnection>,
    discovered: BTreeMap<InstanceId, Member>,
    /// The instances that [`PeerConnections::connections`] was last updated for.
    targets: Vec<Member>,
}

impl PeerConnections {
    pub(super) fn new(
        context: Arc<PeerContext>,
        input_sender: SyncSender<EngineInput>,
        runtime: Handle,
        overrides: BTreeMap<String, SocketAddr>,
    ) -> Self {
        Self {
            context,
            input_sender,
            runtime,
            overrides,
            connections: BTreeMap::new(),
            discovered: BTreeMap::new(),
            targets: Vec::new(),
        }
    }

    /// Records an instance that has connected to this one.
    pub(super) fn on_discovered(&mut self, member: Member) {
        if self.discovered.len() < MAX_DISCOVERED || self.discovered.contains_key(&member.id) {
            self.discovered.insert(member.id, member);
        }
    }

    /// Sends a message to the peer it is addressed to, or drops it if there is no connection to that peer.
    pub(super) fn send(&self, message: &Message) {
        match self.connections.get(&InstanceId(message.to)) {
            Some(connection) => connection.sender.send(message),
            None => increment(&self.context.counters.outbound_messages_dropped),
        }
    }

    /// Updates the connections: one to each member or, while this instance knows no members, one to each
    /// discovered instance, since any of them may be about to add this one.
    fn update(&mut self, members: Vec<Member>) {
        let is_awaiting_membership = members.is_empty();
        let targets =
            if is_awaiting_membership { self.discovered.values().cloned().collect() } else { members };
        if targets == self.targets {
            return;
        }
        if !is_awaiting_membership {
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

    /// Replaces the members that hellos of connecting peers are checked against.
    fn publish_members(&self, members: &[Member]) {
        *self.context.members.write().unwrap_or_else(PoisonError::into_inner) = members.to_vec();
    }

    /// Starts a connection to a peer, unless there is one to the same address already.
    fn connect(&mut self, peer: &Member) {
        let Some(address) = self.address_of(peer) else {
            warn!(peer = peer.name, address = peer.address, "not connecting: peer address is not IP:PORT");
            return;
        };
        if self.connections.get(&peer.id).is_some_and(|connection| connection.address == address) {
            return;
        }
        let sender = PeerSender::connect(
            &self.context,
            peer.clone(),
            address,
            self.input_sender.clone(),
            &self.runtime,
        );
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
    /// Updates the connections to match the current members.
    pub(super) fn connect_to_members(&mut self) {
        self.peers.update(self.node.state().members().cloned().collect());
    }
}

//! Current role and status of an instance, for operators and for callers that need to reach the leader.

use raft::StateRole;
use serde::Serialize;

use super::{RaftNode, StorageHeadroom};
use crate::ids::{Index, InstanceId, Term};
use crate::membership::PeerProgress;

/// The current Raft role of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeRole {
    /// Follower of a leader, or instance that waits for one.
    Follower,
    /// Instance that asks whether it could win an election.
    PreCandidate,
    /// Instance that has started an election.
    Candidate,
    /// Leader of its term.
    Leader,
}

impl From<StateRole> for NodeRole {
    fn from(role: StateRole) -> Self {
        match role {
            StateRole::Follower => NodeRole::Follower,
            StateRole::PreCandidate => NodeRole::PreCandidate,
            StateRole::Candidate => NodeRole::Candidate,
            StateRole::Leader => NodeRole::Leader,
        }
    }
}

/// The status of an instance, for operators.
#[derive(Debug, Clone, Serialize)]
pub struct NodeStatus {
    /// Id of this instance.
    pub id: InstanceId,
    /// Current Raft role.
    #[serde(rename = "standing")]
    pub role: NodeRole,
    /// The leader, if this instance knows of one.
    pub leader: Option<InstanceId>,
    /// The current term.
    pub term: Term,
    /// Index of the last entry known to be committed.
    pub committed: Index,
    /// Index of the last entry applied by this instance.
    pub applied: Index,
    /// Index of the last entry in this instance's log.
    #[serde(rename = "last")]
    pub last_index: Index,
    /// Number of entries in memory.
    #[serde(rename = "held")]
    pub log_entries: usize,
    /// Number of proposals and reads that wait for an answer at this instance.
    #[serde(rename = "waiting")]
    pub pending_requests: usize,
    /// Whether the store is nearly full.
    #[serde(rename = "scarce")]
    pub storage_low: bool,
}

impl RaftNode {
    /// Returns whether this instance considers itself the leader. Only for efficiency and display: safety
    /// must not depend on it.
    pub fn is_leader(&self) -> bool {
        self.raw.raft.state == StateRole::Leader
    }

    /// Returns the leader, if this instance knows of one.
    pub fn leader(&self) -> Option<InstanceId> {
        match self.raw.raft.leader_id {
            raft::INVALID_ID => None,
            id => Some(InstanceId(id)),
        }
    }

    /// Returns the leader's view of all voters and learners, in order of their ids; empty on any other
    /// instance.
    pub fn peer_progress(&self) -> Vec<PeerProgress> {
        if !self.is_leader() {
            return Vec::new();
        }
        let tracked = self.raw.raft.prs().iter();
        let mut peers: Vec<PeerProgress> = tracked
            .map(|(id, progress)| PeerProgress {
                id: InstanceId(*id),
                is_voter: self.conf_state.voters.contains(id),
                recently_active: *id == self.id.0 || progress.recent_active,
                matched: progress.matched,
            })
            .collect();
        peers.sort_by_key(|peer| peer.id);
        peers
    }

    /// Returns whether an instance is a voter.
    pub fn is_voter(&self, id: InstanceId) -> bool {
        self.conf_state.voters.contains(&id.0)
    }

    /// Returns the status of this instance, for operators.
    pub fn status(&self) -> NodeStatus {
        NodeStatus {
            id: self.id,
            role: self.raw.raft.state.into(),
            leader: self.leader(),
            term: Term(self.raw.raft.term),
            committed: Index(self.raw.raft.raft_log.committed),
            applied: self.state.applied(),
            last_index: Index(self.log.last_index()),
            log_entries: self.log.len(),
            pending_requests: self.pending.len(),
            storage_low: self.headroom == StorageHeadroom::Low,
        }
    }
}

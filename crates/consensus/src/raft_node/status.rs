//! What an instance is at the moment, for operators and for callers that want to reach the leader.

use raft::StateRole;
use serde::Serialize;

use super::{RaftNode, StorageHeadroom};
use crate::ids::{Index, InstanceId, Term};
use crate::membership::PeerProgress;

/// What an instance is at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeRole {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether it would win an election.
    PreCandidate,
    /// Has started an election.
    Candidate,
    /// Leads.
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

/// Figures for operators.
#[derive(Debug, Clone, Serialize)]
pub struct NodeStatus {
    /// This instance.
    pub id: InstanceId,
    /// What it is.
    #[serde(rename = "standing")]
    pub role: NodeRole,
    /// The leader, as far as this instance knows.
    pub leader: Option<InstanceId>,
    /// The current term.
    pub term: Term,
    /// The last index known to be committed.
    pub committed: Index,
    /// The last index applied here.
    pub applied: Index,
    /// The last index in the log here.
    #[serde(rename = "last")]
    pub last_index: Index,
    /// Entries in memory.
    #[serde(rename = "held")]
    pub log_entries: usize,
    /// Proposals and reads that wait for an answer here.
    #[serde(rename = "waiting")]
    pub pending_requests: usize,
    /// Whether the store is nearly full.
    #[serde(rename = "scarce")]
    pub storage_low: bool,
}

impl RaftNode {
    /// Whether this instance believes that it leads. For speed and for display: nothing is safe because of it.
    pub fn is_leader(&self) -> bool {
        self.raw.raft.state == StateRole::Leader
    }

    /// The leader, as far as this instance knows.
    pub fn leader(&self) -> Option<InstanceId> {
        match self.raw.raft.leader_id {
            raft::INVALID_ID => None,
            id => Some(InstanceId(id)),
        }
    }

    /// Voters and learners as the leader sees them, in order of their ids; empty at any other instance.
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

    /// Whether an instance votes.
    pub fn is_voter(&self, id: InstanceId) -> bool {
        self.conf_state.voters.contains(&id.0)
    }

    /// Figures for operators.
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

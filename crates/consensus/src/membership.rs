//! Membership changes, one instance at a time. A new instance joins as a learner and becomes a voter once it
//! has caught up.

use serde::{Deserialize, Serialize};

use crate::ids::{InstanceId, Ticket};
use crate::replicated_state::Member;

/// Maximum number of members. Three to nine members decide quickly; larger clusters work but decide more
/// slowly.
pub const MAX_MEMBERS: usize = 1024;
/// Maximum length of a member's name, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// A membership change requested by an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Addition of an instance.
    Add(Member),
    /// Permanent removal of an instance. Its name may be reused by an instance with another id.
    Remove(InstanceId),
}

/// The request that a membership change originates from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ChangeOrigin {
    /// Instance that received the request.
    pub(crate) instance: InstanceId,
    /// Incarnation of that instance when it received the request.
    pub(crate) incarnation: u64,
    /// Ticket of the request at that instance.
    pub(crate) ticket: Ticket,
}

/// Data stored in the log together with the Raft library's record of a configuration change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ChangeContext {
    /// The request that the change originates from.
    #[serde(rename = "asked")]
    pub(crate) origin: ChangeOrigin,
    /// The requested change.
    pub(crate) change: MembershipChange,
}

/// The leader's view of one voter or learner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerProgress {
    /// Id of the instance.
    pub id: InstanceId,
    /// Whether it votes.
    pub is_voter: bool,
    /// Whether the leader received a message from it within the last election timeout.
    pub recently_active: bool,
    /// The highest log index known to be replicated to it.
    pub matched: u64,
}

/// The leader's decision on a requested change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ChangeDecision {
    /// Addition of the instance as a learner.
    AddLearner(InstanceId),
    /// Removal of the instance.
    Remove(InstanceId),
    /// No change, because the members already are as requested.
    AlreadyDone,
}

/// Reason why a change can't start now. Operators see these texts.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum ChangeError {
    #[error("a member needs a number and a name of 1 to {MAX_NAME_BYTES} bytes")]
    InvalidMember,
    #[error("{:016x} is {} at {} already", .0.id.0, .0.name, .0.address)]
    IdInUse(Member),
    /// Name of an existing member with another id. Such an instance has lost its store; if it were taken for
    /// the old member, it could vote a second time in a term in which the old member had already voted.
    #[error("{} is a member as {:016x}; if its store is lost, remove that member first", .0.name, .0.id.0)]
    NameInUse(Member),
    #[error("{MAX_MEMBERS} members at the most")]
    TooManyMembers,
    #[error("another instance is still catching up: one at a time")]
    LearnerCatchingUp,
    #[error("it leads: transfer the lead first")]
    RemovesLeader,
    #[error("{active} of the {voters} that would be left are heard from: too few to decide anything")]
    NoActiveQuorum { active: usize, voters: usize },
}

/// Decides whether a change may start now.
///
/// # Errors
/// The member is invalid or in conflict with another one, or the change could leave the cluster without an
/// active quorum.
pub(crate) fn decide_change(
    change: &MembershipChange,
    leader: InstanceId,
    members: &[Member],
    peers: &[PeerProgress],
) -> Result<ChangeDecision, ChangeError> {
    match change {
        MembershipChange::Add(member) => decide_addition(member, members, peers),
        MembershipChange::Remove(id) => decide_removal(*id, leader, members, peers),
    }
}

fn decide_addition(
    new: &Member,
    members: &[Member],
    peers: &[PeerProgress],
) -> Result<ChangeDecision, ChangeError> {
    if members.contains(new) {
        return Ok(ChangeDecision::AlreadyDone);
    }
    if new.id == InstanceId(0) || new.name.is_empty() || new.name.len() > MAX_NAME_BYTES {
        return Err(ChangeError::InvalidMember);
    }
    if let Some(existing) = members.iter().find(|member| member.id == new.id) {
        return Err(ChangeError::IdInUse(existing.clone()));
    }
    if let Some(existing) = members.iter().find(|member| member.name == new.name) {
        return Err(ChangeError::NameInUse(existing.clone()));
    }
    if members.len() >= MAX_MEMBERS {
        return Err(ChangeError::TooManyMembers);
    }
    if peers.iter().any(|peer| !peer.is_voter) {
        return Err(ChangeError::LearnerCatchingUp);
    }
    Ok(ChangeDecision::AddLearner(new.id))
}

fn decide_removal(
    id: InstanceId,
    leader: InstanceId,
    members: &[Member],
    peers: &[PeerProgress],
) -> Result<ChangeDecision, ChangeError> {
    if !members.iter().any(|member| member.id == id) {
        return Ok(ChangeDecision::AlreadyDone);
    }
    if id == leader {
        return Err(ChangeError::RemovesLeader);
    }
    let remaining: Vec<&PeerProgress> = peers.iter().filter(|peer| peer.is_voter && peer.id != id).collect();
    let voters = remaining.len();
    let active = remaining.iter().filter(|peer| peer.recently_active).count();
    let quorum = voters / 2 + 1;
    if active < quorum {
        return Err(ChangeError::NoActiveQuorum { active, voters });
    }
    Ok(ChangeDecision::Remove(id))
}

/// Returns a learner that may become a voter: it is recently active and lacks at most `max_lag` entries.
///
/// A learner without any entry is never promoted, however short the log: as a voter it would count towards a
/// quorum that can't be reached.
pub(crate) fn caught_up_learner(peers: &[PeerProgress], last_index: u64, max_lag: u64) -> Option<InstanceId> {
    let caught_up = |peer: &&PeerProgress| {
        !peer.is_voter && peer.recently_active && peer.matched > 0 && peer.matched + max_lag >= last_index
    };
    peers.iter().find(caught_up).map(|peer| peer.id)
}

#[cfg(test)]
mod tests;

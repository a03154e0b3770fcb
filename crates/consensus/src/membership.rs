//! Changes of membership: one instance at a time, as a learner first, a voter once it has caught up.

use serde::{Deserialize, Serialize};

use crate::ids::{InstanceId, Ticket};
use crate::replicated_state::Member;

/// Greatest number of members. Three to nine decide quickly; more is slower, and the operators' choice.
pub const MAX_MEMBERS: usize = 1024;
/// Longest name of a member, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// A change that an operator asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipChange {
    /// An instance joins.
    Add(Member),
    /// An instance leaves for good. Its name may be used again, by an instance with another id.
    Remove(InstanceId),
}

/// Which request a change comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ChangeOrigin {
    /// The instance that was asked.
    pub(crate) instance: InstanceId,
    /// That instance's incarnation then.
    pub(crate) incarnation: u64,
    /// The caller's ticket there.
    pub(crate) ticket: Ticket,
}

/// What goes into the log beside the library's own record of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ChangeContext {
    /// The request that it comes from.
    #[serde(rename = "asked")]
    pub(crate) origin: ChangeOrigin,
    /// What was asked for.
    pub(crate) change: MembershipChange,
}

/// One voter or learner as the leader sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerProgress {
    /// Which instance.
    pub id: InstanceId,
    /// Whether it votes.
    pub is_voter: bool,
    /// Whether a message of it came within the last election timeout.
    pub recently_active: bool,
    /// The last index that it is known to hold.
    pub matched: u64,
}

/// What the leader does about a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ChangeDecision {
    /// Add the instance as a learner.
    AddLearner(InstanceId),
    /// Remove the instance.
    Remove(InstanceId),
    /// Nothing: the members are as asked for already.
    AlreadyDone,
}

/// Why a change may not begin now. Operators read these texts.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum ChangeError {
    #[error("a member needs a number and a name of 1 to {MAX_NAME_BYTES} bytes")]
    InvalidMember,
    #[error("{:016x} is {} at {} already", .0.id.0, .0.name, .0.address)]
    IdInUse(Member),
    /// The same name with another id is an instance that lost its store: as the old member it could vote a second
    /// time in a term that it has forgotten.
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

/// Whether a change may begin now. Rejected is whatever could leave the cluster without an active quorum.
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

/// A learner that may vote from now on: it is active and holds all but the last `slack` entries. One that holds
/// nothing yet never does, however short the log: as a voter it would count towards a quorum that can't be reached.
pub(crate) fn caught_up_learner(peers: &[PeerProgress], last_index: u64, slack: u64) -> Option<InstanceId> {
    let caught_up = |peer: &&PeerProgress| {
        !peer.is_voter && peer.recently_active && peer.matched > 0 && peer.matched + slack >= last_index
    };
    peers.iter().find(caught_up).map(|peer| peer.id)
}

#[cfg(test)]
mod tests;

//! Members: the voters and learners of the cluster.

use serde::{Deserialize, Serialize};

use super::ReplicatedState;
use super::command::Reply;
use crate::ids::{Index, InstanceId};

/// An instance of the cluster.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Id of the instance.
    pub id: InstanceId,
    /// Name, unique among the members.
    pub name: String,
    /// Address at which the other members reach it.
    pub address: String,
}

impl ReplicatedState {
    /// Creates the state of a new cluster with these members.
    pub fn with_members(members: impl IntoIterator<Item = Member>) -> Self {
        let members = members.into_iter().map(|member| (member.id, member)).collect();
        Self { members, ..Self::default() }
    }

    /// Returns the members, learners included, in order of their ids.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the member with this id.
    pub fn member(&self, id: InstanceId) -> Option<&Member> {
        self.members.get(&id)
    }

    /// Applies the addition of a member, committed at `index`.
    pub fn add_member(&mut self, index: Index, member: Member) {
        self.applied = index;
        self.members.insert(member.id, member);
    }

    /// Applies the removal of a member, committed at `index`. This drops the member's notices and ends the
    /// epochs of its leases.
    pub fn remove_member(&mut self, index: Index, id: InstanceId) {
        self.applied = index;
        self.members.remove(&id);
        for notices in self.notices.values_mut() {
            notices.remove(&id);
        }
        for lease in self.leases.values_mut() {
            if lease.holder == Some(id) {
                lease.end_epoch(None);
            }
        }
    }

    pub(super) fn require_member(&self, id: InstanceId) -> Result<(), Reply> {
        if self.members.contains_key(&id) {
            Ok(())
        } else {
            Err(Reply::Rejected(format!("{id} is no member")))
        }
    }
}

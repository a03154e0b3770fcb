//! Members: the instances that take part, voters and learners.

use serde::{Deserialize, Serialize};

use super::ReplicatedState;
use super::command::Reply;
use crate::ids::{Index, InstanceId};

/// An instance that takes part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its id.
    pub id: InstanceId,
    /// Its name, unique among the members.
    pub name: String,
    /// Where the others reach it.
    pub address: String,
}

impl ReplicatedState {
    /// The state of a cluster that begins with these members.
    pub fn with_members(members: impl IntoIterator<Item = Member>) -> Self {
        let members = members.into_iter().map(|member| (member.id, member)).collect();
        Self { members, ..Self::default() }
    }

    /// The members, learners included, in order of their ids.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// A member.
    pub fn member(&self, id: InstanceId) -> Option<&Member> {
        self.members.get(&id)
    }

    /// A member has been added, at this index of the log.
    pub fn add_member(&mut self, index: Index, member: Member) {
        self.applied = index;
        self.members.insert(member.id, member);
    }

    /// A member has been removed, at this index of the log. Its notices go, and its leases end with their epochs.
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

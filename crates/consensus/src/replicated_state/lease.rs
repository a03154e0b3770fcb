//! Leases: each assigns a role to one instance under an epoch that never decreases.

use serde::{Deserialize, Serialize};

use super::ReplicatedState;
use super::command::Reply;
use crate::ids::{Epoch, Index, InstanceId, Role};

/// Maximum number of roles. A role is never removed, because its epoch must never decrease.
pub const MAX_ROLES: usize = 256;
/// The epoch of a role that was never held.
const UNASSIGNED_EPOCH: Epoch = Epoch(0);

/// The lease of a role.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The holder; `None` after it released the lease or was removed from the cluster.
    pub holder: Option<InstanceId>,
    /// The epoch, which never decreases.
    pub epoch: Epoch,
    /// Time for which the holder may act without a renewal, in its own ticks.
    #[serde(rename = "life")]
    pub ttl: u32,
    /// Log index of the acquisition, renewal or release that came last.
    pub renewed: Index,
}

impl Lease {
    /// Ends the current epoch, so that its holder can no longer act, and makes `successor` the holder, if
    /// there is one.
    pub(super) fn end_epoch(&mut self, successor: Option<InstanceId>) {
        self.epoch.0 += 1;
        self.holder = successor;
    }
}

impl ReplicatedState {
    /// Returns the lease of a role; `None` if the role was never held.
    pub fn lease(&self, role: &Role) -> Option<&Lease> {
        self.leases.get(role)
    }

    /// Returns all roles that were ever held, in order, with their leases.
    pub fn leases(&self) -> impl Iterator<Item = (&Role, &Lease)> {
        self.leases.iter()
    }

    /// Returns the lease of a role, provided that it is held under `epoch`.
    ///
    /// # Errors
    /// [`Reply::StaleEpoch`] if the lease is free or its epoch differs.
    pub(super) fn current_lease(&mut self, role: &Role, epoch: Epoch) -> Result<&mut Lease, Reply> {
        match self.leases.get_mut(role) {
            Some(lease) if lease.epoch == epoch && lease.holder.is_some() => Ok(lease),
            Some(lease) => Err(Reply::StaleEpoch { current: lease.epoch }),
            None => Err(Reply::StaleEpoch { current: UNASSIGNED_EPOCH }),
        }
    }

    pub(super) fn acquire_lease(
        &mut self,
        index: Index,
        role: &Role,
        holder: InstanceId,
        expected_epoch: Epoch,
        ttl: u32,
    ) -> Result<Reply, Reply> {
        self.require_member(holder)?;
        let current = self.leases.get(role).map_or(UNASSIGNED_EPOCH, |lease| lease.epoch);
        if current != expected_epoch {
            return Err(Reply::StaleEpoch { current });
        }
        if current == UNASSIGNED_EPOCH && self.leases.len() >= MAX_ROLES {
            return Err(Reply::CapacityExceeded);
        }
        let epoch = Epoch(current.0 + 1);
        let lease = Lease { holder: Some(holder), epoch, ttl, renewed: index };
        self.leases.insert(role.clone(), lease);
        Ok(Reply::LeaseAcquired(epoch))
    }

    pub(super) fn renew_lease(&mut self, index: Index, role: &Role, epoch: Epoch) -> Result<Reply, Reply> {
        let lease = self.current_lease(role, epoch)?;
        lease.renewed = index;
        Ok(Reply::Done)
    }

    pub(super) fn release_lease(
        &mut self,
        index: Index,
        role: &Role,
        epoch: Epoch,
        successor: Option<InstanceId>,
    ) -> Result<Reply, Reply> {
        if let Some(successor) = successor {
            self.require_member(successor)?;
        }
        let lease = self.current_lease(role, epoch)?;
        lease.end_epoch(successor);
        lease.renewed = index;
        Ok(Reply::Done)
    }
}

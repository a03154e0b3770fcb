//! Leases: each gives a role to one instance under an epoch that only grows.

use serde::{Deserialize, Serialize};

use super::ReplicatedState;
use super::command::Reply;
use crate::ids::{Epoch, Index, InstanceId, Role};

/// Greatest number of roles. A role is kept for good, since its epoch must never fall.
pub const MAX_ROLES: usize = 256;
/// The epoch of a role that was never held.
const UNASSIGNED_EPOCH: Epoch = Epoch(0);

/// Who holds a role.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The holder; none after it released the lease or was removed.
    pub holder: Option<InstanceId>,
    /// The epoch; it only grows.
    pub epoch: Epoch,
    /// How long the holder may go on acting without a renewal, in its own ticks.
    #[serde(rename = "life")]
    pub ttl: u32,
    /// The index of its latest renewal.
    pub renewed: Index,
}

impl Lease {
    /// Ends the current epoch: whoever held the lease under it can do nothing more.
    pub(super) fn end_epoch(&mut self, successor: Option<InstanceId>) {
        self.epoch.0 += 1;
        self.holder = successor;
    }
}

impl ReplicatedState {
    /// Who holds a role; none if nobody ever did.
    pub fn lease(&self, role: &Role) -> Option<&Lease> {
        self.leases.get(role)
    }

    /// All roles that were ever held, in order.
    pub fn leases(&self) -> impl Iterator<Item = (&Role, &Lease)> {
        self.leases.iter()
    }

    /// The lease of a role that is held under just this epoch.
    ///
    /// # Errors
    /// The reply to a command that shows another epoch.
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

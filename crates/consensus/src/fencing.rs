//! The fencing gate, which every action under a lease has to pass. It records the newest epoch observed for
//! each role and rejects older ones, so a deposed holder that resumes after a pause can't act, independently
//! of any clock.
//!
//! The gate remembers an admitted order until the replicated state has resolved it and its epoch has ended:
//! the next holder asks the gate which orders in doubt were executed, and a copy of an old message may arrive
//! minutes late. The gate's state must survive crashes at least as well as the effects that it protects.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{Epoch, Role, Subject};

/// Maximum number of orders remembered for each role. At the limit no order is admitted until some are
/// resolved and the role has a new epoch, which a holder can obtain by transferring the lease to itself.
pub const MAX_ORDERS: usize = 65_536;

/// The gate's decision on an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum FencingDecision {
    /// Admitted: the order may be executed now, once.
    #[serde(rename = "Open")]
    Admit,
    /// Rejected for good, because a newer epoch has been observed.
    #[serde(rename = "Stale")]
    StaleEpoch {
        /// The newest epoch observed.
        newest: Epoch,
    },
    /// Rejected, because the order was admitted before.
    #[serde(rename = "Repeat")]
    Duplicate {
        /// The epoch under which it was admitted.
        epoch: Epoch,
    },
    /// Rejected, because [`MAX_ORDERS`] orders are remembered for the role.
    Full,
}

/// What the gate records for one role.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct RoleFence {
    #[serde(rename = "newest")]
    newest_epoch: Epoch,
    #[serde(rename = "let_through")]
    admitted: BTreeMap<Subject, AdmittedOrder>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct AdmittedOrder {
    epoch: Epoch,
    #[serde(rename = "settled")]
    resolved: bool,
}

impl RoleFence {
    /// Removes orders that are resolved and of an older epoch. An order of the current epoch is retained: a
    /// late copy of its message would otherwise be admitted again.
    fn prune_resolved_orders(&mut self) {
        let newest = self.newest_epoch;
        self.admitted.retain(|_, order| !order.resolved || order.epoch == newest);
    }
}

/// The error for an epoch that is not the newest one that the gate has observed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the newest epoch that the fencing gate has observed is {newest}")]
pub struct EpochNotCurrent {
    /// The newest epoch observed.
    pub newest: Epoch,
}

/// The complete state of the gate.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FencingGate {
    roles: BTreeMap<Role, RoleFence>,
}

impl FencingGate {
    /// Records the epoch of a holder that is about to act for the first time. Older epochs are rejected from
    /// then on.
    ///
    /// # Errors
    /// A newer epoch has been observed.
    pub fn observe_epoch(&mut self, role: &Role, epoch: Epoch) -> Result<(), EpochNotCurrent> {
        let fence = self.roles.entry(role.clone()).or_default();
        if epoch < fence.newest_epoch {
            return Err(EpochNotCurrent { newest: fence.newest_epoch });
        }
        if epoch > fence.newest_epoch {
            fence.newest_epoch = epoch;
            fence.prune_resolved_orders();
        }
        Ok(())
    }

    /// Decides whether an order may be executed under `epoch`, and remembers it if so.
    pub fn admit(&mut self, role: &Role, epoch: Epoch, order: &Subject) -> FencingDecision {
        if let Err(EpochNotCurrent { newest }) = self.observe_epoch(role, epoch) {
            return FencingDecision::StaleEpoch { newest };
        }
        let fence = self.roles.entry(role.clone()).or_default();
        if let Some(admitted) = fence.admitted.get(order) {
            return FencingDecision::Duplicate { epoch: admitted.epoch };
        }
        if fence.admitted.len() >= MAX_ORDERS {
            return FencingDecision::Full;
        }
        fence.admitted.insert(order.clone(), AdmittedOrder { epoch, resolved: false });
        FencingDecision::Admit
    }

    /// Returns whether an order was admitted. `epoch` must be the newest one observed: the answer is final
    /// for all older epochs, which are rejected.
    ///
    /// # Errors
    /// `epoch` is not the newest one observed.
    pub fn was_admitted(&self, role: &Role, epoch: Epoch, order: &Subject) -> Result<bool, EpochNotCurrent> {
        let newest = self.current_epoch(role);
        if epoch != newest {
            return Err(EpochNotCurrent { newest });
        }
        Ok(self.roles.get(role).is_some_and(|fence| fence.admitted.contains_key(order)))
    }

    /// Records that the replicated state has resolved an order as executed. Such an order is never dispatched
    /// again, so it need not be remembered after its epoch has ended.
    pub fn mark_resolved(&mut self, role: &Role, order: &Subject) {
        let Some(fence) = self.roles.get_mut(role) else { return };
        let Some(admitted) = fence.admitted.get_mut(order) else { return };
        admitted.resolved = true;
        fence.prune_resolved_orders();
    }

    /// Returns the newest epoch observed for a role; 0 if none was.
    pub fn current_epoch(&self, role: &Role) -> Epoch {
        self.roles.get(role).map_or(Epoch(0), |fence| fence.newest_epoch)
    }
}

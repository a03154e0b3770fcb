//! The fencing gate, in front of whatever a lease allows. It keeps the newest epoch that it has observed
//! for each role and rejects older ones, so a holder that froze and wakes does nothing more, whatever any clock says.
//!
//! It remembers what it has admitted until the replicated state has resolved the order and its epoch is over: the
//! next holder asks it which orders in doubt were executed, and a copy of an old message may come minutes late. Its
//! state must survive its own crashes at least as well as the effects behind it do.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{Epoch, Role, Subject};

/// Orders remembered for each role. Beyond that no more is admitted until some are resolved and the role has a new
/// epoch (a holder may pass the lease on to itself).
pub const MAX_ORDERS: usize = 65_536;

/// What the gate says to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum FencingDecision {
    /// The effect may happen, now and once.
    #[serde(rename = "Open")]
    Admit,
    /// An older epoch than one observed before: rejected for good.
    #[serde(rename = "Stale")]
    StaleEpoch {
        /// The newest epoch observed.
        newest: Epoch,
    },
    /// This order was admitted before.
    #[serde(rename = "Repeat")]
    Duplicate {
        /// Under this epoch.
        epoch: Epoch,
    },
    /// The gate remembers as many orders as it may.
    Full,
}

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
    /// Forgets orders that are resolved and of an older epoch. Until no message of its epoch can pass any more, a
    /// late copy of the message that an order was admitted with would have it admitted again.
    fn forget_finished_orders(&mut self) {
        let newest = self.newest_epoch;
        self.admitted.retain(|_, order| !order.resolved || order.epoch == newest);
    }
}

/// The gate has observed a newer epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("epoch {newest} has been observed")]
pub struct NewerEpoch {
    /// The newest epoch observed.
    pub newest: Epoch,
}

/// The gate's whole state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FencingGate {
    roles: BTreeMap<Role, RoleFence>,
}

impl FencingGate {
    /// A holder shows its epoch, before it acts for the first time. From here on no older one is admitted.
    ///
    /// # Errors
    /// A later epoch has been observed.
    pub fn observe_epoch(&mut self, role: &Role, epoch: Epoch) -> Result<(), NewerEpoch> {
        let fence = self.roles.entry(role.clone()).or_default();
        if epoch < fence.newest_epoch {
            return Err(NewerEpoch { newest: fence.newest_epoch });
        }
        if epoch > fence.newest_epoch {
            fence.newest_epoch = epoch;
            fence.forget_finished_orders();
        }
        Ok(())
    }

    /// An order comes to the gate under an epoch.
    pub fn admit(&mut self, role: &Role, epoch: Epoch, order: &Subject) -> FencingDecision {
        if let Err(NewerEpoch { newest }) = self.observe_epoch(role, epoch) {
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

    /// Whether an order was admitted, asked under an epoch that the gate has observed: the answer is final for every
    /// older one.
    ///
    /// # Errors
    /// `epoch` is not the newest one observed.
    pub fn was_executed(&self, role: &Role, epoch: Epoch, order: &Subject) -> Result<bool, NewerEpoch> {
        let newest = self.current_epoch(role);
        if epoch != newest {
            return Err(NewerEpoch { newest });
        }
        Ok(self.roles.get(role).is_some_and(|fence| fence.admitted.contains_key(order)))
    }

    /// The replicated state has resolved this order as executed: it is dispatched no more, and need not be remembered
    /// beyond its epoch.
    pub fn mark_resolved(&mut self, role: &Role, order: &Subject) {
        let Some(fence) = self.roles.get_mut(role) else { return };
        let Some(admitted) = fence.admitted.get_mut(order) else { return };
        admitted.resolved = true;
        fence.forget_finished_orders();
    }

    /// The newest epoch observed for a role; 0 if none was.
    pub fn current_epoch(&self, role: &Role) -> Epoch {
        self.roles.get(role).map_or(Epoch(0), |fence| fence.newest_epoch)
    }
}

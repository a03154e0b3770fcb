//! The gate: what stands in front of whatever a grant allows. It keeps the newest epoch that it was shown for each
//! role and refuses older ones, so a holder that froze and wakes does nothing more, whatever any clock says.
//!
//! What it has let through it remembers until the ledger has settled it and its epoch is over: the next holder asks
//! it which orders in doubt ran, and a copy of an old message may come minutes late. Its state must survive its own
//! crashes at least as well as the effects behind it do.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{Epoch, Role, Subject};

/// Orders remembered for each role; beyond that nothing more is let through until some are settled and the role
/// has a new epoch (a holder may pass the role on to itself).
pub const MAX_ORDERS: usize = 65_536;

/// What the gate says to an act.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum FencingDecision {
    /// Go: the effect may happen, now and once.
    #[serde(rename = "Open")]
    Admit,
    /// An older epoch than one shown before: refused for good.
    #[serde(rename = "Stale")]
    StaleEpoch {
        /// The newest epoch shown.
        newest: Epoch,
    },
    /// This order went through before.
    #[serde(rename = "Repeat")]
    Duplicate {
        /// Under this epoch.
        epoch: Epoch,
    },
    /// It remembers as many orders as it may.
    Full,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Watched {
    newest: Epoch,
    let_through: BTreeMap<Subject, Through>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Through {
    epoch: Epoch,
    settled: bool,
}

impl Watched {
    /// An order may be forgotten once it is settled and no message of its epoch can pass any more: until then a
    /// late copy of the message that let it through would let it through again.
    fn forget_what_is_over(&mut self) {
        let newest = self.newest;
        self.let_through.retain(|_, through| !through.settled || through.epoch == newest);
    }
}

/// The gate's whole state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FencingGate {
    roles: BTreeMap<Role, Watched>,
}

impl FencingGate {
    /// A holder shows its epoch, before it acts for the first time. From here on no older one passes.
    ///
    /// # Errors
    /// The newest epoch shown, if that is a later one.
    pub fn observe_epoch(&mut self, role: &Role, epoch: Epoch) -> Result<(), Epoch> {
        let watched = self.roles.entry(role.clone()).or_default();
        if epoch < watched.newest {
            return Err(watched.newest);
        }
        if epoch > watched.newest {
            watched.newest = epoch;
            watched.forget_what_is_over();
        }
        Ok(())
    }

    /// An order comes to the gate under an epoch.
    pub fn admit(&mut self, role: &Role, epoch: Epoch, order: &Subject) -> FencingDecision {
        if let Err(newest) = self.observe_epoch(role, epoch) {
            return FencingDecision::StaleEpoch { newest };
        }
        let watched = self.roles.entry(role.clone()).or_default();
        if let Some(through) = watched.let_through.get(order) {
            return FencingDecision::Duplicate { epoch: through.epoch };
        }
        if watched.let_through.len() >= MAX_ORDERS {
            return FencingDecision::Full;
        }
        watched.let_through.insert(order.clone(), Through { epoch, settled: false });
        FencingDecision::Admit
    }

    /// Whether an order went through, asked under an epoch that the gate has been shown: the answer is final for
    /// every older one.
    ///
    /// # Errors
    /// The newest epoch shown, if it is not the one that asks.
    pub fn was_executed(&self, role: &Role, epoch: Epoch, order: &Subject) -> Result<bool, Epoch> {
        let newest = self.current_epoch(role);
        if epoch != newest {
            return Err(newest);
        }
        Ok(self.roles.get(role).is_some_and(|watched| watched.let_through.contains_key(order)))
    }

    /// The ledger has settled this order as one that ran: it is handed out no more, and need not be remembered
    /// beyond its epoch.
    pub fn mark_resolved(&mut self, role: &Role, order: &Subject) {
        if let Some(watched) = self.roles.get_mut(role)
            && let Some(through) = watched.let_through.get_mut(order)
        {
            through.settled = true;
            watched.forget_what_is_over();
        }
    }

    /// The newest epoch shown for a role; 0 if none was.
    pub fn current_epoch(&self, role: &Role) -> Epoch {
        self.roles.get(role).map_or(Epoch(0), |watched| watched.newest)
    }
}

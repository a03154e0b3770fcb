//! Simulated fencing gate and the execution of orders behind it.

use std::collections::BTreeMap;

use garnetcrank_consensus::fencing::{FencingDecision, FencingGate};
use garnetcrank_consensus::ids::Epoch;

use super::network::{Address, Packet};
use super::{DisabledProtection, World, order, role};

#[derive(Default)]
pub(super) struct GateProcess {
    fencing_gate: FencingGate,
    /// Epochs under which each order was executed.
    pub(super) executions: BTreeMap<u64, Vec<Epoch>>,
    newest_presented_epoch: Epoch,
}

impl GateProcess {
    /// Simulates a crash and restart of the gate: its state is durable and is decoded from its encoding.
    fn restart(&mut self) {
        let bytes = postcard::to_stdvec(&self.fencing_gate).unwrap_or_default();
        self.fencing_gate = postcard::from_bytes(&bytes).unwrap_or_default();
    }

    /// Returns the gate's decision on an order, with fencing enabled or disabled.
    fn decide(&mut self, epoch: Epoch, number: u64, fencing_enabled: bool) -> FencingDecision {
        let decision = self.fencing_gate.admit(&role(), epoch, &order(number));
        match decision {
            FencingDecision::StaleEpoch { .. } if !fencing_enabled => {
                // With fencing disabled the gate still rejects orders that it has admitted before.
                if self.executions.contains_key(&number) {
                    FencingDecision::Duplicate { epoch }
                } else {
                    FencingDecision::Admit
                }
            }
            decision => decision,
        }
    }
}

impl World {
    pub(super) fn deliver_to_gate(&mut self, from: Address, packet: Packet) {
        if self.rng.u8(..20) == 0 {
            self.gate.restart();
        }
        let reply = match packet {
            Packet::ObserveEpoch(epoch) => Some(self.observe_epoch(epoch)),
            Packet::SubmitOrder { epoch, order } => self.submit_order(epoch, order),
            Packet::QueryOrder { epoch, order } => Some(self.query_order(epoch, order)),
            _ => None,
        };
        if let Some(reply) = reply {
            self.network.send(&mut self.rng, self.now, Address::Gate, from, reply);
        }
    }

    fn is_fencing_enabled(&self) -> bool {
        self.disabled != DisabledProtection::FencingGate
    }

    fn observe_epoch(&mut self, epoch: Epoch) -> Packet {
        let fencing_enabled = self.is_fencing_enabled();
        self.gate.newest_presented_epoch = self.gate.newest_presented_epoch.max(epoch);
        match self.gate.fencing_gate.observe_epoch(&role(), epoch) {
            Err(error) if fencing_enabled => Packet::NewerEpoch(error.newest),
            _ => Packet::EpochObserved(epoch),
        }
    }

    fn submit_order(&mut self, epoch: Epoch, number: u64) -> Option<Packet> {
        let fencing_enabled = self.is_fencing_enabled();
        match self.gate.decide(epoch, number, fencing_enabled) {
            FencingDecision::Admit => {
                self.execute_order(epoch, number);
                Some(Packet::OrderAdmitted { epoch, order: number })
            }
            FencingDecision::Duplicate { .. } => Some(Packet::OrderAdmitted { epoch, order: number }),
            FencingDecision::StaleEpoch { newest } => {
                self.report.stale_orders_rejected += 1;
                Some(Packet::NewerEpoch(newest))
            }
            FencingDecision::Full => None,
        }
    }

    fn execute_order(&mut self, epoch: Epoch, number: u64) {
        let now = self.now;
        let newest = self.gate.newest_presented_epoch;
        if epoch < newest {
            let violation =
                format!("step {now}: order {number} was executed under epoch {epoch} after epoch {newest}");
            self.report.conflicts.push(violation);
        }
        let epochs = self.gate.executions.entry(number).or_default();
        epochs.push(epoch);
        if epochs.len() > 1 {
            let violation = format!("step {now}: order {number} was executed under epochs {epochs:?}");
            self.report.conflicts.push(violation);
        }
    }

    fn query_order(&mut self, epoch: Epoch, number: u64) -> Packet {
        match self.gate.fencing_gate.was_admitted(&role(), epoch, &order(number)) {
            Ok(executed) => Packet::OrderStatus { epoch, order: number, executed },
            Err(error) => Packet::NewerEpoch(error.newest),
        }
    }
}

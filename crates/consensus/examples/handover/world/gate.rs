//! The fencing gate with the effects behind it.

use std::collections::BTreeMap;

use garnetcrank_consensus::fencing::{FencingDecision, FencingGate};
use garnetcrank_consensus::ids::Epoch;

use super::network::{Address, Packet};
use super::{DisabledProtection, World, order, role};

#[derive(Default)]
pub(super) struct GateProcess {
    fence: FencingGate,
    /// By order, the epochs under which it was executed.
    pub(super) effects: BTreeMap<u64, Vec<Epoch>>,
    newest_shown: Epoch,
}

impl GateProcess {
    /// Its state survives its own crashes: it is read back from its bytes.
    fn restart(&mut self) {
        let bytes = postcard::to_stdvec(&self.fence).unwrap_or_default();
        self.fence = postcard::from_bytes(&bytes).unwrap_or_default();
    }

    /// What the gate decides, with the fence or without it.
    fn decide(&mut self, epoch: Epoch, number: u64, fenced: bool) -> FencingDecision {
        let decision = self.fence.admit(&role(), epoch, &order(number));
        match decision {
            FencingDecision::StaleEpoch { .. } if !fenced => {
                // Without the fence the gate still knows what it has admitted.
                if self.effects.contains_key(&number) {
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
    pub(super) fn at_gate(&mut self, from: Address, packet: Packet) {
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

    fn is_fenced(&self) -> bool {
        self.disabled != DisabledProtection::FencingGate
    }

    fn observe_epoch(&mut self, epoch: Epoch) -> Packet {
        let fenced = self.is_fenced();
        self.gate.newest_shown = self.gate.newest_shown.max(epoch);
        match self.gate.fence.observe_epoch(&role(), epoch) {
            Err(error) if fenced => Packet::NewerEpoch(error.newest),
            _ => Packet::EpochObserved(epoch),
        }
    }

    fn submit_order(&mut self, epoch: Epoch, number: u64) -> Option<Packet> {
        let fenced = self.is_fenced();
        match self.gate.decide(epoch, number, fenced) {
            FencingDecision::Admit => {
                self.execute_order(epoch, number);
                Some(Packet::OrderAdmitted { epoch, order: number })
            }
            FencingDecision::Duplicate { .. } => Some(Packet::OrderAdmitted { epoch, order: number }),
            FencingDecision::StaleEpoch { newest } => {
                self.report.stale_rejected += 1;
                Some(Packet::NewerEpoch(newest))
            }
            FencingDecision::Full => None,
        }
    }

    fn execute_order(&mut self, epoch: Epoch, number: u64) {
        let now = self.now;
        let newest = self.gate.newest_shown;
        if epoch < newest {
            let what = format!("step {now}: order {number} under {epoch} after {newest}");
            self.report.duplicates.push(what);
        }
        let epochs = self.gate.effects.entry(number).or_default();
        epochs.push(epoch);
        if epochs.len() > 1 {
            let what = format!("step {now}: order {number} was executed under {epochs:?}");
            self.report.duplicates.push(what);
        }
    }

    fn query_order(&mut self, epoch: Epoch, number: u64) -> Packet {
        match self.gate.fence.was_executed(&role(), epoch, &order(number)) {
            Ok(executed) => Packet::OrderStatus { epoch, order: number, executed },
            Err(error) => Packet::NewerEpoch(error.newest),
        }
    }
}

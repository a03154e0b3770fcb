//! Invariants that are checked during a run and at its end.

use std::collections::BTreeMap;

use garnetcrank_consensus::ids::{Index, InstanceId, Term};
use garnetcrank_consensus::replicated_state::{ReplicatedState, SubjectState};

use super::instance::Process;
use super::{ORDERS, RECOVERY_STEPS, World, order, subject};

/// Result of a run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RunReport {
    /// Number of subjects and orders that were decided.
    pub decisions: u64,
    /// Descriptions of conflicting outcomes, such as two leaders in a term, an order executed twice or under a stale
    /// epoch, or a history that is not linearizable.
    pub conflicts: Vec<String>,
    /// Descriptions of acknowledged decisions that are missing, of instances that failed to start, and of panics.
    pub lost: Vec<String>,
    /// Number of orders under a stale epoch that the gate rejected.
    pub stale_orders_rejected: u64,
    /// Descriptions of all other violations.
    pub other: Vec<String>,
}

impl RunReport {
    /// Returns whether the run is free of violations.
    pub fn has_no_violations(&self) -> bool {
        self.conflicts.is_empty() && self.lost.is_empty() && self.other.is_empty()
    }
}

/// Observations for Raft's invariants: one entry at each index and one leader in each term.
#[derive(Default)]
pub(super) struct RaftInvariants {
    terms: BTreeMap<Index, Term>,
    leaders: BTreeMap<Term, InstanceId>,
}

impl RaftInvariants {
    /// Records that an instance has applied an entry. Returns a violation if another entry was applied at this index.
    pub(super) fn on_applied(&mut self, index: Index, term: Term) -> Option<String> {
        let recorded = *self.terms.entry(index).or_insert(term);
        if recorded == term {
            return None;
        }
        Some(format!("entries of terms {recorded} and {term} were both applied at index {index}"))
    }

    /// Records that an instance leads in a term. Returns a violation if another instance has led in this term.
    pub(super) fn on_leader(&mut self, term: Term, id: InstanceId) -> Option<String> {
        let recorded = *self.leaders.entry(term).or_insert(id);
        if recorded == id {
            return None;
        }
        Some(format!("instances {recorded} and {id} both lead in term {term}"))
    }
}

impl World {
    /// Returns whether all requests are answered, all orders executed and all instances voters with the same state.
    pub(super) fn is_settled(&self) -> bool {
        let processes: Option<Vec<&Process>> =
            self.instances.iter().map(|instance| instance.process.as_ref()).collect();
        let Some(processes) = processes else { return false };
        let applied = processes[0].node.state().applied();
        let has_caught_up = |process: &&Process| {
            let node = &process.node;
            node.state().applied() == applied && node.is_voter(node.status().id)
        };
        self.clients.iter().all(|client| client.is_done())
            && self.replacements.is_empty()
            && processes.iter().all(has_caught_up)
            && (0..ORDERS).all(|number| is_executed(processes[0].node.state(), number))
    }

    fn states(&self) -> Vec<&ReplicatedState> {
        let processes = self.instances.iter().filter_map(|instance| instance.process.as_ref());
        processes.map(|process| process.node.state()).collect()
    }

    /// Checks the invariants that can be verified only at the end of a run.
    pub(super) fn check(&mut self) {
        let settled = self.is_settled();
        let lost = self.lost_decisions(settled);
        self.report.lost.extend(lost);
        self.report.conflicts.extend(self.history.violations());
        self.report.decisions = self.decision_count();
        if self.report.conflicts.is_empty() {
            let mismatches = self.mismatched_executions();
            self.report.other.extend(mismatches);
        }
        if self.report.has_no_violations() && !settled {
            let violation = self.describe_unsettled();
            self.report.other.push(violation);
        }
    }

    /// Returns the decisions that were acknowledged to a client and are missing from an instance. In a cluster that has
    /// not settled, only the instances that have applied the most entries are checked.
    fn lost_decisions(&self, settled: bool) -> Vec<String> {
        let states = self.states();
        let highest_applied = states.iter().map(|state| state.applied()).max();
        let mut lost = Vec::new();
        for (number, value) in self.history.acknowledged() {
            for (position, state) in states.iter().enumerate() {
                if !settled && Some(state.applied()) != highest_applied {
                    continue;
                }
                match state.subject_state(&subject(number)) {
                    Some(SubjectState::Decided(stored)) if *stored == value => {}
                    stored => lost.push(format!(
                        "subject {number}: {value:?} was acknowledged, but instance n{position} holds {stored:?}"
                    )),
                }
            }
        }
        lost
    }

    fn latest_state(&self) -> Option<&ReplicatedState> {
        self.states().into_iter().max_by_key(|state| state.applied())
    }

    fn decision_count(&self) -> u64 {
        let Some(state) = self.latest_state() else { return 0 };
        let subjects = state.subjects("subject", 0).count();
        let orders = state.subjects("order", 0).count();
        (subjects + orders) as u64
    }

    /// Returns the orders that the gate executed but that the replicated state does not record as executed under one of
    /// the same epochs.
    fn mismatched_executions(&self) -> Vec<String> {
        let Some(state) = self.latest_state() else { return Vec::new() };
        let mut mismatches = Vec::new();
        for (number, epochs) in &self.gate.executions {
            match state.subject_state(&order(*number)) {
                Some(SubjectState::Executed(epoch)) if epochs.contains(epoch) => {}
                stored => mismatches.push(format!(
                    "order {number} was executed under epochs {epochs:?}, but the state holds {stored:?}"
                )),
            }
        }
        mismatches
    }

    fn describe_unsettled(&self) -> String {
        let clients: Vec<_> =
            self.clients.iter().map(|client| (&client.activity, client.operations_remaining)).collect();
        let processes = self.instances.iter().filter_map(|instance| instance.process.as_ref());
        let nodes: Vec<_> = processes.map(|process| process.node.status()).collect();
        let replacements = &self.replacements;
        format!("not settled {RECOVERY_STEPS} steps after the faults: {clients:?} {replacements:?} {nodes:?}")
    }
}

fn is_executed(state: &ReplicatedState, number: u64) -> bool {
    matches!(state.subject_state(&order(number)), Some(SubjectState::Executed(_)))
}

//! What must hold in a run and after it.

use std::collections::BTreeMap;

use garnetcrank_consensus::ids::{Index, InstanceId, Term};
use garnetcrank_consensus::replicated_state::{ReplicatedState, SubjectState};

use super::instance::Process;
use super::{ORDERS, RECOVERY_STEPS, World, order, subject};

/// What a run came to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RunReport {
    /// Subjects and orders decided.
    pub decisions: u64,
    /// Two decisions where one may be, in words.
    pub duplicates: Vec<String>,
    /// Acknowledged decisions that are gone, in words.
    pub lost: Vec<String>,
    /// Acts of deposed holders that the gate rejected.
    pub stale_rejected: u64,
    /// Anything else that must not be, in words.
    pub other: Vec<String>,
}

impl RunReport {
    /// Whether all went as it must.
    pub fn is_sound(&self) -> bool {
        self.duplicates.is_empty() && self.lost.is_empty() && self.other.is_empty()
    }
}

/// Raft's own promises: one entry at an index, one leader in a term.
#[derive(Default)]
pub(super) struct RaftInvariants {
    terms: BTreeMap<Index, Term>,
    leaders: BTreeMap<Term, InstanceId>,
}

impl RaftInvariants {
    /// An instance has applied this entry; the violation, if another was applied there.
    pub(super) fn on_applied(&mut self, index: Index, term: Term) -> Option<String> {
        let known = *self.terms.entry(index).or_insert(term);
        if known == term {
            return None;
        }
        Some(format!("entry {index} of terms {known} and {term}"))
    }

    /// An instance leads; the violation, if another has led in this term.
    pub(super) fn on_leader(&mut self, term: Term, id: InstanceId) -> Option<String> {
        let known = *self.leaders.entry(term).or_insert(id);
        if known == id {
            return None;
        }
        Some(format!("{known} and {id} lead in term {term}"))
    }
}

impl World {
    /// Whether everyone has had an answer and all instances hold the same.
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

    /// Checks what only the end of a run shows.
    pub(super) fn check(&mut self) {
        let settled = self.is_settled();
        let lost = self.lost_decisions(settled);
        self.report.lost.extend(lost);
        self.report.duplicates.extend(self.history.not_linearizable());
        self.report.decisions = self.decision_count();
        if self.report.duplicates.is_empty() {
            let mismatched = self.mismatched_effects();
            self.report.other.extend(mismatched);
        }
        if self.report.is_sound() && !settled {
            let what = self.describe_unsettled();
            self.report.other.push(what);
        }
    }

    /// Decisions that were acknowledged to a client and that an instance does not hold: any instance once all have
    /// settled, else one that has applied the most.
    fn lost_decisions(&self, settled: bool) -> Vec<String> {
        let states = self.states();
        let furthest = states.iter().map(|state| state.applied()).max();
        let mut lost = Vec::new();
        for (number, value) in self.history.acknowledged() {
            for (position, state) in states.iter().enumerate() {
                if !settled && Some(state.applied()) != furthest {
                    continue;
                }
                match state.subject_state(&subject(number)) {
                    Some(SubjectState::Decided(held)) if *held == value => {}
                    held => lost.push(format!(
                        "subject {number}: {value:?} acknowledged, n{position} holds {held:?}"
                    )),
                }
            }
        }
        lost
    }

    fn furthest_state(&self) -> Option<&ReplicatedState> {
        self.states().into_iter().max_by_key(|state| state.applied())
    }

    fn decision_count(&self) -> u64 {
        let Some(state) = self.furthest_state() else { return 0 };
        let subjects = state.subjects("subject", 0).count();
        let orders = state.subjects("order", 0).count();
        (subjects + orders) as u64
    }

    /// Orders that the gate executed and the replicated state does not hold as executed under such an epoch.
    fn mismatched_effects(&self) -> Vec<String> {
        let Some(state) = self.furthest_state() else { return Vec::new() };
        let mut mismatched = Vec::new();
        for (number, epochs) in &self.gate.effects {
            match state.subject_state(&order(*number)) {
                Some(SubjectState::Executed(epoch)) if epochs.contains(epoch) => {}
                held => mismatched
                    .push(format!("order {number} was executed under {epochs:?}, the state holds {held:?}")),
            }
        }
        mismatched
    }

    fn describe_unsettled(&self) -> String {
        let clients: Vec<_> =
            self.clients.iter().map(|client| (&client.activity, client.operations_remaining)).collect();
        let processes = self.instances.iter().filter_map(|instance| instance.process.as_ref());
        let nodes: Vec<_> = processes.map(|process| process.node.status()).collect();
        let replacements = &self.replacements;
        format!("not settled {RECOVERY_STEPS} steps after healing: {clients:?} {replacements:?} {nodes:?}")
    }
}

fn is_executed(state: &ReplicatedState, number: u64) -> bool {
    matches!(state.subject_state(&order(number)), Some(SubjectState::Executed(_)))
}

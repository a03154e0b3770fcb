//! Proposals and reads of one instance's callers, from their arrival to their one answer. Bounded, and each with a
//! deadline: without a quorum a caller is told so in time, and whether its proposal may yet be decided.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{InstanceId, Sequence, SessionId, Ticket, Ticks};
use crate::replicated_state::{Command, Proposal, Reply};

/// The one answer to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// It was applied, with this reply.
    Applied(Reply),
    /// A read may be answered from the ledger as it stands now.
    ReadReady,
    /// The change of membership is done.
    MembershipChanged,
    /// Its time is up and it was never handed to the others: this proposal decides nothing.
    NotProposed,
    /// Its time is up and it may yet be decided. Sent again in the same session it is the same proposal.
    Indeterminate,
    /// The read's time is up.
    ReadTimedOut,
    /// Too much waits already; nothing was done.
    Busy,
    /// The store is nearly full: nothing new is taken on.
    StoreFull,
    /// Only the leader does this; it is the one named, as far as is known.
    NotLeader(Option<InstanceId>),
    /// It makes no sense as it stands.
    Rejected(String),
}

/// What tells a proposal when it is applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ProposalKey {
    Opening(u64),
    Within(SessionId, Sequence),
}

impl ProposalKey {
    pub(crate) fn of(proposal: &Proposal) -> Self {
        match proposal.command {
            Command::OpenSession { nonce } => ProposalKey::Opening(nonce),
            _ => ProposalKey::Within(proposal.session, proposal.sequence),
        }
    }
}

#[derive(Debug)]
struct PendingRequest {
    proposal: Proposal,
    until: Ticks,
    next: Ticks,
    handed_on: bool,
}

/// All that waits at one instance.
#[derive(Debug)]
pub(crate) struct PendingRequests {
    most: usize,
    again: u64,
    proposals: BTreeMap<Ticket, PendingRequest>,
    marks: BTreeMap<ProposalKey, BTreeSet<Ticket>>,
    reads: BTreeMap<Ticket, Ticks>,
    /// Reads that the round under way answers, with its context and when it is given up.
    round: Option<(Vec<u8>, BTreeSet<Ticket>, Ticks)>,
    ready: Vec<(u64, BTreeSet<Ticket>)>,
    answers: Vec<(Ticket, Answer)>,
}

impl PendingRequests {
    pub(crate) fn new(most: usize, again: u64) -> Self {
        Self {
            most,
            again,
            proposals: BTreeMap::new(),
            marks: BTreeMap::new(),
            reads: BTreeMap::new(),
            round: None,
            ready: Vec::new(),
            answers: Vec::new(),
        }
    }

    pub(crate) fn waiting(&self) -> usize {
        self.proposals.len() + self.reads.len()
    }

    pub(crate) fn answer(&mut self, ticket: Ticket, answer: Answer) {
        self.answers.push((ticket, answer));
    }

    pub(crate) fn take_answers(&mut self) -> Vec<(Ticket, Answer)> {
        std::mem::take(&mut self.answers)
    }

    fn room(&mut self, ticket: Ticket) -> bool {
        if self.waiting() < self.most {
            return true;
        }
        self.answer(ticket, Answer::Busy);
        false
    }

    pub(crate) fn propose(&mut self, ticket: Ticket, proposal: Proposal, now: Ticks, until: Ticks) {
        if self.room(ticket) {
            self.marks.entry(ProposalKey::of(&proposal)).or_default().insert(ticket);
            self.proposals.insert(ticket, PendingRequest { proposal, until, next: now, handed_on: false });
        }
    }

    pub(crate) fn read(&mut self, ticket: Ticket, until: Ticks) {
        if self.room(ticket) {
            self.reads.insert(ticket, until);
        }
    }

    /// Proposals that are due to be handed on, for the first time or again: a leader may have gone with them.
    pub(crate) fn due(&mut self, now: Ticks) -> Vec<(Ticket, Proposal)> {
        let again = Ticks(now.0 + self.again);
        let mut due = Vec::new();
        for (ticket, waiting) in self.proposals.iter_mut().filter(|(_, w)| w.next <= now) {
            waiting.next = again;
            due.push((*ticket, waiting.proposal.clone()));
        }
        due
    }

    /// The library took the proposal: from here on it may be decided.
    pub(crate) fn handed_on(&mut self, ticket: Ticket) {
        if let Some(waiting) = self.proposals.get_mut(&ticket) {
            waiting.handed_on = true;
        }
    }

    /// The library did not take it; it is tried again at the next tick.
    pub(crate) fn not_taken(&mut self, ticket: Ticket, now: Ticks) {
        if let Some(waiting) = self.proposals.get_mut(&ticket) {
            waiting.next = Ticks(now.0 + 1);
        }
    }

    fn remove(&mut self, ticket: Ticket) -> Option<PendingRequest> {
        let waiting = self.proposals.remove(&ticket)?;
        let mark = ProposalKey::of(&waiting.proposal);
        if let Some(tickets) = self.marks.get_mut(&mark) {
            tickets.remove(&ticket);
            if tickets.is_empty() {
                self.marks.remove(&mark);
            }
        }
        Some(waiting)
    }

    /// A proposal was applied: whoever waits for it here hears so.
    pub(crate) fn applied(&mut self, mark: ProposalKey, reply: &Reply) {
        for ticket in self.marks.get(&mark).cloned().unwrap_or_default() {
            self.remove(ticket);
            self.answer(ticket, Answer::Applied(reply.clone()));
        }
    }

    /// Reads that a new round should answer, if one is due; `context` must never have been used before, not even
    /// by an earlier run of this instance: an old answer would pass for a new one.
    pub(crate) fn begin_round(&mut self, now: Ticks, context: impl FnOnce() -> Vec<u8>) -> Option<Vec<u8>> {
        if self.reads.is_empty() || self.round.as_ref().is_some_and(|(_, _, until)| now < *until) {
            return None;
        }
        let context = context();
        let waiting =
            self.reads.keys().filter(|t| !self.ready.iter().any(|(_, set)| set.contains(t))).copied();
        let tickets: BTreeSet<Ticket> = waiting.collect();
        if tickets.is_empty() {
            return None;
        }
        self.round = Some((context.clone(), tickets, Ticks(now.0 + self.again)));
        Some(context)
    }

    /// The round's index is known: its reads may be answered once that much is applied.
    pub(crate) fn round_known(&mut self, context: &[u8], index: u64) {
        if let Some((_, tickets, _)) = self.round.take_if(|(of, _, _)| of == context) {
            self.ready.push((index, tickets));
        }
    }

    /// So much is applied.
    pub(crate) fn reads_up_to(&mut self, applied: u64) {
        let (now, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.ready).into_iter().partition(|r| r.0 <= applied);
        self.ready = later;
        for ticket in now.into_iter().flat_map(|(_, tickets)| tickets) {
            if self.reads.remove(&ticket).is_some() {
                self.answer(ticket, Answer::ReadReady);
            }
        }
    }

    /// Answers all whose time is up.
    pub(crate) fn expire(&mut self, now: Ticks) {
        let over: Vec<Ticket> =
            self.proposals.iter().filter(|(_, w)| w.until <= now).map(|(t, _)| *t).collect();
        for ticket in over {
            if let Some(waiting) = self.remove(ticket) {
                let answer = if waiting.handed_on { Answer::Indeterminate } else { Answer::NotProposed };
                self.answer(ticket, answer);
            }
        }
        let over: Vec<Ticket> =
            self.reads.iter().filter(|(_, until)| **until <= now).map(|(t, _)| *t).collect();
        for ticket in over {
            self.reads.remove(&ticket);
            self.answer(ticket, Answer::ReadTimedOut);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn proposal(sequence: u64) -> Proposal {
        let command = Command::RetireSubjects { space: "s".into(), below: 1 };
        Proposal { session: SessionId(3), sequence: Sequence(sequence), command }
    }

    #[test]
    fn each_caller_hears_once_and_whether_it_may_yet_be_decided() {
        let mut desk = PendingRequests::new(3, 10);
        desk.propose(Ticket(1), proposal(1), Ticks(0), Ticks(50));
        desk.propose(Ticket(2), proposal(2), Ticks(0), Ticks(50));
        desk.propose(Ticket(3), proposal(2), Ticks(0), Ticks(90));
        desk.read(Ticket(4), Ticks(20));
        assert_eq!(desk.take_answers(), [(Ticket(4), Answer::Busy)]);
        assert_eq!(desk.due(Ticks(0)).len(), 3);
        assert!(desk.due(Ticks(9)).is_empty());
        desk.handed_on(Ticket(2));
        desk.expire(Ticks(50));
        assert_eq!(
            desk.take_answers(),
            [(Ticket(1), Answer::NotProposed), (Ticket(2), Answer::Indeterminate)]
        );
        desk.applied(ProposalKey::of(&proposal(2)), &Reply::Done);
        desk.applied(ProposalKey::of(&proposal(2)), &Reply::Done);
        assert_eq!(desk.take_answers(), [(Ticket(3), Answer::Applied(Reply::Done))]);
        assert_eq!((desk.waiting(), desk.marks.len()), (0, 0));
    }

    #[test]
    fn a_read_is_answered_by_a_round_that_began_after_it_and_once_enough_is_applied() {
        let mut desk = PendingRequests::new(9, 10);
        desk.read(Ticket(1), Ticks(100));
        let first = desk.begin_round(Ticks(0), || vec![1]).unwrap();
        desk.read(Ticket(2), Ticks(100));
        assert_eq!(desk.begin_round(Ticks(1), || vec![2]), None, "one round at a time");
        desk.round_known(&[9], 1);
        desk.round_known(&first, 7);
        desk.reads_up_to(6);
        assert!(desk.take_answers().is_empty());
        desk.reads_up_to(7);
        assert_eq!(desk.take_answers(), [(Ticket(1), Answer::ReadReady)]);
        let second = desk.begin_round(Ticks(2), || vec![2]).unwrap();
        assert_eq!(
            desk.begin_round(Ticks(12), || vec![3]),
            Some(vec![3]),
            "a round without an answer begins anew"
        );
        desk.round_known(&second, 7);
        desk.reads_up_to(7);
        assert!(desk.take_answers().is_empty(), "the old round's answer counts for nothing");
        desk.expire(Ticks(100));
        assert_eq!(desk.take_answers(), [(Ticket(2), Answer::ReadTimedOut)]);
    }
}

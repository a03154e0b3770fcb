//! Proposals and reads of one instance's callers, from their arrival to their one answer. They are bounded, and each
//! has a deadline: without a quorum a caller gets its answer in time, and it says whether the
//! proposal may yet be decided.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{InstanceId, Sequence, SessionId, Ticket, Ticks};
use crate::replicated_state::{Command, Proposal, Reply};

/// The one answer to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The proposal was applied, with this reply.
    Applied(Reply),
    /// A read may be answered from the replicated state as it is now.
    ReadReady,
    /// The change of membership is done, or the transfer of leadership begun.
    MembershipChanged,
    /// The deadline has passed and the proposal was never given to the other instances: it decides nothing.
    NotProposed,
    /// The deadline has passed and the proposal may yet be decided. Sent again in the same session it is the same
    /// proposal.
    Indeterminate,
    /// The read's deadline has passed.
    ReadTimedOut,
    /// Too many requests wait already; nothing was done.
    Busy,
    /// The store is nearly full: nothing new is accepted.
    StoreFull,
    /// Only the leader does this; it is the one named, as far as is known.
    NotLeader(Option<InstanceId>),
    /// The request is invalid, and why.
    Rejected(String),
}

/// A caller's answer, and which request it answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TicketAnswer {
    /// The request's ticket.
    pub ticket: Ticket,
    /// Its one answer.
    pub answer: Answer,
}

/// What identifies a proposal when it is applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ProposalKey {
    /// Opens a session, with this nonce.
    OpenSession(u64),
    /// A command of an open session.
    InSession(SessionId, Sequence),
}

impl ProposalKey {
    pub(crate) fn of(proposal: &Proposal) -> Self {
        match proposal.command {
            Command::OpenSession { nonce } => ProposalKey::OpenSession(nonce),
            _ => ProposalKey::InSession(proposal.session, proposal.sequence),
        }
    }
}

#[derive(Debug)]
struct PendingProposal {
    proposal: Proposal,
    deadline: Ticks,
    /// When it is given to the Raft library next.
    next_attempt: Ticks,
    /// Whether the library ever took it: from then on it may be decided.
    forwarded: bool,
}

/// A read index request whose answer is not known yet.
#[derive(Debug)]
struct ReadRound {
    context: Vec<u8>,
    tickets: BTreeSet<Ticket>,
    /// When it is given up and another one is begun.
    retry_at: Ticks,
}

/// Reads that may be answered once so much is applied.
#[derive(Debug)]
struct ConfirmedReads {
    index: u64,
    tickets: BTreeSet<Ticket>,
}

/// All requests that wait at one instance.
#[derive(Debug)]
pub(crate) struct PendingRequests {
    max_pending: usize,
    retry_ticks: u64,
    proposals: BTreeMap<Ticket, PendingProposal>,
    tickets_by_key: BTreeMap<ProposalKey, BTreeSet<Ticket>>,
    read_deadlines: BTreeMap<Ticket, Ticks>,
    read_round: Option<ReadRound>,
    confirmed_reads: Vec<ConfirmedReads>,
    answers: Vec<TicketAnswer>,
}

impl PendingRequests {
    /// At the most `max_pending` requests, each given to the library again after `retry_ticks` without an answer.
    pub(crate) fn new(max_pending: usize, retry_ticks: u64) -> Self {
        Self {
            max_pending,
            retry_ticks,
            proposals: BTreeMap::new(),
            tickets_by_key: BTreeMap::new(),
            read_deadlines: BTreeMap::new(),
            read_round: None,
            confirmed_reads: Vec::new(),
            answers: Vec::new(),
        }
    }

    /// Proposals and reads that wait.
    pub(crate) fn len(&self) -> usize {
        self.proposals.len() + self.read_deadlines.len()
    }

    pub(crate) fn answer(&mut self, ticket: Ticket, answer: Answer) {
        self.answers.push(TicketAnswer { ticket, answer });
    }

    /// Answers since the last call, in the order in which they were given.
    pub(crate) fn take_answers(&mut self) -> Vec<TicketAnswer> {
        std::mem::take(&mut self.answers)
    }

    /// Adds a proposal that is due at once, unless too many requests wait.
    pub(crate) fn add_proposal(&mut self, ticket: Ticket, proposal: Proposal, now: Ticks, deadline: Ticks) {
        if self.is_full() {
            self.answer(ticket, Answer::Busy);
            return;
        }
        self.tickets_by_key.entry(ProposalKey::of(&proposal)).or_default().insert(ticket);
        let pending = PendingProposal { proposal, deadline, next_attempt: now, forwarded: false };
        self.proposals.insert(ticket, pending);
    }

    /// Adds a read, unless too many requests wait.
    pub(crate) fn add_read(&mut self, ticket: Ticket, deadline: Ticks) {
        if self.is_full() {
            self.answer(ticket, Answer::Busy);
            return;
        }
        self.read_deadlines.insert(ticket, deadline);
    }

    fn is_full(&self) -> bool {
        self.len() >= self.max_pending
    }

    /// Proposals that are due to be given to the library, for the first time or again: the leader that they were
    /// forwarded to may have lost them.
    pub(crate) fn due_proposals(&mut self, now: Ticks) -> Vec<(Ticket, Proposal)> {
        let next_attempt = Ticks(now.0 + self.retry_ticks);
        let mut due = Vec::new();
        for (ticket, pending) in &mut self.proposals {
            if pending.next_attempt <= now {
                pending.next_attempt = next_attempt;
                due.push((*ticket, pending.proposal.clone()));
            }
        }
        due
    }

    /// The library took the proposal: from here on it may be decided.
    pub(crate) fn mark_forwarded(&mut self, ticket: Ticket) {
        if let Some(pending) = self.proposals.get_mut(&ticket) {
            pending.forwarded = true;
        }
    }

    /// The library did not take the proposal; it is due again at the next tick.
    pub(crate) fn retry_next_tick(&mut self, ticket: Ticket, now: Ticks) {
        if let Some(pending) = self.proposals.get_mut(&ticket) {
            pending.next_attempt = Ticks(now.0 + 1);
        }
    }

    /// A proposal was applied: answers all who wait for it here.
    pub(crate) fn complete(&mut self, key: ProposalKey, reply: &Reply) {
        let tickets = self.tickets_by_key.get(&key).cloned().unwrap_or_default();
        for ticket in tickets {
            self.remove_proposal(ticket);
            self.answer(ticket, Answer::Applied(reply.clone()));
        }
    }

    fn remove_proposal(&mut self, ticket: Ticket) -> Option<PendingProposal> {
        let pending = self.proposals.remove(&ticket)?;
        let key = ProposalKey::of(&pending.proposal);
        if let Some(tickets) = self.tickets_by_key.get_mut(&key) {
            tickets.remove(&ticket);
            if tickets.is_empty() {
                self.tickets_by_key.remove(&key);
            }
        }
        Some(pending)
    }

    /// Begins a round that is to answer the reads which wait, if one is due, and returns its context. `context` must
    /// never have been used before, not even by an earlier incarnation of this instance: an old answer would pass for
    /// a new one.
    pub(crate) fn begin_read_round(
        &mut self,
        now: Ticks,
        context: impl FnOnce() -> Vec<u8>,
    ) -> Option<Vec<u8>> {
        if self.read_round.as_ref().is_some_and(|round| now < round.retry_at) {
            return None;
        }
        let tickets = self.unconfirmed_reads();
        if tickets.is_empty() {
            return None;
        }
        let context = context();
        let retry_at = Ticks(now.0 + self.retry_ticks);
        self.read_round = Some(ReadRound { context: context.clone(), tickets, retry_at });
        Some(context)
    }

    fn unconfirmed_reads(&self) -> BTreeSet<Ticket> {
        let is_confirmed = |ticket: &Ticket| self.confirmed_reads.iter().any(|r| r.tickets.contains(ticket));
        self.read_deadlines.keys().filter(|ticket| !is_confirmed(ticket)).copied().collect()
    }

    /// The round's read index is known: its reads may be answered once that much is applied.
    pub(crate) fn confirm_read_round(&mut self, context: &[u8], index: u64) {
        if let Some(round) = self.read_round.take_if(|round| round.context == context) {
            self.confirmed_reads.push(ConfirmedReads { index, tickets: round.tickets });
        }
    }

    /// Answers the confirmed reads that need no more than the entries up to `applied`.
    pub(crate) fn answer_reads_up_to(&mut self, applied: u64) {
        let confirmed = std::mem::take(&mut self.confirmed_reads);
        for reads in confirmed {
            if reads.index > applied {
                self.confirmed_reads.push(reads);
                continue;
            }
            for ticket in reads.tickets {
                if self.read_deadlines.remove(&ticket).is_some() {
                    self.answer(ticket, Answer::ReadReady);
                }
            }
        }
    }

    /// Answers all requests whose deadline has passed.
    pub(crate) fn expire(&mut self, now: Ticks) {
        self.expire_proposals(now);
        self.expire_reads(now);
    }

    fn expire_proposals(&mut self, now: Ticks) {
        let expired: Vec<Ticket> = (self.proposals.iter())
            .filter(|(_, pending)| pending.deadline <= now)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in expired {
            let Some(pending) = self.remove_proposal(ticket) else { continue };
            let answer = if pending.forwarded { Answer::Indeterminate } else { Answer::NotProposed };
            self.answer(ticket, answer);
        }
    }

    fn expire_reads(&mut self, now: Ticks) {
        let expired: Vec<Ticket> = (self.read_deadlines.iter())
            .filter(|(_, deadline)| **deadline <= now)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in expired {
            self.read_deadlines.remove(&ticket);
            self.answer(ticket, Answer::ReadTimedOut);
        }
    }
}

#[cfg(test)]
mod tests;

//! Proposals and reads of one instance's callers, from arrival to answer. Each request receives exactly one
//! answer.
//!
//! The number of requests is bounded, and each has a deadline: even without a quorum a caller receives its
//! answer in time, and the answer states whether the proposal may still be decided.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{InstanceId, Sequence, SessionId, Ticket, Ticks};
use crate::replicated_state::{Command, Proposal, Reply};

/// The answer to a request; each request receives exactly one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// Proposal applied, with this reply.
    Applied(Reply),
    /// Read that may now be answered from the replicated state.
    ReadReady,
    /// Membership change complete, or leadership transfer started.
    MembershipChanged,
    /// Deadline passed without the proposal being sent to the other instances: it will not be decided.
    NotProposed,
    /// Deadline passed for a proposal that may still be decided. The caller can safely send it again in the
    /// same session, where it is deduplicated.
    Indeterminate,
    /// Deadline of a read passed.
    ReadTimedOut,
    /// Request rejected because too many requests are waiting; it had no effect.
    Busy,
    /// Request rejected because the store is nearly full.
    StoreFull,
    /// Request rejected because this instance is not the leader. The value is the leader, if known.
    NotLeader(Option<InstanceId>),
    /// Request rejected, with the reason.
    Rejected(String),
}

/// An answer and the ticket of its request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TicketAnswer {
    /// Ticket of the request.
    pub ticket: Ticket,
    /// The answer to the request.
    pub answer: Answer,
}

/// The key that identifies a proposal when it is applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ProposalKey {
    /// Request to open a session, with this nonce.
    OpenSession(u64),
    /// Command in an open session.
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
    /// Time at which it is next passed to the Raft library.
    next_attempt: Ticks,
    /// Whether the library has ever accepted it, after which it may be decided.
    forwarded: bool,
}

/// A read index request that is not answered yet.
#[derive(Debug)]
struct ReadRound {
    context: Vec<u8>,
    tickets: BTreeSet<Ticket>,
    /// Time at which it is abandoned and another one may start.
    retry_at: Ticks,
}

/// Reads that may be answered once the entry at `index` is applied.
#[derive(Debug)]
struct ConfirmedReads {
    index: u64,
    tickets: BTreeSet<Ticket>,
}

/// The requests that wait for an answer at one instance.
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
    /// Creates an empty set of at most `max_pending` requests. A request without an answer is passed to the
    /// library again after `retry_ticks`.
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

    /// Returns the number of waiting proposals and reads.
    pub(crate) fn len(&self) -> usize {
        self.proposals.len() + self.read_deadlines.len()
    }

    pub(crate) fn answer(&mut self, ticket: Ticket, answer: Answer) {
        self.answers.push(TicketAnswer { ticket, answer });
    }

    /// Returns the answers given since the last call, in order.
    pub(crate) fn take_answers(&mut self) -> Vec<TicketAnswer> {
        std::mem::take(&mut self.answers)
    }

    /// Adds a proposal, which is due immediately. If too many requests are waiting, it is answered with
    /// [`Answer::Busy`] instead.
    pub(crate) fn add_proposal(&mut self, ticket: Ticket, proposal: Proposal, now: Ticks, deadline: Ticks) {
        if self.is_full() {
            self.answer(ticket, Answer::Busy);
            return;
        }
        self.tickets_by_key.entry(ProposalKey::of(&proposal)).or_default().insert(ticket);
        let pending = PendingProposal { proposal, deadline, next_attempt: now, forwarded: false };
        self.proposals.insert(ticket, pending);
    }

    /// Adds a read. If too many requests are waiting, it is answered with [`Answer::Busy`] instead.
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

    /// Returns the proposals to pass to the library now, for the first time or as a retry: the leader to
    /// which they were forwarded may have lost them.
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

    /// Records that the library has accepted a proposal, which may be decided from then on.
    pub(crate) fn mark_forwarded(&mut self, ticket: Ticket) {
        if let Some(pending) = self.proposals.get_mut(&ticket) {
            pending.forwarded = true;
        }
    }

    /// Schedules a proposal that the library has rejected for the next tick.
    pub(crate) fn retry_next_tick(&mut self, ticket: Ticket, now: Ticks) {
        if let Some(pending) = self.proposals.get_mut(&ticket) {
            pending.next_attempt = Ticks(now.0 + 1);
        }
    }

    /// Answers all requests that wait for a proposal, which has been applied.
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

    /// Starts a round that confirms the waiting reads, if one is due, and returns its context. `context` must
    /// return a value that was never used before, even by an earlier incarnation of this instance, or else an
    /// old answer could be mistaken for a new one.
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

    /// Records the read index of a round. Its reads may be answered once the entry at that index is applied.
    pub(crate) fn confirm_read_round(&mut self, context: &[u8], index: u64) {
        if let Some(round) = self.read_round.take_if(|round| round.context == context) {
            self.confirmed_reads.push(ConfirmedReads { index, tickets: round.tickets });
        }
    }

    /// Answers the confirmed reads whose read index is at most `applied`.
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

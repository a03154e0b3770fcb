//! Proposals and linearizable reads of this instance's callers.

use super::codec::encode;
use super::random::split_mix_64;
use super::{RaftNode, StorageHeadroom};
use crate::ids::{InstanceId, Sequence, SessionId, Ticket, Ticks};
use crate::pending_requests::{Answer, TicketAnswer};
use crate::replicated_state::{Command, Proposal};

/// Bits that the incarnation is shifted by in a nonce: an incarnation may make 2^40 of them before two collide.
const NONCE_COUNTER_BITS: u32 = 40;

impl RaftNode {
    /// A number that no other command of this cluster has, for [`Command::OpenSession`].
    pub fn nonce(&mut self) -> u64 {
        self.counter += 1;
        split_mix_64(self.id.0) ^ split_mix_64(self.incarnation << NONCE_COUNTER_BITS | self.counter)
    }

    /// Proposes; the answer comes within `within` ticks.
    pub fn propose(&mut self, ticket: Ticket, proposal: Proposal, within: u64) {
        if self.headroom == StorageHeadroom::Low {
            self.pending.answer(ticket, Answer::StoreFull);
            return;
        }
        let deadline = self.deadline(within);
        self.pending.add_proposal(ticket, proposal, self.now, deadline);
        self.forward_pending();
    }

    /// Opens a session for a proposer; the answer comes within `within` ticks.
    pub fn open_session(&mut self, ticket: Ticket, within: u64) {
        let command = Command::OpenSession { nonce: self.nonce() };
        let proposal = Proposal { session: SessionId(0), sequence: Sequence(0), command };
        self.propose(ticket, proposal, within);
    }

    /// Asks for a moment at which the replicated state here holds everything that was decided before this call. The
    /// answer comes within `within` ticks.
    pub fn read(&mut self, ticket: Ticket, within: u64) {
        self.pending.add_read(ticket, self.deadline(within));
        self.forward_pending();
    }

    /// Answers since the last call, one for each ticket.
    pub fn take_answers(&mut self) -> Vec<TicketAnswer> {
        self.pending.take_answers()
    }

    /// The tick by which a request that comes now is answered: the next one at the earliest.
    pub(super) fn deadline(&self, within: u64) -> Ticks {
        Ticks(self.now.0 + within.max(1))
    }

    /// Gives the Raft library the proposals and reads that are due, for the first time or again.
    pub(super) fn forward_pending(&mut self) {
        for (ticket, proposal) in self.pending.due_proposals(self.now) {
            match self.raw.propose(Vec::new(), encode(&proposal)) {
                Ok(()) => self.pending.mark_forwarded(ticket),
                Err(_) => self.pending.retry_next_tick(ticket, self.now),
            }
        }
        self.begin_read_round();
    }

    fn begin_read_round(&mut self) {
        let id = self.id;
        let incarnation = self.incarnation;
        let counter = self.counter + 1;
        let context = || read_context(id, incarnation, counter);
        if let Some(context) = self.pending.begin_read_round(self.now, context) {
            self.counter = counter;
            self.raw.read_index(context);
        }
    }
}

/// What tells one round of reads from every other. The incarnation is part of it: an answer to a read of an earlier
/// incarnation must not pass for one of this incarnation's.
fn read_context(id: InstanceId, incarnation: u64, counter: u64) -> Vec<u8> {
    [id.0, incarnation, counter].iter().flat_map(|number| number.to_le_bytes()).collect()
}

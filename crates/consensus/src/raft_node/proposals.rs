//! Proposals and linearizable reads from this instance's callers.

use super::codec::encode;
use super::random::split_mix_64;
use super::{RaftNode, StorageHeadroom};
use crate::ids::{InstanceId, Sequence, SessionId, Ticket, Ticks};
use crate::pending_requests::{Answer, TicketAnswer};
use crate::replicated_state::{Command, Proposal};

/// Number of low bits of a nonce that contain the counter. An incarnation can generate 2^40 nonces before
/// they may collide with those of another incarnation.
const NONCE_COUNTER_BITS: u32 = 40;

impl RaftNode {
    /// Generates the nonce of a [`Command::OpenSession`], which no other command in the cluster uses.
    pub fn next_nonce(&mut self) -> u64 {
        self.counter += 1;
        split_mix_64(self.id.0) ^ split_mix_64(self.incarnation << NONCE_COUNTER_BITS | self.counter)
    }

    /// Proposes a command. The answer follows within `timeout` ticks.
    pub fn propose(&mut self, ticket: Ticket, proposal: Proposal, timeout: u64) {
        if self.headroom == StorageHeadroom::Low {
            self.pending.answer(ticket, Answer::StoreFull);
            return;
        }
        let deadline = self.deadline(timeout);
        self.pending.add_proposal(ticket, proposal, self.now, deadline);
        self.forward_pending();
    }

    /// Opens a session for a proposer. The answer follows within `timeout` ticks.
    pub fn open_session(&mut self, ticket: Ticket, timeout: u64) {
        let command = Command::OpenSession { nonce: self.next_nonce() };
        let proposal = Proposal { session: SessionId(0), sequence: Sequence(0), command };
        self.propose(ticket, proposal, timeout);
    }

    /// Requests a linearizable read: once it is answered, this instance's replicated state contains
    /// everything that was decided before this call. The answer follows within `timeout` ticks.
    pub fn read(&mut self, ticket: Ticket, timeout: u64) {
        self.pending.add_read(ticket, self.deadline(timeout));
        self.forward_pending();
    }

    /// Returns the answers given since the last call, one for each ticket.
    pub fn take_answers(&mut self) -> Vec<TicketAnswer> {
        self.pending.take_answers()
    }

    /// Returns the deadline of a request that arrives now, at the earliest the next tick.
    pub(super) fn deadline(&self, timeout: u64) -> Ticks {
        Ticks(self.now.0 + timeout.max(1))
    }

    /// Forwards the proposals and reads that are due to the Raft library, for the first time or as a retry.
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

/// Returns the unique context of a read round. It contains the incarnation, so that an answer to a round of
/// an earlier incarnation is not mistaken for an answer to one of this incarnation.
fn read_context(id: InstanceId, incarnation: u64, counter: u64) -> Vec<u8> {
    [id.0, incarnation, counter].iter().flat_map(|number| number.to_le_bytes()).collect()
}

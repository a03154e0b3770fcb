//! Work of an instance as the lease holder: it dispatches orders, sends them to the gate and resolves those that are in
//! doubt.

use garnetcrank_consensus::ids::{Epoch, Ticks};
use garnetcrank_consensus::lease_client::LeaseAction;
use garnetcrank_consensus::pending_requests::Answer;
use garnetcrank_consensus::proposal_queue::{NextProposal, ProposalOutcome};
use garnetcrank_consensus::replicated_state::{Command, Reply, SubjectState};

use super::instance::{Process, TicketOwner};
use super::network::Packet;
use super::{ORDERS, order, role};

/// Steps between the due times of successive orders.
const STEPS_PER_ORDER: u64 = 12;
/// Maximum number of orders that a holder works on at once.
const MAX_ORDERS_IN_PROGRESS: usize = 4;
/// Steps after which a request to the gate is sent again.
const GATE_RETRY_STEPS: u64 = 25;
/// Ticks for which one of the instance's own proposals waits for its answer.
const PROPOSAL_TICKS: u64 = 20;

/// Progress of a holder on an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OrderProgress {
    Dispatching,
    /// Dispatched under this epoch; sent to the gate again at step `next_at`.
    Sending {
        epoch: Epoch,
        next_at: u64,
    },
    /// Dispatched under an older epoch; the gate is queried again at step `next_at` whether the order was executed.
    InDoubt {
        next_at: u64,
    },
    Resolving,
}

/// Purpose of one of the instance's own proposals.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ProposalPurpose {
    Lease,
    DispatchOrder(u64),
    ResolveOrder(u64),
}

impl Process {
    /// Runs this step's work on the lease and, as the holder, on orders; returns the packets for the gate.
    pub(super) fn advance_lease_and_orders(&mut self, now: u64) -> Vec<Packet> {
        let ticks = self.node.now();
        let mut to_gate = Vec::new();
        to_gate.extend(self.poll_lease(ticks));
        match self.lease_client.valid_epoch(ticks) {
            Some(epoch) => to_gate.extend(self.work_on_orders(epoch, now)),
            None => self.orders.clear(),
        }
        self.send_proposal();
        to_gate
    }

    fn poll_lease(&mut self, ticks: Ticks) -> Option<Packet> {
        let lease = self.node.state().lease(&role());
        match self.lease_client.poll(ticks, lease)? {
            LeaseAction::Propose(command) => {
                // With a full queue the lease client gets no answer, as for a proposal whose answer is lost.
                let _ = self.proposals.submit(ProposalPurpose::Lease, command);
                None
            }
            LeaseAction::ObserveEpoch(epoch) => Some(Packet::ObserveEpoch(epoch)),
        }
    }

    fn send_proposal(&mut self) {
        match self.proposals.next_proposal() {
            Some(NextProposal::OpenSession) => {
                let ticket = self.new_ticket(TicketOwner::ProposalQueue);
                self.node.open_session(ticket, PROPOSAL_TICKS);
            }
            Some(NextProposal::Propose(proposal)) => {
                let ticket = self.new_ticket(TicketOwner::ProposalQueue);
                self.node.propose(ticket, proposal, PROPOSAL_TICKS);
            }
            None => {}
        }
    }

    fn work_on_orders(&mut self, epoch: Epoch, now: u64) -> Vec<Packet> {
        let due_orders = ORDERS.min(now / STEPS_PER_ORDER + 1);
        (0..due_orders).filter_map(|number| self.work_on_order(epoch, now, number)).collect()
    }

    fn work_on_order(&mut self, epoch: Epoch, now: u64, number: u64) -> Option<Packet> {
        let state = self.node.state().subject_state(&order(number)).cloned();
        let next_at = now + GATE_RETRY_STEPS;
        match (self.orders.get(&number).copied(), state) {
            (_, Some(SubjectState::Executed(_))) => {
                self.orders.remove(&number);
                None
            }
            (None, None) => {
                if self.orders.len() < MAX_ORDERS_IN_PROGRESS {
                    self.dispatch(epoch, number);
                }
                None
            }
            (None, Some(SubjectState::Dispatched(dispatched_under))) => {
                let progress = if dispatched_under < epoch {
                    OrderProgress::InDoubt { next_at: now }
                } else {
                    OrderProgress::Sending { epoch: dispatched_under, next_at: now }
                };
                self.orders.insert(number, progress);
                None
            }
            (Some(OrderProgress::Sending { epoch, next_at: due }), _) if due <= now => {
                self.orders.insert(number, OrderProgress::Sending { epoch, next_at });
                Some(Packet::SubmitOrder { epoch, order: number })
            }
            (Some(OrderProgress::InDoubt { next_at: due }), _) if due <= now => {
                self.orders.insert(number, OrderProgress::InDoubt { next_at });
                Some(Packet::QueryOrder { epoch, order: number })
            }
            _ => None,
        }
    }

    fn dispatch(&mut self, epoch: Epoch, number: u64) {
        let command = Command::DispatchOrder { role: role(), epoch, order: order(number) };
        if self.proposals.submit(ProposalPurpose::DispatchOrder(number), command).is_ok() {
            self.orders.insert(number, OrderProgress::Dispatching);
        }
    }

    fn resolve(&mut self, epoch: Epoch, number: u64, executed: bool) {
        let command = Command::ResolveOrder { role: role(), epoch, order: order(number), executed };
        if self.proposals.submit(ProposalPurpose::ResolveOrder(number), command).is_ok() {
            self.orders.insert(number, OrderProgress::Resolving);
        }
    }

    /// Resolves as executed an order that the gate has admitted under this epoch.
    pub(super) fn on_order_admitted(&mut self, sent_under: Epoch, number: u64) {
        if let Some(OrderProgress::Sending { epoch, .. }) = self.orders.get(&number)
            && *epoch == sent_under
        {
            self.resolve(sent_under, number, true);
        }
    }

    /// Resolves an order in doubt by the gate's reply whether it was executed.
    pub(super) fn on_order_status(&mut self, epoch: Epoch, number: u64, executed: bool) {
        if let Some(OrderProgress::InDoubt { .. }) = self.orders.get(&number) {
            self.resolve(epoch, number, executed);
        }
    }

    /// Handles the answer to one of the instance's own proposals.
    pub(super) fn on_proposal_answer(&mut self, now: u64, answer: Answer) {
        let ticks = self.node.now();
        let Some((purpose, outcome)) = self.proposals.on_answer(answer) else { return };
        match (purpose, outcome) {
            (ProposalPurpose::Lease, ProposalOutcome::Applied(reply)) => {
                self.lease_client.on_answer(ticks, &Answer::Applied(reply));
            }
            (ProposalPurpose::Lease, _) => self.lease_client.on_answer(ticks, &Answer::Indeterminate),
            (ProposalPurpose::DispatchOrder(number), ProposalOutcome::Applied(Reply::Dispatched(epoch))) => {
                if self.lease_client.valid_epoch(ticks) == Some(epoch) {
                    self.orders.insert(number, OrderProgress::Sending { epoch, next_at: now });
                }
            }
            // In all other cases the next step derives the progress of the order from the replicated state.
            (ProposalPurpose::DispatchOrder(number) | ProposalPurpose::ResolveOrder(number), _) => {
                self.orders.remove(&number);
            }
        }
    }
}

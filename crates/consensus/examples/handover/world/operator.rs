//! Simulated operator who replaces a member whose disk was lost.

use garnetcrank_consensus::membership::MembershipChange;
use garnetcrank_consensus::pending_requests::Answer;

use super::World;
use super::instance::TicketOwner;

/// Steps after which the operator sends an unanswered request again.
const RETRY_STEPS: u64 = 80;
/// Ticks for which a request waits for its answer.
const REQUEST_TICKS: u64 = 60;

/// Membership change that the operator has to make.
#[derive(Debug)]
struct Replacement {
    change: MembershipChange,
    /// Step of the last request; none if there was none or it was answered.
    requested_at: Option<u64>,
}

/// Remaining membership changes, in order.
#[derive(Debug, Default)]
pub(super) struct Replacements(Vec<Replacement>);

impl Replacements {
    pub(super) fn new(changes: [MembershipChange; 2]) -> Self {
        Self(changes.map(|change| Replacement { change, requested_at: None }).into())
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(super) fn on_answer(&mut self, answer: &Answer) {
        let Some(first) = self.0.first_mut() else { return };
        if *answer == Answer::MembershipChanged && first.requested_at.is_some() {
            self.0.remove(0);
        } else {
            first.requested_at = None;
        }
    }
}

impl World {
    /// Requests the next membership change from the leader: first the removal of the member whose disk was lost, then
    /// the addition of its machine under a new id.
    pub(super) fn step_operator(&mut self) {
        let now = self.now;
        let Some(next) = self.replacements.0.first_mut() else { return };
        if next.requested_at.is_some_and(|requested_at| now < requested_at + RETRY_STEPS) {
            return;
        }
        for instance in &mut self.instances {
            let Some(process) = &mut instance.process else { continue };
            if process.node.is_leader() && instance.frozen_until <= now {
                let ticket = process.new_ticket(TicketOwner::Operator);
                process.node.change_membership(ticket, next.change.clone(), REQUEST_TICKS);
                next.requested_at = Some(now);
                return;
            }
        }
    }
}

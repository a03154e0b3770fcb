//! An operator who replaces the member whose disk was lost.

use garnetcrank_consensus::membership::MembershipChange;
use garnetcrank_consensus::pending_requests::Answer;

use super::World;
use super::instance::TicketOwner;

/// Steps after which the operator asks again.
const RETRY_STEPS: u64 = 80;
/// Ticks that the operator waits for an answer.
const REQUEST_TICKS: u64 = 60;

/// A change of membership that the operator has to make.
#[derive(Debug)]
struct Replacement {
    change: MembershipChange,
    /// When it was last asked for, unless it was answered.
    requested_at: Option<u64>,
}

/// Changes of membership that are left to make, in order.
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
    /// Removes the member whose disk was lost and adds the machine anew, at whichever instance leads.
    pub(super) fn operator_turn(&mut self) {
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

//! Membership changes and leadership transfers, which only the leader performs.

use raft::eraftpb::{ConfChange, ConfChangeType};

use super::codec::encode;
use super::{PendingMembershipChange, RaftNode};
use crate::ids::{InstanceId, Ticket};
use crate::membership::{self, ChangeContext, ChangeDecision, ChangeOrigin, MembershipChange};
use crate::pending_requests::Answer;
use crate::replicated_state::Member;

/// Maximum number of entries that a learner may lack when it is promoted to a voter. The leader keeps
/// appending entries while earlier ones are in transit, so a learner required to have all of them might never
/// be promoted.
const MAX_PROMOTION_LAG_ENTRIES: u64 = 16;

impl RaftNode {
    /// Requests a membership change, which only the leader performs. The answer follows within `timeout`
    /// ticks.
    pub fn change_membership(&mut self, ticket: Ticket, change: MembershipChange, timeout: u64) {
        if !self.is_leader() {
            self.pending.answer(ticket, Answer::NotLeader(self.leader()));
            return;
        }
        if self.membership_request.is_some() || self.raw.raft.has_pending_conf() {
            let reason = "another change is under way: one at a time".to_owned();
            self.pending.answer(ticket, Answer::Rejected(reason));
            return;
        }
        let members: Vec<Member> = self.state.members().cloned().collect();
        let decision = membership::decide_change(&change, self.id, &members, &self.peer_progress());
        let (kind, id) = match decision {
            Ok(ChangeDecision::AddLearner(id)) => (ConfChangeType::AddLearnerNode, id),
            Ok(ChangeDecision::Remove(id)) => (ConfChangeType::RemoveNode, id),
            Ok(ChangeDecision::AlreadyDone) => {
                self.pending.answer(ticket, Answer::MembershipChanged);
                return;
            }
            Err(error) => {
                self.pending.answer(ticket, Answer::Rejected(error.to_string()));
                return;
            }
        };
        let origin = ChangeOrigin { instance: self.id, incarnation: self.incarnation, ticket };
        let context = ChangeContext { origin, change };
        match self.propose_conf_change(kind, id, Some(&context)) {
            Ok(()) => {
                let deadline = self.deadline(timeout);
                self.membership_request = Some(PendingMembershipChange { ticket, deadline });
            }
            Err(error) => self.pending.answer(ticket, Answer::Rejected(error.to_string())),
        }
    }

    /// Transfers leadership to another voter. The answer confirms that the transfer has started, not that it
    /// is complete.
    pub fn transfer_leadership(&mut self, ticket: Ticket, transferee: InstanceId) {
        let answer = if !self.is_leader() {
            Answer::NotLeader(self.leader())
        } else if !self.is_voter(transferee) {
            Answer::Rejected(format!("{:016x} does not vote", transferee.0))
        } else {
            self.raw.transfer_leader(transferee.0);
            Answer::MembershipChanged
        };
        self.pending.answer(ticket, answer);
    }

    /// Promotes a learner that has caught up, so that it becomes a voter. Runs once per heartbeat interval.
    pub(super) fn promote_learner(&mut self) {
        let due = self.now.0.is_multiple_of(self.settings.heartbeat_ticks as u64);
        if !due || self.conf_state.learners.is_empty() || !self.is_leader() {
            return;
        }
        if self.raw.raft.has_pending_conf() {
            return;
        }
        let peers = self.peer_progress();
        let ready = membership::caught_up_learner(&peers, self.log.last_index(), MAX_PROMOTION_LAG_ENTRIES);
        if let Some(id) = ready {
            // If the library rejects the proposal now, it is made again at the next heartbeat.
            let _ = self.propose_conf_change(ConfChangeType::AddNode, id, None);
        }
    }

    /// Answers the pending request if its deadline has passed. The change may still be committed later.
    pub(super) fn expire_membership_request(&mut self) {
        let Some(request) = &self.membership_request else { return };
        if self.now < request.deadline {
            return;
        }
        let ticket = request.ticket;
        self.membership_request = None;
        self.pending.answer(ticket, Answer::Indeterminate);
    }

    /// Answers the pending request if a committed change originates from it.
    pub(super) fn complete_membership_request(&mut self, origin: ChangeOrigin) {
        if (origin.instance, origin.incarnation) != (self.id, self.incarnation) {
            return;
        }
        let Some(request) = &self.membership_request else { return };
        if request.ticket == origin.ticket {
            self.membership_request = None;
            self.pending.answer(origin.ticket, Answer::MembershipChanged);
        }
    }

    fn propose_conf_change(
        &mut self,
        kind: ConfChangeType,
        id: InstanceId,
        context: Option<&ChangeContext>,
    ) -> raft::Result<()> {
        let mut change = ConfChange { node_id: id.0, ..ConfChange::default() };
        change.set_change_type(kind);
        if let Some(context) = context {
            change.context = encode(context).into();
        }
        self.raw.propose_conf_change(Vec::new(), change)
    }
}

//! Application of committed entries to the replicated state.

use protobuf::Message as _;
use raft::eraftpb::{ConfChange, Entry, EntryType};

use super::{RaftNode, RaftNodeError};
use crate::ids::{Index, Term};
use crate::membership::{ChangeContext, MembershipChange};
use crate::pending_requests::ProposalKey;
use crate::replicated_state::Proposal;

/// An entry that was applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AppliedEntry {
    /// Index of the entry.
    pub index: Index,
    /// Term of the leader that proposed the entry.
    pub term: Term,
}

impl RaftNode {
    /// Returns the entries applied since the last call, in order.
    pub fn take_applied(&mut self) -> Vec<AppliedEntry> {
        std::mem::take(&mut self.applied_entries)
    }

    pub(super) fn apply_entries(&mut self, entries: Vec<Entry>) -> Result<(), RaftNodeError> {
        for entry in entries {
            let index = Index(entry.index);
            self.applied_entries.push(AppliedEntry { index, term: Term(entry.term) });
            match entry.get_entry_type() {
                // The first entry of a leader in its term contains no proposal.
                EntryType::EntryNormal if entry.data.is_empty() => self.state.skip(index),
                EntryType::EntryNormal => self.apply_proposal(index, &entry)?,
                EntryType::EntryConfChange => self.apply_conf_change(index, &entry)?,
                EntryType::EntryConfChangeV2 => return Err(RaftNodeError::JointConfChange { index }),
            }
            self.raw.advance_apply_to(index.0);
        }
        self.pending.answer_reads_up_to(self.state.applied().0);
        Ok(())
    }

    fn apply_proposal(&mut self, index: Index, entry: &Entry) -> Result<(), RaftNodeError> {
        let proposal: Proposal = postcard::from_bytes(&entry.data)
            .map_err(|source| RaftNodeError::UnreadableProposal { index, source })?;
        let reply = self.state.apply(index, &proposal);
        self.pending.complete(ProposalKey::of(&proposal), &reply);
        Ok(())
    }

    fn apply_conf_change(&mut self, index: Index, entry: &Entry) -> Result<(), RaftNodeError> {
        let mut change = ConfChange::default();
        change
            .merge_from_bytes(&entry.data)
            .map_err(|source| RaftNodeError::UnreadableConfChange { index, source })?;
        self.conf_state = self.raw.apply_conf_change(&change)?;
        self.state.skip(index);
        // The promotion of a learner has no context and does not change the member list.
        if change.context.is_empty() {
            return Ok(());
        }
        let context: ChangeContext = postcard::from_bytes(&change.context)
            .map_err(|source| RaftNodeError::UnreadableMembershipChange { index, source })?;
        match context.change {
            MembershipChange::Add(member) => {
                self.state.add_member(index, member);
                // A new member rejects any snapshot that does not list it, and all existing ones predate it.
                self.compact_now();
            }
            MembershipChange::Remove(id) => self.state.remove_member(index, id),
        }
        self.complete_membership_request(context.origin);
        Ok(())
    }
}

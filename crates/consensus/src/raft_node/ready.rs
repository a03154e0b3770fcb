//! Pending writes and messages, and the steps that follow once a write is durable.

use garnetcrank_store as store;
use raft::eraftpb::{HardState, Message, Snapshot};

use super::{RaftNode, RaftNodeError};
use crate::raft_log;

/// Work for the caller, which makes `batch` durable and then calls [`RaftNode::on_persisted`]. It may send
/// `messages` at any time.
#[derive(Debug, Default)]
pub struct Ready {
    /// Batch that must be durable before [`RaftNode::on_persisted`] is called; it may be empty.
    pub batch: store::Batch,
    /// Messages that do not depend on the write.
    pub messages: Vec<Message>,
}

/// A write that the caller has received and that is not durable yet.
#[derive(Default)]
pub(super) struct PendingWrite {
    /// Number of the Raft library's `Ready` that the write belongs to; 0 if there is none.
    number: u64,
    /// Snapshot from the leader that replaces the log with this write.
    pub(super) installed_snapshot: Option<Snapshot>,
    /// Messages that depend on the write: votes and acknowledgements of entries.
    messages_after: Vec<Message>,
}

impl RaftNode {
    /// Returns the next writes and messages, if there are any. Returns `None` until
    /// [`RaftNode::on_persisted`] is called for the previous ones. Messages and ticks are accepted in
    /// between, so that a slow disk does not block a leader's heartbeats.
    ///
    /// # Errors
    /// A committed entry can't be decoded or applied, and this instance can't continue.
    pub fn ready(&mut self) -> Result<Option<Ready>, RaftNodeError> {
        if self.pending_write.is_some() {
            return Ok(None);
        }
        if !self.raw.has_ready() {
            return Ok(self.ready_without_library());
        }
        let mut output = Ready { messages: std::mem::take(&mut self.outbound), ..Ready::default() };
        let mut ready = self.raw.ready();
        output.messages.extend(ready.take_messages());
        output.batch.snapshot = self.unsaved_snapshot.take();
        let mut write = PendingWrite { number: ready.number(), ..PendingWrite::default() };
        if !ready.snapshot().is_empty() {
            output.batch.snapshot = Some(raft_log::to_stored_snapshot(ready.snapshot()));
            write.installed_snapshot = Some(ready.snapshot().clone());
            self.log.install(ready.snapshot().clone());
        }
        output.batch.entries = ready.entries().iter().map(raft_log::to_log_entry).collect();
        self.log.append(ready.entries());
        if let Some(hard_state) = ready.hs() {
            output.batch.hard_state = Some(to_stored_hard_state(hard_state));
            self.log.set_hard_state(hard_state.clone());
        }
        for read in ready.take_read_states() {
            self.pending.confirm_read_round(&read.request_ctx, read.index);
        }
        write.messages_after = ready.take_persisted_messages();
        // The library returns only committed entries that are already durable on this instance.
        let committed = ready.take_committed_entries();
        self.raw.advance_append_async(ready);
        self.apply_entries(committed)?;
        self.pending_write = Some(write);
        Ok(Some(output))
    }

    /// Returns the remaining writes and messages when the library has nothing new.
    fn ready_without_library(&mut self) -> Option<Ready> {
        let messages = std::mem::take(&mut self.outbound);
        let batch = store::Batch { snapshot: self.unsaved_snapshot.take(), ..store::Batch::default() };
        if batch.is_empty() && messages.is_empty() {
            return None;
        }
        self.pending_write = Some(PendingWrite::default());
        Some(Ready { batch, messages })
    }

    /// Handles the completion of the last [`Ready`], whose batch is now durable.
    ///
    /// # Errors
    /// A snapshot from the leader can't be decoded, and this instance can't continue.
    pub fn on_persisted(&mut self) -> Result<(), RaftNodeError> {
        let Some(write) = self.pending_write.take() else { return Ok(()) };
        if write.number > 0 {
            self.raw.on_persist_ready(write.number);
        }
        if let Some(snapshot) = &write.installed_snapshot {
            self.restore_snapshot(snapshot)?;
        }
        self.outbound.extend(write.messages_after);
        self.set_seeded_election_timeout();
        self.compact_if_due();
        Ok(())
    }
}

fn to_stored_hard_state(hard_state: &HardState) -> store::HardState {
    store::HardState { term: hard_state.term, vote: hard_state.vote, commit: hard_state.commit }
}

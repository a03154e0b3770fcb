//! What is to be written and sent, and what follows once a write is durable.

use garnetcrank_store as store;
use raft::eraftpb::{HardState, Message, Snapshot};

use super::{RaftNode, RaftNodeError};
use crate::raft_log;

/// What is to be done now: write `batch` durably, send `messages` at any time, then call
/// [`RaftNode::on_persisted`].
#[derive(Debug, Default)]
pub struct Ready {
    /// To be durable before [`RaftNode::on_persisted`] is called; may be empty.
    pub batch: store::Batch,
    /// Messages that need not wait for the write.
    pub messages: Vec<Message>,
}

/// A write that was given out and is not durable yet.
#[derive(Default)]
pub(super) struct PendingWrite {
    /// The library's number of the ready that it belongs to; 0 if it comes from no ready.
    number: u64,
    /// A snapshot of the leader's that replaces the log with this write.
    pub(super) installed_snapshot: Option<Snapshot>,
    /// Messages that promise what the write makes durable: votes, and that entries are held.
    messages_after: Vec<Message>,
}

impl RaftNode {
    /// What is to be written and sent now, if anything. There is no more until [`RaftNode::on_persisted`] is called;
    /// messages and ticks may come in between, so a slow device does not keep a leader from sending heartbeats.
    ///
    /// # Errors
    /// What was committed can't be decoded or applied: this instance can't go on.
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
            output.batch.snapshot = Some(raft_log::to_stored(ready.snapshot()));
            write.installed_snapshot = Some(ready.snapshot().clone());
            self.log.install(ready.snapshot().clone());
        }
        output.batch.entries = ready.entries().iter().map(raft_log::to_record).collect();
        self.log.append(ready.entries());
        if let Some(hard) = ready.hs() {
            output.batch.hard_state = Some(to_stored_hard_state(hard));
            self.log.set_hard_state(hard.clone());
        }
        for read in ready.take_read_states() {
            self.pending.confirm_read_round(&read.request_ctx, read.index);
        }
        write.messages_after = ready.take_persisted_messages();
        // All of these are durable here already: the library gives no others.
        let committed = ready.take_committed_entries();
        self.raw.advance_append_async(ready);
        self.apply_entries(committed)?;
        self.pending_write = Some(write);
        Ok(Some(output))
    }

    /// What is left to write and send when the library has nothing new.
    fn ready_without_library(&mut self) -> Option<Ready> {
        let messages = std::mem::take(&mut self.outbound);
        let batch = store::Batch { snapshot: self.unsaved_snapshot.take(), ..store::Batch::default() };
        if batch.is_empty() && messages.is_empty() {
            return None;
        }
        self.pending_write = Some(PendingWrite::default());
        Some(Ready { batch, messages })
    }

    /// The batch of the last [`Ready`] is durable.
    ///
    /// # Errors
    /// A snapshot of the leader's can't be decoded: this instance can't go on.
    pub fn on_persisted(&mut self) -> Result<(), RaftNodeError> {
        let Some(write) = self.pending_write.take() else { return Ok(()) };
        if write.number > 0 {
            self.raw.on_persist_ready(write.number);
        }
        if let Some(snapshot) = &write.installed_snapshot {
            self.restore_snapshot(snapshot)?;
        }
        self.outbound.extend(write.messages_after);
        self.seed_election_timeout();
        self.compact_if_due();
        Ok(())
    }
}

fn to_stored_hard_state(hard: &HardState) -> store::HardState {
    store::HardState { term: hard.term, vote: hard.vote, commit: hard.commit }
}

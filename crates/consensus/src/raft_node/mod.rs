//! One instance's part in the consensus, on a Raft library without I/O.
//!
//! The caller drives it: [`RaftNode::tick`], [`RaftNode::receive`], [`RaftNode::propose`], [`RaftNode::read`] and so
//! on bring events in; [`RaftNode::ready`] says what is to be written and sent now; once the write is durable,
//! [`RaftNode::on_persisted`] goes on. Nothing that depends on a write is sent before it is durable.
//!
//! In reading order: `settings`, `ready` (writes and messages), `apply` (committed entries), `proposals`,
//! `membership_changes`, `snapshots`, `status`, `error`, `codec`, `random`.

mod apply;
mod codec;
mod error;
mod membership_changes;
mod proposals;
mod random;
mod ready;
mod settings;
mod snapshots;
mod status;

use std::collections::BTreeMap;

use garnetcrank_store as store;
use raft::RawNode;
use raft::eraftpb::{ConfState, MessageType};

use crate::ids::{Index, InstanceId, Ticket, Ticks};
use crate::pending_requests::PendingRequests;
use crate::raft_log::RaftLog;
use crate::replicated_state::ReplicatedState;

pub use apply::AppliedEntry;
pub use codec::{DecodeMessageError, decode_message, encode_message};
pub use error::RaftNodeError;
pub use raft::eraftpb::Message;
pub use ready::Ready;
pub use settings::RaftSettings;
pub use snapshots::initial_state;
pub use status::{NodeRole, NodeStatus};

/// Append messages without an answer that a leader sends one follower; then it waits, so that a slow follower does
/// not fill the leader's queues.
const MAX_INFLIGHT_MESSAGES: usize = 64;
/// Messages' worth of committed entries that are applied in one go. Catching up in bounded steps lets ticks and
/// messages in between.
const COMMITTED_MESSAGES_PER_READY: u64 = 4;

/// Whether the store has room for more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StorageHeadroom {
    /// It has.
    #[default]
    Sufficient,
    /// Only for what must be kept to stay safe: votes and terms.
    Low,
}

/// A change of membership that a caller waits for.
struct PendingMembershipChange {
    ticket: Ticket,
    deadline: Ticks,
}

/// One instance.
pub struct RaftNode {
    raw: RawNode<RaftLog>,
    /// The same log that `raw` reads.
    log: RaftLog,
    state: ReplicatedState,
    /// Voters and learners as of the last entry applied.
    conf_state: ConfState,
    pending: PendingRequests,
    settings: RaftSettings,
    id: InstanceId,
    /// How many times the store was opened.
    incarnation: u64,
    /// Nonces and rounds of reads of this incarnation.
    counter: u64,
    now: Ticks,
    headroom: StorageHeadroom,
    pending_write: Option<ready::PendingWrite>,
    /// A snapshot from log compaction that goes into the next write.
    unsaved_snapshot: Option<store::Snapshot>,
    membership_request: Option<PendingMembershipChange>,
    /// Followers that a snapshot is on its way to, and since when.
    snapshots_sent_at: BTreeMap<u64, Ticks>,
    /// Messages that a durable write has set free.
    outbound: Vec<Message>,
    applied_entries: Vec<AppliedEntry>,
}

impl RaftNode {
    /// An instance that goes on from what its store holds. `incarnation`: how many times the store was opened, this
    /// time included. An instance whose store holds nothing waits until it is made a member.
    ///
    /// # Errors
    /// The store holds something that no instance writes.
    pub fn start(
        settings: RaftSettings,
        id: InstanceId,
        incarnation: u64,
        loaded: store::Loaded,
    ) -> Result<Self, RaftNodeError> {
        check_committed_entries(&loaded)?;
        let log = RaftLog::restore(loaded)?;
        let (index, data) = log.snapshot_data();
        let state = match index {
            0 => ReplicatedState::default(),
            _ => snapshots::decode_state(Index(index), &data)?,
        };
        let config = library_config(&settings, id, index);
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let raw = RawNode::new(&config, log.clone(), &logger)?;
        let mut node = Self {
            raw,
            conf_state: log.conf_state(),
            log,
            state,
            pending: PendingRequests::new(settings.max_pending_requests, settings.retry_ticks),
            settings,
            id,
            incarnation,
            counter: 0,
            now: Ticks(0),
            headroom: StorageHeadroom::Sufficient,
            pending_write: None,
            unsaved_snapshot: None,
            membership_request: None,
            snapshots_sent_at: BTreeMap::new(),
            outbound: Vec::new(),
            applied_entries: Vec::new(),
        };
        node.seed_election_timeout();
        Ok(node)
    }

    /// Ticks so far.
    pub fn now(&self) -> Ticks {
        self.now
    }

    /// The replicated state as this instance has it. Answer a linearizable read from it only at
    /// [`crate::pending_requests::Answer::ReadReady`].
    pub fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// One tick of this instance's time has passed.
    pub fn tick(&mut self) {
        self.now.0 += 1;
        if !self.is_installing_snapshot() {
            self.raw.tick();
        }
        self.seed_election_timeout();
        self.forward_pending();
        self.promote_learner();
        self.expire_sent_snapshots();
        self.expire_membership_request();
        self.pending.expire(self.now);
    }

    /// A message of another member has come.
    pub fn receive(&mut self, message: Message) {
        let kind = message.get_msg_type();
        // A store that is nearly full takes no more entries; the sender takes this instance for slow.
        let grows_log = !message.get_entries().is_empty() || kind == MessageType::MsgSnapshot;
        if self.headroom == StorageHeadroom::Low && grows_log {
            return;
        }
        if is_local(kind) || message.to != self.id.0 || self.is_installing_snapshot() {
            return;
        }
        // The library rejects a message of a removed member or of an older term: nothing to do here.
        let _ = self.raw.step(message);
        self.seed_election_timeout();
    }

    /// A member could not be reached: it is probed before more is sent.
    pub fn unreachable(&mut self, id: InstanceId) {
        self.raw.report_unreachable(id.0);
    }

    /// Whether the store has room for entries.
    pub fn set_storage_headroom(&mut self, headroom: StorageHeadroom) {
        let runs_low = headroom == StorageHeadroom::Low && self.headroom == StorageHeadroom::Sufficient;
        if runs_low && self.is_leader() {
            self.transfer_to_any_active_voter();
        }
        self.headroom = headroom;
    }

    /// A leader that can't take entries stops everyone; another voter may have room.
    fn transfer_to_any_active_voter(&mut self) {
        let peers = self.peer_progress();
        let successor = peers.iter().find(|peer| peer.is_voter && peer.recently_active && peer.id != self.id);
        if let Some(successor) = successor {
            self.raw.transfer_leader(successor.id.0);
        }
    }

    /// The library draws election timeouts from the system's random numbers. Runs must be the same for the same seed,
    /// so the timeout is set from the seed instead, anew in each term.
    fn seed_election_timeout(&mut self) {
        let min_ticks = self.settings.election_ticks;
        let mixed = random::split_mix_64(
            self.settings.seed ^ random::split_mix_64(self.id.0) ^ random::split_mix_64(self.raw.raft.term),
        );
        let extra_ticks = mixed as usize % min_ticks;
        self.raw.raft.set_randomized_election_timeout(min_ticks + extra_ticks);
    }
}

/// Entries known to be committed must all be there: without them this instance could vote for a leader that lacks
/// them too, and a decision would be lost.
fn check_committed_entries(loaded: &store::Loaded) -> Result<(), RaftNodeError> {
    let snapshot_index = loaded.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
    let last = loaded.entries.last().map_or(snapshot_index, |entry| entry.index);
    let committed = loaded.hard_state.commit;
    if committed > last {
        return Err(RaftNodeError::CommittedEntriesLost { committed: Index(committed), last: Index(last) });
    }
    Ok(())
}

fn library_config(settings: &RaftSettings, id: InstanceId, applied: u64) -> raft::Config {
    raft::Config {
        id: id.0,
        election_tick: settings.election_ticks,
        heartbeat_tick: settings.heartbeat_ticks,
        applied,
        max_size_per_msg: settings.max_message_bytes,
        max_inflight_msgs: MAX_INFLIGHT_MESSAGES,
        check_quorum: true,
        pre_vote: true,
        max_uncommitted_size: settings.max_uncommitted_bytes,
        max_committed_size_per_ready: COMMITTED_MESSAGES_PER_READY * settings.max_message_bytes,
        ..raft::Config::default()
    }
}

/// Whether an instance sends this kind of message only to itself: from outside it would make the instance start an
/// election at will.
fn is_local(kind: MessageType) -> bool {
    matches!(
        kind,
        MessageType::MsgHup
            | MessageType::MsgBeat
            | MessageType::MsgUnreachable
            | MessageType::MsgSnapStatus
            | MessageType::MsgCheckQuorum
    )
}

#[cfg(test)]
mod tests;

//! Snapshots: the first one of a cluster, log compaction, and snapshots on their way to a follower.

use garnetcrank_store as store;
use protobuf::Message as _;
use raft::eraftpb::{ConfState, Snapshot};

use super::codec::encode;
use super::{RaftNode, RaftNodeError};
use crate::ids::Index;
use crate::raft_log;
use crate::replicated_state::{Member, ReplicatedState};

/// Election timeouts after which a snapshot without an answer is taken for lost. Long enough for a large snapshot on
/// a slow link; a follower gets nothing else in the meantime.
const SNAPSHOT_TIMEOUT_ELECTIONS: u64 = 5;

/// Index and term of the snapshot that every founding member of a cluster starts from.
const FOUNDING_INDEX: u64 = 1;
const FOUNDING_TERM: u64 = 1;

/// The first state of a cluster that begins with these voters: every one of them starts from the same.
pub fn initial_state(members: &[Member]) -> store::Batch {
    let voters: Vec<u64> = members.iter().map(|member| member.id.0).collect();
    let conf_state = ConfState { voters, ..ConfState::default() };
    let snapshot = store::Snapshot {
        index: FOUNDING_INDEX,
        term: FOUNDING_TERM,
        members: conf_state.write_to_bytes().unwrap_or_default(),
        data: encode(&ReplicatedState::with_members(members.iter().cloned())),
    };
    let hard = store::HardState { term: FOUNDING_TERM, vote: 0, commit: FOUNDING_INDEX };
    store::Batch { hard_state: Some(hard), snapshot: Some(snapshot), ..store::Batch::default() }
}

/// The replicated state in a snapshot at `index`.
pub(super) fn decode_state(index: Index, data: &[u8]) -> Result<ReplicatedState, RaftNodeError> {
    let mut state: ReplicatedState =
        postcard::from_bytes(data).map_err(|source| RaftNodeError::UnreadableSnapshot { index, source })?;
    state.skip(index);
    Ok(state)
}

impl RaftNode {
    /// Compacts the log now: everything applied goes into a snapshot.
    pub fn compact_now(&mut self) {
        let index = self.state.applied().0;
        if index <= self.log.snapshot_index() {
            return;
        }
        let data = encode(&self.state);
        let retained = self.settings.retained_entries;
        let snapshot = self.log.compact(index, self.conf_state.clone(), data, retained);
        self.unsaved_snapshot = snapshot.as_ref().map(raft_log::to_stored);
    }

    /// Compacts the log once enough entries are applied.
    pub(super) fn compact_if_due(&mut self) {
        let due = self.log.snapshot_index() + self.settings.compact_every;
        if self.state.applied().0 >= due {
            self.compact_now();
        }
    }

    /// Goes on from a snapshot of the leader's that is durable now.
    pub(super) fn restore_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), RaftNodeError> {
        let index = snapshot.get_metadata().index;
        self.state = decode_state(Index(index), &snapshot.data)?;
        self.conf_state = snapshot.get_metadata().get_conf_state().clone();
        self.raw.advance_apply_to(index);
        self.pending.answer_reads_up_to(index);
        Ok(())
    }

    /// Whether a snapshot that replaces the log is being written. Until it is durable, the entries that were
    /// committed and not applied are gone from the log: an instance that started an election now would look for
    /// them, and the library ends the process when they are missing. Such an instance is far behind, so nobody waits
    /// for it.
    pub(super) fn is_installing_snapshot(&self) -> bool {
        self.pending_write.as_ref().is_some_and(|write| write.installed_snapshot.is_some())
    }

    /// Finds snapshots that were lost on their way. A lost one gets no answer, and the library sends that follower
    /// nothing else until the loss is reported: after some elections' time the snapshot is taken for lost, and the
    /// library probes the follower anew.
    pub(super) fn expire_sent_snapshots(&mut self) {
        let timeout = SNAPSHOT_TIMEOUT_ELECTIONS * self.settings.election_ticks as u64;
        let receivers: Vec<u64> = (self.raw.raft.prs().iter())
            .filter(|(_, progress)| progress.state == raft::ProgressState::Snapshot)
            .map(|(id, _)| *id)
            .collect();
        self.snapshots_sent_at.retain(|id, _| receivers.contains(id));
        for id in receivers {
            let sent_at = *self.snapshots_sent_at.entry(id).or_insert(self.now);
            if self.now.0 >= sent_at.0 + timeout {
                self.snapshots_sent_at.remove(&id);
                self.raw.report_snapshot(id, raft::SnapshotStatus::Failure);
            }
        }
    }
}

//! Snapshots: the initial one of a cluster, log compaction, and snapshots in transit to a follower.

use garnetcrank_store as store;
use protobuf::Message as _;
use raft::eraftpb::{ConfState, Snapshot};

use super::codec::encode;
use super::{RaftNode, RaftNodeError};
use crate::ids::Index;
use crate::raft_log;
use crate::replicated_state::{Member, ReplicatedState};

/// Election timeouts after which an unacknowledged snapshot is considered lost. Long enough for a large
/// snapshot on a slow link; the follower receives no entries in the meantime.
const SNAPSHOT_TIMEOUT_ELECTIONS: u64 = 5;

/// Index of the snapshot from which every initial member of a cluster starts.
const INITIAL_SNAPSHOT_INDEX: u64 = 1;
/// Term of the snapshot from which every initial member of a cluster starts.
const INITIAL_SNAPSHOT_TERM: u64 = 1;

/// Creates the initial store contents of a new cluster with these voters, identical for each of them.
pub fn initial_state(members: &[Member]) -> store::Batch {
    let voters: Vec<u64> = members.iter().map(|member| member.id.0).collect();
    let conf_state = ConfState { voters, ..ConfState::default() };
    let snapshot = store::Snapshot {
        index: INITIAL_SNAPSHOT_INDEX,
        term: INITIAL_SNAPSHOT_TERM,
        members: conf_state.write_to_bytes().unwrap_or_default(),
        data: encode(&ReplicatedState::with_members(members.iter().cloned())),
    };
    let hard_state =
        store::HardState { term: INITIAL_SNAPSHOT_TERM, vote: 0, commit: INITIAL_SNAPSHOT_INDEX };
    store::Batch { hard_state: Some(hard_state), snapshot: Some(snapshot), ..store::Batch::default() }
}

/// Decodes the replicated state in a snapshot at `index`.
///
/// # Errors
/// [`RaftNodeError::UnreadableSnapshot`].
pub(super) fn decode_state(index: Index, data: &[u8]) -> Result<ReplicatedState, RaftNodeError> {
    let mut state: ReplicatedState =
        postcard::from_bytes(data).map_err(|source| RaftNodeError::UnreadableSnapshot { index, source })?;
    state.skip(index);
    Ok(state)
}

impl RaftNode {
    /// Compacts all applied entries of the log into a snapshot.
    pub fn compact_now(&mut self) {
        let index = self.state.applied().0;
        if index <= self.log.snapshot_index() {
            return;
        }
        let data = encode(&self.state);
        let retained = self.settings.retained_entries;
        let snapshot = self.log.compact(index, self.conf_state.clone(), data, retained);
        self.unsaved_snapshot = snapshot.as_ref().map(raft_log::to_stored_snapshot);
    }

    /// Compacts the log if enough entries have been applied since the last snapshot.
    pub(super) fn compact_if_due(&mut self) {
        let due = self.log.snapshot_index() + self.settings.compact_every;
        if self.state.applied().0 >= due {
            self.compact_now();
        }
    }

    /// Replaces the replicated state by a durable snapshot from the leader.
    pub(super) fn restore_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), RaftNodeError> {
        let index = snapshot.get_metadata().index;
        self.state = decode_state(Index(index), &snapshot.data)?;
        self.conf_state = snapshot.get_metadata().get_conf_state().clone();
        self.raw.advance_apply_to(index);
        self.pending.answer_reads_up_to(index);
        Ok(())
    }

    /// Returns whether a snapshot that replaces the log is being written. Until it is durable, the log lacks
    /// the entries that were committed but not applied. Starting an election would read them, and the library
    /// panics when they are missing. Such an instance is far behind, so the cluster does not depend on it in
    /// the meantime.
    pub(super) fn is_installing_snapshot(&self) -> bool {
        self.pending_write.as_ref().is_some_and(|write| write.installed_snapshot.is_some())
    }

    /// Reports snapshots that were lost in transit. The library sends a follower no entries until it learns
    /// that the snapshot failed. A snapshot without an acknowledgement for [`SNAPSHOT_TIMEOUT_ELECTIONS`]
    /// election timeouts is reported as failed, whereupon the library probes the follower again.
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

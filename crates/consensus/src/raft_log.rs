//! The in-memory log that the Raft library reads. It consists of the store's contents and some earlier
//! entries that the snapshot already covers, retained so that a follower slightly behind needs no snapshot.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use garnetcrank_store as store;
use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, EntryType, HardState, Snapshot, SnapshotMetadata};
use raft::{GetEntriesContext, RaftState, StorageError};

use crate::ids::Index;
use crate::raft_node::RaftNodeError;

/// Entry kind in the store: a normal entry.
const KIND_NORMAL: u8 = 0;
/// Entry kind in the store: a configuration change.
const KIND_CONF_CHANGE: u8 = 1;
/// Entry kind in the store: a configuration change of several members at once.
const KIND_CONF_CHANGE_V2: u8 = 2;

/// Converts an entry to its stored form.
pub(crate) fn to_log_entry(entry: &Entry) -> store::LogEntry {
    store::LogEntry {
        index: entry.index,
        term: entry.term,
        kind: match entry.get_entry_type() {
            EntryType::EntryNormal => KIND_NORMAL,
            EntryType::EntryConfChange => KIND_CONF_CHANGE,
            EntryType::EntryConfChangeV2 => KIND_CONF_CHANGE_V2,
        },
        data: entry.data.to_vec(),
        context: entry.context.to_vec(),
    }
}

fn to_entry(log_entry: store::LogEntry) -> Result<Entry, RaftNodeError> {
    let kind = match log_entry.kind {
        KIND_NORMAL => EntryType::EntryNormal,
        KIND_CONF_CHANGE => EntryType::EntryConfChange,
        KIND_CONF_CHANGE_V2 => EntryType::EntryConfChangeV2,
        kind => return Err(RaftNodeError::UnknownEntryKind { index: Index(log_entry.index), kind }),
    };
    let mut entry = Entry { index: log_entry.index, term: log_entry.term, ..Entry::default() };
    entry.set_entry_type(kind);
    entry.data = log_entry.data.into();
    entry.context = log_entry.context.into();
    Ok(entry)
}

/// Converts a snapshot to its stored form.
pub(crate) fn to_stored_snapshot(snapshot: &Snapshot) -> store::Snapshot {
    let metadata = snapshot.get_metadata();
    store::Snapshot {
        index: metadata.index,
        term: metadata.term,
        members: metadata.get_conf_state().write_to_bytes().unwrap_or_default(),
        data: snapshot.data.to_vec(),
    }
}

fn from_stored_snapshot(stored: store::Snapshot) -> Result<Snapshot, RaftNodeError> {
    let index = Index(stored.index);
    let mut conf_state = ConfState::default();
    conf_state
        .merge_from_bytes(&stored.members)
        .map_err(|source| RaftNodeError::UnreadableMembers { index, source })?;
    Ok(new_snapshot(EntryId { index: stored.index, term: stored.term }, conf_state, stored.data))
}

fn new_snapshot(last: EntryId, conf_state: ConfState, data: Vec<u8>) -> Snapshot {
    let mut metadata = SnapshotMetadata { index: last.index, term: last.term, ..SnapshotMetadata::default() };
    metadata.set_conf_state(conf_state);
    let mut snapshot = Snapshot::default();
    snapshot.set_metadata(metadata);
    snapshot.data = data.into();
    snapshot
}

/// The identity of an entry.
#[derive(Debug, Clone, Copy, Default)]
struct EntryId {
    index: u64,
    term: u64,
}

#[derive(Debug, Default)]
struct LogState {
    hard_state: HardState,
    snapshot: Snapshot,
    /// Consecutive entries that follow `before_first`.
    entries: VecDeque<Entry>,
    /// Identity of the entry before the first one in memory.
    before_first: EntryId,
}

impl LogState {
    fn first_index(&self) -> u64 {
        self.before_first.index + 1
    }

    fn last_index(&self) -> u64 {
        self.before_first.index + self.entries.len() as u64
    }

    fn term(&self, index: u64) -> Result<u64, StorageError> {
        if index == self.before_first.index {
            return Ok(self.before_first.term);
        }
        if index < self.before_first.index {
            return Err(StorageError::Compacted);
        }
        let position = (index - self.first_index()) as usize;
        match self.entries.get(position) {
            Some(entry) => Ok(entry.term),
            None => Err(StorageError::Unavailable),
        }
    }
}

/// The in-memory log. Clones share the same contents: the library owns one clone, the node the other.
#[derive(Debug, Clone, Default)]
pub(crate) struct RaftLog(Rc<RefCell<LogState>>);

impl RaftLog {
    /// Restores the log from the contents of the store.
    ///
    /// # Errors
    /// An entry is of an unknown kind, or the snapshot's members can't be decoded.
    pub(crate) fn restore(persisted: store::PersistedState) -> Result<Self, RaftNodeError> {
        let mut state = LogState {
            hard_state: HardState {
                term: persisted.hard_state.term,
                vote: persisted.hard_state.vote,
                commit: persisted.hard_state.commit,
                ..HardState::default()
            },
            ..LogState::default()
        };
        if let Some(stored) = persisted.snapshot {
            state.before_first = EntryId { index: stored.index, term: stored.term };
            state.snapshot = from_stored_snapshot(stored)?;
        }
        // The commit index is written together with the entries that it covers, but a snapshot may be newer.
        state.hard_state.commit = state.hard_state.commit.max(state.before_first.index);
        state.entries = persisted.entries.into_iter().map(to_entry).collect::<Result<_, _>>()?;
        Ok(Self(Rc::new(RefCell::new(state))))
    }

    /// Returns the voters and learners as of the snapshot.
    pub(crate) fn conf_state(&self) -> ConfState {
        self.0.borrow().snapshot.get_metadata().get_conf_state().clone()
    }

    /// Returns the index of the snapshot; 0 if there is none.
    pub(crate) fn snapshot_index(&self) -> u64 {
        self.0.borrow().snapshot.get_metadata().index
    }

    /// Returns the index and the data of the snapshot.
    pub(crate) fn snapshot_data(&self) -> (u64, Vec<u8>) {
        let state = self.0.borrow();
        (state.snapshot.get_metadata().index, state.snapshot.data.to_vec())
    }

    /// Returns the number of entries in memory.
    pub(crate) fn len(&self) -> usize {
        self.0.borrow().entries.len()
    }

    /// Returns the index of the last entry.
    pub(crate) fn last_index(&self) -> u64 {
        self.0.borrow().last_index()
    }

    pub(crate) fn set_hard_state(&self, hard_state: HardState) {
        self.0.borrow_mut().hard_state = hard_state;
    }

    /// Replaces the entire log by a snapshot from the leader.
    pub(crate) fn install(&self, snapshot: Snapshot) {
        let mut state = self.0.borrow_mut();
        let last = EntryId { index: snapshot.get_metadata().index, term: snapshot.get_metadata().term };
        state.entries.clear();
        state.before_first = last;
        state.hard_state.commit = state.hard_state.commit.max(last.index);
        state.hard_state.term = state.hard_state.term.max(last.term);
        state.snapshot = snapshot;
    }

    /// Appends entries, which replace all entries in the log from the index of the first one on.
    pub(crate) fn append(&self, entries: &[Entry]) {
        let Some(first) = entries.first() else { return };
        let mut state = self.0.borrow_mut();
        let retained_count = first.index.saturating_sub(state.first_index()) as usize;
        state.entries.truncate(retained_count);
        state.entries.extend(entries.iter().cloned());
    }

    /// Compacts the log into a snapshot of this instance's state at `index`. The last `retained` entries up
    /// to `index` stay in memory for followers that are behind. Returns `None` if the log contains no entry
    /// at `index`.
    pub(crate) fn compact(
        &self,
        index: u64,
        conf_state: ConfState,
        data: Vec<u8>,
        retained: u64,
    ) -> Option<Snapshot> {
        let mut state = self.0.borrow_mut();
        let term = state.term(index).ok()?;
        let snapshot = new_snapshot(EntryId { index, term }, conf_state, data);
        state.snapshot = snapshot.clone();
        let last_removed = index.saturating_sub(retained);
        if last_removed > state.before_first.index {
            let term = state.term(last_removed).ok()?;
            let removed_count = (last_removed - state.before_first.index) as usize;
            state.entries.drain(..removed_count);
            state.before_first = EntryId { index: last_removed, term };
        }
        Some(snapshot)
    }
}

impl raft::Storage for RaftLog {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let state = self.0.borrow();
        let conf_state = state.snapshot.get_metadata().get_conf_state().clone();
        Ok(RaftState::new(state.hard_state.clone(), conf_state))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        let state = self.0.borrow();
        if low < state.first_index() {
            return Err(StorageError::Compacted.into());
        }
        if high > state.last_index() + 1 {
            return Err(StorageError::Unavailable.into());
        }
        let range = (low - state.first_index()) as usize..(high - state.first_index()) as usize;
        let max_bytes = max_size.into().unwrap_or(u64::MAX);
        let mut selected = Vec::new();
        let mut selected_bytes = 0;
        for entry in state.entries.range(range) {
            selected_bytes += u64::from(entry.compute_size());
            // The first entry is returned regardless of its size, or a large one would never be sent.
            if selected_bytes > max_bytes && !selected.is_empty() {
                break;
            }
            selected.push(entry.clone());
        }
        Ok(selected)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        Ok(self.0.borrow().term(index)?)
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.0.borrow().first_index())
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.0.borrow().last_index())
    }

    fn snapshot(&self, request_index: u64, _: u64) -> raft::Result<Snapshot> {
        let state = self.0.borrow();
        if state.snapshot.get_metadata().index < request_index {
            return Err(StorageError::SnapshotTemporarilyUnavailable.into());
        }
        Ok(state.snapshot.clone())
    }
}

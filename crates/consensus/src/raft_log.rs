//! The log in memory, as the library reads it: what the store holds plus a tail that the snapshot covers already,
//! kept so that an instance a little behind needs no snapshot.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use garnetcrank_store as store;
use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, EntryType, HardState, Snapshot, SnapshotMetadata};
use raft::{GetEntriesContext, RaftState, StorageError};

/// An entry in the store's form.
pub(crate) fn to_record(entry: &Entry) -> store::Record {
    store::Record {
        index: entry.index,
        term: entry.term,
        kind: match entry.get_entry_type() {
            EntryType::EntryNormal => 0,
            EntryType::EntryConfChange => 1,
            EntryType::EntryConfChangeV2 => 2,
        },
        data: entry.data.to_vec(),
        context: entry.context.to_vec(),
    }
}

fn to_entry(record: store::Record) -> Option<Entry> {
    let mut entry = Entry { index: record.index, term: record.term, ..Entry::default() };
    entry.set_entry_type(match record.kind {
        0 => EntryType::EntryNormal,
        1 => EntryType::EntryConfChange,
        2 => EntryType::EntryConfChangeV2,
        _ => return None,
    });
    entry.data = record.data.into();
    entry.context = record.context.into();
    Some(entry)
}

/// A snapshot in the store's form.
pub(crate) fn to_stored(snapshot: &Snapshot) -> store::Snapshot {
    let metadata = snapshot.get_metadata();
    store::Snapshot {
        index: metadata.index,
        term: metadata.term,
        members: metadata.get_conf_state().write_to_bytes().unwrap_or_default(),
        data: snapshot.data.to_vec(),
    }
}

#[derive(Debug, Default)]
struct Inner {
    hard: HardState,
    snapshot: Snapshot,
    /// Entries after `before`, without a gap.
    entries: VecDeque<Entry>,
    /// Index and term of the entry before the first one held.
    before: (u64, u64),
}

impl Inner {
    fn first(&self) -> u64 {
        self.before.0 + 1
    }

    fn last(&self) -> u64 {
        self.before.0 + self.entries.len() as u64
    }

    fn term(&self, index: u64) -> Result<u64, StorageError> {
        if index == self.before.0 {
            return Ok(self.before.1);
        }
        if index < self.before.0 {
            return Err(StorageError::Compacted);
        }
        let at = (index - self.first()) as usize;
        self.entries.get(at).map(|e| e.term).ok_or(StorageError::Unavailable)
    }
}

/// The log in memory. Clones are the same log: the library owns one, the node the other.
#[derive(Debug, Clone, Default)]
pub(crate) struct RaftLog(Rc<RefCell<Inner>>);

impl RaftLog {
    /// What the store holds; none if it is of a form that this program can't read.
    pub(crate) fn restore(loaded: store::Loaded) -> Option<Self> {
        let mut inner = Inner {
            hard: HardState {
                term: loaded.hard.term,
                vote: loaded.hard.vote,
                commit: loaded.hard.commit,
                ..HardState::default()
            },
            ..Inner::default()
        };
        if let Some(held) = loaded.snapshot {
            let mut metadata =
                SnapshotMetadata { index: held.index, term: held.term, ..SnapshotMetadata::default() };
            let mut conf = ConfState::default();
            conf.merge_from_bytes(&held.members).ok()?;
            metadata.set_conf_state(conf);
            inner.before = (held.index, held.term);
            inner.snapshot.set_metadata(metadata);
            inner.snapshot.data = held.data.into();
        }
        // The commit index is written with the entries that it covers; the snapshot alone may be further on.
        inner.hard.commit = inner.hard.commit.max(inner.before.0);
        inner.entries = loaded.entries.into_iter().map(to_entry).collect::<Option<_>>()?;
        Some(Self(Rc::new(RefCell::new(inner))))
    }

    pub(crate) fn conf_state(&self) -> ConfState {
        self.0.borrow().snapshot.get_metadata().get_conf_state().clone()
    }

    /// Index and bytes of the snapshot held.
    pub(crate) fn snapshot_data(&self) -> (u64, Vec<u8>) {
        let inner = self.0.borrow();
        (inner.snapshot.get_metadata().index, inner.snapshot.data.to_vec())
    }

    pub(crate) fn len(&self) -> usize {
        self.0.borrow().entries.len()
    }

    pub(crate) fn last(&self) -> u64 {
        self.0.borrow().last()
    }

    pub(crate) fn set_hard(&self, hard: HardState) {
        self.0.borrow_mut().hard = hard;
    }

    /// A snapshot from the leader takes the place of everything held.
    pub(crate) fn install(&self, snapshot: Snapshot) {
        let mut inner = self.0.borrow_mut();
        let (index, term) = (snapshot.get_metadata().index, snapshot.get_metadata().term);
        inner.entries.clear();
        inner.before = (index, term);
        inner.hard.commit = inner.hard.commit.max(index);
        inner.hard.term = inner.hard.term.max(term);
        inner.snapshot = snapshot;
    }

    /// Entries take the place of whatever is held from the first one's index on.
    pub(crate) fn append(&self, entries: &[Entry]) {
        let mut inner = self.0.borrow_mut();
        let Some(first) = entries.first() else { return };
        let keep = first.index.saturating_sub(inner.first()) as usize;
        inner.entries.truncate(keep);
        inner.entries.extend(entries.iter().cloned());
    }

    /// A snapshot of ours at `index`; `keep` entries before it stay for those who are behind.
    pub(crate) fn fold(&self, index: u64, conf: ConfState, data: Vec<u8>, keep: u64) -> Option<Snapshot> {
        let mut inner = self.0.borrow_mut();
        let term = inner.term(index).ok()?;
        let mut metadata = SnapshotMetadata { index, term, ..SnapshotMetadata::default() };
        metadata.set_conf_state(conf);
        let mut snapshot = Snapshot::default();
        snapshot.set_metadata(metadata);
        snapshot.data = data.into();
        inner.snapshot = snapshot.clone();
        let before = index.saturating_sub(keep);
        if before > inner.before.0 {
            let term = inner.term(before).ok()?;
            let gone = (before - inner.before.0) as usize;
            inner.entries.drain(..gone);
            inner.before = (before, term);
        }
        Some(snapshot)
    }
}

impl raft::Storage for RaftLog {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let inner = self.0.borrow();
        let conf = inner.snapshot.get_metadata().get_conf_state().clone();
        Ok(RaftState::new(inner.hard.clone(), conf))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        let inner = self.0.borrow();
        if low < inner.first() {
            return Err(StorageError::Compacted.into());
        }
        if high > inner.last() + 1 {
            return Err(StorageError::Unavailable.into());
        }
        let range = (low - inner.first()) as usize..(high - inner.first()) as usize;
        let most = max_size.into().unwrap_or(u64::MAX);
        let (mut found, mut size) = (Vec::new(), 0u64);
        // One at the least, whatever its size, or nothing would ever move on.
        for entry in inner.entries.range(range) {
            size += u64::from(entry.compute_size());
            if size > most && !found.is_empty() {
                break;
            }
            found.push(entry.clone());
        }
        Ok(found)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        Ok(self.0.borrow().term(index)?)
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.0.borrow().first())
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.0.borrow().last())
    }

    fn snapshot(&self, request_index: u64, _: u64) -> raft::Result<Snapshot> {
        let inner = self.0.borrow();
        if inner.snapshot.get_metadata().index < request_index {
            return Err(StorageError::SnapshotTemporarilyUnavailable.into());
        }
        Ok(inner.snapshot.clone())
    }
}

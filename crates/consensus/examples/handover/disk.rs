//! Disks of simulated instances: a fast model of the store, or the store itself on a disk whose power can be cut.

use garnetcrank_consensus::ids::InstanceId;
use garnetcrank_store::{Batch, Identity, Loaded, Store, StoreError};
use garnetcrank_test_support::faulty_disk::FaultyDisk;

/// Which disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiskKind {
    /// A model that keeps whole batches, synced or not.
    Model,
    /// The store itself.
    Store,
}

/// An instance's disk.
pub enum SimDisk {
    /// See [`DiskKind::Model`].
    Model { durable: Loaded, unsynced: Vec<Batch>, ignore_syncs: bool },
    /// See [`DiskKind::Store`].
    Real { disk: FaultyDisk, store: Option<Store>, identity: Identity },
}

/// What the store would hold after this batch.
fn apply(held: &mut Loaded, batch: &Batch) {
    if let Some(hard) = batch.hard_state {
        held.hard_state = hard;
    }
    if let Some(snapshot) = &batch.snapshot {
        // Entries behind the snapshot stay only if the log has the entry that it ends with.
        let last = (snapshot.index, snapshot.term);
        let continues_log = held.entries.iter().any(|entry| (entry.index, entry.term) == last);
        held.entries.retain(|entry| continues_log && entry.index > snapshot.index);
        held.snapshot = Some(snapshot.clone());
    }
    if let Some(first) = batch.entries.first() {
        held.entries.retain(|entry| entry.index < first.index);
        held.entries.extend(batch.entries.iter().cloned());
    }
}

impl SimDisk {
    /// An empty disk.
    pub fn new(kind: DiskKind, id: InstanceId) -> Self {
        match kind {
            DiskKind::Model => {
                Self::Model { durable: Loaded::default(), unsynced: Vec::new(), ignore_syncs: false }
            }
            DiskKind::Store => {
                let identity = Identity { cluster: "sim".into(), name: format!("i{id}"), id: id.0 };
                let disk = FaultyDisk::new();
                let store = Store::open_on(disk.clone(), &identity).ok();
                Self::Real { disk, store, identity }
            }
        }
    }

    /// Which it is.
    pub fn kind(&self) -> DiskKind {
        match self {
            Self::Model { .. } => DiskKind::Model,
            Self::Real { .. } => DiskKind::Store,
        }
    }

    /// Whether syncs are ignored from now on: the disk says that it has synced and has not.
    pub fn set_ignore_syncs(&mut self, ignore: bool) {
        match self {
            Self::Model { ignore_syncs, .. } => *ignore_syncs = ignore,
            Self::Real { disk, .. } => disk.ignore_syncs(ignore),
        }
    }

    /// Writes and syncs.
    pub fn write(&mut self, batch: &Batch) {
        match self {
            Self::Model { durable, unsynced, ignore_syncs } => {
                if *ignore_syncs {
                    unsynced.push(batch.clone());
                } else {
                    apply(durable, batch);
                }
            }
            Self::Real { store, .. } => {
                if let Some(store) = store {
                    store.commit(batch).expect("the simulated disk takes what the node writes");
                }
            }
        }
    }

    /// The power goes: of what was not synced, some first part stays.
    pub fn crash(&mut self, seed: u64) {
        match self {
            Self::Model { durable, unsynced, .. } => {
                let kept = seed as usize % (unsynced.len() + 1);
                for batch in unsynced.drain(..).take(kept) {
                    apply(durable, &batch);
                }
            }
            Self::Real { disk, store, .. } => {
                let after = disk.after_power_cut(seed);
                *store = None;
                *disk = after;
            }
        }
    }

    /// What is held at a start.
    ///
    /// # Errors
    /// The store can't be opened or read.
    pub fn load(&mut self) -> Result<Loaded, StoreError> {
        match self {
            Self::Model { durable, .. } => Ok(durable.clone()),
            Self::Real { disk, store, identity } => {
                let opened = match store.take() {
                    Some(opened) => opened,
                    None => Store::open_on(disk.clone(), identity)?,
                };
                let loaded = opened.load();
                *store = Some(opened);
                loaded
            }
        }
    }
}

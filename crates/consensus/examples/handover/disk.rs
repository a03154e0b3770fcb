//! Disks of simulated instances: a fast model of the store, or the real store on a disk that simulates power loss.

use garnetcrank_consensus::ids::InstanceId;
use garnetcrank_store::{Batch, OwnerIdentity, PersistedState, Store, StoreError};
use garnetcrank_test_support::faulty_disk::FaultyDisk;

/// Kind of a simulated disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiskKind {
    /// In-memory model that holds synced state and a list of unsynced batches; a batch is never torn.
    Model,
    /// Real store on a disk that simulates power loss.
    Store,
}

/// Disk of a simulated instance.
pub enum SimDisk {
    /// See [`DiskKind::Model`].
    Model { durable: PersistedState, unsynced: Vec<Batch>, ignore_syncs: bool },
    /// See [`DiskKind::Store`].
    Real { disk: FaultyDisk, store: Option<Store>, identity: OwnerIdentity },
}

/// Applies a batch to the model as the store would.
fn apply(stored: &mut PersistedState, batch: &Batch) {
    if let Some(hard_state) = batch.hard_state {
        stored.hard_state = hard_state;
    }
    if let Some(snapshot) = &batch.snapshot {
        // Entries after the snapshot are kept only if the log contains the snapshot's last entry.
        let last = (snapshot.index, snapshot.term);
        let continues_log = stored.entries.iter().any(|entry| (entry.index, entry.term) == last);
        stored.entries.retain(|entry| continues_log && entry.index > snapshot.index);
        stored.snapshot = Some(snapshot.clone());
    }
    if let Some(first) = batch.entries.first() {
        stored.entries.retain(|entry| entry.index < first.index);
        stored.entries.extend(batch.entries.iter().cloned());
    }
}

impl SimDisk {
    /// Creates an empty disk.
    pub fn new(kind: DiskKind, id: InstanceId) -> Self {
        match kind {
            DiskKind::Model => {
                Self::Model { durable: PersistedState::default(), unsynced: Vec::new(), ignore_syncs: false }
            }
            DiskKind::Store => {
                let identity = OwnerIdentity { cluster: "sim".into(), name: format!("i{id}"), id: id.0 };
                let disk = FaultyDisk::new();
                let store = Store::open_on(disk.clone(), &identity).ok();
                Self::Real { disk, store, identity }
            }
        }
    }

    /// Returns the kind of the disk.
    pub fn kind(&self) -> DiskKind {
        match self {
            Self::Model { .. } => DiskKind::Model,
            Self::Real { .. } => DiskKind::Store,
        }
    }

    /// Sets whether the disk ignores syncs from now on: it reports success without making the data durable.
    pub fn set_ignore_syncs(&mut self, ignore: bool) {
        match self {
            Self::Model { ignore_syncs, .. } => *ignore_syncs = ignore,
            Self::Real { disk, .. } => disk.ignore_syncs(ignore),
        }
    }

    /// Writes and syncs a batch.
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
                    store.commit(batch).expect("the simulated disk accepts the write");
                }
            }
        }
    }

    /// Cuts the power. `seed` determines which unsynced writes survive; in the model they are always a prefix.
    pub fn crash(&mut self, seed: u64) {
        match self {
            Self::Model { durable, unsynced, .. } => {
                let surviving = seed as usize % (unsynced.len() + 1);
                for batch in unsynced.drain(..).take(surviving) {
                    apply(durable, &batch);
                }
            }
            Self::Real { disk, store, .. } => {
                let disk_after_cut = disk.after_power_cut(seed);
                *store = None;
                *disk = disk_after_cut;
            }
        }
    }

    /// Loads the stored state when an instance starts.
    ///
    /// # Errors
    /// Returns an error if the store can't be opened or read.
    pub fn load(&mut self) -> Result<PersistedState, StoreError> {
        match self {
            Self::Model { durable, .. } => Ok(durable.clone()),
            Self::Real { disk, store, identity } => {
                let opened = match store.take() {
                    Some(opened) => opened,
                    None => Store::open_on(disk.clone(), identity)?,
                };
                let persisted = opened.load();
                *store = Some(opened);
                persisted
            }
        }
    }
}

//! Disks of simulated instances: a fast model of the store, or the store itself on a disk whose power can be cut.

use garnetcrank_consensus::ids::InstanceId;
use garnetcrank_store::{Batch, Identity, Loaded, Store};
use garnetcrank_test_support::faulty_disk::FaultyDisk;

/// Which disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A model that keeps whole batches, synced or not.
    Model,
    /// The store itself.
    Store,
}

/// An instance's disk.
pub enum SimDisk {
    /// See [`Kind::Model`].
    Model { durable: Loaded, unsynced: Vec<Batch>, ignore_syncs: bool },
    /// See [`Kind::Store`].
    Real { disk: FaultyDisk, store: Option<Store>, identity: Identity },
}

fn apply(held: &mut Loaded, batch: &Batch) {
    if let Some(hard) = batch.hard {
        held.hard = hard;
    }
    if let Some(snapshot) = &batch.snapshot {
        let runs_on = held.entries.iter().any(|e| (e.index, e.term) == (snapshot.index, snapshot.term));
        held.entries.retain(|e| runs_on && e.index > snapshot.index);
        held.snapshot = Some(snapshot.clone());
    }
    if let Some(first) = batch.entries.first() {
        held.entries.retain(|e| e.index < first.index);
        held.entries.extend(batch.entries.iter().cloned());
    }
}

impl SimDisk {
    /// An empty disk.
    pub fn new(kind: Kind, id: InstanceId, _seed: u64) -> Self {
        match kind {
            Kind::Model => {
                Self::Model { durable: Loaded::default(), unsynced: Vec::new(), ignore_syncs: false }
            }
            Kind::Store => {
                let identity = Identity { cluster: "sim".into(), name: format!("i{id}"), id: id.0 };
                let disk = FaultyDisk::new();
                let store = Store::open_on(disk.clone(), &identity).ok();
                Self::Real { disk, store, identity }
            }
        }
    }

    /// Which it is.
    pub fn kind(&self) -> Kind {
        match self {
            Self::Model { .. } => Kind::Model,
            Self::Real { .. } => Kind::Store,
        }
    }

    /// The first state, synced whatever is switched off later.
    pub fn found(&mut self, batch: &Batch) {
        self.write(batch);
    }

    /// From now on syncs are not what they say.
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

    /// The power goes: of what was not synced some first part stays.
    pub fn crash(&mut self, seed: u64) {
        match self {
            Self::Model { durable, unsynced, .. } => {
                let stays = seed as usize % (unsynced.len() + 1);
                for batch in unsynced.drain(..).take(stays) {
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
    pub fn load(&mut self) -> Result<Loaded, String> {
        match self {
            Self::Model { durable, .. } => Ok(durable.clone()),
            Self::Real { disk, store, identity } => {
                if store.is_none() {
                    *store = Some(Store::open_on(disk.clone(), identity).map_err(|e| e.to_string())?);
                }
                let Some(store) = store else { return Err("no store".to_owned()) };
                store.load().map_err(|e| e.to_string())
            }
        }
    }
}

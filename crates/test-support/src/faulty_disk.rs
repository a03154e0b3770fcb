//! A disk in memory whose power can be cut at any write or sync, and that can be full, slow to fail or corrupt.
//!
//! What was written and not synced is, after a cut, there, gone or torn at sector boundaries: each unsynced
//! write by itself, as drives with a cache reorder them.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use redb::StorageBackend;

/// What a write may be torn at: drives promise no more than one sector.
const SECTOR: usize = 512;

#[derive(Debug, Clone)]
enum Op {
    Write { offset: usize, data: Vec<u8> },
    SetLen(usize),
}

impl Op {
    fn apply(&self, image: &mut Vec<u8>, torn: Option<&mut fastrand::Rng>) {
        match self {
            Op::SetLen(len) => image.resize(*len, 0),
            Op::Write { offset, data } => {
                let end = offset + data.len();
                if image.len() < end {
                    image.resize(end, 0);
                }
                let Some(rng) = torn else {
                    image[*offset..end].copy_from_slice(data);
                    return;
                };
                for (n, sector) in data.chunks(SECTOR).enumerate() {
                    if rng.bool() {
                        let at = offset + n * SECTOR;
                        image[at..at + sector.len()].copy_from_slice(sector);
                    }
                }
            }
        }
    }
}

#[derive(Debug, Default)]
struct Inner {
    durable: Vec<u8>,
    seen: Vec<u8>,
    unsynced: Vec<Op>,
    operations: u64,
    cut_at: Option<u64>,
    dead: bool,
    capacity: Option<usize>,
    fail_syncs: bool,
    ignore_syncs: bool,
}

impl Inner {
    fn step(&mut self) -> io::Result<()> {
        if self.dead {
            return Err(io::Error::other("the power is cut"));
        }
        self.operations += 1;
        if self.cut_at.is_some_and(|at| self.operations > at) {
            self.dead = true;
            return Err(io::Error::other("the power is cut"));
        }
        Ok(())
    }

    fn put(&mut self, op: Op) {
        op.apply(&mut self.seen, None);
        self.unsynced.push(op);
    }
}

/// The disk: clones are the same disk.
#[derive(Debug, Clone, Default)]
pub struct FaultyDisk(Arc<Mutex<Inner>>);

impl FaultyDisk {
    /// An empty disk.
    pub fn new() -> Self {
        Self::default()
    }

    /// A disk that holds these bytes.
    pub fn holding(image: Vec<u8>) -> Self {
        Self(Arc::new(Mutex::new(Inner { seen: image.clone(), durable: image, ..Inner::default() })))
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes, changes of length and syncs so far.
    pub fn operations(&self) -> u64 {
        self.inner().operations
    }

    /// The power goes when this many operations have been done.
    pub fn cut_power_after(&self, operations: u64) {
        self.inner().cut_at = Some(operations);
    }

    /// From now on writes beyond this length fail as on a full device.
    pub fn set_capacity(&self, bytes: Option<usize>) {
        self.inner().capacity = bytes;
    }

    /// From now on every sync fails, once and again.
    pub fn fail_syncs(&self, fail: bool) {
        self.inner().fail_syncs = fail;
    }

    /// From now on syncs are said to be done and are not: the protection that a test switches off.
    pub fn ignore_syncs(&self, ignore: bool) {
        self.inner().ignore_syncs = ignore;
    }

    /// What a machine finds that starts after the power went: the synced bytes, and of each later write all,
    /// nothing or some sectors, as `seed` has it.
    pub fn after_power_cut(&self, seed: u64) -> FaultyDisk {
        let inner = self.inner();
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut image = inner.durable.clone();
        for op in &inner.unsynced {
            match rng.u8(0..3) {
                0 => {}
                1 => op.apply(&mut image, None),
                _ => op.apply(&mut image, Some(&mut rng)),
            }
        }
        FaultyDisk::holding(image)
    }

    /// The bytes as a running program sees them.
    pub fn image(&self) -> Vec<u8> {
        self.inner().seen.clone()
    }
}

impl StorageBackend for FaultyDisk {
    fn len(&self) -> io::Result<u64> {
        let inner = self.inner();
        if inner.dead {
            return Err(io::Error::other("the power is cut"));
        }
        Ok(inner.seen.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let inner = self.inner();
        if inner.dead {
            return Err(io::Error::other("the power is cut"));
        }
        let from = offset as usize;
        let bytes = inner.seen.get(from..from + out.len()).ok_or(io::ErrorKind::UnexpectedEof)?;
        out.copy_from_slice(bytes);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut inner = self.inner();
        inner.step()?;
        if inner.capacity.is_some_and(|most| len as usize > most) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        inner.put(Op::SetLen(len as usize));
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        let mut inner = self.inner();
        inner.step()?;
        if inner.fail_syncs {
            return Err(io::Error::other("the sync failed"));
        }
        if inner.ignore_syncs {
            return Ok(());
        }
        inner.durable = inner.seen.clone();
        inner.unsynced.clear();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut inner = self.inner();
        inner.step()?;
        let end = offset as usize + data.len();
        if inner.capacity.is_some_and(|most| end > most) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        inner.put(Op::Write { offset: offset as usize, data: data.to_vec() });
        Ok(())
    }
}

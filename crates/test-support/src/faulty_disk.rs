//! An in-memory disk that can lose power at any write or sync, be full, fail or ignore syncs, or hold corrupt
//! bytes.
//!
//! After a power cut each unsynced write is present, lost or torn at sector boundaries, independently of the
//! others, as drives with a cache reorder writes.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use redb::StorageBackend;

/// Size of a sector, in bytes; a write may be torn between sectors, as drives write only single sectors
/// atomically.
const SECTOR_BYTES: usize = 512;

#[derive(Debug, Clone)]
enum Operation {
    Write { offset: usize, data: Vec<u8> },
    SetLen(usize),
}

impl Operation {
    fn apply(&self, image: &mut Vec<u8>, tear: Option<&mut fastrand::Rng>) {
        match self {
            Operation::SetLen(len) => image.resize(*len, 0),
            Operation::Write { offset, data } => {
                let end = offset + data.len();
                if image.len() < end {
                    image.resize(end, 0);
                }
                let Some(rng) = tear else {
                    image[*offset..end].copy_from_slice(data);
                    return;
                };
                for (number, sector) in data.chunks(SECTOR_BYTES).enumerate() {
                    if rng.bool() {
                        let start = offset + number * SECTOR_BYTES;
                        image[start..start + sector.len()].copy_from_slice(sector);
                    }
                }
            }
        }
    }
}

#[derive(Debug, Default)]
struct State {
    /// Bytes that survive a power cut.
    durable: Vec<u8>,
    /// Bytes that reads return.
    written: Vec<u8>,
    /// Operations since the last sync, in order.
    unsynced: Vec<Operation>,
    operation_count: u64,
    power_cut_after: Option<u64>,
    is_off: bool,
    capacity: Option<usize>,
    fail_syncs: bool,
    ignore_syncs: bool,
}

impl State {
    /// Counts an operation. Fails if the power is cut by then.
    fn begin_operation(&mut self) -> io::Result<()> {
        self.check_power()?;
        self.operation_count += 1;
        if self.power_cut_after.is_some_and(|limit| self.operation_count > limit) {
            self.is_off = true;
        }
        self.check_power()
    }

    fn check_power(&self) -> io::Result<()> {
        if self.is_off { Err(io::Error::other("disk has no power")) } else { Ok(()) }
    }

    fn apply(&mut self, operation: Operation) {
        operation.apply(&mut self.written, None);
        self.unsynced.push(operation);
    }
}

/// An in-memory disk with faults; clones share its contents.
#[derive(Debug, Clone, Default)]
pub struct FaultyDisk(Arc<Mutex<State>>);

impl FaultyDisk {
    /// Creates an empty disk.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a disk that holds `image`, all of it synced.
    pub fn from_image(image: Vec<u8>) -> Self {
        Self(Arc::new(Mutex::new(State { written: image.clone(), durable: image, ..State::default() })))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of writes, changes of length and syncs so far.
    pub fn operations(&self) -> u64 {
        self.state().operation_count
    }

    /// Cuts the power once the disk has counted this many operations.
    pub fn cut_power_after(&self, operations: u64) {
        self.state().power_cut_after = Some(operations);
    }

    /// Sets the length beyond which writes fail as on a full device; none for no limit.
    pub fn set_capacity(&self, bytes: Option<usize>) {
        self.state().capacity = bytes;
    }

    /// Sets whether syncs fail.
    pub fn fail_syncs(&self, fail: bool) {
        self.state().fail_syncs = fail;
    }

    /// Sets whether syncs do nothing but report success. A test uses this to show that it would detect a
    /// loss.
    pub fn ignore_syncs(&self, ignore: bool) {
        self.state().ignore_syncs = ignore;
    }

    /// Returns the disk after the power cut: the synced bytes, and all, none or some sectors of each later
    /// write, chosen at random from `seed`.
    pub fn after_power_cut(&self, seed: u64) -> FaultyDisk {
        let state = self.state();
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut image = state.durable.clone();
        for operation in &state.unsynced {
            match rng.u8(0..3) {
                0 => {}
                1 => operation.apply(&mut image, None),
                _ => operation.apply(&mut image, Some(&mut rng)),
            }
        }
        FaultyDisk::from_image(image)
    }

    /// Returns the bytes of the disk, the unsynced ones included.
    pub fn image(&self) -> Vec<u8> {
        self.state().written.clone()
    }
}

impl StorageBackend for FaultyDisk {
    fn len(&self) -> io::Result<u64> {
        let state = self.state();
        state.check_power()?;
        Ok(state.written.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let state = self.state();
        state.check_power()?;
        let start = offset as usize;
        let bytes = state.written.get(start..start + out.len()).ok_or(io::ErrorKind::UnexpectedEof)?;
        out.copy_from_slice(bytes);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut state = self.state();
        state.begin_operation()?;
        if state.capacity.is_some_and(|capacity| len as usize > capacity) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        state.apply(Operation::SetLen(len as usize));
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        let mut state = self.state();
        state.begin_operation()?;
        if state.fail_syncs {
            return Err(io::Error::other("disk failed to sync"));
        }
        if state.ignore_syncs {
            return Ok(());
        }
        state.durable = state.written.clone();
        state.unsynced.clear();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut state = self.state();
        state.begin_operation()?;
        let end = offset as usize + data.len();
        if state.capacity.is_some_and(|capacity| end > capacity) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        state.apply(Operation::Write { offset: offset as usize, data: data.to_vec() });
        Ok(())
    }
}

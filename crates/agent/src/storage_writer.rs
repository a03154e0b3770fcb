//! The storage writer: the thread that owns the store. It commits one batch at a time and reports each to the
//! engine once it is durable, so that a slow device delays only work that depends on the write.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread::JoinHandle;
use std::time::Instant;

use garnetcrank_store::{Batch, Store, StoreError};

use crate::counters::{Counters, add, increment};
use crate::engine_input::EngineInput;

/// Capacity of the thread's queue, in batches: the engine has at most one batch in flight.
const MAX_QUEUED_BATCHES: usize = 1;

/// Starts the thread. It ends when the returned sender is dropped, when the engine has ended or when a commit
/// fails.
///
/// # Errors
/// The operating system can't start the thread.
pub fn start(
    store: Store,
    path: PathBuf,
    engine: SyncSender<EngineInput>,
    counters: Arc<Counters>,
) -> std::io::Result<(SyncSender<Batch>, JoinHandle<()>)> {
    let (sender, batches) = sync_channel(MAX_QUEUED_BATCHES);
    let run = move || write_batches(store, &path, &batches, &engine, &counters);
    let thread = std::thread::Builder::new().name("store".to_owned()).spawn(run)?;
    Ok((sender, thread))
}

fn write_batches(
    mut store: Store,
    path: &Path,
    batches: &Receiver<Batch>,
    engine: &SyncSender<EngineInput>,
    counters: &Counters,
) {
    while let Ok(batch) = batches.recv() {
        let result = commit(&mut store, &batch, counters);
        let failed = result.is_err();
        let report = match result {
            Ok(()) => EngineInput::BatchPersisted { file_bytes: file_length(path) },
            Err(error) => EngineInput::StorageFailed(error),
        };
        let engine_ended = engine.send(report).is_err();
        if engine_ended || failed {
            break;
        }
    }
}

fn commit(store: &mut Store, batch: &Batch, counters: &Counters) -> Result<(), StoreError> {
    let started = Instant::now();
    let result = store.commit(batch);
    add(&counters.commit_time_us, started.elapsed().as_micros() as u64);
    increment(&counters.batches_committed);
    add(&counters.entries_committed, batch.entries.len() as u64);
    if batch.snapshot.is_some() {
        increment(&counters.snapshots_written);
    }
    result
}

/// Returns the length of a file in bytes, or 0 if its metadata can't be read.
fn file_length(path: &Path) -> u64 {
    std::fs::metadata(path).map_or(0, |metadata| metadata.len())
}

/// Returns the action that operators should take on a store error.
pub fn operator_advice(error: &StoreError) -> &'static str {
    match error {
        StoreError::DeviceFull(_) => {
            "free space on the device, then restart the agent: no committed data is lost"
        }
        StoreError::Corrupt(_) => {
            "the device may be unreliable: remove this member, give it an empty store and add it again"
        }
        StoreError::UnsupportedSchema { .. } => "use the program version that wrote the store",
        StoreError::WrongOwner { .. } => "the configuration names the store of another instance",
        StoreError::OutOfOrder(_) => "this is a bug in the program: report it with the log",
        StoreError::InUse => "stop the other agent that uses the store, or configure a separate store",
        StoreError::File { .. } | StoreError::NotFound { .. } => "check the path and its permissions",
        StoreError::Empty | StoreError::Device(_) | StoreError::Failed { .. } => {
            "the device failed: check the system log, then restart the agent"
        }
    }
}

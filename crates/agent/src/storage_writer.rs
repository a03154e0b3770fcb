//! The thread that owns the store. It commits one batch at a time and reports each to the engine once it is durable,
//! so that a slow device delays only what depends on the write.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread::JoinHandle;
use std::time::Instant;

use garnetcrank_store::{Batch, Store, StoreError};

use crate::counters::{Counters, add, count};
use crate::engine_input::EngineInput;

/// Batches that wait for the thread: the engine writes one at a time and waits for its report.
const MAX_QUEUED_BATCHES: usize = 1;

/// Starts the thread. It ends when the sender is dropped, when the engine has ended or when a commit has failed.
///
/// # Errors
/// The system can't start another thread.
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
    count(&counters.batches_committed);
    add(&counters.entries_committed, batch.entries.len() as u64);
    if batch.snapshot.is_some() {
        count(&counters.snapshots_written);
    }
    result
}

/// Length of a file in bytes; 0 if that is not known.
fn file_length(path: &Path) -> u64 {
    std::fs::metadata(path).map_or(0, |metadata| metadata.len())
}

/// What operators should do about an error of the store.
pub fn advice(error: &StoreError) -> &'static str {
    match error {
        StoreError::DeviceFull(_) => {
            "free space on the device and start again: nothing that was decided is lost"
        }
        StoreError::Corrupt(_) => {
            "don't trust the device: remove this member, give it an empty store and add it again"
        }
        StoreError::UnsupportedSchema { .. } => "use the program version that wrote the store",
        StoreError::WrongOwner { .. } => "the configuration names another instance's store",
        StoreError::OutOfOrder(_) => "a bug in this program: report it with the log",
        StoreError::InUse => "stop the other agent that uses it, or give this one a store of its own",
        StoreError::File { .. } | StoreError::NotFound { .. } => "check the path and its permissions",
        StoreError::Empty | StoreError::Device(_) | StoreError::Failed { .. } => {
            "the device failed: check the system's log, then start again"
        }
    }
}

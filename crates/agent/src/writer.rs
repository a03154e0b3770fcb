//! The thread that owns the store: one batch at a time, durable before the core hears of it. A slow device delays
//! what depends on the write and nothing else.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread::JoinHandle;
use std::time::Instant;

use garnetcrank_store::{Batch, Store, StoreError};

use crate::core::Input;
use crate::counters::{Counters, add, count};

/// Starts the thread. It ends when the sender is dropped or the store has ended.
///
/// # Errors
/// The system gives no thread.
pub fn start(
    mut store: Store,
    path: PathBuf,
    core: SyncSender<Input>,
    counters: Arc<Counters>,
) -> std::io::Result<(SyncSender<Batch>, JoinHandle<()>)> {
    let (sender, jobs): (SyncSender<Batch>, Receiver<Batch>) = sync_channel(1);
    let run = move || {
        while let Ok(batch) = jobs.recv() {
            let begun = Instant::now();
            let result = store.commit(&batch);
            add(&counters.commit_us, begun.elapsed().as_micros() as u64);
            count(&counters.commits);
            add(&counters.entries, batch.entries.len() as u64);
            if batch.snapshot.is_some() {
                count(&counters.snapshots);
            }
            let written = result.map(|()| std::fs::metadata(&path).map_or(0, |m| m.len()));
            let ended = written.is_err();
            if core.send(Input::Written(written)).is_err() || ended {
                break;
            }
        }
    };
    let thread = std::thread::Builder::new().name("store".to_owned()).spawn(run)?;
    Ok((sender, thread))
}

/// What the end of the store means for operators.
pub fn advice(error: &StoreError) -> &'static str {
    match error {
        StoreError::Full(_) => "make room on the device and start again: nothing that was decided is lost",
        StoreError::Corrupt(_) => {
            "the device is not to be trusted: remove this member, give it an empty store and add it anew"
        }
        StoreError::Schema { .. } => "use the program that wrote the store",
        StoreError::Identity { .. } => "the configuration names another instance's store",
        StoreError::Order(_) => "a fault of this program: report it with the log",
        StoreError::Ended(_) => "the device failed: look at the system's log, then start again",
    }
}

//! Writes and messages that Raft has ready. At most one batch is in flight to the storage writer.

use std::sync::mpsc::SyncSender;

use garnetcrank_consensus::raft_node::StorageHeadroom;
use garnetcrank_store::Batch;
use tracing::warn;

use super::{Engine, EngineError};

const BYTES_PER_MB: u64 = 1024 * 1024;

/// The state of writes to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WriteState {
    Idle,
    InFlight,
}

/// The engine's connection to the storage writer.
pub(super) struct Persistence {
    writer: SyncSender<Batch>,
    state: WriteState,
    file_bytes: u64,
}

impl Persistence {
    pub(super) fn new(writer: SyncSender<Batch>) -> Self {
        Self { writer, state: WriteState::Idle, file_bytes: 0 }
    }

    /// Returns the length of the store's file after the last batch, in bytes; 0 before the first batch.
    pub(super) fn file_bytes(&self) -> u64 {
        self.file_bytes
    }

    fn write(&mut self, batch: Batch) -> Result<(), EngineError> {
        self.state = WriteState::InFlight;
        self.writer.send(batch).map_err(|_| EngineError::WriterEnded)
    }
}

impl Engine {
    /// Sends the messages and writes the batches that Raft has ready, until a batch is in flight.
    pub(super) fn process_ready(&mut self) -> Result<(), EngineError> {
        while self.persistence.state == WriteState::Idle {
            let Some(ready) = self.node.ready()? else { break };
            for message in &ready.messages {
                self.peers.send(message);
            }
            if ready.batch.is_empty() {
                self.node.on_persisted()?;
            } else {
                self.persistence.write(ready.batch)?;
            }
        }
        self.report_leadership();
        // The engine has no use for the applied entries; without this call the node would accumulate them.
        self.node.take_applied();
        Ok(())
    }

    pub(super) fn on_batch_persisted(&mut self, file_bytes: u64) -> Result<(), EngineError> {
        self.persistence.file_bytes = file_bytes;
        self.persistence.state = WriteState::Idle;
        self.node.on_persisted()?;
        self.update_storage_headroom();
        Ok(())
    }

    fn update_storage_headroom(&mut self) {
        let file_bytes = self.persistence.file_bytes;
        let limit_bytes = self.config.store_limit_mb * BYTES_PER_MB;
        let headroom =
            if file_bytes >= limit_bytes { StorageHeadroom::Low } else { StorageHeadroom::Sufficient };
        if headroom == StorageHeadroom::Low && !self.node.status().storage_low {
            warn!(file_bytes, limit_bytes, "the store is nearly full: no new entries are accepted");
        }
        self.node.set_storage_headroom(headroom);
    }
}

//! The bounded queue of messages to one peer, with one channel for short messages and one for long ones.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::counters::increment;
use crate::peer_protocol::MAX_UNCHUNKED_BYTES;

/// Maximum number of queued short messages per peer.
const MAX_QUEUED_MESSAGES: usize = 1024;
/// Maximum number of queued long messages per peer: a second snapshot is useless to a peer that has not
/// received the first.
const MAX_QUEUED_LONG_MESSAGES: usize = 1;
/// Maximum number of queued bytes per peer. Further messages are dropped; Raft resends those that matter.
const MAX_QUEUED_BYTES: usize = 32 * 1024 * 1024;

/// Creates a queue and returns its sending and receiving ends.
pub(super) fn peer_queue() -> (QueueSender, PeerQueue) {
    let (short, short_receiver) = mpsc::channel(MAX_QUEUED_MESSAGES);
    let (long, long_receiver) = mpsc::channel(MAX_QUEUED_LONG_MESSAGES);
    let queued_bytes = Arc::new(AtomicUsize::new(0));
    let receiver =
        PeerQueue { short: short_receiver, long: long_receiver, queued_bytes: queued_bytes.clone() };
    (QueueSender { short, long, queued_bytes }, receiver)
}

/// The error for a message dropped because the queue is full.
#[derive(Debug)]
pub(super) struct QueueFull;

/// The sending end of a queue.
#[derive(Debug)]
pub(super) struct QueueSender {
    short: mpsc::Sender<Vec<u8>>,
    long: mpsc::Sender<Vec<u8>>,
    queued_bytes: Arc<AtomicUsize>,
}

impl QueueSender {
    /// Queues a message, unless the queue is full.
    ///
    /// # Errors
    /// The queue is full and the message was dropped.
    pub(super) fn try_send(&self, message: Vec<u8>) -> Result<(), QueueFull> {
        let length = message.len();
        // A single message longer than the byte limit is accepted, since it could never be sent otherwise.
        let fits = self.queued_bytes.load(Ordering::Relaxed) + length <= MAX_QUEUED_BYTES
            || length > MAX_QUEUED_BYTES;
        if !fits {
            return Err(QueueFull);
        }
        let channel = if length > MAX_UNCHUNKED_BYTES { &self.long } else { &self.short };
        channel.try_send(message).map_err(|_| QueueFull)?;
        self.queued_bytes.fetch_add(length, Ordering::Relaxed);
        Ok(())
    }
}

/// The receiving end of a queue.
pub(super) struct PeerQueue {
    pub(super) short: mpsc::Receiver<Vec<u8>>,
    pub(super) long: mpsc::Receiver<Vec<u8>>,
    queued_bytes: Arc<AtomicUsize>,
}

/// Whether a queue still has a sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum QueueState {
    Open,
    Closed,
}

impl PeerQueue {
    /// Subtracts a message taken from the queue from the number of queued bytes.
    pub(super) fn on_dequeued(&self, message: &[u8]) {
        self.queued_bytes.fetch_sub(message.len(), Ordering::Relaxed);
    }

    /// Drops all messages queued during `duration` and counts them in `dropped`. They would be outdated by
    /// the end of it, and Raft resends those that matter. Returns whether the queue still has a sender.
    pub(super) async fn discard_for(&mut self, duration: Duration, dropped: &AtomicU64) -> QueueState {
        let end = sleep(duration);
        tokio::pin!(end);
        loop {
            let received = tokio::select! {
                () = &mut end => return QueueState::Open,
                message = self.short.recv() => message,
                message = self.long.recv() => message,
            };
            let Some(message) = received else { return QueueState::Closed };
            self.on_dequeued(&message);
            increment(dropped);
        }
    }
}

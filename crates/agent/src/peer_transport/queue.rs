//! The bounded queue of messages to one peer: one line for short messages, one for long ones.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::counters::count;
use crate::peer_protocol::MAX_UNCHUNKED_BYTES;

/// Most short messages that wait for one peer.
const MAX_QUEUED_MESSAGES: usize = 1024;
/// Most long messages that wait for one peer: a second snapshot for a peer that has not got the first is of no use.
const MAX_QUEUED_LONG_MESSAGES: usize = 1;
/// Most bytes that wait for one peer. Beyond that messages are dropped, and Raft sends again what matters.
const MAX_QUEUED_BYTES: usize = 32 * 1024 * 1024;

/// A queue's two ends.
pub(super) fn peer_queue() -> (QueueSender, PeerQueue) {
    let (short, short_receiver) = mpsc::channel(MAX_QUEUED_MESSAGES);
    let (long, long_receiver) = mpsc::channel(MAX_QUEUED_LONG_MESSAGES);
    let queued_bytes = Arc::new(AtomicUsize::new(0));
    let receiver =
        PeerQueue { short: short_receiver, long: long_receiver, queued_bytes: queued_bytes.clone() };
    (QueueSender { short, long, queued_bytes }, receiver)
}

/// A message that was dropped because too much is queued already.
#[derive(Debug)]
pub(super) struct QueueFull;

/// The sending end.
#[derive(Debug)]
pub(super) struct QueueSender {
    short: mpsc::Sender<Vec<u8>>,
    long: mpsc::Sender<Vec<u8>>,
    queued_bytes: Arc<AtomicUsize>,
}

impl QueueSender {
    /// Queues a message, unless too much is queued already.
    ///
    /// # Errors
    /// The message was dropped.
    pub(super) fn try_send(&self, message: Vec<u8>) -> Result<(), QueueFull> {
        let length = message.len();
        // A message that is longer than the limit by itself would never be sent otherwise.
        let fits = self.queued_bytes.load(Ordering::Relaxed) + length <= MAX_QUEUED_BYTES
            || length > MAX_QUEUED_BYTES;
        if !fits {
            return Err(QueueFull);
        }
        let line = if length > MAX_UNCHUNKED_BYTES { &self.long } else { &self.short };
        line.try_send(message).map_err(|_| QueueFull)?;
        self.queued_bytes.fetch_add(length, Ordering::Relaxed);
        Ok(())
    }
}

/// The receiving end.
pub(super) struct PeerQueue {
    pub(super) short: mpsc::Receiver<Vec<u8>>,
    pub(super) long: mpsc::Receiver<Vec<u8>>,
    queued_bytes: Arc<AtomicUsize>,
}

/// Whether anyone can still send into a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum QueueState {
    Open,
    Closed,
}

impl PeerQueue {
    /// Notes that a message has been taken out.
    pub(super) fn on_dequeued(&self, message: &[u8]) {
        self.queued_bytes.fetch_sub(message.len(), Ordering::Relaxed);
    }

    /// Drops all that is queued meanwhile: by the end of `span` it would be old, and Raft sends again what matters.
    /// Each message is counted in `dropped`.
    pub(super) async fn discard_for(&mut self, span: Duration, dropped: &AtomicU64) -> QueueState {
        let end = sleep(span);
        tokio::pin!(end);
        loop {
            let received = tokio::select! {
                () = &mut end => return QueueState::Open,
                message = self.short.recv() => message,
                message = self.long.recv() => message,
            };
            let Some(message) = received else { return QueueState::Closed };
            self.on_dequeued(&message);
            count(dropped);
        }
    }
}

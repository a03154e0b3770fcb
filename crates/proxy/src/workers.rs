//! State shared by the worker threads: the dispatcher under a lock, a mailbox for each worker, and the
//! lifecycle stage of the process.
//!
//! Each worker has its own event loop, clients and connections to endpoints. The first one also runs the
//! control plane (discovery, release controller, agent), the lifecycle of the process and the policy's
//! timers.

#[cfg(test)]
mod tests;

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use calloop::ping::{Ping, PingSource, make_ping};
use garnetcrank_policy::api::{Build, Event, Micros, RequestId};
use garnetcrank_shared_policy::{DecisionStamp, SharedPolicy, StampStatus};

use crate::clock::MS;
use crate::counters::Counters;
use crate::discovery::EndpointAddress;
use crate::dispatcher::{Command, Dispatcher};
use crate::lifecycle::LifecycleStage;
use crate::worker_id::WorkerId;

/// Age beyond which a decision is not executed but made again: its thread was suspended in between, and the
/// state that the decision was based on is outdated.
const MAX_DECISION_AGE: Micros = 20 * MS;

/// Message from one worker to another.
pub(crate) enum WorkerMessage {
    /// Execute this command for a connection of the receiver.
    Command(Command),
    /// The address or status of an endpoint has changed.
    EndpointChanged(EndpointAddress),
    /// The exposure cap of this build has been lowered.
    ExposureLowered(Build),
}

/// State of one worker that the others can access.
struct WorkerSlot {
    messages: Mutex<Vec<WorkerMessage>>,
    /// Wakes the worker's event loop.
    ping: Ping,
    client_count: AtomicUsize,
    drained: AtomicBool,
    counters: Mutex<Counters>,
}

impl WorkerSlot {
    fn new(ping: Ping) -> Self {
        WorkerSlot {
            messages: Mutex::default(),
            ping,
            client_count: AtomicUsize::new(0),
            drained: AtomicBool::new(false),
            counters: Mutex::default(),
        }
    }
}

/// State that all workers share.
pub(crate) struct WorkerShared {
    dispatcher: SharedPolicy<Dispatcher>,
    slots: Vec<WorkerSlot>,
    stage: Mutex<LifecycleStage>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // A panic in any thread terminates the process, so no thread continues with the state that it left.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl WorkerShared {
    /// Creates the shared state of `worker_count` workers, and for each of them the event source that wakes
    /// it.
    ///
    /// # Errors
    /// The system has no descriptor for a wake-up source.
    pub(crate) fn new(
        dispatcher: Dispatcher,
        worker_count: usize,
    ) -> std::io::Result<(Self, Vec<PingSource>)> {
        let mut slots = Vec::new();
        let mut wake_sources = Vec::new();
        for _ in 0..worker_count {
            let (ping, wake_source) = make_ping()?;
            wake_sources.push(wake_source);
            slots.push(WorkerSlot::new(ping));
        }
        let shared = WorkerShared {
            dispatcher: SharedPolicy::new(dispatcher, worker_count, MAX_DECISION_AGE),
            slots,
            stage: Mutex::new(LifecycleStage::Starting),
        };
        Ok((shared, wake_sources))
    }

    /// Returns the number of workers, at least 1.
    pub(crate) fn worker_count(&self) -> usize {
        self.slots.len()
    }

    /// Locks the dispatcher. The caller must not block while it holds the guard.
    pub(crate) fn dispatcher(&self) -> MutexGuard<'_, Dispatcher> {
        self.dispatcher.lock()
    }

    /// With several workers, lets the policy handle all queued events. Otherwise another worker would handle
    /// them and would have to post the resulting commands back. A single worker handles one event at a time
    /// in its turn.
    pub(crate) fn drain_dispatcher(
        &self,
        dispatcher: &mut Dispatcher,
        now: Micros,
        commands: &mut Vec<Command>,
    ) {
        if self.worker_count() > 1 {
            while dispatcher.handle_next_event(now, commands) {}
        }
    }

    /// Queues an update of the endpoint list or the rollout for the policy. Earlier decisions that have not
    /// been executed yet are made again.
    pub(crate) fn queue_update(&self, event: Event) {
        self.dispatcher.update(|dispatcher| dispatcher.queue_priority_event(event));
    }

    /// Returns whether a decision with this stamp may still be executed. Always true with a single worker,
    /// which executes a decision in the turn in which it was made.
    pub(crate) fn is_decision_current(&self, stamp: DecisionStamp, now: Micros) -> bool {
        self.dispatcher.stamp_status(stamp, now) == StampStatus::Current
    }

    /// Returns the worker that owns a request.
    pub(crate) fn owner(&self, id: RequestId) -> WorkerId {
        WorkerId::owning_request(id, self.worker_count())
    }

    /// Appends messages to a worker's mailbox and wakes it.
    pub(crate) fn post(&self, to: WorkerId, messages: impl IntoIterator<Item = WorkerMessage>) {
        let slot = &self.slots[to.0];
        lock(&slot.messages).extend(messages);
        slot.ping.ping();
    }

    /// Removes and returns all messages of a worker's mailbox, in the order in which they were posted.
    pub(crate) fn take_messages(&self, worker: WorkerId) -> Vec<WorkerMessage> {
        std::mem::take(&mut *lock(&self.slots[worker.0].messages))
    }

    /// Returns all workers but this one.
    pub(crate) fn others(&self, worker: WorkerId) -> impl Iterator<Item = WorkerId> + use<> {
        (0..self.worker_count()).map(WorkerId).filter(move |other| *other != worker)
    }

    /// Publishes a worker's state to the others. Called only with several workers.
    pub(crate) fn publish(&self, worker: WorkerId, client_count: usize, drained: bool, counters: &Counters) {
        let slot = &self.slots[worker.0];
        slot.client_count.store(client_count, Ordering::Relaxed);
        slot.drained.store(drained, Ordering::SeqCst);
        *lock(&slot.counters) = counters.clone();
    }

    /// Publishes a worker's number of clients only.
    pub(crate) fn publish_client_count(&self, worker: WorkerId, client_count: usize) {
        self.slots[worker.0].client_count.store(client_count, Ordering::Relaxed);
    }

    /// Returns whether no other worker has published fewer clients; if so, this worker may accept the next
    /// client.
    pub(crate) fn has_fewest_clients(&self, worker: WorkerId) -> bool {
        let own = self.client_count(worker);
        self.others(worker).all(|other| own <= self.client_count(other))
    }

    fn client_count(&self, worker: WorkerId) -> usize {
        self.slots[worker.0].client_count.load(Ordering::Relaxed)
    }

    /// Returns whether all other workers have stopped accepting and have no client left.
    pub(crate) fn others_drained(&self, worker: WorkerId) -> bool {
        self.others(worker).all(|other| self.slots[other.0].drained.load(Ordering::SeqCst))
    }

    /// Returns the counters that the other workers have published.
    pub(crate) fn others_counters(&self, worker: WorkerId) -> Vec<Counters> {
        self.others(worker).map(|other| lock(&self.slots[other.0].counters).clone()).collect()
    }

    /// Publishes the lifecycle stage. Called by the first worker only. All workers are woken when the stage
    /// becomes [`LifecycleStage::Stopped`].
    pub(crate) fn set_stage(&self, stage: LifecycleStage) {
        let previous = std::mem::replace(&mut *lock(&self.stage), stage);
        if stage == LifecycleStage::Stopped && previous != stage {
            for slot in &self.slots {
                slot.ping.ping();
            }
        }
    }

    /// Returns the lifecycle stage of the process.
    pub(crate) fn stage(&self) -> LifecycleStage {
        *lock(&self.stage)
    }
}

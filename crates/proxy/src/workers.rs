//! What the worker threads share: the dispatcher under a lock, a mailbox for each worker, and the lifecycle stage of
//! the process.
//!
//! Each worker has its own event loop, clients and connections to endpoints. The first one also runs the control
//! plane (discovery, release controller, agent), the lifecycle of the process and the policy's timers.

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

/// Age from which on a decision is not carried out but made again: its thread did not run meanwhile, and what the
/// decision was based on is old.
const MAX_DECISION_AGE: Micros = 20 * MS;

/// What one worker sends to another.
pub(crate) enum WorkerMessage {
    /// A command for one of its connections.
    Command(Command),
    /// An endpoint's address or status has changed.
    EndpointChanged(EndpointAddress),
    /// The exposure cap of this build has been lowered.
    ExposureLowered(Build),
}

/// One worker as the others see it.
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

/// All that the workers share.
pub(crate) struct WorkerShared {
    dispatcher: SharedPolicy<Dispatcher>,
    slots: Vec<WorkerSlot>,
    stage: Mutex<LifecycleStage>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // A thread that panics ends the process; nobody goes on with the state that it left.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl WorkerShared {
    /// The shared state of `worker_count` workers, and for each of them the event source that wakes it.
    ///
    /// # Errors
    /// When the system gives no descriptor for a wake-up source.
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

    /// Number of workers, at least 1.
    pub(crate) fn worker_count(&self) -> usize {
        self.slots.len()
    }

    /// The dispatcher, locked. Nothing that may block is done while the guard lives.
    pub(crate) fn dispatcher(&self) -> MutexGuard<'_, Dispatcher> {
        self.dispatcher.lock()
    }

    /// With several workers, has the policy handle all events that wait: another worker would otherwise handle them,
    /// and the commands that come of it would have to travel back. A single worker handles one event at a time in its
    /// turn.
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

    /// Queues an update of the endpoint list or the rollout for the policy. Decisions made before it that have not been
    /// carried out are made again.
    pub(crate) fn deliver(&self, event: Event) {
        self.dispatcher.update(|dispatcher| dispatcher.queue_priority_event(event));
    }

    /// Whether a decision with this stamp may still be carried out. Always true with a single worker, which carries it
    /// out in the turn in which it was made.
    pub(crate) fn may_send(&self, stamp: DecisionStamp, now: Micros) -> bool {
        self.dispatcher.stamp_status(stamp, now) == StampStatus::Current
    }

    /// The worker that owns a request.
    pub(crate) fn owner(&self, id: RequestId) -> WorkerId {
        WorkerId::owning_request(id, self.worker_count())
    }

    /// Appends messages to a worker's mailbox and wakes it.
    pub(crate) fn post(&self, to: WorkerId, messages: impl IntoIterator<Item = WorkerMessage>) {
        let slot = &self.slots[to.0];
        lock(&slot.messages).extend(messages);
        slot.ping.ping();
    }

    /// Takes all messages out of a worker's mailbox, in the order they were posted.
    pub(crate) fn take_messages(&self, worker: WorkerId) -> Vec<WorkerMessage> {
        std::mem::take(&mut *lock(&self.slots[worker.0].messages))
    }

    /// All workers but this one.
    pub(crate) fn others(&self, worker: WorkerId) -> impl Iterator<Item = WorkerId> + use<> {
        (0..self.worker_count()).map(WorkerId).filter(move |other| *other != worker)
    }

    /// Publishes a worker's state for the others; called with several workers only.
    pub(crate) fn publish(&self, worker: WorkerId, client_count: usize, drained: bool, counters: &Counters) {
        let slot = &self.slots[worker.0];
        slot.client_count.store(client_count, Ordering::Relaxed);
        slot.drained.store(drained, Ordering::SeqCst);
        *lock(&slot.counters) = counters.clone();
    }

    /// Publishes a worker's number of clients alone.
    pub(crate) fn publish_client_count(&self, worker: WorkerId, client_count: usize) {
        self.slots[worker.0].client_count.store(client_count, Ordering::Relaxed);
    }

    /// Whether a worker has no more clients than any other, as published: the next client is its own to accept.
    pub(crate) fn has_fewest_clients(&self, worker: WorkerId) -> bool {
        let own = self.client_count(worker);
        self.others(worker).all(|other| own <= self.client_count(other))
    }

    fn client_count(&self, worker: WorkerId) -> usize {
        self.slots[worker.0].client_count.load(Ordering::Relaxed)
    }

    /// Whether all other workers have stopped accepting and have no client left.
    pub(crate) fn others_drained(&self, worker: WorkerId) -> bool {
        self.others(worker).all(|other| self.slots[other.0].drained.load(Ordering::SeqCst))
    }

    /// The counters that the other workers have published.
    pub(crate) fn others_counters(&self, worker: WorkerId) -> Vec<Counters> {
        self.others(worker).map(|other| lock(&self.slots[other.0].counters).clone()).collect()
    }

    /// Publishes the lifecycle stage. The first worker alone sets it; all are woken when it becomes
    /// [`LifecycleStage::Stopped`].
    pub(crate) fn set_stage(&self, stage: LifecycleStage) {
        let before = std::mem::replace(&mut *lock(&self.stage), stage);
        if stage == LifecycleStage::Stopped && before != stage {
            for slot in &self.slots {
                slot.ping.ping();
            }
        }
    }

    /// The lifecycle stage of the process.
    pub(crate) fn stage(&self) -> LifecycleStage {
        *lock(&self.stage)
    }
}

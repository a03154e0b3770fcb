//! What the threads of a front share: the decisions under a lock, letters to one another, and how far the process is.
//!
//! Each thread has its own loop, clients and connections to machines. The first one also has discovery, the platform,
//! the phases of the process and the decisions' timers.

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
use crate::readiness::ConnId;

/// Threads at the most.
pub const MAX_WORKERS: usize = 16;
/// A placement that was not sent so long after its decision is decided anew: its thread did not run, and what the
/// decision went by is old.
const LATE: Micros = 20 * MS;

/// A thread of the front, counted from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkerId(pub usize);

impl WorkerId {
    /// The one with the news, the phases and the timers.
    pub const FIRST: WorkerId = WorkerId(0);
}

/// What one thread tells another.
pub enum WorkerMessage {
    /// A command for one of its connections.
    Command(Command),
    /// News of where a machine listens.
    EndpointChanged(EndpointAddress),
    /// Less may be sent to this build than before.
    ExposureLowered(Build),
}

struct Mailbox {
    messages: Mutex<Vec<WorkerMessage>>,
    ping: Ping,
    clients: AtomicUsize,
    drained: AtomicBool,
    counters: Mutex<Counters>,
}

/// All that is shared.
pub struct WorkerShared {
    dispatcher: SharedPolicy<Dispatcher>,
    mailboxes: Vec<Mailbox>,
    stage: Mutex<LifecycleStage>,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // A thread that panics ends the process; nobody goes on with what it left.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl WorkerShared {
    /// For so many threads; and what wakes each of them.
    pub fn new(driver: Dispatcher, cores: usize) -> std::io::Result<(Self, Vec<PingSource>)> {
        let (mut desks, mut sources) = (Vec::new(), Vec::new());
        for _ in 0..cores {
            let (ping, source) = make_ping()?;
            sources.push(source);
            desks.push(Mailbox {
                messages: Mutex::default(),
                ping,
                clients: AtomicUsize::new(0),
                drained: AtomicBool::new(false),
                counters: Mutex::default(),
            });
        }
        let shared = WorkerShared {
            dispatcher: SharedPolicy::new(driver, cores, LATE),
            mailboxes: desks,
            stage: Mutex::new(LifecycleStage::Starting),
        };
        Ok((shared, sources))
    }

    /// Threads.
    pub fn worker_count(&self) -> usize {
        self.mailboxes.len()
    }

    /// The decisions. Nothing that waits is done while they are held.
    pub fn dispatcher(&self) -> MutexGuard<'_, Dispatcher> {
        self.dispatcher.lock()
    }

    /// Tells the decisions all that waits, on one of several threads: whatever waited on would be told by another, and
    /// what came of it would have to travel back. One thread alone tells one thing at a time, as ever.
    pub fn drain_dispatcher(&self, driver: &mut Dispatcher, now: Micros, commands: &mut Vec<Command>) {
        if self.worker_count() > 1 {
            while driver.step(now, commands) {}
        }
    }

    /// News for the decisions. Placements decided before it are decided anew, unless they are on their way.
    pub fn deliver(&self, event: Event) {
        self.dispatcher.update(|driver| driver.queue_priority_event(event));
    }

    /// Whether what was decided under a stamp may still be sent. One thread alone sends in the turn of its decision.
    pub fn may_send(&self, stamp: DecisionStamp, now: Micros) -> bool {
        self.dispatcher.stamp_status(stamp, now) == StampStatus::Current
    }

    /// Whose thread a request is on.
    pub fn owner(&self, id: RequestId) -> WorkerId {
        WorkerId(id.0 as usize % self.worker_count())
    }

    /// Leaves letters for a thread and wakes it.
    pub fn post(&self, to: WorkerId, letters: impl IntoIterator<Item = WorkerMessage>) {
        let desk = &self.mailboxes[to.0];
        locked(&desk.messages).extend(letters);
        desk.ping.ping();
    }

    /// Letters for a thread, in the order they were left.
    pub fn take_messages(&self, of: WorkerId) -> Vec<WorkerMessage> {
        std::mem::take(&mut *locked(&self.mailboxes[of.0].messages))
    }

    /// All other threads.
    pub fn others(&self, core: WorkerId) -> impl Iterator<Item = WorkerId> + use<> {
        (0..self.worker_count()).map(WorkerId).filter(move |other| *other != core)
    }

    /// A thread's figures, for the others.
    pub fn publish(&self, core: WorkerId, clients: usize, gone: bool, counters: &Counters) {
        let desk = &self.mailboxes[core.0];
        desk.clients.store(clients, Ordering::Relaxed);
        desk.drained.store(gone, Ordering::SeqCst);
        if self.worker_count() > 1 {
            *locked(&desk.counters) = counters.clone();
        }
    }

    /// Whether a thread has no more clients than any other: the next one is its to take.
    pub fn has_fewest_clients(&self, core: WorkerId, clients: usize) -> bool {
        self.mailboxes[core.0].clients.store(clients, Ordering::Relaxed);
        self.others(core).all(|other| clients <= self.mailboxes[other.0].clients.load(Ordering::Relaxed))
    }

    /// Whether the other threads take nobody any more and nobody is connected to them.
    pub fn others_drained(&self, core: WorkerId) -> bool {
        self.others(core).all(|other| self.mailboxes[other.0].drained.load(Ordering::SeqCst))
    }

    /// The other threads' counters.
    pub fn others_counters(&self, core: WorkerId) -> Vec<Counters> {
        self.others(core).map(|other| locked(&self.mailboxes[other.0].counters).clone()).collect()
    }

    /// The first thread tells how far the process is.
    pub fn set_stage(&self, reached: LifecycleStage) {
        let before = std::mem::replace(&mut *locked(&self.stage), reached);
        if reached == LifecycleStage::Stopped && before != reached {
            self.mailboxes.iter().for_each(|desk| desk.ping.ping());
        }
    }

    /// How far the process is.
    pub fn stage(&self) -> LifecycleStage {
        *locked(&self.stage)
    }
}

/// Whose connection it is.
pub fn owner_of(client: ConnId) -> WorkerId {
    WorkerId((client.0 >> ConnId::WORKER_SHIFT) as usize)
}

#[cfg(test)]
mod tests {
    use super::*;
    use garnetcrank_policy::api::EndpointUpdate;

    fn shared(cores: usize) -> WorkerShared {
        let value = serde_json::from_str(include_str!("../tests/settings.json")).expect("JSON");
        let settings = garnetcrank_settings::Settings::read(&value).expect("settings");
        WorkerShared::new(Dispatcher::new(7, &settings, cores), cores).expect("what wakes threads").0
    }

    #[test]
    fn what_was_decided_before_news_or_long_ago_is_not_sent() {
        let shared = shared(3);
        let stamp = DecisionStamp { updates: 0, decided_at: 1_000 * MS };
        assert!(shared.may_send(stamp, 1_000 * MS + LATE));
        assert!(!shared.may_send(stamp, 1_001 * MS + LATE), "its thread did not run");
        shared.deliver(Event::EndpointsUpdated(EndpointUpdate::Delta(Vec::new())));
        assert!(!shared.may_send(stamp, 1_000 * MS), "it was decided without the news");
        let unheard = DecisionStamp { updates: 0, decided_at: 1_000 * MS };
        assert!(!shared.may_send(unheard, 1_000 * MS), "news that waits is not known yet");
        shared.dispatcher().step(1_000 * MS, &mut Vec::new());
        assert!(shared.may_send(DecisionStamp { updates: 1, decided_at: 1_000 * MS }, 1_000 * MS));
    }

    #[test]
    fn one_thread_alone_sends_whatever_it_decided() {
        let shared = shared(1);
        shared.deliver(Event::EndpointsUpdated(EndpointUpdate::Delta(Vec::new())));
        assert!(shared.may_send(DecisionStamp { updates: 0, decided_at: 0 }, 9_000 * MS));
    }

    #[test]
    fn the_thread_with_the_fewest_clients_takes_the_next() {
        let shared = shared(3);
        shared.publish(WorkerId(0), 2, true, &Counters::default());
        shared.publish(WorkerId(1), 1, true, &Counters::default());
        shared.publish(WorkerId(2), 1, false, &Counters::default());
        assert!(
            !shared.has_fewest_clients(WorkerId(0), 2)
                && shared.has_fewest_clients(WorkerId(1), 1)
                && shared.has_fewest_clients(WorkerId(2), 1)
        );
        assert!(!shared.others_drained(WorkerId(0)) && shared.others_drained(WorkerId(2)));
    }

    #[test]
    fn letters_come_in_order_and_once() {
        let shared = shared(2);
        let letter = |n| WorkerMessage::Command(Command::CloseIdle(garnetcrank_policy::api::EndpointId(n)));
        shared.post(WorkerId(1), [letter(1), letter(2)]);
        shared.post(WorkerId(1), [letter(3)]);
        let numbers: Vec<u32> = (shared.take_messages(WorkerId(1)).into_iter())
            .filter_map(|letter| match letter {
                WorkerMessage::Command(Command::CloseIdle(machine)) => Some(machine.0),
                _ => None,
            })
            .collect();
        assert_eq!(numbers, [1, 2, 3]);
        assert!(shared.take_messages(WorkerId(1)).is_empty() && shared.take_messages(WorkerId(0)).is_empty());
    }
}

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
use crate::discovery::Place;
use crate::driver::{Command, Driver};
use crate::phase::Reached;
use crate::ready::ConnId;

/// Threads at the most.
pub const CORES_MOST: usize = 16;
/// A placement that was not sent so long after its decision is decided anew: its thread did not run, and what the
/// decision went by is old.
const LATE: Micros = 20 * MS;

/// A thread of the front, counted from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Core(pub usize);

impl Core {
    /// The one with the news, the phases and the timers.
    pub const FIRST: Core = Core(0);
}

/// What one thread tells another.
pub enum Letter {
    /// A command for one of its connections.
    Command(Command),
    /// News of where a machine listens.
    Place(Place),
    /// Less may be sent to this build than before.
    Less(Build),
}

struct Desk {
    letters: Mutex<Vec<Letter>>,
    ping: Ping,
    clients: AtomicUsize,
    gone: AtomicBool,
    counters: Mutex<Counters>,
}

/// All that is shared.
pub struct Shared {
    driver: SharedPolicy<Driver>,
    desks: Vec<Desk>,
    reached: Mutex<Reached>,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // A thread that panics ends the process; nobody goes on with what it left.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    /// For so many threads; and what wakes each of them.
    pub fn new(driver: Driver, cores: usize) -> std::io::Result<(Self, Vec<PingSource>)> {
        let (mut desks, mut sources) = (Vec::new(), Vec::new());
        for _ in 0..cores {
            let (ping, source) = make_ping()?;
            sources.push(source);
            desks.push(Desk {
                letters: Mutex::default(),
                ping,
                clients: AtomicUsize::new(0),
                gone: AtomicBool::new(false),
                counters: Mutex::default(),
            });
        }
        let shared = Shared {
            driver: SharedPolicy::new(driver, cores, LATE),
            desks,
            reached: Mutex::new(Reached::Starting),
        };
        Ok((shared, sources))
    }

    /// Threads.
    pub fn cores(&self) -> usize {
        self.desks.len()
    }

    /// The decisions. Nothing that waits is done while they are held.
    pub fn driver(&self) -> MutexGuard<'_, Driver> {
        self.driver.lock()
    }

    /// Tells the decisions all that waits, on one of several threads: whatever waited on would be told by another, and
    /// what came of it would have to travel back. One thread alone tells one thing at a time, as ever.
    pub fn empty(&self, driver: &mut Driver, now: Micros, commands: &mut Vec<Command>) {
        if self.cores() > 1 {
            while driver.step(now, commands) {}
        }
    }

    /// News for the decisions. Placements decided before it are decided anew, unless they are on their way.
    pub fn tell(&self, event: Event) {
        self.driver.update(|driver| driver.news(event));
    }

    /// Whether what was decided under a stamp may still be sent. One thread alone sends in the turn of its decision.
    pub fn may_send(&self, stamp: DecisionStamp, now: Micros) -> bool {
        self.driver.stamp_status(stamp, now) == StampStatus::Current
    }

    /// Whose thread a request is on.
    pub fn home(&self, id: RequestId) -> Core {
        Core(id.0 as usize % self.cores())
    }

    /// Leaves letters for a thread and wakes it.
    pub fn post(&self, to: Core, letters: impl IntoIterator<Item = Letter>) {
        let desk = &self.desks[to.0];
        locked(&desk.letters).extend(letters);
        desk.ping.ping();
    }

    /// Letters for a thread, in the order they were left.
    pub fn letters(&self, of: Core) -> Vec<Letter> {
        std::mem::take(&mut *locked(&self.desks[of.0].letters))
    }

    /// All other threads.
    pub fn others(&self, core: Core) -> impl Iterator<Item = Core> + use<> {
        (0..self.cores()).map(Core).filter(move |other| *other != core)
    }

    /// A thread's figures, for the others.
    pub fn publish(&self, core: Core, clients: usize, gone: bool, counters: &Counters) {
        let desk = &self.desks[core.0];
        desk.clients.store(clients, Ordering::Relaxed);
        desk.gone.store(gone, Ordering::SeqCst);
        if self.cores() > 1 {
            *locked(&desk.counters) = counters.clone();
        }
    }

    /// Whether a thread has no more clients than any other: the next one is its to take.
    pub fn least(&self, core: Core, clients: usize) -> bool {
        self.desks[core.0].clients.store(clients, Ordering::Relaxed);
        self.others(core).all(|other| clients <= self.desks[other.0].clients.load(Ordering::Relaxed))
    }

    /// Whether the other threads take nobody any more and nobody is connected to them.
    pub fn others_gone(&self, core: Core) -> bool {
        self.others(core).all(|other| self.desks[other.0].gone.load(Ordering::SeqCst))
    }

    /// The other threads' counters.
    pub fn others_counters(&self, core: Core) -> Vec<Counters> {
        self.others(core).map(|other| locked(&self.desks[other.0].counters).clone()).collect()
    }

    /// The first thread tells how far the process is.
    pub fn reach(&self, reached: Reached) {
        let before = std::mem::replace(&mut *locked(&self.reached), reached);
        if reached == Reached::Stopped && before != reached {
            self.desks.iter().for_each(|desk| desk.ping.ping());
        }
    }

    /// How far the process is.
    pub fn reached(&self) -> Reached {
        *locked(&self.reached)
    }
}

/// Whose connection it is.
pub fn home_of(client: ConnId) -> Core {
    Core((client.0 >> ConnId::CORE_SHIFT) as usize)
}

#[cfg(test)]
mod tests {
    use super::*;
    use garnetcrank_policy::api::EndpointUpdate;

    fn shared(cores: usize) -> Shared {
        let value = serde_json::from_str(include_str!("../tests/settings.json")).expect("JSON");
        let settings = garnetcrank_settings::Settings::read(&value).expect("settings");
        Shared::new(Driver::new(7, &settings, cores), cores).expect("what wakes threads").0
    }

    #[test]
    fn what_was_decided_before_news_or_long_ago_is_not_sent() {
        let shared = shared(3);
        let stamp = DecisionStamp { updates: 0, decided_at: 1_000 * MS };
        assert!(shared.may_send(stamp, 1_000 * MS + LATE));
        assert!(!shared.may_send(stamp, 1_001 * MS + LATE), "its thread did not run");
        shared.tell(Event::EndpointsUpdated(EndpointUpdate::Delta(Vec::new())));
        assert!(!shared.may_send(stamp, 1_000 * MS), "it was decided without the news");
        let unheard = DecisionStamp { updates: 0, decided_at: 1_000 * MS };
        assert!(!shared.may_send(unheard, 1_000 * MS), "news that waits is not known yet");
        shared.driver().step(1_000 * MS, &mut Vec::new());
        assert!(shared.may_send(DecisionStamp { updates: 1, decided_at: 1_000 * MS }, 1_000 * MS));
    }

    #[test]
    fn one_thread_alone_sends_whatever_it_decided() {
        let shared = shared(1);
        shared.tell(Event::EndpointsUpdated(EndpointUpdate::Delta(Vec::new())));
        assert!(shared.may_send(DecisionStamp { updates: 0, decided_at: 0 }, 9_000 * MS));
    }

    #[test]
    fn the_thread_with_the_fewest_clients_takes_the_next() {
        let shared = shared(3);
        shared.publish(Core(0), 2, true, &Counters::default());
        shared.publish(Core(1), 1, true, &Counters::default());
        shared.publish(Core(2), 1, false, &Counters::default());
        assert!(!shared.least(Core(0), 2) && shared.least(Core(1), 1) && shared.least(Core(2), 1));
        assert!(!shared.others_gone(Core(0)) && shared.others_gone(Core(2)));
    }

    #[test]
    fn letters_come_in_order_and_once() {
        let shared = shared(2);
        let letter = |n| Letter::Command(Command::CloseIdle(garnetcrank_policy::api::EndpointId(n)));
        shared.post(Core(1), [letter(1), letter(2)]);
        shared.post(Core(1), [letter(3)]);
        let numbers: Vec<u32> = (shared.letters(Core(1)).into_iter())
            .filter_map(|letter| match letter {
                Letter::Command(Command::CloseIdle(machine)) => Some(machine.0),
                _ => None,
            })
            .collect();
        assert_eq!(numbers, [1, 2, 3]);
        assert!(shared.letters(Core(1)).is_empty() && shared.letters(Core(0)).is_empty());
    }
}

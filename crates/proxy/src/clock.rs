//! The clock of the process, and the queue of timers that a worker has on it.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use garnetcrank_policy::api::Micros;

/// One millisecond.
pub(crate) const MS: Micros = 1_000;
/// One second.
pub(crate) const SECOND: Micros = 1_000 * MS;

/// Unix time at the start plus the monotonic time that has passed since, in microseconds. It never goes back, and the
/// start times of endpoints, which are given in Unix time, can be compared with it.
#[derive(Debug, Clone)]
pub(crate) struct Clock {
    started: Instant,
    started_unix: Micros,
}

impl Clock {
    /// A clock that starts now.
    pub(crate) fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), started_unix: to_micros(since_epoch) }
    }

    /// The present moment.
    pub(crate) fn now(&self) -> Micros {
        self.started_unix + to_micros(self.started.elapsed())
    }
}

fn to_micros(duration: Duration) -> Micros {
    // Half of the range leaves room for adding timeouts to a moment.
    Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX / 2)
}

/// Timers in order of their time, then of when they were set. A timer can't be cancelled: whoever receives it decides
/// whether it still matters.
#[derive(Debug)]
pub(crate) struct Timers<T> {
    set_count: u64,
    queue: BTreeMap<(Micros, u64), T>,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Timers { set_count: 0, queue: BTreeMap::new() }
    }
}

impl<T> Timers<T> {
    /// Sets a timer that gives back `task` from the moment `at` on.
    pub(crate) fn set(&mut self, at: Micros, task: T) {
        self.set_count += 1;
        self.queue.insert((at, self.set_count), task);
    }

    /// Takes the first timer, if its time has come.
    pub(crate) fn pop_due(&mut self, now: Micros) -> Option<T> {
        let first = self.queue.first_entry()?;
        let (at, _) = *first.key();
        if at > now {
            return None;
        }
        Some(first.remove())
    }

    /// When the first timer is due.
    pub(crate) fn next_due(&self) -> Option<Micros> {
        self.queue.first_key_value().map(|((at, _), _)| *at)
    }
}

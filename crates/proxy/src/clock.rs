//! Clock of the process, and the timer queue of a worker.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use garnetcrank_policy::api::Micros;

/// Microseconds per millisecond.
pub(crate) const MS: Micros = 1_000;
/// Microseconds per second.
pub(crate) const SECOND: Micros = 1_000 * MS;

/// Clock that adds the monotonic time since the start to the Unix time at the start, in microseconds. It
/// never goes back, and can be compared with the start times of endpoints, which are in Unix time.
#[derive(Debug, Clone)]
pub(crate) struct Clock {
    started: Instant,
    started_unix: Micros,
}

impl Clock {
    /// Creates a clock that starts now.
    pub(crate) fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), started_unix: to_micros(since_epoch) }
    }

    /// Returns the current time.
    pub(crate) fn now(&self) -> Micros {
        self.started_unix + to_micros(self.started.elapsed())
    }
}

fn to_micros(duration: Duration) -> Micros {
    // Half of the range leaves headroom for adding timeouts to a time.
    Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX / 2)
}

/// Queue of timers, ordered by due time and then by the order in which they were set. A timer can't be
/// cancelled: its receiver decides whether it still applies.
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
    /// Sets a timer that yields `task` once the time `at` is reached.
    pub(crate) fn set(&mut self, at: Micros, task: T) {
        self.set_count += 1;
        self.queue.insert((at, self.set_count), task);
    }

    /// Removes and returns the first timer's task, if it is due.
    pub(crate) fn pop_due(&mut self, now: Micros) -> Option<T> {
        let first = self.queue.first_entry()?;
        let (at, _) = *first.key();
        if at > now {
            return None;
        }
        Some(first.remove())
    }

    /// Returns when the first timer is due.
    pub(crate) fn next_due(&self) -> Option<Micros> {
        self.queue.first_key_value().map(|((at, _), _)| *at)
    }
}

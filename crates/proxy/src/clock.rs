//! The front's one clock and its one timer queue.

use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use garnetcrank_policy::api::Micros;

/// One millisecond.
pub const MS: Micros = 1_000;
/// One second.
pub const SECOND: Micros = 1_000 * MS;

/// Unix time at the start plus monotonic time passed since: it never goes back, and machine starts, told in
/// Unix time, lie on it.
#[derive(Debug, Clone)]
pub struct Clock {
    started: Instant,
    unix: Micros,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), unix: whole(unix) }
    }

    /// The present moment.
    pub fn now(&self) -> Micros {
        self.unix + whole(self.started.elapsed())
    }
}

fn whole(span: Duration) -> Micros {
    Micros::try_from(span.as_micros()).unwrap_or(Micros::MAX / 2)
}

/// What is due at its time, in order of time and then of setting. Entries are not taken back: what they are
/// for says whether they still matter.
#[derive(Debug)]
pub struct Timers<T> {
    set: u64,
    queue: BTreeMap<(Micros, u64), T>,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Timers { set: 0, queue: BTreeMap::new() }
    }
}

impl<T> Timers<T> {
    /// Adds one.
    pub fn set(&mut self, at: Micros, what: T) {
        self.set += 1;
        self.queue.insert((at, self.set), what);
    }

    /// Takes the first one due.
    pub fn due(&mut self, now: Micros) -> Option<T> {
        let first = self.queue.first_entry().filter(|e| e.key().0 <= now)?;
        Some(first.remove())
    }

    /// When the first one is due.
    pub fn due_at(&self) -> Option<Micros> {
        self.queue.first_key_value().map(|((at, _), _)| *at)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn timers_come_in_order_and_never_early() {
        let mut timers = Timers::default();
        for (at, what) in [(30, 'c'), (10, 'a'), (30, 'd'), (20, 'b')] {
            timers.set(at, what);
        }
        assert_eq!(timers.due(9), None);
        assert_eq!(timers.due_at(), Some(10));
        let mut order = String::new();
        while let Some(what) = timers.due(30) {
            order.push(what);
        }
        assert_eq!(order, "abcd");
        assert_eq!(timers.due_at(), None);
    }
}

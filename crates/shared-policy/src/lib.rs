//! One set of decisions among several threads. Whatever it keeps (caps, budgets, ejections, the vote) is exact because
//! there is one of it, under a lock. What the lock does not cover is the gap between a decision and its carrying out: a
//! thread may be stopped there for any time. A decision therefore carries a [`Stamp`], which is looked at before the
//! first byte goes out.
//!
//! No I/O, no clock: moments are passed in.

#[cfg(not(feature = "model"))]
use std::sync::{
    Mutex, MutexGuard,
    atomic::{AtomicU64, Ordering},
};

#[cfg(feature = "model")]
use shuttle::sync::{
    Mutex, MutexGuard,
    atomic::{AtomicU64, Ordering},
};

/// What a decision was made by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stamp {
    /// How much news the decisions had been told.
    pub news: u64,
    /// When, in microseconds of the caller's clock.
    pub at: u64,
}

/// Whether a decision may still be carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It may.
    Good,
    /// News has come since: it may be one that the news forbids.
    Outdated,
    /// Its thread did not run for a while: what it was made by is old.
    Late,
}

/// Decisions of type `D`, shared.
#[derive(Debug)]
pub struct Decisions<D> {
    inner: Mutex<D>,
    /// News handed to the decisions so far, whether or not they have been told of it yet.
    news: AtomicU64,
    /// Age beyond which a decision is not carried out, in microseconds.
    late: u64,
    /// One thread alone carries out in the turn of its decision: nothing can come between.
    alone: bool,
}

impl<D> Decisions<D> {
    /// For so many threads. A decision older than `late` microseconds is made anew.
    pub fn new(inner: D, threads: usize, late: u64) -> Self {
        Self { inner: Mutex::new(inner), news: AtomicU64::new(0), late, alone: threads == 1 }
    }

    /// The decisions. Nothing that waits may be done while they are held.
    pub fn lock(&self) -> MutexGuard<'_, D> {
        match self.inner.lock() {
            Ok(guard) => guard,
            // A thread that panics ends the process; nobody goes on with what it left.
            Err(poisoned) => poisoned.into_inner(),
        }
    }

    /// Hands news over by `put`. Once this returns, nothing that was decided without it is carried out.
    pub fn tell(&self, put: impl FnOnce(&mut D)) {
        put(&mut self.lock());
        // After it is there, never before: a stamp could else count news that the decisions have not got.
        self.news.fetch_add(1, Ordering::SeqCst);
    }

    /// Looks at the stamp of a decision before it is carried out.
    pub fn standing(&self, stamp: Stamp, now: u64) -> Standing {
        if self.alone {
            return Standing::Good;
        }
        if stamp.news != self.news.load(Ordering::SeqCst) {
            return Standing::Outdated;
        }
        if now > stamp.at.saturating_add(self.late) { Standing::Late } else { Standing::Good }
    }
}

#[cfg(all(test, not(feature = "model")))]
mod tests {
    use super::*;

    #[test]
    fn what_was_decided_before_news_or_long_ago_does_not_stand() {
        let decisions = Decisions::new(Vec::new(), 2, 20);
        let stamp = Stamp { news: 0, at: 100 };
        assert_eq!(decisions.standing(stamp, 120), Standing::Good);
        assert_eq!(decisions.standing(stamp, 121), Standing::Late);
        decisions.tell(|all| all.push("a lower cap"));
        assert_eq!(decisions.lock().len(), 1);
        assert_eq!(decisions.standing(stamp, 100), Standing::Outdated);
        assert_eq!(decisions.standing(Stamp { news: 1, at: 100 }, 100), Standing::Good);
    }

    #[test]
    fn one_thread_alone_carries_out_what_it_decided() {
        let decisions = Decisions::new((), 1, 20);
        decisions.tell(|()| {});
        assert_eq!(decisions.standing(Stamp { news: 0, at: 0 }, 1_000), Standing::Good);
    }
}

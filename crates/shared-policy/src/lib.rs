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
pub struct DecisionStamp {
    /// How much news the decisions had been told.
    pub updates: u64,
    /// When, in microseconds of the caller's clock.
    pub decided_at: u64,
}

/// Whether a decision may still be carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StampStatus {
    /// It may.
    Current,
    /// News has come since: it may be one that the news forbids.
    Superseded,
    /// Its thread did not run for a while: what it was made by is old.
    Expired,
}

/// Decisions of type `D`, shared.
#[derive(Debug)]
pub struct SharedPolicy<D> {
    inner: Mutex<D>,
    /// News handed to the decisions so far, whether or not they have been told of it yet.
    news: AtomicU64,
    /// Age beyond which a decision is not carried out, in microseconds.
    late: u64,
    /// One thread alone carries out in the turn of its decision: nothing can come between.
    alone: bool,
}

impl<D> SharedPolicy<D> {
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
    pub fn update(&self, put: impl FnOnce(&mut D)) {
        put(&mut self.lock());
        // After it is there, never before: a stamp could else count news that the decisions have not got.
        self.news.fetch_add(1, Ordering::SeqCst);
    }

    /// Looks at the stamp of a decision before it is carried out.
    pub fn stamp_status(&self, stamp: DecisionStamp, now: u64) -> StampStatus {
        if self.alone {
            return StampStatus::Current;
        }
        if stamp.updates != self.news.load(Ordering::SeqCst) {
            return StampStatus::Superseded;
        }
        if now > stamp.decided_at.saturating_add(self.late) {
            StampStatus::Expired
        } else {
            StampStatus::Current
        }
    }
}

#[cfg(all(test, not(feature = "model")))]
mod tests {
    use super::*;

    #[test]
    fn what_was_decided_before_news_or_long_ago_does_not_stand() {
        let decisions = SharedPolicy::new(Vec::new(), 2, 20);
        let stamp = DecisionStamp { updates: 0, decided_at: 100 };
        assert_eq!(decisions.stamp_status(stamp, 120), StampStatus::Current);
        assert_eq!(decisions.stamp_status(stamp, 121), StampStatus::Expired);
        decisions.update(|all| all.push("a lower cap"));
        assert_eq!(decisions.lock().len(), 1);
        assert_eq!(decisions.stamp_status(stamp, 100), StampStatus::Superseded);
        assert_eq!(
            decisions.stamp_status(DecisionStamp { updates: 1, decided_at: 100 }, 100),
            StampStatus::Current
        );
    }

    #[test]
    fn one_thread_alone_carries_out_what_it_decided() {
        let decisions = SharedPolicy::new((), 1, 20);
        decisions.update(|()| {});
        assert_eq!(
            decisions.stamp_status(DecisionStamp { updates: 0, decided_at: 0 }, 1_000),
            StampStatus::Current
        );
    }
}

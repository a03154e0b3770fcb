//! One policy shared by several worker threads.
//!
//! Everything the policy keeps (caps, budgets, ejections, the vote) is exact because there is one of it, under a lock.
//! The lock does not cover the time between a decision and its execution: the thread may be suspended there for any
//! time. A decision therefore carries a [`DecisionStamp`], which is checked before the first byte is sent.
//!
//! No I/O and no clock: times are passed in, in microseconds of the caller's clock.

#![warn(
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::wildcard_imports,
    clippy::missing_errors_doc
)]

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

/// What a decision was based on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DecisionStamp {
    /// Number of updates that the policy had taken in.
    pub updates: u64,
    /// When it was made, in microseconds.
    pub decided_at: u64,
}

/// Whether a decision may still be executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StampStatus {
    /// It may.
    Current,
    /// An update has arrived since, which may forbid it.
    Superseded,
    /// It is older than allowed: its thread did not run for a while.
    Expired,
}

/// A policy of type `P` under a lock.
#[derive(Debug)]
pub struct SharedPolicy<P> {
    policy: Mutex<P>,
    /// Updates handed to the policy so far, whether or not it has taken them in yet.
    updates: AtomicU64,
    /// Age beyond which a decision is not executed, in microseconds.
    max_decision_age: u64,
    /// A single thread executes a decision in the turn that made it: nothing can come between.
    single_threaded: bool,
}

impl<P> SharedPolicy<P> {
    /// Shares `policy` among `threads` threads. A decision older than `max_decision_age` microseconds expires.
    pub fn new(policy: P, threads: usize, max_decision_age: u64) -> Self {
        Self {
            policy: Mutex::new(policy),
            updates: AtomicU64::new(0),
            max_decision_age,
            single_threaded: threads == 1,
        }
    }

    /// Locks the policy. The caller must not block while it holds the guard.
    pub fn lock(&self) -> MutexGuard<'_, P> {
        match self.policy.lock() {
            Ok(guard) => guard,
            // A thread that panics ends the process; no other thread goes on with what it left behind.
            Err(poisoned) => poisoned.into_inner(),
        }
    }

    /// Hands an update to the policy by `apply`. Once this returns, no decision made without it is executed.
    pub fn update(&self, apply: impl FnOnce(&mut P)) {
        apply(&mut self.lock());
        // Counted after the policy has it, never before: a stamp could otherwise count an update that the decision
        // has not seen.
        self.updates.fetch_add(1, Ordering::SeqCst);
    }

    /// Checks the stamp of a decision that is about to be executed.
    pub fn stamp_status(&self, stamp: DecisionStamp, now: u64) -> StampStatus {
        if self.single_threaded {
            return StampStatus::Current;
        }
        if stamp.updates != self.updates.load(Ordering::SeqCst) {
            return StampStatus::Superseded;
        }
        if now > stamp.decided_at.saturating_add(self.max_decision_age) {
            return StampStatus::Expired;
        }
        StampStatus::Current
    }
}

//! One policy shared by several worker threads.
//!
//! The state of the policy (caps, budgets, ejections, the vote) is exact because all threads share one policy
//! under a lock. The lock does not cover the time between a decision and its execution. The thread may be
//! suspended there for any length of time. A decision therefore carries a [`DecisionStamp`], which is checked
//! before the first byte is sent.
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

/// State and time that a decision was based on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DecisionStamp {
    /// Number of updates that the policy had applied.
    pub updates: u64,
    /// Time of the decision, in microseconds.
    pub decided_at: u64,
}

/// Validity of a decision that is about to be executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StampStatus {
    /// Valid: the decision may be executed.
    Current,
    /// Invalid: an update has arrived since, which may forbid the decision.
    Superseded,
    /// Invalid: the decision is too old, because its thread did not run for a while.
    Expired,
}

/// A policy of type `P` under a lock.
#[derive(Debug)]
pub struct SharedPolicy<P> {
    policy: Mutex<P>,
    /// Number of updates passed to the policy so far, whether or not it has applied them yet.
    updates: AtomicU64,
    /// Maximum age of a decision that is executed, in microseconds.
    max_decision_age: u64,
    /// Whether there is a single thread, which executes each decision in the event loop iteration that made
    /// it, so that no update can arrive in between.
    single_threaded: bool,
}

impl<P> SharedPolicy<P> {
    /// Shares `policy` among `threads` threads. Decisions expire after `max_decision_age` microseconds.
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
            // A panic of any thread ends the process, so that no other thread uses an inconsistent policy.
            Err(poisoned) => poisoned.into_inner(),
        }
    }

    /// Updates the policy by `apply`. Once this returns, no decision made without the update is executed.
    pub fn update(&self, apply: impl FnOnce(&mut P)) {
        apply(&mut self.lock());
        // Counted only after the policy has the update. A stamp could otherwise count an update that the
        // decision was made without.
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

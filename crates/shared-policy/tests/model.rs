//! Model check of the stamps: one thread lowers the cap while workers decide, check the stamp and send.
//! Covers every interleaving with one worker, and random ones with two.
//!
//! `cargo test --locked -p garnetcrank-shared-policy --features model`
#![cfg(feature = "model")]

use garnetcrank_shared_policy::{DecisionStamp, SharedPolicy, StampStatus};
use shuttle::sync::Arc;
use shuttle::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use shuttle::thread;

/// Maximum number of orders that the model policy places.
const MAX_ORDERS: u64 = 2;

/// Minimal policy: a cap that the first update lowers to 0, and numbered orders that are placed once each.
#[derive(Default)]
struct ModelPolicy {
    pending_updates: u64,
    updates: u64,
    placed: u64,
}

impl ModelPolicy {
    /// Applies pending updates and returns the next order with the decision's stamp, if the cap allows one.
    fn decide(&mut self) -> Option<(u64, DecisionStamp)> {
        self.updates += std::mem::take(&mut self.pending_updates);
        if self.updates > 0 || self.placed >= MAX_ORDERS {
            return None;
        }
        self.placed += 1;
        Some((self.placed, DecisionStamp { updates: self.updates, decided_at: 0 }))
    }
}

/// Whether a thread checks the stamp before it sends.
#[derive(Clone, Copy, PartialEq)]
enum StampCheck {
    Performed,
    Omitted,
}

/// Runs one interleaving with `worker_count` sending threads.
fn run(check: StampCheck, worker_count: usize) {
    let policy = Arc::new(SharedPolicy::new(ModelPolicy::default(), 3, 0));
    let updated = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(AtomicU64::new(0));
    let updater = {
        let (policy, updated) = (policy.clone(), updated.clone());
        thread::spawn(move || {
            policy.update(|model| model.pending_updates += 1);
            updated.store(true, Ordering::SeqCst);
        })
    };
    let spawn_worker = || {
        let (policy, updated, sent) = (policy.clone(), updated.clone(), sent.clone());
        thread::spawn(move || {
            let decision = policy.lock().decide();
            let Some((order, stamp)) = decision else { return };
            let update_returned = updated.load(Ordering::SeqCst);
            if check == StampCheck::Performed && policy.stamp_status(stamp, 0) != StampStatus::Current {
                return;
            }
            assert!(!update_returned, "order {order} was sent to a build whose cap is 0");
            let before = sent.fetch_or(1 << order, Ordering::SeqCst);
            assert_eq!(before & (1 << order), 0, "order {order} was sent twice");
        })
    };
    let workers: Vec<_> = (0..worker_count).map(|_| spawn_worker()).collect();
    updater.join().expect("the updating thread panicked");
    for worker in workers {
        worker.join().expect("a worker panicked");
    }
    // No order is placed after the update.
    assert_eq!(policy.lock().decide(), None);
}

#[test]
fn no_interleaving_sends_an_order_that_an_update_forbids_or_an_order_twice() {
    shuttle::check_dfs(|| run(StampCheck::Performed, 1), None);
    // Two workers have too many interleavings to run all, so they are sampled with a fixed seed.
    let scheduler = shuttle::scheduler::RandomScheduler::new_from_seed(17, 1_000);
    shuttle::Runner::new(scheduler, shuttle::Config::default()).run(|| run(StampCheck::Performed, 2));
}

#[test]
fn without_the_stamp_check_a_forbidden_send_is_found() {
    let found = std::panic::catch_unwind(|| shuttle::check_dfs(|| run(StampCheck::Omitted, 1), None));
    assert!(found.is_err(), "the model must find a forbidden send without the stamp check");
}

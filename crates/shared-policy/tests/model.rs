//! Model check of the stamps: a thread that hands over a lower cap, and threads that decide, check and send. Every
//! interleaving with one such thread, many drawn at random with two.
//! `cargo test --locked -p garnetcrank-shared-policy --features model`.
#![cfg(feature = "model")]

use garnetcrank_shared_policy::{DecisionStamp, SharedPolicy, StampStatus};
use shuttle::sync::Arc;
use shuttle::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use shuttle::thread;

/// Orders that the toy policy may place in all.
const MAX_ORDERS: u64 = 2;

/// A policy reduced to a cap, open until the first update, and to orders that are placed once each.
#[derive(Default)]
struct ToyPolicy {
    pending_updates: u64,
    updates: u64,
    placed: u64,
}

impl ToyPolicy {
    /// Takes in pending updates, then decides: which order is placed, if one may be, and the decision's stamp.
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

/// One run with `worker_count` threads that send.
fn run(check: StampCheck, worker_count: usize) {
    let policy = Arc::new(SharedPolicy::new(ToyPolicy::default(), 3, 0));
    let updated = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(AtomicU64::new(0));
    let updater = {
        let (policy, updated) = (policy.clone(), updated.clone());
        thread::spawn(move || {
            policy.update(|toy| toy.pending_updates += 1);
            updated.store(true, Ordering::SeqCst);
        })
    };
    let spawn_worker = || {
        let (policy, updated, sent) = (policy.clone(), updated.clone(), sent.clone());
        thread::spawn(move || {
            let decided = policy.lock().decide();
            let Some((order, stamp)) = decided else { return };
            let known_to_all = updated.load(Ordering::SeqCst);
            if check == StampCheck::Performed && policy.stamp_status(stamp, 0) != StampStatus::Current {
                return;
            }
            assert!(!known_to_all, "order {order} went to a build whose cap is nothing");
            let before = sent.fetch_or(1 << order, Ordering::SeqCst);
            assert_eq!(before & (1 << order), 0, "order {order} was sent twice");
        })
    };
    let workers: Vec<_> = (0..worker_count).map(|_| spawn_worker()).collect();
    updater.join().expect("the updating thread");
    for worker in workers {
        worker.join().expect("a worker");
    }
    // After the update nothing more is decided.
    assert_eq!(policy.lock().decide(), None);
}

#[test]
fn no_interleaving_sends_what_an_update_forbids_or_an_order_twice() {
    shuttle::check_dfs(|| run(StampCheck::Performed, 1), None);
    // All interleavings of two workers are too many: drawn with a fixed seed, the same each time.
    let draws = shuttle::scheduler::RandomScheduler::new_from_seed(17, 1_000);
    shuttle::Runner::new(draws, shuttle::Config::default()).run(|| run(StampCheck::Performed, 2));
}

#[test]
fn without_the_check_an_interleaving_is_found_that_does() {
    let found = std::panic::catch_unwind(|| shuttle::check_dfs(|| run(StampCheck::Omitted, 1), None));
    assert!(found.is_err(), "a check that can't fail is none");
}

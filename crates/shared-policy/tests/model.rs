//! A thread that tells of a lower cap, and threads that decide, look and send: every interleaving with one of them,
//! many drawn at random with two.
//! `cargo test --locked -p garnetcrank-shared-policy --features model`.
#![cfg(feature = "model")]

use garnetcrank_shared_policy::{Decisions, Stamp, StampStatus};
use shuttle::sync::Arc;
use shuttle::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use shuttle::thread;

/// Decisions cut down to a cap: open, or closed by the first news; and orders, each handed out once.
#[derive(Default)]
struct Toy {
    waits: u64,
    told: u64,
    placed: u64,
}

impl Toy {
    /// Takes what news waits, then decides: the stamp of a placement, if one is allowed, and which order it is.
    fn decide(&mut self) -> Option<(u64, Stamp)> {
        self.told += std::mem::take(&mut self.waits);
        let open = self.told == 0 && self.placed < 2;
        open.then(|| {
            self.placed += 1;
            (self.placed, Stamp { news: self.told, at: 0 })
        })
    }
}

/// One run. `looks`: whether a thread looks at the stamp before it sends.
fn run(looks: bool, workers: usize) {
    let decisions = Arc::new(Decisions::new(Toy::default(), 3, 0));
    let (told, sent) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let teller = {
        let (decisions, told) = (decisions.clone(), told.clone());
        thread::spawn(move || {
            decisions.tell(|toy| toy.waits += 1);
            told.store(true, Ordering::SeqCst);
        })
    };
    let worker = || {
        let (decisions, told, sent) = (decisions.clone(), told.clone(), sent.clone());
        thread::spawn(move || {
            let decided = decisions.lock().decide();
            let Some((order, stamp)) = decided else { return };
            let known_to_all = told.load(Ordering::SeqCst);
            if looks && decisions.standing(stamp, 0) != StampStatus::Good {
                return;
            }
            assert!(!known_to_all, "order {order} went to a build whose cap is nothing");
            let before = sent.fetch_or(1 << order, Ordering::SeqCst);
            assert_eq!(before & (1 << order), 0, "order {order} was sent twice");
        })
    };
    let workers: Vec<_> = (0..workers).map(|_| worker()).collect();
    teller.join().expect("the teller");
    workers.into_iter().for_each(|worker| worker.join().expect("a worker"));
    // Told at last, nothing more is decided.
    assert_eq!(decisions.lock().decide(), None);
}

#[test]
fn no_interleaving_sends_what_news_forbids_or_an_order_twice() {
    shuttle::check_dfs(|| run(true, 1), None);
    // All of them with two are too many: drawn with a fixed number, the same each time.
    let draws = shuttle::scheduler::RandomScheduler::new_from_seed(17, 1_000);
    shuttle::Runner::new(draws, shuttle::Config::default()).run(|| run(true, 2));
}

#[test]
fn without_the_look_an_interleaving_is_found_that_does() {
    let found = std::panic::catch_unwind(|| shuttle::check_dfs(|| run(false, 1), None));
    assert!(found.is_err(), "a check that can't fail is none");
}

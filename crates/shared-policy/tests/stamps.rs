//! Validity of a decision's stamp.
#![cfg(not(feature = "model"))]

use garnetcrank_shared_policy::{DecisionStamp, SharedPolicy, StampStatus};

#[test]
fn a_decision_is_superseded_by_an_update_and_expires_with_age() {
    let policy = SharedPolicy::new(Vec::new(), 2, 20);
    let stamp = DecisionStamp { updates: 0, decided_at: 100 };
    assert_eq!(policy.stamp_status(stamp, 120), StampStatus::Current);
    assert_eq!(policy.stamp_status(stamp, 121), StampStatus::Expired);
    policy.update(|updates| updates.push("a lower cap"));
    assert_eq!(policy.lock().len(), 1);
    assert_eq!(policy.stamp_status(stamp, 100), StampStatus::Superseded);
    let later = DecisionStamp { updates: 1, decided_at: 100 };
    assert_eq!(policy.stamp_status(later, 100), StampStatus::Current);
}

#[test]
fn decisions_of_a_single_thread_are_always_current() {
    let policy = SharedPolicy::new((), 1, 20);
    policy.update(|()| {});
    let stamp = DecisionStamp { updates: 0, decided_at: 0 };
    assert_eq!(policy.stamp_status(stamp, 1_000), StampStatus::Current);
}

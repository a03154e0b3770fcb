//! Tests that the fencing gate rejects older epochs, admits each order once and remembers a bounded number of orders.

use garnetcrank_consensus::fencing::{EpochNotCurrent, FencingDecision, FencingGate, MAX_ORDERS};
use garnetcrank_consensus::ids::{Epoch, Role, Subject};

#[test]
fn an_older_epoch_is_rejected_once_a_newer_one_is_observed() {
    let (mut gate, role) = (FencingGate::default(), Role("orders".into()));
    let order = |n| Subject::new("order", n);
    assert_eq!(gate.admit(&role, Epoch(1), &order(1)), FencingDecision::Admit);
    assert_eq!(gate.admit(&role, Epoch(1), &order(1)), FencingDecision::Duplicate { epoch: Epoch(1) });
    assert_eq!(
        gate.was_admitted(&role, Epoch(2), &order(1)),
        Err(EpochNotCurrent { newest: Epoch(1) }),
        "a query is rejected until its epoch has been observed"
    );
    gate.observe_epoch(&role, Epoch(2)).unwrap();
    assert_eq!(gate.was_admitted(&role, Epoch(2), &order(2)), Ok(false));
    assert_eq!(gate.admit(&role, Epoch(1), &order(2)), FencingDecision::StaleEpoch { newest: Epoch(2) });
    assert_eq!(gate.observe_epoch(&role, Epoch(1)), Err(EpochNotCurrent { newest: Epoch(2) }));
    assert_eq!(gate.was_admitted(&role, Epoch(2), &order(1)), Ok(true));
    assert_eq!(gate.admit(&role, Epoch(2), &order(2)), FencingDecision::Admit);
    let other = Role("votes".into());
    assert_eq!(
        gate.admit(&other, Epoch(1), &order(2)),
        FencingDecision::Admit,
        "the epochs of one role do not fence another role"
    );
}

#[test]
fn remembered_orders_are_bounded_and_a_new_epoch_frees_resolved_ones() {
    let (mut gate, role) = (FencingGate::default(), Role("orders".into()));
    for n in 0..MAX_ORDERS as u64 {
        assert_eq!(gate.admit(&role, Epoch(1), &Subject::new("order", n)), FencingDecision::Admit);
    }
    let next = Subject::new("order", MAX_ORDERS as u64);
    assert_eq!(gate.admit(&role, Epoch(1), &next), FencingDecision::Full);
    gate.mark_resolved(&role, &Subject::new("order", 0));
    assert_eq!(
        gate.admit(&role, Epoch(1), &next),
        FencingDecision::Full,
        "order 0 stays remembered: a delayed duplicate of it may still arrive"
    );
    assert_eq!(
        gate.admit(&role, Epoch(1), &Subject::new("order", 0)),
        FencingDecision::Duplicate { epoch: Epoch(1) }
    );
    assert_eq!(gate.admit(&role, Epoch(2), &next), FencingDecision::Admit);
}

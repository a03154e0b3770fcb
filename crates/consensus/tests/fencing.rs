//! The fencing gate admits no older epoch and each order once, and its memory is bounded.

use garnetcrank_consensus::fencing::{FencingDecision, FencingGate, MAX_ORDERS, NewerEpoch};
use garnetcrank_consensus::ids::{Epoch, Role, Subject};

#[test]
fn an_older_epoch_never_passes_again() {
    let (mut gate, role) = (FencingGate::default(), Role("orders".into()));
    let order = |n| Subject::new("order", n);
    assert_eq!(gate.admit(&role, Epoch(1), &order(1)), FencingDecision::Admit);
    assert_eq!(gate.admit(&role, Epoch(1), &order(1)), FencingDecision::Duplicate { epoch: Epoch(1) });
    assert_eq!(
        gate.was_executed(&role, Epoch(2), &order(1)),
        Err(NewerEpoch { newest: Epoch(1) }),
        "no answer before the epoch is observed"
    );
    gate.observe_epoch(&role, Epoch(2)).unwrap();
    assert_eq!(gate.was_executed(&role, Epoch(2), &order(2)), Ok(false));
    assert_eq!(gate.admit(&role, Epoch(1), &order(2)), FencingDecision::StaleEpoch { newest: Epoch(2) });
    assert_eq!(gate.observe_epoch(&role, Epoch(1)), Err(NewerEpoch { newest: Epoch(2) }));
    assert_eq!(gate.was_executed(&role, Epoch(2), &order(1)), Ok(true));
    assert_eq!(gate.admit(&role, Epoch(2), &order(2)), FencingDecision::Admit);
    let other = Role("votes".into());
    assert_eq!(
        gate.admit(&other, Epoch(1), &order(2)),
        FencingDecision::Admit,
        "roles don't depose one another"
    );
}

#[test]
fn what_it_remembers_is_bounded_and_capacity_comes_back() {
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
        "a late copy of order 0 may still come"
    );
    assert_eq!(
        gate.admit(&role, Epoch(1), &Subject::new("order", 0)),
        FencingDecision::Duplicate { epoch: Epoch(1) }
    );
    assert_eq!(gate.admit(&role, Epoch(2), &next), FencingDecision::Admit);
}

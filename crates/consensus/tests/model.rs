//! Fencing and changes of the holder, checked exhaustively: every interleaving of three holders, the replicated state,
//! the fencing gate and messages that are delayed, duplicated or lost. The gate is the real one; the replicated state
//! is cut down to one role and one order.

use std::collections::BTreeSet;

use garnetcrank_consensus::fencing::{FencingDecision, FencingGate};
use garnetcrank_consensus::ids::{Epoch, Role, Subject};
use stateright::{Checker, Model, Property};

const HOLDERS: usize = 3;
const EPOCHS: u64 = 3;

/// One order, dispatched by whoever holds the lease.
struct OrderModel {
    /// Whether the gate rejects older epochs.
    fenced: bool,
}

/// What one holder believes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct Holder {
    /// The epoch under which it acquired the lease; 0 if it never did.
    acquired: u64,
    /// Whether the gate has observed that epoch.
    observed: bool,
    /// The epoch under which it may send the order.
    may_send_under: Option<u64>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    epoch: u64,
    /// The epoch under which the order is dispatched.
    dispatched: Option<u64>,
    resolved: bool,
    gate: FencingGate,
    /// What each holder believes. Nobody ever learns of being deposed here: all are frozen whenever that hurts.
    holders: [Holder; HOLDERS],
    /// Sent and never taken away: each may arrive at any later time, and again.
    in_transit: BTreeSet<u64>,
    effects: u8,
    stale: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Action {
    Acquire(usize),
    ObserveEpoch(usize),
    Dispatch(usize),
    Send(usize),
    Arrive(u64),
    QueryGate(usize),
    Resolve(usize),
}

fn role() -> Role {
    Role("orders".into())
}

fn order() -> Subject {
    Subject::new("order", 1)
}

/// What each action leads to; none where it is not possible.
impl State {
    /// Whether the replicated state takes this instance for the holder.
    fn holds(&self, holder: usize) -> bool {
        let acquired = self.holders[holder].acquired;
        acquired > 0 && acquired == self.epoch
    }

    fn acquire(&self, holder: usize) -> Option<State> {
        if self.epoch >= EPOCHS {
            return None;
        }
        let mut next = self.clone();
        next.epoch += 1;
        next.holders[holder].acquired = next.epoch;
        next.holders[holder].observed = false;
        Some(next)
    }

    fn dispatch(&self, holder: usize) -> Option<State> {
        let may_dispatch = self.holds(holder) && self.holders[holder].observed;
        if !may_dispatch || self.dispatched.is_some() || self.resolved {
            return None;
        }
        let mut next = self.clone();
        next.dispatched = Some(self.epoch);
        next.holders[holder].may_send_under = Some(self.epoch);
        Some(next)
    }

    fn send(&self, holder: usize) -> Option<State> {
        let epoch = self.holders[holder].may_send_under?;
        let mut next = self.clone();
        next.in_transit.insert(epoch);
        Some(next)
    }

    /// The holder asks the gate for an order in doubt.
    fn query_gate(&self, holder: usize) -> Option<State> {
        let in_doubt = self.dispatched.is_some_and(|epoch| epoch < self.epoch);
        if !self.holds(holder) || !self.holders[holder].observed || !in_doubt {
            return None;
        }
        let mut next = self.clone();
        match self.gate.was_executed(&role(), Epoch(self.epoch), &order()) {
            Ok(true) => next.resolved = true,
            Ok(false) => next.dispatched = None,
            Err(_) => return None,
        }
        Some(next)
    }

    fn resolve(&self, holder: usize) -> Option<State> {
        if !self.holds(holder) || self.effects == 0 || self.dispatched != Some(self.epoch) {
            return None;
        }
        let mut next = self.clone();
        next.resolved = true;
        next.gate.mark_resolved(&role(), &order());
        Some(next)
    }
}

impl OrderModel {
    fn observe_epoch(&self, last: &State, holder: usize) -> Option<State> {
        let Holder { acquired, observed, .. } = last.holders[holder];
        if acquired == 0 || observed {
            return None;
        }
        let mut next = last.clone();
        let accepted = next.gate.observe_epoch(&role(), Epoch(acquired)).is_ok();
        next.holders[holder].observed = accepted || !self.fenced;
        Some(next)
    }

    /// The order comes to the gate under an epoch.
    fn arrive(&self, last: &State, epoch: u64) -> State {
        let mut next = last.clone();
        let admitted = match next.gate.admit(&role(), Epoch(epoch), &order()) {
            FencingDecision::Admit => true,
            FencingDecision::StaleEpoch { .. } => !self.fenced && last.effects == 0,
            FencingDecision::Duplicate { .. } | FencingDecision::Full => false,
        };
        if admitted {
            next.effects += 1;
            next.stale = epoch < last.gate.current_epoch(&role()).0;
        }
        next
    }
}

impl Model for OrderModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            epoch: 0,
            dispatched: None,
            resolved: false,
            gate: FencingGate::default(),
            holders: [Holder::default(); HOLDERS],
            in_transit: BTreeSet::new(),
            effects: 0,
            stale: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        for holder in 0..HOLDERS {
            actions.extend(
                [
                    Action::Acquire,
                    Action::ObserveEpoch,
                    Action::Dispatch,
                    Action::Send,
                    Action::QueryGate,
                    Action::Resolve,
                ]
                .map(|action| action(holder)),
            );
        }
        actions.extend(state.in_transit.iter().map(|epoch| Action::Arrive(*epoch)));
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let next = match action {
            Action::Acquire(holder) => last.acquire(holder)?,
            Action::ObserveEpoch(holder) => self.observe_epoch(last, holder)?,
            Action::Dispatch(holder) => last.dispatch(holder)?,
            Action::Send(holder) => last.send(holder)?,
            Action::Arrive(epoch) => self.arrive(last, epoch),
            Action::QueryGate(holder) => last.query_gate(holder)?,
            Action::Resolve(holder) => last.resolve(holder)?,
        };
        (next != *last).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("the order is executed once at the most", |_, s: &State| s.effects <= 1),
            Property::always("no act of a deposed holder", |_, s: &State| !s.stale),
            Property::sometimes("an order in doubt is executed under a later epoch", |_, s: &State| {
                s.effects == 1
                    && s.holders.iter().filter(|holder| holder.may_send_under.is_some()).count() > 1
            }),
        ]
    }
}

#[test]
fn in_every_interleaving_the_order_is_executed_once_and_deposed_holders_are_rejected() {
    let checker = OrderModel { fenced: true }.checker().spawn_bfs().join();
    assert!(checker.unique_state_count() > 1_000, "{} states", checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn without_the_fence_the_checker_finds_the_deposed_holders_act() {
    let checker = OrderModel { fenced: false }.checker().spawn_bfs().join();
    assert!(checker.discovery("no act of a deposed holder").is_some());
}

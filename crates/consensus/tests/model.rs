//! Model checks fencing across changes of the lease holder: every interleaving of three holders, the replicated state,
//! the fencing gate and messages that are delayed, duplicated or lost. The gate is the production code; the replicated
//! state is reduced to one role and one order.

use std::collections::BTreeSet;

use garnetcrank_consensus::fencing::{FencingDecision, FencingGate};
use garnetcrank_consensus::ids::{Epoch, Role, Subject};
use stateright::{Checker, Model, Property};

const HOLDERS: usize = 3;
const EPOCHS: u64 = 3;

/// Model of one order that the current lease holder dispatches.
struct OrderModel {
    /// Whether the gate rejects older epochs.
    fencing_enabled: bool,
}

/// Local view of one holder.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct Holder {
    /// Epoch under which the holder acquired the lease; 0 if it never did.
    acquired_epoch: u64,
    /// Whether the gate has observed that epoch.
    gate_observed: bool,
    /// Epoch under which the holder may send the order.
    may_send_under: Option<u64>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    epoch: u64,
    /// Epoch under which the order is dispatched.
    dispatched: Option<u64>,
    resolved: bool,
    gate: FencingGate,
    /// Local views of the holders. No holder ever learns that it was deposed, which models the worst case: a holder
    /// that is paused at every moment at which it would learn of it.
    holders: [Holder; HOLDERS],
    /// Epochs of the order messages that were sent. None is removed: each may arrive at any later time, and again.
    in_transit: BTreeSet<u64>,
    /// How many times the order was executed.
    executions: u8,
    /// Whether the order was executed under an older epoch than the gate had observed.
    stale_execution: bool,
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

/// State transitions of the actions; none where an action is not possible.
impl State {
    /// Returns whether the replicated state records this instance as the current holder.
    fn holds(&self, holder: usize) -> bool {
        let acquired_epoch = self.holders[holder].acquired_epoch;
        acquired_epoch > 0 && acquired_epoch == self.epoch
    }

    fn acquire(&self, holder: usize) -> Option<State> {
        if self.epoch >= EPOCHS {
            return None;
        }
        let mut next = self.clone();
        next.epoch += 1;
        next.holders[holder].acquired_epoch = next.epoch;
        next.holders[holder].gate_observed = false;
        Some(next)
    }

    fn dispatch(&self, holder: usize) -> Option<State> {
        let may_dispatch = self.holds(holder) && self.holders[holder].gate_observed;
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

    /// Asks the gate, as the holder, whether an order in doubt was executed.
    fn query_gate(&self, holder: usize) -> Option<State> {
        let in_doubt = self.dispatched.is_some_and(|epoch| epoch < self.epoch);
        if !self.holds(holder) || !self.holders[holder].gate_observed || !in_doubt {
            return None;
        }
        let mut next = self.clone();
        match self.gate.was_admitted(&role(), Epoch(self.epoch), &order()) {
            Ok(true) => next.resolved = true,
            Ok(false) => next.dispatched = None,
            Err(_) => return None,
        }
        Some(next)
    }

    fn resolve(&self, holder: usize) -> Option<State> {
        if !self.holds(holder) || self.executions == 0 || self.dispatched != Some(self.epoch) {
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
        let Holder { acquired_epoch, gate_observed, .. } = last.holders[holder];
        if acquired_epoch == 0 || gate_observed {
            return None;
        }
        let mut next = last.clone();
        let accepted = next.gate.observe_epoch(&role(), Epoch(acquired_epoch)).is_ok();
        next.holders[holder].gate_observed = accepted || !self.fencing_enabled;
        Some(next)
    }

    /// Delivers the order to the gate under an epoch.
    fn arrive(&self, last: &State, epoch: u64) -> State {
        let mut next = last.clone();
        let admitted = match next.gate.admit(&role(), Epoch(epoch), &order()) {
            FencingDecision::Admit => true,
            FencingDecision::StaleEpoch { .. } => !self.fencing_enabled && last.executions == 0,
            FencingDecision::Duplicate { .. } | FencingDecision::Full => false,
        };
        if admitted {
            next.executions += 1;
            next.stale_execution = epoch < last.gate.current_epoch(&role()).0;
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
            executions: 0,
            stale_execution: false,
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
            Property::always("the order is executed at most once", |_, s: &State| s.executions <= 1),
            Property::always("a deposed holder executes no order", |_, s: &State| !s.stale_execution),
            Property::sometimes("an order in doubt is executed under a later epoch", |_, s: &State| {
                s.executions == 1
                    && s.holders.iter().filter(|holder| holder.may_send_under.is_some()).count() > 1
            }),
        ]
    }
}

#[test]
fn the_order_is_executed_at_most_once_and_deposed_holders_are_rejected_in_every_interleaving() {
    let checker = OrderModel { fencing_enabled: true }.checker().spawn_bfs().join();
    assert!(checker.unique_state_count() > 1_000, "{} states", checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn without_fencing_the_checker_finds_an_execution_by_a_deposed_holder() {
    let checker = OrderModel { fencing_enabled: false }.checker().spawn_bfs().join();
    assert!(checker.discovery("a deposed holder executes no order").is_some());
}

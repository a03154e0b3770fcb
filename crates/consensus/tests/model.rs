//! Gate and hand-over, checked exhaustively: every order in which three holders, the ledger, the gate and messages
//! that are late, doubled or lost can act. The gate is the real one; the ledger's part is cut down to one order's.

use std::collections::BTreeSet;

use garnetcrank_consensus::fencing::{FencingDecision, FencingGate};
use garnetcrank_consensus::ids::{Epoch, Role, Subject};
use stateright::{Checker, Model, Property};

const HOLDERS: usize = 3;
const EPOCHS: u64 = 3;

/// One order, handed out by whoever holds the role.
struct HandOver {
    /// Whether the gate refuses older epochs.
    fenced: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    epoch: u64,
    handed: Option<u64>,
    settled: bool,
    gate: FencingGate,
    /// Each holder's own idea: the epoch it was granted, whether the gate has seen it, the epoch it was told it may
    /// send the order under. Nobody ever hears of being deposed here: all are frozen whenever that hurts.
    granted: [u64; HOLDERS],
    shown: [bool; HOLDERS],
    told: [Option<u64>; HOLDERS],
    /// Sent and never taken away: each may arrive at any later time, and again.
    under_way: BTreeSet<u64>,
    effects: u8,
    stale: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Act {
    Take(usize),
    Show(usize),
    Hand(usize),
    Send(usize),
    Arrive(u64),
    Reclaim(usize),
    Settle(usize),
}

fn role() -> Role {
    Role("orders".into())
}

fn order() -> Subject {
    Subject::new("order", 1)
}

impl Model for HandOver {
    type State = State;
    type Action = Act;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            epoch: 0,
            handed: None,
            settled: false,
            gate: FencingGate::default(),
            granted: [0; HOLDERS],
            shown: [false; HOLDERS],
            told: [None; HOLDERS],
            under_way: BTreeSet::new(),
            effects: 0,
            stale: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Act>) {
        for holder in 0..HOLDERS {
            actions.extend(
                [Act::Take, Act::Show, Act::Hand, Act::Send, Act::Reclaim, Act::Settle].map(|a| a(holder)),
            );
        }
        actions.extend(state.under_way.iter().map(|epoch| Act::Arrive(*epoch)));
    }

    fn next_state(&self, last: &State, act: Act) -> Option<State> {
        let mut next = last.clone();
        let holds = |h: usize| last.granted[h] > 0 && last.granted[h] == last.epoch;
        match act {
            Act::Take(h) if last.epoch < EPOCHS => {
                next.epoch += 1;
                next.granted[h] = next.epoch;
                next.shown[h] = false;
            }
            Act::Show(h) if last.granted[h] > 0 && !last.shown[h] => {
                let shown = next.gate.observe_epoch(&role(), Epoch(last.granted[h])).is_ok();
                next.shown[h] = shown || !self.fenced;
            }
            Act::Hand(h) if holds(h) && last.shown[h] && last.handed.is_none() && !last.settled => {
                next.handed = Some(last.epoch);
                next.told[h] = Some(last.epoch);
            }
            Act::Send(h) => {
                next.under_way.insert(last.told[h]?);
            }
            Act::Arrive(epoch) => {
                let passage = next.gate.admit(&role(), Epoch(epoch), &order());
                let open = match passage {
                    FencingDecision::Admit => true,
                    FencingDecision::StaleEpoch { .. } => !self.fenced && last.effects == 0,
                    FencingDecision::Duplicate { .. } | FencingDecision::Full => false,
                };
                if open {
                    next.effects += 1;
                    next.stale = epoch < last.gate.current_epoch(&role()).0;
                }
            }
            Act::Reclaim(h) if holds(h) && last.shown[h] && last.handed.is_some_and(|e| e < last.epoch) => {
                match last.gate.was_executed(&role(), Epoch(last.epoch), &order()) {
                    Ok(true) => next.settled = true,
                    Ok(false) => next.handed = None,
                    Err(_) => return None,
                }
            }
            Act::Settle(h) if holds(h) && last.effects > 0 && last.handed == Some(last.epoch) => {
                next.settled = true;
                next.gate.mark_resolved(&role(), &order());
            }
            _ => return None,
        }
        (next != *last).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("the order runs once at the most", |_, s: &State| s.effects <= 1),
            Property::always("no act of a deposed holder", |_, s: &State| !s.stale),
            Property::sometimes("an order in doubt runs under a later epoch", |_, s: &State| {
                s.effects == 1 && s.told.iter().flatten().count() > 1
            }),
        ]
    }
}

#[test]
fn every_interleaving_keeps_the_order_single_and_the_deposed_out() {
    let checker = HandOver { fenced: true }.checker().spawn_bfs().join();
    assert!(checker.unique_state_count() > 1_000, "{} states", checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn without_the_fence_the_checker_finds_the_deposed_holders_act() {
    let checker = HandOver { fenced: false }.checker().spawn_bfs().join();
    assert!(checker.discovery("no act of a deposed holder").is_some());
}

//! The quick check of histories against a general one that tries every order.

use garnetcrank_test_support::linearizability::History;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use stateright::semantics::{ConsistencyTester, LinearizabilityTester, SequentialSpec};

/// A subject that is decided once.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Once(Option<u8>);

impl SequentialSpec for Once {
    type Op = Option<u8>;
    type Ret = Option<u8>;

    fn invoke(&mut self, op: &Option<u8>) -> Option<u8> {
        if self.0.is_none() {
            self.0 = *op;
        }
        self.0
    }
}

/// Proposal or read, its beginning, and what it heard after how long.
type Made = (Option<u8>, u64, Option<(Option<u8>, u64)>);

fn made() -> impl Strategy<Value = Made> {
    let heard = prop::option::weighted(0.8, (prop::option::of(0u8..2), 0u64..5));
    // A proposal is never answered with nothing, and the quick check need not know better.
    (prop::option::of(0u8..2), 0u64..10, heard).prop_map(|(proposes, begun, heard)| {
        (proposes, begun, heard.map(|(value, after)| (value.or(proposes), after)))
    })
}

fn general(ops: &[Made]) -> bool {
    let mut tester = LinearizabilityTester::new(Once::default());
    let mut events = Vec::new();
    for (thread, (proposes, begun, heard)) in ops.iter().enumerate() {
        // What begins in the step in which another ends runs beside it.
        events.push((*begun, 0, thread, *proposes));
        if let Some((value, after)) = heard {
            events.push((begun + after, 1, thread, *value));
        }
    }
    events.sort_by_key(|(at, kind, thread, _)| (*at, *kind, *thread));
    for (_, kind, thread, value) in events {
        let recorded =
            if kind == 0 { tester.on_invoke(thread, value) } else { tester.on_return(thread, value) };
        recorded.expect("each operation begins and ends once");
    }
    tester.is_consistent()
}

fn history(ops: &[Made]) -> History {
    let mut history = History::default();
    for (proposes, begun, heard) in ops {
        let op = match proposes {
            Some(value) => history.begin_decide(1, vec![*value], *begun),
            None => history.begin_read(1, *begun),
        };
        match (proposes, heard) {
            (Some(_), Some((Some(value), after))) => history.end_decide(op, vec![*value], begun + after),
            (None, Some((value, after))) => history.end_read(op, value.map(|v| vec![v]), begun + after),
            (_, None) | (Some(_), Some((None, _))) => {}
        }
    }
    history
}

fn quick(ops: &[Made]) -> bool {
    history(ops).not_linearizable().is_empty()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(16),
        ..ProptestConfig::default()
    })]

    #[test]
    fn both_say_the_same(ops in prop::collection::vec(made(), 1..6)) {
        prop_assert_eq!(quick(&ops), general(&ops), "{:?}", ops);
    }
}

#[test]
fn a_read_that_goes_back_in_time_is_found() {
    let decided = (Some(1), 0, Some((Some(1), 2)));
    assert_eq!(history(&[decided]).acknowledged(), [(1, vec![1])]);
    assert!(quick(&[decided, (None, 2, Some((Some(1), 1)))]));
    assert!(!quick(&[decided, (None, 3, Some((None, 1)))]));
    assert!(!quick(&[decided, (Some(0), 9, Some((Some(0), 1)))]));
    assert!(!quick(&[(None, 3, Some((Some(1), 1)))]), "nobody proposed it");
}

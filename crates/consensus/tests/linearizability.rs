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

/// How an operation ended: with a value or with none, after so many steps.
#[derive(Debug, Clone, Copy)]
struct Returned {
    value: Option<u8>,
    after: u64,
}

/// A proposal of a value, or a read.
#[derive(Debug, Clone, Copy)]
struct Operation {
    proposes: Option<u8>,
    begun: u64,
    returned: Option<Returned>,
}

fn operation() -> impl Strategy<Value = Operation> {
    let returned = prop::option::weighted(0.8, (prop::option::of(0u8..2), 0u64..5));
    (prop::option::of(0u8..2), 0u64..10, returned).prop_map(|(proposes, begun, returned)| {
        // A proposal is never answered with nothing, and the quick check need not know better.
        let returned = returned.map(|(value, after)| Returned { value: value.or(proposes), after });
        Operation { proposes, begun, returned }
    })
}

/// The order of kinds is that of events in one step: what begins in the step in which another ends runs beside it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EventKind {
    Begin,
    End,
}

struct Event {
    at: u64,
    kind: EventKind,
    thread: usize,
    value: Option<u8>,
}

fn general(operations: &[Operation]) -> bool {
    let mut tester = LinearizabilityTester::new(Once::default());
    let mut events = Vec::new();
    for (thread, operation) in operations.iter().enumerate() {
        let Operation { proposes, begun, returned } = *operation;
        events.push(Event { at: begun, kind: EventKind::Begin, thread, value: proposes });
        if let Some(Returned { value, after }) = returned {
            events.push(Event { at: begun + after, kind: EventKind::End, thread, value });
        }
    }
    events.sort_by_key(|event| (event.at, event.kind, event.thread));
    for Event { kind, thread, value, .. } in events {
        let recorded = match kind {
            EventKind::Begin => tester.on_invoke(thread, value),
            EventKind::End => tester.on_return(thread, value),
        };
        recorded.expect("each operation begins and ends once");
    }
    tester.is_consistent()
}

fn history(operations: &[Operation]) -> History {
    let mut history = History::default();
    for operation in operations {
        let begun = operation.begun;
        let id = match operation.proposes {
            Some(value) => history.begin_decide(1, vec![value], begun),
            None => history.begin_read(1, begun),
        };
        let Some(Returned { value, after }) = operation.returned else { continue };
        match (operation.proposes, value) {
            (Some(_), Some(value)) => history.end_decide(id, vec![value], begun + after),
            (Some(_), None) => {}
            (None, value) => history.end_read(id, value.map(|value| vec![value]), begun + after),
        }
    }
    history
}

fn quick(operations: &[Operation]) -> bool {
    history(operations).not_linearizable().is_empty()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(16),
        ..ProptestConfig::default()
    })]

    #[test]
    fn both_checks_agree(operations in prop::collection::vec(operation(), 1..6)) {
        prop_assert_eq!(quick(&operations), general(&operations), "{:?}", operations);
    }
}

fn proposal(value: u8, begun: u64, returned: u8, after: u64) -> Operation {
    Operation { proposes: Some(value), begun, returned: Some(Returned { value: Some(returned), after }) }
}

fn read(begun: u64, returned: Option<u8>) -> Operation {
    Operation { proposes: None, begun, returned: Some(Returned { value: returned, after: 1 }) }
}

#[test]
fn a_read_that_goes_back_in_time_is_found() {
    let decided = proposal(1, 0, 1, 2);
    assert_eq!(history(&[decided]).acknowledged(), [(1, vec![1])]);
    assert!(quick(&[decided, read(2, Some(1))]));
    assert!(!quick(&[decided, read(3, None)]));
    assert!(!quick(&[decided, proposal(0, 9, 0, 1)]));
    assert!(!quick(&[read(3, Some(1))]), "nobody proposed it");
}

//! Compares the fast linearizability check of the test support with stateright's exhaustive check, which tries every
//! order of operations.

use garnetcrank_test_support::linearizability::History;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use stateright::semantics::{ConsistencyTester, LinearizabilityTester, SequentialSpec};

/// Sequential specification of a subject that is decided once.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct WriteOnceSubject(Option<u8>);

impl SequentialSpec for WriteOnceSubject {
    type Op = Option<u8>;
    type Ret = Option<u8>;

    fn invoke(&mut self, op: &Option<u8>) -> Option<u8> {
        if self.0.is_none() {
            self.0 = *op;
        }
        self.0
    }
}

/// The end of an operation: the value that it returned, if any, and its duration in steps.
#[derive(Debug, Clone, Copy)]
struct Returned {
    value: Option<u8>,
    duration: u64,
}

/// A proposal of a value, or a read where `proposed_value` is none.
#[derive(Debug, Clone, Copy)]
struct Operation {
    proposed_value: Option<u8>,
    started_at: u64,
    returned: Option<Returned>,
}

fn operation() -> impl Strategy<Value = Operation> {
    let returned = prop::option::weighted(0.8, (prop::option::of(0u8..2), 0u64..5));
    (prop::option::of(0u8..2), 0u64..10, returned).prop_map(|(proposed_value, started_at, returned)| {
        // A proposal always returns a value, so the fast check does not handle one without.
        let returned =
            returned.map(|(value, duration)| Returned { value: value.or(proposed_value), duration });
        Operation { proposed_value, started_at, returned }
    })
}

/// The start or end of an operation. Starts sort before ends of the same step, so that an operation that starts in the
/// step in which another ends is concurrent with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EventKind {
    Start,
    End,
}

struct Event {
    at: u64,
    kind: EventKind,
    thread: usize,
    value: Option<u8>,
}

fn is_linearizable_exhaustive(operations: &[Operation]) -> bool {
    let mut tester = LinearizabilityTester::new(WriteOnceSubject::default());
    let mut events = Vec::new();
    for (thread, operation) in operations.iter().enumerate() {
        let Operation { proposed_value, started_at, returned } = *operation;
        events.push(Event { at: started_at, kind: EventKind::Start, thread, value: proposed_value });
        if let Some(Returned { value, duration }) = returned {
            events.push(Event { at: started_at + duration, kind: EventKind::End, thread, value });
        }
    }
    events.sort_by_key(|event| (event.at, event.kind, event.thread));
    for Event { kind, thread, value, .. } in events {
        let recorded = match kind {
            EventKind::Start => tester.on_invoke(thread, value),
            EventKind::End => tester.on_return(thread, value),
        };
        recorded.expect("each operation starts and ends once");
    }
    tester.is_consistent()
}

fn history(operations: &[Operation]) -> History {
    let mut history = History::default();
    for operation in operations {
        let started_at = operation.started_at;
        let id = match operation.proposed_value {
            Some(value) => history.begin_proposal(1, vec![value], started_at),
            None => history.begin_read(1, started_at),
        };
        let Some(Returned { value, duration }) = operation.returned else { continue };
        match (operation.proposed_value, value) {
            (Some(_), Some(value)) => history.end_proposal(id, vec![value], started_at + duration),
            (Some(_), None) => {}
            (None, value) => history.end_read(id, value.map(|value| vec![value]), started_at + duration),
        }
    }
    history
}

fn is_linearizable_fast(operations: &[Operation]) -> bool {
    history(operations).violations().is_empty()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(16),
        ..ProptestConfig::default()
    })]

    #[test]
    fn fast_and_exhaustive_checks_agree(operations in prop::collection::vec(operation(), 1..6)) {
        prop_assert_eq!(is_linearizable_fast(&operations), is_linearizable_exhaustive(&operations), "{:?}", operations);
    }
}

fn proposal(value: u8, started_at: u64, returned: u8, duration: u64) -> Operation {
    Operation {
        proposed_value: Some(value),
        started_at,
        returned: Some(Returned { value: Some(returned), duration }),
    }
}

fn read(started_at: u64, returned: Option<u8>) -> Operation {
    Operation { proposed_value: None, started_at, returned: Some(Returned { value: returned, duration: 1 }) }
}

#[test]
fn a_read_of_an_older_state_after_a_newer_one_is_detected() {
    let decided = proposal(1, 0, 1, 2);
    assert_eq!(history(&[decided]).acknowledged(), [(1, vec![1])]);
    assert!(is_linearizable_fast(&[decided, read(2, Some(1))]));
    assert!(!is_linearizable_fast(&[decided, read(3, None)]));
    assert!(!is_linearizable_fast(&[decided, proposal(0, 9, 0, 1)]));
    assert!(!is_linearizable_fast(&[read(3, Some(1))]), "a value that was never proposed cannot be read");
}

//! Histories of operations on subjects, and a check that they are linearizable: that one order explains all
//! results.

use std::collections::BTreeMap;

/// Outcome of an operation as its client knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperationOutcome {
    /// No response so far.
    Pending,
    /// The decided value, or none for a read of an undecided subject, and the time of the response.
    Value(Option<Vec<u8>>, u64),
}

/// An operation on one subject.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Operation {
    /// The subject.
    pub subject: u64,
    /// The proposed value; none for a read.
    pub proposed_value: Option<Vec<u8>>,
    /// Time at which it was first sent.
    pub started_at: u64,
    /// The outcome.
    pub outcome: OperationOutcome,
}

/// All operations of a run.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// The operations, in the order in which they started.
    pub operations: Vec<Operation>,
}

impl History {
    fn begin(&mut self, subject: u64, value: Option<Vec<u8>>, now: u64) -> usize {
        self.operations.push(Operation {
            subject,
            proposed_value: value,
            started_at: now,
            outcome: OperationOutcome::Pending,
        });
        self.operations.len() - 1
    }

    /// Records a proposal that is sent for the first time. Returns its index.
    pub fn begin_proposal(&mut self, subject: u64, value: Vec<u8>, now: u64) -> usize {
        self.begin(subject, Some(value), now)
    }

    /// Records a read that is sent for the first time. Returns its index.
    pub fn begin_read(&mut self, subject: u64, now: u64) -> usize {
        self.begin(subject, None, now)
    }

    /// Records the response to a proposal: the decided value.
    pub fn end_proposal(&mut self, operation: usize, value: Vec<u8>, now: u64) {
        self.operations[operation].outcome = OperationOutcome::Value(Some(value), now);
    }

    /// Records the response to a read: the decided value, or none.
    pub fn end_read(&mut self, operation: usize, value: Option<Vec<u8>>, now: u64) {
        self.operations[operation].outcome = OperationOutcome::Value(value, now);
    }

    /// Returns the subjects and values of all decisions that a client received, once for each response.
    pub fn acknowledged(&self) -> Vec<(u64, Vec<u8>)> {
        let decision = |operation: &Operation| match &operation.outcome {
            OperationOutcome::Value(Some(value), _) => Some((operation.subject, value.clone())),
            _ => None,
        };
        self.operations.iter().filter_map(decision).collect()
    }

    /// Returns a description of each subject whose operations are not linearizable.
    ///
    /// As a subject is decided once, one possible time of its decision suffices: within the interval of a
    /// proposal of that value, not before the start of any read that returned none, and not after the end of
    /// any operation that returned the value. The interval of a proposal without a response has no end.
    pub fn violations(&self) -> Vec<String> {
        let mut subjects: BTreeMap<u64, Vec<&Operation>> = BTreeMap::new();
        for operation in &self.operations {
            subjects.entry(operation.subject).or_default().push(operation);
        }
        let violation = |(subject, operations): (u64, Vec<&Operation>)| {
            check_subject(&operations)
                .is_err()
                .then(|| format!("subject {subject} is not linearizable: {operations:?}"))
        };
        subjects.into_iter().filter_map(violation).collect()
    }
}

fn check_subject(operations: &[&Operation]) -> Result<(), ()> {
    let mut value = None;
    let (mut earliest, mut latest) = (0, u64::MAX);
    for operation in operations {
        match &operation.outcome {
            OperationOutcome::Value(Some(returned), end) => {
                if *value.get_or_insert(returned) != returned {
                    return Err(());
                }
                latest = latest.min(*end);
            }
            OperationOutcome::Value(None, _) => earliest = earliest.max(operation.started_at),
            OperationOutcome::Pending => {}
        }
    }
    let Some(value) = value else { return Ok(()) };
    let end = |operation: &Operation| match operation.outcome {
        OperationOutcome::Value(_, end) => end,
        OperationOutcome::Pending => u64::MAX,
    };
    let can_decide = |operation: &&&Operation| {
        operation.proposed_value.as_ref() == Some(value)
            && operation.started_at.max(earliest) <= end(operation).min(latest)
    };
    operations.iter().any(|operation| can_decide(&operation)).then_some(()).ok_or(())
}

//! Histories of operations, and whether they are linearizable: one order of decisions explains all of them.

use std::collections::BTreeMap;

/// What a client knows of its operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperationOutcome {
    /// It has no answer yet.
    Pending,
    /// The decided value, or none for a read of an undecided subject; and when the answer arrived.
    Value(Option<Vec<u8>>, u64),
}

/// An operation on one subject.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Operation {
    /// The subject.
    pub subject: u64,
    /// The value proposed; none for a read.
    pub proposed_value: Option<Vec<u8>>,
    /// When it was first sent.
    pub started_at: u64,
    /// What the client knows of it.
    pub outcome: OperationOutcome,
}

/// All operations of a run.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// In the order in which they started.
    pub operations: Vec<Operation>,
}

impl History {
    fn begin(&mut self, subject: u64, proposes: Option<Vec<u8>>, now: u64) -> usize {
        self.operations.push(Operation {
            subject,
            proposed_value: proposes,
            started_at: now,
            outcome: OperationOutcome::Pending,
        });
        self.operations.len() - 1
    }

    /// A proposal is sent for the first time.
    pub fn begin_decide(&mut self, subject: u64, value: Vec<u8>, now: u64) -> usize {
        self.begin(subject, Some(value), now)
    }

    /// A read is sent for the first time.
    pub fn begin_read(&mut self, subject: u64, now: u64) -> usize {
        self.begin(subject, None, now)
    }

    /// A proposal is answered with the decided value.
    pub fn end_decide(&mut self, op: usize, value: Vec<u8>, now: u64) {
        self.operations[op].outcome = OperationOutcome::Value(Some(value), now);
    }

    /// A read is answered.
    pub fn end_read(&mut self, op: usize, value: Option<Vec<u8>>, now: u64) {
        self.operations[op].outcome = OperationOutcome::Value(value, now);
    }

    /// Subjects with the decision that some client has been answered.
    pub fn acknowledged(&self) -> Vec<(u64, Vec<u8>)> {
        let heard = |op: &Operation| match &op.outcome {
            OperationOutcome::Value(Some(value), _) => Some((op.subject, value.clone())),
            _ => None,
        };
        self.operations.iter().filter_map(heard).collect()
    }

    /// A description of each subject whose operations no order of decisions explains.
    ///
    /// For a subject that is decided once it is enough to find one moment of decision: inside the interval of a
    /// proposal of that value, after the beginning of every read that saw nothing, before the end of everything
    /// that saw the value. (An unanswered proposal's interval has no end.)
    pub fn not_linearizable(&self) -> Vec<String> {
        let mut subjects: BTreeMap<u64, Vec<&Operation>> = BTreeMap::new();
        for op in &self.operations {
            subjects.entry(op.subject).or_default().push(op);
        }
        let bad = |(subject, ops): (u64, Vec<&Operation>)| {
            explains(&ops).is_err().then(|| format!("subject {subject}: no order explains {ops:?}"))
        };
        subjects.into_iter().filter_map(bad).collect()
    }
}

fn explains(ops: &[&Operation]) -> Result<(), ()> {
    let mut value = None;
    let (mut after, mut before) = (0, u64::MAX);
    for op in ops {
        match &op.outcome {
            OperationOutcome::Value(Some(seen), end) => {
                if *value.get_or_insert(seen) != seen {
                    return Err(());
                }
                before = before.min(*end);
            }
            OperationOutcome::Value(None, _) => after = after.max(op.started_at),
            OperationOutcome::Pending => {}
        }
    }
    let Some(value) = value else { return Ok(()) };
    let end = |op: &Operation| match op.outcome {
        OperationOutcome::Value(_, end) => end,
        OperationOutcome::Pending => u64::MAX,
    };
    let fits = |op: &&&Operation| {
        op.proposed_value.as_ref() == Some(value) && op.started_at.max(after) <= end(op).min(before)
    };
    ops.iter().any(|op| fits(&op)).then_some(()).ok_or(())
}

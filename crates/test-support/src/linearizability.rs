//! What clients asked and heard, and whether one order of decisions explains all of it.

use std::collections::BTreeMap;

/// The answer to an operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Heard {
    /// Nothing yet.
    Nothing,
    /// The value that counts, or none for a read of what is undecided; and when.
    Value(Option<Vec<u8>>, u64),
}

/// An operation on one subject.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Operation {
    /// The subject.
    pub subject: u64,
    /// The value proposed; none for a read.
    pub proposes: Option<Vec<u8>>,
    /// When it was first sent.
    pub begun: u64,
    /// What came back.
    pub heard: Heard,
}

/// All operations of a run.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// In the order of their beginning.
    pub ops: Vec<Operation>,
}

impl History {
    fn begin(&mut self, subject: u64, proposes: Option<Vec<u8>>, now: u64) -> usize {
        self.ops.push(Operation { subject, proposes, begun: now, heard: Heard::Nothing });
        self.ops.len() - 1
    }

    /// A proposal is sent for the first time.
    pub fn begin_decide(&mut self, subject: u64, value: Vec<u8>, now: u64) -> usize {
        self.begin(subject, Some(value), now)
    }

    /// A read is sent for the first time.
    pub fn begin_read(&mut self, subject: u64, now: u64) -> usize {
        self.begin(subject, None, now)
    }

    /// A proposal is answered with the value that counts.
    pub fn end_decide(&mut self, op: usize, value: Vec<u8>, now: u64) {
        self.ops[op].heard = Heard::Value(Some(value), now);
    }

    /// A read is answered.
    pub fn end_read(&mut self, op: usize, value: Option<Vec<u8>>, now: u64) {
        self.ops[op].heard = Heard::Value(value, now);
    }

    /// Subjects whose decision some client has heard of.
    pub fn acknowledged(&self) -> Vec<(u64, Vec<u8>)> {
        let heard = |op: &Operation| match &op.heard {
            Heard::Value(Some(value), _) => Some((op.subject, value.clone())),
            _ => None,
        };
        self.ops.iter().filter_map(heard).collect()
    }

    /// Subjects whose operations no order of decisions explains, in words.
    ///
    /// For a subject that is decided once it is enough to find one moment of decision: inside the interval of a
    /// proposal of that value, after the beginning of every read that saw nothing, before the end of everything
    /// that saw the value. (An unanswered proposal's interval has no end.)
    pub fn not_linearizable(&self) -> Vec<String> {
        let mut subjects: BTreeMap<u64, Vec<&Operation>> = BTreeMap::new();
        for op in &self.ops {
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
        match &op.heard {
            Heard::Value(Some(seen), end) => {
                if *value.get_or_insert(seen) != seen {
                    return Err(());
                }
                before = before.min(*end);
            }
            Heard::Value(None, _) => after = after.max(op.begun),
            Heard::Nothing => {}
        }
    }
    let Some(value) = value else { return Ok(()) };
    let end = |op: &Operation| match op.heard {
        Heard::Value(_, end) => end,
        Heard::Nothing => u64::MAX,
    };
    let fits =
        |op: &&&Operation| op.proposes.as_ref() == Some(value) && op.begun.max(after) <= end(op).min(before);
    ops.iter().any(|op| fits(&op)).then_some(()).ok_or(())
}

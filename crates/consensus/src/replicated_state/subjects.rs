//! Subjects: decided once, or orders that are dispatched under an epoch and executed at most once.

use serde::{Deserialize, Serialize};

use super::command::Reply;
use super::{MAX_VALUE_BYTES, ReplicatedState};
use crate::ids::{Epoch, Role, Subject};

/// Greatest number of subjects. Beyond that new ones are rejected until old ones are retired: a decision is never
/// dropped by itself.
pub const MAX_SUBJECTS: usize = 1_000_000;
/// Greatest number of spaces of which subjects were retired.
pub const MAX_SPACES: usize = 1024;

/// What is known of a subject.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubjectState {
    /// Decided.
    Decided(Vec<u8>),
    /// An order that was dispatched under an epoch.
    #[serde(rename = "Handed")]
    Dispatched(Epoch),
    /// An order that was executed, dispatched under an epoch.
    #[serde(rename = "Ran")]
    Executed(Epoch),
}

impl ReplicatedState {
    /// What is known of a subject; none if it is neither decided nor dispatched, or retired.
    pub fn subject_state(&self, subject: &Subject) -> Option<&SubjectState> {
        self.subjects.get(subject)
    }

    /// Subjects of a space from the number `from` on, in order.
    pub fn subjects<'a>(
        &'a self,
        space: &str,
        from: u64,
    ) -> impl Iterator<Item = (&'a Subject, &'a SubjectState)> {
        let first = Subject::new(space, from);
        let space = space.to_owned();
        self.subjects.range(first..).take_while(move |(subject, _)| subject.space == space)
    }

    /// All subjects in order, those after `after` if one is given.
    pub fn subjects_after(&self, after: Option<&Subject>) -> impl Iterator<Item = (&Subject, &SubjectState)> {
        use std::ops::Bound::{Excluded, Unbounded};
        let start = after.map_or(Unbounded, Excluded);
        self.subjects.range((start, Unbounded))
    }

    /// How many subjects there are.
    pub fn subject_count(&self) -> usize {
        self.subjects.len()
    }

    pub(super) fn decide(&mut self, subject: &Subject, value: &[u8]) -> Result<Reply, Reply> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(Reply::Rejected(format!("a value has {MAX_VALUE_BYTES} bytes at the most")));
        }
        match self.subjects.get(subject) {
            Some(SubjectState::Decided(value)) => Ok(Reply::Decided { value: value.clone(), first: false }),
            Some(SubjectState::Dispatched(_) | SubjectState::Executed(_)) => {
                Err(Reply::Rejected(format!("{subject} is an order")))
            }
            None => {
                self.check_new_subject(subject)?;
                self.subjects.insert(subject.clone(), SubjectState::Decided(value.to_vec()));
                Ok(Reply::Decided { value: value.to_vec(), first: true })
            }
        }
    }

    pub(super) fn dispatch_order(
        &mut self,
        role: &Role,
        epoch: Epoch,
        order: &Subject,
    ) -> Result<Reply, Reply> {
        self.current_lease(role, epoch)?;
        match self.subjects.get(order) {
            Some(SubjectState::Decided(_)) => Err(not_an_order(order)),
            // Also under the same epoch: whoever dispatched it may have sent it and crashed.
            Some(SubjectState::Dispatched(dispatched_under)) => Ok(Reply::InDoubt(*dispatched_under)),
            Some(SubjectState::Executed(dispatched_under)) => Ok(Reply::Executed(*dispatched_under)),
            None => {
                self.check_new_subject(order)?;
                self.subjects.insert(order.clone(), SubjectState::Dispatched(epoch));
                Ok(Reply::Dispatched(epoch))
            }
        }
    }

    pub(super) fn resolve_order(
        &mut self,
        role: &Role,
        epoch: Epoch,
        order: &Subject,
        executed: bool,
    ) -> Result<Reply, Reply> {
        self.current_lease(role, epoch)?;
        match self.subjects.get(order).cloned() {
            Some(SubjectState::Dispatched(dispatched_under)) if executed => {
                self.subjects.insert(order.clone(), SubjectState::Executed(dispatched_under));
                Ok(Reply::Done)
            }
            // That it was not executed is final for older epochs alone: what was dispatched under this one may still
            // be on its way to the gate.
            Some(SubjectState::Dispatched(dispatched_under)) if dispatched_under < epoch => {
                self.subjects.remove(order);
                Ok(Reply::Done)
            }
            Some(SubjectState::Dispatched(dispatched_under)) => Ok(Reply::InDoubt(dispatched_under)),
            Some(SubjectState::Executed(dispatched_under)) => Ok(Reply::Executed(dispatched_under)),
            Some(SubjectState::Decided(_)) => Err(not_an_order(order)),
            None => Err(Reply::Rejected(format!("{order} was not handed out"))),
        }
    }

    pub(super) fn retire_subjects(&mut self, space: &str, below: u64) -> Result<Reply, Reply> {
        let current = self.retired_below.get(space).copied();
        if current.is_none() && self.retired_below.len() >= MAX_SPACES {
            return Err(Reply::CapacityExceeded);
        }
        // The bound never falls: what was retired could be decided a second time.
        if current.is_none_or(|current| current < below) {
            self.retired_below.insert(space.to_owned(), below);
            self.remove_subjects_below(space, below);
        }
        Ok(Reply::Done)
    }

    fn remove_subjects_below(&mut self, space: &str, below: u64) {
        let range = Subject::new(space, 0)..Subject::new(space, below);
        let retired: Vec<Subject> = self.subjects.range(range).map(|(subject, _)| subject.clone()).collect();
        for subject in retired {
            self.subjects.remove(&subject);
        }
    }

    /// Whether a subject that is not there yet may be added.
    fn check_new_subject(&self, subject: &Subject) -> Result<(), Reply> {
        let below = self.retired_below.get(&subject.space).copied().unwrap_or(0);
        if subject.number < below {
            return Err(Reply::Retired { below });
        }
        if self.subjects.len() >= MAX_SUBJECTS {
            return Err(Reply::CapacityExceeded);
        }
        Ok(())
    }
}

fn not_an_order(subject: &Subject) -> Reply {
    Reply::Rejected(format!("{subject} is no order"))
}

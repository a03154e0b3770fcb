//! Subjects, which are decided once, and orders, which are dispatched under an epoch and executed at most
//! once.

use serde::{Deserialize, Serialize};

use super::command::Reply;
use super::{MAX_VALUE_BYTES, ReplicatedState};
use crate::ids::{Epoch, Role, Subject};

/// Maximum number of subjects. At the limit new ones are rejected until old ones are retired; a decision is
/// never evicted automatically.
pub const MAX_SUBJECTS: usize = 1_000_000;
/// Maximum number of spaces with retired subjects.
pub const MAX_SPACES: usize = 1024;

/// The state of a subject.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubjectState {
    /// Decided, with this value.
    Decided(Vec<u8>),
    /// Order dispatched under this epoch.
    #[serde(rename = "Handed")]
    Dispatched(Epoch),
    /// Executed order that had been dispatched under this epoch.
    #[serde(rename = "Ran")]
    Executed(Epoch),
}

impl ReplicatedState {
    /// Returns the state of a subject; `None` if it is neither decided nor dispatched, or is retired.
    pub fn subject_state(&self, subject: &Subject) -> Option<&SubjectState> {
        self.subjects.get(subject)
    }

    /// Returns the subjects of a space whose number is at least `from`, in order.
    pub fn subjects<'a>(
        &'a self,
        space: &str,
        from: u64,
    ) -> impl Iterator<Item = (&'a Subject, &'a SubjectState)> {
        let first = Subject::new(space, from);
        let space = space.to_owned();
        self.subjects.range(first..).take_while(move |(subject, _)| subject.space == space)
    }

    /// Returns all subjects in order, or only those that follow `after`.
    pub fn subjects_after(&self, after: Option<&Subject>) -> impl Iterator<Item = (&Subject, &SubjectState)> {
        use std::ops::Bound::{Excluded, Unbounded};
        let start = after.map_or(Unbounded, Excluded);
        self.subjects.range((start, Unbounded))
    }

    /// Returns the number of subjects.
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
            // In doubt even under the same epoch: the holder may have sent the order before it crashed.
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
            // The gate's answer that the order was not executed is final only for older epochs: a message
            // sent under the current epoch may still be in transit to the gate.
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
        // The bound never decreases, or a retired subject could be decided a second time.
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

    /// Checks that a subject which does not exist yet may be added.
    ///
    /// # Errors
    /// [`Reply::Retired`] or [`Reply::CapacityExceeded`].
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

//! The replicated state, to which all instances apply the same commands in log order.
//!
//! It is a deterministic state machine: the same commands must produce the same state and replies on every
//! instance, so nothing here may depend on a clock, a random number or the iteration order of a hash map.
//!
//! - A **subject** is decided once. A retired subject is never decided again.
//! - A **session** deduplicates proposals: one that is sent several times is applied once, and later copies
//!   get the reply of the first.
//! - A **lease** assigns a role to one instance under an epoch. The holder presents that epoch to a fencing
//!   gate for each action.
//! - An **order** is recorded as dispatched under an epoch before it is sent. The next holder of the lease
//!   can't tell whether it was executed, and may dispatch it again only once the fencing gate has confirmed
//!   that it was not and never will be.
//! - A **notice** is a member's current view on a topic, not a decision.
//!
//! In reading order: `command`, `sessions`, `subjects`, `lease`, `notices`, `members`.

mod command;
mod lease;
mod members;
mod notices;
mod sessions;
mod subjects;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{Index, InstanceId, Role, SessionId, Subject};

pub use command::{Command, Proposal, Reply};
pub use lease::{Lease, MAX_ROLES};
pub use members::Member;
pub use notices::{MAX_TOPICS, Notice};
pub use sessions::MAX_SESSIONS;
pub use subjects::{MAX_SPACES, MAX_SUBJECTS, SubjectState};

/// Maximum size of the value of a decision or a notice, in bytes.
pub const MAX_VALUE_BYTES: usize = 4096;

/// The replicated state. Snapshots contain it in postcard's encoding, which identifies fields by position:
/// their order must never change.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicatedState {
    applied: Index,
    subjects: BTreeMap<Subject, SubjectState>,
    /// The lowest number that is not retired, by space.
    #[serde(rename = "floors")]
    retired_below: BTreeMap<String, u64>,
    #[serde(rename = "roles")]
    leases: BTreeMap<Role, Lease>,
    sessions: BTreeMap<SessionId, sessions::Session>,
    members: BTreeMap<InstanceId, Member>,
    /// Notices by topic and member.
    notices: BTreeMap<String, BTreeMap<InstanceId, Notice>>,
}

impl ReplicatedState {
    /// Returns the index of the last entry applied.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// Records that the entry at `index`, which contains no command, is applied.
    pub fn skip(&mut self, index: Index) {
        self.applied = index;
    }

    /// Executes a command that was not applied before in its session.
    fn execute(&mut self, index: Index, command: &Command) -> Reply {
        let result = match command {
            Command::OpenSession { .. } => Err(Reply::Rejected("a session opens without one".to_owned())),
            Command::Decide { subject, value } => self.decide(subject, value),
            Command::AcquireLease { role, holder, expected_epoch, ttl } => {
                self.acquire_lease(index, role, *holder, *expected_epoch, *ttl)
            }
            Command::RenewLease { role, epoch } => self.renew_lease(index, role, *epoch),
            Command::ReleaseLease { role, epoch, successor } => {
                self.release_lease(index, role, *epoch, *successor)
            }
            Command::DispatchOrder { role, epoch, order } => self.dispatch_order(role, *epoch, order),
            Command::ResolveOrder { role, epoch, order, executed } => {
                self.resolve_order(role, *epoch, order, *executed)
            }
            Command::PublishNotice { from, topic, value } => {
                self.publish_notice(index, *from, topic, value.as_deref())
            }
            Command::RetireSubjects { space, below } => self.retire_subjects(space, *below),
        };
        // An error is also a reply: the session stores it like any other.
        match result {
            Ok(reply) | Err(reply) => reply,
        }
    }
}

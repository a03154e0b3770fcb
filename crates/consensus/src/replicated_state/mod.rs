//! The replicated state: what all instances agree on, in the order of the log. A pure state machine: the same
//! commands give the same state and replies everywhere, so nothing here may look at a clock, a random number or hash
//! order.
//!
//! - A **subject** is decided once. A subject that is retired is never decided again.
//! - A **session** makes a proposal that is sent again the same proposal: it is applied once, and later copies get
//!   the reply of the first.
//! - A **lease** gives a role to one instance under an epoch. Whoever acts on it shows that epoch to a fencing gate.
//! - An **order** is dispatched under an epoch before it is sent. Whoever acquires the lease next finds it in doubt
//!   and may dispatch it again only after the fencing gate has said that it never was and never will be executed.
//! - A **notice** is a member's present view on a topic, not a decision.
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

/// Longest value of a decision or a notice, in bytes.
pub const MAX_VALUE_BYTES: usize = 4096;

/// The replicated state. Snapshots hold it as postcard writes it: the order of fields must never change.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicatedState {
    applied: Index,
    subjects: BTreeMap<Subject, SubjectState>,
    /// By space, the lowest number that is not retired.
    #[serde(rename = "floors")]
    retired_below: BTreeMap<String, u64>,
    #[serde(rename = "roles")]
    leases: BTreeMap<Role, Lease>,
    sessions: BTreeMap<SessionId, sessions::Session>,
    members: BTreeMap<InstanceId, Member>,
    /// By topic and member.
    notices: BTreeMap<String, BTreeMap<InstanceId, Notice>>,
}

impl ReplicatedState {
    /// The last index applied.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// An entry without a command, at this index of the log.
    pub fn skip(&mut self, index: Index) {
        self.applied = index;
    }

    /// Executes a command that its session has not seen before.
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
        // Errors are replies too: they end a command early, and its session keeps them like any other.
        match result {
            Ok(reply) | Err(reply) => reply,
        }
    }
}

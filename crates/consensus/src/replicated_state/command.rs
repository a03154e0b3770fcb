//! Commands, the proposals that carry them, and the replies to them.
//!
//! All of these are stored and sent as postcard writes them: the order of variants and fields must never change.

use serde::{Deserialize, Serialize};

use crate::ids::{Epoch, InstanceId, Role, Sequence, SessionId, Subject};

/// A change of the replicated state that may be proposed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Open a session; the reply names it. The nonce only tells two proposers' commands apart.
    #[serde(rename = "Open")]
    OpenSession {
        /// Any number.
        nonce: u64,
    },
    /// Decide a subject, unless it is decided already.
    Decide {
        /// What is decided.
        subject: Subject,
        /// The decision, of at most [`super::MAX_VALUE_BYTES`] bytes.
        value: Vec<u8>,
    },
    /// Acquire the lease of a role whose epoch is `expected_epoch`, or 0 if it was never held.
    #[serde(rename = "Take")]
    AcquireLease {
        /// The role.
        role: Role,
        /// Who is to hold it.
        holder: InstanceId,
        /// The epoch that the proposer saw: whoever acquired the lease in between wins.
        #[serde(rename = "expect")]
        expected_epoch: Epoch,
        /// How long a holder that can't renew may go on acting, in its own ticks. Advice for speed: nothing is safe
        /// because of it.
        #[serde(rename = "life")]
        ttl: u32,
    },
    /// The holder renews its lease.
    #[serde(rename = "Renew")]
    RenewLease {
        /// The role.
        role: Role,
        /// The epoch under which it is held.
        epoch: Epoch,
    },
    /// The holder releases a lease, or passes it on to a successor; either way its own epoch is over.
    #[serde(rename = "Leave")]
    ReleaseLease {
        /// The role.
        role: Role,
        /// The epoch under which it is held.
        epoch: Epoch,
        /// Who holds it next; none: whoever acquires it.
        #[serde(rename = "to")]
        successor: Option<InstanceId>,
    },
    /// Dispatch an order, before it is sent.
    #[serde(rename = "Hand")]
    DispatchOrder {
        /// The role that dispatches.
        role: Role,
        /// The epoch under which the role is held.
        epoch: Epoch,
        /// The order.
        order: Subject,
    },
    /// What the fencing gate says of a dispatched order, asked after the gate had observed `epoch`.
    #[serde(rename = "Settle")]
    ResolveOrder {
        /// The role that dispatches.
        role: Role,
        /// The epoch that the gate had observed when it was asked.
        epoch: Epoch,
        /// The order.
        order: Subject,
        /// Whether it was executed. If not, it may be dispatched again: the gate admits no older epoch any more.
        #[serde(rename = "ran")]
        executed: bool,
    },
    /// Publish a member's notice on a topic, in place of its last one: its present view, not a decision.
    #[serde(rename = "Post")]
    PublishNotice {
        /// The member.
        from: InstanceId,
        /// The topic.
        #[serde(rename = "board")]
        topic: String,
        /// The notice, of at most [`super::MAX_VALUE_BYTES`] bytes; none withdraws the last one.
        value: Option<Vec<u8>>,
    },
    /// Forget the subjects of a space below a number; they can't be decided any more.
    #[serde(rename = "Retire")]
    RetireSubjects {
        /// The space.
        space: String,
        /// The lowest number of the space that is not retired.
        below: u64,
    },
}

/// A command and its place in its proposer's session.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// The session; 0 for [`Command::OpenSession`], which needs none.
    pub session: SessionId,
    /// Its place there. A proposer that goes on to a later one has abandoned this one for good.
    pub sequence: Sequence,
    /// The command.
    pub command: Command,
}

/// What became of a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The session is open.
    #[serde(rename = "Opened")]
    SessionOpened(SessionId),
    /// The subject is decided.
    Decided {
        /// The decision, of this proposal or an earlier one.
        value: Vec<u8>,
        /// Whether this proposal decided it.
        first: bool,
    },
    /// The lease is held under this epoch from here on.
    #[serde(rename = "Granted")]
    LeaseAcquired(Epoch),
    /// The lease was renewed or released, the order resolved, the notice published, the space retired.
    Done,
    /// The order is dispatched under this epoch and may be sent once.
    #[serde(rename = "Handed")]
    Dispatched(Epoch),
    /// The order was dispatched under this epoch before; only the fencing gate knows whether it was executed.
    InDoubt(Epoch),
    /// The order was executed, dispatched under this epoch.
    #[serde(rename = "Ran")]
    Executed(Epoch),
    /// The command's epoch is not the current one.
    #[serde(rename = "Stale")]
    StaleEpoch {
        /// The current one.
        current: Epoch,
    },
    /// The subject is retired.
    Retired {
        /// The lowest number of the space that is not retired.
        below: u64,
    },
    /// The session is not known (any more): the proposal was not applied now, and may have been earlier.
    #[serde(rename = "SessionLost")]
    SessionExpired,
    /// A later proposal of the same session came first: this one was not applied and never will be.
    #[serde(rename = "Overtaken")]
    Superseded,
    /// The replicated state holds as much as it may.
    #[serde(rename = "Full")]
    CapacityExceeded,
    /// The command is invalid, and why.
    #[serde(rename = "Refused")]
    Rejected(String),
}

//! Commands, the proposals that carry them, and the replies to them.
//!
//! All of these are stored and sent in postcard's encoding, which identifies variants and fields by position:
//! their order must never change.

use serde::{Deserialize, Serialize};

use crate::ids::{Epoch, InstanceId, Role, Sequence, SessionId, Subject};

/// A proposed change of the replicated state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Request to open a session; the reply contains its id.
    #[serde(rename = "Open")]
    OpenSession {
        /// Number that distinguishes the requests of two proposers; it has no other meaning.
        nonce: u64,
    },
    /// Decision of a subject; without effect if the subject is already decided.
    Decide {
        /// The subject.
        subject: Subject,
        /// The decision, of at most [`super::MAX_VALUE_BYTES`] bytes.
        value: Vec<u8>,
    },
    /// Acquisition of a role's lease, provided that the role's epoch is `expected_epoch`.
    #[serde(rename = "Take")]
    AcquireLease {
        /// The role.
        role: Role,
        /// The new holder.
        holder: InstanceId,
        /// The epoch that the proposer saw, or 0 if the role was never held. If another instance has acquired
        /// the lease since, this command has no effect.
        #[serde(rename = "expect")]
        expected_epoch: Epoch,
        /// Time for which a holder that can't renew may continue to act, in its own ticks. It affects only
        /// how soon the role changes hands; safety does not depend on it.
        #[serde(rename = "life")]
        ttl: u32,
    },
    /// Renewal of a lease by its holder.
    #[serde(rename = "Renew")]
    RenewLease {
        /// The role.
        role: Role,
        /// The epoch under which it is held.
        epoch: Epoch,
    },
    /// Release of a lease by its holder, or its transfer to a successor. Either ends the holder's epoch.
    #[serde(rename = "Leave")]
    ReleaseLease {
        /// The role.
        role: Role,
        /// The epoch under which it is held.
        epoch: Epoch,
        /// The next holder; `None` leaves the lease free to be acquired.
        #[serde(rename = "to")]
        successor: Option<InstanceId>,
    },
    /// Dispatch of an order, recorded before the order is sent.
    #[serde(rename = "Hand")]
    DispatchOrder {
        /// The role that dispatches.
        role: Role,
        /// The epoch under which the role is held.
        epoch: Epoch,
        /// The order.
        order: Subject,
    },
    /// The fencing gate's answer about a dispatched order, obtained after the gate had observed `epoch`.
    #[serde(rename = "Settle")]
    ResolveOrder {
        /// The role that dispatches.
        role: Role,
        /// The epoch that the gate had observed when it answered.
        epoch: Epoch,
        /// The order.
        order: Subject,
        /// Whether the order was executed. If not, it may be dispatched again: the gate rejects all older
        /// epochs.
        #[serde(rename = "ran")]
        executed: bool,
    },
    /// Publication of a member's notice on a topic, which replaces its previous one. A notice is the member's
    /// current view, not a decision.
    #[serde(rename = "Post")]
    PublishNotice {
        /// The member.
        from: InstanceId,
        /// The topic.
        #[serde(rename = "board")]
        topic: String,
        /// The notice, of at most [`super::MAX_VALUE_BYTES`] bytes; `None` withdraws the previous one.
        value: Option<Vec<u8>>,
    },
    /// Removal of the subjects of a space below a number, after which they can no longer be decided.
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
    /// The session; 0 for [`Command::OpenSession`], which needs no session.
    pub session: SessionId,
    /// Position in the session. A proposal is abandoned for good once its proposer sends a later one.
    pub sequence: Sequence,
    /// The command.
    pub command: Command,
}

/// The result of a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Session opened, with this id.
    #[serde(rename = "Opened")]
    SessionOpened(SessionId),
    /// Subject decided, by this proposal or an earlier one.
    Decided {
        /// The decision.
        value: Vec<u8>,
        /// Whether this proposal decided it.
        first: bool,
    },
    /// Lease acquired, under this epoch.
    #[serde(rename = "Granted")]
    LeaseAcquired(Epoch),
    /// Lease renewed or released, order resolved, notice published, or subjects retired.
    Done,
    /// Order dispatched under this epoch; it may be sent once.
    #[serde(rename = "Handed")]
    Dispatched(Epoch),
    /// Order already dispatched, under this epoch; only the fencing gate knows whether it was executed.
    InDoubt(Epoch),
    /// Order already executed; it was dispatched under this epoch.
    #[serde(rename = "Ran")]
    Executed(Epoch),
    /// Command rejected because its epoch is not the current one.
    #[serde(rename = "Stale")]
    StaleEpoch {
        /// The current epoch.
        current: Epoch,
    },
    /// Command rejected because the subject is retired.
    Retired {
        /// The lowest number of the space that is not retired.
        below: u64,
    },
    /// Unknown or expired session: the proposal was not applied now, but an earlier copy may have been.
    #[serde(rename = "SessionLost")]
    SessionExpired,
    /// Proposal superseded by a later one of the same session; this one was not applied and never will be.
    #[serde(rename = "Overtaken")]
    Superseded,
    /// Command rejected because a limit of the replicated state is reached.
    #[serde(rename = "Full")]
    CapacityExceeded,
    /// Invalid command, with the reason. Sessions store the text as part of the replicated state: all
    /// versions must use the same wording, or their states diverge.
    #[serde(rename = "Refused")]
    Rejected(String),
}

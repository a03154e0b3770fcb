//! Inputs of the engine and the state it publishes. Connections, the HTTP port and the storage writer depend
//! on this module rather than on the engine itself.

use garnetcrank_consensus::ids::{InstanceId, Subject};
use garnetcrank_consensus::raft_node::Message;
use garnetcrank_consensus::replicated_state::{Command, Member, Proposal};
use garnetcrank_store::StoreError;
use tokio::sync::oneshot;

use crate::api::{
    LeaseView, MembershipRequest, OperationResponse, ProposeResponse, StatusView, SubjectPage,
    VerdictReceipt, VerdictReport, WatchEvent,
};

/// Capacity of the engine's queue, in inputs. A full queue sheds load: senders that can't wait drop the input
/// or answer their caller that the agent is busy.
pub const MAX_QUEUED_INPUTS: usize = 8192;

/// An input of the engine.
#[derive(Debug)]
pub enum EngineInput {
    /// A message from a peer.
    PeerMessage(Box<Message>),
    /// A failed connection to a peer.
    PeerUnreachable(InstanceId),
    /// An instance that has connected to this one.
    PeerDiscovered(Member),
    /// Confirmation that the batch in flight is durable.
    BatchPersisted {
        /// Length of the store's file, in bytes.
        file_bytes: u64,
    },
    /// A failed commit to the store; no further batch is written.
    StorageFailed(StoreError),
    /// A request from the HTTP port.
    Request(EngineRequest),
    /// The start of a proxy's watch, by proxy name. One proxy may have several watches.
    ProxyConnected(String),
    /// The end of a proxy's watch, by proxy name.
    ProxyDisconnected(String),
    /// A request to shut down.
    Shutdown,
}

/// A request to the engine, with the channel for its single answer.
#[derive(Debug)]
pub enum EngineRequest {
    /// A read of the status for operators.
    Status(oneshot::Sender<StatusView>),
    /// The opening of a session for the caller.
    OpenSession {
        /// Timeout of the request, in milliseconds.
        timeout_ms: u64,
        /// The channel for the answer.
        reply: oneshot::Sender<ProposeResponse>,
    },
    /// A proposal in the caller's own session.
    Propose {
        /// The proposal.
        proposal: Proposal,
        /// Timeout of the request, in milliseconds.
        timeout_ms: u64,
        /// The channel for the answer.
        reply: oneshot::Sender<ProposeResponse>,
    },
    /// A command to be proposed once, in a session of the engine.
    Execute {
        /// The command.
        command: Command,
        /// Timeout of the request, in milliseconds.
        timeout_ms: u64,
        /// The channel for the answer.
        reply: oneshot::Sender<ProposeResponse>,
    },
    /// A read of the replicated state.
    Read {
        /// The part of the state to read.
        query: StateQuery,
        /// The consistency required of the answer.
        consistency: ReadConsistency,
        /// Timeout of the request, in milliseconds.
        timeout_ms: u64,
        /// The channel for the answer.
        reply: oneshot::Sender<QueryResult>,
    },
    /// A change of membership.
    ChangeMembership {
        /// The change.
        request: MembershipRequest,
        /// Timeout of the request, in milliseconds.
        timeout_ms: u64,
        /// The channel for the answer.
        reply: oneshot::Sender<OperationResponse>,
    },
    /// A transfer of leadership.
    TransferLeadership {
        /// The new leader, by name or id in hexadecimal.
        to: String,
        /// The channel for the answer.
        reply: oneshot::Sender<OperationResponse>,
    },
    /// An immediate compaction of the log into a snapshot.
    Compact(oneshot::Sender<OperationResponse>),
    /// A proxy's verdict on a build.
    ReportVerdict {
        /// The proxy's name and its verdict.
        report: VerdictReport,
        /// The channel for the answer.
        reply: oneshot::Sender<VerdictReceipt>,
    },
}

/// A query on the replicated state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StateQuery {
    /// One subject.
    Subject(Subject),
    /// A page of subjects.
    Page {
        /// Restricts the page to subjects after this one.
        after: Option<Subject>,
        /// Restricts the page to subjects of this space.
        space: Option<String>,
    },
    /// All leases.
    Leases,
}

/// The consistency of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadConsistency {
    /// A read that sees everything decided before it began. It needs a quorum.
    Linearizable,
    /// A read of the state that this instance has applied, however old. It works without a quorum.
    Stale,
}

/// The result of a query.
#[derive(Debug)]
pub enum QueryOutput {
    /// A page of subjects, or the single subject queried.
    Subjects(SubjectPage),
    /// All leases.
    Leases(Vec<LeaseView>),
}

/// An error that leaves a read unanswered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum QueryError {
    /// Too many pending requests.
    #[error("too much work waits at this agent; try again")]
    Busy,
    /// A timeout before a quorum confirmed the read.
    #[error("no quorum answered in time; ?stale=1 reads what this agent has")]
    NoQuorum,
}

/// The answer to a read.
pub type QueryResult = Result<QueryOutput, QueryError>;

/// The state that the engine publishes to proxies that watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PublishedState {
    /// The event for the proxy that casts the vote; other proxies receive it without the vote.
    pub event: WatchEvent,
    /// Name of the proxy that casts the vote, if any proxy watches.
    pub voting_proxy: Option<String>,
}

impl Default for PublishedState {
    fn default() -> Self {
        let event = WatchEvent { condemned_builds: Vec::new(), vote: None, quorum_available: false };
        Self { event, voting_proxy: None }
    }
}

impl PublishedState {
    /// Returns the event for one proxy. Only the voting proxy's event has the vote, so that it is cast once.
    pub fn event_for(&self, proxy: &str) -> WatchEvent {
        let mut event = self.event.clone();
        if self.voting_proxy.as_deref() != Some(proxy) {
            event.vote = None;
        }
        event
    }
}

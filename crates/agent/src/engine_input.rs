//! What the engine receives and what it publishes. Connections, the HTTP port and the storage writer depend on this
//! module alone, so that they need not know the engine.

use garnetcrank_consensus::ids::{InstanceId, Subject};
use garnetcrank_consensus::raft_node::Message;
use garnetcrank_consensus::replicated_state::{Command, Member, Proposal};
use garnetcrank_store::StoreError;
use tokio::sync::oneshot;

use crate::api::{
    LeaseView, MembershipRequest, OperationResponse, ProposeResponse, StatusView, SubjectPage,
    VerdictReceipt, VerdictReport, WatchEvent,
};

/// Capacity of the engine's queue, in inputs. A full queue sheds load: senders that can't wait drop the input or
/// answer their caller that the agent is busy.
pub const MAX_QUEUED_INPUTS: usize = 8192;

/// Everything that the engine reacts to.
#[derive(Debug)]
pub enum EngineInput {
    /// A message from a peer.
    PeerMessage(Box<Message>),
    /// The connection to a peer failed.
    PeerUnreachable(InstanceId),
    /// An instance connected to this one.
    PeerDiscovered(Member),
    /// The batch in flight is durable.
    BatchPersisted {
        /// Length of the store's file, in bytes.
        file_bytes: u64,
    },
    /// The store can't be written any more.
    StorageFailed(StoreError),
    /// A request from the HTTP port.
    Request(EngineRequest),
    /// A proxy began to watch, by name. One proxy may watch more than once.
    ProxyConnected(String),
    /// A proxy's watch ended.
    ProxyDisconnected(String),
    /// The process is to end.
    Shutdown,
}

/// A request and where its one answer goes. Timeouts are in milliseconds.
#[derive(Debug)]
pub enum EngineRequest {
    /// Figures for operators.
    Status(oneshot::Sender<StatusView>),
    /// Opens a session for the caller.
    OpenSession {
        /// How long to wait.
        timeout_ms: u64,
        /// Where the answer goes.
        reply: oneshot::Sender<ProposeResponse>,
    },
    /// A proposal in the caller's own session.
    Propose {
        /// The proposal.
        proposal: Proposal,
        /// How long to wait.
        timeout_ms: u64,
        /// Where the answer goes.
        reply: oneshot::Sender<ProposeResponse>,
    },
    /// A command to be proposed once, in a session that the engine keeps.
    Execute {
        /// The command.
        command: Command,
        /// How long to wait.
        timeout_ms: u64,
        /// Where the answer goes.
        reply: oneshot::Sender<ProposeResponse>,
    },
    /// A read of the replicated state.
    Read {
        /// What to read.
        query: StateQuery,
        /// How recent the answer has to be.
        consistency: ReadConsistency,
        /// How long to wait.
        timeout_ms: u64,
        /// Where the answer goes.
        reply: oneshot::Sender<QueryResult>,
    },
    /// A change of membership.
    ChangeMembership {
        /// The change.
        request: MembershipRequest,
        /// How long to wait.
        timeout_ms: u64,
        /// Where the answer goes.
        reply: oneshot::Sender<OperationResponse>,
    },
    /// A transfer of leadership.
    TransferLeadership {
        /// The new leader, by name or id in hexadecimal.
        to: String,
        /// Where the answer goes.
        reply: oneshot::Sender<OperationResponse>,
    },
    /// Compacts the log into a snapshot now.
    Compact(oneshot::Sender<OperationResponse>),
    /// A proxy's verdict on a build.
    ReportVerdict {
        /// The verdict.
        report: VerdictReport,
        /// Where the answer goes.
        reply: oneshot::Sender<VerdictReceipt>,
    },
}

/// What can be read of the replicated state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StateQuery {
    /// One subject.
    Subject(Subject),
    /// A page of subjects.
    Page {
        /// Only those after this one.
        after: Option<Subject>,
        /// Only those of this space.
        space: Option<String>,
    },
    /// All leases.
    Leases,
}

/// How recent the answer to a read has to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadConsistency {
    /// Everything that was decided before the read is seen; needs a quorum.
    Linearizable,
    /// What this instance has applied, however old; works without a quorum.
    Stale,
}

/// What a read found.
#[derive(Debug)]
pub enum QueryOutput {
    /// A page of subjects, or the one that was asked for.
    Subjects(SubjectPage),
    /// All leases.
    Leases(Vec<LeaseView>),
}

/// Why a read was not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum QueryError {
    /// Too many requests are pending.
    #[error("too much work waits at this agent; try again")]
    Busy,
    /// No quorum confirmed the read within its timeout.
    #[error("no quorum answered in time; ?stale=1 reads what this agent has")]
    NoQuorum,
}

/// The answer to a read.
pub type QueryResult = Result<QueryOutput, QueryError>;

/// What the engine publishes to all proxies that watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PublishedState {
    /// The event for the proxy that casts the vote. All others get it without the vote.
    pub event: WatchEvent,
    /// Name of the proxy that casts the vote.
    pub voting_proxy: Option<String>,
}

impl Default for PublishedState {
    fn default() -> Self {
        let event = WatchEvent { condemned_builds: Vec::new(), vote: None, quorum_available: false };
        Self { event, voting_proxy: None }
    }
}

impl PublishedState {
    /// What one proxy sees: only the one that casts the vote gets it, so that it is cast once.
    pub fn event_for(&self, proxy: &str) -> WatchEvent {
        let mut event = self.event.clone();
        if self.voting_proxy.as_deref() != Some(proxy) {
            event.vote = None;
        }
        event
    }
}

//! Request and response bodies of the local HTTP port, as JSON. Names in the JSON are fixed: proxies and scripts of
//! other versions rely on them, so fields and variants that have a better name in the code keep the old one on the
//! wire.

use garnetcrank_consensus::build_verdicts::BuildVerdict;
use garnetcrank_consensus::ids::{Epoch, Index, InstanceId, Subject};
use garnetcrank_consensus::raft_node::NodeStatus;
use garnetcrank_consensus::replicated_state::{Command, Proposal, Reply, SubjectState};
use serde::{Deserialize, Serialize};

/// Longest wait that a caller may ask for, in milliseconds.
pub const MAX_TIMEOUT_MS: u64 = 60_000;
/// Wait of a caller that names none, in milliseconds.
pub const DEFAULT_TIMEOUT_MS: u64 = 5_000;
/// Most subjects on one page.
pub const SUBJECTS_PER_PAGE: usize = 500;
/// Most digits of an instance's id in hexadecimal: 64 bits.
const MAX_INSTANCE_ID_DIGITS: usize = 16;

/// A member, for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// Its id in hexadecimal, see [`format_instance_id`].
    pub id: String,
    /// Its name, unique in the cluster.
    pub name: String,
    /// Where its peers connect to it.
    pub address: String,
    /// `voter`, `learner`, or `none` for an instance that waits to be added.
    #[serde(rename = "part")]
    pub role: String,
    /// Whether the leader has heard from it lately; absent where that is not known.
    #[serde(rename = "living", skip_serializing_if = "Option::is_none")]
    pub recently_active: Option<bool>,
    /// The last index that it is known to have stored; absent where that is not known.
    #[serde(rename = "matched", skip_serializing_if = "Option::is_none")]
    pub matched_index: Option<u64>,
}

/// The response to `GET /v1/status`.
#[derive(Debug, Clone, Serialize)]
pub struct StatusView {
    /// The cluster's name.
    pub cluster: String,
    /// This instance.
    pub me: MemberView,
    /// Version of this program.
    pub version: String,
    /// How often the store has been opened by its owner, this time included.
    pub starts: u64,
    /// Milliseconds since this process started.
    #[serde(rename = "up_ms")]
    pub uptime_ms: u64,
    /// Figures of the Raft node.
    pub node: NodeStatus,
    /// The leader's name, where known.
    pub leader: Option<String>,
    /// The members as known here.
    pub members: Vec<MemberView>,
    /// Number of subjects held.
    #[serde(rename = "subjects")]
    pub subject_count: usize,
    /// Number of sessions held.
    #[serde(rename = "sessions")]
    pub session_count: usize,
    /// Length of the store's file, in bytes.
    pub store_bytes: u64,
}

/// A lease on a role, for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseView {
    /// The role.
    pub role: String,
    /// The holder's name, or its id in hexadecimal if it has no name here; absent after the lease was released.
    pub holder: Option<String>,
    /// The lease's epoch.
    pub epoch: Epoch,
    /// Index of the holder's last renewal.
    #[serde(rename = "renewed")]
    pub renewed_at: Index,
}

/// One subject and its state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubjectView {
    /// The subject.
    pub subject: Subject,
    /// What has been decided about it.
    #[serde(rename = "standing")]
    pub state: SubjectState,
}

/// A page of subjects.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubjectPage {
    /// The last index that had been applied when the page was read.
    pub applied: Index,
    /// Subjects in order, [`SUBJECTS_PER_PAGE`] at most.
    pub subjects: Vec<SubjectView>,
    /// Pass this as `after` to get the next page; absent on the last page.
    pub next: Option<Subject>,
}

/// The body of `POST /v1/propose`: exactly one of `command` and `proposal`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProposeRequest {
    /// A command that the agent proposes once, in a session of its own.
    #[serde(default)]
    pub command: Option<Command>,
    /// A proposal in the caller's own session, which may be sent again to any agent.
    #[serde(default)]
    pub proposal: Option<Proposal>,
    /// How long to wait, in milliseconds: [`DEFAULT_TIMEOUT_MS`] if absent, [`MAX_TIMEOUT_MS`] at most.
    #[serde(rename = "within_ms", default)]
    pub timeout_ms: Option<u64>,
}

/// The outcome of a proposal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum ProposeResponse {
    /// It was applied.
    Applied {
        /// The reply of the replicated state.
        reply: Reply,
    },
    /// It was never proposed: it decides nothing.
    NotProposed,
    /// No answer in time; it may yet be decided. Send the same proposal again to learn the outcome.
    #[serde(rename = "may_yet")]
    Indeterminate,
    /// Too many requests are pending here; nothing was done.
    Busy,
    /// The store is nearly full; nothing was done.
    StoreFull,
    /// It is not valid.
    #[serde(rename = "refused")]
    Rejected {
        /// Why.
        #[serde(rename = "why")]
        reason: String,
    },
}

/// The body of `POST /v1/members`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MembershipRequest {
    /// Adds an instance.
    Add {
        /// Its id in hexadecimal.
        id: String,
        /// Its name.
        name: String,
        /// Where its peers connect to it, as `IP:PORT`.
        address: String,
    },
    /// Removes an instance, by its name or its id in hexadecimal.
    Remove(String),
}

/// The outcome of an operator's request that only the leader carries out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum OperationResponse {
    /// Done, or, for a transfer of leadership, begun.
    Done,
    /// Another instance leads.
    NotLeader {
        /// The leader's name, if known. The caller has to know its local port.
        leader: Option<String>,
    },
    /// No answer in time; it may yet be done.
    #[serde(rename = "may_yet")]
    Indeterminate,
    /// It is not valid.
    #[serde(rename = "refused")]
    Rejected {
        /// Why.
        #[serde(rename = "why")]
        reason: String,
    },
}

/// The body of `POST /v1/verdicts`: a proxy's own verdict on a build.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VerdictReport {
    /// The proxy's name.
    #[serde(rename = "front")]
    pub proxy: String,
    /// Its verdict.
    #[serde(rename = "opinion")]
    pub verdict: BuildVerdict,
}

/// The response to `POST /v1/verdicts`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VerdictReceipt {
    /// Whether the verdict was accepted and is shared with the other instances.
    #[serde(rename = "heard")]
    pub accepted: bool,
}

/// One line of `GET /v1/watch`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchEvent {
    /// Builds that are condemned.
    #[serde(rename = "condemned")]
    pub condemned_builds: Vec<u64>,
    /// The vote that this proxy casts at the platform for all; absent if another proxy casts it.
    #[serde(rename = "cast", default, skip_serializing_if = "Option::is_none")]
    pub vote: Option<VoteAssignment>,
    /// Whether verdicts that are sent here reach the other instances: a leader is known and this instance votes.
    #[serde(rename = "together")]
    pub quorum_available: bool,
}

/// A vote to cast at the platform for all instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteAssignment {
    /// The epoch of the lease on the role `votes` under which it is cast.
    pub epoch: Epoch,
    /// The vote; none while no instance has a verdict.
    #[serde(rename = "opinion")]
    pub verdict: Option<BuildVerdict>,
}

/// The body of every error response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// What is wrong and what to do.
    pub error: String,
}

/// A text that is not an instance's id.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "\"{text}\" is not an instance id: 1 to {MAX_INSTANCE_ID_DIGITS} hex digits, not all zero, are required"
)]
pub struct ParseInstanceIdError {
    text: String,
}

/// An instance's id as operators see it: 16 hexadecimal digits.
pub fn format_instance_id(id: InstanceId) -> String {
    format!("{:016x}", id.0)
}

/// Parses an instance's id as operators give it.
///
/// # Errors
/// The text is not 1 to 16 hexadecimal digits, or the id is zero, which stands for no instance.
pub fn parse_instance_id(text: &str) -> Result<InstanceId, ParseInstanceIdError> {
    match u64::from_str_radix(text, 16) {
        Ok(id) if id != 0 && text.len() <= MAX_INSTANCE_ID_DIGITS => Ok(InstanceId(id)),
        _ => Err(ParseInstanceIdError { text: text.to_owned() }),
    }
}

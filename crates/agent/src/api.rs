//! Request and response bodies of the local HTTP port, as JSON. Names in the JSON are fixed, because proxies
//! and scripts of other versions rely on them: a field or variant with another name in the code is mapped to
//! its JSON name by a serde attribute.

use garnetcrank_consensus::build_verdicts::BuildVerdict;
use garnetcrank_consensus::ids::{Epoch, Index, InstanceId, Subject};
use garnetcrank_consensus::raft_node::NodeStatus;
use garnetcrank_consensus::replicated_state::{Command, Proposal, Reply, SubjectState};
use serde::{Deserialize, Serialize};

/// Longest timeout that a caller may request, in milliseconds.
pub const MAX_TIMEOUT_MS: u64 = 60_000;
/// Timeout of a request that names none, in milliseconds.
pub const DEFAULT_TIMEOUT_MS: u64 = 5_000;
/// Maximum number of subjects on one page.
pub const SUBJECTS_PER_PAGE: usize = 500;
/// Maximum number of hexadecimal digits of an instance's id, which has 64 bits.
const MAX_INSTANCE_ID_DIGITS: usize = 16;

/// A member as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// The member's id, as formatted by [`format_instance_id`].
    pub id: String,
    /// The member's name, unique in the cluster.
    pub name: String,
    /// The address at which peers connect to the member.
    pub address: String,
    /// The member's role: `voter`, `learner`, or `none` for an instance that is not a member yet.
    #[serde(rename = "part")]
    pub role: String,
    /// Whether the leader has recently received a message from the member; absent if this is not known.
    #[serde(rename = "living", skip_serializing_if = "Option::is_none")]
    pub recently_active: Option<bool>,
    /// The last index that the member is known to have stored; absent if this is not known.
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
    /// The version of this program.
    pub version: String,
    /// Number of times that the store has been opened by its owner, including this one.
    pub starts: u64,
    /// Milliseconds since this process started.
    #[serde(rename = "up_ms")]
    pub uptime_ms: u64,
    /// The status of the Raft node.
    pub node: NodeStatus,
    /// The leader's name, if known.
    pub leader: Option<String>,
    /// The members as known to this instance.
    pub members: Vec<MemberView>,
    /// Number of subjects in the replicated state.
    #[serde(rename = "subjects")]
    pub subject_count: usize,
    /// Number of sessions in the replicated state.
    #[serde(rename = "sessions")]
    pub session_count: usize,
    /// Length of the store's file, in bytes.
    pub store_bytes: u64,
}

/// A lease on a role as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseView {
    /// The role.
    pub role: String,
    /// The holder's name, or its id in hexadecimal if it is not a member; absent after the lease was
    /// released.
    pub holder: Option<String>,
    /// The lease's epoch.
    pub epoch: Epoch,
    /// Log index of the acquisition, renewal or release that came last.
    #[serde(rename = "renewed")]
    pub renewed_at: Index,
}

/// One subject and its state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubjectView {
    /// The subject.
    pub subject: Subject,
    /// The state decided for the subject.
    #[serde(rename = "standing")]
    pub state: SubjectState,
}

/// A page of subjects.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubjectPage {
    /// The last index that had been applied when the page was read.
    pub applied: Index,
    /// The subjects in order, at most [`SUBJECTS_PER_PAGE`].
    pub subjects: Vec<SubjectView>,
    /// The value of `after` that requests the next page; absent on the last page.
    pub next: Option<Subject>,
}

/// The body of `POST /v1/propose`: exactly one of `command` and `proposal`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProposeRequest {
    /// A command that the agent proposes once, in one of its own sessions.
    #[serde(default)]
    pub command: Option<Command>,
    /// A proposal in the caller's own session, which the caller may retry at any agent.
    #[serde(default)]
    pub proposal: Option<Proposal>,
    /// Timeout of the request, in milliseconds: [`DEFAULT_TIMEOUT_MS`] if absent, at most [`MAX_TIMEOUT_MS`].
    #[serde(rename = "within_ms", default)]
    pub timeout_ms: Option<u64>,
}

/// The outcome of a proposal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum ProposeResponse {
    /// A proposal that was applied.
    Applied {
        /// The reply of the replicated state.
        reply: Reply,
    },
    /// A proposal that was never handed to Raft and has no effect.
    NotProposed,
    /// A proposal without an answer in time, which could still be applied. Sending the same proposal again
    /// returns its outcome.
    #[serde(rename = "may_yet")]
    Indeterminate,
    /// A proposal shed because too many requests are pending at this agent; it has no effect.
    Busy,
    /// A proposal not accepted because the store is nearly full; it has no effect.
    StoreFull,
    /// An invalid proposal.
    #[serde(rename = "refused")]
    Rejected {
        /// The reason for the rejection.
        #[serde(rename = "why")]
        reason: String,
    },
}

/// The body of `POST /v1/members`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MembershipRequest {
    /// The addition of an instance.
    Add {
        /// The instance's id in hexadecimal.
        id: String,
        /// The instance's name.
        name: String,
        /// The address at which peers connect to the instance, as `IP:PORT`.
        address: String,
    },
    /// The removal of an instance, by its name or its id in hexadecimal.
    Remove(String),
}

/// The outcome of an operation that an operator requested.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum OperationResponse {
    /// A completed operation or, for a transfer of leadership, one that has begun.
    Done,
    /// An operation not carried out because only the leader can do so and another instance leads.
    NotLeader {
        /// The leader's name, if known. The response does not include the leader's local port.
        leader: Option<String>,
    },
    /// An operation without an answer in time, which could still be carried out.
    #[serde(rename = "may_yet")]
    Indeterminate,
    /// An invalid operation.
    #[serde(rename = "refused")]
    Rejected {
        /// The reason for the rejection.
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
    /// The proxy's verdict.
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
    /// The condemned builds.
    #[serde(rename = "condemned")]
    pub condemned_builds: Vec<u64>,
    /// The vote that this proxy casts at the platform for all instances; absent if this proxy is not the one
    /// to cast it.
    #[serde(rename = "cast", default, skip_serializing_if = "Option::is_none")]
    pub vote: Option<VoteAssignment>,
    /// Whether verdicts reported here reach the other instances: a leader is known and this instance is a
    /// voter.
    #[serde(rename = "together")]
    pub quorum_available: bool,
}

/// A vote to be cast at the platform for all instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteAssignment {
    /// The epoch of the lease on the role `votes` under which the vote is cast.
    pub epoch: Epoch,
    /// The vote's verdict; `None` while no instance has one.
    #[serde(rename = "opinion")]
    pub verdict: Option<BuildVerdict>,
}

/// The body of every error response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// A description of the error and, where possible, of what to do.
    pub error: String,
}

/// A text that can't be parsed as an instance's id.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "\"{text}\" is not an instance id: 1 to {MAX_INSTANCE_ID_DIGITS} hex digits, not all zero, are required"
)]
pub struct ParseInstanceIdError {
    text: String,
}

/// Formats an instance's id as 16 hexadecimal digits.
pub fn format_instance_id(id: InstanceId) -> String {
    format!("{:016x}", id.0)
}

/// Parses an instance's id from hexadecimal digits.
///
/// # Errors
/// The text is not 1 to 16 hexadecimal digits, or the id is zero, which no instance has.
pub fn parse_instance_id(text: &str) -> Result<InstanceId, ParseInstanceIdError> {
    match u64::from_str_radix(text, 16) {
        Ok(id) if id != 0 && text.len() <= MAX_INSTANCE_ID_DIGITS => Ok(InstanceId(id)),
        _ => Err(ParseInstanceIdError { text: text.to_owned() }),
    }
}

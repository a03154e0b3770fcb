//! What is said on the local port, as JSON.

use garnetcrank_consensus::build_verdicts::BuildVerdict;
use garnetcrank_consensus::ids::{Epoch, Index, InstanceId, Subject};
use garnetcrank_consensus::raft_node::NodeStatus;
use garnetcrank_consensus::replicated_state::{Command, Proposal, Reply, SubjectState};
use serde::{Deserialize, Serialize};

/// Longest wait that a caller may ask for, in milliseconds.
pub const WITHIN_MOST: u64 = 60_000;
/// Wait of a caller that names none, in milliseconds.
pub const WITHIN: u64 = 5_000;
/// Subjects on one page.
pub const PAGE: usize = 500;

/// A member, for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// Its number, in hex.
    pub id: String,
    /// Its name.
    pub name: String,
    /// Where its peers reach it.
    pub address: String,
    /// `voter`, `learner`, or `none` for one that waits to be added.
    pub part: String,
    /// Whether the leader has heard from it lately; absent where that is not known.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub living: Option<bool>,
    /// The last index it is known to hold; absent where that is not known.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub matched: Option<u64>,
}

/// The answer to `GET /v1/status`.
#[derive(Debug, Clone, Serialize)]
pub struct StatusView {
    /// The cluster.
    pub cluster: String,
    /// This instance.
    pub me: MemberView,
    /// Program version.
    pub version: String,
    /// Times that the store was opened, this time counted.
    pub starts: u64,
    /// Milliseconds since the start.
    pub up_ms: u64,
    /// The node's own figures.
    pub node: NodeStatus,
    /// The leader's name, where known.
    pub leader: Option<String>,
    /// The members as known here.
    pub members: Vec<MemberView>,
    /// Subjects, sessions and roles held.
    pub subjects: usize,
    /// Sessions held.
    pub sessions: usize,
    /// Bytes of the store's file.
    pub store_bytes: u64,
}

/// A grant, for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantView {
    /// The role.
    pub role: String,
    /// The holder's name, its number in hex if it has none here; absent after it left.
    pub holder: Option<String>,
    /// The epoch.
    pub epoch: Epoch,
    /// Index of the holder's last sign of life.
    pub renewed: Index,
}

/// One subject.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubjectView {
    /// Which.
    pub subject: Subject,
    /// How it stands.
    pub standing: SubjectState,
}

/// A page of the ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The last index applied when it was read.
    pub applied: Index,
    /// Subjects in order.
    pub subjects: Vec<SubjectView>,
    /// Ask on after this one; absent on the last page.
    pub next: Option<Subject>,
}

/// The body of `POST /v1/propose`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Propose {
    /// A command; the agent sends it in its own session, once.
    #[serde(default)]
    pub command: Option<Command>,
    /// A proposal in the caller's own session, which may be sent again to any agent.
    #[serde(default)]
    pub proposal: Option<Proposal>,
    /// How long to wait, in milliseconds.
    #[serde(default)]
    pub within_ms: Option<u64>,
}

/// What became of a proposal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum Proposed {
    /// It was applied.
    Applied {
        /// With this reply.
        reply: Reply,
    },
    /// It decides nothing: it never left this agent.
    NotProposed,
    /// No answer in time; it may yet be decided. Send the same proposal again to learn.
    MayYet,
    /// Too much waits here; nothing was done.
    Busy,
    /// The store is nearly full; nothing was done.
    StoreFull,
    /// It makes no sense as it stands.
    Refused {
        /// Why.
        why: String,
    },
}

/// The body of `POST /v1/members`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberChange {
    /// An instance joins.
    Add {
        /// Its number, in hex.
        id: String,
        /// Its name.
        name: String,
        /// Where its peers reach it.
        address: String,
    },
    /// An instance leaves, by name or number in hex.
    Remove(String),
}

/// What came of an operator's request that only the leader carries out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum Operated {
    /// Done, or, for a transfer, begun.
    Done,
    /// Another instance leads.
    NotLeader {
        /// Its name and local port are for the caller to know; this is its name, if known.
        leader: Option<String>,
    },
    /// No answer in time; it may yet be done.
    MayYet,
    /// No, and why.
    Refused {
        /// Why.
        why: String,
    },
}

/// The body of `POST /v1/verdicts`: what a front's own decisions say.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Verdict {
    /// The front's name.
    pub front: String,
    /// What it says.
    pub opinion: BuildVerdict,
}

/// One line of `GET /v1/watch`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watched {
    /// Builds that are condemned.
    pub condemned: Vec<u64>,
    /// What this front should have standing at the platform for all; absent if another casts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cast: Option<Cast>,
    /// Whether verdicts that are sent here reach the others: a quorum was heard from lately.
    pub together: bool,
}

/// A vote to cast for all.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cast {
    /// Under which epoch of the role `votes`.
    pub epoch: Epoch,
    /// The vote; none while nobody says anything.
    pub opinion: Option<BuildVerdict>,
}

/// An error, as a body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// What is wrong and what to do.
    pub error: String,
}

/// A number as it is shown to operators.
pub fn hex(id: InstanceId) -> String {
    format!("{:016x}", id.0)
}

/// The number that an operator gave.
///
/// # Errors
/// It is none.
pub fn from_hex(text: &str) -> Result<InstanceId, String> {
    match u64::from_str_radix(text, 16) {
        Ok(id) if id != 0 && text.len() <= 16 => Ok(InstanceId(id)),
        _ => Err(format!("\"{text}\" is no instance's number: up to 16 hex digits are wanted")),
    }
}

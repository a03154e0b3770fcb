//! Why a command failed; each error has its exit code.

use std::process::ExitCode;

use garnetcrank_consensus::ids::Subject;
use garnetcrank_consensus::replicated_state::Reply;
use garnetcrank_store::StoreError;

use crate::command_text::reply_text;

/// Longest wait that `--within` takes, in seconds: what an agent waits at most.
pub const MAX_TIMEOUT_SECONDS: f64 = 60.0;

const EXIT_REJECTED: u8 = 1;
const EXIT_USAGE: u8 = 2;
const EXIT_UNREACHABLE: u8 = 3;
const EXIT_INDETERMINATE: u8 = 4;
const EXIT_STORE: u8 = 5;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// A wait out of its range.
    #[error("--within must be between 0 and {MAX_TIMEOUT_SECONDS} seconds, got {seconds}")]
    Timeout {
        /// The wait, in seconds.
        seconds: f64,
    },
    /// An agent rejected the request.
    #[error("{address}: {reason}")]
    RejectedByAgent {
        /// The agent's address.
        address: String,
        /// Why.
        reason: String,
    },
    /// The proposal was rejected.
    #[error("{reason}")]
    Rejected {
        /// Why.
        reason: String,
    },
    /// The subject's number has been retired.
    #[error("retired: only numbers from {below} on can be decided")]
    Retired {
        /// The lowest number that can be decided.
        below: u64,
    },
    /// The replicated state has no room for another subject.
    #[error("the ledger is full: retire old subjects")]
    LedgerFull,
    /// A reply that does not fit the command.
    #[error("{}", reply_text(.0))]
    UnexpectedReply(Reply),
    /// The subject is not decided.
    #[error("{0} is not decided")]
    NotDecided(Subject),
    /// The subject has been decided with another value.
    #[error("{0} was decided otherwise before")]
    DecidedOtherwise(Subject),
    /// The instance that is to be added belongs to a cluster already.
    #[error("{name} is a member of cluster {cluster} already ({role})")]
    AlreadyMember {
        /// The instance's name.
        name: String,
        /// Its cluster.
        cluster: String,
        /// Its role there.
        role: String,
    },
    /// A value can't be printed as JSON.
    #[error("can't print as JSON: {0}")]
    Print(#[source] serde_json::Error),
    /// No agent could answer.
    #[error("{}\n  is an agent running there? --agent names others", join(.0))]
    Unreachable(Vec<AttemptError>),
    /// An agent's status can't be read.
    #[error("an agent's status can't be read: {0}")]
    Status(#[source] serde_json::Error),
    /// The leader's agent is not among those that the command line names.
    #[error("{leader} leads: name its agent with --agent as well")]
    LeaderNotAddressed {
        /// The leader's name.
        leader: String,
    },
    /// No instance leads.
    #[error("nobody leads just now: is a quorum of the members running?")]
    NoLeader,
    /// No agent that may lead could answer.
    #[error("{}", join(.0))]
    LeaderUnreachable(Vec<AttemptError>),
    /// Nothing was proposed for want of a leader.
    #[error("no leader in time: nothing was proposed; is a quorum running?")]
    NotProposed,
    /// Nothing was proposed for want of room.
    #[error("too many requests are pending at this agent: nothing was proposed")]
    Busy,
    /// The agent's store takes no new entries.
    #[error("the agent's store is nearly full: make room")]
    StoreFull,
    /// A proposal's outcome is not known.
    #[error("no answer in time: it may yet be decided; say it again")]
    ProposalIndeterminate,
    /// The outcome of a request to the leader is not known.
    #[error("{address}: no answer in time; it may yet be done")]
    OperationIndeterminate {
        /// The agent's address.
        address: String,
    },
    /// A store can't be read.
    #[error("{source}{}", hint(source))]
    Store {
        /// What is wrong with it.
        #[from]
        source: StoreError,
    },
    /// A store has corrupt values.
    #[error("{count} values are corrupt")]
    CorruptValues {
        /// How many.
        count: usize,
    },
}

impl CliError {
    /// The program's exit code.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(self.code())
    }

    fn code(&self) -> u8 {
        match self {
            Self::Timeout { .. } => EXIT_USAGE,
            Self::RejectedByAgent { .. }
            | Self::Rejected { .. }
            | Self::Retired { .. }
            | Self::LedgerFull
            | Self::UnexpectedReply(_)
            | Self::NotDecided(_)
            | Self::DecidedOtherwise(_)
            | Self::AlreadyMember { .. }
            | Self::Print(_) => EXIT_REJECTED,
            Self::Unreachable(_)
            | Self::Status(_)
            | Self::LeaderNotAddressed { .. }
            | Self::NoLeader
            | Self::LeaderUnreachable(_)
            | Self::NotProposed
            | Self::Busy
            | Self::StoreFull => EXIT_UNREACHABLE,
            Self::ProposalIndeterminate | Self::OperationIndeterminate { .. } => EXIT_INDETERMINATE,
            Self::Store { .. } | Self::CorruptValues { .. } => EXIT_STORE,
        }
    }
}

/// An agent that could not answer; another one may.
#[derive(Debug, thiserror::Error)]
#[error("{address}: {cause}")]
pub struct AttemptError {
    /// The agent's address.
    pub address: String,
    /// Why it could not answer.
    #[source]
    pub cause: AttemptErrorCause,
}

/// Why an agent could not answer.
#[derive(Debug, thiserror::Error)]
pub enum AttemptErrorCause {
    /// No connection, or it broke.
    #[error("{0}")]
    Http(#[from] ureq::Error),
    /// An answer of another form than expected.
    #[error("an answer that can't be read: {0}")]
    Json(#[from] serde_json::Error),
    /// The agent is not able to answer just now.
    #[error("{0}")]
    Unavailable(String),
}

/// One line for each attempt.
fn join(attempts: &[AttemptError]) -> String {
    let lines: Vec<String> = attempts.iter().map(ToString::to_string).collect();
    lines.join("\n  ")
}

/// What the operator can do about an error of a store.
fn hint(error: &StoreError) -> &'static str {
    match error {
        StoreError::InUse => " (stop its agent first)",
        _ => "",
    }
}

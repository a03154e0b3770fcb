//! `garnetcrank ledger propose` and `retire`: commands that the cluster decides by consensus.

use std::time::Duration;

use garnetcrank_agent::api::{ProposeRequest, ProposeResponse};
use garnetcrank_consensus::ids::Subject;
use garnetcrank_consensus::replicated_state::{Command, Reply};
use serde_json::json;

use crate::agent_client::AgentClient;
use crate::error::CliError;
use crate::output::{self, OutputFormat};

/// Wait that `propose` requests from the agent, independent of `--within`.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Decides a subject and prints its decided value.
///
/// # Errors
/// The subject is already decided with another value, the command was rejected, or no agent answered.
pub(super) fn propose(
    client: &AgentClient,
    format: OutputFormat,
    subject: Subject,
    value: String,
) -> Result<(), CliError> {
    let proposed = value.into_bytes();
    let command = Command::Decide { subject: subject.clone(), value: proposed.clone() };
    match execute(client, command, PROPOSE_TIMEOUT)? {
        Reply::Decided { value: decided, first } => {
            let text = output::bytes_text(&decided);
            let result = json!({"subject": subject.to_string(), "value": text, "first": first});
            output::print(format, &result, || match first {
                true => format!("{subject} is decided: {text}"),
                false => format!("{subject} was already decided: {text}"),
            })?;
            if decided == proposed { Ok(()) } else { Err(CliError::DecidedDifferently(subject)) }
        }
        reply => Err(rejection_error(reply)),
    }
}

/// Retires the subjects of a space below a number.
///
/// # Errors
/// The command was rejected, or no agent answered.
pub(super) fn retire(
    client: &AgentClient,
    format: OutputFormat,
    space: String,
    below: u64,
) -> Result<(), CliError> {
    let command = Command::RetireSubjects { space: space.clone(), below };
    match execute(client, command, client.timeout())? {
        Reply::Done => {
            let result = json!({"retired": {"space": space, "below": below}});
            output::print(format, &result, || format!("subjects of {space} below {below} are retired"))
        }
        reply => Err(rejection_error(reply)),
    }
}

/// Has an agent propose a command, and returns the reply once the command is applied.
fn execute(client: &AgentClient, command: Command, timeout: Duration) -> Result<Reply, CliError> {
    let timeout_ms = Some(timeout.as_millis() as u64);
    let body = ProposeRequest { command: Some(command), proposal: None, timeout_ms };
    match client.post("/v1/propose", &body)? {
        ProposeResponse::Applied { reply } => Ok(reply),
        ProposeResponse::NotProposed => Err(CliError::NotProposed),
        ProposeResponse::Indeterminate => Err(CliError::ProposalIndeterminate),
        ProposeResponse::Busy => Err(CliError::Busy),
        ProposeResponse::StoreFull => Err(CliError::StoreFull),
        ProposeResponse::Rejected { reason } => Err(CliError::Rejected { reason }),
    }
}

/// Converts a reply that means that the command had no effect into an error.
fn rejection_error(reply: Reply) -> CliError {
    match reply {
        Reply::Retired { below } => CliError::Retired { below },
        Reply::CapacityExceeded => CliError::LedgerFull,
        Reply::Rejected(reason) => CliError::Rejected { reason },
        other => CliError::UnexpectedReply(other),
    }
}

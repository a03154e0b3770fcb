//! `garnetcrank ledger propose` and `retire`: commands that are decided by the instances together.

use std::time::Duration;

use garnetcrank_agent::api::{ProposeRequest, ProposeResponse};
use garnetcrank_consensus::ids::Subject;
use garnetcrank_consensus::replicated_state::{Command, Reply};
use serde_json::json;

use crate::agent_client::AgentClient;
use crate::error::CliError;
use crate::output::{self, OutputFormat};

/// How long `propose` has the agent wait, whatever `--within` says.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Decides a subject, and prints how it is decided now.
///
/// # Errors
/// It was decided with another value before, the command was rejected, or no agent answered.
pub(super) fn propose(
    client: &AgentClient,
    format: OutputFormat,
    subject: Subject,
    value: String,
) -> Result<(), CliError> {
    let wanted = value.into_bytes();
    let command = Command::Decide { subject: subject.clone(), value: wanted.clone() };
    match execute(client, command, PROPOSE_TIMEOUT)? {
        Reply::Decided { value: decided, first } => {
            let text = output::bytes_text(&decided);
            let shown = json!({"subject": subject.to_string(), "value": text, "first": first});
            output::print(format, &shown, || match first {
                true => format!("{subject} is decided: {text}"),
                false => format!("{subject} was decided before: {text}"),
            })?;
            if decided == wanted { Ok(()) } else { Err(CliError::DecidedOtherwise(subject)) }
        }
        reply => Err(rejected(reply)),
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
            let shown = json!({"retired": {"space": space, "below": below}});
            output::print(format, &shown, || format!("subjects of {space} below {below} are retired"))
        }
        reply => Err(rejected(reply)),
    }
}

/// Has a command proposed; the reply once it is applied.
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

/// A reply that means that the command had no effect.
fn rejected(reply: Reply) -> CliError {
    match reply {
        Reply::Retired { below } => CliError::Retired { below },
        Reply::CapacityExceeded => CliError::LedgerFull,
        Reply::Rejected(reason) => CliError::Rejected { reason },
        other => CliError::UnexpectedReply(other),
    }
}

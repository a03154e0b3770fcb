//! `garnetcrank ledger members` and `transfer`: who takes part, and who leads.

use clap::Subcommand;
use garnetcrank_agent::api::{MemberView, MembershipRequest};
use serde_json::json;

use super::member_table::members_table;
use super::status::Status;
use crate::agent_client::AgentClient;
use crate::error::CliError;
use crate::output::{self, OutputFormat};

/// [`MemberView::role`] of an instance that waits to be added.
const ROLE_NONE: &str = "none";

#[derive(Debug, Subcommand)]
pub(super) enum MembersCommand {
    /// The members as the first agent that answers knows them.
    List,
    /// An instance joins: it catches up as a learner and votes from then on.
    Add {
        /// The local port of its agent, which runs with an empty store.
        joining: String,
    },
    /// An instance leaves for good.
    Remove {
        /// Its name, or its number in hex.
        who: String,
    },
}

/// Runs a command of the family.
///
/// # Errors
/// No agent answered, or one rejected the request.
pub(super) fn run(
    client: &AgentClient,
    format: OutputFormat,
    command: MembersCommand,
) -> Result<(), CliError> {
    match command {
        MembersCommand::List => list(client, format),
        MembersCommand::Add { joining } => add(client, format, joining),
        MembersCommand::Remove { who } => remove(client, format, who),
    }
}

fn list(client: &AgentClient, format: OutputFormat) -> Result<(), CliError> {
    let status: Status = client.get("/v1/status")?;
    output::print(format, &status.members, || members_table(&status.members, status.leader.as_deref()))
}

/// Adds the instance whose agent has this local port.
fn add(client: &AgentClient, format: OutputFormat, joining: String) -> Result<(), CliError> {
    let newcomer: Status = AgentClient::new(vec![joining], client.timeout()).get("/v1/status")?;
    let MemberView { id, name, address, role, .. } = newcomer.me;
    if role != ROLE_NONE {
        return Err(CliError::AlreadyMember { name, cluster: newcomer.cluster, role });
    }
    let request = MembershipRequest::Add { id: id.clone(), name: name.clone(), address: address.clone() };
    client.post_to_leader("/v1/members", &request)?;
    output::print(format, &json!({"added": name, "id": id, "address": address}), || {
        format!("{name} ({id}) at {address} catches up and votes from then on; see members list")
    })
}

fn remove(client: &AgentClient, format: OutputFormat, who: String) -> Result<(), CliError> {
    client.post_to_leader("/v1/members", &MembershipRequest::Remove(who.clone()))?;
    output::print(format, &json!({"removed": who}), || format!("{who} is no member any more"))
}

/// Has the leader transfer leadership to a voter.
///
/// # Errors
/// No agent that leads answered, or the leader rejected the request.
pub(super) fn transfer_leadership(
    client: &AgentClient,
    format: OutputFormat,
    to: &str,
) -> Result<(), CliError> {
    client.post_to_leader("/v1/transfer", &json!({"to": to}))?;
    output::print(format, &json!({"transfer": to}), || {
        format!("leadership is being transferred to {to}; see members list")
    })
}

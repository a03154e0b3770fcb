//! `garnetcrank ledger members` and `transfer`: the members of the cluster and its leader.

use clap::Subcommand;
use garnetcrank_agent::api::{MemberView, MembershipRequest};
use serde_json::json;

use super::member_table::members_table;
use super::status::Status;
use crate::agent_client::AgentClient;
use crate::error::CliError;
use crate::output::{self, OutputFormat};

/// Value of [`MemberView::role`] for an instance that waits to be added.
const ROLE_NONE: &str = "none";

#[derive(Debug, Subcommand)]
pub(super) enum MembersCommand {
    /// List the members as the first agent that answers knows them.
    List,
    /// Add an instance, which becomes a voter once it has caught up as a learner.
    Add {
        /// HTTP address of its agent, which runs with an empty store.
        joining: String,
    },
    /// Remove an instance permanently.
    Remove {
        /// Name of the instance, or its id in hexadecimal.
        member: String,
    },
}

/// Runs a `members` command.
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
        MembersCommand::Remove { member } => remove(client, format, member),
    }
}

fn list(client: &AgentClient, format: OutputFormat) -> Result<(), CliError> {
    let status: Status = client.get("/v1/status")?;
    output::print(format, &status.members, || members_table(&status.members, status.leader.as_deref()))
}

/// Adds the instance whose agent has this HTTP address.
fn add(client: &AgentClient, format: OutputFormat, joining: String) -> Result<(), CliError> {
    let joining_status: Status = AgentClient::new(vec![joining], client.timeout()).get("/v1/status")?;
    let MemberView { id, name, address, role, .. } = joining_status.me;
    if role != ROLE_NONE {
        return Err(CliError::AlreadyMember { name, cluster: joining_status.cluster, role });
    }
    let request = MembershipRequest::Add { id: id.clone(), name: name.clone(), address: address.clone() };
    client.post_to_leader("/v1/members", &request)?;
    output::print(format, &json!({"added": name, "id": id, "address": address}), || {
        format!("{name} ({id}) at {address} becomes a voter once it has caught up; see members list")
    })
}

fn remove(client: &AgentClient, format: OutputFormat, member: String) -> Result<(), CliError> {
    client.post_to_leader("/v1/members", &MembershipRequest::Remove(member.clone()))?;
    output::print(format, &json!({"removed": member}), || format!("{member} is no longer a member"))
}

/// Makes the leader transfer leadership to a voter.
///
/// # Errors
/// No leader answered, or the leader rejected the request.
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

//! `garnetcrank ledger grants`: the leases on the roles and their holders.

use garnetcrank_agent::api::LeaseView;

use crate::agent_client::AgentClient;
use crate::error::CliError;
use crate::output::{self, OutputFormat};

/// Prints all leases.
///
/// # Errors
/// No agent answered, or one rejected the request.
pub(super) fn list(client: &AgentClient, format: OutputFormat, query: &str) -> Result<(), CliError> {
    let leases: Vec<LeaseView> = client.get(&format!("/v1/grants?{query}"))?;
    output::print(format, &leases, || {
        output::table(["ROLE", "HOLDER", "EPOCH", "RENEWED AT"], leases.iter().map(lease_row))
    })
}

fn lease_row(lease: &LeaseView) -> [String; 4] {
    let holder = lease.holder.clone().unwrap_or_else(|| "-".to_owned());
    [lease.role.clone(), holder, lease.epoch.to_string(), lease.renewed_at.to_string()]
}

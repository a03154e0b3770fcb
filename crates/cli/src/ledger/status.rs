//! `garnetcrank ledger status`: an instance, the members that it knows and its store.

use garnetcrank_agent::api::MemberView;
use serde::Deserialize;
use serde_json::Value;

use super::member_table::members_table;
use crate::agent_client::AgentClient;
use crate::error::CliError;
use crate::output::{self, OutputFormat};

const BYTES_PER_KB: u64 = 1024;
const MS_PER_SECOND: u64 = 1000;

/// Part of an agent's status that the text output shows. The JSON output passes on all keys.
#[derive(Debug, Deserialize)]
pub(super) struct Status {
    pub(super) me: MemberView,
    pub(super) cluster: String,
    version: String,
    starts: u64,
    #[serde(rename = "up_ms")]
    uptime_ms: u64,
    pub(super) leader: Option<String>,
    node: NodeStatus,
    pub(super) members: Vec<MemberView>,
    #[serde(rename = "subjects")]
    subject_count: usize,
    #[serde(rename = "sessions")]
    session_count: usize,
    store_bytes: u64,
}

/// State of the Raft node in an agent's status.
#[derive(Debug, Deserialize)]
struct NodeStatus {
    #[serde(rename = "standing")]
    role: String,
    term: u64,
    committed: u64,
    applied: u64,
    #[serde(rename = "last")]
    last_index: u64,
    #[serde(rename = "waiting")]
    pending_requests: usize,
    #[serde(rename = "scarce")]
    storage_low: bool,
}

/// Prints the status of the first agent that answers.
///
/// # Errors
/// No agent answered, or its answer can't be read.
pub(super) fn status(client: &AgentClient, format: OutputFormat) -> Result<(), CliError> {
    let value: Value = client.get("/v1/status")?;
    let status: Status = serde_json::from_value(value.clone()).map_err(CliError::Status)?;
    output::print(format, &value, || status_text(&status))
}

fn status_text(status: &Status) -> String {
    let Status { me, node, .. } = status;
    let storage = if node.storage_low { ", NEARLY FULL: accepts no new entries" } else { "" };
    let leader = status.leader.as_deref();
    let lines = [
        format!("{} ({}) of cluster {}, {}", me.name, me.id, status.cluster, me.role),
        format!("  {} in term {}, leader: {}", node.role, node.term, leader.unwrap_or("nobody")),
        format!(
            "  committed {}, applied {}, last index {}, pending requests {}",
            node.committed, node.applied, node.last_index, node.pending_requests
        ),
        format!(
            "  {} subjects, {} sessions, store {} KB{storage}",
            status.subject_count,
            status.session_count,
            status.store_bytes / BYTES_PER_KB
        ),
        format!(
            "  version {}, start {}, up {} s",
            status.version,
            status.starts,
            status.uptime_ms / MS_PER_SECOND
        ),
        members_table(&status.members, leader),
    ];
    lines.join("\n")
}

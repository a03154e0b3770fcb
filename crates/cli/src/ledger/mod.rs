//! `garnetcrank ledger`: the replicated state, the members and the stores of a cluster.

use std::path::PathBuf;
use std::time::Duration;

use clap::Subcommand;
use garnetcrank_consensus::ids::Subject;
use serde_json::{Value, json};

use crate::agent_client::AgentClient;
use crate::error::{CliError, MAX_TIMEOUT_SECONDS};
use crate::output::{self, OutputFormat};

mod inspect;
mod leases;
mod member_table;
mod members;
mod proposals;
mod status;
mod subjects;

use inspect::InspectOptions;
use members::MembersCommand;

/// Arguments of all `ledger` commands.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// HTTP addresses of agents. The first that answers is used; requests to the leader try each in turn.
    #[arg(
        long = "agent",
        env = "GARNETCRANK_AGENT",
        value_delimiter = ',',
        default_value = "127.0.0.1:7101"
    )]
    #[arg(global = true)]
    agents: Vec<String>,
    /// Longest wait for an answer, in seconds, from 0 to 60.
    #[arg(long = "within", value_name = "WITHIN", default_value_t = 5.0, global = true)]
    timeout_seconds: f64,
    #[command(subcommand)]
    command: LedgerCommand,
}

#[derive(Debug, Subcommand)]
enum LedgerCommand {
    /// Show an instance, the members that it knows and its store.
    Status,
    /// List the subjects and their states.
    List {
        /// Only list subjects of this space.
        #[arg(long)]
        space: Option<String>,
        /// Read the agent's own state, which may be out of date. Works without a quorum.
        #[arg(long)]
        stale: bool,
    },
    /// Show one subject.
    Show {
        /// Subject as SPACE/NUMBER, such as condemned/42.
        subject: Subject,
        /// Read the agent's own state, which may be out of date. Works without a quorum.
        #[arg(long)]
        stale: bool,
    },
    /// Decide a subject unless it is already decided. Safe to repeat: the first decision stays.
    Propose {
        /// Subject as SPACE/NUMBER, such as condemned/42.
        subject: Subject,
        /// Proposed value.
        value: String,
    },
    /// Delete the subjects of a space below a number. Numbers below it can't be decided any more.
    Retire {
        /// Space of the subjects.
        space: String,
        /// Lowest number that is kept.
        below: u64,
    },
    /// List the leases: the holder and the epoch of each role.
    Grants {
        /// Read the agent's own state, which may be out of date. Works without a quorum.
        #[arg(long)]
        stale: bool,
    },
    /// List or change the members.
    Members {
        #[command(subcommand)]
        command: MembersCommand,
    },
    /// Transfer leadership to a voter.
    Transfer {
        /// Name of the voter.
        to: String,
    },
    /// Compact the log into a snapshot at the first agent that answers.
    Snapshot,
    /// Inspect a store that no agent has open.
    Inspect {
        /// Path of the store's file.
        store: PathBuf,
        /// Also print the log entries.
        #[arg(long)]
        entries: bool,
        /// Read every value and report the corrupt ones.
        #[arg(long)]
        scrub: bool,
    },
}

/// Runs a `ledger` command.
///
/// # Errors
/// See [`CliError`].
pub fn run(args: Args, format: OutputFormat) -> Result<(), CliError> {
    let seconds = args.timeout_seconds;
    if !(0.0..=MAX_TIMEOUT_SECONDS).contains(&seconds) {
        return Err(CliError::Timeout { seconds });
    }
    let client = AgentClient::new(args.agents, Duration::from_secs_f64(seconds));
    match args.command {
        LedgerCommand::Status => status::status(&client, format),
        LedgerCommand::List { space, stale } => {
            subjects::list(&client, format, space.as_deref(), stale_query(stale))
        }
        LedgerCommand::Show { subject, stale } => {
            subjects::show(&client, format, subject, stale_query(stale))
        }
        LedgerCommand::Propose { subject, value } => proposals::propose(&client, format, subject, value),
        LedgerCommand::Retire { space, below } => proposals::retire(&client, format, space, below),
        LedgerCommand::Grants { stale } => leases::list(&client, format, stale_query(stale)),
        LedgerCommand::Members { command } => members::run(&client, format, command),
        LedgerCommand::Transfer { to } => members::transfer_leadership(&client, format, &to),
        LedgerCommand::Snapshot => compact(&client, format),
        LedgerCommand::Inspect { store, entries, scrub } => {
            inspect::inspect(&store, InspectOptions { entries, scrub }, format)
        }
    }
}

/// Returns the query parameter that selects a linearizable or a possibly stale read.
fn stale_query(stale: bool) -> &'static str {
    if stale { "stale=1" } else { "stale=0" }
}

/// Makes the first agent that answers compact its log.
fn compact(client: &AgentClient, format: OutputFormat) -> Result<(), CliError> {
    let _: Value = client.post("/v1/snapshot", &json!({}))?;
    output::print(format, &json!({"snapshot": "folded"}), || "compacted".to_owned())
}

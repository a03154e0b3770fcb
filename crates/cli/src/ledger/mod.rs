//! `garnetcrank ledger`: what the instances have decided, and who they are.

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

/// Arguments of all commands of the ledger.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Local ports of agents, the first that answers is asked; for what only the leader does, each in turn.
    #[arg(
        long = "agent",
        env = "GARNETCRANK_AGENT",
        value_delimiter = ',',
        default_value = "127.0.0.1:7101"
    )]
    #[arg(global = true)]
    agents: Vec<String>,
    /// Longest wait for an answer, in seconds.
    #[arg(long = "within", value_name = "WITHIN", default_value_t = 5.0, global = true)]
    timeout_seconds: f64,
    #[command(subcommand)]
    command: LedgerCommand,
}

#[derive(Debug, Subcommand)]
enum LedgerCommand {
    /// An instance, its members and its store.
    Status,
    /// What is decided.
    List {
        /// One space only.
        #[arg(long)]
        space: Option<String>,
        /// What the agent holds, without asking the others: may be old, works without a quorum.
        #[arg(long)]
        stale: bool,
    },
    /// One subject.
    Show {
        /// SPACE/NUMBER, such as condemned/42.
        subject: Subject,
        /// As in `list`.
        #[arg(long)]
        stale: bool,
    },
    /// Decide a subject, unless it is decided. Safe to say again: the first decision stands.
    Propose {
        /// SPACE/NUMBER, such as condemned/42.
        subject: Subject,
        /// How it is decided.
        value: String,
    },
    /// Forget the subjects of a space below a number; they can't be decided any more.
    Retire {
        /// The space.
        space: String,
        /// The lowest number that stays.
        below: u64,
    },
    /// Who holds the lease on which role, under which epoch.
    Grants {
        /// As in `list`.
        #[arg(long)]
        stale: bool,
    },
    /// Who takes part.
    Members {
        #[command(subcommand)]
        command: MembersCommand,
    },
    /// Transfer leadership.
    Transfer {
        /// A voter's name.
        to: String,
    },
    /// Compact the log into a snapshot now, at the first agent that answers.
    Snapshot,
    /// Look at a store that no agent has open.
    Inspect {
        /// The file.
        store: PathBuf,
        /// Print the log's entries as well.
        #[arg(long)]
        entries: bool,
        /// Read every value and name what is corrupt.
        #[arg(long)]
        scrub: bool,
    },
}

/// Runs a command.
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

/// The key of a read's query that tells how recent the answer has to be.
fn stale_query(stale: bool) -> &'static str {
    if stale { "stale=1" } else { "stale=0" }
}

/// Has an agent compact its log.
fn compact(client: &AgentClient, format: OutputFormat) -> Result<(), CliError> {
    let _: Value = client.post("/v1/snapshot", &json!({}))?;
    output::print(format, &json!({"snapshot": "folded"}), || "compacted".to_owned())
}

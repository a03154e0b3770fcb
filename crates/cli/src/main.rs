//! `garnetcrank`: the operators' command line.

mod agents;
mod command_text;
mod inspect;
mod ledger;
mod show;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

const CODES: &str = "Exit codes:
  0  done
  1  refused, or decided otherwise before
  2  the command line is wrong
  3  no agent answered
  4  no answer in time: it may yet be done; the same command tells
  5  the store is corrupt or can't be read";

/// Manages instances that decide together.
#[derive(Debug, Parser)]
#[command(version, after_help = CODES)]
struct Cli {
    /// Print JSON for programs instead of tables.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    subject: Topic,
}

#[derive(Debug, Subcommand)]
enum Topic {
    /// What the instances have decided, and who they are.
    #[command(after_help = CODES)]
    Ledger(ledger::Args),
}

/// Why a command did not end well; each has its exit code.
#[derive(Debug, thiserror::Error)]
enum Trouble {
    /// No, and why.
    #[error("{0}")]
    Refused(String),
    /// The command line.
    #[error("{0}")]
    Usage(String),
    /// No agent.
    #[error("{0}")]
    Unreached(String),
    /// No answer in time.
    #[error("{0}")]
    MayYet(String),
    /// A store.
    #[error("{0}")]
    Store(String),
}

impl Trouble {
    fn code(&self) -> u8 {
        match self {
            Trouble::Refused(_) => 1,
            Trouble::Usage(_) => 2,
            Trouble::Unreached(_) => 3,
            Trouble::MayYet(_) => 4,
            Trouble::Store(_) => 5,
        }
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let done = match cli.subject {
        Topic::Ledger(args) => ledger::run(args, cli.json),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(trouble) => {
            eprintln!("garnetcrank: {trouble}");
            ExitCode::from(trouble.code())
        }
    }
}

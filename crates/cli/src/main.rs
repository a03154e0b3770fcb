//! `garnetcrank`: the operators' command line.
//!
//! - `ledger`: the subcommands, a module a family;
//! - `agent_client`: requests to agents; `output`: tables for people, JSON for programs;
//! - `error`: what can go wrong, with its exit code.

#![warn(
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::wildcard_imports,
    clippy::missing_errors_doc
)]

mod agent_client;
mod command_text;
mod error;
mod ledger;
mod output;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

use output::OutputFormat;

const EXIT_CODES: &str = "Exit codes:
  0  done
  1  refused, or decided otherwise before
  2  the command line is wrong
  3  no agent answered
  4  no answer in time: it may yet be done; the same command tells
  5  the store is corrupt or can't be read";

/// Manages instances that decide together.
#[derive(Debug, Parser)]
#[command(version, after_help = EXIT_CODES)]
struct Cli {
    /// Print JSON for programs instead of tables.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    topic: Topic,
}

#[derive(Debug, Subcommand)]
enum Topic {
    /// What the instances have decided, and who they are.
    #[command(after_help = EXIT_CODES)]
    Ledger(ledger::Args),
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let format = if cli.json { OutputFormat::Json } else { OutputFormat::Text };
    let result = match cli.topic {
        Topic::Ledger(args) => ledger::run(args, format),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("garnetcrank: {error}");
            error.exit_code()
        }
    }
}

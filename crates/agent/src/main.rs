//! `garnetcrank-agent`: takes part in consensus among several instances; see the operators' page.

#![warn(
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::wildcard_imports,
    clippy::missing_errors_doc
)]

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use garnetcrank_agent::config::{Config, LogConfig, LogFormat};
use tracing_subscriber::EnvFilter;

mod error;
mod found;
mod identity;
mod run;

use error::AgentError;

/// Takes part in one decision among several instances.
///
/// Exit codes: 0 stopped by a signal; 1 an address or the store can't be used, or the store has ended; 2 the command
/// line or the configuration is wrong.
#[derive(Debug, Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Take part until SIGTERM or SIGINT.
    Run {
        /// The configuration.
        #[arg(long)]
        config: PathBuf,
    },
    /// Make a new store that is a cluster of one; others are added to it.
    Found {
        /// The configuration.
        #[arg(long)]
        config: PathBuf,
    },
    /// Check the configuration.
    Check {
        /// The configuration.
        #[arg(long)]
        config: PathBuf,
    },
}

fn main() -> ExitCode {
    match execute(&Cli::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error.report();
            error.exit_code()
        }
    }
}

fn execute(command: &Command) -> Result<(), AgentError> {
    let (Command::Run { config: path } | Command::Found { config: path } | Command::Check { config: path }) =
        command;
    let config = Config::read(path)?;
    start_logging(&config.log)?;
    match command {
        Command::Check { .. } => Ok(()),
        Command::Found { .. } => found::found(&config),
        Command::Run { .. } => run::run(config),
    }
}

fn start_logging(config: &LogConfig) -> Result<(), AgentError> {
    let filter = EnvFilter::try_new(&config.filter)?;
    let builder =
        tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).with_target(false);
    match config.format {
        LogFormat::Text => builder.with_ansi(false).init(),
        LogFormat::Json => builder.json().flatten_event(true).init(),
    }
    Ok(())
}

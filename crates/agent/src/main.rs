//! The program `garnetcrank-agent`: runs one member of a cluster, creates a new cluster or checks a
//! configuration.

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

/// Runs one member of a cluster that makes decisions by consensus among several instances.
///
/// Exit codes: 0 success, or stopped by a signal; 1 an address or the store can't be used, or the engine
/// failed; 2 the command line or the configuration is invalid.
#[derive(Debug, Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run the agent until SIGTERM or SIGINT.
    Run {
        /// Path of the configuration file.
        #[arg(long)]
        config: PathBuf,
    },
    /// Create a new store for a cluster with this instance as its only member; other members are added later.
    Found {
        /// Path of the configuration file.
        #[arg(long)]
        config: PathBuf,
    },
    /// Check the configuration.
    Check {
        /// Path of the configuration file.
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
        Command::Found { .. } => found::found_cluster(&config),
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

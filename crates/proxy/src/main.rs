//! Sidecar proxy that forwards client requests to endpoints as the policy decides. The environment variable
//! `RELAY_CONFIG` names its configuration.

#![warn(
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::wildcard_imports,
    clippy::missing_errors_doc
)]

mod agent_client;
mod classify;
mod clock;
mod connection;
mod counters;
mod discovery;
mod dispatcher;
mod downstream;
mod feature_settings;
mod http_exchange;
mod lifecycle;
mod logging;
mod pending_calls;
mod process_settings;
mod proxy;
mod readiness;
mod release_controller;
mod response_error;
mod runtime;
mod turn;
mod unary_call;
mod upstream;
mod watch_stream;
mod worker_id;
mod workers;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use tracing::error;

use feature_settings::{FeatureSettings, FeatureSettingsError};
use process_settings::{ProcessSettings, ProcessSettingsError};
use runtime::RunError;

/// Exit code for a missing or invalid configuration.
const EXIT_CONFIGURATION: u8 = 2;

/// Sidecar proxy that forwards client requests to endpoints. `RELAY_CONFIG` names its configuration.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// File of features that are not part of the platform's configuration.
    #[arg(long = "extras")]
    features: Option<PathBuf>,
}

/// Reason why the process could not serve.
#[derive(Debug, thiserror::Error)]
enum MainError {
    /// The configuration is missing or invalid.
    #[error("configuration: {0}")]
    Configuration(#[from] ProcessSettingsError),
    /// The features file is missing or invalid.
    #[error("extras: {0}")]
    Features(#[from] FeatureSettingsError),
    /// The process could not start or had to end.
    #[error("{0}")]
    Run(#[from] RunError),
}

impl MainError {
    fn exit_code(&self) -> ExitCode {
        match self {
            MainError::Configuration(_) | MainError::Features(_) => ExitCode::from(EXIT_CONFIGURATION),
            MainError::Run(_) => ExitCode::FAILURE,
        }
    }
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    logging::start();
    match start_and_run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!("{error}");
            error.exit_code()
        }
    }
}

fn start_and_run(arguments: &Arguments) -> Result<(), MainError> {
    // Signals are redirected before the configuration is read, so that one that arrives meanwhile stays
    // pending and does not kill the process.
    let signals = runtime::watch_signals()?;
    let process = ProcessSettings::read(|name| std::env::var(name).ok())?;
    let features = match &arguments.features {
        Some(path) => FeatureSettings::read(path, &process.settings)?,
        None => FeatureSettings::default(),
    };
    runtime::run(process, &features, signals)?;
    Ok(())
}

//! The proxy: one process that stands between clients and endpoints, and forwards requests as the policy decides.
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
mod runtime;
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

/// Exit code for a configuration that is missing or wrong.
const EXIT_CONFIGURATION: u8 = 2;

/// A sidecar proxy: stands between clients and endpoints. `RELAY_CONFIG` names its configuration.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// A file of features that the platform's configuration does not give.
    #[arg(long = "extras")]
    features: Option<PathBuf>,
}

/// Why the process could not serve.
#[derive(Debug, thiserror::Error)]
enum MainError {
    /// The configuration is missing or wrong.
    #[error("configuration: {0}")]
    Configuration(#[from] ProcessSettingsError),
    /// The file of features is missing or wrong.
    #[error("extras: {0}")]
    Features(#[from] FeatureSettingsError),
    /// The process could not start, or not go on.
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
    // Before all else: a signal that comes while the configuration is read waits, and ends nothing.
    let signals = runtime::watch_signals()?;
    let process = ProcessSettings::read(|name| std::env::var(name).ok())?;
    let features = match &arguments.features {
        Some(path) => FeatureSettings::read(path, &process.settings)?,
        None => FeatureSettings::default(),
    };
    runtime::run(process, &features, signals)?;
    Ok(())
}

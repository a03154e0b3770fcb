//! Why the program ends with an error.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use garnetcrank_agent::config::ConfigError;
use garnetcrank_agent::engine::EngineError;
use garnetcrank_agent::storage_writer;
use garnetcrank_consensus::raft_node::RaftNodeError;
use garnetcrank_store::StoreError;
use tracing_subscriber::filter::ParseError;

/// An address, the store or the engine can't be used.
const EXIT_FAILURE: u8 = 1;
/// The configuration is wrong; `clap` uses the same code for the command line.
const EXIT_USAGE: u8 = 2;

/// Why the program ends with an error.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AgentError {
    /// The configuration can't be used.
    #[error("{0}")]
    Config(#[from] ConfigError),
    /// The filter of the log can't be used.
    #[error("configuration: log.filter: {0}")]
    LogFilter(#[from] ParseError),
    /// The store can't be used.
    #[error("store {}: {source}; {}", path.display(), storage_writer::advice(source))]
    Store {
        /// The store's file.
        path: PathBuf,
        /// What is wrong with it.
        source: StoreError,
    },
    /// A cluster is to be founded and its store exists.
    #[error("store {}: exists already, and a cluster is founded only once", path.display())]
    AlreadyFounded {
        /// The store's file.
        path: PathBuf,
    },
    /// What the store holds can't be used.
    #[error("store {}: {source}", path.display())]
    StoredState {
        /// The store's file.
        path: PathBuf,
        /// What is wrong with it.
        source: RaftNodeError,
    },
    /// The runtime or a thread can't be started.
    #[error("can't start the {what}: {source}")]
    Start {
        /// What can't be started.
        what: &'static str,
        /// The system's error.
        source: std::io::Error,
    },
    /// An address can't be listened on.
    #[error("{key}: {address}: {source}")]
    Listen {
        /// The key of the configuration.
        key: &'static str,
        /// Its value.
        address: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// The engine ended with an error.
    #[error("{0}")]
    Engine(#[from] EngineError),
}

impl AgentError {
    /// Reports the error to the operator: in the log once the agent runs, else on standard error.
    pub(crate) fn report(&self) {
        match self {
            // The engine's end has been logged when it happened.
            Self::Engine(_) => {}
            other => eprintln!("{other}"),
        }
    }

    /// The program's exit code.
    pub(crate) fn exit_code(&self) -> ExitCode {
        let code = match self {
            Self::Config(_) | Self::LogFilter(_) => EXIT_USAGE,
            _ => EXIT_FAILURE,
        };
        ExitCode::from(code)
    }
}

//! Errors that end the program, and their exit codes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use garnetcrank_agent::config::ConfigError;
use garnetcrank_agent::engine::EngineError;
use garnetcrank_agent::storage_writer;
use garnetcrank_consensus::raft_node::RaftNodeError;
use garnetcrank_store::StoreError;
use tracing_subscriber::filter::ParseError;

/// Exit code for every error other than an invalid configuration or command line.
const EXIT_FAILURE: u8 = 1;
/// Exit code for an invalid configuration; `clap` uses the same code for an invalid command line.
const EXIT_USAGE: u8 = 2;

/// An error that ends the program.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AgentError {
    /// A configuration that can't be used.
    #[error("{0}")]
    Config(#[from] ConfigError),
    /// A log filter that can't be parsed.
    #[error("configuration: log.filter: {0}")]
    LogFilter(#[from] ParseError),
    /// A store that can't be opened or written.
    #[error("store {}: {source}; {}", path.display(), storage_writer::operator_advice(source))]
    Store {
        /// The store's file.
        path: PathBuf,
        /// The store's error.
        source: StoreError,
    },
    /// A cluster that can't be founded because its store exists already.
    #[error("store {}: already exists; a cluster can only be founded with a new store", path.display())]
    AlreadyFounded {
        /// The store's file.
        path: PathBuf,
    },
    /// Stored state that the Raft node can't start from.
    #[error("store {}: {source}", path.display())]
    StoredState {
        /// The store's file.
        path: PathBuf,
        /// The Raft node's error.
        source: RaftNodeError,
    },
    /// A runtime or thread that can't be started.
    #[error("can't start the {component}: {source}")]
    Start {
        /// The component that can't be started.
        component: &'static str,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// An address on which the agent can't listen.
    #[error("{key}: {address}: {source}")]
    Listen {
        /// The configuration key of the address.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// An error that ended the engine.
    #[error("{0}")]
    Engine(#[from] EngineError),
}

impl AgentError {
    /// Prints the error on standard error, unless it is an engine error, which is in the log already.
    pub(crate) fn report(&self) {
        match self {
            // `run` logs this error when the engine ends.
            Self::Engine(_) => {}
            other => eprintln!("{other}"),
        }
    }

    /// Returns the program's exit code.
    pub(crate) fn exit_code(&self) -> ExitCode {
        let code = match self {
            Self::Config(_) | Self::LogFilter(_) => EXIT_USAGE,
            _ => EXIT_FAILURE,
        };
        ExitCode::from(code)
    }
}

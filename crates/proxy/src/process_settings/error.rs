//! Errors in the process configuration.

use std::io;
use std::net::AddrParseError;
use std::num::ParseIntError;

use garnetcrank_settings::SettingsError;

use super::{MIN_MEMORY_MB, MIN_SOCKETS};

/// Reason why the process configuration cannot be used. The message names the variable, or the file and the key.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ProcessSettingsError {
    /// `RELAY_CONFIG` is not set.
    #[error("RELAY_CONFIG is not set")]
    PathNotSet,
    /// The configuration file cannot be read.
    #[error("RELAY_CONFIG: {path}: {source}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A value in the file or in an environment variable is missing or not allowed.
    #[error("{path}: {source}")]
    Invalid {
        /// Path of the file.
        path: String,
        /// Error in the value.
        source: InvalidSetting,
    },
}

/// Error in a value of the process configuration.
#[derive(Debug, thiserror::Error)]
pub(crate) enum InvalidSetting {
    /// The file is not JSON, a key is missing, or a value has the wrong type.
    #[error("{0}")]
    Malformed(#[source] SettingsError),
    /// The address is set neither in the file nor in the environment.
    #[error("{key} is missing")]
    Missing {
        /// Key of the address in the file.
        key: &'static str,
    },
    /// The value of an environment variable is not an address with a port.
    #[error("{variable}: {value:?} is not an address with a port")]
    NotAnAddress {
        /// Name of the variable.
        variable: &'static str,
        /// Value of the variable.
        value: String,
        /// Parse error.
        source: AddrParseError,
    },
    /// The seed is not a hexadecimal number of at most 64 bits.
    #[error("seed: {digits:?} is not a number of up to 16 hex digits")]
    InvalidSeed {
        /// The configured seed.
        digits: String,
        /// Parse error.
        source: ParseIntError,
    },
    /// The limit on descriptors is below the minimum.
    #[error("limits.sockets: {sockets} is too low, the minimum is {MIN_SOCKETS}")]
    TooFewSockets {
        /// The configured limit.
        sockets: usize,
    },
    /// The memory limit is below the minimum.
    #[error("limits.memory_mb: {memory_mb} is too low, the minimum is {MIN_MEMORY_MB} MiB")]
    TooLittleMemory {
        /// The configured limit, in MiB.
        memory_mb: u64,
    },
    /// The settings of the deployment are invalid.
    #[error("settings: {0}")]
    Deployment(#[source] SettingsError),
}

//! What can be wrong with the process configuration.

use std::io;
use std::net::AddrParseError;
use std::num::ParseIntError;

use garnetcrank_settings::SettingsError;

use super::{MIN_MEMORY_MB, MIN_SOCKETS};

/// Why the process configuration can't be used. The message names the variable, or the file and the key.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ProcessSettingsError {
    /// No file is named.
    #[error("RELAY_CONFIG is not set")]
    PathNotSet,
    /// The file that is named can't be read.
    #[error("RELAY_CONFIG: {path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// What the system said.
        source: io::Error,
    },
    /// A value in the file, or one that overrides it, is missing or not allowed.
    #[error("{path}: {source}")]
    Invalid {
        /// The file.
        path: String,
        /// The value.
        source: InvalidSetting,
    },
}

/// What is wrong with one value.
#[derive(Debug, thiserror::Error)]
pub(crate) enum InvalidSetting {
    /// The file is not JSON, a key is missing, or a value has the wrong type.
    #[error("{0}")]
    Malformed(#[source] SettingsError),
    /// Neither the file nor the environment gives this address.
    #[error("{key} is missing")]
    Missing {
        /// The key in the file.
        key: &'static str,
    },
    /// A variable holds something else than an address with a port.
    #[error("{variable}: {value:?} is not an address with a port")]
    NotAnAddress {
        /// The variable.
        variable: &'static str,
        /// Its value.
        value: String,
        /// What is wrong with it.
        source: AddrParseError,
    },
    /// The seed is not a hexadecimal number of 64 bits.
    #[error("seed: {digits:?} is not a number of up to 16 hex digits")]
    InvalidSeed {
        /// The seed as given.
        digits: String,
        /// What is wrong with it.
        source: ParseIntError,
    },
    /// The limit on descriptors is too low to serve with.
    #[error("limits.sockets: {sockets} is too few, at least {MIN_SOCKETS} are needed")]
    TooFewSockets {
        /// The limit as given.
        sockets: usize,
    },
    /// The memory limit is too low to serve with.
    #[error("limits.memory_mb: {memory_mb} is too little, at least {MIN_MEMORY_MB} are needed")]
    TooLittleMemory {
        /// The limit as given, in MiB.
        memory_mb: u64,
    },
    /// The deployment's settings are not allowed.
    #[error("settings: {0}")]
    Deployment(#[source] SettingsError),
}

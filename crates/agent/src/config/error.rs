//! Errors of the configuration.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

use super::MAX_NAME_BYTES;

/// A configuration file that can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A file that can't be read.
    #[error("configuration: {}: {source}", path.display())]
    Unreadable {
        /// The file's path.
        path: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// A file with invalid content.
    #[error("configuration: {}: {source}", path.display())]
    Invalid {
        /// The file's path.
        path: PathBuf,
        /// The error in the content.
        source: InvalidConfig,
    },
}

/// An error in the content of a configuration file. Messages name keys as they are in the file.
#[derive(Debug, thiserror::Error)]
pub enum InvalidConfig {
    /// Malformed JSON, or a key that is missing, unknown or of the wrong type.
    #[error("{}{source}", KeyPrefix(key))]
    Json {
        /// The path of the key; empty if the error concerns no single key.
        key: String,
        /// The JSON error.
        source: serde_json::Error,
    },
    /// A name that is empty, too long or has characters that are not allowed.
    #[error("{key} must be 1 to {MAX_NAME_BYTES} letters, digits, '-', '_' or '.', got \"{value}\"")]
    Name {
        /// The key.
        key: &'static str,
        /// The key's value.
        value: String,
    },
    /// A number outside its range.
    #[error("{key} must be between {min} and {max}, got {value}")]
    OutOfRange {
        /// The key.
        key: &'static str,
        /// The key's value.
        value: u64,
        /// The smallest value allowed.
        min: u64,
        /// The largest value allowed.
        max: u64,
    },
    /// A number below its minimum.
    #[error("{key} must be at least {min}, got {value}")]
    TooSmall {
        /// The key.
        key: &'static str,
        /// The key's value.
        value: u64,
        /// The smallest value allowed.
        min: u64,
    },
    /// An election timeout that is too short for the heartbeat interval, or too long.
    #[error("election_ticks must be between {min} (three times heartbeat_ticks) and {max}, got {value}")]
    ElectionTicks {
        /// The election timeout, in ticks.
        value: usize,
        /// The shortest timeout allowed, in ticks.
        min: usize,
        /// The longest timeout allowed, in ticks.
        max: usize,
    },
    /// A lease duration that is too short for the election timeout, or too long.
    #[error(
        "life_ms must be between {min} (three elections of election_ticks x tick_ms) and {max} (an hour), got {value}"
    )]
    LeaseTtl {
        /// The lease duration, in milliseconds.
        value: u64,
        /// The shortest duration allowed, in milliseconds.
        min: u64,
        /// The longest duration allowed, in milliseconds.
        max: u64,
    },
    /// An address configured for both peers and proxies.
    #[error("local must differ from peers, both are {address}")]
    SameAddress {
        /// The shared address.
        address: SocketAddr,
    },
    /// An announced address without a port.
    #[error("announce must have a port that peers can connect to, got {address}: set it here or in peers")]
    NoAnnouncedPort {
        /// The address that would be announced to peers.
        address: SocketAddr,
    },
}

impl From<serde_path_to_error::Error<serde_json::Error>> for InvalidConfig {
    fn from(error: serde_path_to_error::Error<serde_json::Error>) -> Self {
        let path = error.path().to_string();
        let key = if path == "." { String::new() } else { path };
        Self::Json { key, source: error.into_inner() }
    }
}

/// A key followed by a colon in error messages; nothing if the key is empty.
struct KeyPrefix<'a>(&'a str);

impl fmt::Display for KeyPrefix<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() { Ok(()) } else { write!(f, "{}: ", self.0) }
    }
}

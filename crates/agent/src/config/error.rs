//! Why a configuration can't be used.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

use super::MAX_NAME_BYTES;

/// Why a configuration file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("configuration: {}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// The file's content can't be used.
    #[error("configuration: {}: {source}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: InvalidConfig,
    },
}

/// Why the content of a configuration file can't be used. Keys are named as in the file.
#[derive(Debug, thiserror::Error)]
pub enum InvalidConfig {
    /// No JSON, or a key is missing, unknown or of another type.
    #[error("{}{source}", KeyPrefix(key))]
    Json {
        /// The path of the key; empty for the whole file.
        key: String,
        /// What is wrong there.
        source: serde_json::Error,
    },
    /// A name with other characters than allowed, or too long.
    #[error("{key} must be 1 to {MAX_NAME_BYTES} letters, digits, '-', '_' or '.', got \"{value}\"")]
    Name {
        /// The key.
        key: &'static str,
        /// Its value.
        value: String,
    },
    /// A number out of its range.
    #[error("{key} must be between {min} and {max}, got {value}")]
    OutOfRange {
        /// The key.
        key: &'static str,
        /// Its value.
        value: u64,
        /// The smallest allowed.
        min: u64,
        /// The largest allowed.
        max: u64,
    },
    /// A number below its lowest value.
    #[error("{key} must be at least {min}, got {value}")]
    TooSmall {
        /// The key.
        key: &'static str,
        /// Its value.
        value: u64,
        /// The smallest allowed.
        min: u64,
    },
    /// An election timeout that does not fit the heartbeat interval.
    #[error("election_ticks must be between {min} (three times heartbeat_ticks) and {max}, got {value}")]
    ElectionTicks {
        /// Its value, in ticks.
        value: usize,
        /// The smallest allowed, in ticks.
        min: usize,
        /// The largest allowed, in ticks.
        max: usize,
    },
    /// A lease that does not fit the election timeout.
    #[error(
        "life_ms must be between {min} (three elections of election_ticks x tick_ms) and {max} (an hour), got {value}"
    )]
    LeaseTtl {
        /// Its value, in milliseconds.
        value: u64,
        /// The smallest allowed, in milliseconds.
        min: u64,
        /// The largest allowed, in milliseconds.
        max: u64,
    },
    /// Peers and proxies can't share an address.
    #[error("local must differ from peers, both are {address}")]
    SameAddress {
        /// The address of both.
        address: SocketAddr,
    },
    /// Peers can't connect without a port.
    #[error("announce must have a port that peers can connect to, got {address}: set it here or in peers")]
    NoAnnouncedPort {
        /// The address that peers would be given.
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

/// A key with a colon behind it; nothing for the whole file.
struct KeyPrefix<'a>(&'a str);

impl fmt::Display for KeyPrefix<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() { Ok(()) } else { write!(f, "{}: ", self.0) }
    }
}

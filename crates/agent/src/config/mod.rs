//! The agent's configuration: one JSON file, with validation and defaults. Errors name the faulty key.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;

mod error;
#[cfg(test)]
mod tests;

pub use error::{ConfigError, InvalidConfig};

/// Longest name of an instance or a cluster, in bytes.
const MAX_NAME_BYTES: usize = 64;
const MIN_TICK_MS: u64 = 1;
const MAX_TICK_MS: u64 = 1_000;
const MIN_HEARTBEAT_TICKS: usize = 1;
const MAX_HEARTBEAT_TICKS: usize = 100;
/// Minimum number of heartbeat intervals per election timeout, so that one lost heartbeat does not start an
/// election.
const MIN_HEARTBEATS_PER_ELECTION: usize = 3;
const MAX_ELECTION_TICKS: usize = 10_000;
/// Minimum number of election timeouts per lease duration. With a shorter lease, every election could expire
/// the lease and change its holder needlessly.
const MIN_ELECTIONS_PER_LEASE: u64 = 3;
const MAX_LEASE_TTL_MS: u64 = 3_600_000;
const MIN_COMPACT_EVERY: u64 = 100;
const MAX_COMPACT_EVERY: u64 = 10_000_000;
const MIN_STORE_LIMIT_MB: u64 = 8;

/// The format of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// The log settings.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogConfig {
    /// The format of the lines.
    pub format: LogFormat,
    /// The filter that selects the lines written, in the syntax of `tracing_subscriber::EnvFilter`.
    pub filter: String,
}

impl Default for LogConfig {
    fn default() -> Self {
        Self { format: LogFormat::Text, filter: "info".to_owned() }
    }
}

/// The agent's configuration. Where a key of the file differs from the field's name, the field's
/// documentation names the key.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// This instance's name, unique in the cluster.
    pub name: String,
    /// The cluster's name. Peers of other clusters are rejected.
    pub cluster: String,
    /// Path of the store's file.
    pub store: PathBuf,
    /// The address on which this instance listens for peers; key `peers`.
    #[serde(rename = "peers")]
    pub peer_address: SocketAddr,
    /// The address announced to peers, if it differs from [`Config::peer_address`]; key `announce`.
    #[serde(rename = "announce", default)]
    pub announced_address: Option<SocketAddr>,
    /// Addresses used in place of those that members announce, by member name; key `via`.
    #[serde(rename = "via", default)]
    pub peer_overrides: BTreeMap<String, SocketAddr>,
    /// The address on which this instance listens for proxies and operators; key `local`.
    #[serde(rename = "local")]
    pub http_address: SocketAddr,
    /// Length of a tick, in milliseconds.
    #[serde(default = "default_tick_ms")]
    pub tick_ms: u64,
    /// Shortest time without a leader before an election, in ticks.
    #[serde(default = "default_election_ticks")]
    pub election_ticks: usize,
    /// Time between a leader's heartbeats, in ticks.
    #[serde(default = "default_heartbeat_ticks")]
    pub heartbeat_ticks: usize,
    /// Time that a lease stays valid without renewal, in milliseconds; key `life_ms`.
    #[serde(rename = "life_ms", default = "default_lease_ttl_ms")]
    pub lease_ttl_ms: u64,
    /// Number of applied entries after which the log is compacted into a snapshot; key `fold_every`.
    #[serde(rename = "fold_every", default = "default_compact_every")]
    pub compact_every: u64,
    /// Length of the store's file from which on no new entries are accepted, in MB of 1024 * 1024 bytes; key
    /// `store_most_mb`. The device needs room for one and a half times this length.
    #[serde(rename = "store_most_mb", default = "default_store_limit_mb")]
    pub store_limit_mb: u64,
    /// The log settings.
    #[serde(default)]
    pub log: LogConfig,
}

fn default_tick_ms() -> u64 {
    20
}

fn default_election_ticks() -> usize {
    15
}

fn default_heartbeat_ticks() -> usize {
    3
}

fn default_lease_ttl_ms() -> u64 {
    3_000
}

fn default_compact_every() -> u64 {
    10_000
}

fn default_store_limit_mb() -> u64 {
    1_024
}

impl Config {
    /// Reads and validates a configuration file.
    ///
    /// # Errors
    /// The file can't be read, or a key is missing, unknown or has an invalid value.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| ConfigError::Unreadable { path: path.to_owned(), source })?;
        Self::parse(&text).map_err(|source| ConfigError::Invalid { path: path.to_owned(), source })
    }

    /// Parses and validates the text of a configuration file.
    ///
    /// # Errors
    /// A key is missing, unknown or has an invalid value.
    pub fn parse(text: &str) -> Result<Self, InvalidConfig> {
        let mut reader = serde_json::Deserializer::from_str(text);
        let config: Self = serde_path_to_error::deserialize(&mut reader).map_err(InvalidConfig::from)?;
        config.validate()?;
        Ok(config)
    }

    fn validate(&self) -> Result<(), InvalidConfig> {
        check_name("name", &self.name)?;
        check_name("cluster", &self.cluster)?;
        self.check_timing()?;
        check_range("fold_every", self.compact_every, MIN_COMPACT_EVERY, MAX_COMPACT_EVERY)?;
        if self.store_limit_mb < MIN_STORE_LIMIT_MB {
            let (value, min) = (self.store_limit_mb, MIN_STORE_LIMIT_MB);
            return Err(InvalidConfig::TooSmall { key: "store_most_mb", value, min });
        }
        self.check_addresses()
    }

    fn check_timing(&self) -> Result<(), InvalidConfig> {
        check_range("tick_ms", self.tick_ms, MIN_TICK_MS, MAX_TICK_MS)?;
        check_range(
            "heartbeat_ticks",
            self.heartbeat_ticks as u64,
            MIN_HEARTBEAT_TICKS as u64,
            MAX_HEARTBEAT_TICKS as u64,
        )?;
        let min_election_ticks = MIN_HEARTBEATS_PER_ELECTION * self.heartbeat_ticks;
        if !(min_election_ticks..=MAX_ELECTION_TICKS).contains(&self.election_ticks) {
            return Err(InvalidConfig::ElectionTicks {
                value: self.election_ticks,
                min: min_election_ticks,
                max: MAX_ELECTION_TICKS,
            });
        }
        let min_lease_ttl_ms = MIN_ELECTIONS_PER_LEASE * self.tick_ms * self.election_ticks as u64;
        if !(min_lease_ttl_ms..=MAX_LEASE_TTL_MS).contains(&self.lease_ttl_ms) {
            return Err(InvalidConfig::LeaseTtl {
                value: self.lease_ttl_ms,
                min: min_lease_ttl_ms,
                max: MAX_LEASE_TTL_MS,
            });
        }
        Ok(())
    }

    fn check_addresses(&self) -> Result<(), InvalidConfig> {
        if self.peer_address == self.http_address {
            return Err(InvalidConfig::SameAddress { address: self.http_address });
        }
        if self.announced().port() == 0 {
            return Err(InvalidConfig::NoAnnouncedPort { address: self.announced() });
        }
        Ok(())
    }

    /// Returns the address at which peers connect to this instance.
    pub fn announced(&self) -> SocketAddr {
        self.announced_address.unwrap_or(self.peer_address)
    }

    /// Converts milliseconds to ticks, rounded up, at least one.
    pub fn ticks(&self, ms: u64) -> u64 {
        ms.div_ceil(self.tick_ms).max(1)
    }
}

fn check_name(key: &'static str, value: &str) -> Result<(), InvalidConfig> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if value.is_empty() || value.len() > MAX_NAME_BYTES || !value.chars().all(allowed) {
        return Err(InvalidConfig::Name { key, value: value.to_owned() });
    }
    Ok(())
}

fn check_range(key: &'static str, value: u64, min: u64, max: u64) -> Result<(), InvalidConfig> {
    if (min..=max).contains(&value) {
        Ok(())
    } else {
        Err(InvalidConfig::OutOfRange { key, value, min, max })
    }
}

//! The agent's configuration: one JSON file, read, checked and given defaults here, with the faulty key by name.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;

/// How log lines look.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Log lines.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// How they look.
    pub format: LogFormat,
    /// Which pass, in the form of `tracing`'s filters.
    pub filter: String,
}

impl Default for Log {
    fn default() -> Self {
        Self { format: LogFormat::Text, filter: "info".to_owned() }
    }
}

/// All that an agent is told.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// This instance's name, unique in the cluster.
    pub name: String,
    /// The cluster's name: peers of another one are refused.
    pub cluster: String,
    /// The store's file.
    pub store: PathBuf,
    /// Where peers connect.
    pub peers: SocketAddr,
    /// What peers are told to connect to, if that differs.
    #[serde(default)]
    pub announce: Option<SocketAddr>,
    /// Members that are reached by another way than the one they announce, by name.
    #[serde(default)]
    pub via: BTreeMap<String, SocketAddr>,
    /// Where fronts and operators connect.
    pub local: SocketAddr,
    /// Length of a tick, in milliseconds.
    #[serde(default = "tick_ms")]
    pub tick_ms: u64,
    /// Ticks without a leader before an election, at the least.
    #[serde(default = "election_ticks")]
    pub election_ticks: usize,
    /// Ticks between a leader's signs of life.
    #[serde(default = "heartbeat_ticks")]
    pub heartbeat_ticks: usize,
    /// How long a holder of a role goes on without renewal, in milliseconds.
    #[serde(default = "life_ms")]
    pub life_ms: u64,
    /// Entries applied before they are folded into a snapshot.
    #[serde(default = "fold_every")]
    pub fold_every: u64,
    /// Length of the store's file beyond which nothing new is taken on, in MB. Half as much again should be free.
    #[serde(default = "store_most_mb")]
    pub store_most_mb: u64,
    /// Log lines.
    #[serde(default)]
    pub log: Log,
}

fn tick_ms() -> u64 {
    20
}

fn election_ticks() -> usize {
    15
}

fn heartbeat_ticks() -> usize {
    3
}

fn life_ms() -> u64 {
    3_000
}

fn fold_every() -> u64 {
    10_000
}

fn store_most_mb() -> u64 {
    1_024
}

/// Why a configuration can't be used: the file, and the key where there is one.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("configuration: {0}")]
pub struct ConfigError(String);

impl Config {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// It can't be read, or a key is missing, unknown or makes no sense.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let text =
            std::fs::read_to_string(path).map_err(|e| ConfigError(format!("{}: {e}", path.display())))?;
        Self::parse(&text).map_err(|ConfigError(what)| ConfigError(format!("{}: {what}", path.display())))
    }

    /// Checks a text.
    ///
    /// # Errors
    /// As [`Config::read`].
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let mut reader = serde_json::Deserializer::from_str(text);
        let config: Self = serde_path_to_error::deserialize(&mut reader).map_err(|e| {
            let path = e.path().to_string();
            let at = if path == "." { String::new() } else { format!("{path}: ") };
            ConfigError(format!("{at}{}", e.into_inner()))
        })?;
        config.check()?;
        Ok(config)
    }

    fn check(&self) -> Result<(), ConfigError> {
        let usable = |text: &str| {
            !text.is_empty()
                && text.len() <= 64
                && text.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c))
        };
        let wrong = |key: &str, what: &str| Err(ConfigError(format!("{key}: {what}")));
        let name = "1 to 64 letters, digits, '-', '_' or '.' are wanted";
        if !usable(&self.name) {
            return wrong("name", name);
        }
        if !usable(&self.cluster) {
            return wrong("cluster", name);
        }
        if !(1..=1_000).contains(&self.tick_ms) {
            return wrong("tick_ms", "1 to 1000 is wanted");
        }
        if !(1..=100).contains(&self.heartbeat_ticks) {
            return wrong("heartbeat_ticks", "1 to 100 is wanted");
        }
        if self.election_ticks < 3 * self.heartbeat_ticks || self.election_ticks > 10_000 {
            return wrong(
                "election_ticks",
                "at least three times heartbeat_ticks and at most 10000 is wanted",
            );
        }
        // A grant that lapses in every election would change hands for nothing.
        if self.life_ms < 3 * self.tick_ms * self.election_ticks as u64 || self.life_ms > 3_600_000 {
            return wrong(
                "life_ms",
                "at least three elections (tick_ms x election_ticks) and at most an hour is wanted",
            );
        }
        if !(100..=10_000_000).contains(&self.fold_every) {
            return wrong("fold_every", "100 to 10000000 is wanted");
        }
        if self.store_most_mb < 8 {
            return wrong("store_most_mb", "at least 8 is wanted");
        }
        if self.peers == self.local {
            return wrong("local", "the same address as peers");
        }
        if self.announce.unwrap_or(self.peers).port() == 0 {
            return wrong("announce", "peers need a port: name one here or in peers");
        }
        Ok(())
    }

    /// Where peers are told to connect.
    pub fn announced(&self) -> SocketAddr {
        self.announce.unwrap_or(self.peers)
    }

    /// A span in ticks, one at the least.
    pub fn ticks(&self, ms: u64) -> u64 {
        ms.div_ceil(self.tick_ms).max(1)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const WHOLE: &str =
        r#"{"name":"n1","cluster":"c","store":"/tmp/n1","peers":"127.0.0.1:7001","local":"127.0.0.1:7101"}"#;

    #[test]
    fn a_small_file_is_whole_and_a_fault_names_its_key() {
        let config = Config::parse(WHOLE).unwrap();
        assert_eq!((config.tick_ms, config.announced().port()), (20, 7001));
        let fault = |from: &str, to: &str| Config::parse(&WHOLE.replace(from, to)).unwrap_err().to_string();
        assert!(fault("\"local\"", "\"locale\"").contains("locale"));
        assert!(fault("127.0.0.1:7101", "here").contains("local: "));
        assert!(fault("127.0.0.1:7101", "127.0.0.1:7001").contains("local: the same"));
        assert!(fault("\"n1\"", "\"n 1\"").contains("name: "));
        assert!(fault("}", ",\"life_ms\":10}").contains("life_ms: "));
        assert!(fault("}", ",\"election_ticks\":5}").contains("election_ticks: "));
        assert!(fault("}", ",\"log\":{\"format\":\"xml\"}}").contains("log.format: "));
        assert!(fault("}", "").contains("EOF"));
    }
}

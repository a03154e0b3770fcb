//! The one place where the process configuration is read, checked and given defaults.

mod error;

#[cfg(test)]
mod tests;

use std::net::SocketAddr;

use garnetcrank_settings::{Settings, SettingsError};
use serde::Deserialize;

use crate::discovery::MemberList;
use crate::release_controller::RolloutState;

pub(crate) use error::{InvalidSetting, ProcessSettingsError};

/// Memory assumed where no limit is given, in MiB.
const DEFAULT_MEMORY_MB: u64 = 192;
/// Least memory that may be given, in MiB.
const MIN_MEMORY_MB: u64 = 16;
/// Descriptors assumed where no limit is given.
const DEFAULT_SOCKETS: usize = 1024;
/// Fewest descriptors that may be given.
const MIN_SOCKETS: usize = 64;
/// Name assumed where none is given.
const DEFAULT_NAME: &str = "front";
/// Base of the seed's digits.
const SEED_RADIX: u32 = 16;

/// Names the configuration file.
const CONFIG_VARIABLE: &str = "RELAY_CONFIG";
/// Overrides the name in the file.
const NAME_VARIABLE: &str = "RELAY_NAME";
/// Overrides the listening address in the file.
const LISTEN_VARIABLE: &str = "RELAY_LISTEN";
/// Overrides discovery's address in the file, until it is read again.
const DISCOVERY_VARIABLE: &str = "RELAY_DISCOVERY";

/// What an instance is configured with at its start.
#[derive(Debug)]
pub(crate) struct ProcessSettings {
    /// Its name.
    pub(crate) name: String,
    /// Where it listens for clients.
    pub(crate) listen: SocketAddr,
    /// Where discovery listens.
    pub(crate) discovery: SocketAddr,
    /// Seed of the random numbers.
    pub(crate) seed: u64,
    /// Memory limit, in MiB; at least 16.
    pub(crate) memory_mb: u64,
    /// Limit on descriptors; at least 64.
    pub(crate) sockets: usize,
    /// Where the platform's release controller listens.
    pub(crate) release_controller: SocketAddr,
    /// State of the newest build's rollout when the file was written.
    pub(crate) rollout_state: RolloutState,
    /// Endpoint list that this instance received last before the file was written.
    pub(crate) cached_members: MemberList,
    /// The settings of the deployment.
    pub(crate) settings: Settings,
    /// The same as they stand in the file, to be compared with a later one.
    raw_settings: serde_json::Value,
}

/// The file as it is written.
#[derive(Deserialize)]
struct SettingsFile {
    name: Option<String>,
    listen: Option<SocketAddr>,
    discovery: Option<SocketAddr>,
    seed: String,
    #[serde(default)]
    limits: Limits,
    pipeline: Pipeline,
    known: MemberList,
    settings: serde_json::Value,
}

#[derive(Deserialize, Default)]
struct Limits {
    memory_mb: Option<u64>,
    sockets: Option<usize>,
}

#[derive(Deserialize)]
struct Pipeline {
    address: SocketAddr,
    #[serde(rename = "news")]
    rollout_state: RolloutState,
}

/// What a configuration that is read again may change, and the keys that it may not.
#[derive(Debug)]
pub(crate) struct ReloadedSettings {
    /// Where discovery listens.
    pub(crate) discovery: SocketAddr,
    /// Where the platform's release controller listens.
    pub(crate) release_controller: SocketAddr,
    /// State of the newest build's rollout when the file was written.
    pub(crate) rollout_state: RolloutState,
    /// An endpoint list.
    pub(crate) cached_members: MemberList,
    /// Keys with new values that count only from the next start on.
    pub(crate) ignored_keys: Vec<&'static str>,
}

/// What can't change while the process runs, to be compared with what is read later.
#[derive(Debug)]
pub(crate) struct StartupSettings {
    name: String,
    listen: SocketAddr,
    memory_mb: u64,
    sockets: usize,
    raw_settings: serde_json::Value,
}

impl StartupSettings {
    /// The part of the configuration at the start that can't change.
    pub(crate) fn from_process(process: &ProcessSettings) -> Self {
        StartupSettings {
            name: process.name.clone(),
            listen: process.listen,
            memory_mb: process.memory_mb,
            sockets: process.sockets,
            raw_settings: process.raw_settings.clone(),
        }
    }

    /// Reads the file again. Its discovery address counts, whatever the environment said at the start.
    ///
    /// # Errors
    /// As [`ProcessSettings::read`].
    pub(crate) fn reload(
        &self,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<ReloadedSettings, ProcessSettingsError> {
        let without_discovery = |name: &str| variable(name).filter(|_| name != DISCOVERY_VARIABLE);
        let new = ProcessSettings::read(without_discovery)?;
        Ok(ReloadedSettings {
            ignored_keys: self.changed_keys(&new),
            discovery: new.discovery,
            release_controller: new.release_controller,
            rollout_state: new.rollout_state,
            cached_members: new.cached_members,
        })
    }

    fn changed_keys(&self, new: &ProcessSettings) -> Vec<&'static str> {
        let keys = [
            ("name", self.name != new.name),
            ("listen", self.listen != new.listen),
            ("limits.memory_mb", self.memory_mb != new.memory_mb),
            ("limits.sockets", self.sockets != new.sockets),
            ("settings", self.raw_settings != new.raw_settings),
        ];
        keys.into_iter().filter(|(_, changed)| *changed).map(|(key, _)| key).collect()
    }
}

impl ProcessSettings {
    /// Reads the file named in `RELAY_CONFIG`. `RELAY_NAME`, `RELAY_LISTEN` and `RELAY_DISCOVERY` override what the
    /// file says.
    ///
    /// # Errors
    /// When the variable is not set, the file can't be read, or a value is missing or not allowed. The message names
    /// the variable or the key.
    pub(crate) fn read(variable: impl Fn(&str) -> Option<String>) -> Result<Self, ProcessSettingsError> {
        let path = variable(CONFIG_VARIABLE).ok_or(ProcessSettingsError::PathNotSet)?;
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(source) => return Err(ProcessSettingsError::Unreadable { path, source }),
        };
        ProcessSettings::parse(&text, variable)
            .map_err(|source| ProcessSettingsError::Invalid { path, source })
    }

    fn parse(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Self, InvalidSetting> {
        let mut json = serde_json::Deserializer::from_str(text);
        let file: SettingsFile = serde_path_to_error::deserialize(&mut json)
            .map_err(|e| InvalidSetting::Malformed(SettingsError::from(e)))?;
        let sockets = file.limits.sockets.unwrap_or(DEFAULT_SOCKETS);
        let memory_mb = file.limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB);
        if sockets < MIN_SOCKETS {
            return Err(InvalidSetting::TooFewSockets { sockets });
        }
        if memory_mb < MIN_MEMORY_MB {
            return Err(InvalidSetting::TooLittleMemory { memory_mb });
        }
        let listen = address(&variable, LISTEN_VARIABLE, "listen", file.listen)?;
        let discovery = address(&variable, DISCOVERY_VARIABLE, "discovery", file.discovery)?;
        let seed = parse_seed(&file.seed)?;
        let settings = Settings::read(&file.settings).map_err(InvalidSetting::Deployment)?;
        Ok(ProcessSettings {
            name: variable(NAME_VARIABLE).or(file.name).unwrap_or_else(|| DEFAULT_NAME.to_owned()),
            listen,
            discovery,
            seed,
            memory_mb,
            sockets,
            release_controller: file.pipeline.address,
            rollout_state: file.pipeline.rollout_state,
            cached_members: file.known,
            settings,
            raw_settings: file.settings,
        })
    }
}

/// The address in an environment variable, or else the one in the file.
fn address(
    variable: impl Fn(&str) -> Option<String>,
    name: &'static str,
    key: &'static str,
    in_file: Option<SocketAddr>,
) -> Result<SocketAddr, InvalidSetting> {
    match variable(name) {
        Some(value) => {
            value.parse().map_err(|source| InvalidSetting::NotAnAddress { variable: name, value, source })
        }
        None => in_file.ok_or(InvalidSetting::Missing { key }),
    }
}

fn parse_seed(text: &str) -> Result<u64, InvalidSetting> {
    let digits = text.trim();
    u64::from_str_radix(digits, SEED_RADIX)
        .map_err(|source| InvalidSetting::InvalidSeed { digits: digits.to_owned(), source })
}

//! Process configuration: reading, validation and defaults.

mod error;

#[cfg(test)]
mod tests;

use std::net::SocketAddr;

use garnetcrank_settings::{Settings, SettingsError};
use serde::Deserialize;

use crate::discovery::MemberList;
use crate::release_controller::RolloutState;

pub(crate) use error::{InvalidSetting, ProcessSettingsError};

/// Default memory limit, in MiB.
const DEFAULT_MEMORY_MB: u64 = 192;
/// Minimum memory limit, in MiB.
const MIN_MEMORY_MB: u64 = 16;
/// Default limit on descriptors.
const DEFAULT_SOCKETS: usize = 1024;
/// Minimum limit on descriptors.
const MIN_SOCKETS: usize = 64;
/// Default name of the instance.
const DEFAULT_NAME: &str = "front";
/// Radix of the seed's digits.
const SEED_RADIX: u32 = 16;

/// Environment variable with the path of the configuration file.
const CONFIG_VARIABLE: &str = "RELAY_CONFIG";
/// Environment variable that overrides the name in the file.
const NAME_VARIABLE: &str = "RELAY_NAME";
/// Environment variable that overrides the listening address in the file.
const LISTEN_VARIABLE: &str = "RELAY_LISTEN";
/// Environment variable that overrides discovery's address in the file, until the first reload.
const DISCOVERY_VARIABLE: &str = "RELAY_DISCOVERY";

/// Configuration of an instance at its start.
#[derive(Debug)]
pub(crate) struct ProcessSettings {
    /// Name of the instance.
    pub(crate) name: String,
    /// Address on which the instance listens for clients.
    pub(crate) listen: SocketAddr,
    /// Address of discovery.
    pub(crate) discovery: SocketAddr,
    /// Seed of the random number generator.
    pub(crate) seed: u64,
    /// Memory limit, in MiB; at least 16.
    pub(crate) memory_mb: u64,
    /// Limit on descriptors; at least 64.
    pub(crate) sockets: usize,
    /// Address of the platform's release controller.
    pub(crate) release_controller: SocketAddr,
    /// Rollout state of the newest build at the time the file was written.
    pub(crate) rollout_state: RolloutState,
    /// Last endpoint list that this instance received before the file was written.
    pub(crate) cached_members: MemberList,
    /// Settings of the deployment.
    pub(crate) settings: Settings,
    /// Unparsed settings of the deployment, compared on a reload.
    raw_settings: serde_json::Value,
}

/// Format of the configuration file.
#[derive(Deserialize)]
struct SettingsFile {
    name: Option<String>,
    listen: Option<SocketAddr>,
    discovery: Option<SocketAddr>,
    seed: String,
    #[serde(default)]
    limits: Limits,
    #[serde(rename = "pipeline")]
    release_controller: ReleaseControllerSection,
    #[serde(rename = "known")]
    cached_members: MemberList,
    settings: serde_json::Value,
}

#[derive(Deserialize, Default)]
struct Limits {
    memory_mb: Option<u64>,
    sockets: Option<usize>,
}

#[derive(Deserialize)]
struct ReleaseControllerSection {
    address: SocketAddr,
    #[serde(rename = "news")]
    rollout_state: RolloutState,
}

/// Settings that a reload may change, and the changed keys that it ignores.
#[derive(Debug)]
pub(crate) struct ReloadedSettings {
    /// Address of discovery.
    pub(crate) discovery: SocketAddr,
    /// Address of the platform's release controller.
    pub(crate) release_controller: SocketAddr,
    /// Rollout state of the newest build at the time the file was written.
    pub(crate) rollout_state: RolloutState,
    /// Last endpoint list that this instance received before the file was written.
    pub(crate) cached_members: MemberList,
    /// Keys whose new values take effect only after a restart.
    pub(crate) ignored_keys: Vec<&'static str>,
}

/// Settings that cannot change while the process runs. A reload compares its values with them.
#[derive(Debug)]
pub(crate) struct StartupSettings {
    name: String,
    listen: SocketAddr,
    memory_mb: u64,
    sockets: usize,
    raw_settings: serde_json::Value,
}

impl StartupSettings {
    /// Copies the settings that cannot change from the configuration at the start.
    pub(crate) fn from_process(process: &ProcessSettings) -> Self {
        StartupSettings {
            name: process.name.clone(),
            listen: process.listen,
            memory_mb: process.memory_mb,
            sockets: process.sockets,
            raw_settings: process.raw_settings.clone(),
        }
    }

    /// Reads the file again. Its discovery address applies, even if an environment variable overrode it at the start.
    ///
    /// # Errors
    /// Fails under the same conditions as [`ProcessSettings::read`].
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
    /// Reads the file named in `RELAY_CONFIG`. `RELAY_NAME`, `RELAY_LISTEN` and `RELAY_DISCOVERY` override its values.
    ///
    /// # Errors
    /// Fails if `RELAY_CONFIG` is not set, the file cannot be read, or a value is missing or not allowed. The message
    /// names the variable or the key.
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
        let listen = address_setting(&variable, LISTEN_VARIABLE, "listen", file.listen)?;
        let discovery = address_setting(&variable, DISCOVERY_VARIABLE, "discovery", file.discovery)?;
        let seed = parse_seed(&file.seed)?;
        let settings = Settings::from_json(&file.settings).map_err(InvalidSetting::Deployment)?;
        Ok(ProcessSettings {
            name: variable(NAME_VARIABLE).or(file.name).unwrap_or_else(|| DEFAULT_NAME.to_owned()),
            listen,
            discovery,
            seed,
            memory_mb,
            sockets,
            release_controller: file.release_controller.address,
            rollout_state: file.release_controller.rollout_state,
            cached_members: file.cached_members,
            settings,
            raw_settings: file.settings,
        })
    }
}

/// Returns the address from an environment variable, or the one from the file if the variable is not set.
fn address_setting(
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

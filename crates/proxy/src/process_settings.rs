//! The one place where the process configuration is read, checked and given defaults.

use std::net::SocketAddr;

use garnetcrank_settings::{Settings, SettingsError};
use serde::Deserialize;

use crate::discovery::MemberList;
use crate::release_controller::RolloutState;

/// Memory assumed where no limit is told, in MiB.
const MEMORY_MB: u64 = 192;
/// Descriptors assumed where no limit is told.
const SOCKETS: usize = 1024;

/// All that a front is told at its start.
#[derive(Debug)]
pub struct ProcessSettings {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// Memory limit, in MiB.
    pub memory_mb: u64,
    /// Limit on descriptors.
    pub sockets: usize,
    /// Where the platform answers.
    pub platform: SocketAddr,
    /// Where the newest build stood.
    pub rollout_state: RolloutState,
    /// The list this front last held.
    pub cached_members: MemberList,
    /// The settings of the deployment.
    pub settings: Settings,
    /// The same, as they were told.
    told: serde_json::Value,
}

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
    news: RolloutState,
}

/// What a configuration that is read again may change, and what it would change but can't.
#[derive(Debug)]
pub struct ReloadedSettings {
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// Where the platform answers.
    pub platform: SocketAddr,
    /// Where the newest build stood.
    pub rollout_state: RolloutState,
    /// A list of machines.
    pub cached_members: MemberList,
    /// Keys whose new values need a restart.
    pub ignored_keys: Vec<&'static str>,
}

/// What can't change while the front runs, to be compared with what is read later.
#[derive(Debug)]
pub struct StartupSettings {
    name: String,
    listen: SocketAddr,
    memory_mb: u64,
    sockets: usize,
    told: serde_json::Value,
}

impl StartupSettings {
    /// Of the configuration at the start.
    pub fn from_process(process: &ProcessSettings) -> Self {
        let ProcessSettings { listen, memory_mb, sockets, .. } = *process;
        StartupSettings { name: process.name.clone(), listen, memory_mb, sockets, told: process.told.clone() }
    }

    /// Reads the file again. Addresses in it stand above the environment, which is that of the start.
    pub fn reload(&self, variable: impl Fn(&str) -> Option<String>) -> Result<ReloadedSettings, String> {
        let at_start = |name: &str| variable(name).filter(|_| name != "RELAY_DISCOVERY");
        let new = ProcessSettings::read(at_start)?;
        let differs = [
            ("name", self.name != new.name),
            ("listen", self.listen != new.listen),
            ("limits.memory_mb", self.memory_mb != new.memory_mb),
            ("limits.sockets", self.sockets != new.sockets),
            ("settings", self.told != new.told),
        ];
        Ok(ReloadedSettings {
            discovery: new.discovery,
            platform: new.platform,
            rollout_state: new.rollout_state,
            cached_members: new.cached_members,
            ignored_keys: differs.into_iter().filter(|(_, differs)| *differs).map(|(key, _)| key).collect(),
        })
    }
}

impl ProcessSettings {
    /// Reads the file named in `RELAY_CONFIG`. `RELAY_NAME`, `RELAY_LISTEN` and `RELAY_DISCOVERY` stand above
    /// what the file says. The message of an error names the variable or the key.
    pub fn read(variable: impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        let path = variable("RELAY_CONFIG").ok_or("RELAY_CONFIG is not set")?;
        let text = std::fs::read_to_string(&path).map_err(|e| format!("RELAY_CONFIG: {path}: {e}"))?;
        ProcessSettings::parse(&text, variable).map_err(|e| format!("{path}: {e}"))
    }

    fn parse(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        let mut json = serde_json::Deserializer::from_str(text);
        let file: SettingsFile =
            serde_path_to_error::deserialize(&mut json).map_err(|e| SettingsError::from(e).to_string())?;
        let address = |name: &str, key: &str, told: Option<SocketAddr>| match variable(name) {
            Some(text) => text.parse().map_err(|_| format!("{name}: {text:?} is no address with a port")),
            None => told.ok_or_else(|| format!("{key} is missing")),
        };
        let digits = file.seed.trim();
        let seed = u64::from_str_radix(digits, 16);
        let sockets = file.limits.sockets.unwrap_or(SOCKETS);
        let memory_mb = file.limits.memory_mb.unwrap_or(MEMORY_MB);
        if sockets < 64 {
            return Err(format!("limits.sockets: {sockets} is too few, 64 are needed"));
        }
        if memory_mb < 16 {
            return Err(format!("limits.memory_mb: {memory_mb} is too little, 16 are needed"));
        }
        Ok(ProcessSettings {
            name: variable("RELAY_NAME").or(file.name).unwrap_or_else(|| "front".to_owned()),
            listen: address("RELAY_LISTEN", "listen", file.listen)?,
            discovery: address("RELAY_DISCOVERY", "discovery", file.discovery)?,
            seed: seed.map_err(|_| format!("seed: {digits:?} is no number of up to 16 hex digits"))?,
            memory_mb,
            sockets,
            platform: file.pipeline.address,
            rollout_state: file.pipeline.news,
            cached_members: file.known,
            settings: Settings::read(&file.settings).map_err(|e| format!("settings: {e}"))?,
            told: file.settings,
        })
    }
}

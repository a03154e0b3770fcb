//! The one place where the process configuration is read, checked and given defaults.

use std::net::SocketAddr;

use garnetcrank_settings::{Faulty, Settings};
use serde::Deserialize;

use crate::discovery::List;
use crate::platform::State;

/// Memory assumed where no limit is told, in MiB.
const MEMORY_MB: u64 = 192;
/// Descriptors assumed where no limit is told.
const SOCKETS: usize = 1024;

/// All that a front is told at its start.
#[derive(Debug)]
pub struct Process {
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
    pub news: State,
    /// The list this front last held.
    pub known: List,
    /// The settings of the deployment.
    pub settings: Settings,
    /// The same, as they were told.
    told: serde_json::Value,
}

#[derive(Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<SocketAddr>,
    discovery: Option<SocketAddr>,
    seed: String,
    #[serde(default)]
    limits: Limits,
    pipeline: Pipeline,
    known: List,
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
    news: State,
}

/// What a configuration that is read again may change, and what it would change but can't.
#[derive(Debug)]
pub struct Renewal {
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// Where the platform answers.
    pub platform: SocketAddr,
    /// Where the newest build stood.
    pub news: State,
    /// A list of machines.
    pub known: List,
    /// Keys whose new values need a restart.
    pub fixed: Vec<&'static str>,
}

/// What can't change while the front runs, to be compared with what is read later.
#[derive(Debug)]
pub struct Fixed {
    name: String,
    listen: SocketAddr,
    memory_mb: u64,
    sockets: usize,
    told: serde_json::Value,
}

impl Fixed {
    /// Of the configuration at the start.
    pub fn of(process: &Process) -> Self {
        let Process { listen, memory_mb, sockets, .. } = *process;
        Fixed { name: process.name.clone(), listen, memory_mb, sockets, told: process.told.clone() }
    }

    /// Reads the file again. Addresses in it stand above the environment, which is that of the start.
    pub fn read_again(&self, variable: impl Fn(&str) -> Option<String>) -> Result<Renewal, String> {
        let at_start = |name: &str| variable(name).filter(|_| name != "RELAY_DISCOVERY");
        let new = Process::read(at_start)?;
        let differs = [
            ("name", self.name != new.name),
            ("listen", self.listen != new.listen),
            ("limits.memory_mb", self.memory_mb != new.memory_mb),
            ("limits.sockets", self.sockets != new.sockets),
            ("settings", self.told != new.told),
        ];
        Ok(Renewal {
            discovery: new.discovery,
            platform: new.platform,
            news: new.news,
            known: new.known,
            fixed: differs.into_iter().filter(|(_, differs)| *differs).map(|(key, _)| key).collect(),
        })
    }
}

impl Process {
    /// Reads the file named in `RELAY_CONFIG`. `RELAY_NAME`, `RELAY_LISTEN` and `RELAY_DISCOVERY` stand above
    /// what the file says. The message of an error names the variable or the key.
    pub fn read(variable: impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        let path = variable("RELAY_CONFIG").ok_or("RELAY_CONFIG is not set")?;
        let text = std::fs::read_to_string(&path).map_err(|e| format!("RELAY_CONFIG: {path}: {e}"))?;
        Process::parse(&text, variable).map_err(|e| format!("{path}: {e}"))
    }

    fn parse(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        let mut json = serde_json::Deserializer::from_str(text);
        let file: File =
            serde_path_to_error::deserialize(&mut json).map_err(|e| Faulty::from(e).to_string())?;
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
        Ok(Process {
            name: variable("RELAY_NAME").or(file.name).unwrap_or_else(|| "front".to_owned()),
            listen: address("RELAY_LISTEN", "listen", file.listen)?,
            discovery: address("RELAY_DISCOVERY", "discovery", file.discovery)?,
            seed: seed.map_err(|_| format!("seed: {digits:?} is no number of up to 16 hex digits"))?,
            memory_mb,
            sockets,
            platform: file.pipeline.address,
            news: file.pipeline.news,
            known: file.known,
            settings: Settings::read(&file.settings).map_err(|e| format!("settings: {e}"))?,
            told: file.settings,
        })
    }
}

//! The configuration of a proxy between scripted servers.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};

use super::stream::ScriptedStream;

/// How a proxy is to be started.
pub struct ProxySetup {
    /// The cached endpoint list that it starts with.
    pub cached_list: String,
    /// The rollout state that it starts with.
    pub rollout: String,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// Where the release controller answers.
    pub controller: SocketAddr,
    /// Its limit on descriptors.
    pub sockets: usize,
    /// The deployment's settings.
    pub settings: serde_json::Value,
    /// Where it listens; none: at any free address.
    pub listen: Option<SocketAddr>,
    /// Text of its features file.
    pub features: Option<String>,
}

impl ProxySetup {
    /// A setup with this list and rollout state, and these servers.
    pub fn new(
        cached_list: &str,
        rollout: String,
        discovery: &ScriptedStream,
        controller: &ScriptedStream,
    ) -> ProxySetup {
        ProxySetup {
            cached_list: cached_list.to_owned(),
            rollout,
            discovery: discovery.address,
            controller: controller.address,
            sockets: 1024,
            settings: serde_json::from_str(include_str!("../../../proxy/tests/settings.json")).expect("JSON"),
            listen: None,
            features: None,
        }
    }

    /// The configuration file's text.
    pub fn config(&self, listen: SocketAddr) -> String {
        format!(
            r#"{{"name":"n1","listen":"{listen}","discovery":"{}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":192,"sockets":{}}},
            "pipeline":{{"address":"{}","news":{}}},"known":{},"settings":{}}}"#,
            self.discovery, self.sockets, self.controller, self.rollout, self.cached_list, self.settings
        )
    }
}

static FILES: AtomicU64 = AtomicU64::new(0);

/// Writes a configuration file of its own.
pub fn config_file(text: &str) -> PathBuf {
    let number = FILES.fetch_add(1, Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("garnetcrank-{}-{number}.json", std::process::id()));
    std::fs::write(&path, text).expect("a writable folder");
    path
}

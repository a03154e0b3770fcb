//! Configuration of a proxy between scripted servers.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};

use super::stream::ScriptedStream;

/// Configuration and features file of a proxy to start.
pub struct ProxySetup {
    /// Cached endpoint list at the start, as JSON.
    pub cached_list: String,
    /// Rollout state at the start, as JSON.
    pub rollout: String,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Address of the release controller.
    pub controller: SocketAddr,
    /// Limit on descriptors (`limits.sockets`).
    pub descriptor_limit: usize,
    /// Memory limit in MiB (`limits.memory_mb`).
    pub memory_mb: u64,
    /// Settings of the deployment.
    pub settings: serde_json::Value,
    /// Address on which the proxy listens; none for any free address.
    pub listen: Option<SocketAddr>,
    /// Text of the features file; none for no such file.
    pub features: Option<String>,
}

impl ProxySetup {
    /// Creates a setup with an endpoint list, a rollout state and the servers.
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
            descriptor_limit: 1024,
            memory_mb: 192,
            settings: serde_json::from_str(include_str!("../../../proxy/tests/settings.json"))
                .expect("valid JSON"),
            listen: None,
            features: None,
        }
    }

    /// Formats the configuration file.
    pub fn config(&self, listen: SocketAddr) -> String {
        format!(
            r#"{{"name":"n1","listen":"{listen}","discovery":"{}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},
            "pipeline":{{"address":"{}","news":{}}},"known":{},"settings":{}}}"#,
            self.discovery,
            self.memory_mb,
            self.descriptor_limit,
            self.controller,
            self.rollout,
            self.cached_list,
            self.settings
        )
    }
}

static NEXT_FILE_NUMBER: AtomicU64 = AtomicU64::new(0);

/// Writes a new configuration file. Returns its path.
pub fn write_config_file(text: &str) -> PathBuf {
    let number = NEXT_FILE_NUMBER.fetch_add(1, Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("garnetcrank-{}-{number}.json", std::process::id()));
    std::fs::write(&path, text).expect("the temporary folder is writable");
    path
}

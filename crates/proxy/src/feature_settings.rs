//! Settings of optional features, in a file separate from the platform's configuration.

#[cfg(test)]
mod tests;

use std::io;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};

use garnetcrank_policy::api::{Micros, VoteMode};
use garnetcrank_settings::{Settings, SettingsError};
use serde::Deserialize;

use crate::clock::MS;
use crate::worker_id::MAX_WORKERS;

/// Allowed range of the timeout of a call to the agent, in milliseconds.
const CALL_TIMEOUT_RANGE_MS: RangeInclusive<u64> = 10..=5_000;
/// Allowed range of the agent's silence timeout, in milliseconds. The agent sends a heartbeat every 200 ms.
const SILENCE_TIMEOUT_RANGE_MS: RangeInclusive<u64> = 300..=60_000;

/// Contents of the features file. Without a file, all features are disabled.
#[derive(Debug, Default, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct FeatureSettings {
    /// Consensus of the instances on verdicts on builds; disabled if absent.
    #[serde(rename = "agreement")]
    pub(crate) consensus: Option<ConsensusSettings>,
    /// Number of worker threads; 1 if absent.
    #[serde(rename = "cores")]
    worker_count: Option<usize>,
}

/// Settings for the agent on this host.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ConsensusSettings {
    /// Local address of the agent.
    pub(crate) agent: SocketAddr,
    #[serde(rename = "wait_ms", default = "default_call_timeout_ms")]
    call_timeout_ms: u64,
    #[serde(rename = "silence_ms", default = "default_silence_timeout_ms")]
    silence_timeout_ms: u64,
}

/// Reason why the features file cannot be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FeatureSettingsError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A value in the file is not allowed.
    #[error("{}: {source}", path.display())]
    Invalid {
        /// Path of the file.
        path: PathBuf,
        /// Error in the value.
        source: InvalidFeature,
    },
}

/// Error in a value of the features file.
#[derive(Debug, thiserror::Error)]
pub(crate) enum InvalidFeature {
    /// The file is not JSON, a key is unknown, or a value has the wrong type.
    #[error("{0}")]
    Malformed(#[source] SettingsError),
    /// The number of worker threads is out of range.
    #[error("cores: {count} is out of range, must be 1 to {MAX_WORKERS}")]
    WorkerCount {
        /// The configured number.
        count: usize,
    },
    /// The platform requires the votes of several instances, but with consensus one vote is cast for all of them.
    #[error(
        "agreement: not allowed where the platform requires votes of more than one instance ({rollback_quorum} to roll back); remove this key"
    )]
    SeveralVotesNeeded {
        /// Number of votes required to roll a build back.
        rollback_quorum: u32,
    },
    /// The timeout of a call to the agent is out of range.
    #[error(
        "agreement.wait_ms: {milliseconds} is out of range, must be {} to {}",
        CALL_TIMEOUT_RANGE_MS.start(),
        CALL_TIMEOUT_RANGE_MS.end()
    )]
    CallTimeout {
        /// The configured timeout.
        milliseconds: u64,
    },
    /// The silence timeout of the agent is out of range.
    #[error(
        "agreement.silence_ms: {milliseconds} is out of range, must be {} to {}; the agent sends a heartbeat every 200 ms",
        SILENCE_TIMEOUT_RANGE_MS.start(),
        SILENCE_TIMEOUT_RANGE_MS.end()
    )]
    SilenceTimeout {
        /// The configured timeout.
        milliseconds: u64,
    },
}

fn default_call_timeout_ms() -> u64 {
    150
}

fn default_silence_timeout_ms() -> u64 {
    1_000
}

impl ConsensusSettings {
    /// Returns the timeout of a vote sent to the agent. After it, this instance casts its vote itself.
    pub(crate) fn call_timeout(&self) -> Micros {
        self.call_timeout_ms * MS
    }

    /// Returns the silence after which the agent counts as lost and this instance votes alone.
    pub(crate) fn silence_timeout(&self) -> Micros {
        self.silence_timeout_ms * MS
    }

    fn validate(&self, settings: &Settings) -> Result<(), InvalidFeature> {
        let rollout = &settings.config.rollout;
        if rollout.mode == VoteMode::InstanceCount || rollout.rollback_quorum > 1 {
            // With consensus, one vote would be cast where several are required, so no build would ever be advanced or
            // rolled back.
            return Err(InvalidFeature::SeveralVotesNeeded { rollback_quorum: rollout.rollback_quorum });
        }
        if !CALL_TIMEOUT_RANGE_MS.contains(&self.call_timeout_ms) {
            return Err(InvalidFeature::CallTimeout { milliseconds: self.call_timeout_ms });
        }
        if !SILENCE_TIMEOUT_RANGE_MS.contains(&self.silence_timeout_ms) {
            return Err(InvalidFeature::SilenceTimeout { milliseconds: self.silence_timeout_ms });
        }
        Ok(())
    }
}

impl FeatureSettings {
    /// Returns the number of worker threads.
    pub(crate) fn worker_count(&self) -> usize {
        self.worker_count.unwrap_or(1)
    }

    /// Reads a features file and checks it against the deployment's settings.
    ///
    /// # Errors
    /// Fails if the file cannot be read or a value in it is not allowed. The message names the file and the key.
    pub(crate) fn read(path: &Path, settings: &Settings) -> Result<Self, FeatureSettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| FeatureSettingsError::Unreadable { path: path.to_owned(), source })?;
        FeatureSettings::parse(&text, settings)
            .map_err(|source| FeatureSettingsError::Invalid { path: path.to_owned(), source })
    }

    fn parse(text: &str, settings: &Settings) -> Result<Self, InvalidFeature> {
        let mut json = serde_json::Deserializer::from_str(text);
        let features: FeatureSettings = serde_path_to_error::deserialize(&mut json)
            .map_err(|e| InvalidFeature::Malformed(SettingsError::from(e)))?;
        if !(1..=MAX_WORKERS).contains(&features.worker_count()) {
            return Err(InvalidFeature::WorkerCount { count: features.worker_count() });
        }
        if let Some(consensus) = &features.consensus {
            consensus.validate(settings)?;
        }
        Ok(features)
    }
}

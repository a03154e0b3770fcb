//! Features that the platform's configuration does not give, in a file of their own.

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

/// Longest waits for the agent's answer that may be configured, in milliseconds.
const CALL_TIMEOUT_RANGE_MS: RangeInclusive<u64> = 10..=5_000;
/// Silences of the agent that may be configured, in milliseconds. It sends a heartbeat every 200.
const SILENCE_TIMEOUT_RANGE_MS: RangeInclusive<u64> = 300..=60_000;

/// The whole file. Without one, everything in it is off.
#[derive(Debug, Default, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct FeatureSettings {
    /// Verdicts on builds go through the consensus of the instances.
    pub(crate) agreement: Option<ConsensusSettings>,
    /// Number of worker threads; one if it is not given.
    #[serde(rename = "cores")]
    worker_count: Option<usize>,
}

/// The agent on this host.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ConsensusSettings {
    /// Its local address.
    pub(crate) agent: SocketAddr,
    #[serde(rename = "wait_ms", default = "default_call_timeout_ms")]
    call_timeout_ms: u64,
    #[serde(rename = "silence_ms", default = "default_silence_timeout_ms")]
    silence_timeout_ms: u64,
}

/// Why the file of features can't be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FeatureSettingsError {
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A value in the file is not allowed.
    #[error("{}: {source}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The value.
        source: InvalidFeature,
    },
}

/// What is wrong with one value.
#[derive(Debug, thiserror::Error)]
pub(crate) enum InvalidFeature {
    /// The file is not JSON, a key is unknown, or a value has the wrong type.
    #[error("{0}")]
    Malformed(#[source] SettingsError),
    /// There can't be this many worker threads.
    #[error("cores: {count} is not allowed, 1 to {MAX_WORKERS} are")]
    WorkerCount {
        /// The number as given.
        count: usize,
    },
    /// The platform counts several instances' votes, and consensus would cast one for all of them.
    #[error(
        "agreement: the platform wants more than one instance's vote here ({rollback_quorum} to roll back); leave it out"
    )]
    SeveralVotesNeeded {
        /// Votes that it takes to roll a build back.
        rollback_quorum: u32,
    },
    /// The wait for the agent's answer is too short or too long.
    #[error(
        "agreement.wait_ms: {milliseconds} is not allowed, {} to {} are",
        CALL_TIMEOUT_RANGE_MS.start(),
        CALL_TIMEOUT_RANGE_MS.end()
    )]
    CallTimeout {
        /// The wait as given.
        milliseconds: u64,
    },
    /// The silence after which the agent counts as lost is too short or too long.
    #[error(
        "agreement.silence_ms: {milliseconds} is not allowed, {} to {} are; the agent sends a heartbeat every 200",
        SILENCE_TIMEOUT_RANGE_MS.start(),
        SILENCE_TIMEOUT_RANGE_MS.end()
    )]
    SilenceTimeout {
        /// The silence as given.
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
    /// Longest wait for the agent's answer to a verdict. After it, this instance casts its vote itself.
    pub(crate) fn call_timeout(&self) -> Micros {
        self.call_timeout_ms * MS
    }

    /// Silence after which the agent counts as lost and this instance votes alone.
    pub(crate) fn silence_timeout(&self) -> Micros {
        self.silence_timeout_ms * MS
    }

    fn check(&self, settings: &Settings) -> Result<(), InvalidFeature> {
        let rollout = &settings.config.rollout;
        if rollout.mode == VoteMode::Share || rollout.rollback_quorum > 1 {
            // One vote cast for all would be one of several that must stand, and no build would ever move.
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
    /// Number of worker threads.
    pub(crate) fn worker_count(&self) -> usize {
        self.worker_count.unwrap_or(1)
    }

    /// Reads and checks a file, together with the settings of the deployment.
    ///
    /// # Errors
    /// When the file can't be read, or a value in it is not allowed. The message names the file and the key.
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
        if let Some(agreement) = &features.agreement {
            agreement.check(settings)?;
        }
        Ok(features)
    }
}

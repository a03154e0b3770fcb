//! What a front is told beside the platform's file: features that this deployment does not give, in a file of their own.

use std::net::SocketAddr;
use std::path::Path;

use garnetcrank::interface::{Micros, VoteMode};
use garnetcrank_settings::{Faulty, Settings};
use serde::Deserialize;

use crate::clock::MS;
use crate::cores::CORES_MOST;

/// The whole file; without one everything in it is off.
#[derive(Debug, Default, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Extras {
    /// Verdicts go through the instances' agreement.
    pub agreement: Option<Agreement>,
    /// Threads that share the front's work; one without it.
    cores: Option<usize>,
}

/// The agent on this front's machine.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Agreement {
    /// Its local port.
    pub agent: SocketAddr,
    /// Longest wait for its answer to a verdict, in milliseconds; then the front casts by itself.
    #[serde(default = "wait_ms")]
    wait_ms: u64,
    /// Silence after which the front goes on alone, in milliseconds.
    #[serde(default = "silence_ms")]
    silence_ms: u64,
}

fn wait_ms() -> u64 {
    150
}

fn silence_ms() -> u64 {
    1_000
}

impl Agreement {
    /// Longest wait for an answer.
    pub fn wait(&self) -> Micros {
        self.wait_ms * MS
    }

    /// Silence after which the agent counts as gone.
    pub fn silence(&self) -> Micros {
        self.silence_ms * MS
    }
}

impl Extras {
    /// Threads that share the front's work.
    pub fn cores(&self) -> usize {
        self.cores.unwrap_or(1)
    }

    /// Reads and checks a file. The message of an error names the key.
    pub fn read(path: &Path, settings: &Settings) -> Result<Self, String> {
        let at = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
        let text = std::fs::read_to_string(path).map_err(|e| at(&e))?;
        Extras::parse(&text, settings).map_err(|e| at(&e))
    }

    fn parse(text: &str, settings: &Settings) -> Result<Self, String> {
        let mut json = serde_json::Deserializer::from_str(text);
        let extras: Extras =
            serde_path_to_error::deserialize(&mut json).map_err(|e| Faulty::from(e).to_string())?;
        if !(1..=CORES_MOST).contains(&extras.cores()) {
            return Err(format!("cores: 1 to {CORES_MOST} is wanted"));
        }
        let Some(agreement) = &extras.agreement else { return Ok(extras) };
        let rollout = &settings.config.rollout;
        if rollout.mode == VoteMode::Share || rollout.back_votes > 1 {
            // One vote cast for all would be one of several that must stand, and no build would ever move.
            return Err(format!(
                "agreement: the platform wants more than one instance's vote here ({} to go back); leave it out",
                rollout.back_votes
            ));
        }
        if !(10..=5_000).contains(&agreement.wait_ms) {
            return Err("agreement.wait_ms: 10 to 5000 is wanted".to_owned());
        }
        if !(300..=60_000).contains(&agreement.silence_ms) {
            return Err("agreement.silence_ms: 300 to 60000 is wanted, the agent speaks every 200".to_owned());
        }
        Ok(extras)
    }
}

#[cfg(test)]
mod tests;

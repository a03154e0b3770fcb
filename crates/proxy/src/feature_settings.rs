//! What a front is told beside the platform's file: features that this deployment does not give, in a file of their own.

use std::net::SocketAddr;
use std::path::Path;

use garnetcrank_policy::api::{Micros, VoteMode};
use garnetcrank_settings::{Faulty, Settings};
use serde::Deserialize;

use crate::clock::MS;
use crate::worker_id::MAX_WORKERS;

/// The whole file; without one everything in it is off.
#[derive(Debug, Default, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FeatureSettings {
    /// Verdicts go through the instances' agreement.
    pub agreement: Option<ConsensusSettings>,
    /// Threads that share the front's work; one without it.
    #[serde(rename = "cores")]
    worker_count: Option<usize>,
}

/// The agent on this front's machine.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConsensusSettings {
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

impl ConsensusSettings {
    /// Longest wait for an answer.
    pub fn call_timeout(&self) -> Micros {
        self.wait_ms * MS
    }

    /// Silence after which the agent counts as gone.
    pub fn silence_timeout(&self) -> Micros {
        self.silence_ms * MS
    }
}

impl FeatureSettings {
    /// Threads that share the front's work.
    pub fn worker_count(&self) -> usize {
        self.worker_count.unwrap_or(1)
    }

    /// Reads and checks a file. The message of an error names the key.
    pub fn read(path: &Path, settings: &Settings) -> Result<Self, String> {
        let at = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
        let text = std::fs::read_to_string(path).map_err(|e| at(&e))?;
        FeatureSettings::parse(&text, settings).map_err(|e| at(&e))
    }

    fn parse(text: &str, settings: &Settings) -> Result<Self, String> {
        let mut json = serde_json::Deserializer::from_str(text);
        let extras: FeatureSettings =
            serde_path_to_error::deserialize(&mut json).map_err(|e| Faulty::from(e).to_string())?;
        if !(1..=MAX_WORKERS).contains(&extras.worker_count()) {
            return Err(format!("cores: 1 to {MAX_WORKERS} is wanted"));
        }
        let Some(agreement) = &extras.agreement else { return Ok(extras) };
        let rollout = &settings.config.rollout;
        if rollout.mode == VoteMode::Share || rollout.rollback_quorum > 1 {
            // One vote cast for all would be one of several that must stand, and no build would ever move.
            return Err(format!(
                "agreement: the platform wants more than one instance's vote here ({} to go back); leave it out",
                rollout.rollback_quorum
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
mod tests {
    use super::*;

    fn settings(back_votes: u32) -> Settings {
        let mut value: serde_json::Value =
            serde_json::from_str(include_str!("../tests/settings.json")).expect("JSON");
        value["specifics"]["backVotes"] = back_votes.into();
        Settings::read(&value).expect("settings")
    }

    #[test]
    fn a_fault_names_its_key_and_one_vote_must_be_enough() {
        let parse = |text: &str| FeatureSettings::parse(text, &settings(1));
        assert_eq!(parse("{}"), Ok(FeatureSettings::default()));
        let whole = parse(r#"{"agreement":{"agent":"127.0.0.1:7101"}}"#).expect("whole");
        assert_eq!(
            whole.agreement.map(|a| (a.call_timeout(), a.silence_timeout())),
            Some((150 * MS, 1_000 * MS))
        );
        let fault = |text: &str| parse(text).expect_err("a fault");
        assert!(fault(r#"{"agrement":{}}"#).contains("agrement"));
        assert!(fault(r#"{"cores":0}"#).contains("cores") && fault(r#"{"cores":99}"#).contains("cores"));
        assert!(fault(r#"{"agreement":{"agent":"here"}}"#).contains("agreement.agent"));
        assert!(
            fault(r#"{"agreement":{"agent":"127.0.0.1:7101","wait_ms":1}}"#).contains("agreement.wait_ms")
        );
        let many = FeatureSettings::parse(r#"{"agreement":{"agent":"127.0.0.1:7101"}}"#, &settings(2));
        assert!(many.expect_err("a fault").contains("more than one"));
    }
}

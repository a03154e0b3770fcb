//! JSON messages between a proxy and the release controller: rollout states, events and votes.

use garnetcrank_policy::api::{Build, Micros, RolloutPhase, RolloutStatus, Verdict};
use garnetcrank_vote_router::Vote;
use serde::{Deserialize, Serialize};

use crate::clock::MS;

/// Rollout state of the newest build, as the release controller sends it.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
pub(crate) struct RolloutState {
    #[serde(rename = "release")]
    pub(super) build: u32,
    #[serde(rename = "tranche")]
    pub(super) stage: usize,
    pub(super) mode: Mode,
    /// Maximum exposure, 0 to 1.
    pub(super) exposure: f64,
    /// Age of the state, in milliseconds.
    #[serde(rename = "old_ms")]
    pub(super) age_ms: f64,
}

/// Phase of the newest build, in the order in which a build can pass through them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub(super) enum Mode {
    InProgress,
    Complete,
    RollingBack,
    RolledBack,
}

/// Progress of a rollout; defines the order of rollout states. Builds are released in the order of their numbers, and
/// each passes through its phases and stages in one order only.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Progress {
    build: u32,
    mode: Mode,
    stage: usize,
}

impl RolloutState {
    /// Converts the state to the policy's type.
    pub(super) fn status(&self) -> RolloutStatus {
        RolloutStatus {
            build: Build(self.build),
            stage: self.stage,
            phase: match self.mode {
                Mode::InProgress => RolloutPhase::OnTrial,
                Mode::Complete => RolloutPhase::Released,
                Mode::RollingBack => RolloutPhase::RollingBack,
                Mode::RolledBack => RolloutPhase::Withdrawn,
            },
            exposure_cap: self.exposure,
            age: self.age(),
        }
    }

    /// Returns the time since the state began.
    pub(super) fn age(&self) -> Micros {
        (self.age_ms.max(0.0) * MS as f64) as Micros
    }

    /// Returns the progress of the rollout.
    pub(super) fn progress(&self) -> Progress {
        let stage = if self.mode == Mode::InProgress { self.stage } else { 0 };
        Progress { build: self.build, mode: self.mode, stage }
    }
}

/// Body of `POST /votes`.
#[derive(Serialize)]
pub(super) struct VoteRequest {
    #[serde(rename = "release")]
    build: u32,
    #[serde(rename = "tranche")]
    stage: usize,
    #[serde(rename = "ruling")]
    verdict: &'static str,
}

impl From<Vote> for VoteRequest {
    fn from(vote: Vote) -> Self {
        let verdict = match vote.verdict {
            Verdict::Abstain => "WITHDRAW",
            Verdict::Advance => "PROCEED",
            Verdict::Hold => "HOLD",
            Verdict::RollBack => "ROLLBACK",
        };
        VoteRequest { build: vote.build.0, stage: vote.stage, verdict }
    }
}

/// Line of the response to `GET /events`. A line without a type is a heartbeat.
#[derive(Deserialize)]
pub(super) struct EventLine {
    #[serde(rename = "type")]
    pub(super) kind: Option<String>,
    pub(super) object: Option<serde_json::Value>,
}

/// Type of the event that carries a [`RolloutState`].
pub(super) const PROGRESS_EVENT: &str = "progress";

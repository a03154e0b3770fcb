//! The release of builds, and the votes of instances on them.

use super::{Build, Micros};

/// Condition on which a build advances to the next stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum VoteMode {
    /// A single vote to advance.
    #[default]
    Any,
    /// Votes to advance from a number of instances.
    InstanceCount,
    /// The end of the stage's duration, whose clock votes can hold.
    Timer,
}

/// Way in which endpoints are replaced by those of a build on trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ReplacementMode {
    /// The earlier endpoints remain until the release.
    #[default]
    SideBySide,
    /// Each earlier endpoint is drained once its successor runs.
    InPlace,
}

/// Settings of the release controller's rollouts and of the votes on them.
#[derive(Debug, Clone, Default)]
pub struct Rollout {
    /// Condition on which a build advances to the next stage.
    pub mode: VoteMode,
    /// How endpoints are replaced.
    pub replacement: ReplacementMode,
    /// Fraction of the fleet at each stage, 0 to 1.
    pub stages: Vec<f64>,
    /// Exposure cap at each stage, 0 to 1.
    pub exposure_caps: Vec<f64>,
    /// Window over which exposure is counted.
    pub exposure_window: Micros,
    /// Number of attempts in each window that are allowed in addition to the cap.
    pub exposure_allowance: f64,
    /// Whether exposure is counted for each class separately.
    pub exposure_by_class: bool,
    /// Number of initial stages in which only idempotent classes may go to the build on trial.
    pub guarded_stages: usize,
    /// Whether a key that the build on trial has served must not go to an earlier build.
    pub forward_only_keys: bool,
    /// How long a vote is valid.
    pub vote_ttl: Micros,
    /// Time-out of the response to a vote.
    pub vote_timeout: Micros,
    /// Number of instances whose votes must be valid at the same time to roll a build back.
    pub rollback_quorum: u32,
    /// Rate limit of the release controller in votes per second, over all instances.
    pub votes_per_s: f64,
    /// Duration of a stage under [`VoteMode::Timer`].
    pub stage_duration: Micros,
    /// Price of serving all traffic from an old build.
    pub delay_price: f64,
    /// Price of wrong responses and of failed effects.
    pub harm_price: f64,
}

/// Phase of a build's release.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutPhase {
    /// On trial.
    OnTrial,
    /// Being rolled back.
    RollingBack,
    /// Released.
    Released,
    /// Taken out of service.
    Withdrawn,
}

impl RolloutPhase {
    /// Returns whether the build is on trial or released, so that it may serve requests.
    pub fn is_active(self) -> bool {
        matches!(self, RolloutPhase::OnTrial | RolloutPhase::Released)
    }
}

/// Status of the newest build at the release controller.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RolloutStatus {
    /// The newest build.
    pub build: Build,
    /// Its stage, from 0.
    pub stage: usize,
    /// Its phase.
    pub phase: RolloutPhase,
    /// Cap on its exposure, 0 to 1.
    pub exposure_cap: f64,
    /// Time since this status took effect.
    pub age: Micros,
}

/// Response of the release controller to a vote.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VoteResult {
    /// Accepted: the vote counts.
    Counted,
    /// Rejected: not the current build or stage, or a verdict that does not apply here.
    Obsolete,
    /// Rejected: the release controller accepts no more votes at the moment.
    RateLimited,
    /// An error: the vote does not count.
    Failed,
    /// No response: the vote may count.
    Unknown,
}

/// Verdict of a vote on a build.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Advance to the next stage.
    Advance,
    /// Hold the stage's clock.
    Hold,
    /// Roll the build back.
    RollBack,
    /// Withdraw the instance's earlier vote.
    Abstain,
}

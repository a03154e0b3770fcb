//! How builds are released, and how instances vote on them.

use super::{Build, Micros};

/// How votes move a build.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum VoteMode {
    /// One vote to advance is enough.
    #[default]
    Any,
    /// A number of instances must vote to advance.
    Share,
    /// The stage advances by itself; votes can hold its clock.
    Timer,
}

/// Whether earlier endpoints remain while their successors are on trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ReplacementMode {
    /// They stay until the release.
    #[default]
    SideBySide,
    /// Each is drained once its successor runs.
    InPlace,
}

/// How the release controller introduces builds, and what the votes do.
#[derive(Debug, Clone, Default)]
pub struct Rollout {
    /// How votes move a build.
    pub mode: VoteMode,
    /// How endpoints are replaced.
    pub replacement: ReplacementMode,
    /// Share of the fleet at each stage, 0 to 1.
    pub stages: Vec<f64>,
    /// Exposure cap at each stage, 0 to 1.
    pub exposure_caps: Vec<f64>,
    /// Window over which exposure is counted.
    pub exposure_window: Micros,
    /// Attempts in each window that the cap does not count.
    pub exposure_allowance: f64,
    /// Exposure counts for each class by itself.
    pub exposure_by_class: bool,
    /// Number of first stages in which only idempotent classes may go to the build on trial.
    pub guarded_stages: usize,
    /// A key answered by the build on trial goes to no earlier one.
    pub forward_only_keys: bool,
    /// How long a vote is valid.
    pub vote_ttl: Micros,
    /// Longest wait for the answer to a vote.
    pub vote_timeout: Micros,
    /// Instances whose votes must be valid together to roll a build back.
    pub rollback_quorum: u32,
    /// Votes a second that the release controller takes from all instances.
    pub votes_per_s: f64,
    /// How long a stage lasts under [`VoteMode::Timer`].
    pub stage_duration: Micros,
    /// Price of serving everything by an old build.
    pub delay_price: f64,
    /// Price of wrong answers and of failed effects.
    pub harm_price: f64,
}

/// Phase of a build's release.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutPhase {
    /// It is on trial.
    OnTrial,
    /// It is being rolled back.
    RollingBack,
    /// It is released.
    Released,
    /// It has been taken out of service.
    Withdrawn,
}

impl RolloutPhase {
    /// Whether the build serves or may come to: neither being rolled back nor withdrawn.
    pub fn is_active(self) -> bool {
        matches!(self, RolloutPhase::OnTrial | RolloutPhase::Released)
    }
}

/// What the release controller says of the newest build.
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
    /// Time since this status began.
    pub age: Micros,
}

/// The release controller's answer to a vote.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VoteResult {
    /// It counts.
    Counted,
    /// Not the present build or stage, or no such verdict here.
    Obsolete,
    /// The release controller takes no more votes just now.
    RateLimited,
    /// An error: it does not count.
    Failed,
    /// No answer: it may count.
    Unknown,
}

/// What a vote says of a build.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Go on to the next stage.
    Advance,
    /// Hold the stage's clock.
    Hold,
    /// Roll the build back.
    RollBack,
    /// Withdraw this instance's vote.
    Abstain,
}

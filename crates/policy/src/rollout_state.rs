//! The release controller's status of the newest build, as this instance last received it.

use crate::api::{Build, Micros, RolloutPhase, RolloutStatus};
use crate::engine::Policy;

/// Shares of the fleet at which withholding a build can show its effect.
const EXPOSURE_RANGE: std::ops::Range<f64> = 0.1..0.5;

/// The status of the newest build.
#[derive(Default)]
pub(crate) struct RolloutState {
    status: Option<RolloutStatus>,
    /// When the build, its stage or its phase last changed.
    pub(crate) changed_at: Micros,
}

impl RolloutState {
    pub(crate) fn status(&self) -> Option<&RolloutStatus> {
        self.status.as_ref()
    }

    /// The status, if the newest build serves or may come to.
    pub(crate) fn active_status(&self) -> Option<RolloutStatus> {
        self.status.filter(|status| status.phase.is_active())
    }

    /// The newest build, if the release controller says that it is on trial.
    pub(crate) fn build_on_trial(&self) -> Option<Build> {
        let status = self.status.filter(|status| status.phase == RolloutPhase::OnTrial);
        status.map(|status| status.build)
    }
}

impl Policy {
    pub(crate) fn on_rollout_updated(&mut self, status: RolloutStatus) {
        let before = self.rollout.status.replace(status);
        self.build_record(status.build);
        let same_state =
            |b: &RolloutStatus| b.build == status.build && b.stage == status.stage && b.phase == status.phase;
        if !before.as_ref().is_some_and(same_state) {
            self.rollout.changed_at = self.now;
            self.log_shared_event(|| {
                format!("build {} stage {}: {:?}", status.build.0, status.stage, status.phase)
            });
        }
        self.exposure.on_status_changed(self.now, self.config.drain_grace, before, &status);
    }

    /// Whether a build is on trial for this instance: the newest until it is said to be released, and any
    /// later one.
    pub(crate) fn is_on_trial(&self, build: Build) -> bool {
        match self.rollout.status {
            Some(status) => {
                let newest = build == status.build && status.phase != RolloutPhase::Released;
                build > status.build || newest
            }
            None => self.builds.keys().next().is_some_and(|first| build > *first),
        }
    }

    /// Whether the newest build's stage is the last one; also while no build is known.
    pub(crate) fn is_last_stage(&self) -> bool {
        let stages = self.config.rollout.stages.len();
        self.rollout.status.is_none_or(|status| status.stage + 1 >= stages)
    }

    /// Whether the newest build has such a share of the fleet that withholding it can show its effect.
    pub(crate) fn in_exposure_range(&self) -> bool {
        let Some(status) = &self.rollout.status else { return false };
        let share = self.config.rollout.stages.get(status.stage);
        share.is_some_and(|share| EXPOSURE_RANGE.contains(share))
    }
}

//! The release controller's status of the newest build, as this instance last received it.

use crate::api::{Build, Micros, RolloutPhase, RolloutStatus};
use crate::engine::Policy;

/// Shares of the fleet at which withholding a build has a measurable effect on latency.
const TESTABLE_FLEET_SHARES: std::ops::Range<f64> = 0.1..0.5;

/// Last received status of the newest build.
#[derive(Default)]
pub(crate) struct RolloutState {
    status: Option<RolloutStatus>,
    /// Time of the last change of the newest build, its stage or its phase.
    pub(crate) changed_at: Micros,
}

impl RolloutState {
    pub(crate) fn status(&self) -> Option<&RolloutStatus> {
        self.status.as_ref()
    }

    /// Returns the status, unless the newest build is being rolled back or has been withdrawn.
    pub(crate) fn active_status(&self) -> Option<RolloutStatus> {
        self.status.filter(|status| status.phase.is_active())
    }

    /// Returns the newest build if the release controller reports it as on trial.
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

    /// Returns whether this instance treats a build as on trial. That holds for the newest build until the
    /// release controller reports it as released, and for any build newer than that. Before the first status,
    /// every known build but the oldest counts as on trial.
    pub(crate) fn is_on_trial(&self, build: Build) -> bool {
        match self.rollout.status {
            Some(status) => {
                let newest = build == status.build && status.phase != RolloutPhase::Released;
                build > status.build || newest
            }
            None => self.builds.keys().next().is_some_and(|first| build > *first),
        }
    }

    /// Returns whether the newest build is at the last stage; true before the first status.
    pub(crate) fn is_last_stage(&self) -> bool {
        let stages = self.config.rollout.stages.len();
        self.rollout.status.is_none_or(|status| status.stage + 1 >= stages)
    }

    /// Returns whether the newest build's share of the fleet is in [`TESTABLE_FLEET_SHARES`].
    pub(crate) fn has_testable_fleet_share(&self) -> bool {
        let Some(status) = &self.rollout.status else { return false };
        let share = self.config.rollout.stages.get(status.stage);
        share.is_some_and(|share| TESTABLE_FLEET_SHARES.contains(share))
    }
}

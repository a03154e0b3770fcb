//! Exposure: limits on the traffic to builds on trial, and on the routing of idempotency keys they answered.

use std::collections::BTreeMap;

use crate::api::{Build, ClassId, Config, Idempotency, KeyId, Micros, RolloutStatus};
use crate::engine::Policy;
use crate::window::{Expiry, SlidingWindow};

/// Counts and idempotency keys for limiting the exposure of builds on trial.
pub(crate) struct Exposure {
    /// Requests received within the exposure window.
    pub(crate) requests: SlidingWindow,
    /// Time at which the counts of requests and attempts are reset, after the cap was lowered.
    reset_at: Option<Micros>,
    /// Idempotency keys that a build on trial has answered, with that build.
    answered_keys: BTreeMap<KeyId, Build>,
}

impl Exposure {
    pub(crate) fn new(config: &Config) -> Self {
        // Requests are counted over a window shortened by the event resolution, attempts over one
        // lengthened by it, so that rounding never lets this instance exceed the cap.
        let span = config.rollout.exposure_window.saturating_sub(config.resolution);
        Exposure {
            requests: SlidingWindow::new(span, Expiry::Early, config.classes.len()),
            reset_at: None,
            answered_keys: BTreeMap::new(),
        }
    }

    pub(crate) fn bind_idempotency_key(&mut self, key: KeyId, build: Build) {
        self.answered_keys.insert(key, build);
    }

    /// Schedules a reset of the counts after the drain grace if the cap of the same build was lowered. A
    /// higher cap or another build cancels it.
    pub(crate) fn on_status_changed(
        &mut self,
        now: Micros,
        drain_grace: Micros,
        previous: Option<RolloutStatus>,
        current: &RolloutStatus,
    ) {
        let previous_cap =
            previous.filter(|status| status.build == current.build).map(|status| status.exposure_cap);
        self.reset_at = match previous_cap {
            Some(cap) if current.exposure_cap < cap => Some(now + drain_grace),
            Some(cap) if current.exposure_cap == cap => self.reset_at,
            _ => None,
        };
    }

    /// Returns whether the counts are due to be reset; true once for each scheduled reset.
    fn take_due_reset(&mut self, now: Micros) -> bool {
        let due = self.reset_at.is_some_and(|at| now >= at);
        if due {
            self.reset_at = None;
        }
        due
    }
}

/// Stage of a build on trial.
struct TrialStage {
    stage: usize,
    /// Cap on the build's exposure, 0 to 1.
    cap: f64,
}

impl Policy {
    /// Returns whether the exposure limits allow one more attempt at a build.
    ///
    /// Attempts at a build on trial may not exceed the allowance plus the cap times the requests received,
    /// over the window that ends now; both are counted per class where so configured. No attempt is allowed
    /// at a cap of 0, nor for a class that is not idempotent in a guarded stage.
    pub(crate) fn exposure_allows_attempt(&mut self, build: Build, class: ClassId) -> bool {
        if !self.is_on_trial(build) {
            return true;
        }
        let now = self.now;
        if self.exposure.take_due_reset(now) {
            self.reset_exposure_counts();
        }
        let TrialStage { stage, cap } = self.trial_stage(build);
        let rollout = &self.config.rollout;
        let is_idempotent = self.config.classes[class.0].idempotency == Idempotency::Idempotent;
        let guarded = stage < rollout.guarded_stages && !is_idempotent;
        if cap <= 0.0 || guarded {
            return false;
        }
        let counted_class = rollout.exposure_by_class.then_some(class);
        let max_attempts =
            rollout.exposure_allowance + cap * self.exposure.requests.count(now, counted_class);
        self.build_record(build).attempts.count(now, counted_class) + 1.0 <= max_attempts
    }

    /// Returns the stage and cap of a build on trial. One that the release controller has not reported yet is
    /// at the first stage.
    fn trial_stage(&self, build: Build) -> TrialStage {
        match self.rollout.status() {
            Some(status) if status.build == build => {
                TrialStage { stage: status.stage, cap: status.exposure_cap }
            }
            _ => {
                let cap = self.config.rollout.exposure_caps.first().copied().unwrap_or(0.0);
                TrialStage { stage: 0, cap }
            }
        }
    }

    fn reset_exposure_counts(&mut self) {
        self.exposure.requests.clear();
        for record in self.builds.values_mut() {
            record.attempts.clear();
        }
    }

    /// Returns whether a request with this idempotency key may go to a build. If keys are forward-only, one
    /// that the newest build answered on trial goes to no earlier build, unless the newest is being rolled
    /// back or has been withdrawn.
    pub(crate) fn key_allows_build(&self, key: Option<KeyId>, build: Build) -> bool {
        let Some(answered_by) = key.and_then(|key| self.exposure.answered_keys.get(&key)) else {
            return true;
        };
        let binds = self.rollout.active_status().is_some_and(|status| status.build == *answered_by);
        build >= *answered_by || !binds
    }
}

//! Exposure: caps on the traffic of builds on trial, and where their keys may go.

use std::collections::BTreeMap;

use crate::api::{Build, ClassId, Config, Idempotency, KeyId, Micros, RolloutStatus};
use crate::engine::Policy;
use crate::window::SlidingWindow;

/// What the exposure of builds on trial is counted by.
pub(crate) struct Exposure {
    /// Requests taken in the exposure window.
    pub(crate) requests: SlidingWindow,
    /// When requests and attempts are counted anew, after a lower cap.
    recount_at: Option<Micros>,
    /// The build on trial that answered a key.
    answered_keys: BTreeMap<KeyId, Build>,
}

impl Exposure {
    pub(crate) fn new(config: &Config) -> Self {
        // A tick short, as attempts are counted a tick long: rounding never favours this instance.
        let span = config.rollout.exposure_window.saturating_sub(config.resolution);
        Exposure {
            requests: SlidingWindow::new(span, config.classes.len()),
            recount_at: None,
            answered_keys: BTreeMap::new(),
        }
    }

    pub(crate) fn bind_key(&mut self, key: KeyId, build: Build) {
        self.answered_keys.insert(key, build);
    }

    /// A lower cap of the same build counts anew after the grace.
    pub(crate) fn on_status_changed(
        &mut self,
        now: Micros,
        drain_grace: Micros,
        before: Option<RolloutStatus>,
        after: &RolloutStatus,
    ) {
        let cap_before = before.filter(|b| b.build == after.build).map(|b| b.exposure_cap);
        self.recount_at = match cap_before {
            Some(cap) if after.exposure_cap < cap => Some(now + drain_grace),
            Some(cap) if after.exposure_cap == cap => self.recount_at,
            _ => None,
        };
    }

    /// Whether to count anew now; true once.
    fn take_recount(&mut self, now: Micros) -> bool {
        let due = self.recount_at.is_some_and(|at| now >= at);
        if due {
            self.recount_at = None;
        }
        due
    }
}

/// The stage of a build on trial and its cap on exposure, 0 to 1.
struct TrialStage {
    stage: usize,
    cap: f64,
}

impl Policy {
    /// Whether exposure allows one more attempt at a build. Attempts at a build on trial stay within the
    /// allowance plus the cap times the requests taken, over the window that ends now; by class where so
    /// counted; none at cap 0.
    pub(crate) fn exposure_allows(&mut self, build: Build, class: ClassId) -> bool {
        if !self.is_on_trial(build) {
            return true;
        }
        let now = self.now;
        if self.exposure.take_recount(now) {
            self.clear_exposure_counts();
        }
        let TrialStage { stage, cap } = self.trial_stage(build);
        let rollout = &self.config.rollout;
        let safe = self.config.classes[class.0].idempotency == Idempotency::Idempotent;
        let guarded = stage < rollout.guarded_stages && !safe;
        if cap <= 0.0 || guarded {
            return false;
        }
        let counted = rollout.exposure_by_class.then_some(class);
        let allowed = rollout.exposure_allowance + cap * self.exposure.requests.count(now, counted);
        self.build_record(build).attempts.count(now, counted) + 1.0 <= allowed
    }

    /// A build on trial that the release controller has not named yet is in the first stage.
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

    fn clear_exposure_counts(&mut self) {
        self.exposure.requests.clear();
        for record in self.builds.values_mut() {
            record.attempts.clear();
        }
    }

    /// A key that the build on trial has answered goes to no earlier build, where the settings say so.
    pub(crate) fn key_allows(&self, key: Option<KeyId>, build: Build) -> bool {
        let Some(answered_by) = key.and_then(|key| self.exposure.answered_keys.get(&key)) else {
            return true;
        };
        let binds = self.rollout.active_status().is_some_and(|status| status.build == *answered_by);
        build >= *answered_by || !binds
    }
}

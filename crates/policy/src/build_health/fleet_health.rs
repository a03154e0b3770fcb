//! Detection of builds that slow all endpoints of the fleet, whichever build these run.
//!
//! A comparison of the build's latency with the earlier build's shows no difference in that case. Instead the
//! build is withheld for a while: if the slowdown ends, and returns with the build, the build causes it.

use super::samples::{EndpointValue, SampleSummary};
use super::{
    Assessment, BuildRecord, MAX_COMPARISON_AGE, MIN_OUTCOMES, MIN_SAMPLE_DEVIATION, RECENT_OUTCOMES,
    SUSTAINED_FAILURE_TIME,
};
use crate::api::{EndpointId, Micros, RolloutPhase, RolloutStatus};
use crate::engine::Policy;
use crate::units::MILLISECOND;

/// Time until the fleet's latency reflects that a build is withheld or used again.
const SETTLING_TIME: Micros = 1_500 * MILLISECOND;
/// Slowdown of the fleet (natural logarithm) that must be exceeded, with confidence, to suspect the build.
const MIN_FLEET_SLOWDOWN: f64 = 0.4;
/// Fraction of the slowdown that must end while a build is withheld, and return with it, to blame the build.
const BLAME_FRACTION: f64 = 0.33;

/// Suspicion that a build slows all endpoints, with the samples of its test.
pub(crate) struct FleetSuspicion {
    pub(super) since: Micros,
    /// Slowdown of the fleet when the suspicion arose (natural logarithm).
    slowdown: f64,
    /// Slowdowns of attempts at earlier builds that were sent while the build was withheld.
    while_withheld: Vec<EndpointValue>,
    /// Slowdowns of attempts at earlier builds that were sent once the build was used again.
    after_return: Vec<EndpointValue>,
}

impl FleetSuspicion {
    fn new(since: Micros, slowdown: f64) -> Self {
        FleetSuspicion { since, slowdown, while_withheld: Vec::new(), after_return: Vec::new() }
    }

    /// Returns whether the build gets no traffic at `now`, which is the first part of the test.
    pub(super) fn is_withheld(&self, now: Micros) -> bool {
        now < self.since + SUSTAINED_FAILURE_TIME
    }

    /// Adds the slowdown of an attempt at an earlier build, unless it was sent while the fleet was settling.
    pub(crate) fn add(&mut self, sent_at: Micros, endpoint: EndpointId, slowdown: f64) {
        let age = sent_at.saturating_sub(self.since);
        if age % SUSTAINED_FAILURE_TIME < SETTLING_TIME {
            return;
        }
        let samples =
            if age < SUSTAINED_FAILURE_TIME { &mut self.while_withheld } else { &mut self.after_return };
        samples.push(EndpointValue { endpoint, value: slowdown });
    }

    /// Returns whether the slowdown ended while the build was withheld.
    fn slowdown_ended(&self, min_samples: usize) -> bool {
        let without = SampleSummary::of(&self.while_withheld);
        without.count >= min_samples && self.slowdown - without.mean > BLAME_FRACTION * self.slowdown
    }

    /// Returns whether the slowdown returned with the build, given a confidence margin in standard errors.
    fn slowdown_returned(&self, min_samples: usize, margin: f64) -> bool {
        let without = SampleSummary::of(&self.while_withheld);
        let with = SampleSummary::of(&self.after_return);
        let standard_error =
            with.standard_error(MIN_SAMPLE_DEVIATION).hypot(without.standard_error(MIN_SAMPLE_DEVIATION));
        let min_rise = (BLAME_FRACTION * self.slowdown).max(margin * standard_error);
        with.count >= min_samples && with.mean - without.mean > min_rise
    }
}

/// Latency of the fleet relative to its baseline, during a trial.
struct FleetLatency {
    /// Whether there are enough samples.
    known: bool,
    /// Mean slowdown (natural logarithm).
    mean: f64,
    /// Lower confidence bound of the mean.
    lower_bound: f64,
}

impl FleetLatency {
    /// Returns whether the slowdown exceeds `allowed` by more than [`MIN_FLEET_SLOWDOWN`], with confidence.
    fn exceeds(&self, allowed: f64) -> bool {
        self.known && self.lower_bound - allowed > MIN_FLEET_SLOWDOWN
    }
}

/// State of the test of a suspected build.
enum TestResult {
    Running,
    Blamed,
    /// The test is inconclusive: the build is no longer suspected, and can be again.
    Inconclusive,
    Cleared,
}

impl Policy {
    /// Assesses a build by its effect on the earlier build's endpoints.
    ///
    /// Once these are much slower than before the trial, with confidence, the stage's clock is held and the
    /// build is withheld for 3 s. If the slowdown ends, and returns with the build, the build is blamed. All
    /// instances see the slowdown at about the same time, so that they withhold the build together. This
    /// detects a build that slows old and new endpoints alike. The cost is that a good build may be held, and
    /// that a fault which happens to coincide with the test is blamed on it.
    ///
    /// The stage can change during the test, because statuses and holds take time to arrive. The build is
    /// then no longer withheld, and is blamed if old and new endpoints are still slow 3 s after the suspicion
    /// arose. The cost is that a fault which arose at the same time is blamed on the build.
    pub(super) fn assess_fleet(&mut self, status: RolloutStatus) -> Assessment {
        let fleet = self.fleet_latency(&status);
        self.record_baseline_slowdown(&status, &fleet);
        let on_trial = status.phase == RolloutPhase::OnTrial;
        let suspicion = self.builds.get(&status.build).and_then(|record| record.suspicion.as_ref());
        let Some(suspicion) = suspicion.filter(|_| on_trial) else {
            self.suspect_if_fleet_is_slower(&status, &fleet);
            return Assessment::Inconclusive;
        };
        let result = self.test_result(suspicion, &fleet);
        let record = self.build_record(status.build);
        match result {
            TestResult::Running => {}
            TestResult::Blamed => return Assessment::Fail,
            TestResult::Inconclusive => record.suspicion = None,
            TestResult::Cleared => {
                record.suspicion = None;
                record.cleared_at_stage = Some(status.stage);
                self.log(format!("build {} cleared of slowing all endpoints", status.build.0));
            }
        }
        Assessment::Inconclusive
    }

    /// Returns the latency of the earlier build's endpoints. Where the build's share of the fleet is not
    /// testable, its own endpoints are included.
    fn fleet_latency(&self, status: &RolloutStatus) -> FleetLatency {
        let mut slowdowns = Vec::new();
        if status.phase == RolloutPhase::OnTrial {
            slowdowns = self.recent_slowdowns(self.earlier_record(status.build));
            if !self.has_testable_fleet_share() {
                slowdowns.extend(self.recent_slowdowns(self.builds.get(&status.build)));
            }
        }
        let summary = SampleSummary::of(&slowdowns);
        let margin = self.confidence_margin() * summary.standard_error(MIN_SAMPLE_DEVIATION);
        FleetLatency {
            known: summary.count >= self.min_samples(RECENT_OUTCOMES).max(MIN_OUTCOMES),
            mean: summary.mean,
            lower_bound: summary.mean - margin,
        }
    }

    fn recent_slowdowns(&self, record: Option<&BuildRecord>) -> Vec<EndpointValue> {
        let Some(record) = record else { return Vec::new() };
        let recent =
            record.samples.iter().filter(|sample| sample.recorded_at + MAX_COMPARISON_AGE > self.now);
        let slowdowns =
            recent.filter_map(|s| Some(EndpointValue { endpoint: s.endpoint, value: s.slowdown? }));
        slowdowns.collect()
    }

    /// Records the fleet's slowdown while the build's share is too small to cause it. Otherwise, if a bad
    /// build has been released and slows all endpoints, its successor would be held for that. The slowdown
    /// may also come from a fault that began with the build's first endpoints; it then hides as much of the
    /// build's own effect.
    fn record_baseline_slowdown(&mut self, status: &RolloutStatus, fleet: &FleetLatency) {
        let has_negligible_share = status.stage == 0 && !self.has_testable_fleet_share();
        let record = self.build_record(status.build);
        if fleet.known && status.phase == RolloutPhase::OnTrial && has_negligible_share {
            record.baseline_slowdown = fleet.mean.max(0.0);
        }
    }

    fn suspect_if_fleet_is_slower(&mut self, status: &RolloutStatus, fleet: &FleetLatency) {
        let now = self.now;
        let endpoints_changed_at = self.endpoints.changed_at;
        // The endpoints have changed since the stage did, and the fleet's latency has settled since then.
        let settled =
            endpoints_changed_at > self.rollout.changed_at && now > endpoints_changed_at + SETTLING_TIME;
        let can_test = self.has_testable_fleet_share() && settled;
        let record = self.build_record(status.build);
        let cleared = record.cleared_at_stage == Some(status.stage);
        if can_test && !cleared && fleet.exceeds(record.baseline_slowdown) {
            record.suspicion = Some(FleetSuspicion::new(now, fleet.mean));
            self.log(format!("all endpoints slower: withholding build {} for 3 s", status.build.0));
        }
    }

    fn test_result(&self, suspicion: &FleetSuspicion, fleet: &FleetLatency) -> TestResult {
        let age = self.now - suspicion.since;
        let stage_changed = !self.has_testable_fleet_share();
        if stage_changed && age < SUSTAINED_FAILURE_TIME {
            return TestResult::Running;
        }
        if stage_changed && fleet.exceeds(0.0) {
            return TestResult::Blamed;
        }
        // Endpoints that join or leave change the latency by themselves.
        if self.endpoints.changed_at > suspicion.since {
            return TestResult::Inconclusive;
        }
        if age < SUSTAINED_FAILURE_TIME {
            return TestResult::Running;
        }
        let min_samples = self.min_samples(RECENT_OUTCOMES);
        if !suspicion.slowdown_ended(min_samples) {
            return TestResult::Cleared;
        }
        // Evaluated only once, at the end: repeated evaluation would produce more false positives.
        if age < 2 * SUSTAINED_FAILURE_TIME {
            return TestResult::Running;
        }
        if suspicion.slowdown_returned(min_samples, self.confidence_margin()) {
            TestResult::Blamed
        } else {
            TestResult::Cleared
        }
    }
}

//! Whether a build slows the whole fleet, old and new endpoints alike.
//!
//! Comparing the build's latency with the earlier build's shows nothing then. Instead the build is withheld
//! for a while: a slowdown that goes, and comes back with the build, is its doing.

use super::samples::{EndpointValue, SampleSummary};
use super::{
    Assessment, BuildRecord, COMPARISON_WINDOW, MIN_OUTCOMES, MIN_SAMPLE_DEVIATION, RECENT_OUTCOMES,
    SUSTAINED_FAILURE,
};
use crate::api::{EndpointId, Micros, RolloutPhase, RolloutStatus};
use crate::engine::Policy;
use crate::units::MILLISECOND;

/// How long the fleet takes to show that a build is withheld, or is back.
const SETTLING_TIME: Micros = 1_500 * MILLISECOND;
/// Logarithm by which the fleet's latency must surely rise to suspect the build.
const FLEET_SLOWDOWN: f64 = 0.4;
/// Share of that rise that must go when the build is withheld, and come back with it.
const FOLLOWING_FRACTION: f64 = 0.33;

/// A build's suspicion of slowing the whole fleet, and what its test has shown so far.
pub(crate) struct FleetSuspicion {
    pub(super) since: Micros,
    /// The fleet's slowdown when the suspicion arose (logarithm).
    slowdown: f64,
    /// The earlier build's slowdowns while the build is withheld.
    while_withheld: Vec<EndpointValue>,
    /// The same once the build is back.
    once_back: Vec<EndpointValue>,
}

impl FleetSuspicion {
    fn new(since: Micros, slowdown: f64) -> Self {
        FleetSuspicion { since, slowdown, while_withheld: Vec::new(), once_back: Vec::new() }
    }

    /// Whether the build gets no traffic now, for the test's first part.
    pub(super) fn is_withheld(&self, now: Micros) -> bool {
        now < self.since + SUSTAINED_FAILURE
    }

    /// Takes the slowdown of an earlier build's attempt, unless it was sent while the fleet was settling.
    pub(crate) fn add(&mut self, sent: Micros, endpoint: EndpointId, slowdown: f64) {
        let age = sent.saturating_sub(self.since);
        if age % SUSTAINED_FAILURE < SETTLING_TIME {
            return;
        }
        let part = if age < SUSTAINED_FAILURE { &mut self.while_withheld } else { &mut self.once_back };
        part.push(EndpointValue { endpoint, value: slowdown });
    }

    /// Whether the slowdown went while the build was withheld.
    fn went(&self, min_samples: usize) -> bool {
        let without = SampleSummary::of(&self.while_withheld);
        without.count >= min_samples && self.slowdown - without.mean > FOLLOWING_FRACTION * self.slowdown
    }

    /// Whether the slowdown surely came back with the build.
    fn came_back(&self, min_samples: usize, margin: f64) -> bool {
        let without = SampleSummary::of(&self.while_withheld);
        let with = SampleSummary::of(&self.once_back);
        let errors = with.error(MIN_SAMPLE_DEVIATION).hypot(without.error(MIN_SAMPLE_DEVIATION));
        let bar = (FOLLOWING_FRACTION * self.slowdown).max(margin * errors);
        with.count >= min_samples && with.mean - without.mean > bar
    }
}

/// The latency of the fleet against its baseline, during a trial.
struct FleetLatency {
    /// Whether there are enough samples.
    known: bool,
    /// Mean slowdown (logarithm).
    mean: f64,
    /// What it is at the least, surely.
    lower_bound: f64,
}

impl FleetLatency {
    /// Whether the fleet is surely slower than `allowed`.
    fn exceeds(&self, allowed: f64) -> bool {
        self.known && self.lower_bound - allowed > FLEET_SLOWDOWN
    }
}

/// What the test of a suspected build has come to.
enum TestResult {
    Running,
    Blamed,
    /// It is inconclusive.
    Void,
    Cleared,
}

impl Policy {
    /// Assesses a build by what it does to the earlier one's endpoints. Once these are surely much slower
    /// than before the trial, the clock is held and the build withheld for 3 s: a rise that goes, and comes
    /// back with the build, is its doing. All instances see it at about the same time and withhold together.
    /// Danger: a build slows old and new alike. Harm: a hold on a good build; a fault in step by chance.
    /// Exception: the stage moves on under the test, as statuses and holds travel. The build is withheld no
    /// more, and blamed if old and new are still slow 3 s after it was suspected. Harm: a fault that came
    /// along.
    pub(super) fn assess_fleet(&mut self, status: RolloutStatus) -> Assessment {
        let fleet = self.fleet_latency(&status);
        self.record_slowdown_before(&status, &fleet);
        let on_trial = status.phase == RolloutPhase::OnTrial;
        let suspicion = self.builds.get(&status.build).and_then(|record| record.suspicion.as_ref());
        let Some(suspicion) = suspicion.filter(|_| on_trial) else {
            self.suspect_if_slower(&status, &fleet);
            return Assessment::Unjudged;
        };
        let result = self.test_result(suspicion, &fleet);
        let record = self.build_record(status.build);
        match result {
            TestResult::Running => {}
            TestResult::Blamed => return Assessment::Fail,
            TestResult::Void => record.suspicion = None,
            TestResult::Cleared => {
                record.suspicion = None;
                record.cleared_at_stage = Some(status.stage);
                self.log(format!("build {} cleared of slowing all endpoints", status.build.0));
            }
        }
        Assessment::Unjudged
    }

    /// Latency of the earlier build's endpoints; outside the exposure range of the build's own as well.
    fn fleet_latency(&self, status: &RolloutStatus) -> FleetLatency {
        let mut slowdowns = Vec::new();
        if status.phase == RolloutPhase::OnTrial {
            slowdowns = self.recent_slowdowns(self.earlier_record(status.build));
            if !self.in_exposure_range() {
                slowdowns.extend(self.recent_slowdowns(self.builds.get(&status.build)));
            }
        }
        let summary = SampleSummary::of(&slowdowns);
        let margin = self.confidence_margin() * summary.error(MIN_SAMPLE_DEVIATION);
        FleetLatency {
            known: summary.count >= self.min_samples(RECENT_OUTCOMES).max(MIN_OUTCOMES),
            mean: summary.mean,
            lower_bound: summary.mean - margin,
        }
    }

    fn recent_slowdowns(&self, record: Option<&BuildRecord>) -> Vec<EndpointValue> {
        let Some(record) = record else { return Vec::new() };
        let recent = record.samples.iter().filter(|sample| sample.at + COMPARISON_WINDOW > self.now);
        let slowdowns =
            recent.filter_map(|s| Some(EndpointValue { endpoint: s.endpoint, value: s.slowdown? }));
        slowdowns.collect()
    }

    /// Danger: a bad build is released and slows all; its successor is held for it. What else: a fault that
    /// came with the first endpoints. Harm: it hides as much of what the build does to the fleet.
    fn record_slowdown_before(&mut self, status: &RolloutStatus, fleet: &FleetLatency) {
        let too_small_to_matter = status.stage == 0 && !self.in_exposure_range();
        let record = self.build_record(status.build);
        if fleet.known && status.phase == RolloutPhase::OnTrial && too_small_to_matter {
            record.slowdown_before = fleet.mean.max(0.0);
        }
    }

    fn suspect_if_slower(&mut self, status: &RolloutStatus, fleet: &FleetLatency) {
        let now = self.now;
        let endpoints_changed_at = self.endpoints.changed_at;
        // The stage's endpoints have come, and the fleet has settled since.
        let settled =
            endpoints_changed_at > self.rollout.changed_at && now > endpoints_changed_at + SETTLING_TIME;
        let can_test = self.in_exposure_range() && settled;
        let record = self.build_record(status.build);
        let cleared = record.cleared_at_stage == Some(status.stage);
        if can_test && !cleared && fleet.exceeds(record.slowdown_before) {
            record.suspicion = Some(FleetSuspicion::new(now, fleet.mean));
            self.log(format!("all endpoints slower: withholding build {} for 3 s", status.build.0));
        }
    }

    fn test_result(&self, suspicion: &FleetSuspicion, fleet: &FleetLatency) -> TestResult {
        let age = self.now - suspicion.since;
        let stage_moved_on = !self.in_exposure_range();
        if stage_moved_on && age < SUSTAINED_FAILURE {
            return TestResult::Running;
        }
        if stage_moved_on && fleet.exceeds(0.0) {
            return TestResult::Blamed;
        }
        // Endpoints that come or go change the latency by themselves: such a test is inconclusive.
        if self.endpoints.changed_at > suspicion.since {
            return TestResult::Void;
        }
        if age < SUSTAINED_FAILURE {
            return TestResult::Running;
        }
        let min_samples = self.min_samples(RECENT_OUTCOMES);
        if !suspicion.went(min_samples) {
            return TestResult::Cleared;
        }
        // Looked at once, at the end: who looks again and again finds something by chance.
        if age < 2 * SUSTAINED_FAILURE {
            return TestResult::Running;
        }
        if suspicion.came_back(min_samples, self.confidence_margin()) {
            TestResult::Blamed
        } else {
            TestResult::Cleared
        }
    }
}

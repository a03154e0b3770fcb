//! This instance's record of one build: its outcomes and the state of its assessment.

use std::collections::VecDeque;

use super::fleet_health::FleetSuspicion;
use super::samples::{OutcomeSample, ratio};
use crate::api::{Build, ClassId, Micros, Outcome};
use crate::engine::Policy;
use crate::units::SECOND;
use crate::window::{Expiry, SlidingWindow};

/// Time for which a criterion must keep failing before the build fails; also the soak time after a start.
pub(crate) const SUSTAINED_FAILURE_TIME: Micros = 3 * SECOND;
/// Number of outcomes kept per class, for the earlier build's failure ratio and to tell on how many endpoints
/// a build fails.
pub(super) const RETAINED_OUTCOMES: usize = 60;
/// Number of builds remembered: the newest, the one before, and any withdrawn in between.
const MAX_RECORDS: usize = 4;

/// Result of an assessment by one criterion.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Assessment {
    /// There is not enough evidence to pass or fail the build.
    Inconclusive,
    Pass,
    Fail,
}

/// Criterion for the assessment of a build.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Criterion {
    /// The failures of one class.
    Class(ClassId),
    /// The failures of all classes together.
    AllClasses,
    /// The build's latency.
    Latency,
    /// The build's effect on the latency of all endpoints.
    FleetLatency,
}

impl Criterion {
    /// Returns all criteria in the order of assessment; if several have failed, the log line names the first.
    pub(super) fn all(class_count: usize) -> impl Iterator<Item = Criterion> {
        let by_class = (0..class_count).map(|class| Criterion::Class(ClassId(class)));
        by_class.chain([Criterion::AllClasses, Criterion::Latency, Criterion::FleetLatency])
    }

    /// Returns the position in [`Criterion::all`].
    fn position(self, class_count: usize) -> usize {
        match self {
            Criterion::Class(class) => class.0,
            Criterion::AllClasses => class_count,
            Criterion::Latency => class_count + 1,
            Criterion::FleetLatency => class_count + 2,
        }
    }
}

/// State of a build's assessment. The record is kept after the release until newer builds displace it, so
/// that this instance can still vote to roll a released build back.
#[derive(PartialEq)]
pub(super) enum BuildState {
    Soaking,
    /// A failure was sustained: this instance votes to roll the build back until the release controller
    /// reports the rollback.
    Failed,
}

/// Outcomes of one build at this instance, and the state of its assessment.
///
/// The record is empty when the build appears. Outcomes of attempts sent before that do not count, because
/// results of another build must not let this one advance.
pub(crate) struct BuildRecord {
    pub(super) state: BuildState,
    pub(crate) created_at: Micros,
    pub(super) last_outcome_at: Micros,
    /// Suspicion that the build slows all endpoints, while the test of it runs.
    pub(crate) suspicion: Option<FleetSuspicion>,
    /// Stage at which the build was last cleared of that suspicion.
    pub(super) cleared_at_stage: Option<usize>,
    /// Mean slowdown of the fleet (natural logarithm) while the build's share was too small to affect it.
    pub(super) baseline_slowdown: f64,
    /// Whether some class has been assessed, or all classes together if a rollback takes several votes.
    pub(crate) has_assessed_class: bool,
    /// Attempts sent to the build within the exposure window.
    pub(crate) attempts: SlidingWindow,
    samples_by_class: Vec<VecDeque<OutcomeSample>>,
    /// Latest outcomes of all classes together.
    pub(super) samples: VecDeque<OutcomeSample>,
    /// Time since which each criterion has been failing, by its position in [`Criterion::all`].
    failing_since: Vec<Option<Micros>>,
}

impl BuildRecord {
    fn new(created_at: Micros, class_count: usize, exposure_span: Micros) -> Self {
        BuildRecord {
            state: BuildState::Soaking,
            created_at,
            last_outcome_at: 0,
            suspicion: None,
            cleared_at_stage: None,
            baseline_slowdown: 0.0,
            has_assessed_class: false,
            attempts: SlidingWindow::new(exposure_span, Expiry::Late, class_count),
            samples_by_class: vec![VecDeque::new(); class_count],
            samples: VecDeque::new(),
            failing_since: vec![None; Criterion::all(class_count).count()],
        }
    }

    /// Adds the outcome of an attempt sent at `sent_at`, unless the record was created later.
    pub(crate) fn add(&mut self, class: ClassId, sample: OutcomeSample, sent_at: Micros) {
        if sent_at < self.created_at {
            return;
        }
        self.last_outcome_at = sample.recorded_at;
        for samples in [&mut self.samples_by_class[class.0], &mut self.samples] {
            samples.push_back(sample);
            if samples.len() > RETAINED_OUTCOMES {
                samples.pop_front();
            }
        }
    }

    /// Returns the latest outcomes that a criterion on failures uses.
    pub(super) fn samples_of(&self, criterion: Criterion) -> &VecDeque<OutcomeSample> {
        match criterion {
            Criterion::Class(class) => &self.samples_by_class[class.0],
            _ => &self.samples,
        }
    }

    pub(crate) fn has_failed(&self) -> bool {
        self.state == BuildState::Failed
    }

    /// Returns whether any criterion is failing, or the build is suspected of slowing all endpoints.
    pub(crate) fn is_failing(&self) -> bool {
        self.suspicion.is_some() || self.failing_since.iter().any(Option::is_some)
    }

    pub(super) fn is_failing_by(&self, criterion: Criterion) -> bool {
        self.failing_since[criterion.position(self.samples_by_class.len())].is_some()
    }

    /// Records an assessment; returns whether the criterion has failed for [`SUSTAINED_FAILURE_TIME`].
    pub(super) fn record_assessment(
        &mut self,
        now: Micros,
        criterion: Criterion,
        assessment: Assessment,
    ) -> bool {
        let position = criterion.position(self.samples_by_class.len());
        if assessment != Assessment::Fail {
            self.failing_since[position] = None;
            return false;
        }
        // The test of a suspected build takes time: its failure counts from the start of the suspicion.
        let suspected_since = self.suspicion.as_ref().map(|suspicion| suspicion.since);
        let failing_from = match criterion {
            Criterion::FleetLatency => suspected_since.unwrap_or(now),
            _ => now,
        };
        let since = self.failing_since[position].unwrap_or(failing_from);
        self.failing_since[position] = Some(since);
        now - since >= SUSTAINED_FAILURE_TIME
    }

    /// Returns the ratio of errors among the latest outcomes of all classes.
    fn error_ratio(&self) -> f64 {
        ratio(&self.samples, RETAINED_OUTCOMES, |sample| sample.outcome == Outcome::Error)
    }
}

impl Policy {
    /// Returns the record of a build, and creates it when the build first appears.
    pub(crate) fn build_record(&mut self, build: Build) -> &mut BuildRecord {
        let now = self.now;
        let class_count = self.config.classes.len();
        let exposure_span = self.config.rollout.exposure_window + self.config.resolution;
        self.builds.entry(build).or_insert_with(|| BuildRecord::new(now, class_count, exposure_span))
    }

    pub(crate) fn drop_oldest_build_record(&mut self) {
        if self.builds.len() > MAX_RECORDS {
            self.builds.pop_first();
        }
    }

    /// Returns the ratio of errors among a build's latest outcomes, over all classes and endpoints; 0 for an
    /// unknown build.
    pub(crate) fn error_ratio(&self, build: Build) -> f64 {
        self.builds.get(&build).map_or(0.0, BuildRecord::error_ratio)
    }

    /// Returns the record with which a build on trial is compared: that of the newest earlier build that has
    /// outcomes and has not failed.
    pub(super) fn earlier_record(&self, build: Build) -> Option<&BuildRecord> {
        let mut earlier = self.builds.range(..build).rev().map(|(_, record)| record);
        earlier.find(|record| record.last_outcome_at > 0 && !record.has_failed())
    }

    /// Returns whether a build is used only if no other is available, because it has failed or is withheld.
    /// While a class is failing, but the failure is not yet sustained, its requests are still sent to the
    /// build.
    pub(crate) fn is_avoided(&self, build: Build) -> bool {
        let Some(record) = self.builds.get(&build) else { return false };
        let withheld = record.suspicion.as_ref().is_some_and(|suspicion| suspicion.is_withheld(self.now));
        record.has_failed() || (withheld && self.has_testable_fleet_share())
    }
}

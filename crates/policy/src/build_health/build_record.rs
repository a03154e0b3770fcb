//! What this instance knows of one build.

use std::collections::VecDeque;

use super::fleet_health::FleetSuspicion;
use super::samples::{OutcomeSample, ratio};
use crate::api::{Build, ClassId, Micros, Outcome};
use crate::engine::Policy;
use crate::units::SECOND;
use crate::window::SlidingWindow;

/// How long a criterion must stay failed; also the soak after a start.
pub(crate) const SUSTAINED_FAILURE: Micros = 3 * SECOND;
/// Outcomes kept for each class: for the earlier build's ratio, and to see on how many endpoints it fails.
pub(super) const RETAINED_OUTCOMES: usize = 60;
/// Builds remembered: the newest, the one before, and any withdrawn between.
const MAX_RECORDS: usize = 4;

/// What an assessment by one criterion comes to.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Assessment {
    Unjudged,
    Pass,
    Fail,
}

/// What a build is assessed by.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Criterion {
    /// The failures of one class.
    Class(ClassId),
    /// The failures of all classes together.
    AllClasses,
    /// The build's latency.
    Latency,
    /// What the build does to the latency of the whole fleet.
    FleetLatency,
}

impl Criterion {
    /// All criteria, in the order of the assessment: where several have failed, the first is named.
    pub(super) fn all(classes: usize) -> impl Iterator<Item = Criterion> {
        let by_class = (0..classes).map(|class| Criterion::Class(ClassId(class)));
        by_class.chain([Criterion::AllClasses, Criterion::Latency, Criterion::FleetLatency])
    }

    /// Position among all criteria.
    fn position(self, classes: usize) -> usize {
        match self {
            Criterion::Class(class) => class.0,
            Criterion::AllClasses => classes,
            Criterion::Latency => classes + 1,
            Criterion::FleetLatency => classes + 2,
        }
    }
}

/// State of a record. It lives on after the release until newer builds push it out, so that a released build
/// can still be voted back.
#[derive(PartialEq)]
pub(super) enum BuildState {
    Soaking,
    /// A failure was sustained: voted back until the release controller says that the build is rolled back.
    Failed,
}

/// What this instance knows of one build.
///
/// Empty when the build appears: outcomes of attempts sent before that do not count, as results of another
/// build must not satisfy a gate.
pub(crate) struct BuildRecord {
    pub(super) state: BuildState,
    pub(crate) created_at: Micros,
    pub(super) last_outcome_at: Micros,
    /// Of slowing the whole fleet.
    pub(crate) suspicion: Option<FleetSuspicion>,
    /// The stage at which the build was last cleared of that.
    pub(super) cleared_at_stage: Option<usize>,
    /// The fleet's slowdown while the build was too small to matter.
    pub(super) slowdown_before: f64,
    /// Whether some class is judged.
    pub(crate) judged: bool,
    /// Attempts at the build in the exposure window.
    pub(crate) attempts: SlidingWindow,
    samples_by_class: Vec<VecDeque<OutcomeSample>>,
    /// The last outcomes of all classes together.
    pub(super) samples: VecDeque<OutcomeSample>,
    /// Since when each criterion fails, by its position.
    failing_since: Vec<Option<Micros>>,
}

impl BuildRecord {
    fn new(created_at: Micros, classes: usize, exposure_span: Micros) -> Self {
        BuildRecord {
            state: BuildState::Soaking,
            created_at,
            last_outcome_at: 0,
            suspicion: None,
            cleared_at_stage: None,
            slowdown_before: 0.0,
            judged: false,
            attempts: SlidingWindow::new(exposure_span, classes),
            samples_by_class: vec![VecDeque::new(); classes],
            samples: VecDeque::new(),
            failing_since: vec![None; Criterion::all(classes).count()],
        }
    }

    /// Adds the outcome of an attempt sent at `sent`, unless that was before the record.
    pub(crate) fn add(&mut self, class: ClassId, sample: OutcomeSample, sent: Micros) {
        if sent < self.created_at {
            return;
        }
        self.last_outcome_at = sample.at;
        for ring in [&mut self.samples_by_class[class.0], &mut self.samples] {
            ring.push_back(sample);
            if ring.len() > RETAINED_OUTCOMES {
                ring.pop_front();
            }
        }
    }

    /// The last outcomes that a criterion on failures goes by.
    pub(super) fn samples_of(&self, criterion: Criterion) -> &VecDeque<OutcomeSample> {
        match criterion {
            Criterion::Class(class) => &self.samples_by_class[class.0],
            _ => &self.samples,
        }
    }

    pub(crate) fn has_failed(&self) -> bool {
        self.state == BuildState::Failed
    }

    /// Whether any criterion fails now, or the build is suspected of slowing the fleet.
    pub(crate) fn is_failing(&self) -> bool {
        self.suspicion.is_some() || self.failing_since.iter().any(Option::is_some)
    }

    pub(super) fn is_failing_by(&self, criterion: Criterion) -> bool {
        self.failing_since[criterion.position(self.samples_by_class.len())].is_some()
    }

    /// Notes one assessment; whether the failure has been sustained.
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
        // What the fleet showed has been running since the build was suspected.
        let suspected_since = self.suspicion.as_ref().map(|suspicion| suspicion.since);
        let began = match criterion {
            Criterion::FleetLatency => suspected_since.unwrap_or(now),
            _ => now,
        };
        let since = self.failing_since[position].unwrap_or(began);
        self.failing_since[position] = Some(since);
        now - since >= SUSTAINED_FAILURE
    }

    /// The ratio of errors among the last outcomes, of whatever class.
    fn error_ratio(&self) -> f64 {
        ratio(&self.samples, RETAINED_OUTCOMES, |sample| sample.outcome == Outcome::Error)
    }
}

impl Policy {
    /// The record of a build, which is made when the build appears.
    pub(crate) fn build_record(&mut self, build: Build) -> &mut BuildRecord {
        let now = self.now;
        let classes = self.config.classes.len();
        let exposure_span = self.config.rollout.exposure_window + self.config.resolution;
        self.builds.entry(build).or_insert_with(|| BuildRecord::new(now, classes, exposure_span))
    }

    pub(crate) fn drop_oldest_build_record(&mut self) {
        if self.builds.len() > MAX_RECORDS {
            self.builds.pop_first();
        }
    }

    /// The ratio of errors among a build's last outcomes, wherever they came from.
    pub(crate) fn error_ratio(&self, build: Build) -> f64 {
        self.builds.get(&build).map_or(0.0, BuildRecord::error_ratio)
    }

    /// The build that a trial is measured against: the newest earlier one with outcomes of its own.
    pub(super) fn earlier_record(&self, build: Build) -> Option<&BuildRecord> {
        let mut earlier = self.builds.range(..build).rev().map(|(_, record)| record);
        earlier.find(|record| record.last_outcome_at > 0 && !record.has_failed())
    }

    /// Whether a build is used only if there is no other: it has failed, or it is withheld. A class that
    /// fails is still sent.
    pub(crate) fn is_avoided(&self, build: Build) -> bool {
        let Some(record) = self.builds.get(&build) else { return false };
        let withheld = record.suspicion.as_ref().is_some_and(|suspicion| suspicion.is_withheld(self.now));
        record.has_failed() || (withheld && self.in_exposure_range())
    }
}

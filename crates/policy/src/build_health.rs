//! Build health: assesses whether the newest build is failing, compared with the build before it.

mod build_record;
mod fleet_health;
mod samples;

use std::collections::VecDeque;

pub(crate) use build_record::{BuildRecord, SUSTAINED_FAILURE_TIME};
pub(crate) use samples::OutcomeSample;

use crate::api::{Micros, Outcome};
use crate::engine::Policy;
use crate::units::SECOND;
use build_record::{Assessment, BuildState, Criterion, RETAINED_OUTCOMES};
use samples::{EndpointValue, SampleSummary, exceeds_on_majority, ratio};

/// Number of latest outcomes from which a class is assessed; older ones may not reflect its present state.
const RECENT_OUTCOMES: usize = 20;
/// Fewest outcomes needed to assess a class; with fewer, the result would be down to chance.
pub(crate) const MIN_OUTCOMES: usize = 10;
/// Lower bound of the number of outcomes, or comparable latencies, needed for an assessment, whatever the
/// rollback quorum. [`CONCLUSIVE_ERRORS`] errors suffice without it.
pub(crate) const MIN_SAMPLES: usize = 4;
/// Number of errors that suffices to assess a class with fewer than [`MIN_OUTCOMES`], as chance does not
/// explain them.
const CONCLUSIVE_ERRORS: f64 = 3.0;
/// Age up to which an outcome is valid for a comparison with current ones.
pub(crate) const MAX_COMPARISON_AGE: Micros = 4 * SECOND;

/// Margin over the earlier build's failure ratio above which a build fails, for a ratio over 20 outcomes.
const FAILURE_MARGIN: f64 = 0.1;
/// Factor on [`FAILURE_MARGIN`] while a build is failing; the hysteresis prevents flapping.
const RECOVERY_FACTOR: f64 = 0.5;
/// Slowdown (natural logarithm; a factor of 1.35) that a build must exceed, with confidence, to fail by
/// latency.
const MAX_BUILD_SLOWDOWN: f64 = 0.3;
/// Standard errors subtracted from a difference before it counts, where one instance decides alone.
const CONFIDENCE_STANDARD_ERRORS: f64 = 2.5;
/// Reduction of [`CONFIDENCE_STANDARD_ERRORS`] per unit of the rollback quorum's natural logarithm.
const STANDARD_ERRORS_PER_LOG_QUORUM: f64 = 0.5;
/// Lowest standard deviation assumed for single latencies (natural logarithm); a few may agree by chance.
const MIN_SAMPLE_DEVIATION: f64 = 0.5;
/// Standard deviation between healthy endpoints of one kind (natural logarithm), due to differences in speed
/// and to load from others.
const ENDPOINT_DEVIATION: f64 = 0.2;

/// An assessment by one criterion.
struct CriterionAssessment {
    criterion: Criterion,
    assessment: Assessment,
}

impl Policy {
    /// Updates the record of the newest build: its assessments, failure timers and state. Part of the
    /// periodic work; an assessment at every outcome would produce more false positives.
    pub(crate) fn assess_newest_build(&mut self) {
        let Some(status) = self.rollout.active_status() else { return };
        let build = status.build;
        let fleet_assessment = self.assess_fleet(status);
        let Some(record) = self.builds.get(&build).filter(|r| !r.has_failed()) else { return };
        let assessments = self.assess(record, self.earlier_record(build), fleet_assessment);
        let now = self.now;
        let has_assessed_class = self.has_assessed_class(&assessments);
        let record = self.build_record(build);
        record.has_assessed_class = has_assessed_class;
        let mut failed_criterion = None;
        for CriterionAssessment { criterion, assessment } in assessments {
            let failed = record.record_assessment(now, criterion, assessment);
            if failed && failed_criterion.is_none() {
                failed_criterion = Some(criterion);
            }
        }
        if let Some(criterion) = failed_criterion {
            record.state = BuildState::Failed;
            let what = self.criterion_name(criterion);
            self.log(format!("build {}: {what} kept failing, voting to roll back", build.0));
        }
    }

    /// Assesses a build by all criteria, in the order of [`Criterion::all`].
    fn assess(
        &self,
        record: &BuildRecord,
        earlier: Option<&BuildRecord>,
        fleet_assessment: Assessment,
    ) -> Vec<CriterionAssessment> {
        let criteria = Criterion::all(self.config.classes.len());
        let assessments = criteria.map(|criterion| {
            let assessment = match criterion {
                Criterion::Class(_) | Criterion::AllClasses => {
                    self.assess_failures(record, earlier, criterion)
                }
                Criterion::Latency => self.assess_latency(record),
                Criterion::FleetLatency => fleet_assessment,
            };
            CriterionAssessment { criterion, assessment }
        });
        assessments.collect()
    }

    /// Returns whether some class has been assessed. Where a rollback takes several votes, an assessment of
    /// all classes together suffices, since an instance with little traffic would otherwise not vote.
    fn has_assessed_class(&self, assessments: &[CriterionAssessment]) -> bool {
        let needs_agreement = self.config.rollout.rollback_quorum > 1;
        assessments.iter().any(|assessed| {
            let counts = match assessed.criterion {
                Criterion::Class(_) => true,
                Criterion::AllClasses => needs_agreement,
                Criterion::Latency | Criterion::FleetLatency => false,
            };
            counts && assessed.assessment != Assessment::Inconclusive
        })
    }

    /// Returns the name of a criterion for log lines.
    fn criterion_name(&self, criterion: Criterion) -> String {
        match criterion {
            Criterion::Class(class) => self.config.classes[class.0].name.clone(),
            Criterion::AllClasses => "all classes together".to_owned(),
            Criterion::Latency => "its latency".to_owned(),
            Criterion::FleetLatency => "the fleet's latency".to_owned(),
        }
    }

    /// Assesses one class, or all classes together, by the ratio of failures among the latest outcomes,
    /// compared with the earlier build's ratio.
    ///
    /// Time-outs are as likely to come from load or a stall as from the build. They therefore count only as
    /// far as they exceed chance, and only while the earlier build is serving. The cost is that a build which
    /// hangs on a few requests is detected late.
    fn assess_failures(
        &self,
        record: &BuildRecord,
        earlier: Option<&BuildRecord>,
        criterion: Criterion,
    ) -> Assessment {
        let comparable = earlier.is_some_and(|e| e.last_outcome_at + MAX_COMPARISON_AGE > self.now);
        let is_error = |s: &OutcomeSample| s.outcome == Outcome::Error;
        let is_timeout = |s: &OutcomeSample| comparable && s.outcome == Outcome::TimedOut;
        let is_failure = |s: &OutcomeSample| is_error(s) || is_timeout(s);
        let samples = record.samples_of(criterion);
        // All classes together are assessed by more outcomes, among which a smaller ratio is significant.
        let max_samples =
            if criterion == Criterion::AllClasses { RETAINED_OUTCOMES } else { RECENT_OUTCOMES };
        let count = samples.len().min(max_samples);
        let errors = ratio(samples, max_samples, is_error);
        let has_enough =
            count >= self.min_samples(MIN_OUTCOMES) || errors * count as f64 >= CONCLUSIVE_ERRORS;
        if !has_enough {
            return Assessment::Inconclusive;
        }
        let earlier_ratio =
            earlier.map_or(0.0, |e| ratio(e.samples_of(criterion), RETAINED_OUTCOMES, is_failure));
        let timeouts = self.significant_timeouts(samples, max_samples, is_timeout);
        let margin = failure_margin(count, record.is_failing_by(criterion));
        if errors + timeouts <= earlier_ratio + margin {
            return Assessment::Pass;
        }
        let failures = samples.iter().map(|s| {
            let value = if is_failure(s) { 1.0 } else { 0.0 };
            EndpointValue { endpoint: s.endpoint, value }
        });
        fail_if(exceeds_on_majority(failures, 0.0))
    }

    /// Returns the part of the time-out ratio that exceeds chance, with confidence.
    fn significant_timeouts(
        &self,
        samples: &VecDeque<OutcomeSample>,
        max_samples: usize,
        is_timeout: impl Fn(&OutcomeSample) -> bool,
    ) -> f64 {
        let timeouts = ratio(samples, max_samples, is_timeout);
        let count = samples.len().min(max_samples).min(RECENT_OUTCOMES);
        let standard_error = (timeouts / count as f64).sqrt();
        (timeouts - self.confidence_margin() * standard_error).max(0.0)
    }

    /// Assesses a build's latency over all classes together. Each outcome counts by its
    /// [`OutcomeSample::excess_over_zone`]: the logarithm of its latency relative to the baseline of its
    /// class and kind of endpoint, and to the released builds in its zone at that time.
    ///
    /// Without it, a build that is slow but returns no errors would pass until it overloads the fleet.
    fn assess_latency(&self, record: &BuildRecord) -> Assessment {
        let excesses = record
            .samples
            .iter()
            .filter_map(|s| Some(EndpointValue { endpoint: s.endpoint, value: s.excess_over_zone? }));
        let excesses: Vec<EndpointValue> = excesses.collect();
        let summary = SampleSummary::of(&excesses);
        if summary.count < self.min_samples(RECENT_OUTCOMES) {
            return Assessment::Inconclusive;
        }
        // More outcomes do not remove two uncertainties: the build's few endpoints may be slow ones, and the
        // mean of the zone is itself an estimate.
        let endpoint_error = ENDPOINT_DEVIATION * (1.0 / summary.endpoints + 0.5).sqrt();
        let standard_error = summary.standard_error(MIN_SAMPLE_DEVIATION).hypot(endpoint_error);
        // Hysteresis: the confidence margin applies to the start of a failure, not to its end.
        let failing = record.is_failing_by(Criterion::Latency);
        let margin = if failing { 0.0 } else { self.confidence_margin() * standard_error };
        if summary.mean - margin <= MAX_BUILD_SLOWDOWN {
            return Assessment::Pass;
        }
        fail_if(exceeds_on_majority(excesses.into_iter(), MAX_BUILD_SLOWDOWN))
    }

    /// Returns the confidence margin that this instance applies, in standard errors.
    ///
    /// An instance with a handful of outcomes per stage never reaches the full margin. Where several
    /// instances must agree on a rollback, their agreement guards against chance, so the margin is smaller.
    /// The cost is that a fault can mislead many instances alike.
    fn confidence_margin(&self) -> f64 {
        let quorum = f64::from(self.config.rollout.rollback_quorum.max(1));
        (CONFIDENCE_STANDARD_ERRORS - STANDARD_ERRORS_PER_LOG_QUORUM * quorum.ln()).max(1.0)
    }

    /// Returns the number of outcomes that this instance needs for an assessment. `single_instance` is the
    /// number needed with a rollback quorum of 1; a larger quorum reduces it, as in
    /// [`Self::confidence_margin`].
    fn min_samples(&self, single_instance: usize) -> usize {
        (single_instance / self.config.rollout.rollback_quorum.max(1) as usize).max(MIN_SAMPLES)
    }
}

/// Returns the margin over the earlier build's failure ratio above which a build fails. `outcomes` is the
/// number of outcomes in its ratio; `failing` tells whether it is failing already.
fn failure_margin(outcomes: usize, failing: bool) -> f64 {
    let margin = FAILURE_MARGIN * (RECENT_OUTCOMES as f64 / outcomes as f64).sqrt();
    if failing { margin * RECOVERY_FACTOR } else { margin }
}

fn fail_if(failing: bool) -> Assessment {
    if failing { Assessment::Fail } else { Assessment::Pass }
}

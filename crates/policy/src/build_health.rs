//! Build health: whether the newest build is failing, by its record beside the earlier build's.

mod build_record;
mod fleet_health;
mod samples;

use std::collections::VecDeque;

pub(crate) use build_record::{BuildRecord, SUSTAINED_FAILURE};
pub(crate) use samples::OutcomeSample;

use crate::api::{Micros, Outcome};
use crate::engine::Policy;
use crate::units::SECOND;
use build_record::{Assessment, BuildState, Criterion, RETAINED_OUTCOMES};
use samples::{EndpointValue, SampleSummary, exceeds_on_majority, ratio};

/// Outcomes that a class is judged by: older ones say what was, not what is.
const RECENT_OUTCOMES: usize = 20;
/// Outcomes below which a class is unjudged: a verdict on less is chance.
pub(crate) const MIN_OUTCOMES: usize = 10;
/// Outcomes, or comparable latencies, below which a build is never judged.
pub(crate) const MIN_SAMPLES: usize = 4;
/// Errors that judge a class before its ten outcomes: no chance brings so many.
const OBVIOUS_ERRORS: f64 = 3.0;
/// The earlier build can be compared with for so long after an outcome.
pub(crate) const COMPARISON_WINDOW: Micros = 4 * SECOND;

/// By how much a ratio of failures must exceed the earlier build's, over 20 outcomes.
const FAILURE_MARGIN: f64 = 0.1;
/// Factor on that margin below which a failure ends, so that it does not flicker about it.
const RECOVERY_FACTOR: f64 = 0.5;
/// Logarithm by which a build must surely be slower to fail by its latency: 1.35 times.
const LATENCY_SLOWDOWN: f64 = 0.3;
/// Standard errors taken off a difference before it counts ...
const CONFIDENCE_ERRORS: f64 = 2.5;
/// ... less so many times the logarithm of the number of instances that must agree on a rollback.
const ERRORS_PER_LOG_QUORUM: f64 = 0.5;
/// Logarithm by which single latencies differ at the least, whatever a few show.
const MIN_SAMPLE_DEVIATION: f64 = 0.5;
/// Logarithm by which good endpoints of a kind differ, by speed and by others' load.
const ENDPOINT_DEVIATION: f64 = 0.2;

/// An assessment, and what it is by.
struct CriterionAssessment {
    criterion: Criterion,
    assessment: Assessment,
}

impl Policy {
    /// Brings the record of the newest build up to date: assessments, failure timers, state. Once a tick:
    /// judging at every outcome finds more by chance.
    pub(crate) fn assess_newest_build(&mut self) {
        let Some(status) = self.rollout.active_status() else { return };
        let build = status.build;
        let by_fleet = self.assess_fleet(status);
        let Some(record) = self.builds.get(&build).filter(|r| !r.has_failed()) else { return };
        let assessments = self.assess(record, self.earlier_record(build), by_fleet);
        let now = self.now;
        let judged = self.judges_some_class(&assessments);
        let record = self.build_record(build);
        record.judged = judged;
        let mut sustained = None;
        for CriterionAssessment { criterion, assessment } in assessments {
            let failed = record.record_assessment(now, criterion, assessment);
            if failed && sustained.is_none() {
                sustained = Some(criterion);
            }
        }
        if let Some(criterion) = sustained {
            record.state = BuildState::Failed;
            let what = self.name_of(criterion);
            self.log(format!("build {}: {what} kept failing, voting to roll back", build.0));
        }
    }

    /// The assessments of a build by all criteria, in their order.
    fn assess(
        &self,
        record: &BuildRecord,
        earlier: Option<&BuildRecord>,
        by_fleet: Assessment,
    ) -> Vec<CriterionAssessment> {
        let criteria = Criterion::all(self.config.classes.len());
        let assessments = criteria.map(|criterion| {
            let assessment = match criterion {
                Criterion::Class(_) | Criterion::AllClasses => {
                    self.assess_failures(record, earlier, criterion)
                }
                Criterion::Latency => self.assess_latency(record),
                Criterion::FleetLatency => by_fleet,
            };
            CriterionAssessment { criterion, assessment }
        });
        assessments.collect()
    }

    /// Whether some class is judged. Where many instances must agree all classes together count: an instance
    /// that sees little would stay silent.
    fn judges_some_class(&self, assessments: &[CriterionAssessment]) -> bool {
        let needs_agreement = self.config.rollout.rollback_quorum > 1;
        assessments.iter().any(|assessed| {
            let counts = match assessed.criterion {
                Criterion::Class(_) => true,
                Criterion::AllClasses => needs_agreement,
                Criterion::Latency | Criterion::FleetLatency => false,
            };
            counts && assessed.assessment != Assessment::Unjudged
        })
    }

    /// A criterion's name for log lines.
    fn name_of(&self, criterion: Criterion) -> String {
        match criterion {
            Criterion::Class(class) => self.config.classes[class.0].name.clone(),
            Criterion::AllClasses => "all classes together".to_owned(),
            Criterion::Latency => "its latency".to_owned(),
            Criterion::FleetLatency => "the fleet's latency".to_owned(),
        }
    }

    /// Assesses a class, or all together, by the ratio of failures over the last outcomes, against the
    /// earlier build's. Danger: time-outs come from load or a stall as easily as from a build, so they count
    /// only as far as surely above chance, beside an earlier build that serves. Harm: one that hangs a few is
    /// found late.
    fn assess_failures(
        &self,
        record: &BuildRecord,
        earlier: Option<&BuildRecord>,
        criterion: Criterion,
    ) -> Assessment {
        let comparable = earlier.is_some_and(|e| e.last_outcome_at + COMPARISON_WINDOW > self.now);
        let is_error = |s: &OutcomeSample| s.outcome == Outcome::Error;
        let is_timeout = |s: &OutcomeSample| comparable && s.outcome == Outcome::TimedOut;
        let is_failure = |s: &OutcomeSample| is_error(s) || is_timeout(s);
        let samples = record.samples_of(criterion);
        // All classes together are judged by more outcomes, among which a smaller ratio is no chance.
        let max_samples =
            if criterion == Criterion::AllClasses { RETAINED_OUTCOMES } else { RECENT_OUTCOMES };
        let count = samples.len().min(max_samples);
        let errors = ratio(samples, max_samples, is_error);
        let enough = count >= self.min_samples(MIN_OUTCOMES) || errors * count as f64 >= OBVIOUS_ERRORS;
        if !enough {
            return Assessment::Unjudged;
        }
        let before = earlier.map_or(0.0, |e| ratio(e.samples_of(criterion), RETAINED_OUTCOMES, is_failure));
        let timeouts = self.significant_timeouts(samples, max_samples, is_timeout);
        let bar = failure_margin(count, record.is_failing_by(criterion));
        if errors + timeouts <= before + bar {
            return Assessment::Pass;
        }
        let failures = samples.iter().map(|s| {
            let value = if is_failure(s) { 1.0 } else { 0.0 };
            EndpointValue { endpoint: s.endpoint, value }
        });
        fail_if(exceeds_on_majority(failures, 0.0))
    }

    /// The ratio of time-outs that surely exceeds chance.
    fn significant_timeouts(
        &self,
        samples: &VecDeque<OutcomeSample>,
        max_samples: usize,
        is_timeout: impl Fn(&OutcomeSample) -> bool,
    ) -> f64 {
        let timeouts = ratio(samples, max_samples, is_timeout);
        let count = samples.len().min(max_samples).min(RECENT_OUTCOMES);
        let error = (timeouts / count as f64).sqrt();
        (timeouts - self.confidence_margin() * error).max(0.0)
    }

    /// Assesses a build's latency, all classes together: each outcome as its logarithm over the baseline of
    /// its class and kind of endpoint, and over what the released builds took in its zone at that moment.
    /// Danger: a build that is only slow passes by its errors until it takes the fleet down.
    fn assess_latency(&self, record: &BuildRecord) -> Assessment {
        let excesses = record
            .samples
            .iter()
            .filter_map(|s| Some(EndpointValue { endpoint: s.endpoint, value: s.excess? }));
        let excesses: Vec<EndpointValue> = excesses.collect();
        let summary = SampleSummary::of(&excesses);
        if summary.count < self.min_samples(RECENT_OUTCOMES) {
            return Assessment::Unjudged;
        }
        // However many outcomes, a build's few endpoints may be slow ones, and the zone's mean is no
        // certainty.
        let endpoints_error = ENDPOINT_DEVIATION * (1.0 / summary.endpoints + 0.5).sqrt();
        let error = summary.error(MIN_SAMPLE_DEVIATION).hypot(endpoints_error);
        // A failure starts once it is sure, and ends once it is not even likely.
        let failing = record.is_failing_by(Criterion::Latency);
        let margin = if failing { 0.0 } else { self.confidence_margin() * error };
        if summary.mean - margin <= LATENCY_SLOWDOWN {
            return Assessment::Pass;
        }
        fail_if(exceeds_on_majority(excesses.into_iter(), LATENCY_SLOWDOWN))
    }

    /// How sure an instance must be, in standard errors. Danger: an instance with a handful of outcomes a
    /// stage never is. Where many must agree they guard against its chance. Harm: a fault misleads many
    /// alike.
    fn confidence_margin(&self) -> f64 {
        let quorum = f64::from(self.config.rollout.rollback_quorum.max(1));
        (CONFIDENCE_ERRORS - ERRORS_PER_LOG_QUORUM * quorum.ln()).max(1.0)
    }

    /// From how many outcomes an instance judges, where one alone needs so many; for the same reason.
    fn min_samples(&self, alone: usize) -> usize {
        (alone / self.config.rollout.rollback_quorum.max(1) as usize).max(MIN_SAMPLES)
    }
}

/// By how much a ratio over so many outcomes must exceed the earlier build's to fail.
fn failure_margin(outcomes: usize, failing: bool) -> f64 {
    let margin = FAILURE_MARGIN * (RECENT_OUTCOMES as f64 / outcomes as f64).sqrt();
    if failing { margin * RECOVERY_FACTOR } else { margin }
}

fn fail_if(failing: bool) -> Assessment {
    if failing { Assessment::Fail } else { Assessment::Pass }
}

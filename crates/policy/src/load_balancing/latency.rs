//! Latency estimates by class, kind of endpoint and zone.
//!
//! A slowdown is the natural logarithm of a latency's ratio to the baseline. Baselines are relative to the
//! request's work hint, if there is one.

use std::collections::BTreeMap;

use crate::api::{ClassId, KindId, Micros, Request, ZoneId};
use crate::build_health::{MAX_COMPARISON_AGE, MIN_OUTCOMES, MIN_SAMPLES};
use crate::units::MILLISECOND;

/// Number of outcomes after which a baseline is no longer updated while a build is on trial.
const BASELINE_SAMPLES: u32 = 100;
/// Weight of the newest outcome in a zone's mean.
const ZONE_SMOOTHING: f64 = 0.05;
/// Weight of the newest request in the mean work.
const WORK_SMOOTHING: f64 = 0.01;
/// Assumed work of a request without a hint or a known latency, in microseconds.
const DEFAULT_WORK_MICROS: f64 = 50.0 * MILLISECOND as f64;

/// Exponentially smoothed mean that starts as the arithmetic mean of the first values.
#[derive(Default)]
pub(crate) struct SmoothedLatency {
    pub(crate) mean: f64,
    pub(crate) count: u32,
    /// Time of the last value.
    pub(crate) updated_at: Micros,
}

impl SmoothedLatency {
    /// Adds a value with the weight `smoothing`, or its weight in an arithmetic mean if that is larger.
    ///
    /// The mean restarts after `max_age` without a value.
    fn add(&mut self, now: Micros, value: f64, smoothing: f64, max_age: Micros) {
        self.count = if self.updated_at.saturating_add(max_age) > now { self.count + 1 } else { 1 };
        self.updated_at = now;
        self.mean += (value - self.mean) * smoothing.max(1.0 / f64::from(self.count));
    }

    /// Returns whether the last value is recent enough for a comparison.
    fn is_recent(&self, now: Micros) -> bool {
        self.updated_at + MAX_COMPARISON_AGE > now
    }
}

/// Effect of a response on the baselines.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum BaselineUpdate {
    /// No update.
    Skip,
    /// An update.
    Update,
    /// An update only while a baseline has too few samples: a build is on trial, and its effect on the fleet
    /// must not become part of the baseline.
    UpdateUntilKnown,
}

/// The class and kind of endpoint of a baseline.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct BaselineKey {
    class: ClassId,
    /// Kind of endpoint; none: all kinds.
    kind: Option<KindId>,
}

/// Slowdown of a response relative to the baselines; none where a baseline is not known yet.
pub(crate) struct Slowdown {
    /// Relative to the baseline of its class at all kinds of endpoints.
    pub(crate) over_class: Option<f64>,
    /// Relative to the baseline of its class at its kind of endpoint.
    pub(crate) over_kind: Option<f64>,
}

/// This instance's latency estimates.
#[derive(Default)]
pub(crate) struct LatencyEstimates {
    /// Mean logarithm of latency over work hint, by class and by class and kind of endpoint.
    baselines: BTreeMap<BaselineKey, SmoothedLatency>,
    /// Mean slowdown of the released builds in each zone.
    zones: BTreeMap<ZoneId, SmoothedLatency>,
    /// Mean work of a request, in microseconds.
    pub(crate) mean_work: SmoothedLatency,
}

impl LatencyEstimates {
    /// Returns the expected work of a request in microseconds: its hint, or else the usual latency of its
    /// class, which overestimates the work.
    pub(crate) fn work(&self, request: &Request) -> f64 {
        if let Some(hint) = request.work_hint {
            return hint as f64;
        }
        let baseline =
            self.baselines.get(&BaselineKey { class: request.class, kind: None }).filter(|b| b.count > 0);
        baseline.map_or(DEFAULT_WORK_MICROS, |b| b.mean.exp())
    }

    pub(crate) fn add_request(&mut self, now: Micros, request: &Request) {
        let work = self.work(request);
        self.mean_work.add(now, work, WORK_SMOOTHING, Micros::MAX);
    }

    /// Returns the slowdown of a response, after updating the baselines with it as `update` requires.
    pub(crate) fn slowdown(
        &mut self,
        now: Micros,
        request: &Request,
        kind: KindId,
        latency: Micros,
        update: BaselineUpdate,
    ) -> Slowdown {
        let hint = request.work_hint.map_or(1.0, |hint| hint.max(1) as f64);
        let value = (latency.max(1) as f64 / hint).ln();
        let class = request.class;
        let class_key = BaselineKey { class, kind: None };
        let kind_key = BaselineKey { class, kind: Some(kind) };
        Slowdown {
            over_class: self.slowdown_over_baseline(now, class_key, value, update),
            over_kind: self.slowdown_over_baseline(now, kind_key, value, update),
        }
    }

    fn slowdown_over_baseline(
        &mut self,
        now: Micros,
        key: BaselineKey,
        value: f64,
        update: BaselineUpdate,
    ) -> Option<f64> {
        let baseline = self.baselines.entry(key).or_default();
        let updates_baseline = match update {
            BaselineUpdate::Skip => false,
            BaselineUpdate::Update => true,
            BaselineUpdate::UpdateUntilKnown => baseline.count < BASELINE_SAMPLES,
        };
        if updates_baseline {
            baseline.add(now, value, 0.5 / f64::from(BASELINE_SAMPLES), Micros::MAX);
        }
        (baseline.count >= MIN_OUTCOMES as u32).then_some(value - baseline.mean)
    }

    pub(crate) fn add_to_zone(&mut self, now: Micros, zone: ZoneId, slowdown: f64) {
        let estimate = self.zones.entry(zone).or_default();
        estimate.add(now, slowdown, ZONE_SMOOTHING, MAX_COMPARISON_AGE);
    }

    /// Returns the recent slowdown of a zone; 0 with too few or no recent values, so that a slow zone is
    /// tried again.
    pub(crate) fn zone_slowdown(&self, now: Micros, zone: ZoneId) -> f64 {
        let estimate = self.zones.get(&zone);
        let known = estimate.filter(|e| e.count >= MIN_SAMPLES as u32 && e.is_recent(now));
        known.map_or(0.0, |e| e.mean)
    }

    /// Returns the slowdown of the released builds in a zone, if it is known well enough for comparisons.
    pub(crate) fn zone_baseline(&self, now: Micros, zone: ZoneId) -> Option<f64> {
        let estimate = self.zones.get(&zone)?;
        let known = estimate.count >= MIN_OUTCOMES as u32 && estimate.is_recent(now);
        known.then_some(estimate.mean)
    }
}

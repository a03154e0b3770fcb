//! Estimates of how long requests take, by class, kind of endpoint and zone.
//!
//! Latencies are compared as natural logarithms of their ratio to the work hinted or usual (a slowdown).

use std::collections::BTreeMap;

use crate::api::{ClassId, KindId, Micros, Request, ZoneId};
use crate::build_health::{COMPARISON_WINDOW, MIN_OUTCOMES, MIN_SAMPLES};
use crate::units::MILLISECOND;

/// Outcomes after which the baseline is learnt no more while a build is on trial.
const BASELINE_SAMPLES: u32 = 100;
/// Weight of the newest outcome in a zone's mean.
const ZONE_SMOOTHING: f64 = 0.05;
/// Weight of the newest request in the mean work.
const WORK_SMOOTHING: f64 = 0.01;
/// Work of a request while no hint or latency is known, in microseconds.
const UNKNOWN_WORK: f64 = 50.0 * MILLISECOND as f64;

/// A smoothed mean that starts as a plain mean of the first values.
#[derive(Default)]
pub(crate) struct SmoothedLatency {
    pub(crate) mean: f64,
    pub(crate) count: u32,
    /// When the last value came.
    pub(crate) updated_at: Micros,
}

impl SmoothedLatency {
    /// Takes one more value, with the weight `smoothing` or its part of a plain mean; it starts anew after
    /// `max_age` without one.
    fn add(&mut self, now: Micros, value: f64, smoothing: f64, max_age: Micros) {
        self.count = if self.updated_at.saturating_add(max_age) > now { self.count + 1 } else { 1 };
        self.updated_at = now;
        self.mean += (value - self.mean) * smoothing.max(1.0 / f64::from(self.count));
    }

    /// Whether a value is recent enough to compare with the present.
    fn is_recent(&self, now: Micros) -> bool {
        self.updated_at + COMPARISON_WINDOW > now
    }
}

/// What the baselines learn from an answer.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum BaselineUpdate {
    /// Nothing.
    Skip,
    /// All of it.
    Learn,
    /// Only while a baseline has too few samples: a build is on trial, and what the trial does to the fleet
    /// must not become the baseline.
    LearnUntilKnown,
}

/// What a baseline is kept for.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct BaselineKey {
    class: ClassId,
    /// One kind of endpoint; none: all kinds together.
    kind: Option<KindId>,
}

/// How much slower an answer was than the baselines; none where a baseline is not known yet.
pub(crate) struct Slowdown {
    /// Over the baseline of its class at all kinds of endpoint.
    pub(crate) over_class: Option<f64>,
    /// Over the baseline of its class at its kind of endpoint.
    pub(crate) over_kind: Option<f64>,
}

/// What this instance knows of latencies.
#[derive(Default)]
pub(crate) struct LatencyEstimates {
    /// Logarithm of latency over hint, by class, and by class and kind of endpoint.
    baselines: BTreeMap<BaselineKey, SmoothedLatency>,
    /// Slowdown of the released builds in each zone.
    zones: BTreeMap<ZoneId, SmoothedLatency>,
    /// Mean work of a request, in microseconds.
    pub(crate) mean_work: SmoothedLatency,
}

impl LatencyEstimates {
    /// Expected work of a request: its hint, else the usual latency of its class (which errs upwards).
    pub(crate) fn work(&self, request: &Request) -> f64 {
        if let Some(hint) = request.work_hint {
            return hint as f64;
        }
        let baseline =
            self.baselines.get(&BaselineKey { class: request.class, kind: None }).filter(|b| b.count > 0);
        baseline.map_or(UNKNOWN_WORK, |b| b.mean.exp())
    }

    pub(crate) fn add_request(&mut self, now: Micros, request: &Request) {
        let work = self.work(request);
        self.mean_work.add(now, work, WORK_SMOOTHING, Micros::MAX);
    }

    /// Compares an answer with the baselines, after these have learnt from it as `update` says.
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
        let of_class = BaselineKey { class, kind: None };
        let of_kind = BaselineKey { class, kind: Some(kind) };
        Slowdown {
            over_class: self.over_baseline(now, of_class, value, update),
            over_kind: self.over_baseline(now, of_kind, value, update),
        }
    }

    fn over_baseline(
        &mut self,
        now: Micros,
        key: BaselineKey,
        value: f64,
        update: BaselineUpdate,
    ) -> Option<f64> {
        let baseline = self.baselines.entry(key).or_default();
        let learns = match update {
            BaselineUpdate::Skip => false,
            BaselineUpdate::Learn => true,
            BaselineUpdate::LearnUntilKnown => baseline.count < BASELINE_SAMPLES,
        };
        if learns {
            baseline.add(now, value, 0.5 / f64::from(BASELINE_SAMPLES), Micros::MAX);
        }
        (baseline.count >= MIN_OUTCOMES as u32).then_some(value - baseline.mean)
    }

    pub(crate) fn add_to_zone(&mut self, now: Micros, zone: ZoneId, slowdown: f64) {
        let estimate = self.zones.entry(zone).or_default();
        estimate.add(now, slowdown, ZONE_SMOOTHING, COMPARISON_WINDOW);
    }

    /// How slow a zone is of late; nothing lately: no slower than usual, so that it is tried again.
    pub(crate) fn zone_slowdown(&self, now: Micros, zone: ZoneId) -> f64 {
        let estimate = self.zones.get(&zone);
        let known = estimate.filter(|e| e.count >= MIN_SAMPLES as u32 && e.is_recent(now));
        known.map_or(0.0, |e| e.mean)
    }

    /// The slowdown of the released builds in a zone, where it is known well enough to judge others by it.
    pub(crate) fn zone_baseline(&self, now: Micros, zone: ZoneId) -> Option<f64> {
        let estimate = self.zones.get(&zone)?;
        let known = estimate.count >= MIN_OUTCOMES as u32 && estimate.is_recent(now);
        known.then_some(estimate.mean)
    }
}

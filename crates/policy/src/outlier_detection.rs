//! Outlier detection: endpoints that are slow or fail, and their ejection.

use crate::api::{Build, EndpointId, Micros, Outcome};
use crate::engine::Policy;
use crate::units::{MILLISECOND, SECOND};

/// First ejection, doubled each time ...
const EJECTION_INITIAL: Micros = SECOND;
/// ... up to this: an endpoint may have recovered.
const EJECTION_MAX: Micros = 4 * SECOND;
/// An endpoint that is rarely met is ejected for so many times as long as it was not met.
const EJECTION_PER_GAP: Micros = 2;
/// Weight of the newest outcome in an endpoint's slowdown and fault ratio.
const SMOOTHING: f64 = 0.15;
/// A slowdown fades by half in so long: a slow endpoint is tried again.
const SLOWDOWN_HALF_LIFE: Micros = 5 * SECOND;
/// Smoothed fault ratio above which an endpoint is ejected: five faults in a row.
const EJECTION_FAULT_RATIO: f64 = 0.5;
/// A fault counts as this slow (logarithm): quick errors must draw no traffic.
pub(crate) const FAULT_SLOWDOWN: f64 = 1.1;

/// What an endpoint's outcomes at this instance say of it.
pub(crate) struct EndpointHealth {
    /// Smoothed logarithm of how much slower than usual its answers are, at `updated_at`.
    slowdown: f64,
    updated_at: Micros,
    /// Smoothed share of faults, 0 to 1.
    fault_ratio: f64,
    ejected_until: Micros,
    next_ejection: Micros,
    /// Whether the last ejection was because no connection came up.
    unreachable: bool,
}

impl Default for EndpointHealth {
    fn default() -> Self {
        EndpointHealth {
            slowdown: 0.0,
            updated_at: 0,
            fault_ratio: 0.0,
            ejected_until: 0,
            next_ejection: EJECTION_INITIAL,
            unreachable: false,
        }
    }
}

impl EndpointHealth {
    /// How slow the endpoint is taken for now; it fades, so that a slow one is tried again.
    pub(crate) fn slowdown(&self, now: Micros) -> f64 {
        self.slowdown * remaining_after(now.saturating_sub(self.updated_at))
    }

    pub(crate) fn fault_ratio(&self) -> f64 {
        self.fault_ratio
    }

    pub(crate) fn is_ejected(&self, now: Micros) -> bool {
        now < self.ejected_until
    }

    pub(crate) fn is_unreachable(&self) -> bool {
        self.unreachable
    }

    /// Takes an outcome over; for how long the endpoint is ejected because of it, if it is. `build_errors` is
    /// the error ratio of the endpoint's build.
    fn record(&mut self, now: Micros, outcome: Outcome, slowdown: f64, build_errors: f64) -> Option<Micros> {
        let fault = outcome != Outcome::Success;
        let gap = if self.updated_at > 0 { now.saturating_sub(self.updated_at) } else { 0 };
        self.update_slowdown(now, if fault { slowdown.max(FAULT_SLOWDOWN) } else { slowdown });
        self.update_fault_ratio(outcome, gap);
        // An endpoint that can't be reached costs a connect time-out an attempt: it is ejected at once. One
        // that fails is ejected once it fails far more than its build does, whose failures are the evidence
        // that the build is assessed by.
        let unreachable = outcome == Outcome::ConnectFailed;
        let failing = self.fault_ratio > EJECTION_FAULT_RATIO + build_errors;
        if !fault {
            self.next_ejection = EJECTION_INITIAL;
            return None;
        }
        if !(unreachable || failing) || self.is_ejected(now) {
            return None;
        }
        Some(self.eject(now, unreachable, gap))
    }

    fn update_slowdown(&mut self, now: Micros, sample: f64) {
        let faded = self.slowdown(now);
        self.slowdown = faded + (sample - faded) * SMOOTHING;
        self.updated_at = now;
    }

    /// Danger: an instance with few requests meets a failing endpoint now and then, and needs five meetings
    /// to tell. An outcome after long without any says more; not a time-out: an overloaded fleet brings it,
    /// too.
    fn update_fault_ratio(&mut self, outcome: Outcome, gap: Micros) {
        let smoothing = match outcome {
            Outcome::Success | Outcome::Error => SMOOTHING.max(1.0 - remaining_after(gap)),
            _ => SMOOTHING,
        };
        let sample = if outcome == Outcome::Success { 0.0 } else { 1.0 };
        self.fault_ratio += (sample - self.fault_ratio) * smoothing;
    }

    fn eject(&mut self, now: Micros, unreachable: bool, gap: Micros) -> Micros {
        // Ejected for less than it takes to meet it again, it would hardly be ejected at all.
        let min_span = if unreachable { 0 } else { EJECTION_PER_GAP * gap.min(SLOWDOWN_HALF_LIFE) };
        let span = self.next_ejection.max(min_span);
        self.unreachable = unreachable;
        self.fault_ratio = EJECTION_FAULT_RATIO;
        self.ejected_until = now + span;
        self.next_ejection = (self.next_ejection * 2).min(EJECTION_MAX);
        span
    }
}

/// What is left of a slowdown after so long without an outcome, 0 to 1.
fn remaining_after(span: Micros) -> f64 {
    0.5_f64.powf(span as f64 / SLOWDOWN_HALF_LIFE as f64)
}

impl Policy {
    /// Records what an attempt shows about its endpoint: its slowdown, its faults, and whether to eject it.
    pub(crate) fn record_endpoint_outcome(&mut self, id: EndpointId, outcome: Outcome, slowdown: f64) {
        let Some(build) = self.endpoints.get(id).map(|e| e.record.build) else { return };
        let build_errors = self.error_ratio(build);
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        if let Some(span) = endpoint.health.record(self.now, outcome, slowdown, build_errors) {
            let millis = span / MILLISECOND;
            self.log_shared_event(|| format!("endpoint {} ejected for {millis} ms: {outcome:?}", id.0));
        }
    }

    /// Whether an endpoint fails enough, beyond its build, to be kept from requests that must not run twice.
    pub(crate) fn is_suspect(&self, fault_ratio: f64, build: Build) -> bool {
        fault_ratio > EJECTION_FAULT_RATIO / 2.0 + self.error_ratio(build)
    }
}

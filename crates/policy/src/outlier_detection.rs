//! Outlier detection: the slowdown and the faults of endpoints, and the ejection of failing ones.

use crate::api::{Build, EndpointId, Micros, Outcome};
use crate::engine::Policy;
use crate::units::{MILLISECOND, SECOND};

/// Duration of the first ejection; doubled with each further one until the endpoint succeeds.
const INITIAL_EJECTION: Micros = SECOND;
/// Maximum of the doubled duration: the endpoint may have recovered.
const MAX_EJECTION: Micros = 4 * SECOND;
/// Minimum duration of a failing endpoint's ejection, as a multiple of the time since its previous outcome.
/// That time counts up to [`SLOWDOWN_HALF_LIFE`].
const EJECTION_IDLE_MULTIPLE: u64 = 2;
/// Weight of the newest outcome in an endpoint's slowdown and fault ratio.
const OUTCOME_SMOOTHING: f64 = 0.15;
/// Half-life of a slowdown, which decays so that a slow endpoint is tried again.
const SLOWDOWN_HALF_LIFE: Micros = 5 * SECOND;
/// Smoothed fault ratio above which an endpoint is ejected, reached by five consecutive faults.
const EJECTION_FAULT_RATIO: f64 = 0.5;
/// Minimum slowdown (natural logarithm) that a fault counts as, so that fast errors attract no traffic.
pub(crate) const FAULT_SLOWDOWN: f64 = 1.1;

/// Health of an endpoint, estimated from its outcomes at this instance.
pub(crate) struct EndpointHealth {
    /// Smoothed slowdown (natural logarithm) of its responses, as of `updated_at`.
    slowdown: f64,
    updated_at: Micros,
    /// Smoothed ratio of faults to outcomes, 0 to 1.
    fault_ratio: f64,
    ejected_until: Micros,
    next_ejection: Micros,
    /// Whether the last ejection was due to a failed connection.
    unreachable: bool,
}

impl Default for EndpointHealth {
    fn default() -> Self {
        EndpointHealth {
            slowdown: 0.0,
            updated_at: 0,
            fault_ratio: 0.0,
            ejected_until: 0,
            next_ejection: INITIAL_EJECTION,
            unreachable: false,
        }
    }
}

impl EndpointHealth {
    /// Returns the slowdown of the endpoint, which decays so that a slow endpoint is tried again.
    pub(crate) fn slowdown(&self, now: Micros) -> f64 {
        self.slowdown * slowdown_fraction_left(now.saturating_sub(self.updated_at))
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

    /// Records an outcome and ejects the endpoint if it is an outlier. Returns the duration of the ejection.
    ///
    /// `build_error_ratio` is the error ratio of the endpoint's build.
    fn record(
        &mut self,
        now: Micros,
        outcome: Outcome,
        slowdown: f64,
        build_error_ratio: f64,
    ) -> Option<Micros> {
        let fault = outcome != Outcome::Success;
        let idle = if self.updated_at > 0 { now.saturating_sub(self.updated_at) } else { 0 };
        self.update_slowdown(now, if fault { slowdown.max(FAULT_SLOWDOWN) } else { slowdown });
        self.update_fault_ratio(outcome, idle);
        // An unreachable endpoint is ejected at once, since every attempt costs a connect time-out. A failing
        // one is ejected only if it fails far more than its build: the build's own failures are needed as
        // evidence for its assessment.
        let unreachable = outcome == Outcome::ConnectFailed;
        let failing = self.fault_ratio > EJECTION_FAULT_RATIO + build_error_ratio;
        if !fault {
            self.next_ejection = INITIAL_EJECTION;
            return None;
        }
        if !(unreachable || failing) || self.is_ejected(now) {
            return None;
        }
        Some(self.eject(now, unreachable, idle))
    }

    fn update_slowdown(&mut self, now: Micros, sample: f64) {
        let decayed = self.slowdown(now);
        self.slowdown = decayed + (sample - decayed) * OUTCOME_SMOOTHING;
        self.updated_at = now;
    }

    /// Updates the fault ratio, where an outcome weighs more the longer the endpoint had none.
    ///
    /// Otherwise an instance with few requests would need five rare attempts to detect a failing endpoint.
    /// Time-outs always have the normal weight, because an overloaded fleet causes them, too.
    fn update_fault_ratio(&mut self, outcome: Outcome, idle: Micros) {
        let smoothing = match outcome {
            Outcome::Success | Outcome::Error => OUTCOME_SMOOTHING.max(1.0 - slowdown_fraction_left(idle)),
            _ => OUTCOME_SMOOTHING,
        };
        let sample = if outcome == Outcome::Success { 0.0 } else { 1.0 };
        self.fault_ratio += (sample - self.fault_ratio) * smoothing;
    }

    fn eject(&mut self, now: Micros, unreachable: bool, idle: Micros) -> Micros {
        // If an ejection is shorter than the time between attempts at the endpoint, it has no effect.
        let min_duration =
            if unreachable { 0 } else { EJECTION_IDLE_MULTIPLE * idle.min(SLOWDOWN_HALF_LIFE) };
        let duration = self.next_ejection.max(min_duration);
        self.unreachable = unreachable;
        self.fault_ratio = EJECTION_FAULT_RATIO;
        self.ejected_until = now + duration;
        self.next_ejection = (self.next_ejection * 2).min(MAX_EJECTION);
        duration
    }
}

/// Returns the fraction of a slowdown that is left after `duration` without an outcome, 0 to 1.
fn slowdown_fraction_left(duration: Micros) -> f64 {
    0.5_f64.powf(duration as f64 / SLOWDOWN_HALF_LIFE as f64)
}

impl Policy {
    /// Records the outcome of an attempt at an endpoint, and logs the ejection that it may cause.
    pub(crate) fn record_endpoint_outcome(&mut self, id: EndpointId, outcome: Outcome, slowdown: f64) {
        let Some(build) = self.endpoints.get(id).map(|e| e.record.build) else { return };
        let build_error_ratio = self.error_ratio(build);
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        if let Some(duration) = endpoint.health.record(self.now, outcome, slowdown, build_error_ratio) {
            let millis = duration / MILLISECOND;
            self.log_shared_event(|| format!("endpoint {} ejected for {millis} ms: {outcome:?}", id.0));
        }
    }

    /// Returns whether an endpoint's fault ratio exceeds its build's error ratio by more than half of
    /// [`EJECTION_FAULT_RATIO`]. Requests that must not run twice then avoid it.
    pub(crate) fn is_suspect(&self, fault_ratio: f64, build: Build) -> bool {
        fault_ratio > EJECTION_FAULT_RATIO / 2.0 + self.error_ratio(build)
    }
}

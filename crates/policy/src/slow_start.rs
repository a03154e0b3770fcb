//! Slow start: work budgets of endpoints that are warming up.
//!
//! An endpoint has less than its full capacity for a while after its start, and fails if it is sent a
//! multiple of its current capacity within a window. Each instance therefore keeps to its own part of the
//! endpoint's budget. All parts together stay within the budget without communication between instances.

use std::collections::{BTreeMap, VecDeque};

use fastrand::Rng;

use crate::api::{EndpointId, EndpointRecord, KindId, Micros, Request};
use crate::endpoints::Endpoint;
use crate::engine::Policy;
use crate::units::SECOND;

/// Maximum fraction of a budget that is used, since work hints are inexact.
const MAX_BUDGET_USE: f64 = 0.9;
/// Capacity in cores that any endpoint is assumed to have, until the load that its kind serves is known.
const ASSUMED_CORES: f64 = 0.25;
/// Time constant of the mean load that endpoints serve.
const SERVED_LOAD_TIME_CONSTANT: Micros = 5 * SECOND;
/// Reserve in the budget, in standard errors of the work that all instances send in their slots.
const RESERVED_STANDARD_ERRORS: f64 = 1.0;

/// Load from this instance that a warm endpoint of a kind serves on average, in cores.
#[derive(Default)]
struct ServedLoad {
    /// Work from this instance that all warm endpoints of the kind have served since the last update, in
    /// microseconds.
    served_work: f64,
    mean: f64,
}

impl ServedLoad {
    /// Adds the work that `endpoints` endpoints served in `span` to the mean. The mean starts at 0, so that
    /// the load is not overestimated before it is known.
    fn update(&mut self, span: Micros, endpoints: usize) {
        let smoothing = (span as f64 / SERVED_LOAD_TIME_CONSTANT as f64).min(1.0);
        let load = self.served_work / (span.max(1) as f64 * endpoints as f64);
        self.mean += (load - self.mean) * smoothing;
    }
}

/// Served load by kind of endpoint.
#[derive(Default)]
pub(crate) struct ServedLoads {
    by_kind: BTreeMap<KindId, ServedLoad>,
    updated_at: Micros,
}

impl ServedLoads {
    pub(crate) fn add(&mut self, kind: KindId, work: f64) {
        self.by_kind.entry(kind).or_default().served_work += work;
    }

    fn mean(&self, kind: KindId) -> f64 {
        self.by_kind.get(&kind).map_or(0.0, |load| load.mean)
    }

    /// Returns the time since the previous call.
    fn take_span(&mut self, now: Micros) -> Micros {
        let span = now.saturating_sub(self.updated_at);
        self.updated_at = now;
        span
    }
}

/// Numbers of endpoints of a kind that are warming up and that are warm.
#[derive(Default)]
struct KindCount {
    warming_up: usize,
    warm: usize,
}

/// This instance's part of the budget of an endpoint that is warming up, in microseconds of work.
struct Allowance {
    /// Part accrued since the endpoint's start.
    accrued: f64,
    /// Part for one overload window.
    in_window: f64,
}

/// Work sent to an endpoint, in microseconds, and the time of sending.
struct SentWork {
    at: Micros,
    work: f64,
}

/// This instance's use of the budget of an endpoint that may be warming up.
#[derive(Default)]
pub(crate) struct SlowStartBudget {
    /// Work sent in the last overload window.
    recent_work: VecDeque<SentWork>,
    /// Part of the warm endpoint's capacity, in cores, on which this instance's slow-start budget is based.
    /// It limits nothing once the endpoint has warmed up.
    usable_cores: f64,
    /// Accrued allowance at which the work sent so far is covered.
    covered_at_accrued: f64,
    /// Position of this instance's slots in the cycle of all instances at this endpoint, 0 to 1.
    phase: f64,
}

impl SlowStartBudget {
    /// Returns whether a request of `work` microseconds fits into the budget.
    ///
    /// Within a window this instance's part is a strict limit, since hundreds of instances may each send a
    /// request at the same time. If the part is less than one request, a request is allowed only in this
    /// instance's slots; the slots of all instances are spread evenly. A slot that is not used soon is lost.
    /// Otherwise all instances would save one and use it when a drain or a partition elsewhere ends. The cost
    /// is that a busy instance can use its part of the budget only slowly.
    fn admits(&mut self, now: Micros, window: Micros, allowance: &Allowance, work: f64, cycle: f64) -> bool {
        while self.recent_work.pop_front_if(|sent| now - sent.at > window).is_some() {}
        let budget = allowance.in_window;
        let sent: f64 = self.recent_work.iter().map(|sent| sent.work).sum();
        let uncovered = (self.covered_at_accrued - allowance.accrued).max(0.0);
        let slot_is_due = (allowance.accrued / cycle + self.phase).fract() * cycle < budget / 2.0;
        let fits = uncovered + work <= budget && sent + work <= budget;
        fits || self.recent_work.is_empty() && slot_is_due && uncovered <= budget / 2.0
    }

    fn spend(&mut self, now: Micros, allowance: &Allowance, work: f64) {
        self.recent_work.push_back(SentWork { at: now, work });
        self.covered_at_accrued = self.covered_at_accrued.max(allowance.accrued) + work;
    }
}

impl Policy {
    /// Returns the fraction of its capacity that an endpoint has at least, 0 to 1; none if it has warmed up.
    pub(crate) fn slow_start_factor(&self, record: &EndpointRecord) -> Option<f64> {
        let age = self.now.saturating_sub(record.started?) as f64;
        let progress = age / self.config.slow_start_duration.max(1) as f64;
        let initial = self.config.slow_start_initial;
        (progress < 1.0).then_some(initial + (1.0 - initial) * progress)
    }

    /// Creates the budget of an endpoint whose process is new to this instance.
    pub(crate) fn new_slow_start_budget(&self, record: &EndpointRecord) -> SlowStartBudget {
        // All instances use the same seed and add their own offset, which spreads their slots evenly.
        let seed = record.started.unwrap_or(0) ^ (u64::from(record.cell.0) << 48);
        let mut shared_rng = Rng::with_seed(seed);
        let instances = f64::from(self.config.instance_count.max(1));
        let own_offset = f64::from(self.config.instance_index) / instances;
        SlowStartBudget {
            phase: (shared_rng.f64() + own_offset).fract(),
            usable_cores: self.usable_cores(record.kind),
            ..SlowStartBudget::default()
        }
    }

    /// Returns the part of a starting endpoint's full capacity, in cores, on which this instance bases its
    /// budget.
    ///
    /// It is the load from this instance that a warm endpoint of the kind serves, so that all instances'
    /// parts add up to a load that such endpoints are known to handle. An instance that has measured less
    /// takes an even part of [`ASSUMED_CORES`]; a full core would be more than a slow or small endpoint has.
    /// The cost is that an instance with little load, or soon after its own start, uses less of a warming
    /// endpoint than that could handle.
    fn usable_cores(&self, kind: KindId) -> f64 {
        let instances = f64::from(self.config.instance_count);
        let cores = self.served_loads.mean(kind).max(ASSUMED_CORES / instances);
        // If the part is less than one request, the work that all instances send is random, and its standard
        // error is reserved. The usable fraction `u` solves `u + reserve * sqrt(u) = 1`.
        let multiple = self.config.overload_multiple;
        let window = self.config.overload_window as f64;
        let budget = multiple * self.config.slow_start_initial * window * cores;
        let mean_work = self.latency.mean_work.mean;
        let reserve = RESERVED_STANDARD_ERRORS * (mean_work / (budget * instances)).sqrt();
        let usable_fraction = (((reserve * reserve + 4.0).sqrt() - reserve) / 2.0).powi(2);
        let used_fraction =
            if budget >= mean_work { MAX_BUDGET_USE } else { usable_fraction.min(MAX_BUDGET_USE) };
        cores * used_fraction
    }

    /// Returns this instance's part of an endpoint's budget; none if the endpoint has warmed up.
    fn allowance(&self, endpoint: &Endpoint) -> Option<Allowance> {
        let slow_start_factor = self.slow_start_factor(&endpoint.record)?;
        let age = self.now.saturating_sub(endpoint.record.started?) as f64;
        let rate = self.config.overload_multiple * endpoint.slow_start.usable_cores;
        Some(Allowance {
            accrued: rate * age * (self.config.slow_start_initial + slow_start_factor) / 2.0,
            in_window: rate * slow_start_factor * self.config.overload_window as f64,
        })
    }

    /// Returns whether a request fits into the budget of an endpoint, assuming that all instances send alike.
    /// An endpoint that has warmed up allows any request.
    pub(crate) fn slow_start_allows(&mut self, id: EndpointId, request: &Request) -> bool {
        let Some(allowance) = self.endpoints.get(id).and_then(|e| self.allowance(e)) else {
            return true;
        };
        let work = self.latency.work(request);
        let cycle = self.latency.mean_work.mean.max(allowance.in_window);
        let window = self.config.overload_window;
        let Some(endpoint) = self.endpoints.get_mut(id) else { return false };
        endpoint.slow_start.admits(self.now, window, &allowance, work, cycle)
    }

    /// Charges a request that is sent to an endpoint to its budget, if the endpoint is warming up.
    pub(crate) fn spend_slow_start(&mut self, id: EndpointId, request: &Request) {
        let Some(allowance) = self.endpoints.get(id).and_then(|e| self.allowance(e)) else { return };
        let work = self.latency.work(request);
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.slow_start.spend(self.now, &allowance, work);
        }
    }

    /// Updates the served load of each kind, while there is no overload and most of its endpoints are warm.
    pub(crate) fn update_served_loads(&mut self) {
        let span = self.served_loads.take_span(self.now);
        let is_below_overload = self.concurrency.is_below_overload();
        for (kind, count) in self.count_kinds() {
            let load = self.served_loads.by_kind.entry(kind).or_default();
            if count.warming_up < count.warm && is_below_overload {
                load.update(span, count.warm);
            }
            load.served_work = 0.0;
        }
    }

    fn count_kinds(&self) -> BTreeMap<KindId, KindCount> {
        let mut kinds: BTreeMap<KindId, KindCount> = BTreeMap::new();
        for endpoint in self.endpoints.active() {
            let count = kinds.entry(endpoint.record.kind).or_default();
            if self.slow_start_factor(&endpoint.record).is_some() {
                count.warming_up += 1;
            } else {
                count.warm += 1;
            }
        }
        kinds
    }
}

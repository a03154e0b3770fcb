//! Slow start: budgets of endpoints that are warming up.
//!
//! A started endpoint has less than its full capacity for a while, and a server that is sent a multiple of
//! its present capacity within a window falls over. Each instance therefore keeps to its own part of the
//! budget; all parts together stay within it, without a message between instances.

use std::collections::{BTreeMap, VecDeque};

use fastrand::Rng;

use crate::api::{EndpointId, EndpointRecord, KindId, Micros, Request};
use crate::endpoints::Endpoint;
use crate::engine::Policy;
use crate::units::SECOND;

/// Part of a budget that is used at the most: work hints are rough.
const BUDGET_USE_MAX: f64 = 0.9;
/// Part of a core that any endpoint surely has, while it is not known what endpoints of its kind do.
const ASSURED_CORE: f64 = 0.25;
/// How far back the mean of what endpoints serve goes.
const SERVED_LOAD_MEMORY: Micros = 5 * SECOND;
/// Standard errors of what all instances' turns bring, kept free in the budget.
const RESERVED_ERRORS: f64 = 1.0;

/// What the warm endpoints of a kind serve of this instance's work, each: the share of a core that it fills.
#[derive(Default)]
struct ServedLoad {
    /// Work served since the last update, in microseconds.
    served_work: f64,
    mean: f64,
}

impl ServedLoad {
    /// Takes what was served in `span` by so many endpoints into the mean. The mean starts from nothing: what
    /// is not known yet is not counted on.
    fn update(&mut self, span: Micros, endpoints: usize) {
        let smoothing = (span as f64 / SERVED_LOAD_MEMORY as f64).min(1.0);
        let load = self.served_work / (span.max(1) as f64 * endpoints as f64);
        self.mean += (load - self.mean) * smoothing;
    }
}

/// The served load of each kind of endpoint.
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

    /// The time since this was last called.
    fn take_span(&mut self, now: Micros) -> Micros {
        let span = now.saturating_sub(self.updated_at);
        self.updated_at = now;
        span
    }
}

/// Endpoints of a kind, by whether they are warming up.
#[derive(Default)]
struct KindCount {
    warming_up: usize,
    warm: usize,
}

/// What this instance's part of the budget of an endpoint that is warming up comes to, in work.
struct Allowance {
    /// Since its start.
    accrued: f64,
    /// In the overload window.
    in_window: f64,
}

/// Work sent to an endpoint, in microseconds, and when.
struct SentWork {
    at: Micros,
    work: f64,
}

/// What this instance has sent to an endpoint that may be warming up.
#[derive(Default)]
pub(crate) struct SlowStartBudget {
    /// What was sent in the last overload window.
    recent_work: VecDeque<SentWork>,
    /// Of a core of the endpoint, kept for this instance while it is warming up.
    core_fraction: f64,
    /// What the accrued allowance must come to before the work sent is paid for.
    paid_at_accrued: f64,
    /// 0 to 1: where this instance's turns lie among all instances' at this endpoint.
    phase: f64,
}

impl SlowStartBudget {
    /// Whether a request of this much work fits into the budget.
    ///
    /// Within a window the part is an exact limit, since hundreds of instances may each send one request at
    /// once. Where a part is below one request, the request is due by turns that are spread over the
    /// instances. A turn that is not used soon is lost: otherwise all instances would save one up and use it
    /// when a drain or a partition ends elsewhere. The price: busy instances use the budget up slowly.
    fn admits(&mut self, now: Micros, window: Micros, allowance: &Allowance, work: f64, turn: f64) -> bool {
        while self.recent_work.pop_front_if(|sent| now - sent.at > window).is_some() {}
        let budget = allowance.in_window;
        let sent: f64 = self.recent_work.iter().map(|sent| sent.work).sum();
        let owed = (self.paid_at_accrued - allowance.accrued).max(0.0);
        let turn_is_due = (allowance.accrued / turn + self.phase).fract() * turn < budget / 2.0;
        let fits = owed + work <= budget && sent + work <= budget;
        fits || self.recent_work.is_empty() && turn_is_due && owed <= budget / 2.0
    }

    fn spend(&mut self, now: Micros, allowance: &Allowance, work: f64) {
        self.recent_work.push_back(SentWork { at: now, work });
        self.paid_at_accrued = self.paid_at_accrued.max(allowance.accrued) + work;
    }
}

impl Policy {
    /// How much of its capacity an endpoint surely has, 0 to 1; none: it has long warmed up.
    pub(crate) fn slow_start_factor(&self, record: &EndpointRecord) -> Option<f64> {
        let age = self.now.saturating_sub(record.started?) as f64;
        let progress = age / self.config.slow_start_duration.max(1) as f64;
        let initial = self.config.slow_start_initial;
        (progress < 1.0).then_some(initial + (1.0 - initial) * progress)
    }

    /// The budget for an endpoint that has just become known.
    pub(crate) fn new_slow_start_budget(&self, record: &EndpointRecord) -> SlowStartBudget {
        // The same at every instance but for its number: their turns at an endpoint lie evenly spread.
        let seed = record.started.unwrap_or(0) ^ (u64::from(record.cell.0) << 48);
        let mut common_rng = Rng::with_seed(seed);
        let instances = f64::from(self.config.instance_count.max(1));
        let own_offset = f64::from(self.config.instance_index) / instances;
        SlowStartBudget {
            phase: (common_rng.f64() + own_offset).fract(),
            core_fraction: self.core_fraction(record.kind),
            ..SlowStartBudget::default()
        }
    }

    /// What warm endpoints of its kind serve of this instance's work is its part of an endpoint that starts:
    /// all parts together make what the fleet surely does. An instance that knows too little takes an even
    /// part of a fraction of a core. Danger: a standard core is more than a slow or small endpoint has. Harm:
    /// at low load, or soon after its own start, an instance uses less of a warming endpoint than it would
    /// bear.
    fn core_fraction(&self, kind: KindId) -> f64 {
        let instances = f64::from(self.config.instance_count);
        let share = self.served_loads.mean(kind).max(ASSURED_CORE / instances);
        // Where a part is below a request, what all send is a sum of chance: its spread is kept free too.
        let multiple = self.config.overload_multiple;
        let window = self.config.overload_window as f64;
        let budget = multiple * self.config.slow_start_initial * window * share;
        let mean_work = self.latency.mean_work.mean;
        let chance = RESERVED_ERRORS * (mean_work / (budget * instances)).sqrt();
        let usable = (((chance * chance + 4.0).sqrt() - chance) / 2.0).powi(2);
        let used = if budget >= mean_work { BUDGET_USE_MAX } else { usable.min(BUDGET_USE_MAX) };
        share * used
    }

    /// This instance's part of an endpoint's budget; none: it has warmed up.
    fn allowance(&self, endpoint: &Endpoint) -> Option<Allowance> {
        let slow_start_factor = self.slow_start_factor(&endpoint.record)?;
        let age = self.now.saturating_sub(endpoint.record.started?) as f64;
        let rate = self.config.overload_multiple * endpoint.slow_start.core_fraction;
        Some(Allowance {
            accrued: rate * age * (self.config.slow_start_initial + slow_start_factor) / 2.0,
            in_window: rate * slow_start_factor * self.config.overload_window as f64,
        })
    }

    /// Whether an endpoint's budget, if it is warming up, has place for this request, as if all sent alike.
    pub(crate) fn slow_start_allows(&mut self, id: EndpointId, request: &Request) -> bool {
        let Some(allowance) = self.endpoints.get(id).and_then(|e| self.allowance(e)) else {
            return true;
        };
        let work = self.latency.work(request);
        let turn = self.latency.mean_work.mean.max(allowance.in_window);
        let window = self.config.overload_window;
        let Some(endpoint) = self.endpoints.get_mut(id) else { return false };
        endpoint.slow_start.admits(self.now, window, &allowance, work, turn)
    }

    /// Takes a request that is sent to an endpoint off its budget, if it is warming up.
    pub(crate) fn spend_slow_start(&mut self, id: EndpointId, request: &Request) {
        let Some(allowance) = self.endpoints.get(id).and_then(|e| self.allowance(e)) else { return };
        let work = self.latency.work(request);
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.slow_start.spend(self.now, &allowance, work);
        }
    }

    /// Learns what each kind's warm endpoints serve, while they do it well and are not the lesser part.
    pub(crate) fn update_served_loads(&mut self) {
        let span = self.served_loads.take_span(self.now);
        let answers_in_time = self.concurrency.answers_in_time();
        for (kind, count) in self.count_kinds() {
            let load = self.served_loads.by_kind.entry(kind).or_default();
            if count.warming_up < count.warm && answers_in_time {
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

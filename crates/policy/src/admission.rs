//! Admission: the limit on requests in flight, priorities and tenant quotas.

use crate::api::{ClassId, Micros, Request, TenantId};
use crate::engine::{Policy, TICK};
use crate::units::SECOND;

/// Mean latency over objective above which fewer requests are admitted: queues build up.
const OVERLOAD_RATIO: f64 = 0.55;
/// Mean latency over objective below which more requests are admitted.
const HEADROOM_RATIO: f64 = 0.45;
/// Weight of the newest outcome in that mean.
const LATENCY_SMOOTHING: f64 = 0.05;
/// By how much the limit moves a tick: quicker, it swings.
const LIMIT_ADJUSTMENT: f64 = 0.01;
/// Lowest limit for each endpoint, over all instances: some outcomes are needed to measure by.
const MIN_LIMIT_PER_ENDPOINT: f64 = 2.0;
/// Lowest limit of one instance, over what it has in flight while all goes well.
const MIN_LIMIT_OVER_NORMAL: f64 = 2.0;
/// Highest limit, from which it still falls in time.
const LIMIT_MAX: f64 = 1e6;
/// How far back the mean of what is in flight while all goes well goes.
const NORMAL_MEMORY: Micros = 5 * SECOND;

/// Fraction of the limit open to requests worth nothing; those of the highest priority use all.
const LOWEST_PRIORITY_FRACTION: f64 = 0.7;
/// The highest priority weight counts as this at the least: others are divided by it.
const MIN_PRIORITY_WEIGHT: f64 = 1e-9;
/// Multiple of its share from which a tenant is served after the others.
const OVER_QUOTA_MULTIPLE: f64 = 1.25;

/// Weight of the newest request in a class's or tenant's fraction of the traffic.
const TRAFFIC_SMOOTHING: f64 = 0.01;
/// Weight of the newest outcome in a miss ratio.
const MISS_SMOOTHING: f64 = 0.15;
/// Miss ratio above which the requests of a class or tenant are mostly rejected.
const MOSTLY_FAILING: f64 = 0.75;
/// Share of these requests still admitted, to see when the fault ends.
const PROBE_RATIO: f64 = 0.03;

/// The limit on this instance's attempts in flight, which follows how late answers come.
pub(crate) struct ConcurrencyLimit {
    in_flight: u32,
    limit: f64,
    /// Smoothed latency over objective of all outcomes.
    latency_ratio: f64,
    /// Smoothed count of attempts in flight, while answers come in time.
    normal_in_flight: f64,
}

impl ConcurrencyLimit {
    pub(crate) fn new() -> Self {
        ConcurrencyLimit { in_flight: 0, limit: f64::INFINITY, latency_ratio: 0.0, normal_in_flight: 0.0 }
    }

    pub(crate) fn acquire(&mut self) {
        self.in_flight += 1;
    }

    pub(crate) fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Takes the latency of an answer over its objective into the mean.
    pub(crate) fn record_latency(&mut self, ratio: f64) {
        self.latency_ratio += (ratio - self.latency_ratio) * LATENCY_SMOOTHING;
    }

    /// Takes so many attempts that are as late as their objective into the mean. With none the mean is still
    /// rounded anew: leaving that out would change the decisions in the last digit.
    pub(crate) fn record_overdue(&mut self, attempts: i32) {
        let kept = (1.0 - LATENCY_SMOOTHING).powi(attempts);
        self.latency_ratio = 1.0 - (1.0 - self.latency_ratio) * kept;
    }

    pub(crate) fn answers_in_time(&self) -> bool {
        self.latency_ratio < OVERLOAD_RATIO
    }

    /// Moves the limit by a step, once a tick.
    pub(crate) fn update(&mut self, endpoints: usize, instances: u32) {
        let in_flight = f64::from(self.in_flight);
        if self.latency_ratio > OVERLOAD_RATIO {
            let by_endpoints = MIN_LIMIT_PER_ENDPOINT * endpoints as f64 / f64::from(instances);
            let lowest = by_endpoints.max(MIN_LIMIT_OVER_NORMAL * self.normal_in_flight);
            self.limit = (self.limit.min(in_flight) * (1.0 - LIMIT_ADJUSTMENT)).max(lowest).max(1.0);
        } else if self.latency_ratio < HEADROOM_RATIO {
            self.normal_in_flight +=
                (in_flight - self.normal_in_flight) * (TICK as f64 / NORMAL_MEMORY as f64);
            self.limit = (self.limit * (1.0 + LIMIT_ADJUSTMENT)).min(LIMIT_MAX);
        }
    }

    /// Whether a request of a priority of 0 to 1 is within its fraction of the limit.
    fn admits(&self, priority: f64) -> bool {
        let fraction = LOWEST_PRIORITY_FRACTION + (1.0 - LOWEST_PRIORITY_FRACTION) * priority;
        f64::from(self.in_flight) < self.limit * fraction
    }
}

/// What was seen of a class or a tenant of late.
#[derive(Clone, Default)]
struct TrafficStats {
    /// Smoothed fraction of all requests, 0 to 1.
    traffic_fraction: f64,
    /// Smoothed share of its requests that were not answered within their objective, 0 to 1.
    miss_ratio: f64,
}

impl TrafficStats {
    fn record_request(&mut self, own: bool) {
        self.traffic_fraction += (f64::from(u8::from(own)) - self.traffic_fraction) * TRAFFIC_SMOOTHING;
    }

    fn record_answer(&mut self, missed: bool) {
        self.miss_ratio += (f64::from(u8::from(missed)) - self.miss_ratio) * MISS_SMOOTHING;
    }
}

/// The traffic by class and by tenant.
pub(crate) struct TrafficByGroup {
    classes: Vec<TrafficStats>,
    tenants: Vec<TrafficStats>,
}

impl TrafficByGroup {
    pub(crate) fn new(classes: usize, tenants: usize) -> Self {
        TrafficByGroup {
            classes: vec![TrafficStats::default(); classes],
            tenants: vec![TrafficStats::default(); tenants],
        }
    }

    pub(crate) fn record_request(&mut self, class: ClassId, tenant: Option<TenantId>) {
        for (index, stats) in self.classes.iter_mut().enumerate() {
            stats.record_request(index == class.0);
        }
        for (index, stats) in self.tenants.iter_mut().enumerate() {
            stats.record_request(Some(TenantId(index)) == tenant);
        }
    }

    /// An answer came, or its time ran out.
    pub(crate) fn record_answer(&mut self, class: ClassId, tenant: Option<TenantId>, missed: bool) {
        self.classes[class.0].record_answer(missed);
        if let Some(tenant) = tenant {
            self.tenants[tenant.0].record_answer(missed);
        }
    }

    fn tenant_fraction(&self, tenant: TenantId) -> f64 {
        self.tenants[tenant.0].traffic_fraction
    }

    /// Whether a request's class or tenant is mostly failing.
    fn is_mostly_failing(&self, class: ClassId, tenant: Option<TenantId>) -> bool {
        mostly_failing(&self.classes, class.0)
            || tenant.is_some_and(|tenant| mostly_failing(&self.tenants, tenant.0))
    }
}

/// Whether a class or tenant misses nearly always where another one does not.
/// Danger: requests that wait for something of their own hold all slots until every one misses.
/// What else: clients that give up too early. Harm: the few that would have made it.
fn mostly_failing(groups: &[TrafficStats], index: usize) -> bool {
    groups[index].miss_ratio > MOSTLY_FAILING
        && groups.iter().any(|group| group.miss_ratio < MOSTLY_FAILING / 2.0)
}

impl Policy {
    /// Whether to admit a request. Of mostly failing ones few are; under overload those within the limit on
    /// requests in flight, where classes of lower priority and tenants beyond their share are shed first.
    pub(crate) fn admits(&mut self, request: &Request) -> bool {
        let mostly_failing = self.traffic.is_mostly_failing(request.class, request.tenant);
        if mostly_failing && self.rng.f64() > PROBE_RATIO {
            return false;
        }
        self.concurrency.admits(self.priority(request))
    }

    /// The priority of a request against that of the highest class, 0 to 1.
    fn priority(&self, request: &Request) -> f64 {
        let weights = self.config.classes.iter().map(|class| class.priority_weight);
        let highest = weights.fold(MIN_PRIORITY_WEIGHT, f64::max);
        let priority = self.config.classes[request.class.0].priority_weight / highest;
        let over_quota = request.tenant.is_some_and(|tenant| self.is_over_quota(tenant));
        priority * if over_quota { self.config.over_quota_weight } else { 1.0 }
    }

    /// Whether a tenant's fraction of the traffic is over its `share`; `quota_per_s` is not used here.
    fn is_over_quota(&self, tenant: TenantId) -> bool {
        let share = self.config.tenants[tenant.0].share;
        self.traffic.tenant_fraction(tenant) > OVER_QUOTA_MULTIPLE * share
    }
}

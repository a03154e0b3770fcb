//! Admission control: the concurrency limit, priorities and tenant quotas.

use crate::api::{ClassId, Micros, Request, TenantId};
use crate::engine::{PERIODIC_WORK_INTERVAL, Policy};
use crate::units::SECOND;

/// Mean ratio of latency to objective above which the limit is lowered: queues are building up.
const OVERLOAD_RATIO: f64 = 0.55;
/// Mean ratio of latency to objective below which the limit is raised.
const HEADROOM_RATIO: f64 = 0.45;
/// Weight of the newest outcome in that mean.
const LATENCY_SMOOTHING: f64 = 0.05;
/// Relative change of the limit per [`PERIODIC_WORK_INTERVAL`]: faster changes make it oscillate.
const LIMIT_ADJUSTMENT: f64 = 0.01;
/// Minimum limit per endpoint, over all instances: some outcomes are needed to measure the latency.
const MIN_LIMIT_PER_ENDPOINT: f64 = 2.0;
/// Minimum limit of one instance, as a multiple of its normal number of attempts in flight.
const MIN_LIMIT_NORMAL_MULTIPLE: f64 = 2.0;
/// Maximum limit, in attempts in flight, from which it can still fall fast enough.
const MAX_LIMIT: f64 = 1e6;
/// Time constant of the normal number of attempts in flight.
const NORMAL_IN_FLIGHT_TIME_CONSTANT: Micros = 5 * SECOND;

/// Fraction of the limit available to requests of priority 0; the highest priority can use all of it.
const LOWEST_PRIORITY_LIMIT_FRACTION: f64 = 0.7;
/// Lower bound of the highest priority weight, since weights are divided by it.
const MIN_PRIORITY_WEIGHT: f64 = 1e-9;
/// Multiple of its share above which a tenant's requests get a lower priority.
const OVER_QUOTA_MULTIPLE: f64 = 1.25;

/// Weight of the newest request in the fraction of the traffic of a class or tenant.
const TRAFFIC_SMOOTHING: f64 = 0.01;
/// Weight of the newest outcome in a miss ratio.
const MISS_SMOOTHING: f64 = 0.15;
/// Miss ratio above which the requests of a class or tenant are mostly rejected.
const MOSTLY_FAILING_MISS_RATIO: f64 = 0.75;
/// Fraction of these requests that is still admitted, to detect the end of the fault.
const MOSTLY_FAILING_ADMITTED_RATIO: f64 = 0.03;

/// Limit on this instance's attempts in flight, adjusted by the latency of responses.
pub(crate) struct ConcurrencyLimit {
    in_flight: u32,
    limit: f64,
    /// Smoothed ratio of latency to objective, over all outcomes.
    latency_ratio: f64,
    /// Smoothed number of attempts in flight, updated while `latency_ratio` is below [`HEADROOM_RATIO`].
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

    /// Adds an outcome's ratio of latency to objective to the mean.
    pub(crate) fn record_latency(&mut self, ratio: f64) {
        self.latency_ratio += (ratio - self.latency_ratio) * LATENCY_SMOOTHING;
    }

    /// Adds `attempts` attempts with a ratio of 1 to the mean. Zero attempts must not be skipped: the
    /// computation rounds the mean even then, and decisions would change with its last digit.
    pub(crate) fn record_overdue(&mut self, attempts: i32) {
        let old_mean_weight = (1.0 - LATENCY_SMOOTHING).powi(attempts);
        self.latency_ratio = 1.0 - (1.0 - self.latency_ratio) * old_mean_weight;
    }

    pub(crate) fn is_below_overload(&self) -> bool {
        self.latency_ratio < OVERLOAD_RATIO
    }

    /// Raises or lowers the limit; called once per [`PERIODIC_WORK_INTERVAL`].
    pub(crate) fn update(&mut self, endpoints: usize, instances: u32) {
        let in_flight = f64::from(self.in_flight);
        if self.latency_ratio > OVERLOAD_RATIO {
            let min_by_endpoints = MIN_LIMIT_PER_ENDPOINT * endpoints as f64 / f64::from(instances);
            let min_limit = min_by_endpoints.max(MIN_LIMIT_NORMAL_MULTIPLE * self.normal_in_flight);
            self.limit = (self.limit.min(in_flight) * (1.0 - LIMIT_ADJUSTMENT)).max(min_limit).max(1.0);
        } else if self.latency_ratio < HEADROOM_RATIO {
            self.normal_in_flight += (in_flight - self.normal_in_flight)
                * (PERIODIC_WORK_INTERVAL as f64 / NORMAL_IN_FLIGHT_TIME_CONSTANT as f64);
            self.limit = (self.limit * (1.0 + LIMIT_ADJUSTMENT)).min(MAX_LIMIT);
        }
    }

    /// Returns whether a request of the given priority, 0 to 1, is within its fraction of the limit.
    fn admits(&self, priority: f64) -> bool {
        let fraction = LOWEST_PRIORITY_LIMIT_FRACTION + (1.0 - LOWEST_PRIORITY_LIMIT_FRACTION) * priority;
        f64::from(self.in_flight) < self.limit * fraction
    }
}

/// Recent traffic of a class or a tenant.
#[derive(Clone, Default)]
struct TrafficStats {
    /// Smoothed fraction of all requests, 0 to 1.
    traffic_fraction: f64,
    /// Smoothed fraction of its attempts that missed the latency objective, 0 to 1; only successes and
    /// time-outs count.
    miss_ratio: f64,
}

impl TrafficStats {
    fn record_request(&mut self, in_group: bool) {
        self.traffic_fraction += (f64::from(u8::from(in_group)) - self.traffic_fraction) * TRAFFIC_SMOOTHING;
    }

    fn record_response(&mut self, missed: bool) {
        self.miss_ratio += (f64::from(u8::from(missed)) - self.miss_ratio) * MISS_SMOOTHING;
    }
}

/// Recent traffic by class and by tenant.
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

    /// Records a response, or a time-out, and whether it missed the latency objective.
    pub(crate) fn record_response(&mut self, class: ClassId, tenant: Option<TenantId>, missed: bool) {
        self.classes[class.0].record_response(missed);
        if let Some(tenant) = tenant {
            self.tenants[tenant.0].record_response(missed);
        }
    }

    fn tenant_fraction(&self, tenant: TenantId) -> f64 {
        self.tenants[tenant.0].traffic_fraction
    }

    /// Returns whether the class or the tenant of a request is mostly failing.
    fn is_mostly_failing(&self, class: ClassId, tenant: Option<TenantId>) -> bool {
        mostly_failing(&self.classes, class.0)
            || tenant.is_some_and(|tenant| mostly_failing(&self.tenants, tenant.0))
    }
}

/// Returns whether the miss ratio of a class or tenant is above [`MOSTLY_FAILING_MISS_RATIO`] while that of
/// another one is below half of that bound.
///
/// Guards against requests that wait for a dependency of their own and occupy the concurrency limit until all
/// classes miss their objectives. Clients that give up too early look the same. The cost is the rejection of
/// the few requests that would have met the objective.
fn mostly_failing(groups: &[TrafficStats], index: usize) -> bool {
    groups[index].miss_ratio > MOSTLY_FAILING_MISS_RATIO
        && groups.iter().any(|group| group.miss_ratio < MOSTLY_FAILING_MISS_RATIO / 2.0)
}

impl Policy {
    /// Returns whether to admit a request.
    ///
    /// Requests with too little time are limited to their budget, and few of a mostly failing class or tenant
    /// are admitted. Under overload the limit sheds classes of lower priority and tenants above their share
    /// first.
    pub(crate) fn admits(&mut self, request: &Request) -> bool {
        if !self.deadline_allows_attempt(request) {
            return false;
        }
        let mostly_failing = self.traffic.is_mostly_failing(request.class, request.tenant);
        if mostly_failing && self.rng.f64() > MOSTLY_FAILING_ADMITTED_RATIO {
            return false;
        }
        self.concurrency.admits(self.priority(request))
    }

    /// Returns the priority of a request relative to the class of the highest priority, 0 to 1.
    fn priority(&self, request: &Request) -> f64 {
        let weights = self.config.classes.iter().map(|class| class.priority_weight);
        let highest = weights.fold(MIN_PRIORITY_WEIGHT, f64::max);
        let priority = self.config.classes[request.class.0].priority_weight / highest;
        let over_quota = request.tenant.is_some_and(|tenant| self.is_over_quota(tenant));
        priority * if over_quota { self.config.over_quota_weight } else { 1.0 }
    }

    /// Returns whether a tenant's fraction of the traffic is above its `service_share`. Ignores
    /// `quota_per_s`.
    fn is_over_quota(&self, tenant: TenantId) -> bool {
        let service_share = self.config.tenants[tenant.0].service_share;
        self.traffic.tenant_fraction(tenant) > OVER_QUOTA_MULTIPLE * service_share
    }
}

//! The settings of an instance, fixed at its start.

use super::{Micros, Rollout, ZoneId};

/// Set of endpoints that discard the repeat of a keyed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyScope {
    /// All endpoints.
    All,
    /// The endpoints of one zone.
    Zone,
    /// The endpoints of one cell.
    Cell,
}

/// Effect of running a request twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// No effect: the request may be repeated and rejected freely.
    Idempotent,
    /// No effect if the repeat comes within `window` of the first send, at an endpoint of the same `scope`.
    Keyed {
        /// Endpoints that discard the repeat.
        scope: KeyScope,
        /// How long they discard it.
        window: Micros,
    },
    /// A harmful effect: the request must never run twice.
    NonIdempotent,
}

/// A class of requests.
#[derive(Debug, Clone)]
pub struct Class {
    /// Name, for log lines only.
    pub name: String,
    /// Effect of a repeat.
    pub idempotency: Idempotency,
    /// Time within which a response earns the full priority weight.
    pub latency_objective: Micros,
    /// How long a client waits, over all attempts of its request.
    pub deadline: Micros,
    /// Value of one request (or of one unit of work), 0 or more.
    pub priority_weight: f64,
    /// Fraction of that value that a response after the latency objective earns, 0 to 1.
    pub late_response_value: f64,
    /// Whether responses are streamed.
    pub streamed: bool,
}

/// A tenant and its part of the service.
#[derive(Debug, Clone)]
pub struct Tenant {
    /// The tenant's fraction of the service, 0 to 1.
    pub service_share: f64,
    /// Quota in requests per second, over all instances.
    pub quota_per_s: f64,
}

/// The settings of one instance.
#[derive(Debug, Clone, Default)]
pub struct Config {
    /// Number of instances in this tier.
    pub instance_count: u32,
    /// Number of this instance among them, from 0.
    pub instance_index: u32,
    /// Zone of this instance.
    pub zone: ZoneId,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Tenants, if any.
    pub tenants: Vec<Tenant>,
    /// Whether priority weights apply to a unit of work instead of a request.
    pub priority_by_work: bool,
    /// Factor on the priority of traffic above a tenant's share, 0 to 1.
    pub over_quota_weight: f64,
    /// Whether the endpoint list must be polled or watched; otherwise it is pushed.
    pub poll_endpoints: bool,
    /// Time without a poll after which the instance is assumed to know the endpoint list.
    pub poll_timeout: Micros,
    /// Whether endpoints may be health-checked.
    pub health_checks: bool,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Whether two attempts of a request may be in flight at the same time (hedged requests).
    pub hedging: bool,
    /// Whether gossip with peers is allowed.
    pub gossip: bool,
    /// Longest retry delay that a rejection may tell the client; none: it must not tell any.
    pub retry_after: Option<Micros>,
    /// Maximum number of attempts of one request.
    pub max_attempts: usize,
    /// Shortest time between two rounds of events.
    pub resolution: Micros,
    /// Grace period after the notice of a drain or of a lower exposure cap.
    pub drain_grace: Micros,
    /// Minimum fraction of its capacity that an endpoint has when it starts, 0 to 1.
    pub slow_start_initial: f64,
    /// Time after its start within which an endpoint has warmed up.
    pub slow_start_duration: Micros,
    /// Multiple of its current capacity that overloads an endpoint while it is warming up.
    pub overload_multiple: f64,
    /// Window over which that load is measured.
    pub overload_window: Micros,
    /// Price of an attempt at an endpoint in another zone.
    pub cross_zone_price: f64,
    /// Whether the ratings of endpoints are a measure of their sizes.
    pub ratings_compare_sizes: bool,
    /// Settings of rollouts.
    pub rollout: Rollout,
}

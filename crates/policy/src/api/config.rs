//! What is known at the start of an instance.

use super::{Micros, Rollout, ZoneId};

/// Which endpoints discard the repeat of a keyed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyScope {
    /// Every endpoint.
    All,
    /// The endpoints of one zone.
    Zone,
    /// The endpoints of one cell.
    Cell,
}

/// What running a request twice would do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// Nothing: it may be repeated and rejected freely.
    Idempotent,
    /// Nothing within `window` of the first send, at endpoints of the same `scope`.
    Keyed {
        /// Who discards the repeat.
        scope: KeyScope,
        /// For how long.
        window: Micros,
    },
    /// Harm: it must never run twice.
    NonIdempotent,
}

/// A class of requests.
#[derive(Debug, Clone)]
pub struct Class {
    /// For log lines only.
    pub name: String,
    /// What a repeat would do.
    pub idempotency: Idempotency,
    /// An answer within this time earns the full priority weight.
    pub latency_objective: Micros,
    /// How long a client waits across all its attempts.
    pub deadline: Micros,
    /// Value of one request (or of one unit of work), 0 or more.
    pub priority_weight: f64,
    /// Share of that value that a late answer earns, 0 to 1.
    pub late_priority_weight: f64,
    /// Answers are streamed.
    pub streamed: bool,
}

/// A tenant and its share of the service.
#[derive(Debug, Clone)]
pub struct Tenant {
    /// Its portion of the service, 0 to 1.
    pub share: f64,
    /// Requests a second, across all instances, that count as its own.
    pub quota_per_s: f64,
}

/// The settings of one instance.
#[derive(Debug, Clone, Default)]
pub struct Config {
    /// Instances in this tier.
    pub instance_count: u32,
    /// This instance's number among them, from 0.
    pub instance_index: u32,
    /// This instance's own zone.
    pub zone: ZoneId,
    /// The classes of request.
    pub classes: Vec<Class>,
    /// The tenants, if any.
    pub tenants: Vec<Tenant>,
    /// Priority goes by work, not by request.
    pub priority_by_work: bool,
    /// Factor on the priority of traffic beyond a tenant's share, 0 to 1.
    pub over_quota_weight: f64,
    /// The endpoint list must be polled or watched; it does not come by itself.
    pub poll_endpoints: bool,
    /// After so long without a poll, the instance counts as informed.
    pub poll_timeout: Micros,
    /// Endpoints may be health-checked.
    pub health_checks: bool,
    /// Attempts may be cancelled.
    pub cancellation: bool,
    /// Two attempts of a request may be in flight together.
    pub hedging: bool,
    /// Messages to peers are allowed.
    pub gossip: bool,
    /// Rejections may tell the client when to retry, up to this span.
    pub retry_after: Option<Micros>,
    /// Attempts allowed for one request.
    pub max_attempts: usize,
    /// Smallest gap between two rounds of events.
    pub resolution: Micros,
    /// Grace after the notice of a drain or of a lower exposure cap.
    pub drain_grace: Micros,
    /// Share of its capacity that a started endpoint has at the least, 0 to 1.
    pub slow_start_initial: f64,
    /// Time within which it has warmed up.
    pub slow_start_duration: Micros,
    /// Multiple of its present capacity that overloads an endpoint that is warming up.
    pub overload_multiple: f64,
    /// Window of that multiple.
    pub overload_window: Micros,
    /// Price of an attempt that crosses zones.
    pub cross_zone_price: f64,
    /// The ratings of endpoints compare their sizes.
    pub rated: bool,
    /// How releases come.
    pub rollout: Rollout,
}

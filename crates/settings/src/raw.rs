//! The settings object as written in JSON: keys, types and defaults, before validation.
//!
//! Times are in milliseconds. Unknown keys are ignored.

use serde::Deserialize;

/// Default idle timeout of connections to endpoints, in milliseconds.
const DEFAULT_CONN_IDLE_MS: f64 = 30_000.0;
/// Default connect timeout, in milliseconds.
const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 250.0;
/// Default priority weight of a class.
const DEFAULT_PRIORITY_WEIGHT: f64 = 1.0;

fn default_conn_idle_ms() -> f64 {
    DEFAULT_CONN_IDLE_MS
}

fn default_connect_timeout_ms() -> f64 {
    DEFAULT_CONNECT_TIMEOUT_MS
}

fn default_credit() -> f64 {
    DEFAULT_PRIORITY_WEIGHT
}

/// Top level of the settings object.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct RawSettings {
    #[serde(rename = "balancers")]
    pub(crate) instance_count: u32,
    #[serde(rename = "me", default)]
    pub(crate) instance_index: u32,
    #[serde(rename = "grades")]
    pub(crate) classes: Vec<RawClass>,
    #[serde(default)]
    pub(crate) kinds: Vec<String>,
    pub(crate) limits: RawLimits,
    #[serde(rename = "myZone", default)]
    pub(crate) own_zone: String,
    #[serde(rename = "overShareWorth", default)]
    pub(crate) over_quota_weight: f64,
    #[serde(rename = "report", default)]
    pub(crate) load_report: RawLoadReport,
    #[serde(default)]
    pub(crate) prices: RawPrices,
    #[serde(rename = "registryMode", default)]
    pub(crate) discovery_mode: RawDiscoveryMode,
    pub(crate) resolution: f64,
    pub(crate) safety: RawSafety,
    #[serde(rename = "specifics")]
    pub(crate) rollout: RawRollout,
    #[serde(default)]
    pub(crate) tenants: Vec<RawTenant>,
    #[serde(rename = "valueBy", default)]
    pub(crate) priority_by: String,
    #[serde(default)]
    pub(crate) weights: String,
    #[serde(default)]
    pub(crate) zones: Vec<String>,
}

/// Way in which an instance receives the endpoint list.
#[derive(Deserialize, Default, PartialEq)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RawDiscoveryMode {
    #[default]
    Pushed,
    #[serde(rename = "on_request")]
    Polled,
}

/// Request class.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct RawClass {
    pub(crate) name: String,
    #[serde(rename = "goalTime")]
    pub(crate) latency_objective: f64,
    pub(crate) deadline: f64,
    #[serde(rename = "effect")]
    pub(crate) idempotency: RawIdempotency,
    #[serde(rename = "credit", default = "default_credit")]
    pub(crate) priority_weight: f64,
    #[serde(rename = "lateShare", default)]
    pub(crate) late_response_value: f64,
    #[serde(rename = "dedupScope", default)]
    pub(crate) key_scope: RawKeyScope,
    #[serde(rename = "repeatWindow", default)]
    pub(crate) key_window: f64,
    #[serde(rename = "stream", default)]
    pub(crate) streamed: bool,
}

/// Idempotency of a class.
#[derive(Deserialize, Clone, Copy)]
pub(crate) enum RawIdempotency {
    #[serde(rename = "repeatable")]
    Idempotent,
    #[serde(rename = "by_key")]
    Keyed,
    #[serde(rename = "once")]
    NonIdempotent,
}

/// Set of endpoints that recognize a duplicate idempotency key. The default is the narrowest scope, one cell.
#[derive(Deserialize, Default, Clone, Copy)]
#[serde(rename_all = "lowercase")]
pub(crate) enum RawKeyScope {
    All,
    Zone,
    #[default]
    Cell,
}

/// Limits and permitted features.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct RawLimits {
    #[serde(rename = "cancel", default)]
    pub(crate) cancellation: bool,
    #[serde(rename = "connIdle", default = "default_conn_idle_ms")]
    pub(crate) idle_timeout: f64,
    #[serde(default = "default_connect_timeout_ms")]
    pub(crate) connect_timeout: f64,
    #[serde(rename = "mostHeld", default)]
    pub(crate) max_in_flight: usize,
    pub(crate) max_attempts: usize,
    #[serde(default)]
    pub(crate) max_retry_after: f64,
    #[serde(rename = "parallelTries", default)]
    pub(crate) hedging: bool,
    #[serde(rename = "peerMessages", default)]
    pub(crate) gossip: bool,
    #[serde(rename = "probes", default)]
    pub(crate) health_checks: bool,
    #[serde(default)]
    pub(crate) retry_after: bool,
}

/// Format of the endpoints' load reports.
#[derive(Deserialize, Default)]
pub(crate) struct RawLoadReport {
    #[serde(default)]
    pub(crate) columns: Vec<String>,
}

/// Costs that the deployment assigns.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase")]
pub(crate) struct RawPrices {
    #[serde(default)]
    pub(crate) cross_zone: f64,
}

/// Slow start, overload, draining and polling of the endpoint list.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct RawSafety {
    #[serde(rename = "askWithin", default)]
    pub(crate) poll_timeout: f64,
    #[serde(rename = "coldFrom")]
    pub(crate) slow_start_initial: f64,
    pub(crate) drain_grace: f64,
    #[serde(rename = "fall")]
    pub(crate) overload_window: f64,
    #[serde(rename = "fallMultiple")]
    pub(crate) overload_multiple: f64,
    #[serde(rename = "warmAfter")]
    pub(crate) slow_start_duration: f64,
}

/// Rollout of builds.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct RawRollout {
    #[serde(rename = "apiRate", default)]
    pub(crate) votes_per_s: f64,
    #[serde(rename = "backVotes", default)]
    pub(crate) rollback_quorum: u32,
    #[serde(rename = "ballotTtl")]
    pub(crate) vote_ttl: f64,
    #[serde(default)]
    pub(crate) counted_by: String,
    #[serde(rename = "damagePrice", default)]
    pub(crate) harm_price: f64,
    #[serde(default)]
    pub(crate) delay_price: f64,
    pub(crate) exposure_window: f64,
    #[serde(default)]
    pub(crate) guarded_stages: usize,
    #[serde(rename = "mostShares")]
    pub(crate) exposure_caps: Vec<f64>,
    #[serde(rename = "movesAfter", default)]
    pub(crate) stage_duration: f64,
    #[serde(rename = "noReturn", default)]
    pub(crate) forward_only_keys: bool,
    #[serde(rename = "replaceMode", default)]
    pub(crate) replacement: RawReplacementMode,
    #[serde(rename = "spareTries", default)]
    pub(crate) exposure_allowance: f64,
    #[serde(rename = "steps")]
    pub(crate) stages: Vec<f64>,
    pub(crate) vote_mode: RawVoteMode,
    #[serde(rename = "voteWait", default)]
    pub(crate) vote_timeout: f64,
}

/// Way in which endpoints of a new build replace the earlier ones.
#[derive(Deserialize, Default, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RawReplacementMode {
    #[serde(rename = "beside")]
    SideBySide,
    #[default]
    InPlace,
}

/// Way in which votes decide on a build.
#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "lowercase")]
pub(crate) enum RawVoteMode {
    Any,
    #[serde(rename = "share")]
    InstanceCount,
    Timer,
}

/// Tenant and its quota.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct RawTenant {
    pub(crate) name: String,
    #[serde(rename = "portion", default)]
    pub(crate) service_share: f64,
    #[serde(rename = "quotaRps", default)]
    pub(crate) quota_per_s: f64,
}

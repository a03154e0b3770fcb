//! The settings object as it is written: keys, shapes and defaults, before any check.
//!
//! Times are milliseconds. Unknown keys are ignored.

use serde::Deserialize;

/// Idle timeout of an endpoint's connections where the deployment names none, in milliseconds.
const DEFAULT_CONN_IDLE_MS: f64 = 30_000.0;
/// Connect timeout where the deployment names none, in milliseconds.
const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 250.0;
/// Priority weight of a class where the deployment names none.
const DEFAULT_CREDIT: f64 = 1.0;

fn default_conn_idle_ms() -> f64 {
    DEFAULT_CONN_IDLE_MS
}

fn default_connect_timeout_ms() -> f64 {
    DEFAULT_CONNECT_TIMEOUT_MS
}

fn default_credit() -> f64 {
    DEFAULT_CREDIT
}

/// The settings object.
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
    pub(crate) discovery_mode: RawRegistryMode,
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

/// How the endpoint list reaches an instance.
#[derive(Deserialize, Default, PartialEq)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RawRegistryMode {
    #[default]
    Pushed,
    OnRequest,
}

/// A class of requests.
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
    pub(crate) late_priority_weight: f64,
    #[serde(rename = "dedupScope", default)]
    pub(crate) key_scope: RawKeyScope,
    #[serde(rename = "repeatWindow", default)]
    pub(crate) key_window: f64,
    #[serde(rename = "stream", default)]
    pub(crate) streamed: bool,
}

/// What repeating a request would do.
#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RawIdempotency {
    Repeatable,
    ByKey,
    Once,
}

/// Which endpoints discard a duplicate. Without this key no scope wider than one cell is assumed.
#[derive(Deserialize, Default, Clone, Copy)]
#[serde(rename_all = "lowercase")]
pub(crate) enum RawKeyScope {
    All,
    Zone,
    #[default]
    Cell,
}

/// Limits and allowed features.
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

/// The load report of an endpoint.
#[derive(Deserialize, Default)]
pub(crate) struct RawLoadReport {
    #[serde(default)]
    pub(crate) columns: Vec<String>,
}

/// Costs that the deployment states.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase")]
pub(crate) struct RawPrices {
    #[serde(default)]
    pub(crate) cross_zone: f64,
}

/// Slow start and draining.
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

/// How builds are rolled out.
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

/// Whether earlier endpoints stay during a trial.
#[derive(Deserialize, Default, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RawReplacementMode {
    Beside,
    #[default]
    InPlace,
}

/// How votes move a build.
#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "lowercase")]
pub(crate) enum RawVoteMode {
    Any,
    Share,
    Timer,
}

/// A tenant and its quota.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct RawTenant {
    pub(crate) name: String,
    #[serde(rename = "portion", default)]
    pub(crate) share: f64,
    #[serde(rename = "quotaRps", default)]
    pub(crate) quota_per_s: f64,
}

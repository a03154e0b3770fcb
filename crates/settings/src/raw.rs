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
    pub(crate) balancers: u32,
    #[serde(default)]
    pub(crate) me: u32,
    pub(crate) grades: Vec<RawClass>,
    #[serde(default)]
    pub(crate) kinds: Vec<String>,
    pub(crate) limits: RawLimits,
    #[serde(default)]
    pub(crate) my_zone: String,
    #[serde(default)]
    pub(crate) over_share_worth: f64,
    #[serde(default)]
    pub(crate) report: RawLoadReport,
    #[serde(default)]
    pub(crate) prices: RawPrices,
    #[serde(default)]
    pub(crate) registry_mode: RawRegistryMode,
    pub(crate) resolution: f64,
    pub(crate) safety: RawSafety,
    pub(crate) specifics: RawRollout,
    #[serde(default)]
    pub(crate) tenants: Vec<RawTenant>,
    #[serde(default)]
    pub(crate) value_by: String,
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
    pub(crate) goal_time: f64,
    pub(crate) deadline: f64,
    pub(crate) effect: RawIdempotency,
    #[serde(default = "default_credit")]
    pub(crate) credit: f64,
    #[serde(default)]
    pub(crate) late_share: f64,
    #[serde(default)]
    pub(crate) dedup_scope: RawKeyScope,
    #[serde(default)]
    pub(crate) repeat_window: f64,
    #[serde(default)]
    pub(crate) stream: bool,
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
    #[serde(default)]
    pub(crate) cancel: bool,
    #[serde(default = "default_conn_idle_ms")]
    pub(crate) conn_idle: f64,
    #[serde(default = "default_connect_timeout_ms")]
    pub(crate) connect_timeout: f64,
    #[serde(default)]
    pub(crate) most_held: usize,
    pub(crate) max_attempts: usize,
    #[serde(default)]
    pub(crate) max_retry_after: f64,
    #[serde(default)]
    pub(crate) parallel_tries: bool,
    #[serde(default)]
    pub(crate) peer_messages: bool,
    #[serde(default)]
    pub(crate) probes: bool,
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
    #[serde(default)]
    pub(crate) ask_within: f64,
    pub(crate) cold_from: f64,
    pub(crate) drain_grace: f64,
    pub(crate) fall: f64,
    pub(crate) fall_multiple: f64,
    pub(crate) warm_after: f64,
}

/// How builds are rolled out.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct RawRollout {
    #[serde(default)]
    pub(crate) api_rate: f64,
    #[serde(default)]
    pub(crate) back_votes: u32,
    pub(crate) ballot_ttl: f64,
    #[serde(default)]
    pub(crate) counted_by: String,
    #[serde(default)]
    pub(crate) damage_price: f64,
    #[serde(default)]
    pub(crate) delay_price: f64,
    pub(crate) exposure_window: f64,
    #[serde(default)]
    pub(crate) guarded_stages: usize,
    pub(crate) most_shares: Vec<f64>,
    #[serde(default)]
    pub(crate) moves_after: f64,
    #[serde(default)]
    pub(crate) no_return: bool,
    #[serde(default)]
    pub(crate) replace_mode: RawReplacementMode,
    #[serde(default)]
    pub(crate) spare_tries: f64,
    pub(crate) steps: Vec<f64>,
    pub(crate) vote_mode: RawVoteMode,
    #[serde(default)]
    pub(crate) vote_wait: f64,
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
    #[serde(default)]
    pub(crate) portion: f64,
    #[serde(default)]
    pub(crate) quota_rps: f64,
}

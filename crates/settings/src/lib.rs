//! The settings object of a deployment: parsing, validation and defaults.
//!
//! The simulator's protocol sends this object when it starts an instance; a proxy reads the same object from its
//! configuration file. Times in it are in milliseconds, and unknown keys are ignored. [`Settings`] holds the result,
//! with times in microseconds.

#![warn(
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::wildcard_imports,
    clippy::missing_errors_doc
)]

mod config;
mod error;
mod raw;
mod validate;

use garnetcrank_policy::api::{Config, Micros, ZoneId};
use serde::Deserialize;

pub use error::SettingsError;
use raw::RawSettings;

/// Microseconds per millisecond.
const MICROS_PER_MS: f64 = 1000.0;
/// Upper limit of a converted time, in microseconds (about 31 years). It keeps sums of times from overflowing.
const MAX_MICROS: f64 = 1e15;

/// Parsed and validated settings of a deployment.
#[derive(Debug, Clone, Deserialize)]
#[serde(try_from = "RawSettings")]
pub struct Settings {
    /// Configuration of the policy.
    pub config: Config,
    /// Names of the classes, in the order of [`Config::classes`].
    pub classes: Vec<String>,
    /// Names of the tenants, in the order of [`Config::tenants`].
    pub tenants: Vec<String>,
    /// Names of the zones, including the instance's own. A zone's id is its position in this list; a zone that is not
    /// listed gets a later id.
    pub zones: Vec<String>,
    /// Names of the endpoint kinds.
    pub kinds: Vec<String>,
    /// Settings that a proxy needs in addition to the policy's.
    pub transport: Transport,
}

/// Settings of connections, in-flight requests and load reports.
#[derive(Debug, Clone)]
pub struct Transport {
    /// Longest time that an endpoint keeps an idle connection open.
    pub idle_timeout: Micros,
    /// Time limit for establishing a connection.
    pub connect_timeout: Micros,
    /// Maximum number of requests in flight; `None` if the deployment sets no limit.
    pub max_in_flight: Option<usize>,
    /// Names of the values in a load report, in the order in which the policy receives them.
    pub report_columns: Vec<String>,
}

impl Settings {
    /// Parses and validates a settings object.
    ///
    /// # Errors
    /// A key is missing or its value is invalid. The error names the key's path.
    pub fn from_json(json: &serde_json::Value) -> Result<Self, SettingsError> {
        let raw: RawSettings = serde_path_to_error::deserialize(json)?;
        Settings::try_from(raw)
    }
}

impl TryFrom<RawSettings> for Settings {
    type Error = SettingsError;

    fn try_from(raw: RawSettings) -> Result<Self, SettingsError> {
        validate::validate(&raw)?;
        let mut zones = raw.zones.clone();
        let own_zone = position_or_insert(&mut zones, &raw.own_zone);
        Ok(Settings {
            config: config::from_raw(&raw, ZoneId(own_zone)),
            classes: raw.classes.into_iter().map(|class| class.name).collect(),
            tenants: raw.tenants.into_iter().map(|tenant| tenant.name).collect(),
            zones,
            kinds: raw.kinds,
            transport: Transport {
                idle_timeout: micros_from_ms(raw.limits.idle_timeout),
                connect_timeout: micros_from_ms(raw.limits.connect_timeout),
                max_in_flight: (raw.limits.max_in_flight > 0).then_some(raw.limits.max_in_flight),
                report_columns: raw.load_report.columns,
            },
        })
    }
}

/// Returns the position of `wanted`, which is appended if it is missing.
fn position_or_insert(names: &mut Vec<String>, wanted: &str) -> usize {
    if let Some(position) = names.iter().position(|name| name == wanted) {
        return position;
    }
    names.push(wanted.to_owned());
    names.len() - 1
}

/// Converts milliseconds to microseconds, rounded and clamped to the range from 0 to 10^15 µs (about 31 years).
pub fn micros_from_ms(ms: f64) -> Micros {
    (ms * MICROS_PER_MS).round().clamp(0.0, MAX_MICROS) as Micros
}

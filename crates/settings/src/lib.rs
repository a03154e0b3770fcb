//! The settings object of a deployment: parsing, validation and defaults.
//!
//! The simulator's protocol hands an instance this object in its first message; a proxy finds the same object in
//! its configuration file. Times in it are milliseconds; unknown keys are ignored. [`Settings`] holds the result,
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

/// Microseconds in a millisecond.
const MICROS_PER_MS: f64 = 1000.0;
/// Times beyond this are limited to it, in microseconds: about 31 years, so that sums of times stay in range.
const MAX_MICROS: f64 = 1e15;

/// A settings object that was parsed and checked.
#[derive(Debug, Clone, Deserialize)]
#[serde(try_from = "RawSettings")]
pub struct Settings {
    /// Settings of the decisions.
    pub config: Config,
    /// Names of the classes, in the order of [`Config::classes`].
    pub classes: Vec<String>,
    /// Names of the tenants, in the order of [`Config::tenants`].
    pub tenants: Vec<String>,
    /// Names of the zones; the instance's own is among them.
    pub zones: Vec<String>,
    /// Names of the endpoint kinds.
    pub kinds: Vec<String>,
    /// What a proxy needs beside the decisions.
    pub transport: Transport,
}

/// Settings of connections and messages.
#[derive(Debug, Clone)]
pub struct Transport {
    /// An endpoint closes a connection that was idle for this long, at the latest.
    pub idle_timeout: Micros,
    /// A connection that is not established within this time is given up.
    pub connect_timeout: Micros,
    /// Maximum number of requests in flight; none: the deployment sets no limit.
    pub max_in_flight: Option<usize>,
    /// Names of the values in a load report, in the order in which the decisions get them.
    pub report_columns: Vec<String>,
}

impl Settings {
    /// Parses and checks a settings object.
    ///
    /// # Errors
    /// A key is missing or its value is invalid; the error names the key's path.
    pub fn read(json: &serde_json::Value) -> Result<Self, SettingsError> {
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
                idle_timeout: micros(raw.limits.idle_timeout),
                connect_timeout: micros(raw.limits.connect_timeout),
                max_in_flight: (raw.limits.max_in_flight > 0).then_some(raw.limits.max_in_flight),
                report_columns: raw.load_report.columns,
            },
        })
    }
}

/// The position of a name, which is appended if it is not there.
fn position_or_insert(names: &mut Vec<String>, wanted: &str) -> usize {
    if let Some(position) = names.iter().position(|name| name == wanted) {
        return position;
    }
    names.push(wanted.to_owned());
    names.len() - 1
}

/// Converts milliseconds to whole microseconds, limited to the range of 0 to 10^15 (about 31 years).
pub fn micros(ms: f64) -> Micros {
    (ms * MICROS_PER_MS).round().clamp(0.0, MAX_MICROS) as Micros
}

//! The one reader of the settings object of a deployment: parse, check, defaults, to [`Config`].
//!
//! The simulator's wire hands an instance this object in its first message; a front finds the same in its
//! configuration. Times in it are milliseconds. Unknown keys are passed over.

use garnetcrank_policy::api::*;
use serde::Deserialize;

/// A settings object that was read and checked.
#[derive(Debug, Clone, Deserialize)]
#[serde(try_from = "Raw")]
pub struct Settings {
    /// What the decisions go by.
    pub config: Config,
    /// Names of the classes, in the order of [`Config::classes`].
    pub classes: Vec<String>,
    /// Names of the tenants, in the order of [`Config::tenants`].
    pub tenants: Vec<String>,
    /// Names of the zones; the instance's own is among them.
    pub zones: Vec<String>,
    /// Names of the machine kinds.
    pub kinds: Vec<String>,
    /// What a front needs beside the decisions.
    pub transport: Transport,
}

/// Figures for connections and messages.
#[derive(Debug, Clone)]
pub struct Transport {
    /// A machine closes a connection left idle for this long at the latest.
    pub conn_idle: Micros,
    /// A connection not made within this is given up.
    pub connect_timeout: Micros,
    /// Requests held open at the most; none: no limit of the deployment's own.
    pub most_held: Option<usize>,
    /// Names of the values in a load report, in the order in which the decisions get them.
    pub report_columns: Vec<String>,
}

/// What is wrong with a settings object, naming the key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Faulty(String);

impl std::fmt::Display for Faulty {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Faulty {}

impl<E: std::fmt::Display> From<serde_path_to_error::Error<E>> for Faulty {
    fn from(error: serde_path_to_error::Error<E>) -> Self {
        match error.path().to_string().as_str() {
            "." => Faulty(error.inner().to_string()),
            path => Faulty(format!("{path}: {}", error.inner())),
        }
    }
}

impl Settings {
    /// Reads a settings object; an error names the path of the faulty key.
    pub fn read(json: &serde_json::Value) -> Result<Self, Faulty> {
        let raw: Raw = serde_path_to_error::deserialize(json)?;
        Settings::try_from(raw)
    }
}

impl TryFrom<Raw> for Settings {
    type Error = Faulty;

    fn try_from(raw: Raw) -> Result<Self, Faulty> {
        check(&raw)?;
        let mut zones = raw.zones.clone();
        let zone = zones.iter().position(|z| *z == raw.my_zone).unwrap_or_else(|| {
            zones.push(raw.my_zone.clone());
            zones.len() - 1
        });
        Ok(Settings {
            config: config(ZoneId(zone), &raw),
            classes: raw.grades.into_iter().map(|g| g.name).collect(),
            tenants: raw.tenants.into_iter().map(|t| t.name).collect(),
            zones,
            kinds: raw.kinds,
            transport: Transport {
                conn_idle: micros(raw.limits.conn_idle),
                connect_timeout: micros(raw.limits.connect_timeout),
                most_held: (raw.limits.most_held > 0).then_some(raw.limits.most_held),
                report_columns: raw.report.columns,
            },
        })
    }
}

/// What serde cannot see: that values fit together and lie where they make sense.
fn check(raw: &Raw) -> Result<(), Faulty> {
    let faulty = |words: &str| Err(Faulty(words.to_owned()));
    if raw.grades.is_empty() {
        return faulty("grades is empty");
    }
    let (steps, shares) = (&raw.specifics.steps, &raw.specifics.most_shares);
    if steps.len() != shares.len() || steps.is_empty() {
        return faulty("specifics.steps and specifics.mostShares must be of one length, not 0");
    }
    if raw.limits.max_attempts == 0 {
        return faulty("limits.maxAttempts must be at least 1");
    }
    for (i, grade) in raw.grades.iter().enumerate() {
        if raw.grades[..i].iter().any(|g| g.name == grade.name) {
            return Err(Faulty(format!("grades[{i}].name: {:?} stands twice", grade.name)));
        }
        if !(grade.deadline > 0.0 && grade.goal_time > 0.0) {
            return Err(Faulty(format!("grades[{i}]: goalTime and deadline must be over 0")));
        }
    }
    if raw.limits.connect_timeout <= 0.0 || raw.limits.conn_idle <= 0.0 {
        return faulty("limits.connectTimeout and limits.connIdle must be over 0");
    }
    Ok(())
}

/// Milliseconds as whole microseconds.
pub fn micros(ms: f64) -> Micros {
    // Far-off and negative times are held at the ends of the clock, so that later sums stay in range.
    (ms * 1000.0).round().clamp(0.0, 1e15) as Micros
}

// Where a deployment does not say: what connections are commonly given.
fn conn_idle() -> f64 {
    30_000.0
}

fn connect_timeout() -> f64 {
    250.0
}

fn one() -> f64 {
    1.0
}

fn config(zone: ZoneId, s: &Raw) -> Config {
    let classes = s.grades.iter().map(|g| Class {
        idempotency: match g.effect {
            EffectName::Repeatable => Idempotency::Idempotent,
            EffectName::Once => Idempotency::NonIdempotent,
            EffectName::ByKey => Idempotency::Keyed {
                scope: match g.dedup_scope {
                    ScopeName::All => KeyScope::All,
                    ScopeName::Zone => KeyScope::Zone,
                    ScopeName::Cell => KeyScope::Cell,
                },
                window: micros(g.repeat_window),
            },
        },
        name: g.name.clone(),
        latency_objective: micros(g.goal_time),
        deadline: micros(g.deadline),
        priority_weight: g.credit,
        late_priority_weight: g.late_share,
        streamed: g.stream,
    });
    Config {
        instance_count: s.balancers.max(1),
        instance_index: s.me,
        zone,
        classes: classes.collect(),
        tenants: s.tenants.iter().map(|t| Tenant { share: t.portion, quota_per_s: t.quota_rps }).collect(),
        priority_by_work: s.value_by == "work",
        over_quota_weight: s.over_share_worth,
        poll_endpoints: s.registry_mode == RegistryMode::OnRequest,
        poll_timeout: micros(s.safety.ask_within),
        health_checks: s.limits.probes,
        cancellation: s.limits.cancel,
        hedging: s.limits.parallel_tries,
        gossip: s.limits.peer_messages,
        retry_after: s.limits.retry_after.then(|| micros(s.limits.max_retry_after)),
        max_attempts: s.limits.max_attempts,
        resolution: micros(s.resolution),
        drain_grace: micros(s.safety.drain_grace),
        slow_start_initial: s.safety.cold_from,
        slow_start_duration: micros(s.safety.warm_after),
        overload_multiple: s.safety.fall_multiple,
        overload_window: micros(s.safety.fall),
        cross_zone_price: s.prices.cross_zone,
        rated: s.weights != "none",
        rollout: Rollout {
            mode: match s.specifics.vote_mode {
                ModeName::Any => VoteMode::Any,
                ModeName::Share => VoteMode::Share,
                ModeName::Timer => VoteMode::Timer,
            },
            replacement: match s.specifics.replace_mode {
                ReplaceName::Beside => ReplacementMode::SideBySide,
                ReplaceName::InPlace => ReplacementMode::InPlace,
            },
            stages: s.specifics.steps.clone(),
            exposure_caps: s.specifics.most_shares.clone(),
            exposure_window: micros(s.specifics.exposure_window),
            exposure_allowance: s.specifics.spare_tries,
            exposure_by_class: s.specifics.counted_by == "class",
            guarded_stages: s.specifics.guarded_stages,
            forward_only_keys: s.specifics.no_return,
            vote_ttl: micros(s.specifics.ballot_ttl),
            vote_timeout: micros(s.specifics.vote_wait),
            rollback_quorum: s.specifics.back_votes,
            votes_per_s: s.specifics.api_rate,
            stage_duration: micros(s.specifics.moves_after),
            delay_price: s.specifics.delay_price,
            harm_price: s.specifics.damage_price,
        },
    }
}

/// What an instance is told at its start; unknown keys are passed over.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Raw {
    balancers: u32,
    #[serde(default)]
    me: u32,
    grades: Vec<Grade>,
    #[serde(default)]
    kinds: Vec<String>,
    limits: Limits,
    #[serde(default)]
    my_zone: String,
    #[serde(default)]
    over_share_worth: f64,
    #[serde(default)]
    report: Report,
    #[serde(default)]
    prices: Prices,
    #[serde(default)]
    registry_mode: RegistryMode,
    resolution: f64,
    safety: Safety,
    specifics: Specifics,
    #[serde(default)]
    tenants: Vec<TenantRow>,
    #[serde(default)]
    value_by: String,
    #[serde(default)]
    weights: String,
    #[serde(default)]
    zones: Vec<String>,
}

#[derive(Deserialize, Default, PartialEq)]
#[serde(rename_all = "snake_case")]
enum RegistryMode {
    #[default]
    Pushed,
    OnRequest,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Grade {
    name: String,
    goal_time: f64,
    deadline: f64,
    effect: EffectName,
    #[serde(default = "one")]
    credit: f64,
    #[serde(default)]
    late_share: f64,
    #[serde(default)]
    dedup_scope: ScopeName,
    #[serde(default)]
    repeat_window: f64,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
enum EffectName {
    Repeatable,
    ByKey,
    Once,
}

/// Without a scope a repeat is taken to be discarded nowhere wider than in its own cell.
#[derive(Deserialize, Default, Clone, Copy)]
#[serde(rename_all = "lowercase")]
enum ScopeName {
    All,
    Zone,
    #[default]
    Cell,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Limits {
    #[serde(default)]
    cancel: bool,
    #[serde(default = "conn_idle")]
    conn_idle: f64,
    #[serde(default = "connect_timeout")]
    connect_timeout: f64,
    #[serde(default)]
    most_held: usize,
    max_attempts: usize,
    #[serde(default)]
    max_retry_after: f64,
    #[serde(default)]
    parallel_tries: bool,
    #[serde(default)]
    peer_messages: bool,
    #[serde(default)]
    probes: bool,
    #[serde(default)]
    retry_after: bool,
}

#[derive(Deserialize, Default)]
struct Report {
    #[serde(default)]
    columns: Vec<String>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase")]
struct Prices {
    #[serde(default)]
    cross_zone: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Safety {
    #[serde(default)]
    ask_within: f64,
    cold_from: f64,
    drain_grace: f64,
    fall: f64,
    fall_multiple: f64,
    warm_after: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Specifics {
    #[serde(default)]
    api_rate: f64,
    #[serde(default)]
    back_votes: u32,
    ballot_ttl: f64,
    #[serde(default)]
    counted_by: String,
    #[serde(default)]
    damage_price: f64,
    #[serde(default)]
    delay_price: f64,
    exposure_window: f64,
    #[serde(default)]
    guarded_stages: usize,
    most_shares: Vec<f64>,
    #[serde(default)]
    moves_after: f64,
    #[serde(default)]
    no_return: bool,
    #[serde(default)]
    replace_mode: ReplaceName,
    #[serde(default)]
    spare_tries: f64,
    steps: Vec<f64>,
    vote_mode: ModeName,
    #[serde(default)]
    vote_wait: f64,
}

#[derive(Deserialize, Default, Clone, Copy)]
#[serde(rename_all = "snake_case")]
enum ReplaceName {
    Beside,
    #[default]
    InPlace,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "lowercase")]
enum ModeName {
    Any,
    Share,
    Timer,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct TenantRow {
    name: String,
    #[serde(default)]
    portion: f64,
    #[serde(default)]
    quota_rps: f64,
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::{Value, json};

    fn small() -> Value {
        json!({
            "balancers": 2, "resolution": 5.0, "myZone": "north", "zones": ["south", "north"],
            "grades": [{"name": "look", "effect": "repeatable", "goalTime": 400.0, "deadline": 1000.0}],
            "limits": {"maxAttempts": 3, "retryAfter": true, "maxRetryAfter": 900.0},
            "safety": {"coldFrom": 0.4, "drainGrace": 500.0, "fall": 2000.0, "fallMultiple": 3.0, "warmAfter": 3000.0},
            "specifics": {"voteMode": "timer", "ballotTtl": 4000.0, "exposureWindow": 3000.0,
                "steps": [0.1, 1.0], "mostShares": [0.2, 1.0]},
            "somethingNew": {"a": 1}
        })
    }

    #[test]
    fn milliseconds_become_microseconds_and_what_is_missing_gets_its_default() {
        let settings = Settings::read(&small()).expect("settings");
        assert_eq!(settings.config.classes[0].latency_objective, 400_000);
        assert_eq!((settings.config.zone, settings.config.retry_after), (ZoneId(1), Some(900_000)));
        assert_eq!(settings.config.rollout.exposure_caps, [0.2, 1.0]);
        let transport = settings.transport;
        assert_eq!((transport.connect_timeout, transport.conn_idle), (250_000, 30_000_000));
        assert_eq!(transport.most_held, None);
    }

    #[test]
    fn the_faulty_key_is_named() {
        for (pointer, value, named) in [
            ("/grades/0/deadline", json!("soon"), "grades[0].deadline"),
            ("/grades/0/effect", json!("odd"), "grades[0].effect"),
            ("/grades/0/goalTime", json!(0.0), "grades[0]"),
            ("/grades", json!([]), "grades"),
            ("/limits/maxAttempts", json!(-1), "limits.maxAttempts"),
            ("/limits/maxAttempts", json!(0), "limits.maxAttempts"),
            ("/specifics/steps", json!([]), "specifics.steps"),
            ("/specifics/mostShares", json!([0.1]), "specifics.mostShares"),
            ("/safety/fall", json!(null), "safety.fall"),
        ] {
            let mut faulty = small();
            *faulty.pointer_mut(pointer).expect("a key of the object") = value;
            let message = Settings::read(&faulty).expect_err(pointer).to_string();
            assert!(message.contains(named), "{named} is not in {message:?}");
        }
    }

    #[test]
    fn two_classes_of_one_name_are_refused() {
        let mut twice = small();
        let class = twice["grades"][0].clone();
        twice["grades"].as_array_mut().expect("a list").push(class);
        let message = Settings::read(&twice).expect_err("accepted").to_string();
        assert!(message.contains("grades[1].name"), "{message}");
    }
}

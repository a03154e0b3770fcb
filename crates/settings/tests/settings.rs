//! Reading a settings object: defaults, units and the errors that name a key.

use garnetcrank_policy::api::ZoneId;
use garnetcrank_settings::Settings;
use serde_json::{Value, json};

/// The smallest object that is accepted, with a key that is not known.
fn minimal_settings() -> Value {
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
fn milliseconds_become_microseconds_and_missing_keys_get_their_defaults() {
    let settings = Settings::read(&minimal_settings()).expect("settings");
    assert_eq!(settings.config.classes[0].latency_objective, 400_000);
    assert_eq!((settings.config.zone, settings.config.retry_after), (ZoneId(1), Some(900_000)));
    assert_eq!(settings.config.rollout.exposure_caps, [0.2, 1.0]);
    let transport = settings.transport;
    assert_eq!((transport.connect_timeout, transport.idle_timeout), (250_000, 30_000_000));
    assert_eq!(transport.max_in_flight, None);
}

#[test]
fn an_error_names_the_invalid_key() {
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
        let mut invalid = minimal_settings();
        *invalid.pointer_mut(pointer).expect("a key of the object") = value;
        let message = Settings::read(&invalid).expect_err(pointer).to_string();
        assert!(message.contains(named), "{named} is not in {message:?}");
    }
}

#[test]
fn duplicate_class_names_are_rejected() {
    let mut twice = minimal_settings();
    let class = twice["grades"][0].clone();
    twice["grades"].as_array_mut().expect("a list").push(class);
    let message = Settings::read(&twice).expect_err("accepted").to_string();
    assert!(message.contains("grades[1].name"), "{message}");
}

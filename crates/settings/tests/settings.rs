//! Parsing of the settings object: values, defaults, units and error messages.

use garnetcrank_policy::api::{Idempotency, KeyScope, ReplacementMode, VoteMode, ZoneId};
use garnetcrank_settings::Settings;
use serde_json::{Value, json};

/// Required keys only, and one unknown key.
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
fn times_are_converted_to_microseconds_and_missing_keys_get_defaults() {
    let settings = Settings::from_json(&minimal_settings()).expect("valid settings were rejected");
    assert_eq!(settings.config.classes[0].latency_objective, 400_000);
    assert_eq!((settings.config.zone, settings.config.retry_after), (ZoneId(1), Some(900_000)));
    assert_eq!(settings.config.rollout.exposure_caps, [0.2, 1.0]);
    let transport = settings.transport;
    assert_eq!((transport.connect_timeout, transport.idle_timeout), (250_000, 30_000_000));
    assert_eq!(transport.max_in_flight, None);
}

#[test]
fn an_error_names_the_invalid_key() {
    for (pointer, value, expected_path) in [
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
        *invalid.pointer_mut(pointer).expect("the settings lack the key") = value;
        let message = Settings::from_json(&invalid).expect_err(pointer).to_string();
        assert!(message.contains(expected_path), "message {message:?} does not contain {expected_path:?}");
    }
}

#[test]
fn duplicate_class_names_are_rejected() {
    let mut settings = minimal_settings();
    let class = settings["grades"][0].clone();
    settings["grades"].as_array_mut().expect("grades is not a list").push(class);
    let message =
        Settings::from_json(&settings).expect_err("duplicate class names were accepted").to_string();
    assert!(message.contains("grades[1].name"), "{message}");
}

/// Every key, each with a value other than its default.
fn full_settings() -> Value {
    json!({
        "balancers": 7, "me": 3, "resolution": 5.0, "kinds": ["box", "rack"],
        "myZone": "north", "zones": ["south", "north"], "registryMode": "on_request", "valueBy": "work",
        "weights": "size", "overShareWorth": 0.25, "prices": {"crossZone": 0.125},
        "report": {"columns": ["util", "queue"]},
        "tenants": [{"name": "acme", "portion": 0.75, "quotaRps": 12.5}],
        "grades": [
            {"name": "look", "effect": "repeatable", "goalTime": 400.0, "deadline": 1000.0, "credit": 2.5,
             "lateShare": 0.5, "stream": true},
            {"name": "book", "effect": "by_key", "dedupScope": "zone", "repeatWindow": 3000.0, "goalTime": 300.0,
             "deadline": 900.0},
            {"name": "pay", "effect": "once", "goalTime": 200.0, "deadline": 800.0}],
        "limits": {"cancel": true, "connIdle": 20_000.0, "connectTimeout": 150.0, "mostHeld": 64, "maxAttempts": 3,
            "maxRetryAfter": 900.0, "parallelTries": true, "peerMessages": true, "probes": true, "retryAfter": true},
        "safety": {"askWithin": 6000.0, "coldFrom": 0.4, "drainGrace": 500.0, "fall": 2000.0, "fallMultiple": 3.0,
            "warmAfter": 3500.0},
        "specifics": {"apiRate": 9.0, "backVotes": 4, "ballotTtl": 4000.0, "countedBy": "class",
            "damagePrice": 0.3, "delayPrice": 0.7, "exposureWindow": 3000.0, "guardedStages": 2,
            "mostShares": [0.2, 1.0], "movesAfter": 2500.0, "noReturn": true, "replaceMode": "beside",
            "spareTries": 2.0, "steps": [0.1, 1.0], "voteMode": "share", "voteWait": 800.0}
    })
}

#[test]
fn every_key_of_the_settings_sets_its_value() {
    let settings = Settings::from_json(&full_settings()).expect("valid settings were rejected");
    let config = &settings.config;
    assert_eq!((config.instance_count, config.instance_index, config.zone), (7, 3, ZoneId(1)));
    assert_eq!(
        (settings.classes.len(), &settings.kinds[..]),
        (3, &["box".to_owned(), "rack".to_owned()][..])
    );
    assert_eq!(
        (&settings.zones[..], &settings.tenants[..]),
        (&["south".to_owned(), "north".to_owned()][..], &["acme".to_owned()][..])
    );
    assert!(config.poll_endpoints && config.priority_by_work && config.ratings_compare_sizes);
    assert_eq!((config.over_quota_weight, config.cross_zone_price), (0.25, 0.125));
    assert_eq!((config.tenants[0].service_share, config.tenants[0].quota_per_s), (0.75, 12.5));
    assert!(config.cancellation && config.hedging && config.gossip && config.health_checks);
    assert_eq!((config.retry_after, config.max_attempts, config.resolution), (Some(900_000), 3, 5_000));
    assert_eq!((config.poll_timeout, config.drain_grace), (6_000_000, 500_000));
    assert_eq!((config.slow_start_initial, config.slow_start_duration), (0.4, 3_500_000));
    assert_eq!((config.overload_multiple, config.overload_window), (3.0, 2_000_000));
    let transport = &settings.transport;
    assert_eq!((transport.idle_timeout, transport.connect_timeout), (20_000_000, 150_000));
    assert_eq!(transport.max_in_flight, Some(64));
    assert_eq!(transport.report_columns, ["util", "queue"]);
}

#[test]
fn every_key_of_a_class_sets_its_value() {
    let settings = Settings::from_json(&full_settings()).expect("valid settings were rejected");
    let [look, book, pay] = &settings.config.classes[..] else { panic!("expected three classes") };
    assert_eq!(
        (look.name.as_str(), look.idempotency, look.streamed),
        ("look", Idempotency::Idempotent, true)
    );
    assert_eq!((look.latency_objective, look.deadline), (400_000, 1_000_000));
    assert_eq!((look.priority_weight, look.late_response_value), (2.5, 0.5));
    let keyed = Idempotency::Keyed { scope: KeyScope::Zone, window: 3_000_000 };
    assert_eq!((book.idempotency, book.priority_weight, book.streamed), (keyed, 1.0, false));
    assert_eq!((pay.idempotency, pay.late_response_value), (Idempotency::NonIdempotent, 0.0));
}

#[test]
fn every_key_of_the_rollout_sets_its_value() {
    let settings = Settings::from_json(&full_settings()).expect("valid settings were rejected");
    let rollout = &settings.config.rollout;
    assert_eq!((rollout.mode, rollout.replacement), (VoteMode::InstanceCount, ReplacementMode::SideBySide));
    assert_eq!((&rollout.stages[..], &rollout.exposure_caps[..]), (&[0.1, 1.0][..], &[0.2, 1.0][..]));
    assert_eq!((rollout.exposure_window, rollout.exposure_allowance), (3_000_000, 2.0));
    assert!(rollout.exposure_by_class && rollout.forward_only_keys);
    assert_eq!((rollout.guarded_stages, rollout.rollback_quorum), (2, 4));
    assert_eq!(
        (rollout.vote_ttl, rollout.vote_timeout, rollout.stage_duration),
        (4_000_000, 800_000, 2_500_000)
    );
    assert_eq!((rollout.votes_per_s, rollout.delay_price, rollout.harm_price), (9.0, 0.7, 0.3));
}

//! Tests of the features file: errors name the key, and golden tests of its keys. Each key of this version must stay
//! valid, with the same meaning and default. The wording of most errors may change, so only the key is checked.

use garnetcrank_settings::Settings;

use super::FeatureSettings;
use crate::clock::MS;

fn settings(rollback_quorum: u32) -> Settings {
    let mut value: serde_json::Value =
        serde_json::from_str(include_str!("../../tests/settings.json")).expect("JSON");
    value["specifics"]["backVotes"] = rollback_quorum.into();
    Settings::from_json(&value).expect("valid settings")
}

#[test]
fn an_error_names_its_key_and_consensus_requires_a_rollback_quorum_of_one() {
    let parse = |text: &str| FeatureSettings::parse(text, &settings(1));
    assert_eq!(parse("{}").expect("all keys are optional"), FeatureSettings::default());
    let features = parse(r#"{"agreement":{"agent":"127.0.0.1:7101"}}"#).expect("valid features");
    assert_eq!(
        features.consensus.map(|consensus| (consensus.call_timeout(), consensus.silence_timeout())),
        Some((150 * MS, 1_000 * MS))
    );
    let error_message = |text: &str| parse(text).expect_err("invalid features").to_string();
    assert!(error_message(r#"{"agrement":{}}"#).contains("agrement"));
    assert!(
        error_message(r#"{"cores":0}"#).contains("cores")
            && error_message(r#"{"cores":99}"#).contains("cores")
    );
    assert!(error_message(r#"{"agreement":{"agent":"here"}}"#).contains("agreement.agent"));
    assert!(
        error_message(r#"{"agreement":{"agent":"127.0.0.1:7101","wait_ms":1}}"#)
            .contains("agreement.wait_ms")
    );
    let several_votes = FeatureSettings::parse(r#"{"agreement":{"agent":"127.0.0.1:7101"}}"#, &settings(2));
    assert!(several_votes.expect_err("invalid features").to_string().contains("more than one"));
}

#[test]
fn every_key_sets_its_value() {
    let text = r#"{"agreement":{"agent":"10.0.0.1:7102","wait_ms":200,"silence_ms":1500},"cores":4}"#;
    let features = FeatureSettings::parse(text, &settings(1)).expect("valid features");
    assert_eq!(features.worker_count(), 4);
    let consensus = features.consensus.expect("consensus settings");
    assert_eq!(consensus.agent, "10.0.0.1:7102".parse().expect("an address"));
    assert_eq!(consensus.call_timeout(), 200_000, "in microseconds");
    assert_eq!(consensus.silence_timeout(), 1_500_000, "in microseconds");
}

#[test]
fn the_deployed_file_is_valid_and_has_the_expected_values() {
    let text = include_str!("../../../../deploy/agreement.json");
    let features = FeatureSettings::parse(text, &settings(1)).expect("valid features");
    assert_eq!(features.worker_count(), 1);
    let consensus = features.consensus.expect("consensus settings");
    assert_eq!(consensus.agent, "127.0.0.1:7101".parse().expect("an address"));
    assert_eq!((consensus.call_timeout(), consensus.silence_timeout()), (150_000, 1_000_000));
}

#[test]
fn absent_keys_have_defaults() {
    let parse = |text: &str| FeatureSettings::parse(text, &settings(1)).expect("valid features");
    let cores_only = parse(r#"{"cores":2}"#);
    assert_eq!((cores_only.consensus.is_none(), cores_only.worker_count()), (true, 2));
    let null_values = parse(r#"{"cores":null,"agreement":null}"#);
    assert_eq!((null_values.consensus.is_none(), null_values.worker_count()), (true, 1));
    let agent_only =
        parse(r#"{"agreement":{"agent":"127.0.0.1:7101"}}"#).consensus.expect("consensus settings");
    assert_eq!((agent_only.call_timeout(), agent_only.silence_timeout()), (150_000, 1_000_000));
}

#[test]
fn an_unknown_key_or_a_bad_value_is_an_error_that_names_the_key() {
    let consensus_features =
        |further_keys: &str| format!(r#"{{"agreement":{{"agent":"127.0.0.1:7101"{further_keys}}}}}"#);
    for (key, text) in [
        ("core", r#"{"core":2}"#.to_owned()),
        ("cores", r#"{"cores":0}"#.to_owned()),
        ("cores", r#"{"cores":65}"#.to_owned()),
        ("cores", r#"{"cores":"two"}"#.to_owned()),
        ("agreement", r#"{"agreement":7}"#.to_owned()),
        ("agent", r#"{"agreement":{}}"#.to_owned()),
        ("agreement.agent", r#"{"agreement":{"agent":"here"}}"#.to_owned()),
        ("patience_ms", consensus_features(r#","patience_ms":1"#)),
        ("agreement.wait_ms", consensus_features(r#","wait_ms":9"#)),
        ("agreement.wait_ms", consensus_features(r#","wait_ms":5001"#)),
        ("agreement.wait_ms", consensus_features(r#","wait_ms":"1""#)),
        ("agreement.silence_ms", consensus_features(r#","silence_ms":299"#)),
        ("agreement.silence_ms", consensus_features(r#","silence_ms":60001"#)),
        ("agreement.silence_ms", consensus_features(r#","silence_ms":1.5"#)),
    ] {
        let error = FeatureSettings::parse(&text, &settings(1)).expect_err("invalid features").to_string();
        assert!(error.contains(key), "{text}: {error}");
    }
    for in_range in [r#","wait_ms":10,"silence_ms":300"#, r#","wait_ms":5000,"silence_ms":60000"#] {
        FeatureSettings::parse(&consensus_features(in_range), &settings(1))
            .expect("range limits are allowed");
    }
}

#[test]
fn an_out_of_range_error_names_the_value_and_the_range() {
    let consensus_features = |value: &str| format!(r#"{{"agreement":{{"agent":"127.0.0.1:7101",{value}}}}}"#);
    let message =
        |text: &str| FeatureSettings::parse(text, &settings(1)).expect_err("invalid features").to_string();
    assert_eq!(message(r#"{"cores":99}"#), "cores: 99 is out of range, must be 1 to 16");
    assert_eq!(
        message(&consensus_features(r#""wait_ms":5001"#)),
        "agreement.wait_ms: 5001 is out of range, must be 10 to 5000"
    );
    assert_eq!(
        message(&consensus_features(r#""silence_ms":299"#)),
        "agreement.silence_ms: 299 is out of range, must be 300 to 60000; the agent sends a heartbeat every 200 ms"
    );
}

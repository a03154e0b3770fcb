//! The features file: that a fault names its key, and golden tests of its keys as operators have them. Each key of this
//! version stays valid, with the same meaning and default. The wording of an error may get better, so only the key is
//! looked for.

use garnetcrank_settings::Settings;

use super::FeatureSettings;
use crate::clock::MS;

fn settings(back_votes: u32) -> Settings {
    let mut value: serde_json::Value =
        serde_json::from_str(include_str!("../../tests/settings.json")).expect("JSON");
    value["specifics"]["backVotes"] = back_votes.into();
    Settings::read(&value).expect("settings")
}

#[test]
fn a_fault_names_its_key_and_one_vote_must_be_enough() {
    let parse = |text: &str| FeatureSettings::parse(text, &settings(1));
    assert_eq!(parse("{}").expect("nothing is required"), FeatureSettings::default());
    let whole = parse(r#"{"agreement":{"agent":"127.0.0.1:7101"}}"#).expect("whole");
    assert_eq!(
        whole.agreement.map(|a| (a.call_timeout(), a.silence_timeout())),
        Some((150 * MS, 1_000 * MS))
    );
    let fault = |text: &str| parse(text).expect_err("a fault").to_string();
    assert!(fault(r#"{"agrement":{}}"#).contains("agrement"));
    assert!(fault(r#"{"cores":0}"#).contains("cores") && fault(r#"{"cores":99}"#).contains("cores"));
    assert!(fault(r#"{"agreement":{"agent":"here"}}"#).contains("agreement.agent"));
    assert!(fault(r#"{"agreement":{"agent":"127.0.0.1:7101","wait_ms":1}}"#).contains("agreement.wait_ms"));
    let many = FeatureSettings::parse(r#"{"agreement":{"agent":"127.0.0.1:7101"}}"#, &settings(2));
    assert!(many.expect_err("a fault").to_string().contains("more than one"));
}

#[test]
fn a_file_with_every_key_gives_each_value() {
    let text = r#"{"agreement":{"agent":"10.0.0.1:7102","wait_ms":200,"silence_ms":1500},"cores":4}"#;
    let extras = FeatureSettings::parse(text, &settings(1)).expect("it is read");
    assert_eq!(extras.worker_count(), 4);
    let agreement = extras.agreement.expect("an agent");
    assert_eq!(agreement.agent, "10.0.0.1:7102".parse().expect("an address"));
    assert_eq!(agreement.call_timeout(), 200_000, "in microseconds");
    assert_eq!(agreement.silence_timeout(), 1_500_000, "in microseconds");
}

#[test]
fn the_deployed_file_gives_its_values() {
    let text = include_str!("../../../../deploy/agreement.json");
    let extras = FeatureSettings::parse(text, &settings(1)).expect("it is read");
    assert_eq!(extras.worker_count(), 1);
    let agreement = extras.agreement.expect("an agent");
    assert_eq!(agreement.agent, "127.0.0.1:7101".parse().expect("an address"));
    assert_eq!((agreement.call_timeout(), agreement.silence_timeout()), (150_000, 1_000_000));
}

#[test]
fn what_is_left_out_has_its_default() {
    let parse = |text: &str| FeatureSettings::parse(text, &settings(1)).expect("it is read");
    let alone = parse(r#"{"cores":2}"#);
    assert_eq!((alone.agreement.is_none(), alone.worker_count()), (true, 2));
    let null = parse(r#"{"cores":null,"agreement":null}"#);
    assert_eq!((null.agreement.is_none(), null.worker_count()), (true, 1));
    let short = parse(r#"{"agreement":{"agent":"127.0.0.1:7101"}}"#).agreement.expect("an agent");
    assert_eq!((short.call_timeout(), short.silence_timeout()), (150_000, 1_000_000));
}

#[test]
fn an_unknown_key_or_a_bad_value_is_an_error_that_names_the_key() {
    let agreement = |more: &str| format!(r#"{{"agreement":{{"agent":"127.0.0.1:7101"{more}}}}}"#);
    for (key, text) in [
        ("core", r#"{"core":2}"#.to_owned()),
        ("cores", r#"{"cores":0}"#.to_owned()),
        ("cores", r#"{"cores":65}"#.to_owned()),
        ("cores", r#"{"cores":"two"}"#.to_owned()),
        ("agreement", r#"{"agreement":7}"#.to_owned()),
        ("agent", r#"{"agreement":{}}"#.to_owned()),
        ("agreement.agent", r#"{"agreement":{"agent":"here"}}"#.to_owned()),
        ("patience_ms", agreement(r#","patience_ms":1"#)),
        ("agreement.wait_ms", agreement(r#","wait_ms":9"#)),
        ("agreement.wait_ms", agreement(r#","wait_ms":5001"#)),
        ("agreement.wait_ms", agreement(r#","wait_ms":"1""#)),
        ("agreement.silence_ms", agreement(r#","silence_ms":299"#)),
        ("agreement.silence_ms", agreement(r#","silence_ms":60001"#)),
        ("agreement.silence_ms", agreement(r#","silence_ms":1.5"#)),
    ] {
        let error = FeatureSettings::parse(&text, &settings(1)).expect_err("a fault").to_string();
        assert!(error.contains(key), "{text}: {error}");
    }
    for good in [r#","wait_ms":10,"silence_ms":300"#, r#","wait_ms":5000,"silence_ms":60000"#] {
        FeatureSettings::parse(&agreement(good), &settings(1)).expect("a limit is allowed");
    }
}

#[test]
fn a_value_out_of_range_is_named_with_what_is_allowed() {
    let agreement = |value: &str| format!(r#"{{"agreement":{{"agent":"127.0.0.1:7101",{value}}}}}"#);
    let message = |text: &str| FeatureSettings::parse(text, &settings(1)).expect_err("a fault").to_string();
    assert_eq!(message(r#"{"cores":99}"#), "cores: 99 is not allowed, 1 to 16 are");
    assert_eq!(
        message(&agreement(r#""wait_ms":5001"#)),
        "agreement.wait_ms: 5001 is not allowed, 10 to 5000 are"
    );
    assert_eq!(
        message(&agreement(r#""silence_ms":299"#)),
        "agreement.silence_ms: 299 is not allowed, 300 to 60000 are; the agent sends a heartbeat every 200"
    );
}

//! Tests of the file of features.

use super::*;

fn settings(rollback_quorum: u32) -> Settings {
    let mut value: serde_json::Value =
        serde_json::from_str(include_str!("../../tests/settings.json")).expect("JSON");
    value["specifics"]["backVotes"] = rollback_quorum.into();
    Settings::read(&value).expect("settings")
}

#[test]
fn a_fault_names_its_key_and_one_vote_must_be_enough() {
    let parse = |text: &str| FeatureSettings::parse(text, &settings(1));
    assert_eq!(parse("{}"), Ok(FeatureSettings::default()));
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

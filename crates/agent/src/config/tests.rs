//! Defaults of a minimal configuration, and error messages of invalid ones.

use super::Config;

const MINIMAL: &str =
    r#"{"name":"n1","cluster":"c","store":"/tmp/n1","peers":"127.0.0.1:7001","local":"127.0.0.1:7101"}"#;

#[test]
fn minimal_config_gets_defaults_and_errors_name_the_key() {
    let config = Config::parse(MINIMAL).unwrap();
    assert_eq!((config.tick_ms, config.announced().port()), (20, 7001));
    let error_with =
        |from: &str, to: &str| Config::parse(&MINIMAL.replace(from, to)).unwrap_err().to_string();
    assert!(error_with("\"local\"", "\"locale\"").contains("locale"));
    assert!(error_with("127.0.0.1:7101", "here").contains("local: "));
    assert!(error_with("127.0.0.1:7101", "127.0.0.1:7001").contains("local must differ from peers"));
    assert!(error_with("\"n1\"", "\"n 1\"").contains("name must be "));
    assert!(error_with("}", ",\"life_ms\":10}").contains("life_ms must be "));
    assert!(error_with("}", ",\"election_ticks\":5}").contains("election_ticks must be "));
    assert!(error_with("}", ",\"log\":{\"format\":\"xml\"}}").contains("log.format: "));
    assert!(error_with("}", "").contains("EOF"));
}

#[test]
fn range_errors_name_the_value_and_the_limits() {
    let error_with = |key: &str, value: u64| {
        let text = MINIMAL.replace('}', &format!(",\"{key}\":{value}}}"));
        Config::parse(&text).unwrap_err().to_string()
    };
    assert_eq!(error_with("fold_every", 40), "fold_every must be between 100 and 10000000, got 40");
    assert_eq!(error_with("store_most_mb", 7), "store_most_mb must be at least 8, got 7");
    assert_eq!(
        error_with("election_ticks", 8),
        "election_ticks must be between 9 (three times heartbeat_ticks) and 10000, got 8"
    );
    assert_eq!(
        error_with("life_ms", 899),
        "life_ms must be between 900 (three elections of election_ticks x tick_ms) and 3600000 (an hour), got 899"
    );
}

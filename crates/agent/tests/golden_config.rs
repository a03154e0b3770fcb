//! Golden tests of `agent.json`: each key of this version stays valid, with the same meaning and default.
//!
//! An error names the key at fault. The wording of errors may change, so only the key is checked.

use std::collections::BTreeMap;
use std::path::Path;
use std::process::Command;

use garnetcrank_agent::config::{Config, LogFormat};
use serde_json::{Value, json};

fn full_config() -> Value {
    json!({
        "name": "n1", "cluster": "fronts", "store": "/var/lib/garnetcrank/n1.redb",
        "peers": "127.0.0.1:7001", "announce": "10.0.0.1:7002",
        "via": {"n2": "10.1.0.2:9001", "n3": "[::1]:9002"},
        "local": "127.0.0.1:7101", "tick_ms": 25, "election_ticks": 16, "heartbeat_ticks": 4, "life_ms": 4000,
        "fold_every": 5000, "store_most_mb": 512, "log": {"format": "json", "filter": "debug"},
    })
}

#[test]
fn a_file_with_every_key_gives_each_value() {
    let config = Config::parse(&full_config().to_string()).expect("the file is valid");
    assert_eq!(config.name, "n1");
    assert_eq!(config.cluster, "fronts");
    assert_eq!(config.store, Path::new("/var/lib/garnetcrank/n1.redb"));
    assert_eq!(config.peer_address, "127.0.0.1:7001".parse().unwrap());
    assert_eq!(config.announced_address, Some("10.0.0.1:7002".parse().unwrap()));
    let via = [
        ("n2".to_owned(), "10.1.0.2:9001".parse().unwrap()),
        ("n3".to_owned(), "[::1]:9002".parse().unwrap()),
    ];
    assert_eq!(config.peer_overrides, BTreeMap::from(via));
    assert_eq!(config.http_address, "127.0.0.1:7101".parse().unwrap());
    assert_eq!(config.tick_ms, 25);
    assert_eq!(config.election_ticks, 16);
    assert_eq!(config.heartbeat_ticks, 4);
    assert_eq!(config.lease_ttl_ms, 4000);
    assert_eq!(config.compact_every, 5000);
    assert_eq!(config.store_limit_mb, 512);
    assert_eq!(config.log.format, LogFormat::Json);
    assert_eq!(config.log.filter, "debug");
}

#[test]
fn the_deployed_file_gives_its_own_values_and_the_defaults() {
    let config = Config::parse(include_str!("../../../deploy/agent.json")).expect("the file is valid");
    assert_eq!((config.name.as_str(), config.cluster.as_str()), ("n1", "fronts"));
    assert_eq!(config.store, Path::new("/var/lib/garnetcrank/n1.redb"));
    assert_eq!(config.peer_address, "127.0.0.1:7001".parse().unwrap());
    assert_eq!(config.http_address, "127.0.0.1:7101".parse().unwrap());
    assert_eq!((config.announced_address, config.peer_overrides), (None, BTreeMap::new()));
    assert_eq!((config.tick_ms, config.election_ticks, config.heartbeat_ticks), (20, 15, 3));
    assert_eq!((config.lease_ttl_ms, config.compact_every, config.store_limit_mb), (3000, 10_000, 1024));
    assert_eq!((config.log.format, config.log.filter.as_str()), (LogFormat::Json, "info"));
}

#[test]
fn only_the_five_keys_without_a_default_are_required() {
    let required = ["name", "cluster", "store", "peers", "local"];
    let mut minimal = full_config();
    minimal.as_object_mut().unwrap().retain(|key, _| required.contains(&key.as_str()));
    let config = Config::parse(&minimal.to_string()).expect("the file is valid");
    assert_eq!((config.log.format, config.log.filter.as_str()), (LogFormat::Text, "info"));
    for key in required {
        let mut incomplete = minimal.clone();
        incomplete.as_object_mut().unwrap().remove(key);
        let error =
            Config::parse(&incomplete.to_string()).expect_err("a required key is missing").to_string();
        assert!(error.contains(key), "{key}: {error}");
    }
    minimal["log"] = json!({"format": "text"});
    let config = Config::parse(&minimal.to_string()).expect("the file is valid");
    assert_eq!((config.log.format, config.log.filter.as_str()), (LogFormat::Text, "info"));
}

#[test]
fn an_unknown_key_is_an_error_that_names_it() {
    let mut unknown = full_config();
    unknown["local_port"] = json!(1);
    let error = Config::parse(&unknown.to_string()).expect_err("the key is unknown").to_string();
    assert!(error.contains("local_port"), "{error}");
    let mut unknown = full_config();
    unknown["log"]["colour"] = json!(true);
    let error = Config::parse(&unknown.to_string()).expect_err("the key is unknown").to_string();
    assert!(error.contains("log") && error.contains("colour"), "{error}");
}

#[test]
fn an_invalid_value_is_an_error_that_names_its_key() {
    for (key, invalid) in [
        ("name", json!("n 1")),
        ("name", json!("")),
        ("name", json!(1)),
        ("cluster", json!("a/b")),
        ("cluster", json!("x".repeat(65))),
        ("store", json!(7)),
        ("peers", json!("here")),
        ("announce", json!("there")),
        ("announce", json!("10.0.0.1:0")),
        ("via", json!({"n2": "nowhere"})),
        ("via", json!([])),
        ("local", json!("7101")),
        ("local", json!("127.0.0.1:7001")),
        ("tick_ms", json!(0)),
        ("tick_ms", json!(1001)),
        ("tick_ms", json!("20")),
        ("election_ticks", json!(11)),
        ("election_ticks", json!(10_001)),
        ("election_ticks", json!(-1)),
        ("heartbeat_ticks", json!(0)),
        ("heartbeat_ticks", json!(101)),
        ("life_ms", json!(1199)),
        ("life_ms", json!(3_600_001)),
        ("fold_every", json!(99)),
        ("fold_every", json!(10_000_001)),
        ("store_most_mb", json!(7)),
        ("log", json!("json")),
    ] {
        let mut config = full_config();
        config[key] = invalid.clone();
        let error = Config::parse(&config.to_string()).expect_err("the value is invalid").to_string();
        assert!(error.contains(key), "{key} {invalid}: {error}");
    }
    for (key, invalid) in [("format", json!("xml")), ("filter", json!(1))] {
        let mut config = full_config();
        config["log"][key] = invalid;
        let error = Config::parse(&config.to_string()).expect_err("the value is invalid").to_string();
        assert!(error.contains(&format!("log.{key}")), "{error}");
    }
    // The limits themselves are valid.
    for (key, valid) in [
        ("tick_ms", json!(1)),
        ("election_ticks", json!(12)),
        ("life_ms", json!(1200)),
        ("life_ms", json!(3_600_000)),
        ("fold_every", json!(100)),
        ("fold_every", json!(10_000_000)),
        ("store_most_mb", json!(8)),
        ("heartbeat_ticks", json!(1)),
    ] {
        let mut at_limit = full_config();
        at_limit[key] = valid;
        Config::parse(&at_limit.to_string()).expect("a limit is valid");
    }
}

#[test]
fn subcommands_check_found_and_run_read_the_configuration() {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let file = folder.path().join("agent.json");
    let run = |subcommand: &str| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_garnetcrank-agent"));
        let output =
            command.arg(subcommand).arg("--config").arg(&file).output().expect("the agent can be started");
        (output.status.code(), String::from_utf8_lossy(&output.stdout).into_owned(), output.stderr)
    };
    let mut config = full_config();
    config["store"] = json!(folder.path().join("n1.redb"));
    std::fs::write(&file, config.to_string()).expect("the configuration can be written");
    assert_eq!(run("check").0, Some(0));
    let (code, out, _) = run("found");
    assert_eq!(code, Some(0));
    assert!(out.contains("fronts") && out.contains("n1"), "{out}");
    assert_eq!(run("found").0, Some(1), "a cluster can be founded only once");
    config["log"]["filter"] = json!("[");
    std::fs::write(&file, config.to_string()).expect("the configuration can be written");
    for subcommand in ["check", "found", "run"] {
        let (code, _, err) = run(subcommand);
        let err = String::from_utf8_lossy(&err);
        assert!(code == Some(2) && err.contains("log.filter"), "{subcommand}: {err}");
    }
}

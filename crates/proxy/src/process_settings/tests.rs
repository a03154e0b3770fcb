//! Tests of overrides by the environment and of errors in the process configuration.

use std::error::Error;

use super::*;

const SEED: &str = "8c1f30d27a5be964";

/// Returns a configuration without a listening address.
fn config(seed: &str, sockets: usize, memory_mb: u64) -> String {
    let settings = include_str!("../../tests/settings.json");
    format!(
        r#"{{"discovery":"127.0.0.1:2","seed":"{seed}","limits":{{"sockets":{sockets},"memory_mb":{memory_mb}}},
        "pipeline":{{"address":"127.0.0.1:3",
        "news":{{"release":4,"tranche":1,"mode":"COMPLETE","exposure":1.0,"old_ms":10}}}},
        "known":{{"revision":1,"complete":true,"members":[]}},"settings":{settings}}}"#
    )
}

fn parse_error(text: &str, listen: Option<&str>) -> InvalidSetting {
    let variable = |name: &str| listen.filter(|_| name == LISTEN_VARIABLE).map(str::to_owned);
    ProcessSettings::parse(text, variable).expect_err("invalid configuration")
}

#[test]
fn the_environment_provides_an_address_missing_from_the_file() {
    let variable = |name: &str| (name == LISTEN_VARIABLE).then(|| "127.0.0.1:7000".to_owned());
    let process = ProcessSettings::parse(&config(SEED, 64, 16), variable).expect("valid configuration");
    assert_eq!(process.listen.to_string(), "127.0.0.1:7000");
    assert_eq!((process.name.as_str(), process.seed), ("front", 0x8c1f_30d2_7a5b_e964));
}

#[test]
fn an_error_names_the_key_the_value_and_the_limit() {
    let listen = Some("127.0.0.1:7000");
    let messages = [
        (parse_error(&config(SEED, 64, 16), None), "listen is missing"),
        (
            parse_error(&config(SEED, 64, 16), Some("here")),
            "RELAY_LISTEN: \"here\" is not an address with a port",
        ),
        (parse_error(&config("zz", 64, 16), listen), "seed: \"zz\" is not a number of up to 16 hex digits"),
        (parse_error(&config(SEED, 63, 16), listen), "limits.sockets: 63 is too low, the minimum is 64"),
        (
            parse_error(&config(SEED, 64, 15), listen),
            "limits.memory_mb: 15 is too low, the minimum is 16 MiB",
        ),
    ];
    for (error, message) in messages {
        assert_eq!(error.to_string(), message);
    }
}

#[test]
fn an_error_keeps_its_source() {
    let variable = |name: &str| (name == CONFIG_VARIABLE).then(|| "/nonexistent/config.json".to_owned());
    let unreadable = ProcessSettings::read(variable).expect_err("missing file");
    assert!(unreadable.to_string().starts_with("RELAY_CONFIG: /nonexistent/config.json: "), "{unreadable}");
    assert!(unreadable.source().is_some_and(|source| source.is::<std::io::Error>()));
    let seed = parse_error(&config("zz", 64, 16), Some("127.0.0.1:7000"));
    assert!(seed.source().is_some_and(|source| source.is::<std::num::ParseIntError>()));
    let not_set = ProcessSettings::read(|_| None).expect_err("no variables");
    assert_eq!(not_set.to_string(), "RELAY_CONFIG is not set");
}

//! Ids of instances as operators see and give them.

use garnetcrank_agent::api::{format_instance_id, parse_instance_id};
use garnetcrank_consensus::ids::InstanceId;

#[test]
fn an_id_that_is_printed_is_read_back() {
    for id in [1, 0xab, u64::MAX] {
        let text = format_instance_id(InstanceId(id));
        assert_eq!(text.len(), 16);
        assert_eq!(parse_instance_id(&text), Ok(InstanceId(id)));
    }
    assert_eq!(parse_instance_id("ab"), Ok(InstanceId(0xab)), "leading zeros may be left out");
}

#[test]
fn anything_else_is_an_error_that_gives_the_text() {
    for text in ["", "zz", "0", "-1", "00000000000000001", "n1"] {
        let error = parse_instance_id(text).expect_err("not an id").to_string();
        assert!(error.contains(&format!("\"{text}\"")), "{error}");
    }
}

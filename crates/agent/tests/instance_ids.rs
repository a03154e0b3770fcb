//! Text form of instance ids, which operators read and type.

use garnetcrank_agent::api::{format_instance_id, parse_instance_id};
use garnetcrank_consensus::ids::InstanceId;

#[test]
fn a_formatted_id_is_parsed_back() {
    for id in [1, 0xab, u64::MAX] {
        let text = format_instance_id(InstanceId(id));
        assert_eq!(text.len(), 16);
        assert_eq!(parse_instance_id(&text), Ok(InstanceId(id)));
    }
    assert_eq!(parse_instance_id("ab"), Ok(InstanceId(0xab)), "leading zeros are optional");
}

#[test]
fn an_invalid_id_is_an_error_that_contains_the_text() {
    for text in ["", "zz", "0", "-1", "00000000000000001", "n1"] {
        let error = parse_instance_id(text).expect_err("the text is not an id").to_string();
        assert!(error.contains(&format!("\"{text}\"")), "{error}");
    }
}

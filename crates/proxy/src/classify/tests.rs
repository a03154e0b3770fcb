//! Tests of the classification of requests, and of the status for each invalid header.

use garnetcrank_http::{Parsed, RequestReader, Ring};
use garnetcrank_policy::api::{ClassId, TenantId};
use garnetcrank_settings::Settings;

use super::{Classification, ClassifyError, classify};

fn read_and_classify(target: &str, headers: &str) -> Result<Classification, ClassifyError> {
    let settings = serde_json::from_str(include_str!("../../tests/settings.json")).expect("valid JSON");
    let settings = Settings::from_json(&settings).expect("valid settings");
    let mut ring = Ring::new(4096);
    let text = format!("GET {target} HTTP/1.1\r\nHost: x\r\n{headers}\r\n");
    ring.push(text.as_bytes()).expect("request fits");
    match RequestReader::new(100).read(&mut ring) {
        Ok(Parsed::Complete(request)) => classify(&settings, &request),
        other => panic!("{other:?}"),
    }
}

const COMPLETE: &str = "Request-Id: a1\r\nTenant: acme\r\nRequest-Timeout-Ms: 480\r\n";

#[test]
fn class_tenant_and_headers_are_read() {
    let minimal = read_and_classify("/look", COMPLETE).expect("valid request");
    let expected = Classification {
        class: ClassId(0),
        tenant: Some(TenantId(0)),
        timeout: 480_000,
        work_hint: None,
        is_retry: false,
    };
    assert_eq!(minimal, expected);
    let with_options =
        read_and_classify("/pay/7?x=1", &format!("{COMPLETE}work-hint: 1250\r\nClient-Retry: 1\r\n"));
    let with_options = with_options.expect("valid request");
    assert_eq!(
        (with_options.class, with_options.work_hint, with_options.is_retry),
        (ClassId(2), Some(1250), true)
    );
    let long_timeout =
        read_and_classify("/look", &COMPLETE.replace("480", "86400000")).expect("valid request");
    assert_eq!(long_timeout.timeout, 30_000_000, "the timeout is limited to the deadline of the class");
}

#[test]
fn an_invalid_request_is_rejected_with_its_status() {
    let status =
        |target: &str, headers: &str| read_and_classify(target, headers).expect_err("rejected").status();
    assert_eq!(status("/unknown", COMPLETE), 404);
    assert_eq!(status("/", COMPLETE), 404);
    assert_eq!(status("look", COMPLETE), 404);
    for (from, to) in [
        ("Request-Id: a1\r\n", ""),
        ("Request-Id: a1\r\n", "Request-Id: a1\r\nRequest-Id: a2\r\n"),
        ("Tenant: acme\r\n", ""),
        ("acme", "unknown"),
        ("Request-Timeout-Ms: 480\r\n", ""),
        ("480", "-480"),
        ("480", "+480"),
        ("480", "1e3"),
        ("480", "99999999999999999999"),
        ("480", "86400001"),
        ("480\r\n", "480\r\nWork-Hint: NaN\r\n"),
        ("480\r\n", "480\r\nWork-Hint: -1\r\n"),
        ("480\r\n", "480\r\nClient-Retry: perhaps\r\n"),
    ] {
        assert_eq!(status("/look", &COMPLETE.replace(from, to)), 400, "{from:?} replaced by {to:?}");
    }
}

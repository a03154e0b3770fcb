//! Classification of requests, and the status of each fault.

use garnetcrank_http::{Parsed, RequestReader, Ring};
use garnetcrank_policy::api::{ClassId, TenantId};
use garnetcrank_settings::Settings;

use super::{Classification, ClassifyError, classify};

fn read(target: &str, headers: &str) -> Result<Classification, ClassifyError> {
    let settings = serde_json::from_str(include_str!("../../tests/settings.json")).expect("JSON");
    let settings = Settings::read(&settings).expect("settings that hold together");
    let mut ring = Ring::new(4096);
    let text = format!("GET {target} HTTP/1.1\r\nHost: x\r\n{headers}\r\n");
    ring.push(text.as_bytes()).expect("room");
    match RequestReader::new(100).read(&mut ring) {
        Ok(Parsed::Complete(request)) => classify(&settings, &request),
        other => panic!("{other:?}"),
    }
}

const COMPLETE: &str = "Request-Id: a1\r\nTenant: acme\r\nRequest-Timeout-Ms: 480\r\n";

#[test]
fn every_header_is_read() {
    let plain = read("/look", COMPLETE).expect("a request");
    let expected = Classification {
        class: ClassId(0),
        tenant: Some(TenantId(0)),
        timeout: 480_000,
        work_hint: None,
        is_retry: false,
    };
    assert_eq!(plain, expected);
    let more = read("/pay/7?x=1", &format!("{COMPLETE}work-hint: 1250\r\nClient-Retry: 1\r\n"));
    let more = more.expect("a request");
    assert_eq!((more.class, more.work_hint, more.is_retry), (ClassId(2), Some(1250), true));
    let patient = read("/look", &COMPLETE.replace("480", "86400000")).expect("a request");
    assert_eq!(patient.timeout, 30_000_000, "a class's own deadline bounds what a client names");
}

#[test]
fn an_invalid_request_is_rejected_with_its_status() {
    let status = |target: &str, headers: &str| read(target, headers).expect_err("accepted").status();
    assert_eq!(status("/unheard", COMPLETE), 404);
    assert_eq!(status("/", COMPLETE), 404);
    assert_eq!(status("look", COMPLETE), 404);
    for (from, to) in [
        ("Request-Id: a1\r\n", ""),
        ("Request-Id: a1\r\n", "Request-Id: a1\r\nRequest-Id: a2\r\n"),
        ("Tenant: acme\r\n", ""),
        ("acme", "nobody"),
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
        assert_eq!(status("/look", &COMPLETE.replace(from, to)), 400, "{from:?} as {to:?}");
    }
}

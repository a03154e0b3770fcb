//! What a client's request means to the decisions, from its path and headers.

use garnetcrank_http::{Bad, Request};
use garnetcrank_policy::api::{ClassId, Micros, TenantId};
use garnetcrank_settings::Settings;

use crate::clock::MS;

/// Longest time a client may say that it waits; more is a mistake in the unit.
const MAX_TIMEOUT_MS: u64 = 24 * 3600 * 1000;
/// Largest estimate of a request's work, in microseconds; more is a mistake in the unit.
const MAX_WORK_HINT: f64 = 3.6e9;

/// A request as the decisions see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Classification {
    /// Its class.
    pub class: ClassId,
    /// Its tenant, at deployments with tenants.
    pub tenant: Option<TenantId>,
    /// How long the client waits, from the sending on.
    pub timeout: Micros,
    /// Expected work, where told.
    pub work_hint: Option<Micros>,
    /// A client's repeat.
    pub is_retry: bool,
}

/// Why a request means nothing here: the status, and words for its sender.
pub type Odd = (u16, &'static str);

fn bad(bad: Bad) -> Odd {
    (bad.status(), "a header that may stand once stands twice, or is not text")
}

/// Reads path and headers.
pub fn classify(settings: &Settings, request: &Request) -> Result<Classification, Odd> {
    let headers = &request.headers;
    // An answer to these is framed unlike others, or is none that a machine makes.
    if matches!(request.method.as_str(), "HEAD" | "CONNECT" | "TRACE") {
        return Err((501, "a method that is not passed on"));
    }
    let path = request.target.strip_prefix('/').unwrap_or_default();
    let first = path.split(['/', '?']).next().unwrap_or_default();
    let class = settings.classes.iter().position(|c| c == first).ok_or((404, "no such class of request"))?;
    if headers.one("request-id").map_err(bad)?.is_none_or(str::is_empty) {
        return Err((400, "Request-Id is missing"));
    }
    let tenant = match headers.one("tenant").map_err(bad)? {
        _ if settings.tenants.is_empty() => None,
        None => return Err((400, "Tenant is missing")),
        Some(name) => {
            let found = settings.tenants.iter().position(|t| t == name);
            Some(TenantId(found.ok_or((400, "no such tenant"))?))
        }
    };
    let wait = headers.one("request-timeout-ms").map_err(bad)?;
    let wait = wait.ok_or((400, "Request-Timeout-Ms is missing"))?;
    let digits = wait.bytes().all(|b| b.is_ascii_digit());
    let wait = wait.parse::<u64>().ok().filter(|ms| digits && *ms <= MAX_TIMEOUT_MS);
    let wait = wait.ok_or((400, "Request-Timeout-Ms is no sensible number of milliseconds"))? * MS;
    // No client waits longer than its class does, whatever it names: a place is held for so long.
    let wait = wait.min(settings.config.classes[class].deadline);
    let hint = match headers.one("work-hint").map_err(bad)? {
        None => None,
        Some(text) => {
            let hint = text.parse::<f64>().ok().filter(|us| (0.0..=MAX_WORK_HINT).contains(us));
            Some(hint.ok_or((400, "Work-Hint is no sensible number of microseconds"))?)
        }
    };
    let repeat = match headers.one("client-retry").map_err(bad)? {
        None | Some("0") => false,
        Some("1") => true,
        Some(_) => return Err((400, "Client-Retry is neither 0 nor 1")),
    };
    let hint = hint.map(|us| us.round() as Micros).filter(|us| *us > 0);
    Ok(Classification { class: ClassId(class), tenant, timeout: wait, work_hint: hint, is_retry: repeat })
}

#[cfg(test)]
mod tests {
    use super::*;
    use garnetcrank_http::{Parsing, RequestReader, Ring};

    fn read(target: &str, headers: &str) -> Result<Classification, Odd> {
        let settings = serde_json::from_str(include_str!("../tests/settings.json")).expect("JSON");
        let settings = Settings::read(&settings).expect("settings that hold together");
        let mut ring = Ring::new(4096);
        let text = format!("GET {target} HTTP/1.1\r\nHost: x\r\n{headers}\r\n");
        ring.push(text.as_bytes()).expect("room");
        match RequestReader::new(100).read(&mut ring) {
            Ok(Parsing::Done(request)) => classify(&settings, &request),
            other => panic!("{other:?}"),
        }
    }

    const WHOLE: &str = "Request-Id: a1\r\nTenant: acme\r\nRequest-Timeout-Ms: 480\r\n";

    #[test]
    fn the_headers_of_the_page_are_understood() {
        let plain = read("/look", WHOLE).expect("a request");
        let expected = Classification {
            class: ClassId(0),
            tenant: Some(TenantId(0)),
            timeout: 480_000,
            work_hint: None,
            is_retry: false,
        };
        assert_eq!(plain, expected);
        let more = read("/pay/7?x=1", &format!("{WHOLE}work-hint: 1250\r\nClient-Retry: 1\r\n"));
        let more = more.expect("a request");
        assert_eq!((more.class, more.work_hint, more.is_retry), (ClassId(2), Some(1250), true));
        let patient = read("/look", &WHOLE.replace("480", "86400000")).expect("a request");
        assert_eq!(patient.timeout, 30_000_000, "a class's own deadline bounds what a client names");
    }

    #[test]
    fn what_makes_no_sense_is_refused_with_its_reason() {
        let status = |target: &str, headers: &str| read(target, headers).expect_err("accepted").0;
        assert_eq!(status("/unheard", WHOLE), 404);
        assert_eq!(status("/", WHOLE), 404);
        assert_eq!(status("look", WHOLE), 404);
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
            assert_eq!(status("/look", &WHOLE.replace(from, to)), 400, "{from:?} as {to:?}");
        }
    }
}

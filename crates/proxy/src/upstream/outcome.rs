//! What responses and errors say of an attempt.

use std::io;

use garnetcrank_http::Response;
use garnetcrank_policy::api::Outcome;
use rustix::io::Errno;

use super::exchange::Purpose;

/// Header by which an endpoint states that it did not start the request.
const NOT_STARTED_HEADER: &str = "not-started";
/// Header of a response with the endpoint's load report.
pub(super) const LOAD_REPORT_HEADER: &str = "server-load";

/// The outcome that a response means. Only a rejection that is marked proves that the request had no effect.
pub(super) fn response_outcome(response: &Response) -> Outcome {
    let not_started = response.headers.values(NOT_STARTED_HEADER).any(|value| value.trim_ascii() == b"1");
    match response.status {
        200 => Outcome::Success,
        503 | 504 if not_started => Outcome::Overloaded,
        _ => Outcome::Error,
    }
}

/// The outcome of a connection that could not be started: a lack of this host's resources says nothing of the endpoint.
pub(super) fn connect_error_outcome(error: &io::Error) -> Outcome {
    match Errno::from_io_error(error) {
        Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM | Errno::ADDRNOTAVAIL) => {
            Outcome::NotSent
        }
        _ => Outcome::ConnectFailed,
    }
}

/// The values of a response's load report in the order of `columns`; empty without a complete report. A health check
/// may carry it in its body.
pub(super) fn load_report(response: &Response, purpose: Purpose, columns: &[String]) -> Vec<f64> {
    if columns.is_empty() {
        return Vec::new();
    }
    let body = if purpose == Purpose::HealthCheck { response.body.as_slice() } else { b"" };
    let text = response.headers.values(LOAD_REPORT_HEADER).next().unwrap_or(body);
    let report: serde_json::Value = serde_json::from_slice(text).unwrap_or_default();
    let values = columns.iter().map(|column| report.get(column).and_then(serde_json::Value::as_f64));
    values.collect::<Option<Vec<_>>>().unwrap_or_default()
}

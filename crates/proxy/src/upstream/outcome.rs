//! Outcomes and load reports derived from responses and connect errors.

use std::io;

use garnetcrank_http::Response;
use garnetcrank_policy::api::Outcome;
use rustix::io::Errno;

use super::exchange::Purpose;

/// Header with which an endpoint states that it did not start the request.
const NOT_STARTED_HEADER: &str = "not-started";
/// Response header with the endpoint's load report.
pub(super) const LOAD_REPORT_HEADER: &str = "server-load";

/// Returns the outcome of an attempt that received `response`. Only a rejection with the not-started header
/// proves that the request had no effect.
pub(super) fn response_outcome(response: &Response) -> Outcome {
    let not_started = response.headers.values(NOT_STARTED_HEADER).any(|value| value.trim_ascii() == b"1");
    match response.status {
        200 => Outcome::Success,
        503 | 504 if not_started => Outcome::Overloaded,
        _ => Outcome::Error,
    }
}

/// Returns the outcome of a connection that could not be started. A lack of local resources is not counted
/// against the endpoint, so it gives [`Outcome::NotSent`].
pub(super) fn connect_error_outcome(error: &io::Error) -> Outcome {
    match Errno::from_io_error(error) {
        Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM | Errno::ADDRNOTAVAIL) => {
            Outcome::NotSent
        }
        _ => Outcome::ConnectFailed,
    }
}

/// Returns the values of a response's load report in the order of `columns`, or nothing if the report is
/// missing or incomplete. The response to a health check may have the report in its body.
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

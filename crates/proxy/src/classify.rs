//! Classification of requests: class, tenant, timeout and work hint, from path and headers.

#[cfg(test)]
mod tests;

use garnetcrank_http::{Headers, MessageError, Request};
use garnetcrank_policy::api::{ClassId, Micros, TenantId};
use garnetcrank_settings::Settings;

use crate::clock::MS;

/// Maximum timeout that a client may state, in milliseconds. A larger value is taken for a wrong unit.
const MAX_TIMEOUT_MS: u64 = 24 * 3600 * 1000;
/// Maximum work hint that a client may state, in microseconds. A larger value is taken for a wrong unit.
const MAX_WORK_HINT_US: f64 = 3.6e9;
/// Methods that are not forwarded. Responses to them are framed differently, or do not come from an endpoint
/// at all.
const UNSUPPORTED_METHODS: [&str; 3] = ["HEAD", "CONNECT", "TRACE"];

/// Properties of a request that the policy needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Classification {
    /// Class of the request.
    pub(crate) class: ClassId,
    /// Tenant of the request, at deployments with tenants.
    pub(crate) tenant: Option<TenantId>,
    /// Time that the client waits for a response, counted from when it sent the request.
    pub(crate) timeout: Micros,
    /// Expected work, if the client states it.
    pub(crate) work_hint: Option<Micros>,
    /// Whether the request is a retry by the client.
    pub(crate) is_retry: bool,
}

/// Reason why a request cannot be classified. The message is the body of the error response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum ClassifyError {
    /// A header that may occur only once is repeated, or its value is not UTF-8.
    #[error("a header that may stand once stands twice, or is not text")]
    Header(#[source] MessageError),
    /// A method that is not forwarded.
    #[error("a method that is not passed on")]
    Method,
    /// A path that does not start with the name of a class.
    #[error("no such class of request")]
    UnknownClass,
    /// A missing or empty `Request-Id`.
    #[error("Request-Id is missing")]
    NoRequestId,
    /// A missing `Tenant`.
    #[error("Tenant is missing")]
    NoTenant,
    /// A tenant that is not in the settings.
    #[error("no such tenant")]
    UnknownTenant,
    /// A missing `Request-Timeout-Ms`.
    #[error("Request-Timeout-Ms is missing")]
    NoTimeout,
    /// A timeout that is not a non-negative integer, or is larger than 24 h.
    #[error("Request-Timeout-Ms is no sensible number of milliseconds")]
    InvalidTimeout,
    /// A work hint that is not a number, or is out of range.
    #[error("Work-Hint is no sensible number of microseconds")]
    InvalidWorkHint,
    /// A `Client-Retry` header that is neither 0 nor 1.
    #[error("Client-Retry is neither 0 nor 1")]
    InvalidClientRetry,
}

impl ClassifyError {
    /// Returns the status code of the error response.
    pub(crate) fn status(self) -> u16 {
        match self {
            ClassifyError::Header(error) => error.status(),
            ClassifyError::Method => 501,
            ClassifyError::UnknownClass => 404,
            _ => 400,
        }
    }
}

/// Classifies a request. The order of the checks is method, class, `Request-Id`, tenant, timeout, work hint
/// and `Client-Retry`.
///
/// # Errors
/// Returns the error of the first check that fails.
pub(crate) fn classify(settings: &Settings, request: &Request) -> Result<Classification, ClassifyError> {
    if UNSUPPORTED_METHODS.contains(&request.method.as_str()) {
        return Err(ClassifyError::Method);
    }
    let class = class(settings, &request.target)?;
    let headers = &request.headers;
    if header(headers, "request-id")?.is_none_or(str::is_empty) {
        return Err(ClassifyError::NoRequestId);
    }
    let tenant = tenant(settings, headers)?;
    // The timeout is limited to the deadline of the class, since an unanswered request occupies memory and
    // connections until its timeout.
    let timeout = timeout(headers)?.min(settings.config.classes[class.0].deadline);
    let work_hint = work_hint(headers)?;
    let is_retry = match header(headers, "client-retry")? {
        None | Some("0") => false,
        Some("1") => true,
        Some(_) => return Err(ClassifyError::InvalidClientRetry),
    };
    Ok(Classification { class, tenant, timeout, work_hint, is_retry })
}

fn header<'a>(headers: &'a Headers, name: &'a str) -> Result<Option<&'a str>, ClassifyError> {
    headers.single_value(name).map_err(ClassifyError::Header)
}

/// Returns the class named by the first segment of the path.
fn class(settings: &Settings, target: &str) -> Result<ClassId, ClassifyError> {
    let path = target.strip_prefix('/').unwrap_or_default();
    let first_segment = path.split(['/', '?']).next().unwrap_or_default();
    let position = settings.classes.iter().position(|name| name == first_segment);
    position.map(ClassId).ok_or(ClassifyError::UnknownClass)
}

fn tenant(settings: &Settings, headers: &Headers) -> Result<Option<TenantId>, ClassifyError> {
    let name = header(headers, "tenant")?;
    if settings.tenants.is_empty() {
        return Ok(None);
    }
    let name = name.ok_or(ClassifyError::NoTenant)?;
    let position = settings.tenants.iter().position(|tenant| tenant == name);
    position.map(|position| Some(TenantId(position))).ok_or(ClassifyError::UnknownTenant)
}

fn timeout(headers: &Headers) -> Result<Micros, ClassifyError> {
    let text = header(headers, "request-timeout-ms")?.ok_or(ClassifyError::NoTimeout)?;
    let only_digits = text.bytes().all(|byte| byte.is_ascii_digit());
    match text.parse::<u64>() {
        Ok(timeout_ms) if only_digits && timeout_ms <= MAX_TIMEOUT_MS => Ok(timeout_ms * MS),
        _ => Err(ClassifyError::InvalidTimeout),
    }
}

/// Returns the work hint, or `None` if there is none or it is 0.
fn work_hint(headers: &Headers) -> Result<Option<Micros>, ClassifyError> {
    let Some(text) = header(headers, "work-hint")? else { return Ok(None) };
    match text.parse::<f64>() {
        Ok(hint) if (0.0..=MAX_WORK_HINT_US).contains(&hint) => {
            Ok(Some(hint.round() as Micros).filter(|hint| *hint > 0))
        }
        _ => Err(ClassifyError::InvalidWorkHint),
    }
}

//! What a client's request means at this deployment, from its path and headers.

#[cfg(test)]
mod tests;

use garnetcrank_http::{Headers, MessageError, Request};
use garnetcrank_policy::api::{ClassId, Micros, TenantId};
use garnetcrank_settings::Settings;

use crate::clock::MS;

/// Maximum time that a client may say it waits, in milliseconds; more is a mistake in the unit.
const MAX_TIMEOUT_MS: u64 = 24 * 3600 * 1000;
/// Maximum estimate of a request's work, in microseconds; more is a mistake in the unit.
const MAX_WORK_HINT: f64 = 3.6e9;
/// Methods that are not forwarded: a response to them is framed unlike others, or is none that an endpoint makes.
const UNSUPPORTED_METHODS: [&str; 3] = ["HEAD", "CONNECT", "TRACE"];

/// A request in the policy's terms.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Classification {
    /// Its class.
    pub(crate) class: ClassId,
    /// Its tenant, at deployments with tenants.
    pub(crate) tenant: Option<TenantId>,
    /// How long the client waits, from when it sent the request.
    pub(crate) timeout: Micros,
    /// Expected work, where the client states it.
    pub(crate) work_hint: Option<Micros>,
    /// The client sends the request again.
    pub(crate) is_retry: bool,
}

/// Why a request means nothing at this deployment. The message is the body of the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum ClassifyError {
    /// A header occurs more than once, or is not text.
    #[error("a header that may stand once stands twice, or is not text")]
    Header(#[source] MessageError),
    /// The method is not forwarded.
    #[error("a method that is not passed on")]
    Method,
    /// The path names no class.
    #[error("no such class of request")]
    UnknownClass,
    /// There is no `Request-Id`.
    #[error("Request-Id is missing")]
    NoRequestId,
    /// There is no `Tenant`.
    #[error("Tenant is missing")]
    NoTenant,
    /// The tenant is not one of the settings'.
    #[error("no such tenant")]
    UnknownTenant,
    /// There is no `Request-Timeout-Ms`.
    #[error("Request-Timeout-Ms is missing")]
    NoTimeout,
    /// The timeout is no number, or too large.
    #[error("Request-Timeout-Ms is no sensible number of milliseconds")]
    InvalidTimeout,
    /// The work hint is no number, or out of range.
    #[error("Work-Hint is no sensible number of microseconds")]
    InvalidWorkHint,
    /// The retry mark is neither 0 nor 1.
    #[error("Client-Retry is neither 0 nor 1")]
    InvalidRetryMark,
}

impl ClassifyError {
    /// The status code of the answer.
    pub(crate) fn status(self) -> u16 {
        match self {
            ClassifyError::Header(bad) => bad.status(),
            ClassifyError::Method => 501,
            ClassifyError::UnknownClass => 404,
            _ => 400,
        }
    }
}

/// Classifies a request. Faults are looked for in the order method, class, `Request-Id`, tenant, timeout, work hint and
/// retry mark.
///
/// # Errors
/// The first fault found.
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
    // No client waits longer than its class does, whatever it names: a place is reserved for so long.
    let timeout = timeout(headers)?.min(settings.config.classes[class.0].deadline);
    let work_hint = work_hint(headers)?;
    let is_retry = match header(headers, "client-retry")? {
        None | Some("0") => false,
        Some("1") => true,
        Some(_) => return Err(ClassifyError::InvalidRetryMark),
    };
    Ok(Classification { class, tenant, timeout, work_hint, is_retry })
}

fn header<'a>(headers: &'a Headers, name: &'a str) -> Result<Option<&'a str>, ClassifyError> {
    headers.single_value(name).map_err(ClassifyError::Header)
}

/// The first part of the path names the class.
fn class(settings: &Settings, target: &str) -> Result<ClassId, ClassifyError> {
    let path = target.strip_prefix('/').unwrap_or_default();
    let first_part = path.split(['/', '?']).next().unwrap_or_default();
    let position = settings.classes.iter().position(|name| name == first_part);
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

/// A hint of 0 is none.
fn work_hint(headers: &Headers) -> Result<Option<Micros>, ClassifyError> {
    let Some(text) = header(headers, "work-hint")? else { return Ok(None) };
    match text.parse::<f64>() {
        Ok(hint) if (0.0..=MAX_WORK_HINT).contains(&hint) => {
            Ok(Some(hint.round() as Micros).filter(|hint| *hint > 0))
        }
        _ => Err(ClassifyError::InvalidWorkHint),
    }
}

//! Starts attempts and health checks on an idle connection or a new one.

use garnetcrank_http::{Request, ResponseReader, Ring, write_request};
use garnetcrank_policy::api::{EndpointId, Micros, Outcome};

use super::event::{UpstreamEvent, UpstreamRequest};
use super::exchange::{ActiveExchange, Purpose, UpstreamConnection};
use super::outcome::{LOAD_REPORT_HEADER, connect_error_outcome};
use super::{AttemptKey, MAX_BODY_BYTES, Upstream};
use crate::clock::{MS, SECOND};
use crate::connection::Connection;
use crate::http_exchange::HttpExchange;
use crate::readiness::{ConnId, ConnIds, Handle, Source};

/// Capacity of the output buffer, in bytes: a request's body and its head, with a margin for added headers.
const OUTPUT_RING_BYTES: usize = MAX_BODY_BYTES + 40 * 1024;
/// Capacity of the input buffer for bytes that are not parsed yet, in bytes.
const INPUT_RING_BYTES: usize = 32 * 1024;
/// Time limit for a health check, whose response is a few bytes.
const HEALTH_CHECK_TIMEOUT: Micros = SECOND;
/// Request header that tells an endpoint the time left until the attempt times out, in milliseconds.
const TIMEOUT_HEADER: &str = "Request-Timeout-Ms";

/// Parameters of an exchange that is to be started.
struct ExchangePlan {
    endpoint: EndpointId,
    purpose: Purpose,
    deadline: Micros,
}

impl Upstream {
    /// Starts an attempt. The endpoint gets the time left as `Request-Timeout-Ms`.
    ///
    /// # Errors
    /// Returns the outcome of an attempt that could not be started.
    pub(crate) fn start_attempt(
        &mut self,
        handle: &Handle,
        ids: &mut ConnIds,
        now: Micros,
        attempt: &UpstreamRequest<'_>,
        events: &mut Vec<UpstreamEvent>,
    ) -> Result<(), Outcome> {
        let timeout_ms = (attempt.deadline.saturating_sub(now) / MS).max(1).to_string();
        let replaced = [TIMEOUT_HEADER, LOAD_REPORT_HEADER];
        let is_replaced = |name: &str| replaced.iter().any(|other| name.eq_ignore_ascii_case(other));
        let forwarded = attempt.request.headers.end_to_end().filter(|(name, _)| !is_replaced(name));
        let headers = forwarded.chain(std::iter::once((TIMEOUT_HEADER, timeout_ms.as_bytes())));
        let Request { method, target, body, .. } = attempt.request;
        let UpstreamRequest { id, attempt, endpoint, deadline, streamed, .. } = *attempt;
        let purpose = Purpose::Attempt { id, attempt, streamed };
        let plan = ExchangePlan { endpoint, purpose, deadline };
        self.start(handle, ids, now, &plan, events, |output| {
            write_request(output, method, target, headers, body).is_ok()
        })
    }

    /// Starts a health check.
    ///
    /// # Errors
    /// Returns the outcome of a health check that could not be started.
    pub(crate) fn start_health_check(
        &mut self,
        handle: &Handle,
        ids: &mut ConnIds,
        now: Micros,
        endpoint: EndpointId,
        events: &mut Vec<UpstreamEvent>,
    ) -> Result<(), Outcome> {
        let target = if self.transport.report_columns.is_empty() { "/healthz" } else { "/load" };
        let host = self.pool.address(endpoint).ok_or(Outcome::NotSent)?.to_string();
        let headers = std::iter::once(("Host", host.as_bytes()));
        let deadline = now + HEALTH_CHECK_TIMEOUT;
        let plan = ExchangePlan { endpoint, purpose: Purpose::HealthCheck, deadline };
        self.start(handle, ids, now, &plan, events, |output| {
            write_request(output, "GET", target, headers, b"").is_ok()
        })
    }

    fn start(
        &mut self,
        handle: &Handle,
        ids: &mut ConnIds,
        now: Micros,
        plan: &ExchangePlan,
        events: &mut Vec<UpstreamEvent>,
        write: impl FnOnce(&mut Ring) -> bool,
    ) -> Result<(), Outcome> {
        let reader = match plan.purpose {
            Purpose::Attempt { streamed: true, .. } => ResponseReader::streamed(MAX_BODY_BYTES),
            _ => ResponseReader::buffered(MAX_BODY_BYTES),
        };
        let idle = self.pool.take_idle(plan.endpoint, now);
        let (id, mut connection, exchange, connect_deadline) = match idle {
            Some((id, connection)) => {
                self.reused += 1;
                (id, connection, HttpExchange::on_open_connection(reader), plan.deadline)
            }
            None => {
                let (id, connection) = self.connect(handle, ids, now, plan.endpoint)?;
                let connect_deadline = now + self.transport.connect_timeout;
                (id, connection, HttpExchange::connecting(reader), connect_deadline)
            }
        };
        if !write(&mut connection.connection.output) {
            return Err(Outcome::NotSent);
        }
        let is_established = exchange.connected();
        let check_at = connect_deadline.min(plan.deadline);
        connection.active = Some(ActiveExchange {
            purpose: plan.purpose,
            exchange,
            started_at: now,
            connect_deadline,
            check_at,
            deadline: plan.deadline,
            is_streaming: false,
        });
        self.deadlines.insert((check_at, id));
        if let Purpose::Attempt { id: request, attempt, .. } = plan.purpose {
            self.attempts.insert(AttemptKey { request, attempt }, id);
        }
        self.pool.insert(id, connection);
        // A new connection is resumed once the event loop reports that it is established.
        if is_established {
            self.resume(id, now, events);
        }
        Ok(())
    }

    fn connect(
        &mut self,
        handle: &Handle,
        ids: &mut ConnIds,
        now: Micros,
        endpoint: EndpointId,
    ) -> Result<(ConnId, UpstreamConnection), Outcome> {
        let address = self.pool.address(endpoint).ok_or(Outcome::NotSent)?;
        let generation = self.pool.generation(endpoint).ok_or(Outcome::NotSent)?;
        let id = ids.next();
        let source = Source::Upstream(id);
        let connection = Connection::connect(handle, address, source, INPUT_RING_BYTES, OUTPUT_RING_BYTES)
            .map_err(|error| connect_error_outcome(&error))?;
        self.opened += 1;
        let connection = UpstreamConnection {
            connection,
            endpoint,
            generation,
            active: None,
            idle_since: now,
            paused: false,
        };
        Ok((id, connection))
    }
}

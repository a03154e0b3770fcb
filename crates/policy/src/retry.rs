//! Retries: their budget, and whether a further attempt of a request is safe.

use crate::api::{EndpointRecord, Idempotency, KeyScope, Micros};
use crate::engine::Policy;
use crate::request_lifecycle::{Attempt, InFlightRequest};
use crate::units::MILLISECOND;

/// Retries earned by a request: a retry storm stays a fifth of the traffic.
const EARNED_PER_REQUEST: f64 = 0.2;
/// Most retries saved up.
const BUDGET_MAX: f64 = 10.0;
/// A keyed repeat must arrive while the first attempt is still remembered.
const TRANSIT_MARGIN: Micros = 100 * MILLISECOND;

/// Retries that may be spent: a token bucket filled by requests.
pub(crate) struct RetryBudget {
    retries: f64,
}

impl RetryBudget {
    pub(crate) fn new() -> Self {
        RetryBudget { retries: BUDGET_MAX }
    }

    pub(crate) fn earn(&mut self) {
        self.retries = (self.retries + EARNED_PER_REQUEST).min(BUDGET_MAX);
    }

    pub(crate) fn allows_retry(&self) -> bool {
        self.retries >= 1.0
    }

    pub(crate) fn spend(&mut self) {
        self.retries -= 1.0;
    }
}

impl Policy {
    /// Whether a further attempt may go to this endpoint, given those before it.
    pub(crate) fn retry_allows(&self, in_flight: &InFlightRequest, candidate: &EndpointRecord) -> bool {
        let earlier = || in_flight.attempts.iter().filter(|attempt| attempt.may_have_run());
        let Some(first_sent) = earlier().map(|attempt| attempt.sent).min() else { return true };
        let may_overlap = self.config.hedging || !in_flight.has_open_attempt();
        match self.config.classes[in_flight.request.class.0].idempotency {
            Idempotency::Idempotent => may_overlap,
            Idempotency::NonIdempotent => false,
            Idempotency::Keyed { scope, window } => {
                let remembered = self.now + TRANSIT_MARGIN < first_sent + window;
                may_overlap
                    && remembered
                    && earlier().all(|attempt| self.discards_repeat(attempt, candidate, scope))
            }
        }
    }

    /// Whether an endpoint discards the repeat of an attempt: it is in the same scope as the attempt's.
    fn discards_repeat(&self, attempt: &Attempt, candidate: &EndpointRecord, scope: KeyScope) -> bool {
        let record = || self.endpoints.get(attempt.endpoint).map(|endpoint| &endpoint.record);
        match scope {
            KeyScope::All => true,
            KeyScope::Zone => record().is_some_and(|record| record.zone == candidate.zone),
            KeyScope::Cell => record().is_some_and(|record| record.cell == candidate.cell),
        }
    }
}

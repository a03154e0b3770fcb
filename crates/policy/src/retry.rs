//! Retries: the retry budget, and the check that a retry is safe.

use crate::api::{EndpointRecord, Idempotency, KeyScope, Micros};
use crate::engine::Policy;
use crate::request_lifecycle::{Attempt, InFlightRequest};
use crate::token_bucket::TokenBucket;
use crate::units::MILLISECOND;

/// Retries added to the budget per request, so that a retry storm adds at most a fifth to the traffic.
const RETRIES_PER_REQUEST: f64 = 0.2;
/// Capacity of the retry budget.
const MAX_BUDGET: f64 = 10.0;
/// Allowance for the transit of a repeat, which must arrive within the key's window.
const TRANSIT_MARGIN: Micros = 100 * MILLISECOND;

/// Retry budget: a token bucket filled by requests.
pub(crate) struct RetryBudget(TokenBucket);

impl RetryBudget {
    pub(crate) fn new() -> Self {
        RetryBudget(TokenBucket::full(MAX_BUDGET))
    }

    pub(crate) fn deposit(&mut self) {
        self.0.deposit(RETRIES_PER_REQUEST);
    }

    pub(crate) fn allows_retry(&self) -> bool {
        self.0.has_token()
    }

    pub(crate) fn withdraw(&mut self) {
        self.0.withdraw();
    }
}

impl Policy {
    /// Returns whether an endpoint may get a further attempt, given the earlier ones that may have run.
    pub(crate) fn retry_allows(&self, in_flight: &InFlightRequest, candidate: &EndpointRecord) -> bool {
        let earlier = || in_flight.attempts.iter().filter(|attempt| attempt.may_have_run());
        let Some(first_sent_at) = earlier().map(|attempt| attempt.sent_at).min() else { return true };
        let may_overlap = self.config.hedging || !in_flight.has_open_attempt();
        match self.config.classes[in_flight.request.class.0].idempotency {
            Idempotency::Idempotent => may_overlap,
            Idempotency::NonIdempotent => false,
            Idempotency::Keyed { scope, window } => {
                let within_window = self.now + TRANSIT_MARGIN < first_sent_at + window;
                may_overlap
                    && within_window
                    && earlier().all(|attempt| self.discards_repeat(attempt, candidate, scope))
            }
        }
    }

    /// Returns whether an endpoint discards the repeat of an attempt: both are in the same scope.
    fn discards_repeat(&self, attempt: &Attempt, candidate: &EndpointRecord, scope: KeyScope) -> bool {
        let record = || self.endpoints.get(attempt.endpoint).map(|endpoint| &endpoint.record);
        match scope {
            KeyScope::All => true,
            KeyScope::Zone => record().is_some_and(|record| record.zone == candidate.zone),
            KeyScope::Cell => record().is_some_and(|record| record.cell == candidate.cell),
        }
    }
}

//! Requests whose clients give them less time than a response usually takes.

use crate::api::{Micros, Outcome, Request};
use crate::engine::Policy;
use crate::token_bucket::TokenBucket;
use crate::units::SECOND;

/// Fraction of the latency objective below which a client's time is too short to tell a slow endpoint from a
/// usual one.
const SHORT_DEADLINE_FRACTION: f64 = 0.5;
/// Attempts at such requests that may end without a response, for each attempt that is served.
const WASTED_ATTEMPTS_PER_SERVED: f64 = 0.125;
/// Such attempts for each second, so that the end of a fault shows where all clients give little time.
const WASTED_ATTEMPTS_PER_SECOND: f64 = 10.0;
/// Capacity of the budget of these attempts.
const MAX_BUDGET: f64 = 10.0;

/// Budget of attempts at requests with short deadlines: a token bucket filled by attempts that are served,
/// and slowly by time.
///
/// Guards against a client whose requests no endpoint can answer in time. Each of its attempts takes a
/// connection to an endpoint, which is closed at the deadline. The cost is that, after many of them, requests
/// with short deadlines are rejected that would have been served.
pub(crate) struct ShortDeadlineBudget {
    bucket: TokenBucket,
    refilled_at: Micros,
}

impl ShortDeadlineBudget {
    pub(crate) fn new() -> Self {
        ShortDeadlineBudget { bucket: TokenBucket::full(MAX_BUDGET), refilled_at: 0 }
    }

    /// Records the end of any attempt. One with a short deadline that is not served has cost a connection,
    /// whether or not that was established in time, unless the attempt ended as it began.
    pub(crate) fn record(&mut self, outcome: Outcome, has_short_deadline: bool, latency: Micros) {
        if outcome == Outcome::Success {
            self.bucket.deposit(WASTED_ATTEMPTS_PER_SERVED);
        } else if has_short_deadline && latency > 0 {
            self.bucket.withdraw();
        }
    }

    fn allows_attempt(&mut self, now: Micros) -> bool {
        let seconds = now.saturating_sub(self.refilled_at) as f64 / SECOND as f64;
        self.refilled_at = now;
        self.bucket.deposit(WASTED_ATTEMPTS_PER_SECOND * seconds);
        self.bucket.has_token()
    }
}

impl Policy {
    /// Returns whether a request has less time from its arrival than [`SHORT_DEADLINE_FRACTION`] of the
    /// latency objective.
    pub(crate) fn has_short_deadline(&self, request: &Request, arrived: Micros) -> bool {
        let objective = self.config.classes[request.class.0].latency_objective;
        let time = request.deadline.saturating_sub(arrived);
        (time as f64) < objective as f64 * SHORT_DEADLINE_FRACTION
    }

    /// Returns whether a request that arrives now has enough time, or the budget allows an attempt at it.
    pub(crate) fn deadline_allows_attempt(&mut self, request: &Request) -> bool {
        !self.has_short_deadline(request, self.now) || self.short_deadline_budget.allows_attempt(self.now)
    }
}

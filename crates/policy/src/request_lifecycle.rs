//! Lifecycle of a request, from its arrival to its final answer.

use crate::api::{
    Action, AttemptResult, Build, Class, EndpointId, Idempotency, KeyScope, Micros, Outcome, Request,
    RequestId,
};
use crate::engine::Policy;
use crate::units::MILLISECOND;

/// Fraction of the latency objective after which a rejected client should retry, on average; an answer to the
/// retry must still be useful.
const RETRY_AFTER_FRACTION: f64 = 0.2;

/// One attempt at a request.
pub(crate) struct Attempt {
    pub(crate) endpoint: EndpointId,
    pub(crate) build: Build,
    pub(crate) sent_at: Micros,
    /// Slow-start factor of the endpoint when the attempt was sent; none if it was not warming up.
    pub(crate) slow_start_factor: Option<f64>,
    /// Whether the client gives so little time that the outcome says more of that than of the endpoint.
    pub(crate) has_short_deadline: bool,
    /// Whether the attempt was open for its latency objective and has been counted as overdue.
    pub(crate) counted_overdue: bool,
    /// Outcome, once the attempt has ended.
    pub(crate) outcome: Option<Outcome>,
}

impl Attempt {
    pub(crate) fn is_open(&self) -> bool {
        self.outcome.is_none()
    }

    pub(crate) fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(Outcome::may_have_run)
    }
}

/// State of a request's answer.
#[derive(PartialEq)]
enum RequestState {
    Unanswered,
    /// The response has started: the request is neither retried nor cancelled.
    Responding,
    /// The request needs no answer any more, and is kept until its attempts have ended.
    Finished,
}

/// A request that needs an answer or has open attempts.
pub(crate) struct InFlightRequest {
    pub(crate) request: Request,
    arrived: Micros,
    pub(crate) attempts: Vec<Attempt>,
    state: RequestState,
}

impl InFlightRequest {
    fn new(request: Request, arrived: Micros) -> Self {
        InFlightRequest { request, arrived, attempts: Vec::new(), state: RequestState::Unanswered }
    }

    pub(crate) fn has_open_attempt(&self) -> bool {
        self.attempts.iter().any(Attempt::is_open)
    }

    pub(crate) fn was_sent_to(&self, endpoint: EndpointId) -> bool {
        self.attempts.iter().any(|attempt| attempt.endpoint == endpoint)
    }

    fn may_have_run(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_run)
    }

    /// Marks attempts that have been open for the latency objective; returns the number of newly marked ones.
    fn mark_overdue(&mut self, now: Micros, latency_objective: Micros) -> i32 {
        let mut newly_overdue = 0;
        for attempt in &mut self.attempts {
            if attempt.is_open() && !attempt.counted_overdue && now >= attempt.sent_at + latency_objective {
                attempt.counted_overdue = true;
                newly_overdue += 1;
            }
        }
        newly_overdue
    }
}

/// Action on a request after one of its attempts has ended.
enum NextAction {
    Finish,
    Wait,
    Retry,
    GiveUp,
}

impl Policy {
    pub(crate) fn on_request(&mut self, request: Request) {
        self.exposure.requests.add(self.now, request.class);
        self.latency.add_request(self.now, &request);
        self.retry_budget.deposit();
        self.traffic.record_request(request.class, request.tenant);
        let id = request.id;
        let admitted = self.admits(&request);
        self.requests.insert(id, InFlightRequest::new(request, self.now));
        if admitted {
            self.forward(id);
        } else {
            self.give_up(id);
        }
    }

    pub(crate) fn on_response_started(&mut self, id: RequestId) {
        if let Some(in_flight) = self.requests.get_mut(&id) {
            in_flight.state = RequestState::Responding;
        }
    }

    pub(crate) fn on_attempt_completed(&mut self, result: &AttemptResult) {
        let id = result.id;
        let Some(mut in_flight) = self.requests.remove(&id) else { return };
        if let Some(attempt) = in_flight.attempts.get_mut(result.attempt).filter(|a| a.is_open()) {
            attempt.outcome = Some(result.outcome);
            self.record_outcome(&in_flight.request, attempt, result.outcome, result.latency);
        }
        let next_action = self.next_action(&in_flight, result.request_finished);
        self.requests.insert(id, in_flight);
        match next_action {
            NextAction::Finish => self.finish_request(id),
            NextAction::Wait => {}
            NextAction::Retry => {
                self.retry_budget.withdraw();
                self.forward(id);
            }
            NextAction::GiveUp => self.give_up(id),
        }
    }

    fn next_action(&self, in_flight: &InFlightRequest, finished: bool) -> NextAction {
        if finished || in_flight.state == RequestState::Finished {
            return NextAction::Finish;
        }
        if in_flight.has_open_attempt() || in_flight.state == RequestState::Responding {
            return NextAction::Wait;
        }
        let objective = self.config.classes[in_flight.request.class.0].latency_objective;
        let useful_until = in_flight.request.deadline.min(in_flight.arrived + objective);
        let in_time = self.now + self.config.resolution < useful_until;
        let attempts_left = in_flight.attempts.len() < self.config.max_attempts;
        if attempts_left && in_time && self.retry_budget.allows_retry() {
            NextAction::Retry
        } else {
            NextAction::GiveUp
        }
    }

    /// Starts an attempt at an eligible endpoint. If there is none, the request is answered at once.
    fn forward(&mut self, id: RequestId) {
        let Some(mut in_flight) = self.requests.remove(&id) else { return };
        let choice = self.choose_endpoint(&in_flight);
        if let Some(endpoint) = choice {
            self.start_attempt(&mut in_flight, endpoint);
        }
        self.requests.insert(id, in_flight);
        if choice.is_none() {
            self.give_up(id);
        }
    }

    fn start_attempt(&mut self, in_flight: &mut InFlightRequest, id: EndpointId) {
        let Some(record) = self.endpoints.get(id).map(|e| e.record) else { return };
        self.spend_slow_start(id, &in_flight.request);
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.in_flight += 1;
        }
        let now = self.now;
        let has_short_deadline = self.has_short_deadline(&in_flight.request, in_flight.arrived);
        self.build_record(record.build).attempts.add(now, in_flight.request.class);
        in_flight.attempts.push(Attempt {
            endpoint: id,
            build: record.build,
            sent_at: now,
            slow_start_factor: self.slow_start_factor(&record),
            has_short_deadline,
            counted_overdue: false,
            outcome: None,
        });
        self.concurrency.acquire();
        let timeout = self.attempt_timeout(in_flight);
        self.actions.push(Action::Forward { id: in_flight.request.id, endpoint: id, timeout });
    }

    /// Returns the time-out of an attempt if it ends before the client's deadline; none for streamed classes.
    /// An attempt whose late answer would be worthless is not waited for, since its work is better spent on
    /// other requests.
    fn attempt_timeout(&self, in_flight: &InFlightRequest) -> Option<Micros> {
        let class = &self.config.classes[in_flight.request.class.0];
        let deadline = in_flight.request.deadline;
        let useful_until = if class.late_response_value > 0.0 {
            deadline
        } else {
            in_flight.arrived + class.latency_objective
        };
        let ends_early = useful_until < deadline && !class.streamed;
        ends_early.then(|| useful_until.saturating_sub(self.now).max(MILLISECOND))
    }

    /// Answers a request that no endpoint will answer. If the request is safe to send again, the answer is a
    /// rejection, with a retry time if the settings allow one. Otherwise it is a failure.
    fn give_up(&mut self, id: RequestId) {
        let Some(in_flight) = self.requests.get(&id) else { return };
        let may_have_run = in_flight.may_have_run();
        let Class { idempotency, latency_objective, .. } = self.config.classes[in_flight.request.class.0];
        let safe_to_repeat =
            matches!(idempotency, Idempotency::Idempotent | Idempotency::Keyed { scope: KeyScope::All, .. });
        let jitter = 0.5 + self.rng.f64();
        let wait = (latency_objective as f64 * RETRY_AFTER_FRACTION * jitter) as Micros;
        let retry_after = self.config.retry_after.map(|max_wait| wait.min(max_wait));
        let answer = if safe_to_repeat || !may_have_run {
            Action::Reject { id, retry_after }
        } else {
            Action::Fail(id)
        };
        self.actions.push(answer);
        self.finish_request(id);
    }

    /// Ends a request. Its open attempts are cancelled if that is allowed and no response has started; the
    /// request is kept until they end.
    pub(crate) fn finish_request(&mut self, id: RequestId) {
        let Some(mut in_flight) = self.requests.remove(&id) else { return };
        if self.config.cancellation && in_flight.state == RequestState::Unanswered {
            for (attempt, _) in in_flight.attempts.iter().enumerate().filter(|(_, a)| a.is_open()) {
                self.actions.push(Action::Cancel { id, attempt });
            }
        }
        if in_flight.has_open_attempt() {
            in_flight.state = RequestState::Finished;
            self.requests.insert(id, in_flight);
        }
    }

    /// Counts attempts as overdue once they have been open for their latency objective. Otherwise, where late
    /// answers are worth waiting for, an overloaded fleet would be noticed only when these arrive, and would
    /// be sent more requests until then.
    pub(crate) fn count_overdue_attempts(&mut self) {
        for in_flight in self.requests.values_mut() {
            let objective = self.config.classes[in_flight.request.class.0].latency_objective;
            let newly_overdue = in_flight.mark_overdue(self.now, objective);
            self.concurrency.record_overdue(newly_overdue);
        }
    }
}

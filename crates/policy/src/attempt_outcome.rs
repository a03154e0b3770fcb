//! Evaluation of completed attempts, for the endpoint, the fleet's load and the build.

use crate::api::{EndpointRecord, Micros, Outcome, Request};
use crate::build_health::OutcomeSample;
use crate::engine::Policy;
use crate::load_balancing::{BaselineUpdate, Slowdown};
use crate::outlier_detection::FAULT_SLOWDOWN;
use crate::request_lifecycle::Attempt;

/// A completed attempt, with its endpoint.
struct CompletedAttempt<'a> {
    request: &'a Request,
    attempt: &'a Attempt,
    outcome: Outcome,
    latency: Micros,
    /// Current record of its endpoint in the endpoint list.
    record: EndpointRecord,
    /// Whether its build is on trial.
    on_trial: bool,
}

impl CompletedAttempt<'_> {
    /// Returns whether the endpoint had warmed up when the attempt was sent.
    fn is_warm(&self) -> bool {
        self.attempt.slow_start_factor.is_none()
    }

    /// Returns whether the outcome is evidence about the endpoint, its build and the load. If the client
    /// gives little time, a time-out or a rejection is due to that, and only the fastest responses are seen.
    ///
    /// Guards against a client whose deadlines no endpoint can meet: its outcomes would have all endpoints
    /// ejected and the requests of others rejected. The cost is that nothing is learnt where all clients are
    /// like that.
    fn is_evidence(&self) -> bool {
        let depends_on_time = !matches!(self.outcome, Outcome::ConnectFailed | Outcome::Error);
        !(self.attempt.has_short_deadline && depends_on_time)
    }

    /// Returns how slow the attempt was (natural logarithm); none if the baseline is not known yet, or if the
    /// outcome says nothing about the endpoint's speed.
    fn slowdown(&self, over_baseline: &Slowdown) -> Option<f64> {
        match self.outcome {
            Outcome::Success | Outcome::TimedOut => over_baseline.over_kind,
            Outcome::ConnectFailed => Some(FAULT_SLOWDOWN),
            _ => None,
        }
    }

    /// Returns whether the outcome is evidence about the build. A time-out at an endpoint that is warming up
    /// is not.
    fn is_evidence_about_build(&self) -> bool {
        match self.outcome {
            Outcome::Success | Outcome::Error => true,
            Outcome::TimedOut => self.is_warm(),
            _ => false,
        }
    }
}

impl Policy {
    /// Records a completed attempt in all estimates and counts that depend on it.
    pub(crate) fn record_outcome(
        &mut self,
        request: &Request,
        attempt: &Attempt,
        outcome: Outcome,
        latency: Micros,
    ) {
        self.concurrency.release();
        self.short_deadline_budget.record(outcome, attempt.has_short_deadline, latency);
        let Some(endpoint) = self.endpoints.get_mut(attempt.endpoint) else { return };
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        let record = endpoint.record;
        if matches!(outcome, Outcome::Cancelled | Outcome::NotSent) {
            return;
        }
        let on_trial = self.is_on_trial(attempt.build);
        let completed = CompletedAttempt { request, attempt, outcome, latency, record, on_trial };
        self.bind_idempotency_key(&completed);
        if !completed.is_evidence() {
            return;
        }
        self.record_served_load(&completed);
        self.record_latency_ratio(&completed);
        let over_baseline = self.compare_with_baselines(&completed);
        self.record_endpoint_outcome(attempt.endpoint, outcome, over_baseline.over_class.unwrap_or(0.0));
        let slowdown = completed.slowdown(&over_baseline);
        // An endpoint that is warming up is slow for that reason, so it is not compared with others.
        let comparable = slowdown.filter(|_| completed.is_warm());
        if let Some(slowdown) = comparable
            && !on_trial
        {
            self.latency.add_to_zone(self.now, record.zone, slowdown);
        }
        if completed.is_evidence_about_build() {
            self.record_build_outcome(&completed, slowdown, comparable);
            self.record_fleet_test_sample(&completed, comparable);
        }
    }

    fn record_served_load(&mut self, completed: &CompletedAttempt) {
        if completed.outcome == Outcome::Success && completed.is_warm() {
            let work = self.latency.work(completed.request);
            self.served_loads.add(completed.record.kind, work);
        }
    }

    /// Records the attempt's latency as a fraction of its latency objective.
    fn record_latency_ratio(&mut self, completed: &CompletedAttempt) {
        let &CompletedAttempt { request, attempt, outcome, latency, .. } = completed;
        let objective = self.config.classes[request.class.0].latency_objective.max(1);
        // Other outcomes count as late: a quick rejection must not pass for a quick answer.
        let ratio = match outcome {
            Outcome::Success => (latency as f64 / objective as f64).min(1.0),
            _ => 1.0,
        };
        // An attempt that was counted as overdue is not counted again. A failed connect points to a stalled
        // endpoint rather than to an overloaded fleet, and a lost connection says nothing about load.
        let counts =
            !attempt.counted_overdue && !matches!(outcome, Outcome::ConnectFailed | Outcome::ConnectionLost);
        if counts {
            self.concurrency.record_latency(ratio);
        }
        if matches!(outcome, Outcome::Success | Outcome::TimedOut) {
            self.traffic.record_response(request.class, request.tenant, ratio >= 1.0);
        }
    }

    fn compare_with_baselines(&mut self, completed: &CompletedAttempt) -> Slowdown {
        let updates_baseline =
            completed.outcome == Outcome::Success && completed.is_warm() && !completed.on_trial;
        let update = if !updates_baseline {
            BaselineUpdate::Skip
        } else if self.rollout.build_on_trial().is_some() {
            BaselineUpdate::UpdateUntilKnown
        } else {
            BaselineUpdate::Update
        };
        let kind = completed.record.kind;
        self.latency.slowdown(self.now, completed.request, kind, completed.latency, update)
    }

    /// Adds the outcome to the record of the attempt's build.
    fn record_build_outcome(
        &mut self,
        completed: &CompletedAttempt,
        slowdown: Option<f64>,
        comparable: Option<f64>,
    ) {
        let sample = OutcomeSample {
            recorded_at: self.now,
            outcome: completed.outcome,
            slowdown: comparable,
            excess_over_zone: self.excess_over_zone(completed, slowdown),
            endpoint: completed.attempt.endpoint,
        };
        let attempt = completed.attempt;
        self.build_record(attempt.build).add(completed.request.class, sample, attempt.sent_at);
    }

    /// Returns how much slower an attempt at a build on trial was than the released builds in its zone at
    /// that time (natural logarithm). If its endpoint was warming up, the largest slowdown that this explains
    /// is deducted.
    fn excess_over_zone(&self, completed: &CompletedAttempt, slowdown: Option<f64>) -> Option<f64> {
        // At the last stage the earlier endpoints are being drained and are no longer a valid comparison.
        if !completed.on_trial || self.is_last_stage() {
            return None;
        }
        let zone_baseline = self.latency.zone_baseline(self.now, completed.record.zone)?;
        let slow_start_factor = completed.attempt.slow_start_factor.unwrap_or(1.0);
        Some(slowdown? + slow_start_factor.ln() - zone_baseline)
    }

    /// Adds the slowdown of an attempt at an earlier build to the test of the build on trial, if that is
    /// suspected of slowing all endpoints.
    fn record_fleet_test_sample(&mut self, completed: &CompletedAttempt, comparable: Option<f64>) {
        let attempt = completed.attempt;
        let Some(on_trial) = self.rollout.build_on_trial() else { return };
        if attempt.build >= on_trial {
            return;
        }
        let Some(record) = self.builds.get_mut(&on_trial) else { return };
        if let Some(suspicion) = &mut record.suspicion
            && let Some(slowdown) = comparable
        {
            suspicion.add(attempt.sent_at, attempt.endpoint, slowdown);
        }
    }

    /// Binds the request's idempotency key to the build on trial that answered it, if keys are forward-only.
    fn bind_idempotency_key(&mut self, completed: &CompletedAttempt) {
        let binds = self.config.rollout.forward_only_keys
            && completed.outcome == Outcome::Success
            && completed.on_trial;
        if binds && let Some(key) = completed.request.key {
            self.exposure.bind_idempotency_key(key, completed.attempt.build);
        }
    }
}

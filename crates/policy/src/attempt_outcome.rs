//! What the end of an attempt shows about its endpoint, the fleet's load and its build.

use crate::api::{EndpointRecord, Micros, Outcome, Request};
use crate::build_health::OutcomeSample;
use crate::engine::Policy;
use crate::load_balancing::{BaselineUpdate, Slowdown};
use crate::outlier_detection::FAULT_SLOWDOWN;
use crate::request_lifecycle::Attempt;

/// An attempt that has ended, with what is known of where it ran.
struct CompletedAttempt<'a> {
    request: &'a Request,
    attempt: &'a Attempt,
    outcome: Outcome,
    latency: Micros,
    /// Its endpoint, as the list says now.
    record: EndpointRecord,
    /// Whether its build is on trial.
    on_trial: bool,
}

impl CompletedAttempt<'_> {
    /// Whether its endpoint had warmed up when it was sent.
    fn is_warm(&self) -> bool {
        self.attempt.slow_start_factor.is_none()
    }

    /// How slow the attempt was (logarithm), where it says something of the endpoint.
    fn slowdown(&self, over_baseline: &Slowdown) -> Option<f64> {
        match self.outcome {
            Outcome::Success | Outcome::TimedOut => over_baseline.over_kind,
            Outcome::ConnectFailed => Some(FAULT_SLOWDOWN),
            _ => None,
        }
    }

    /// Whether the outcome says something of the build. A warming endpoint's time-outs say nothing of it.
    fn is_evidence_on_build(&self) -> bool {
        match self.outcome {
            Outcome::Success | Outcome::Error => true,
            Outcome::TimedOut => self.is_warm(),
            _ => false,
        }
    }
}

impl Policy {
    /// Records the end of an attempt wherever it counts.
    pub(crate) fn record_outcome(
        &mut self,
        request: &Request,
        attempt: &Attempt,
        outcome: Outcome,
        latency: Micros,
    ) {
        self.concurrency.release();
        let Some(endpoint) = self.endpoints.get_mut(attempt.endpoint) else { return };
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        let record = endpoint.record;
        if matches!(outcome, Outcome::Cancelled | Outcome::NotSent) {
            return;
        }
        let on_trial = self.is_on_trial(attempt.build);
        let completed = CompletedAttempt { request, attempt, outcome, latency, record, on_trial };
        self.record_served_load(&completed);
        self.record_latency_ratio(&completed);
        let over_baseline = self.compare_with_baselines(&completed);
        self.record_endpoint_outcome(attempt.endpoint, outcome, over_baseline.over_class.unwrap_or(0.0));
        let slowdown = completed.slowdown(&over_baseline);
        // A warming endpoint is slow by itself: it is compared with no other.
        let comparable = slowdown.filter(|_| completed.is_warm());
        if let Some(slowdown) = comparable
            && !on_trial
        {
            self.latency.add_to_zone(self.now, record.zone, slowdown);
        }
        if completed.is_evidence_on_build() {
            self.record_build_outcome(&completed, slowdown, comparable);
            self.record_exposure_test(&completed, comparable);
        }
        self.bind_key(&completed);
    }

    fn record_served_load(&mut self, completed: &CompletedAttempt) {
        if completed.outcome == Outcome::Success && completed.is_warm() {
            let work = self.latency.work(completed.request);
            self.served_loads.add(completed.record.kind, work);
        }
    }

    /// Records how much of its latency objective the attempt took.
    fn record_latency_ratio(&mut self, completed: &CompletedAttempt) {
        let &CompletedAttempt { request, attempt, outcome, latency, .. } = completed;
        let objective = self.config.classes[request.class.0].latency_objective.max(1);
        // A quick rejection is no quick answer.
        let ratio = match outcome {
            Outcome::Success => (latency as f64 / objective as f64).min(1.0),
            _ => 1.0,
        };
        // What was counted late counts once; a stalled endpoint is no full fleet, a lost connection nothing.
        let counts =
            !attempt.counted_overdue && !matches!(outcome, Outcome::ConnectFailed | Outcome::ConnectionLost);
        if counts {
            self.concurrency.record_latency(ratio);
        }
        if matches!(outcome, Outcome::Success | Outcome::TimedOut) {
            self.traffic.record_answer(request.class, request.tenant, ratio >= 1.0);
        }
    }

    fn compare_with_baselines(&mut self, completed: &CompletedAttempt) -> Slowdown {
        let teaches = completed.outcome == Outcome::Success && completed.is_warm() && !completed.on_trial;
        let update = if !teaches {
            BaselineUpdate::Skip
        } else if self.rollout.build_on_trial().is_some() {
            BaselineUpdate::LearnUntilKnown
        } else {
            BaselineUpdate::Learn
        };
        let kind = completed.record.kind;
        self.latency.slowdown(self.now, completed.request, kind, completed.latency, update)
    }

    /// Adds the outcome to its build's record.
    fn record_build_outcome(
        &mut self,
        completed: &CompletedAttempt,
        slowdown: Option<f64>,
        comparable: Option<f64>,
    ) {
        let sample = OutcomeSample {
            at: self.now,
            outcome: completed.outcome,
            slowdown: comparable,
            excess: self.excess_over_zone(completed, slowdown),
            endpoint: completed.attempt.endpoint,
        };
        let attempt = completed.attempt;
        self.build_record(attempt.build).add(completed.request.class, sample, attempt.sent);
    }

    /// By how much an attempt at a build on trial was slower than what released builds took in its zone at
    /// the same moment (logarithm). A warming endpoint is taken for as slow as it may be.
    fn excess_over_zone(&self, completed: &CompletedAttempt, slowdown: Option<f64>) -> Option<f64> {
        // At the last stage the earlier endpoints are being emptied and no measure any more.
        if !completed.on_trial || self.is_last_stage() {
            return None;
        }
        let zone_baseline = self.latency.zone_baseline(self.now, completed.record.zone)?;
        let slow_start_factor = completed.attempt.slow_start_factor.unwrap_or(1.0);
        Some(slowdown? + slow_start_factor.ln() - zone_baseline)
    }

    /// Adds an earlier build's slowdown to the test of the build on trial, while that is suspected of slowing
    /// the whole fleet.
    fn record_exposure_test(&mut self, completed: &CompletedAttempt, comparable: Option<f64>) {
        let attempt = completed.attempt;
        let Some(on_trial) = self.rollout.build_on_trial() else { return };
        if attempt.build >= on_trial {
            return;
        }
        let Some(record) = self.builds.get_mut(&on_trial) else { return };
        if let Some(suspicion) = &mut record.suspicion
            && let Some(slowdown) = comparable
        {
            suspicion.add(attempt.sent, attempt.endpoint, slowdown);
        }
    }

    /// Where the settings say so, a key answered by a build on trial stays with it.
    fn bind_key(&mut self, completed: &CompletedAttempt) {
        let binds = self.config.rollout.forward_only_keys
            && completed.outcome == Outcome::Success
            && completed.on_trial;
        if binds && let Some(key) = completed.request.key {
            self.exposure.bind_key(key, completed.attempt.build);
        }
    }
}

//! The event dispatch and the periodic work of [`Policy`].

use std::collections::BTreeMap;

use fastrand::Rng;

use crate::admission::{ConcurrencyLimit, TrafficByGroup};
use crate::api::{Action, Build, ClassId, Config, EndpointId, Event, Micros, Outcome, RequestId};
use crate::build_health::{BuildRecord, OutcomeSample};
use crate::endpoints::{EndpointPoll, EndpointTable};
use crate::exposure::Exposure;
use crate::load_balancing::LatencyEstimates;
use crate::request_lifecycle::InFlightRequest;
use crate::retry::RetryBudget;
use crate::rollout_state::RolloutState;
use crate::rollout_vote::VoteState;
use crate::short_deadline::ShortDeadlineBudget;
use crate::slow_start::ServedLoads;
use crate::units::MILLISECOND;

/// Interval of the periodic work, such as the assessment of the build, votes and the concurrency limit.
pub(crate) const PERIODIC_WORK_INTERVAL: Micros = 25 * MILLISECOND;

/// Mean number of instances that log an event which all instances of the tier see.
const MEAN_SHARED_EVENT_LOGGERS: f64 = 8.0;

/// The decisions of one instance, as a state machine over events and the caller's clock.
///
/// It depends on nothing outside: the same seed, settings and events always give the same actions.
pub struct Policy {
    pub(crate) config: Config,
    pub(crate) rng: Rng,
    /// Time of the event that is being handled.
    pub(crate) now: Micros,
    /// Actions for the event that is being handled.
    pub(crate) actions: Vec<Action>,
    started: bool,
    logs_shared_events: bool,
    pub(crate) endpoints: EndpointTable,
    pub(crate) endpoint_poll: EndpointPoll,
    pub(crate) rollout: RolloutState,
    pub(crate) builds: BTreeMap<Build, BuildRecord>,
    pub(crate) exposure: Exposure,
    pub(crate) votes: VoteState,
    pub(crate) requests: BTreeMap<RequestId, InFlightRequest>,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) short_deadline_budget: ShortDeadlineBudget,
    pub(crate) concurrency: ConcurrencyLimit,
    pub(crate) traffic: TrafficByGroup,
    pub(crate) latency: LatencyEstimates,
    pub(crate) served_loads: ServedLoads,
}

impl Policy {
    /// Creates an instance that knows only its settings. `seed` determines all its random choices.
    pub fn new(seed: u64, config: Config) -> Self {
        let mut rng = Rng::with_seed(seed);
        let logs_shared_events = rng.f64() * f64::from(config.instance_count) < MEAN_SHARED_EVENT_LOGGERS;
        Policy {
            rng,
            now: 0,
            actions: Vec::new(),
            started: false,
            logs_shared_events,
            endpoints: EndpointTable::default(),
            endpoint_poll: EndpointPoll::new(config.poll_endpoints),
            rollout: RolloutState::default(),
            builds: BTreeMap::new(),
            exposure: Exposure::new(&config),
            votes: VoteState::new(),
            requests: BTreeMap::new(),
            retry_budget: RetryBudget::new(),
            short_deadline_budget: ShortDeadlineBudget::new(),
            concurrency: ConcurrencyLimit::new(),
            traffic: TrafficByGroup::new(config.classes.len(), config.tenants.len()),
            latency: LatencyEstimates::default(),
            served_loads: ServedLoads::default(),
            config,
        }
    }

    /// Handles an event at the time `now` and appends the resulting actions to `out`.
    ///
    /// `now` must not decrease from one call to the next. The first call requests a timer, and so does each
    /// [`Event::Timer`]: the periodic work runs as long as the caller delivers these events.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        if !self.started {
            self.started = true;
            self.set_timer();
        }
        match event {
            Event::EndpointsUpdated(update) => self.on_endpoints_updated(update),
            Event::Request(request) => self.on_request(request),
            Event::ResponseStarted { id, .. } => self.on_response_started(id),
            Event::AttemptCompleted(result) => self.on_attempt_completed(&result),
            Event::ClientDisconnected(id) => self.finish_request(id),
            Event::Timer(_) => self.run_periodic_work(),
            Event::RolloutUpdated(status) => self.on_rollout_updated(status),
            Event::VoteCompleted(result, status) => self.on_vote_completed(result, status),
            Event::ResponseFlagged { endpoint, class, age } => self.on_response_flagged(endpoint, class, age),
            // Part of the interface, but not used: no measurement has shown a need for them so far.
            Event::BuildTally { .. } | Event::HealthCheckCompleted { .. } | Event::GossipReceived { .. } => {}
        }
        out.append(&mut self.actions);
    }

    /// Records an error of the endpoint's build: a client reported a wrong response that looked successful.
    fn on_response_flagged(&mut self, endpoint: EndpointId, class: ClassId, age: Micros) {
        let Some(build) = self.endpoints.get(endpoint).map(|e| e.record.build) else { return };
        let sample = OutcomeSample {
            recorded_at: self.now,
            outcome: Outcome::Error,
            slowdown: None,
            excess_over_zone: None,
            endpoint,
        };
        let sent_at = self.now.saturating_sub(age);
        self.build_record(build).add(class, sample, sent_at);
    }

    fn run_periodic_work(&mut self) {
        self.set_timer();
        self.update_served_loads();
        self.assess_newest_build();
        self.cast_vote_if_due();
        self.request_watch_if_due();
        self.count_overdue_attempts();
        let endpoint_count = self.endpoints.active_count();
        self.concurrency.update(endpoint_count, self.config.instance_count);
        self.drop_oldest_build_record();
    }

    fn set_timer(&mut self) {
        self.actions.push(Action::SetTimer { after: PERIODIC_WORK_INTERVAL, token: 0 });
    }

    /// Logs a line about what this instance alone has seen or decided.
    pub(crate) fn log(&mut self, line: String) {
        self.actions.push(Action::Log(line));
    }

    /// Logs a line about an event that all instances of the tier see, on a few of these instances only.
    pub(crate) fn log_shared_event(&mut self, line: impl FnOnce() -> String) {
        if self.logs_shared_events {
            self.log(line());
        }
    }
}

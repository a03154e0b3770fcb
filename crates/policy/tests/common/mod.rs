//! Harness for scenario tests: one instance with three classes, and a simulated clock.
#![allow(dead_code)]

use garnetcrank_policy::Policy;
use garnetcrank_policy::api::{
    Action, AttemptResult, Build, Class, ClassId, Config, EndpointId, EndpointRecord, EndpointUpdate, Event,
    Idempotency, KeyId, KeyScope, Micros, Outcome, ReplacementMode, Request, RequestId, Rollout,
    RolloutPhase, RolloutStatus, Verdict, VoteMode, VoteResult,
};

pub const READ: ClassId = ClassId(0);
pub const BOOK: ClassId = ClassId(1);
pub const PAY: ClassId = ClassId(2);
pub const OLD: Build = Build(7);
pub const NEW: Build = Build(8);
pub const MS: Micros = 1_000;

pub fn class(name: &str, idempotency: Idempotency) -> Class {
    Class {
        name: name.into(),
        idempotency,
        latency_objective: 400 * MS,
        deadline: 1_000 * MS,
        priority_weight: 1.0,
        late_response_value: 0.0,
        streamed: false,
    }
}

pub fn config() -> Config {
    Config {
        instance_count: 2,
        classes: vec![
            class("read", Idempotency::Idempotent),
            class("book", Idempotency::Keyed { scope: KeyScope::All, window: 300 * MS }),
            class("pay", Idempotency::NonIdempotent),
        ],
        poll_timeout: 10_000 * MS,
        cancellation: true,
        hedging: true,
        max_attempts: 4,
        resolution: 5 * MS,
        drain_grace: 500 * MS,
        slow_start_initial: 0.5,
        slow_start_duration: 4_000 * MS,
        overload_multiple: 2.0,
        overload_window: 1_000 * MS,
        rollout: Rollout {
            mode: VoteMode::Timer,
            replacement: ReplacementMode::InPlace,
            stages: vec![0.05, 0.4, 1.0],
            exposure_caps: vec![0.1, 0.5, 1.0],
            exposure_window: 2_000 * MS,
            exposure_allowance: 2.0,
            vote_ttl: 4_000 * MS,
            vote_timeout: 1_000 * MS,
            votes_per_s: 10.0,
            stage_duration: 3_000 * MS,
            ..Rollout::default()
        },
        ..Config::default()
    }
}

pub fn endpoint_record(endpoint: u32, build: Build) -> EndpointRecord {
    EndpointRecord { endpoint: EndpointId(endpoint), build, rating: 1.0, ..EndpointRecord::default() }
}

pub fn rollout_status(build: Build, stage: usize, phase: RolloutPhase, cap: f64) -> RolloutStatus {
    RolloutStatus { build, stage, phase, exposure_cap: cap, age: 0 }
}

pub struct Harness {
    pub policy: Policy,
    pub now: Micros,
    pub next_request: u32,
    /// Lines logged so far.
    pub log: Vec<String>,
}

impl Harness {
    pub fn new(config: Config) -> Self {
        Harness { policy: Policy::new(11, config), now: 1_000_000 * MS, next_request: 0, log: Vec::new() }
    }

    /// Creates an instance with these endpoints and with `NEW` on trial at its first stage.
    pub fn on_trial(config: Config, records: Vec<EndpointRecord>) -> Self {
        let mut harness = Harness::new(config);
        harness.set_endpoints(records);
        harness.send(Event::RolloutUpdated(rollout_status(OLD, 2, RolloutPhase::Released, 1.0)));
        harness.send(Event::RolloutUpdated(rollout_status(NEW, 0, RolloutPhase::OnTrial, 0.1)));
        harness
    }

    pub fn send(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.policy.handle(self.now, event, &mut actions);
        self.log.extend(actions.iter().filter_map(|action| match action {
            Action::Log(line) => Some(line.clone()),
            _ => None,
        }));
        actions.retain(|action| !matches!(action, Action::Log(_) | Action::SetTimer { .. }));
        actions
    }

    pub fn set_endpoints(&mut self, records: Vec<EndpointRecord>) -> Vec<Action> {
        self.send(Event::EndpointsUpdated(EndpointUpdate::Snapshot { endpoints: records, cached: false }))
    }

    pub fn request(&mut self, class: ClassId) -> (RequestId, Vec<Action>) {
        self.request_with_key(class, None)
    }

    pub fn request_with_key(&mut self, class: ClassId, key: Option<KeyId>) -> (RequestId, Vec<Action>) {
        self.request_with(class, key, 1_000 * MS)
    }

    pub fn request_with_timeout(&mut self, class: ClassId, timeout: Micros) -> (RequestId, Vec<Action>) {
        self.request_with(class, None, timeout)
    }

    fn request_with(
        &mut self,
        class: ClassId,
        key: Option<KeyId>,
        timeout: Micros,
    ) -> (RequestId, Vec<Action>) {
        let hint = Some(100 * MS);
        self.next_request += 1;
        let id = RequestId(self.next_request);
        let deadline = self.now + timeout;
        let request = Request { id, class, tenant: None, key, deadline, work_hint: hint, is_retry: false };
        (id, self.send(Event::Request(request)))
    }

    pub fn complete(
        &mut self,
        id: RequestId,
        attempt: usize,
        outcome: Outcome,
        latency: Micros,
    ) -> Vec<Action> {
        self.send(Event::AttemptCompleted(AttemptResult {
            id,
            attempt,
            outcome,
            latency,
            request_finished: outcome == Outcome::Success,
            load_report: Vec::new(),
        }))
    }

    pub fn tick(&mut self, ms: Micros) -> Vec<Action> {
        self.now += ms * MS;
        self.send(Event::Timer(0))
    }

    /// Advances the clock and fires a timer. Returns the votes cast, each of which is answered as counted.
    pub fn tick_and_vote(&mut self, ms: Micros) -> Vec<Verdict> {
        let cast = self.tick(ms).into_iter().filter_map(|action| match action {
            Action::Vote { verdict, .. } => Some(verdict),
            _ => None,
        });
        let votes: Vec<Verdict> = cast.collect();
        for _ in &votes {
            self.send(Event::VoteCompleted(VoteResult::Counted, None));
        }
        votes
    }

    /// Sends a request and completes each of its attempts with the outcome that `outcome_of` gives for the
    /// endpoint. Returns the endpoint of the first attempt.
    pub fn serve(
        &mut self,
        class: ClassId,
        outcome_of: impl Fn(EndpointId) -> Outcome,
    ) -> Option<EndpointId> {
        let (id, actions) = self.request(class);
        let first = forwarded_to(&actions);
        let mut target = first;
        let mut attempt = 0;
        while let Some(endpoint) = target {
            self.now += MS;
            let actions = self.complete(id, attempt, outcome_of(endpoint), 50 * MS);
            attempt += 1;
            target = forwarded_to(&actions);
        }
        first
    }

    /// Runs traffic for `ms` milliseconds, one request of each class per tick. Returns the votes cast, each
    /// of which is answered as counted.
    pub fn run_traffic(
        &mut self,
        ms: Micros,
        outcome_of: impl Fn(ClassId, EndpointId) -> Outcome,
    ) -> Vec<Verdict> {
        let mut votes = Vec::new();
        let end = self.now + ms * MS;
        while self.now < end {
            for class in [READ, BOOK, PAY] {
                self.serve(class, |endpoint| outcome_of(class, endpoint));
            }
            votes.extend(self.tick_and_vote(22));
        }
        votes
    }
}

/// Returns the endpoint of the first forwarded attempt.
pub fn forwarded_to(actions: &[Action]) -> Option<EndpointId> {
    actions.iter().find_map(|action| match action {
        Action::Forward { endpoint, .. } => Some(*endpoint),
        _ => None,
    })
}

/// Counts the final answers that reject or fail a request.
pub fn count_unsuccessful_answers(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Reject { .. } | Action::Fail(_))).count()
}

/// Creates an instance with these endpoints and with `NEW` on trial at its second stage.
pub fn second_stage_trial(records: Vec<EndpointRecord>) -> Harness {
    let mut harness = Harness::on_trial(config(), records);
    harness.send(Event::RolloutUpdated(rollout_status(NEW, 1, RolloutPhase::OnTrial, 0.5)));
    harness
}

/// Returns three endpoints of the earlier build, and the given endpoints of the build on trial.
pub fn fleet_with_new(new: &[u32]) -> Vec<EndpointRecord> {
    let old = (1..=3).map(|endpoint| endpoint_record(endpoint, OLD));
    old.chain(new.iter().map(|endpoint| endpoint_record(*endpoint, NEW))).collect()
}

/// Creates an instance with six endpoints of a released build and no build on trial.
pub fn released_fleet() -> Harness {
    let mut harness = Harness::new(config());
    harness.set_endpoints((1..=6).map(|endpoint| endpoint_record(endpoint, OLD)).collect());
    harness.send(Event::RolloutUpdated(rollout_status(OLD, 2, RolloutPhase::Released, 1.0)));
    harness
}

/// Returns three endpoints of the earlier build and two of the build on trial.
pub fn mixed_fleet() -> Vec<EndpointRecord> {
    vec![
        endpoint_record(1, OLD),
        endpoint_record(2, OLD),
        endpoint_record(3, OLD),
        endpoint_record(8, NEW),
        endpoint_record(9, NEW),
    ]
}

pub fn is_new(endpoint: EndpointId) -> bool {
    endpoint.0 >= 8
}

pub fn fails_at_new(_: ClassId, endpoint: EndpointId) -> Outcome {
    if is_new(endpoint) { Outcome::Error } else { Outcome::Success }
}

/// Creates an instance with `NEW` on trial at its second stage and with this vote mode.
pub fn trial_with_vote_mode(mode: VoteMode) -> Harness {
    let mut config = config();
    config.rollout.mode = mode;
    let mut harness = Harness::on_trial(config, mixed_fleet());
    harness.send(Event::RolloutUpdated(rollout_status(NEW, 1, RolloutPhase::OnTrial, 0.5)));
    harness
}

/// Runs traffic of one request every 100 ms, each class in turn, with the latency that `latency_at` gives for
/// the endpoint. Returns the votes cast.
pub fn run_light_traffic(
    harness: &mut Harness,
    requests: usize,
    latency_at: impl Fn(EndpointId) -> Micros,
) -> Vec<Verdict> {
    let mut votes = Vec::new();
    for i in 0..requests {
        let (id, actions) = harness.request(ClassId(i % 3));
        if let Some(endpoint) = forwarded_to(&actions) {
            harness.complete(id, 0, Outcome::Success, latency_at(endpoint));
        }
        votes.extend((0..4).flat_map(|_| harness.tick_and_vote(25)));
    }
    votes
}

/// Returns the configuration of an instance in a tier of `instances`.
pub fn large_tier_config(instances: u32, rollback_quorum: u32) -> Config {
    let mut config = config();
    config.instance_count = instances;
    config.rollout.rollback_quorum = rollback_quorum;
    config
}

//! A harness for scenario tests: one instance, three classes, a clock in milliseconds.
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
        late_priority_weight: 0.0,
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
    /// The lines logged so far.
    pub log: Vec<String>,
}

impl Harness {
    pub fn new(config: Config) -> Self {
        Harness { policy: Policy::new(11, config), now: 1_000_000 * MS, next_request: 0, log: Vec::new() }
    }

    /// An instance that knows these endpoints, with `NEW` on trial at its first stage.
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
        self.log.extend(actions.iter().filter_map(|a| match a {
            Action::Log(line) => Some(line.clone()),
            _ => None,
        }));
        actions.retain(|a| !matches!(a, Action::Log(_) | Action::SetTimer { .. }));
        actions
    }

    pub fn set_endpoints(&mut self, records: Vec<EndpointRecord>) -> Vec<Action> {
        self.send(Event::EndpointsUpdated(EndpointUpdate::Snapshot { endpoints: records, cached: false }))
    }

    pub fn request(&mut self, class: ClassId) -> (RequestId, Vec<Action>) {
        self.request_with_key(class, None)
    }

    pub fn request_with_key(&mut self, class: ClassId, key: Option<KeyId>) -> (RequestId, Vec<Action>) {
        let hint = Some(100 * MS);
        self.next_request += 1;
        let id = RequestId(self.next_request);
        let deadline = self.now + 1_000 * MS;
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

    /// A tick; the votes cast in it, each answered as counted.
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

    /// Sends a request and lets its attempts end as `outcome_of` says of their endpoints; the first endpoint.
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

    /// Traffic for `ms` milliseconds in ticks, one request of each class a tick; the votes cast meanwhile,
    /// each answered as counted.
    pub fn run_traffic(
        &mut self,
        ms: Micros,
        outcome_of: impl Fn(ClassId, EndpointId) -> Outcome,
    ) -> Vec<Verdict> {
        let mut votes = Vec::new();
        let until = self.now + ms * MS;
        while self.now < until {
            for class in [READ, BOOK, PAY] {
                self.serve(class, |m| outcome_of(class, m));
            }
            votes.extend(self.tick_and_vote(22));
        }
        votes
    }
}

/// Where a request is forwarded, if it is.
pub fn forwarded_to(actions: &[Action]) -> Option<EndpointId> {
    actions.iter().find_map(|a| match a {
        Action::Forward { endpoint, .. } => Some(*endpoint),
        _ => None,
    })
}

/// How many final answers that are no success were given.
pub fn final_answers(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Reject { .. } | Action::Fail(_))).count()
}

/// An instance that knows these endpoints, with `NEW` on trial at its second stage.
pub fn stage_one_trial(records: Vec<EndpointRecord>) -> Harness {
    let mut harness = Harness::on_trial(config(), records);
    harness.send(Event::RolloutUpdated(rollout_status(NEW, 1, RolloutPhase::OnTrial, 0.5)));
    harness
}

/// Three endpoints of the earlier build, and these of the build on trial.
pub fn fleet_with_new(new: &[u32]) -> Vec<EndpointRecord> {
    let old = (1..=3).map(|m| endpoint_record(m, OLD));
    old.chain(new.iter().map(|m| endpoint_record(*m, NEW))).collect()
}

/// Six endpoints of a released build, and none on trial.
pub fn released_fleet() -> Harness {
    let mut harness = Harness::new(config());
    harness.set_endpoints((1..=6).map(|m| endpoint_record(m, OLD)).collect());
    harness.send(Event::RolloutUpdated(rollout_status(OLD, 2, RolloutPhase::Released, 1.0)));
    harness
}

/// Three endpoints of the earlier build and two of the build on trial.
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

/// An instance with `NEW` on trial at its second stage, where votes count in this mode.
pub fn in_mode(mode: VoteMode) -> Harness {
    let mut config = config();
    config.rollout.mode = mode;
    let mut harness = Harness::on_trial(config, mixed_fleet());
    harness.send(Event::RolloutUpdated(rollout_status(NEW, 1, RolloutPhase::OnTrial, 0.5)));
    harness
}

/// One request every 100 ms, each class in turn, with the latency of each endpoint; the votes cast.
pub fn light_traffic(
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

/// Settings of one of so many instances.
pub fn large_tier(instances: u32, rollback_quorum: u32) -> Config {
    let mut config = config();
    config.instance_count = instances;
    config.rollout.rollback_quorum = rollback_quorum;
    config
}

//! A small stage for scenario tests: one instance, three classes, a clock in milliseconds.
#![allow(dead_code)]

use garnetcrank_policy::Policy;
use garnetcrank_policy::api::*;

pub const READ: ClassId = ClassId(0);
pub const BOOK: ClassId = ClassId(1);
pub const PAY: ClassId = ClassId(2);
pub const OLD: Build = Build(7);
pub const NEW: Build = Build(8);
pub const MS: Micros = 1_000;

pub fn class(name: &str, effect: Idempotency) -> Class {
    Class {
        name: name.into(),
        idempotency: effect,
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

pub fn entry(machine: u32, build: Build) -> EndpointRecord {
    EndpointRecord { endpoint: EndpointId(machine), build, rating: 1.0, ..EndpointRecord::default() }
}

pub fn stage(build: Build, stage: usize, phase: RolloutPhase, cap: f64) -> RolloutStatus {
    RolloutStatus { build, stage, phase, exposure_cap: cap, age: 0 }
}

pub struct Rig {
    pub brain: Policy,
    pub now: Micros,
    pub next: u32,
    /// The lines logged so far.
    pub log: Vec<String>,
}

impl Rig {
    pub fn new(config: Config) -> Self {
        Rig { brain: Policy::new(11, config), now: 1_000_000 * MS, next: 0, log: Vec::new() }
    }

    /// An instance that knows these machines and has heard that `NEW` is at its first stage.
    pub fn on_trial(config: Config, entries: Vec<EndpointRecord>) -> Self {
        let mut rig = Rig::new(config);
        rig.list(entries);
        rig.send(Event::RolloutUpdated(stage(OLD, 2, RolloutPhase::Released, 1.0)));
        rig.send(Event::RolloutUpdated(stage(NEW, 0, RolloutPhase::OnTrial, 0.1)));
        rig
    }

    pub fn send(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.brain.handle(self.now, event, &mut out);
        self.log.extend(out.iter().filter_map(|a| match a {
            Action::Log(line) => Some(line.clone()),
            _ => None,
        }));
        out.retain(|a| !matches!(a, Action::Log(_) | Action::SetTimer { .. }));
        out
    }

    pub fn list(&mut self, entries: Vec<EndpointRecord>) -> Vec<Action> {
        self.send(Event::EndpointsUpdated(EndpointUpdate::Snapshot { endpoints: entries, cached: false }))
    }

    pub fn request(&mut self, class: ClassId) -> (RequestId, Vec<Action>) {
        self.request_on(class, None)
    }

    pub fn request_on(&mut self, class: ClassId, key: Option<KeyId>) -> (RequestId, Vec<Action>) {
        let hint = Some(100 * MS);
        self.next += 1;
        let id = RequestId(self.next);
        let deadline = self.now + 1_000 * MS;
        let request = Request { id, class, tenant: None, key, deadline, work_hint: hint, is_retry: false };
        (id, self.send(Event::Request(request)))
    }

    pub fn done(&mut self, id: RequestId, attempt: usize, outcome: Outcome, lag: Micros) -> Vec<Action> {
        let over = outcome == Outcome::Success;
        self.send(Event::AttemptCompleted(AttemptResult {
            id,
            attempt,
            outcome,
            latency: lag,
            request_finished: over,
            load_report: Vec::new(),
        }))
    }

    pub fn tick(&mut self, ms: Micros) -> Vec<Action> {
        self.now += ms * MS;
        self.send(Event::Timer(0))
    }

    /// A tick; the votes cast in it, each answered as counted.
    pub fn tick_votes(&mut self, ms: Micros) -> Vec<Verdict> {
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

    /// Sends a request and lets its first attempt end as `fate` says of its machine.
    pub fn serve(&mut self, class: ClassId, fate: impl Fn(EndpointId) -> Outcome) -> Option<EndpointId> {
        let (id, out) = self.request(class);
        let mut place = placed(&out);
        let first = place;
        let mut attempt = 0;
        while let Some(machine) = place {
            self.now += MS;
            let out = self.done(id, attempt, fate(machine), 50 * MS);
            attempt += 1;
            place = placed(&out);
        }
        first
    }

    /// Traffic for `ms` milliseconds in ticks, one request of each class a tick; the votes cast meanwhile,
    /// each answered as counted.
    pub fn traffic(&mut self, ms: Micros, fate: impl Fn(ClassId, EndpointId) -> Outcome) -> Vec<Verdict> {
        let mut votes = Vec::new();
        let until = self.now + ms * MS;
        while self.now < until {
            for class in [READ, BOOK, PAY] {
                self.serve(class, |m| fate(class, m));
            }
            votes.extend(self.tick_votes(22));
        }
        votes
    }
}

pub fn placed(out: &[Action]) -> Option<EndpointId> {
    out.iter().find_map(|a| match a {
        Action::Forward { endpoint: machine, .. } => Some(*machine),
        _ => None,
    })
}

pub fn finals(out: &[Action]) -> usize {
    out.iter().filter(|a| matches!(a, Action::Reject { .. } | Action::Fail(_))).count()
}

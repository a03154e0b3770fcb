//! A fleet in virtual time: hundreds of instances that do not communicate, and the work that endpoints in slow
//! start get from all of them together. No decisions are made here.

use std::collections::BTreeMap;

use fastrand::Rng;
use garnetcrank_policy::Policy;
use garnetcrank_policy::api::{
    Action, AttemptResult, Build, Class, ClassId, Config, EndpointId, EndpointRecord, EndpointStatus,
    EndpointUpdate, Event, Idempotency, Micros, Outcome, Request, RequestId, Rollout, RolloutPhase,
    RolloutStatus, VoteMode,
};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000 * MS;
const STEP: Micros = 5 * MS;
/// Steps between two timers of an instance.
const STEPS_PER_TIMER: u64 = 5;
const START: Micros = 1_000 * SECOND;
const RUN: Micros = 14 * SECOND;

const INSTANCES: u32 = 300;
const ENDPOINTS: usize = 40;
/// The endpoints that restart at 8 s; the others begin to drain a second later.
const RESTARTED: usize = 12;
/// Demand relative to the capacity of all endpoints.
const LOAD: f64 = 0.6;
/// Mean work of a request on a standard core.
const WORK: f64 = 60.0 * MS as f64;
const LATENCY_OBJECTIVE: Micros = 400 * MS;
const BUILD: Build = Build(7);

/// What is known of a request's work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hints {
    /// Off by up to two fifths.
    Rough,
    /// Nothing.
    Absent,
}

/// A fleet of endpoints with one core each, and what happens to it.
#[derive(Debug, Clone, Copy)]
pub struct FleetPlan {
    /// Speed of the core, over a standard one.
    pub speed: f64,
    /// Work of a new connection; every request takes one.
    pub handshake: Micros,
    /// What is known of work.
    pub hints: Hints,
    /// How long after their start the endpoints stay unknown to all instances.
    pub hidden_for: Micros,
    /// Share of the instances that are killed at 9.5 s and restart without state.
    pub killed_share: f64,
    /// Seed of all random draws.
    pub seed: u64,
}

impl Default for FleetPlan {
    fn default() -> Self {
        FleetPlan {
            speed: 1.0,
            handshake: 0,
            hints: Hints::Rough,
            hidden_for: 500 * MS,
            killed_share: 0.0,
            seed: 1,
        }
    }
}

/// The load that a simulation came to.
#[derive(Debug)]
pub struct FleetLoad {
    /// The most work that any endpoint in slow start got in an overload window, relative to its capacity.
    pub worst_overload: f64,
    /// Share of the requests that were forwarded.
    pub sent: f64,
}

fn settings(index: u32) -> Config {
    Config {
        instance_count: INSTANCES,
        instance_index: index,
        classes: vec![Class {
            name: "read".into(),
            idempotency: Idempotency::Idempotent,
            latency_objective: LATENCY_OBJECTIVE,
            deadline: SECOND,
            priority_weight: 1.0,
            late_priority_weight: 0.0,
            streamed: false,
        }],
        cancellation: true,
        max_attempts: 4,
        resolution: STEP,
        drain_grace: 500 * MS,
        slow_start_initial: 0.33,
        slow_start_duration: 4_900 * MS,
        overload_multiple: 2.5,
        overload_window: 2 * SECOND,
        rollout: Rollout {
            mode: VoteMode::Timer,
            stages: vec![1.0],
            exposure_caps: vec![1.0],
            exposure_window: 2 * SECOND,
            vote_ttl: 4 * SECOND,
            vote_timeout: SECOND,
            ..Rollout::default()
        },
        ..Config::default()
    }
}

/// A drawn value of an exponential distribution.
fn drawn(rng: &mut Rng, mean: f64) -> f64 {
    -(1.0 - rng.f64()).ln() * mean
}

/// The simulation under way.
struct World {
    plan: FleetPlan,
    rng: Rng,
    policies: Vec<Policy>,
    /// The endpoint records at first, of those that restart, and of the others while they drain.
    initial_records: Vec<EndpointRecord>,
    restarted: Vec<EndpointRecord>,
    draining: Vec<EndpointRecord>,
    /// Outcomes under way, by time and request, with the instance.
    due: BTreeMap<(Micros, u32), (usize, AttemptResult)>,
    /// Work that each restarted endpoint received.
    received_work: Vec<Vec<(Micros, f64)>>,
    requests: u32,
    sent: u32,
    out: Vec<Action>,
}

/// Simulates 14 s: after 8 quiet ones endpoints restart while the others drain.
pub fn simulate(plan: FleetPlan) -> FleetLoad {
    let mut rng = Rng::with_seed(plan.seed);
    let policies: Vec<Policy> = (0..INSTANCES).map(|i| Policy::new(rng.u64(..), settings(i))).collect();
    // Some instances see several times the mean.
    let skew: Vec<f64> = policies.iter().map(|_| 0.2 + drawn(&mut rng, 0.8)).collect();
    let entry = |n| EndpointRecord {
        endpoint: EndpointId(n),
        build: BUILD,
        rating: 1.0,
        ..EndpointRecord::default()
    };
    let initial_records: Vec<EndpointRecord> = (0..ENDPOINTS as u32).map(entry).collect();
    let mut started_at =
        |e: &EndpointRecord| EndpointRecord { started: Some(START + 8 * SECOND + rng.u64(..200 * MS)), ..*e };
    let restarted = initial_records[..RESTARTED].iter().map(&mut started_at).collect();
    let drain = |e: &EndpointRecord| EndpointRecord { status: EndpointStatus::Draining, ..*e };
    let draining = initial_records[RESTARTED..].iter().map(drain).collect();
    let received_work = vec![Vec::new(); RESTARTED];
    let (due, out, requests, sent) = (BTreeMap::new(), Vec::new(), 0, 0);
    let mut world = World {
        plan,
        rng,
        policies,
        initial_records,
        restarted,
        draining,
        due,
        received_work,
        requests,
        sent,
        out,
    };
    (0..world.policies.len())
        .for_each(|instance| world.start_instance(START, instance, world.initial_records.clone()));
    let requests = LOAD * ENDPOINTS as f64 * plan.speed / (WORK / SECOND as f64);
    let requests_per_step = requests / f64::from(INSTANCES) * STEP as f64 / SECOND as f64;
    for now in (START..START + RUN).step_by(STEP as usize).map(|step_start| step_start + STEP) {
        (0..world.policies.len()).for_each(|instance| world.deliver_updates(now, instance));
        world.deliver_outcomes(now);
        for (instance, skew) in skew.iter().enumerate() {
            let mut come = skew * requests_per_step;
            while world.rng.f64() < come {
                come -= 1.0;
                world.request(now, instance);
            }
        }
    }
    FleetLoad {
        worst_overload: world.worst_overload(),
        sent: f64::from(world.sent) / f64::from(world.requests),
    }
}

impl World {
    fn deliver(&mut self, now: Micros, instance: usize, event: Event) {
        self.out.clear();
        self.policies[instance].handle(now, event, &mut self.out);
    }

    /// Notifies an instance of what it knows at its start.
    fn start_instance(&mut self, now: Micros, instance: usize, entries: Vec<EndpointRecord>) {
        self.deliver(
            now,
            instance,
            Event::EndpointsUpdated(EndpointUpdate::Snapshot { endpoints: entries, cached: true }),
        );
        let stage = RolloutStatus {
            build: BUILD,
            stage: 2,
            phase: RolloutPhase::Released,
            exposure_cap: 1.0,
            age: 0,
        };
        self.deliver(now, instance, Event::RolloutUpdated(stage));
    }

    /// Delivers the updates that are due; they reach each instance at its own time.
    fn deliver_updates(&mut self, now: Micros, instance: usize) {
        let at = now - START;
        let late = (instance as Micros * 7_919) % 300 * MS / STEP * STEP;
        if at == 7_500 * MS + late {
            let away = |e: &EndpointRecord| EndpointRecord { status: EndpointStatus::Removed, ..*e };
            let away = self.initial_records[..RESTARTED].iter().map(away).collect();
            self.deliver(now, instance, Event::EndpointsUpdated(EndpointUpdate::Delta(away)));
        }
        if at == 8 * SECOND + self.plan.hidden_for + late {
            self.deliver(
                now,
                instance,
                Event::EndpointsUpdated(EndpointUpdate::Delta(self.restarted.clone())),
            );
        }
        if at == 9 * SECOND + late {
            self.deliver(
                now,
                instance,
                Event::EndpointsUpdated(EndpointUpdate::Delta(self.draining.clone())),
            );
        }
        if at == 9_500 * MS && self.rng.f64() < self.plan.killed_share {
            self.policies[instance] = Policy::new(self.rng.u64(..), settings(instance as u32));
            self.start_instance(now, instance, [&self.restarted[..], &self.draining].concat());
            self.due.retain(|_, (whose, _)| *whose != instance);
        }
        if (now / STEP + instance as u64).is_multiple_of(STEPS_PER_TIMER) {
            self.deliver(now, instance, Event::Timer(0));
        }
    }

    fn deliver_outcomes(&mut self, now: Micros) {
        while let Some(first) = self.due.first_entry().filter(|first| first.key().0 <= now) {
            let (instance, result) = first.remove();
            self.deliver(now, instance, Event::AttemptCompleted(result));
        }
    }

    fn request(&mut self, now: Micros, instance: usize) {
        self.requests += 1;
        let id = RequestId(self.requests);
        let work = drawn(&mut self.rng, WORK);
        let rough = (work * (0.6 + 0.8 * self.rng.f64())) as Micros;
        let hint = (self.plan.hints == Hints::Rough).then_some(rough.max(1));
        let (class, deadline) = (ClassId(0), now + SECOND);
        let request =
            Request { id, class, tenant: None, key: None, deadline, work_hint: hint, is_retry: false };
        self.deliver(now, instance, Event::Request(request));
        let forwarded = self.out.iter().find_map(|action| match action {
            Action::Forward { endpoint, .. } => Some(*endpoint),
            _ => None,
        });
        let Some(endpoint) = forwarded else { return };
        self.sent += 1;
        let work = work + self.plan.handshake as f64;
        if let Some(received_work) = self.received_work.get_mut(endpoint.0 as usize) {
            received_work.push((now, work));
        }
        let latency = (work / self.plan.speed * (1.0 + 0.3 * self.rng.f64())) as Micros;
        let outcome = if latency < LATENCY_OBJECTIVE { Outcome::Success } else { Outcome::TimedOut };
        let latency = latency.min(LATENCY_OBJECTIVE);
        let result = AttemptResult {
            id,
            attempt: 0,
            outcome,
            latency,
            request_finished: true,
            load_report: Vec::new(),
        };
        self.due.insert((now + latency, id.0), (instance, result));
    }

    /// The most work that any endpoint got in an overload window while in slow start, relative to its capacity at the
    /// window's end.
    fn worst_overload(&self) -> f64 {
        let Config {
            slow_start_initial: initial,
            slow_start_duration: duration,
            overload_multiple: multiple,
            overload_window: window,
            ..
        } = settings(0);
        let of_each = self.restarted.iter().zip(&self.received_work).flat_map(|(entry, received_work)| {
            let started_at = entry.started.unwrap_or_default();
            let in_slow_start: Vec<_> = received_work
                .iter()
                .filter(|(at, _)| *at > started_at && *at < started_at + duration)
                .collect();
            let ratios = (0..in_slow_start.len()).map(move |last| {
                let at = in_slow_start[last].0;
                let within = in_slow_start[..=last].iter().rev().take_while(|(t, _)| t + window >= at);
                let progress = (at - started_at) as f64 / duration as f64;
                let share = initial + (1.0 - initial) * progress;
                let capacity = multiple * share * self.plan.speed * window as f64;
                within.map(|(_, work)| work).sum::<f64>() / capacity
            });
            ratios.collect::<Vec<_>>()
        });
        of_each.fold(0.0, f64::max)
    }
}

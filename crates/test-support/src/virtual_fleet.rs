//! A simulation of a fleet in virtual time: hundreds of instances that do not communicate, and the total work
//! that they send to endpoints in slow start. All decisions are the policy's.

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
/// Number of endpoints that restart at 8 s; the others start to drain a second later.
const RESTARTED: usize = 12;
/// Offered load relative to the capacity of all endpoints.
const LOAD: f64 = 0.6;
/// Mean work of a request, in microseconds on a standard core.
const WORK: f64 = 60.0 * MS as f64;
const LATENCY_OBJECTIVE: Micros = 400 * MS;
const BUILD: Build = Build(7);

/// Quality of the work hints of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkHints {
    /// Hints that are wrong by up to 40 %.
    Rough,
    /// No hints.
    Absent,
}

/// Parameters of a fleet of endpoints with one core each.
#[derive(Debug, Clone, Copy)]
pub struct FleetPlan {
    /// Speed of a core, relative to a standard one.
    pub core_speed: f64,
    /// Work of a new connection, in microseconds; every request opens one.
    pub handshake_work: Micros,
    /// Work hints of the requests.
    pub hints: WorkHints,
    /// Time after 8 s for which the restarted endpoints stay unknown to all instances.
    pub discovery_delay: Micros,
    /// Probability that an instance is killed at 9.5 s and restarts without state.
    pub kill_probability: f64,
    /// Seed of all random draws.
    pub seed: u64,
}

impl Default for FleetPlan {
    fn default() -> Self {
        FleetPlan {
            core_speed: 1.0,
            handshake_work: 0,
            hints: WorkHints::Rough,
            discovery_delay: 500 * MS,
            kill_probability: 0.0,
            seed: 1,
        }
    }
}

/// Results of a simulation.
#[derive(Debug)]
pub struct FleetLoad {
    /// Maximum work of any endpoint in slow start in an overload window, relative to its capacity.
    pub worst_overload: f64,
    /// Share of the requests that were forwarded, from 0 to 1.
    pub forwarded_share: f64,
}

fn config(index: u32) -> Config {
    Config {
        instance_count: INSTANCES,
        instance_index: index,
        classes: vec![Class {
            name: "read".into(),
            idempotency: Idempotency::Idempotent,
            latency_objective: LATENCY_OBJECTIVE,
            deadline: SECOND,
            priority_weight: 1.0,
            late_response_value: 0.0,
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

/// Draws a value of an exponential distribution.
fn draw_exponential(rng: &mut Rng, mean: f64) -> f64 {
    -(1.0 - rng.f64()).ln() * mean
}

/// State of a running simulation.
struct Simulation {
    plan: FleetPlan,
    rng: Rng,
    policies: Vec<Policy>,
    /// Records of all endpoints at the start.
    initial_records: Vec<EndpointRecord>,
    /// Records of the restarted endpoints.
    restarted: Vec<EndpointRecord>,
    /// Records of the other endpoints while they drain.
    draining: Vec<EndpointRecord>,
    /// Future results of attempts with their instance, by time and request.
    pending_results: BTreeMap<(Micros, u32), (usize, AttemptResult)>,
    /// Times and amounts of work that each restarted endpoint received.
    received_work: Vec<Vec<(Micros, f64)>>,
    requests: u32,
    forwarded_count: u32,
    actions: Vec<Action>,
}

/// Simulates 14 s: at 8 s some endpoints restart, at 9 s the others start to drain.
pub fn simulate(plan: FleetPlan) -> FleetLoad {
    let mut rng = Rng::with_seed(plan.seed);
    let policies: Vec<Policy> = (0..INSTANCES).map(|index| Policy::new(rng.u64(..), config(index))).collect();
    // Some instances get several times the mean rate of requests.
    let rate_factor: Vec<f64> = policies.iter().map(|_| 0.2 + draw_exponential(&mut rng, 0.8)).collect();
    let record = |number| EndpointRecord {
        endpoint: EndpointId(number),
        build: BUILD,
        rating: 1.0,
        ..EndpointRecord::default()
    };
    let initial_records: Vec<EndpointRecord> = (0..ENDPOINTS as u32).map(record).collect();
    let mut started_at = |record: &EndpointRecord| EndpointRecord {
        started: Some(START + 8 * SECOND + rng.u64(..200 * MS)),
        ..*record
    };
    let restarted = initial_records[..RESTARTED].iter().map(&mut started_at).collect();
    let drain = |record: &EndpointRecord| EndpointRecord { status: EndpointStatus::Draining, ..*record };
    let draining = initial_records[RESTARTED..].iter().map(drain).collect();
    let received_work = vec![Vec::new(); RESTARTED];
    let (pending_results, actions, requests, forwarded_count) = (BTreeMap::new(), Vec::new(), 0, 0);
    let mut simulation = Simulation {
        plan,
        rng,
        policies,
        initial_records,
        restarted,
        draining,
        pending_results,
        received_work,
        requests,
        forwarded_count,
        actions,
    };
    (0..simulation.policies.len())
        .for_each(|instance| simulation.start_instance(START, instance, simulation.initial_records.clone()));
    let requests = LOAD * ENDPOINTS as f64 * plan.core_speed / (WORK / SECOND as f64);
    let requests_per_step = requests / f64::from(INSTANCES) * STEP as f64 / SECOND as f64;
    for now in (START..START + RUN).step_by(STEP as usize).map(|step_start| step_start + STEP) {
        (0..simulation.policies.len()).for_each(|instance| simulation.deliver_updates(now, instance));
        simulation.deliver_outcomes(now);
        for (instance, rate_factor) in rate_factor.iter().enumerate() {
            let mut expected_requests = rate_factor * requests_per_step;
            while simulation.rng.f64() < expected_requests {
                expected_requests -= 1.0;
                simulation.request(now, instance);
            }
        }
    }
    FleetLoad {
        worst_overload: simulation.worst_overload(),
        forwarded_share: f64::from(simulation.forwarded_count) / f64::from(simulation.requests),
    }
}

impl Simulation {
    fn deliver(&mut self, now: Micros, instance: usize, event: Event) {
        self.actions.clear();
        self.policies[instance].handle(now, event, &mut self.actions);
    }

    /// Delivers to an instance the cached endpoint list and the rollout state of its start.
    fn start_instance(&mut self, now: Micros, instance: usize, records: Vec<EndpointRecord>) {
        self.deliver(
            now,
            instance,
            Event::EndpointsUpdated(EndpointUpdate::Snapshot { endpoints: records, cached: true }),
        );
        let rollout = RolloutStatus {
            build: BUILD,
            stage: 2,
            phase: RolloutPhase::Released,
            exposure_cap: 1.0,
            age: 0,
        };
        self.deliver(now, instance, Event::RolloutUpdated(rollout));
    }

    /// Delivers the updates that are due; their delay depends on the instance.
    fn deliver_updates(&mut self, now: Micros, instance: usize) {
        let elapsed = now - START;
        let delay = (instance as Micros * 7_919) % 300 * MS / STEP * STEP;
        if elapsed == 7_500 * MS + delay {
            let removed =
                |record: &EndpointRecord| EndpointRecord { status: EndpointStatus::Removed, ..*record };
            let removed = self.initial_records[..RESTARTED].iter().map(removed).collect();
            self.deliver(now, instance, Event::EndpointsUpdated(EndpointUpdate::Delta(removed)));
        }
        if elapsed == 8 * SECOND + self.plan.discovery_delay + delay {
            self.deliver(
                now,
                instance,
                Event::EndpointsUpdated(EndpointUpdate::Delta(self.restarted.clone())),
            );
        }
        if elapsed == 9 * SECOND + delay {
            self.deliver(
                now,
                instance,
                Event::EndpointsUpdated(EndpointUpdate::Delta(self.draining.clone())),
            );
        }
        if elapsed == 9_500 * MS && self.rng.f64() < self.plan.kill_probability {
            self.policies[instance] = Policy::new(self.rng.u64(..), config(instance as u32));
            self.start_instance(now, instance, [&self.restarted[..], &self.draining].concat());
            self.pending_results.retain(|_, (owner, _)| *owner != instance);
        }
        if (now / STEP + instance as u64).is_multiple_of(STEPS_PER_TIMER) {
            self.deliver(now, instance, Event::Timer(0));
        }
    }

    fn deliver_outcomes(&mut self, now: Micros) {
        while let Some(first) = self.pending_results.first_entry().filter(|first| first.key().0 <= now) {
            let (instance, result) = first.remove();
            self.deliver(now, instance, Event::AttemptCompleted(result));
        }
    }

    fn request(&mut self, now: Micros, instance: usize) {
        self.requests += 1;
        let id = RequestId(self.requests);
        let work = draw_exponential(&mut self.rng, WORK);
        let rough_hint = (work * (0.6 + 0.8 * self.rng.f64())) as Micros;
        let hint = (self.plan.hints == WorkHints::Rough).then_some(rough_hint.max(1));
        let (class, deadline) = (ClassId(0), now + SECOND);
        let request =
            Request { id, class, tenant: None, key: None, deadline, work_hint: hint, is_retry: false };
        self.deliver(now, instance, Event::Request(request));
        let forwarded = self.actions.iter().find_map(|action| match action {
            Action::Forward { endpoint, .. } => Some(*endpoint),
            _ => None,
        });
        let Some(endpoint) = forwarded else { return };
        self.forwarded_count += 1;
        let work = work + self.plan.handshake_work as f64;
        if let Some(received_work) = self.received_work.get_mut(endpoint.0 as usize) {
            received_work.push((now, work));
        }
        let latency = (work / self.plan.core_speed * (1.0 + 0.3 * self.rng.f64())) as Micros;
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
        self.pending_results.insert((now + latency, id.0), (instance, result));
    }

    /// Returns the maximum work of any endpoint in an overload window while in slow start, relative to its
    /// capacity at the end of the window.
    fn worst_overload(&self) -> f64 {
        let Config {
            slow_start_initial: initial,
            slow_start_duration: duration,
            overload_multiple: multiple,
            overload_window: window,
            ..
        } = config(0);
        let overloads = self.restarted.iter().zip(&self.received_work).flat_map(|(record, received_work)| {
            let started_at = record.started.unwrap_or_default();
            let work_in_slow_start: Vec<_> = received_work
                .iter()
                .filter(|(time, _)| *time > started_at && *time < started_at + duration)
                .collect();
            let ratios = (0..work_in_slow_start.len()).map(move |last| {
                let window_end = work_in_slow_start[last].0;
                let window_work = work_in_slow_start[..=last]
                    .iter()
                    .rev()
                    .take_while(|(time, _)| time + window >= window_end);
                let progress = (window_end - started_at) as f64 / duration as f64;
                let share = initial + (1.0 - initial) * progress;
                let capacity = multiple * share * self.plan.core_speed * window as f64;
                window_work.map(|(_, work)| work).sum::<f64>() / capacity
            });
            ratios.collect::<Vec<_>>()
        });
        overloads.fold(0.0, f64::max)
    }
}

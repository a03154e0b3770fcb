//! A fleet in virtual time: hundreds of instances that hear nothing of each other, and what reaches the machines
//! that come back cold from all of them together. No decisions here, and nothing of the bench.

use std::collections::BTreeMap;

use fastrand::Rng;
use garnetcrank_policy::Policy;
use garnetcrank_policy::api::*;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000 * MS;
const STEP: Micros = 5 * MS;
/// Steps between two timers of a front.
const TICK: u64 = 5;
const START: Micros = 1_000 * SECOND;
const DAY: Micros = 14 * SECOND;

const FRONTS: u32 = 300;
const MACHINES: usize = 40;
/// The machines that start anew, at 8 s; the others are drained a second later.
const RESTARTED: usize = 12;
/// Demand over what all machines can do.
const LOAD: f64 = 0.6;
/// Mean work of a request on a standard core.
const WORK: f64 = 60.0 * MS as f64;
const AIM: Micros = 400 * MS;
const BUILD: Build = Build(7);

/// What is known of a request's work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hints {
    /// Off by up to two fifths.
    Rough,
    /// Nothing.
    Absent,
}

/// One deployment of machines with one core, and what happens to it.
#[derive(Debug, Clone, Copy)]
pub struct FleetPlan {
    /// Speed of the core, over a standard one.
    pub speed: f64,
    /// Work of a new connection; every request takes one.
    pub handshake: Micros,
    /// What is known of work.
    pub hints: Hints,
    /// How long after their start a cut hides the machines from all fronts.
    pub hidden: Micros,
    /// Share of the fronts that are killed at 9.5 s and come back empty.
    pub killed: f64,
    /// For all that is drawn.
    pub seed: u64,
}

impl Default for FleetPlan {
    fn default() -> Self {
        FleetPlan { speed: 1.0, handshake: 0, hints: Hints::Rough, hidden: 500 * MS, killed: 0.0, seed: 1 }
    }
}

/// What came of a plan.
#[derive(Debug)]
pub struct FleetLoad {
    /// The most that any cold machine got in a window, over what it bears.
    pub worst: f64,
    /// Share of the requests that were sent somewhere.
    pub sent: f64,
}

fn settings(index: u32) -> Config {
    Config {
        instance_count: FRONTS,
        instance_index: index,
        classes: vec![Class {
            name: "read".into(),
            idempotency: Idempotency::Idempotent,
            latency_objective: AIM,
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

/// The fleet while it is played.
struct World {
    plan: FleetPlan,
    rng: Rng,
    brains: Vec<Policy>,
    /// The machines as they were, as those that restart come back, and as the others are drained.
    before: Vec<EndpointRecord>,
    anew: Vec<EndpointRecord>,
    drained: Vec<EndpointRecord>,
    /// Outcomes under way, by when they come and the request's number, with the front.
    due: BTreeMap<(Micros, u32), (usize, AttemptResult)>,
    /// Work that reached each machine that restarts.
    reached: Vec<Vec<(Micros, f64)>>,
    asked: u32,
    sent: u32,
    out: Vec<Action>,
}

/// Plays 14 s: 8 quiet ones, then machines start anew while the others are drained.
pub fn simulate(plan: FleetPlan) -> FleetLoad {
    let mut rng = Rng::with_seed(plan.seed);
    let brains: Vec<Policy> = (0..FRONTS).map(|i| Policy::new(rng.u64(..), settings(i))).collect();
    // Some fronts see several times the mean.
    let skew: Vec<f64> = brains.iter().map(|_| 0.2 + drawn(&mut rng, 0.8)).collect();
    let entry = |n| EndpointRecord {
        endpoint: EndpointId(n),
        build: BUILD,
        rating: 1.0,
        ..EndpointRecord::default()
    };
    let before: Vec<EndpointRecord> = (0..MACHINES as u32).map(entry).collect();
    let mut born =
        |e: &EndpointRecord| EndpointRecord { started: Some(START + 8 * SECOND + rng.u64(..200 * MS)), ..*e };
    let anew = before[..RESTARTED].iter().map(&mut born).collect();
    let drain = |e: &EndpointRecord| EndpointRecord { status: EndpointStatus::Draining, ..*e };
    let drained = before[RESTARTED..].iter().map(drain).collect();
    let reached = vec![Vec::new(); RESTARTED];
    let (due, out, asked, sent) = (BTreeMap::new(), Vec::new(), 0, 0);
    let mut world = World { plan, rng, brains, before, anew, drained, due, reached, asked, sent, out };
    (0..world.brains.len()).for_each(|front| world.introduce(START, front, world.before.clone()));
    let requests = LOAD * MACHINES as f64 * plan.speed / (WORK / SECOND as f64);
    let a_step = requests / f64::from(FRONTS) * STEP as f64 / SECOND as f64;
    for now in (START..START + DAY).step_by(STEP as usize).map(|before| before + STEP) {
        (0..world.brains.len()).for_each(|front| world.news(now, front));
        world.outcomes(now);
        for (front, skew) in skew.iter().enumerate() {
            let mut come = skew * a_step;
            while world.rng.f64() < come {
                come -= 1.0;
                world.request(now, front);
            }
        }
    }
    FleetLoad { worst: world.worst(), sent: f64::from(world.sent) / f64::from(world.asked) }
}

impl World {
    fn tell(&mut self, now: Micros, front: usize, event: Event) {
        self.out.clear();
        self.brains[front].handle(now, event, &mut self.out);
    }

    /// What a front knows as it starts.
    fn introduce(&mut self, now: Micros, front: usize, entries: Vec<EndpointRecord>) {
        self.tell(
            now,
            front,
            Event::EndpointsUpdated(EndpointUpdate::Snapshot { endpoints: entries, cached: true }),
        );
        let stage = RolloutStatus {
            build: BUILD,
            stage: 2,
            phase: RolloutPhase::Released,
            exposure_cap: 1.0,
            age: 0,
        };
        self.tell(now, front, Event::RolloutUpdated(stage));
    }

    /// What a front is told at this moment; news reaches each at its own time.
    fn news(&mut self, now: Micros, front: usize) {
        let at = now - START;
        let late = (front as Micros * 7_919) % 300 * MS / STEP * STEP;
        if at == 7_500 * MS + late {
            let away = |e: &EndpointRecord| EndpointRecord { status: EndpointStatus::Removed, ..*e };
            let away = self.before[..RESTARTED].iter().map(away).collect();
            self.tell(now, front, Event::EndpointsUpdated(EndpointUpdate::Delta(away)));
        }
        if at == 8 * SECOND + self.plan.hidden + late {
            self.tell(now, front, Event::EndpointsUpdated(EndpointUpdate::Delta(self.anew.clone())));
        }
        if at == 9 * SECOND + late {
            self.tell(now, front, Event::EndpointsUpdated(EndpointUpdate::Delta(self.drained.clone())));
        }
        if at == 9_500 * MS && self.rng.f64() < self.plan.killed {
            self.brains[front] = Policy::new(self.rng.u64(..), settings(front as u32));
            self.introduce(now, front, [&self.anew[..], &self.drained].concat());
            self.due.retain(|_, (whose, _)| *whose != front);
        }
        if (now / STEP + front as u64).is_multiple_of(TICK) {
            self.tell(now, front, Event::Timer(0));
        }
    }

    fn outcomes(&mut self, now: Micros) {
        while let Some(first) = self.due.first_entry().filter(|first| first.key().0 <= now) {
            let (front, done) = first.remove();
            self.tell(now, front, Event::AttemptCompleted(done));
        }
    }

    fn request(&mut self, now: Micros, front: usize) {
        self.asked += 1;
        let id = RequestId(self.asked);
        let work = drawn(&mut self.rng, WORK);
        let rough = (work * (0.6 + 0.8 * self.rng.f64())) as Micros;
        let hint = (self.plan.hints == Hints::Rough).then_some(rough.max(1));
        let (class, deadline) = (ClassId(0), now + SECOND);
        let request =
            Request { id, class, tenant: None, key: None, deadline, work_hint: hint, is_retry: false };
        self.tell(now, front, Event::Request(request));
        let placed = self.out.iter().find_map(|action| match action {
            Action::Forward { endpoint: machine, .. } => Some(*machine),
            _ => None,
        });
        let Some(machine) = placed else { return };
        self.sent += 1;
        let work = work + self.plan.handshake as f64;
        if let Some(reached) = self.reached.get_mut(machine.0 as usize) {
            reached.push((now, work));
        }
        let lag = (work / self.plan.speed * (1.0 + 0.3 * self.rng.f64())) as Micros;
        let outcome = if lag < AIM { Outcome::Success } else { Outcome::TimedOut };
        let lag = lag.min(AIM);
        let done = AttemptResult {
            id,
            attempt: 0,
            outcome,
            latency: lag,
            request_finished: true,
            load_report: Vec::new(),
        };
        self.due.insert((now + lag, id.0), (front, done));
    }

    /// The most that any machine got in a window while it was cold, over what it bears at that window's end.
    fn worst(&self) -> f64 {
        let Config {
            slow_start_initial: cold_from,
            slow_start_duration: warm_after,
            overload_multiple: fall_multiple,
            overload_window: fall_window,
            ..
        } = settings(0);
        let of_each = self.anew.iter().zip(&self.reached).flat_map(|(entry, reached)| {
            let born = entry.started.unwrap_or_default();
            let cold: Vec<_> =
                reached.iter().filter(|(at, _)| *at > born && *at < born + warm_after).collect();
            let ratios = (0..cold.len()).map(move |last| {
                let at = cold[last].0;
                let within = cold[..=last].iter().rev().take_while(|(t, _)| t + fall_window >= at);
                let risen = (at - born) as f64 / warm_after as f64;
                let bears = cold_from + (1.0 - cold_from) * risen;
                let bears = fall_multiple * bears * self.plan.speed * fall_window as f64;
                within.map(|(_, work)| work).sum::<f64>() / bears
            });
            ratios.collect::<Vec<_>>()
        });
        of_each.fold(0.0, f64::max)
    }
}

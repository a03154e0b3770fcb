//! Every decision of garnetcrank and every tuned constant. What goes in and out is in `crates/policy/src/api.rs`,
//! the plain data kept in between in `crates/policy/src/state.rs`. The mechanism is that of docs/design.md.

use std::collections::BTreeMap;

use fastrand::Rng;

use crate::api::*;
use crate::state::*;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000 * MS;

// The record of a build (docs/design.md).
const RECENT: usize = 20; // outcomes a class is judged by: older ones say what was, not what is
const JUDGED_FROM: usize = 10; // outcomes below which a class is unjudged: a verdict on less is chance
const MARGIN: f64 = 0.1; // by how much a share of failures must exceed the earlier build's, over 20 outcomes
const RECOVERED: f64 = 0.5; // part of that bar that a failure must fall under to end: no flicker about it
const SUSTAINED: Micros = 3 * SECOND; // how long a class must stay failed; also the soak after a start
const RENEW: Micros = 4 * SECOND; // renewal of a standing verdict, unless its life asks for an earlier one
const LEARNT: u32 = 100; // outcomes after which what is usual is learnt no more while a trial runs
const RECORDS: usize = 4; // builds remembered: the newest, the one before, and any taken off between
const KEPT: usize = 60; // outcomes kept a class, for the earlier build's share and for breadth
const ALIVE: Micros = 4 * SECOND; // the earlier build can be compared with for so long after an outcome
const SLOWER: f64 = 0.3; // logarithm by which a build must surely be slower to fail by its times: 1.35
const SURELY: f64 = 2.5; // standard errors taken off a difference before it counts ...
const AGREED: f64 = 0.5; // ... less so many by each e-fold of fronts that must agree before a build goes
const LEAST: usize = 4; // outcomes, or comparable times, below which a build is never judged
const CHANCE: f64 = 0.5; // logarithm by which single times differ at the least, whatever a few show
const PLAIN: f64 = 3.0; // errors that judge a class before its ten outcomes: no chance brings so many
const SPREAD: f64 = 0.2; // logarithm by which good machines of a kind differ, by speed and by others' load

const DOSE: std::ops::Range<f64> = 0.1..0.5; // shares of the fleet at which withholding a build can tell
const SETTLE: Micros = 1_500 * MS; // how long the fleet takes to show that a build is withheld, or is back
const RAISED: f64 = 0.4; // logarithm by which the fleet's times must surely rise to suspect the build
const IN_STEP: f64 = 0.33; // share of that rise that must go when it is withheld, and come back with it

// Votes.
const VOTE_AGAIN: Micros = 250 * MS; // first wait after a vote that did not count, doubled each time ...
const VOTE_PATIENCE: Micros = 2 * SECOND; // ... up to this: all instances share the platform's rate

// Machines.
const AGAIN_FIRST: Micros = SECOND; // first ejection, and mean wait to ask for the list again, doubled ...
const AGAIN_MOST: Micros = 4 * SECOND; // ... up to this: a machine may be back, the registry serves all
const NEWEST: f64 = 0.15; // weight of the newest outcome in a machine's pace and faults, and in misses
const FORGET: Micros = 5 * SECOND; // a pace fades by half in so long: a slow machine is tried again
const LOOKED_AT: usize = 8; // machines drawn a placement: enough to tell whether most are in good health
const FAR: f64 = 0.8; // logarithm by which a zone must be slower of late than another to be left out
const MISSED_AGAIN: Micros = 2; // a machine that is rarely met is left out for so many times as long
const EJECT_ABOVE: f64 = 0.5; // smoothed fault share above which a machine is ejected: five in a row
const FAULT_PACE: f64 = 1.1; // a fault counts as this slow (logarithm): quick errors must draw no traffic
const CROSSING: f64 = 2.5; // how much heavier a machine in another zone counts where crossing has a price
const UNKNOWN_WORK: f64 = 50.0 * MS as f64; // work of a request while no hint or time is known
const COLD_USE: f64 = 0.9; // part of a cold machine's budget that is used at the most: hints are rough
const SURE_CORE: f64 = 0.25; // part of a core that any machine surely has, while it is not known what they do
const CARRIED: Micros = 5 * SECOND; // how far back the mean of what machines carry goes
const CHANCE_KEPT: f64 = 1.0; // standard errors of what all fronts' turns bring, kept free beside it

// Requests.
const ON_THE_WAY: Micros = 100 * MS; // a keyed repeat must arrive while the first is still remembered
const RETRY_EARNED: f64 = 0.2; // retries earned by a request: a retry storm stays a fifth of the traffic
const RETRY_SAVED: f64 = 10.0; // most retries saved up
const FULL_TIME: f64 = 0.55; // mean time over aim above which fewer requests are let in: queues build up
const FREE_TIME: f64 = 0.45; // and below which more are
const TIME_NEWEST: f64 = 0.05; // weight of the newest outcome in that mean, and in a zone's pace
const PART_NEWEST: f64 = 0.01; // weight of the newest request in a tenant's part of the traffic
const HOPELESS: f64 = 0.75; // smoothed share of misses above which a class or tenant is mostly refused
const TRICKLE: f64 = 0.03; // share of its requests still let in, to see when the trouble ends
const OVER_SHARE: f64 = 1.25; // multiple of its share from which a tenant is served after the others
const LIMIT_STEP: f64 = 0.01; // by how much the limit moves a tick: quicker, it swings
const LEAST_OPEN: f64 = 2.0; // lowest limit for each machine, over the fronts: some outcomes must tell
const LEAST_USUAL: f64 = 2.0; // ... and lowest at one front, over what it has open while all goes well
const MOST_OPEN: f64 = 1e6; // highest limit, from which it still falls in time
const CHEAP_ROOM: f64 = 0.7; // part of the limit open to requests worth nothing; the dearest use all
const COME_BACK: f64 = 0.2; // share of the aim after which a refused client should try again, on average
const TICK: Micros = 25 * MS; // housekeeping period: verdict, votes, the limit
const TELLERS: f64 = 8.0; // fronts, on average, that log what all of them see

/// The decisions of one instance: a state machine over events and the clock that comes with them.
#[derive(Default)]
pub struct Policy {
    config: Config,
    rng: Rng,
    now: Micros,
    out: Vec<Action>,
    started: bool,
    machines: BTreeMap<EndpointId, Machine>,
    listed: Vec<EndpointId>, // those that run, in the order of the latest draws
    ask_at: Option<Micros>,
    ask_wait: Micros,
    news: Option<RolloutStatus>,
    recount_at: Option<Micros>,
    replaced: Micros, // when a machine last came or went
    staged: Micros,   // when the build's stage or phase last changed
    records: BTreeMap<Build, Record>,
    requests: Window,
    answered_keys: BTreeMap<KeyId, Build>,
    standing: Option<(Vote, Micros)>,
    pending: Option<(Vote, Micros)>,
    vote_not_before: Micros,
    vote_wait: Micros,
    held: BTreeMap<RequestId, Held>,
    retries: f64,
    open: u32,
    limit: f64,
    time_used: f64,                                   // smoothed time over aim of all outcomes
    usual: BTreeMap<(ClassId, Option<KindId>), Pace>, // logarithm of time over hint
    paces: BTreeMap<ZoneId, Pace>,
    typical: Pace, // work of a request
    carried: BTreeMap<KindId, Carried>,
    load_at: Micros,    // when that was last looked at
    usual_open: f64,    // smoothed, while answers come in time
    tells: bool,        // one of the fronts that log what all see
    groups: Vec<Group>, // the classes, then the tenants
}

impl Policy {
    /// A new instance that knows nothing but its settings.
    pub fn new(seed: u64, config: Config) -> Self {
        // A tick short, as attempts are counted a tick long: rounding never favours us.
        let span = config.rollout.exposure_window.saturating_sub(config.resolution);
        let mut rng = Rng::with_seed(seed);
        Policy {
            tells: rng.f64() * f64::from(config.instance_count) < TELLERS,
            rng,
            ask_at: config.poll_endpoints.then_some(0),
            ask_wait: AGAIN_FIRST,
            requests: Window::new(span, config.classes.len()),
            vote_wait: VOTE_AGAIN,
            retries: RETRY_SAVED,
            limit: f64::INFINITY,
            groups: vec![Group::default(); config.classes.len() + config.tenants.len()],
            config,
            ..Self::default()
        }
    }

    /// Takes one event and adds what is to be done to `out`.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        if !self.started {
            self.started = true;
            self.out.push(Action::SetTimer { after: TICK, token: 0 });
        }
        match event {
            Event::EndpointsUpdated(news) => self.fleet(news),
            Event::Request(request) => self.request(request),
            Event::ResponseStarted { id, .. } => {
                drop(self.held.entry(id).and_modify(|h| h.life = Life::Begun))
            }
            Event::AttemptCompleted(done) => self.done(&done),
            Event::ClientDisconnected(id) => self.end(id),
            Event::Timer(_) => self.housekeeping(),
            Event::RolloutUpdated(stage) => self.stage(stage),
            Event::VoteCompleted(ballot, stage) => self.voted(ballot, stage),
            Event::AnswerFlagged { endpoint: machine, class, age } => {
                let seen = Seen { at: now, outcome: Outcome::Error, slower: None, excess: None, machine };
                if let Some(build) = self.machines.get(&machine).map(|m| m.entry.build) {
                    self.record(build).add(class, seen, now.saturating_sub(age), KEPT);
                }
            }
            Event::Tally { .. } | Event::HealthCheckCompleted { .. } | Event::GossipReceived { .. } => {}
        }
        out.append(&mut self.out);
    }

    // ---- Fleet and health view ----

    fn fleet(&mut self, news: EndpointUpdate) {
        let (entries, saved) = match news {
            EndpointUpdate::Unavailable => {
                let wait = self.ask_wait / 2 + self.rng.u64(0..self.ask_wait);
                self.ask_at = self.config.poll_endpoints.then_some(self.now + wait);
                self.ask_wait = (self.ask_wait * 2).min(AGAIN_MOST);
                return;
            }
            EndpointUpdate::Delta(entries) => (entries, false),
            EndpointUpdate::Snapshot { endpoints: entries, cached: saved } => {
                self.machines.values_mut().for_each(|m| m.listed = false);
                (entries, saved)
            }
        };
        if !saved {
            (self.ask_at, self.ask_wait) = (None, AGAIN_FIRST);
        }
        for entry in entries {
            self.record(entry.build);
            // The same at every front but for its number: their turns at a machine lie evenly spread.
            let mut spread = Rng::with_seed(entry.started.unwrap_or(0) ^ (u64::from(entry.cell.0) << 48));
            let own = f64::from(self.config.instance_index) / f64::from(self.config.instance_count.max(1));
            let phase = (spread.f64() + own).fract();
            let cold_part = self.part_of(entry.kind);
            let fresh = || Machine { entry, phase, cold_part, ejection: AGAIN_FIRST, ..Machine::default() };
            let machine = self.machines.entry(entry.endpoint).or_insert_with(fresh);
            if machine.entry.started != entry.started || machine.entry.build != entry.build {
                // Another process: what was known of the earlier one is void, what is in flight is not.
                *machine = Machine { open: machine.open, ..fresh() };
            }
            machine.entry = entry;
            let listed = entry.status == EndpointStatus::Active;
            self.replaced = if machine.listed != listed { self.now } else { self.replaced };
            machine.listed = listed;
        }
        self.machines.retain(|_, m| m.listed || m.open > 0);
        self.listed = self.machines.iter().filter(|(_, m)| m.listed).map(|(id, _)| *id).collect();
    }

    /// How much of its capacity a machine surely has; none: long warm.
    fn warmth(&self, entry: &EndpointRecord) -> Option<f64> {
        let risen =
            self.now.saturating_sub(entry.started?) as f64 / self.config.slow_start_duration.max(1) as f64;
        (risen < 1.0)
            .then_some(self.config.slow_start_initial + (1.0 - self.config.slow_start_initial) * risen)
    }

    /// What warm machines of its kind carry of this front's work is its part of a machine that starts: all
    /// parts together make what the fleet surely does. One that knows too little takes an even part of a
    /// fraction of a core. Danger: a standard core is more than a slow or small machine has. Harm: at low
    /// load, or soon after its own start, a front uses less of a cold machine than it would bear.
    fn part_of(&self, kind: KindId) -> f64 {
        let fronts = f64::from(self.config.instance_count);
        let carried = self.carried.get(&kind).map_or(0.0, |c| c.mean);
        let part = carried.max(SURE_CORE / fronts);
        // Where a part is below a request, what all send is a sum of chance: its spread is kept free too.
        let (multiple, window) = (self.config.overload_multiple, self.config.overload_window as f64);
        let budget = multiple * self.config.slow_start_initial * window * part;
        let chance = CHANCE_KEPT * (self.typical.mean / (budget * fronts)).sqrt();
        let shared = (((chance * chance + 4.0).sqrt() - chance) / 2.0).powi(2);
        part * if budget >= self.typical.mean { COLD_USE } else { shared.min(COLD_USE) }
    }

    /// What this front's part of a machine's cold budget has come to since its start, if it is cold, and
    /// what it grows by in the fall window.
    fn cold_budget(&self, machine: &Machine) -> Option<(f64, f64)> {
        let Config {
            slow_start_initial: cold_from,
            overload_multiple: fall_multiple,
            overload_window: fall_window,
            ..
        } = self.config;
        let warmth = self.warmth(&machine.entry)?;
        let age = self.now.saturating_sub(machine.entry.started?) as f64;
        let rate = fall_multiple * machine.cold_part;
        Some((rate * age * (cold_from + warmth) / 2.0, rate * warmth * fall_window as f64))
    }

    /// Learns what each kind's warm machines carry, while they do it well and are not the lesser part.
    fn look_at_load(&mut self) {
        let span = self.now.saturating_sub(std::mem::replace(&mut self.load_at, self.now));
        let mut kinds: BTreeMap<KindId, [usize; 2]> = BTreeMap::new();
        for machine in self.machines.values().filter(|m| m.listed) {
            let warm = self.warmth(&machine.entry).is_none();
            kinds.entry(machine.entry.kind).or_default()[usize::from(warm)] += 1;
        }
        for (kind, [cold, warm]) in kinds {
            let carried = self.carried.entry(kind).or_default();
            if cold < warm && self.time_used < FULL_TIME {
                carried.look(span, warm, CARRIED);
            }
            carried.served = 0.0;
        }
    }

    /// Expected work of a request: its hint, else the usual time of its class (which errs upwards).
    fn work(&self, request: &Request) -> f64 {
        let usual = || self.usual.get(&(request.class, None)).filter(|u| u.count > 0);
        request.work_hint.map_or_else(|| usual().map_or(UNKNOWN_WORK, |u| u.mean.exp()), |h| h as f64)
    }

    /// Notes what an attempt tells of its machine: its pace, its faults, and whether to eject it.
    fn machine_outcome(&mut self, id: EndpointId, outcome: Outcome, slower: f64) {
        let now = self.now;
        let Some(m) = self.machines.get(&id) else { return };
        let (of_build, faded) = (self.errors_of(m.entry.build), self.pace(m));
        let Some(machine) = self.machines.get_mut(&id) else { return };
        let fault = outcome != Outcome::Success;
        let sample = if fault { slower.max(FAULT_PACE) } else { slower };
        // Danger: a front with few requests meets a failing machine now and then, and needs five meetings to
        // tell. An outcome after long without any says more; not a time-out: a full fleet brings it, too.
        let apart = if machine.paced_at > 0 { now.saturating_sub(machine.paced_at) } else { 0 };
        let newest = match outcome {
            Outcome::Success | Outcome::Error => NEWEST.max(1.0 - faded_after(apart)),
            _ => NEWEST,
        };
        (machine.pace, machine.paced_at) = (faded + (sample - faded) * NEWEST, now);
        machine.faults += (f64::from(u8::from(fault)) - machine.faults) * newest;
        // A machine that can't be reached costs a connect time-out a try: out at once. One that fails goes
        // once it fails far more than its build does, whose failures are the judge's evidence.
        let dead = outcome == Outcome::ConnectFailed;
        let failing = machine.faults > EJECT_ABOVE + of_build;
        if !fault {
            machine.ejection = AGAIN_FIRST;
        } else if (dead || failing) && now >= machine.ejected_until {
            // Left out for less than it takes to meet it again, it would hardly be left out at all.
            let span = machine.ejection.max(if dead { 0 } else { MISSED_AGAIN * apart.min(FORGET) });
            (machine.dead, machine.faults, machine.ejected_until) = (dead, EJECT_ABOVE, now + span);
            machine.ejection = (machine.ejection * 2).min(AGAIN_MOST);
            self.log(false, || format!("ejected machine {} for {} ms: {outcome:?}", id.0, span / MS));
        }
    }

    /// The share of errors among a build's last outcomes, wherever they came from.
    fn errors_of(&self, build: Build) -> f64 {
        let all = self.records.get(&build).and_then(|r| r.seen.last());
        all.map_or(0.0, |seen| share(seen, KEPT, |s| s.outcome == Outcome::Error))
    }

    // ---- The per-build record and its verdict ----

    /// Whether a build is on trial for this instance: the newest until told released, and any later one.
    fn on_trial(&self, build: Build) -> bool {
        match self.news {
            Some(news) => build > news.build || (build == news.build && news.phase != RolloutPhase::Released),
            None => self.records.keys().next().is_some_and(|first| build > *first),
        }
    }

    fn record(&mut self, build: Build) -> &mut Record {
        let (now, classes) = (self.now, self.config.classes.len());
        let span = self.config.rollout.exposure_window + self.config.resolution;
        self.records.entry(build).or_insert_with(|| Record::new(now, classes, span))
    }

    /// The build that a trial is measured against: the newest earlier one with outcomes of its own.
    fn earlier(&self, build: Build) -> Option<&Record> {
        let served = |r: &&Record| r.last_seen > 0 && r.state != State::Failed;
        self.records.range(..build).rev().map(|(_, r)| r).find(served)
    }

    /// Marks a class by the share of its failures over the last outcomes, against the earlier build's.
    fn judge_class(&self, record: &Record, earlier: Option<&Record>, class: usize) -> Mark {
        // Danger: time-outs come from load or a stall as easily as from a build, so they count only as far as
        // surely above chance, beside a living earlier build. Harm: one that hangs a few is found late.
        let alive = earlier.is_some_and(|e| e.last_seen + ALIVE > self.now);
        let wrong = |s: &Seen| s.outcome == Outcome::Error;
        let late = |s: &Seen| alive && s.outcome == Outcome::TimedOut;
        let failed = |s: &Seen| wrong(s) || late(s);
        let before = earlier.map_or(0.0, |e| share(&e.seen[class], KEPT, failed));
        let seen = &record.seen[class];
        // All classes together are judged by more outcomes, among which a smaller share is no chance.
        let most = if class < self.config.classes.len() { RECENT } else { KEPT };
        let (n, lates) = (seen.len().min(most), share(seen, most, late));
        let bar = MARGIN * (RECENT as f64 / n as f64).sqrt();
        let bar = if record.failing_since[class].is_some() { bar * RECOVERED } else { bar };
        let surely = (lates - self.surely() * (lates / n.min(RECENT) as f64).sqrt()).max(0.0);
        let wrongs = share(seen, most, wrong);
        match n >= self.enough(JUDGED_FROM) || wrongs * n as f64 >= PLAIN {
            false => Mark::Unjudged,
            true if wrongs + surely <= before + bar => Mark::Pass,
            true => breadth(seen.iter().map(|s| (s.machine, f64::from(u8::from(failed(s))))), 0.0),
        }
    }

    fn times(&self, record: Option<&Record>) -> Vec<(EndpointId, f64)> {
        let seen = record.into_iter().flat_map(|r| &r.seen[self.config.classes.len()]);
        seen.filter(|s| s.at + ALIVE > self.now).filter_map(|s| Some((s.machine, s.slower?))).collect()
    }

    /// How sure a front must be. Danger: a front with a handful of outcomes a stage never is. Where many must
    /// agree they guard against its chance. Harm: a trouble misleads many alike.
    fn surely(&self) -> f64 {
        (SURELY - AGREED * f64::from(self.config.rollout.rollback_quorum.max(1)).ln()).max(1.0)
    }

    /// From how many outcomes a front judges, where one alone needs so many; for the same reason.
    fn enough(&self, alone: usize) -> usize {
        (alone / self.config.rollout.rollback_quorum.max(1) as usize).max(LEAST)
    }

    /// Marks a build's times, all classes together: each outcome as its logarithm over the usual of its
    /// class and kind, and over what the released builds took in its zone at that moment.
    /// Danger: a build that is only slow passes by its errors until it takes the fleet down.
    fn judge_times(&self, record: &Record) -> Mark {
        let last = record.seen[self.config.classes.len()].iter();
        let times: Vec<_> = last.filter_map(|s| Some((s.machine, s.excess?))).collect();
        let new = Level::of(&times);
        // However many outcomes, a build's few machines may be slow ones, and the pace is no certainty.
        let error = new.chance(CHANCE).hypot(SPREAD * (1.0 / new.machines + 0.5).sqrt());
        // A failure starts once it is sure, and ends once it is not even likely.
        let failing = record.failing_since[self.config.classes.len() + 1].is_some();
        match new.count >= self.enough(RECENT) {
            false => Mark::Unjudged,
            true if new.mean - if failing { 0.0 } else { self.surely() * error } <= SLOWER => Mark::Pass,
            true => breadth(times.into_iter(), SLOWER),
        }
    }

    /// Marks a build by what it does to the earlier one's machines. Once these are surely much slower than
    /// before the trial, the clock is held and the build withheld for 3 s: a rise that goes, and comes back
    /// with the build, is its doing. All fronts see it at about the same time and withhold together.
    /// Danger: a build slows old and new alike. Harm: a hold on a good build; a trouble in step by chance.
    /// Exception: the stage moves on under the test, as news and holds travel. The build is withheld no more,
    /// and blamed if old and new are still slow 3 s after it was suspected. Harm: a trouble that came along.
    fn judge_fleet(&mut self, stage: RolloutStatus) -> Mark {
        let (now, build, dosed) = (self.now, stage.build, self.dosed());
        let (surely, enough, trial) =
            (self.surely(), self.enough(RECENT), stage.phase == RolloutPhase::OnTrial);
        let mut times = self.times(self.earlier(build).filter(|_| trial));
        times.extend(self.times(self.records.get(&build).filter(|_| trial && !dosed)));
        let old = Level::of(&times);
        let known = old.count >= enough.max(JUDGED_FROM);
        let above = old.mean - surely * old.chance(CHANCE);
        let (replaced, settled) = (self.replaced, self.replaced > self.staged);
        let record = self.record(build);
        // Danger: a bad build is released and slows all; its successor is held for it. What else: a trouble
        // that came with the first machines. Harm: it hides as much of what the build does to the fleet.
        if known && trial && stage.stage == 0 && !dosed {
            record.slow_before = old.mean.max(0.0);
        }
        let raised = known && above > RAISED;
        let risen = known && above - record.slow_before > RAISED;
        let Some((since, rise)) = record.suspected.filter(|_| trial) else {
            if dosed && risen && settled && now > replaced + SETTLE && record.cleared != Some(stage.stage) {
                (record.suspected, record.steps) = (Some((now, old.mean)), Default::default());
                self.log(true, || format!("all machines slower: withholding build {} for 3 s", build.0));
            }
            return Mark::Unjudged;
        };
        let [without, with] = record.steps.each_ref().map(|step| Level::of(step));
        let sure = (IN_STEP * rise).max(surely * with.chance(CHANCE).hypot(without.chance(CHANCE)));
        let goes = without.count >= enough && rise - without.mean > IN_STEP * rise;
        let back = with.count >= enough && with.mean - without.mean > sure;
        match now - since {
            age if !dosed && age < SUSTAINED => {}
            _ if !dosed && raised => return Mark::Fail,
            // Machines that come or go change the times by themselves: such a test tells nothing.
            _ if replaced > since => record.suspected = None,
            0..SUSTAINED => {}
            // Looked at once, at the end: who looks again and again finds something by chance.
            age if goes && age < 2 * SUSTAINED => {}
            _ if goes && back => return Mark::Fail,
            _ => {
                (record.suspected, record.cleared) = (None, Some(stage.stage));
                self.log(true, || format!("build {} cleared of slowing all machines", build.0));
            }
        }
        Mark::Unjudged
    }

    fn dosed(&self) -> bool {
        self.news.and_then(|n| self.config.rollout.stages.get(n.stage)).is_some_and(|s| DOSE.contains(s))
    }

    /// Brings the record of the newest build up to date: marks, failure timers, state.
    fn judge(&mut self) {
        let Some(news) = self.news.filter(|n| n.phase.is_active()) else { return };
        let (now, build, classes) = (self.now, news.build, self.config.classes.len());
        let fleet = self.judge_fleet(news);
        let Some(record) = self.records.get(&build).filter(|r| r.state == State::Soaking) else { return };
        let earlier = self.earlier(build);
        let mut marks: Vec<Mark> = (0..=classes).map(|c| self.judge_class(record, earlier, c)).collect();
        marks.extend([self.judge_times(record), fleet]);
        let many = self.config.rollout.rollback_quorum > 1;
        let record = self.record(build);
        // Where many must agree all classes together count: a front that sees little would stay silent.
        record.judged = marks[..classes + usize::from(many)].iter().any(|m| *m != Mark::Unjudged);
        let mut sustained = None;
        for (i, mark) in marks.into_iter().enumerate() {
            // What the fleet showed has been running since the build was suspected.
            let began = record.suspected.filter(|_| i > classes + 1).map_or(now, |s| s.0);
            let since = record.failing_since[i].unwrap_or(began);
            record.failing_since[i] = (mark == Mark::Fail).then_some(since);
            sustained = sustained.or((mark == Mark::Fail && now - since >= SUSTAINED).then_some(i));
        }
        if let Some(i) = sustained {
            record.state = State::Failed;
            let other = ["all classes together", "its times", "the fleet's times"][i.saturating_sub(classes)];
            let what = self.config.classes.get(i).map_or(other, |c| &c.name).to_owned();
            self.log(true, || format!("build {}: {what} stayed failed, voting back", build.0));
        }
    }

    // ---- Voting ----

    fn stage(&mut self, stage: RolloutStatus) {
        let before = self.news.replace(stage);
        self.record(stage.build);
        let state = |s: RolloutStatus| (s.build, s.stage, s.phase);
        if before.map(state) != Some(state(stage)) {
            self.staged = self.now;
            self.log(false, || format!("build {} stage {}: {:?}", stage.build.0, stage.stage, stage.phase));
        }
        self.recount_at = match before.filter(|b| b.build == stage.build) {
            Some(before) if stage.exposure_cap < before.exposure_cap => {
                Some(self.now + self.config.drain_grace)
            }
            Some(before) if stage.exposure_cap == before.exposure_cap => self.recount_at,
            _ => None,
        };
    }

    /// What this instance would have the platform do, if anything.
    fn wish(&self) -> Option<Vote> {
        let news = self.news.filter(|n| n.phase.is_active())?;
        let record = self.records.get(&news.build)?;
        let vote = |verdict| Some(Vote { build: news.build, stage: news.stage, verdict });
        let timer = self.config.rollout.mode == VoteMode::Timer;
        let failing = record.suspected.is_some() || record.failing_since.iter().any(Option::is_some);
        let trial = self.machines.values().filter(|m| m.listed && m.entry.build == news.build);
        let latest = || trial.filter_map(|m| m.entry.started).max().unwrap_or(record.born);
        match news.phase {
            _ if record.state == State::Failed => vote(Verdict::RollBack),
            RolloutPhase::Released => None,
            _ if failing => vote(Verdict::Hold).filter(|_| timer),
            _ if timer || !record.judged || self.now < latest() + SUSTAINED => None,
            _ => vote(Verdict::Advance),
        }
    }

    fn vote(&mut self) {
        let (now, wait, life) = (self.now, self.config.rollout.vote_timeout, self.config.rollout.vote_ttl);
        if self.pending.is_some_and(|(_, at)| now < at + 2 * wait) {
            return;
        } else if self.pending.take().is_some() {
            self.vote_later();
        }
        // The answer to a renewal must arrive while the vote stands.
        let renew = RENEW.min(life.saturating_sub(wait + 4 * TICK).max(life / 2));
        let standing = self.standing.filter(|(_, at)| now < at + life);
        let vote = match (self.wish(), standing) {
            (Some(wish), Some((vote, at))) if wish == vote && now < at + renew => return,
            (Some(wish), _) => wish,
            // A hold that no failure backs any more is taken away, so that it costs no further delay.
            (None, Some((v, _))) if v.verdict == Verdict::Hold => Vote { verdict: Verdict::Abstain, ..v },
            (None, _) => return,
        };
        if now < self.vote_not_before {
            return;
        }
        self.pending = Some((vote, now));
        let Vote { build, stage, verdict } = vote;
        self.out.push(Action::Vote { build, stage, verdict });
        let changed = standing.is_none_or(|(before, _)| before.verdict != verdict);
        self.log(changed, || format!("vote {verdict:?} on build {} stage {stage}", build.0));
    }

    fn vote_later(&mut self) {
        self.vote_not_before = self.now + self.vote_wait / 2 + self.rng.u64(0..self.vote_wait);
        self.vote_wait = (self.vote_wait * 2).min(VOTE_PATIENCE);
    }

    fn voted(&mut self, ballot: VoteResult, stage: Option<RolloutStatus>) {
        if let Some((vote, at)) = self.pending.take() {
            match ballot {
                VoteResult::Counted => {
                    self.vote_wait = VOTE_AGAIN;
                    self.standing = (vote.verdict != Verdict::Abstain).then_some((vote, at));
                }
                // Not repeated at once: the stage has moved on, and news of it is on its way.
                VoteResult::Obsolete => self.vote_not_before = self.now + VOTE_PATIENCE / 2,
                _ => self.vote_later(),
            }
        }
        stage.into_iter().for_each(|s| self.stage(s));
    }

    // ---- Eligibility: one guard per rule, and the only way to a placement ----

    /// Rule 5: attempts at a build on trial stay within the free ones plus the cap times the requests
    /// taken, over the window that ends now; by class where so counted; none at cap 0.
    fn exposure_allows(&mut self, build: Build, class: ClassId) -> bool {
        if !self.on_trial(build) {
            return true;
        }
        let now = self.now;
        if self.recount_at.is_some_and(|at| now >= at) {
            self.recount_at = None;
            self.requests.clear();
            self.records.values_mut().for_each(|r| r.attempts.clear());
        }
        let rollout = &self.config.rollout;
        let first = rollout.exposure_caps.first().copied().unwrap_or(0.0);
        let (stage, cap) =
            self.news.filter(|n| n.build == build).map_or((0, first), |n| (n.stage, n.exposure_cap));
        let safe = self.config.classes[class.0].idempotency == Idempotency::Idempotent;
        if cap <= 0.0 || (stage < rollout.guarded_stages && !safe) {
            return false;
        }
        let counted = rollout.exposure_by_class.then_some(class);
        let allowed = rollout.exposure_allowance + cap * self.requests.count(now, counted);
        self.record(build).attempts.count(now, counted) + 1.0 <= allowed
    }

    /// Rule 4: this front's part of a cold machine's budget, as if all sent alike. Within a window it is kept
    /// to the letter. Danger: hundreds of fronts, one request each: where a part is below a request it is
    /// due by turns, spread over the fronts, and a turn that is not used soon is lost: else all fronts save
    /// one up and send it when a drain or a cut ends elsewhere. Harm: busy fronts fill it slowly.
    fn cold_allows(&mut self, id: EndpointId, request: &Request) -> bool {
        let Some((earned, part)) = self.machines.get(&id).and_then(|m| self.cold_budget(m)) else {
            return true;
        };
        let work = self.work(request);
        let (now, window, turn) = (self.now, self.config.overload_window, self.typical.mean.max(part));
        let Some(m) = self.machines.get_mut(&id) else { return false };
        while m.cold_work.pop_front_if(|(at, _)| now - *at > window).is_some() {}
        let sent: f64 = m.cold_work.iter().map(|(_, w)| w).sum();
        let owed = (m.cold_paid - earned).max(0.0);
        let due = (earned / turn + m.phase).fract() * turn < part / 2.0;
        owed + work <= part && sent + work <= part || m.cold_work.is_empty() && due && owed <= part / 2.0
    }

    /// Rule 2: whether a further attempt may go to this machine, given those before it.
    fn repeat_allows(&self, held: &Held, entry: &EndpointRecord) -> bool {
        let mut ran = held.attempts.iter().filter(|a| a.may_have_run());
        let Some(first) = ran.clone().map(|a| a.sent).min() else { return true };
        let alone = self.config.hedging || !held.attempts.iter().any(|a| a.open());
        match self.config.classes[held.request.class.0].idempotency {
            Idempotency::Idempotent => alone,
            Idempotency::NonIdempotent => false,
            Idempotency::Keyed { scope, window } => {
                let with = |a: &Attempt| {
                    self.machines.get(&a.machine).is_some_and(|m| match scope {
                        KeyScope::All => true,
                        KeyScope::Zone => m.entry.zone == entry.zone,
                        KeyScope::Cell => m.entry.cell == entry.cell,
                    })
                };
                alone && self.now + ON_THE_WAY < first + window && (scope == KeyScope::All || ran.all(with))
            }
        }
    }

    /// A key that the trial build has answered goes to no earlier build, where the platform says so.
    fn key_allows(&self, key: Option<KeyId>, build: Build) -> bool {
        let binds = |at: &Build| self.news.is_some_and(|n| n.build == *at && n.phase.is_active());
        key.and_then(|k| self.answered_keys.get(&k)).is_none_or(|at| build >= *at || !binds(at))
    }

    /// What health says of a machine that the rules allow for this request; none: a rule forbids it.
    fn eligible(&mut self, held: &Held, id: EndpointId) -> Option<Health> {
        let &Machine { entry, ejected_until, dead, faults, .. } = self.machines.get(&id)?;
        let kept = self.exposure_allows(entry.build, held.request.class)
            && self.key_allows(held.request.key, entry.build)
            && self.repeat_allows(held, &entry)
            && self.cold_allows(id, &held.request);
        let (tried, ejected) = (held.attempts.iter().any(|a| a.machine == id), self.now < ejected_until);
        // What must not run twice is no try of a machine that failed of late, where others can be.
        let once = |class: &Class| class.idempotency == Idempotency::NonIdempotent;
        let once = once(&self.config.classes[held.request.class.0]) && !self.config.classes.iter().all(once);
        let wary = once && faults > EJECT_ABOVE / 2.0 + self.errors_of(entry.build);
        kept.then_some(match tried || ejected || wary || self.shunned(entry.build) {
            false => Health::Good,
            true if ejected && dead => Health::Dead,
            true => Health::Poor,
        })
    }

    /// A build that failed or is withheld is used only for want of others. A class that fails is still sent.
    fn shunned(&self, build: Build) -> bool {
        let withheld = |r: &Record| r.suspected.is_some_and(|s| self.now < s.0 + SUSTAINED) && self.dosed();
        self.records.get(&build).is_some_and(|r| r.state == State::Failed || withheld(r))
    }

    // ---- Server choice ----

    /// Power of two choices by requests in flight, for size, pace and zone, among a few machines drawn. Those
    /// that health advises against are left out unless they are most; unreachable ones for want of any other.
    fn choose(&mut self, held: &Held) -> Option<EndpointId> {
        let mut found: [Vec<EndpointId>; 3] = Default::default();
        for i in 0..self.listed.len() {
            if i >= LOOKED_AT && found[0].len() > 1 {
                break;
            }
            let drawn = self.rng.usize(i..self.listed.len());
            self.listed.swap(i, drawn);
            let id = self.listed[i];
            if let Some(health) = self.eligible(held, id) {
                found[health as usize].push(id);
            }
        }
        let [mut good, poor, dead] = found;
        if good.len() < poor.len() {
            good.extend(poor);
        }
        // Danger: the way to a zone is slow and lossy; a front meets each machine there too rarely to know.
        // What else: a zone that is overloaded or cut off. Harm: the other zones carry its load.
        let best = good.iter().map(|id| self.zone_pace(*id)).fold(f64::INFINITY, f64::min);
        good.retain(|id| self.zone_pace(*id) <= best + FAR);
        let mut good = if good.is_empty() { dead } else { good };
        self.rng.shuffle(&mut good);
        // Now and then one is drawn alone: a machine that loses every comparison is still tried.
        good.truncate(if self.rng.usize(0..self.listed.len().max(1)) == 0 { 1 } else { 2 });
        good.into_iter().min_by(|a, b| self.load(*a).total_cmp(&self.load(*b)))
    }

    /// How slow a machine's zone is of late; nothing lately: no slower than usual, so that it is tried again.
    fn zone_pace(&self, id: EndpointId) -> f64 {
        let pace = self.paces.get(&self.machines[&id].entry.zone);
        pace.filter(|p| p.count >= LEAST as u32 && p.at + ALIVE > self.now).map_or(0.0, |p| p.mean)
    }

    fn load(&self, id: EndpointId) -> f64 {
        let machine = &self.machines[&id];
        let across = machine.entry.zone != self.config.zone && self.config.cross_zone_price > 0.0;
        let size = machine.entry.rating.max(0.01) * self.warmth(&machine.entry).unwrap_or(1.0);
        f64::from(machine.open + 1) * self.pace(machine).exp() / size * if across { CROSSING } else { 1.0 }
    }

    /// A machine's pace fades, so that a slow one is tried again.
    fn pace(&self, machine: &Machine) -> f64 {
        machine.pace * faded_after(self.now.saturating_sub(machine.paced_at))
    }

    // ---- Request life ----

    fn request(&mut self, request: Request) {
        self.requests.add(self.now, request.class);
        self.typical.add(self.now, self.work(&request), PART_NEWEST, Micros::MAX);
        self.retries = (self.retries + RETRY_EARNED).min(RETRY_SAVED);
        let own = self.groups_of(&request);
        for (i, group) in self.groups.iter_mut().enumerate() {
            group.part += (f64::from(u8::from(own.contains(&Some(i)))) - group.part) * PART_NEWEST;
        }
        let (id, admitted, arrived) = (request.id, self.admits(&request), self.now);
        self.held.insert(id, Held { request, arrived, attempts: Vec::new(), life: Life::Open });
        if admitted { self.place(id) } else { self.give_up(id) }
    }

    /// A request's class and tenant, as positions in the groups.
    fn groups_of(&self, request: &Request) -> [Option<usize>; 2] {
        [Some(request.class.0), request.tenant.map(|t| self.config.classes.len() + t.0)]
    }

    /// Whether a class or tenant misses nearly always where another one does not.
    /// Danger: requests that wait for something of their own hold all slots until every one misses.
    /// What else: clients that give up too early. Harm: the few that would have made it.
    fn hopeless(&self, group: usize) -> bool {
        let (classes, tenants) = self.groups.split_at(self.config.classes.len());
        let others = if group < classes.len() { classes } else { tenants };
        self.groups[group].missed > HOPELESS && others.iter().any(|g| g.missed < HOPELESS / 2.0)
    }

    /// Refusal early: of hopeless requests but a few; under overload beyond the limit on open requests, which
    /// follows how late answers come, classes of less worth and tenants beyond their share first.
    fn admits(&mut self, request: &Request) -> bool {
        let own = self.groups_of(request);
        if own.iter().flatten().any(|g| self.hopeless(*g)) && self.rng.f64() > TRICKLE {
            return false;
        }
        let most = self.config.classes.iter().map(|c| c.priority_weight).fold(1e-9, f64::max);
        let share = request.tenant.map_or(1.0, |t| self.config.tenants[t.0].share);
        let over = own[1].is_some_and(|g| self.groups[g].part > OVER_SHARE * share);
        let worth = self.config.classes[request.class.0].priority_weight / most;
        let worth = worth * if over { self.config.over_quota_weight } else { 1.0 };
        f64::from(self.open) < self.limit * (CHEAP_ROOM + (1.0 - CHEAP_ROOM) * worth)
    }

    /// Starts an attempt at an eligible machine; without one the request gets its answer at once.
    fn place(&mut self, id: RequestId) {
        let Some(mut held) = self.held.remove(&id) else { return };
        let now = self.now;
        let choice = self.choose(&held);
        let class = &self.config.classes[held.request.class.0];
        // An answer that earns nothing is not waited for: the work is better spent on others.
        let useful = if class.late_priority_weight > 0.0 {
            held.request.deadline
        } else {
            held.arrived + class.latency_objective
        };
        let cut = useful < held.request.deadline && !class.streamed;
        if let Some(machine) = choice {
            let (entry, class) = (self.machines[&machine].entry, held.request.class);
            let (build, warmth) = (entry.build, self.warmth(&entry));
            let cold = self.cold_budget(&self.machines[&machine]).map(|b| (b.0, self.work(&held.request)));
            if let Some(m) = self.machines.get_mut(&machine) {
                m.open += 1;
                if let Some((earned, work)) = cold {
                    m.cold_work.push_back((now, work));
                    m.cold_paid = m.cold_paid.max(earned) + work;
                }
            }
            self.record(build).attempts.add(now, class);
            held.attempts.push(Attempt { machine, build, sent: now, warmth, late: false, outcome: None });
            self.open += 1;
            let time_out = cut.then(|| useful.saturating_sub(now).max(MS));
            self.out.push(Action::Forward { id, endpoint: machine, timeout: time_out });
        }
        self.held.insert(id, held);
        choice.is_none().then(|| self.give_up(id));
    }

    fn done(&mut self, done: &AttemptResult) {
        let &AttemptResult { id, attempt, outcome, latency: lag, request_finished: over, .. } = done;
        let Some(mut held) = self.held.remove(&id) else { return };
        if let Some(tried) = held.attempts.get_mut(attempt).filter(|a| a.open()) {
            tried.outcome = Some(outcome);
            self.learn(&held.request, &held.attempts[attempt], outcome, lag);
        }
        let in_flight = held.attempts.iter().any(|a| a.open());
        let aim = self.config.classes[held.request.class.0].latency_objective;
        let useful = self.now + self.config.resolution < held.request.deadline.min(held.arrived + aim);
        let more = held.attempts.len() < self.config.max_attempts && useful && self.retries >= 1.0;
        let (over, begun) = (over || held.life == Life::Over, held.life == Life::Begun);
        self.held.insert(id, held);
        if over {
            self.end(id);
        } else if in_flight || begun {
        } else if more {
            self.retries -= 1.0;
            self.place(id);
        } else {
            self.give_up(id);
        }
    }

    /// What the end of an attempt tells: of its machine, of how full the fleet is, and of its build.
    fn learn(&mut self, request: &Request, tried: &Attempt, outcome: Outcome, lag: Micros) {
        let &Attempt { machine, build, sent, warmth, late, .. } = tried;
        let cold = warmth.is_some();
        self.open = self.open.saturating_sub(1);
        let Some(m) = self.machines.get_mut(&machine) else { return };
        m.open = m.open.saturating_sub(1);
        let EndpointRecord { kind, zone, .. } = m.entry;
        if matches!(outcome, Outcome::Cancelled | Outcome::NotSent) {
            return;
        }
        if outcome == Outcome::Success && !cold {
            self.carried.entry(kind).or_default().served += self.work(request);
        }
        let used = lag as f64 / self.config.classes[request.class.0].latency_objective.max(1) as f64;
        // A quick refusal is no quick answer, a stalled machine no full fleet, a lost connection nothing.
        let used = if outcome == Outcome::Success { used.min(1.0) } else { 1.0 };
        let silent = late || matches!(outcome, Outcome::ConnectFailed | Outcome::ConnectionLost);
        self.time_used += (used - self.time_used) * if silent { 0.0 } else { TIME_NEWEST };
        if matches!(outcome, Outcome::Success | Outcome::TimedOut) {
            let missed = f64::from(u8::from(used >= 1.0));
            for group in self.groups_of(request).into_iter().flatten() {
                self.groups[group].missed += (missed - self.groups[group].missed) * NEWEST;
            }
        }
        let value = (lag.max(1) as f64 / request.work_hint.map_or(1.0, |h| h.max(1) as f64)).ln();
        // What is usual is learnt before a trial, lest what the trial does to the fleet becomes usual.
        let trial = self.news.filter(|n| n.phase == RolloutPhase::OnTrial).map(|n| n.build);
        let on_trial = self.on_trial(build);
        let teaches = outcome == Outcome::Success && !cold && !on_trial;
        let [of_all, of_kind] = [None, Some(kind)].map(|kind| {
            let usual = self.usual.entry((request.class, kind)).or_default();
            if teaches && (trial.is_none() || usual.count < LEARNT) {
                usual.add(self.now, value, 0.5 / f64::from(LEARNT), Micros::MAX);
            }
            (usual.count >= JUDGED_FROM as u32).then_some(value - usual.mean)
        });
        self.machine_outcome(machine, outcome, of_all.unwrap_or(0.0));
        let timed = match outcome {
            Outcome::Success | Outcome::TimedOut => of_kind,
            Outcome::ConnectFailed => Some(FAULT_PACE),
            _ => None,
        };
        let slower = timed.filter(|_| !cold);
        let pace = self.paces.entry(zone).or_default();
        slower.filter(|_| !on_trial).into_iter().for_each(|s| pace.add(self.now, s, TIME_NEWEST, ALIVE));
        // A cold machine's time-outs say nothing of its build, and it is taken for as slow as it may be.
        if matches!(outcome, Outcome::Success | Outcome::Error) || outcome == Outcome::TimedOut && !cold {
            // At the last stage the earlier machines are being emptied and no measure any more.
            let last = self.news.is_none_or(|n| n.stage + 1 >= self.config.rollout.stages.len());
            let known = on_trial && !last && pace.count >= JUDGED_FROM as u32 && pace.at + ALIVE > self.now;
            let excess = timed.filter(|_| known).map(|t| t + warmth.unwrap_or(1.0).ln() - pace.mean);
            let seen = Seen { at: self.now, outcome, slower, excess, machine };
            self.record(build).add(request.class, seen, sent, KEPT);
            if let Some(record) = trial.filter(|t| build < *t).and_then(|t| self.records.get_mut(&t))
                && let (Some((since, _)), Some(slower)) = (record.suspected, slower)
                && sent.saturating_sub(since) % SUSTAINED >= SETTLE
            {
                record.steps[((sent - since) / SUSTAINED).min(1) as usize].push((machine, slower));
            }
        }
        let binds = self.config.rollout.forward_only_keys && outcome == Outcome::Success && on_trial;
        self.answered_keys.extend(request.key.filter(|_| binds).map(|key| (key, build)));
    }

    /// The final answer, at once: rejected where the rules allow it, with advice when to come back.
    fn give_up(&mut self, id: RequestId) {
        let Some(held) = self.held.get(&id) else { return };
        let ran = held.may_have_run();
        let Class { idempotency: effect, latency_objective: aim, .. } =
            self.config.classes[held.request.class.0];
        let repeats =
            matches!(effect, Idempotency::Idempotent | Idempotency::Keyed { scope: KeyScope::All, .. });
        let soon = (aim as f64 * COME_BACK * (0.5 + self.rng.f64())) as Micros;
        let come_back = self.config.retry_after.map(|most| soon.min(most));
        self.out.push(if repeats || !ran {
            Action::Reject { id, retry_after: come_back }
        } else {
            Action::Fail(id)
        });
        self.end(id);
    }

    /// The request is over: attempts still out are withdrawn, and remembered until they end.
    fn end(&mut self, id: RequestId) {
        let Some(mut held) = self.held.remove(&id) else { return };
        let open = held.attempts.iter().enumerate().filter(|(_, a)| a.open());
        if self.config.cancellation && !matches!(held.life, Life::Begun | Life::Over) {
            self.out.extend(open.clone().map(|(attempt, _)| Action::Cancel { id, attempt }));
        }
        if open.count() > 0 {
            held.life = Life::Over;
            self.held.insert(id, held);
        }
    }

    // ---- Housekeeping ----

    fn housekeeping(&mut self) {
        self.out.push(Action::SetTimer { after: TICK, token: 0 });
        self.look_at_load();
        self.judge();
        self.vote();
        if self.ask_at.is_some_and(|at| self.now >= at) {
            self.ask_at = Some(self.now + 2 * AGAIN_MOST); // lest the answer is lost
            self.out.push(Action::WatchEndpoints(true));
        }
        // What has not come by its aim is late, and counts then. Danger: where late answers are worth waiting
        // for, a full fleet would show as late as they come, and be sent more until then.
        for held in self.held.values_mut() {
            let late = held.newly_late(self.now, self.config.classes[held.request.class.0].latency_objective);
            self.time_used = 1.0 - (1.0 - self.time_used) * (1.0 - TIME_NEWEST).powi(late);
        }
        if self.time_used > FULL_TIME {
            let least = LEAST_OPEN * self.listed.len() as f64 / f64::from(self.config.instance_count);
            let least = least.max(LEAST_USUAL * self.usual_open);
            self.limit = (self.limit.min(f64::from(self.open)) * (1.0 - LIMIT_STEP)).max(least).max(1.0);
        } else if self.time_used < FREE_TIME {
            self.usual_open += (f64::from(self.open) - self.usual_open) * (TICK as f64 / CARRIED as f64);
            self.limit = (self.limit * (1.0 + LIMIT_STEP)).min(MOST_OPEN);
        }
        (self.records.len() > RECORDS).then(|| self.records.pop_first());
    }

    /// What a front decides of a build it always logs; what all fronts see alike, a few of them tell.
    fn log(&mut self, always: bool, words: impl FnOnce() -> String) {
        self.out.extend((always || self.tells).then(|| Action::Log(words())));
    }
}

/// What is left of a machine's pace after so long without an outcome.
fn faded_after(span: Micros) -> f64 {
    0.5_f64.powf(span as f64 / FORGET as f64)
}

/// Whether a failure shows on most machines of a build, each by its mean over a bar.
/// Danger: machines with quick errors, a neighbour or a crash among many fail a good build. Harm: a build
/// that is bad on fewer than half of its machines goes on.
fn breadth(seen: impl Iterator<Item = (EndpointId, f64)>, over: f64) -> Mark {
    let machines = means(seen);
    let over = machines.iter().filter(|mean| **mean > over).count();
    if over * 2 > machines.len() { Mark::Fail } else { Mark::Pass }
}

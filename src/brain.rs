//! Every decision of garnetcrank and every tuned constant. What goes in and out is in `src/interface.rs`,
//! the plain data kept in between in `src/state.rs`. The mechanism is that of docs/design.md.

use std::collections::{BTreeMap, VecDeque};

use fastrand::Rng;

use crate::interface::*;
use crate::state::*;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000 * MS;

// The record of a build (docs/design.md).
const RECENT: usize = 20; // outcomes a class is judged by: older ones say what was, not what is
const JUDGED_FROM: usize = 10; // outcomes below which a class is unjudged: a verdict on less is chance
const MARGIN: f64 = 0.1; // by how much a share of failures must exceed the earlier build's
const RECOVERED: f64 = 0.5; // part of a bar that a failure must fall under to end: no flicker about the bar
const SUSTAINED: Micros = 3 * SECOND; // how long a class must stay failed; also the soak after a start
const RENEW: Micros = 4 * SECOND; // renewal of a standing verdict, unless its life asks for an earlier one
const LEARNT: u32 = 100; // outcomes after which what is usual is learnt no more while a trial runs
const RECORDS: usize = 4; // builds remembered: the newest, the one before, and any taken off between
const KEPT: usize = 60; // outcomes kept a class, for the earlier build's share and for breadth
const ALIVE: Micros = 4 * SECOND; // the earlier build can be compared with for so long after an outcome
const SLOWER: f64 = 0.3; // logarithm by which a build must surely be slower to fail by its times: 1.35
const SURELY: f64 = 2.5; // standard errors taken off a difference before it counts
const SPREAD: f64 = 0.2; // logarithm by which good machines of a kind differ, by speed and by others' load
const LONE: u64 = 3; // evidence of one machine alone must stay failed this many times as long

const DOSE: std::ops::Range<f64> = 0.1..0.5; // shares of the fleet at which withholding a build can tell
const SETTLE: Micros = 1_500 * MS; // how long the fleet takes to show that a build is withheld, or is back
const RAISED: f64 = 0.4; // logarithm by which the fleet's times must surely rise to suspect the build
const IN_STEP: f64 = 0.33; // share of that rise that must go when it is withheld, and come back with it

// Votes.
const VOTE_AGAIN: Micros = 250 * MS; // first wait after a vote that did not count, doubled each time ...
const VOTE_PATIENCE: Micros = 2 * SECOND; // ... up to this: all instances share the platform's rate

// Machines.
const ASK_FIRST: Micros = SECOND; // mean wait before the fleet list is asked for again, doubled each time ...
const ASK_MOST: Micros = 4 * SECOND; // ... up to this: one registry serves all instances
const NEWEST: f64 = 0.15; // weight of the newest outcome in a machine's pace and fault share
const FORGET: f64 = 0.9965; // a pace fades so each tick, by half in 5 s: a slow machine is tried again
const EJECT_ABOVE: f64 = 0.5; // smoothed fault share above which a machine is ejected: five in a row
const EJECT_AGAIN: f64 = 0.45; // fault share on the way back: one more fault is enough to leave again
const EJECT_FIRST: Micros = SECOND; // first ejection, doubled with each in a row ...
const EJECT_MOST: Micros = 8 * SECOND; // ... up to this
const FAULT_PACE: f64 = 1.1; // a fault counts as this slow (logarithm): quick errors must draw no traffic
const CROSSING: f64 = 2.5; // how much heavier a machine in another zone counts where crossing has a price
const UNKNOWN_WORK: f64 = 50.0 * MS as f64; // work of a request while no hint or time is known
const COLD_USE: f64 = 0.9; // part of a cold machine's budget that is used: hints are rough, bursts chance

// Requests.
const ON_THE_WAY: Micros = 100 * MS; // a keyed repeat must arrive while the first is still remembered
const RETRY_EARNED: f64 = 0.1; // retries earned by a request: a retry storm stays a tenth of the traffic
const RETRY_SAVED: f64 = 10.0; // most retries saved up
const FULL_TIME: f64 = 0.55; // mean time over aim above which fewer requests are let in: queues build up
const FREE_TIME: f64 = 0.45; // and below which more are
const TIME_NEWEST: f64 = 0.05; // weight of the newest outcome in that mean
const TENANT_NEWEST: f64 = 0.01; // weight of the newest request in a tenant's part of the traffic
const OVER_SHARE: f64 = 1.25; // multiple of its share from which a tenant is served after the others
const LIMIT_STEP: f64 = 0.01; // by how much the limit moves a tick: quicker, it swings
const LEAST_OPEN: f64 = 4.0; // lowest limit, lest too few outcomes tell that room is back ...
const LEAST_EACH: f64 = 2.0; // ... and so many for each machine, over the fronts
const MOST_OPEN: f64 = 1e6; // highest limit, from which it still falls in time
const CHEAP_ROOM: f64 = 0.7; // part of the limit open to requests worth nothing; the dearest use all
const COME_BACK: f64 = 0.2; // share of the aim after which a refused client should try again, on average
const TICK: Micros = 25 * MS; // housekeeping period: votes, waiting requests, the limit
const LOG_GAP: Micros = 5 * SECOND; // shortest gap between log lines of one kind

/// The decisions of one instance: a state machine over events and the clock that comes with them.
#[derive(Default)]
pub struct Brain {
    config: Config,
    rng: Rng,
    now: Micros,
    out: Vec<Action>,
    started: bool,
    machines: BTreeMap<MachineId, Machine>,
    ask_at: Option<Micros>,
    ask_wait: Micros,
    news: Option<Stage>,
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
    waiting: VecDeque<RequestId>,
    retries: f64,
    open: u32,
    limit: f64,
    time_used: f64, // smoothed time over aim of all outcomes
    usual: BTreeMap<(ClassId, Option<KindId>), (f64, u32)>, // logarithm of time over hint, and how many
    tenant_rate: Vec<f64>,
    logged: BTreeMap<&'static str, Micros>,
}

impl Brain {
    /// A new instance that knows nothing but its settings.
    pub fn new(seed: u64, config: Config) -> Self {
        // A tick short, as attempts are counted a tick long: rounding never favours us.
        let span = config.rollout.window.saturating_sub(config.resolution);
        Brain {
            rng: Rng::with_seed(seed),
            ask_wait: ASK_FIRST,
            requests: Window::new(span, config.classes.len()),
            vote_wait: VOTE_AGAIN,
            retries: RETRY_SAVED,
            limit: f64::INFINITY,
            tenant_rate: vec![0.0; config.tenants.len()],
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
            self.ask_at = self.config.ask_for_fleet.then_some(now);
        }
        match event {
            Event::Fleet(news) => self.fleet(news),
            Event::Request(request) => self.request(request),
            Event::Begun { id, .. } => drop(self.held.entry(id).and_modify(|h| h.life = Life::Begun)),
            Event::Done(done) => self.done(&done),
            Event::Gone(id) => self.end(id),
            Event::Timer(_) => self.housekeeping(),
            Event::Stage(stage) => self.stage(stage),
            Event::Voted(ballot, stage) => self.voted(ballot, stage),
            Event::Flagged { machine, class, age } => {
                let seen = Seen { at: now, outcome: Outcome::Error, slower: None, machine };
                if let Some(build) = self.machines.get(&machine).map(|m| m.entry.build) {
                    self.put_on_record(class, build, seen, now.saturating_sub(age));
                }
            }
            Event::Tally { .. } | Event::Probed { .. } | Event::Peer { .. } => {}
        }
        out.append(&mut self.out);
    }

    // ---- Fleet and health view ----

    fn fleet(&mut self, news: Fleet) {
        let (entries, saved) = match news {
            Fleet::Unreachable => {
                let wait = self.ask_wait / 2 + self.rng.u64(0..self.ask_wait);
                self.ask_at = self.config.ask_for_fleet.then_some(self.now + wait);
                self.ask_wait = (self.ask_wait * 2).min(ASK_MOST);
                return;
            }
            Fleet::Changes(entries) => (entries, false),
            Fleet::Whole { entries, saved } => {
                self.machines.values_mut().for_each(|m| m.listed = false);
                (entries, saved)
            }
        };
        if !saved {
            (self.ask_at, self.ask_wait) = (None, ASK_FIRST);
        }
        for entry in entries {
            self.record(entry.build);
            let fresh = || Machine { entry, ejection: EJECT_FIRST, ..Machine::default() };
            let machine = self.machines.entry(entry.machine).or_insert_with(fresh);
            if machine.entry.started != entry.started || machine.entry.build != entry.build {
                // Another process: what was known of the earlier one is void, what is in flight is not.
                *machine = Machine { open: machine.open, ..fresh() };
            }
            machine.entry = entry;
            let listed = entry.presence == Presence::On;
            self.replaced = if machine.listed != listed { self.now } else { self.replaced };
            machine.listed = listed;
        }
        self.machines.retain(|_, m| m.listed || m.open > 0);
    }

    /// How much of its capacity a machine surely has; none: long warm.
    fn warmth(&self, entry: &Entry) -> Option<f64> {
        let risen = self.now.saturating_sub(entry.started?) as f64 / self.config.warm_after.max(1) as f64;
        (risen < 1.0).then_some(self.config.cold_from + (1.0 - self.config.cold_from) * risen)
    }

    /// Expected work of a request: its hint, else the usual time of its class (which errs upwards).
    fn work(&self, request: &Request) -> f64 {
        let usual = || self.usual.get(&(request.class, None)).map_or(UNKNOWN_WORK, |u| u.0.exp());
        request.hint.map_or_else(usual, |h| h as f64)
    }

    /// Notes what an attempt tells of its machine: its pace, its faults, and whether to eject it.
    fn machine_outcome(&mut self, id: MachineId, outcome: Outcome, slower: f64) {
        let now = self.now;
        let trial = self.machines.get(&id).is_some_and(|m| self.on_trial(m.entry.build));
        let Some(machine) = self.machines.get_mut(&id) else { return };
        let fault = outcome != Outcome::Served;
        let sample = if fault { slower.max(FAULT_PACE) } else { slower };
        machine.pace += (sample - machine.pace) * NEWEST;
        machine.faults += (f64::from(u8::from(fault)) - machine.faults) * NEWEST;
        // A machine that can't be reached costs a connect time-out a try: out at once. One that fails goes
        // once it fails most; not one of a build on trial, whose failures are the judge's evidence.
        let dead = matches!(outcome, Outcome::Unreached | Outcome::Broken);
        let failing = machine.faults > EJECT_ABOVE && !trial;
        if !fault {
            machine.ejection = EJECT_FIRST;
        } else if (dead || failing) && now >= machine.ejected_until {
            let span = machine.ejection;
            machine.ejected_until = now + span;
            machine.dead = dead;
            machine.ejection = (span * 2).min(EJECT_MOST);
            machine.faults = EJECT_AGAIN;
            self.log("eject", || format!("ejected machine {} for {} ms: {outcome:?}", id.0, span / MS));
        }
    }

    // ---- The per-build record and its verdict ----

    /// Whether a build is on trial for this instance: the newest until told released, and any later one.
    fn on_trial(&self, build: Build) -> bool {
        match self.news {
            Some(news) => build > news.build || (build == news.build && news.phase != Phase::Released),
            None => self.records.keys().next().is_some_and(|first| build > *first),
        }
    }

    fn record(&mut self, build: Build) -> &mut Record {
        let classes = self.config.classes.len();
        let (born, span) = (self.now, self.config.rollout.window + self.config.resolution);
        self.records.entry(build).or_insert_with(|| Record {
            state: State::Soaking,
            born,
            last_seen: 0,
            suspected: None,
            cleared: None,
            steps: Default::default(),
            seen: vec![VecDeque::new(); classes + 1],
            marks: vec![Mark::Unjudged; classes + 3],
            failing_since: vec![None; classes + 3],
            attempts: Window::new(span, classes),
        })
    }

    /// The build that a trial is measured against: the newest earlier one with outcomes of its own.
    fn earlier(&self, build: Build) -> Option<&Record> {
        let served = |r: &&Record| r.last_seen > 0 && r.state != State::Failed;
        self.records.range(..build).rev().map(|(_, r)| r).find(served)
    }

    fn put_on_record(&mut self, class: ClassId, build: Build, seen: Seen, sent: Micros) {
        let record = self.record(build);
        if sent < record.born {
            return;
        }
        record.last_seen = seen.at;
        for of in [class.0, record.seen.len() - 1] {
            let ring = &mut record.seen[of];
            ring.push_back(seen);
            (ring.len() > KEPT).then(|| ring.pop_front());
        }
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
        let (n, lates, bar) = (seen.len().min(RECENT), share(seen, RECENT, late), self.bar(record, class));
        let surely = (lates - SURELY * (lates / n as f64).sqrt()).max(0.0);
        match n >= JUDGED_FROM {
            false => Mark::Unjudged,
            true if share(seen, RECENT, wrong) + surely <= before + MARGIN * bar => Mark::Pass,
            true => breadth(seen.iter().map(|s| (s.machine, f64::from(u8::from(failed(s))))), 0.0),
        }
    }

    fn bar(&self, record: &Record, mark: usize) -> f64 {
        if matches!(record.marks[mark], Mark::Fail { .. }) { RECOVERED } else { 1.0 }
    }

    fn times(&self, record: Option<&Record>) -> Vec<(MachineId, f64)> {
        let seen = record.into_iter().flat_map(|r| r.seen.iter().take(self.config.classes.len()).flatten());
        seen.filter(|s| s.at + ALIVE > self.now).filter_map(|s| Some((s.machine, s.slower?))).collect()
    }

    /// Marks a build's times, all classes together: each outcome as its logarithm over the usual of its
    /// class and kind, cold machines left out, beside the earlier build's of the same moments.
    /// Danger: a build that is only slow passes by its errors until it takes the fleet down.
    fn judge_times(&self, record: &Record, old: Level) -> Mark {
        let times = self.times(Some(record));
        let new = Level::of(&times);
        // However many outcomes, a build's few machines may be slow ones.
        let spread = SPREAD * (1.0 / new.machines + 1.0 / old.machines).sqrt();
        let error = new.error.hypot(old.error).hypot(spread);
        match new.count.min(old.count) >= RECENT {
            false => Mark::Unjudged,
            true if new.mean - old.mean - SURELY * error <= SLOWER => Mark::Pass,
            true => breadth(times.into_iter(), old.mean + SLOWER),
        }
    }

    /// Marks a build by what it does to the machines of the earlier one. Once these are surely much slower
    /// than before the trial, the clock is held and the build withheld for the sustained time: a rise that
    /// goes, and comes back with the build, is its doing; any other is a trouble of the fleet. All fronts
    /// see the rise at about the same time, so that they withhold together without a word to each other.
    /// Danger: a build that slows old and new alike looks no worse than the earlier one. Harm: 3 s of hold
    /// on a good build; a trouble that comes and goes within seconds.
    fn judge_fleet(&mut self, stage: Stage, old: Level) -> Mark {
        let (now, build) = (self.now, stage.build);
        let dose = self.config.rollout.stages.get(stage.stage).is_some_and(|s| DOSE.contains(s));
        let Some(record) = self.records.get(&build).filter(|_| stage.phase == Phase::Trial && dose) else {
            return Mark::Unjudged;
        };
        let Some((since, raised)) = record.suspected else {
            let raised = old.count >= RECENT && old.mean - SURELY * old.error > RAISED;
            let settled = self.replaced > self.staged && now > self.replaced + SETTLE;
            if raised && settled && record.cleared != Some(stage.stage) {
                let record = self.record(build);
                (record.suspected, record.steps) = (Some((now, old.mean)), Default::default());
                self.log("suspect", || format!("all machines slower: withholding build {} for 3 s", build.0));
            }
            return Mark::Unjudged;
        };
        let last = |step: &Vec<_>| Level::of(&step[step.len().saturating_sub(KEPT)..]);
        let [without, with] = record.steps.each_ref().map(last);
        let (age, void, least) = (now - since, self.replaced > since, IN_STEP * raised);
        // Machines that come or go change the times by themselves: such a test tells nothing.
        if age < SUSTAINED || void {
            self.record(build).suspected = Some((since, raised)).filter(|_| !void);
            return Mark::Unjudged;
        }
        if without.count >= RECENT && raised - without.mean > least && age < 2 * SUSTAINED {
            let surely = SURELY * with.error.hypot(without.error);
            let back = with.count >= RECENT && with.mean - without.mean > least.max(surely);
            return if back { Mark::Fail { lone: false } } else { Mark::Unjudged };
        }
        let record = self.record(build);
        (record.suspected, record.cleared) = (None, Some(stage.stage));
        self.log("clear", || {
            format!("build {} cleared: {raised:.2} with it, {:.2} without", build.0, without.mean)
        });
        Mark::Pass
    }

    /// Brings the record of the newest build up to date: marks, failure timers, state.
    fn judge(&mut self) {
        let Some(news) = self.news.filter(|n| n.phase.stands()) else { return };
        let (now, build, classes) = (self.now, news.build, self.config.classes.len());
        let old = Level::of(&self.times(self.earlier(build)));
        let fleet = self.judge_fleet(news, old);
        let Some(record) = self.records.get(&build).filter(|r| r.state == State::Soaking) else { return };
        let earlier = self.earlier(build);
        let mut marks: Vec<Mark> = (0..=classes).map(|c| self.judge_class(record, earlier, c)).collect();
        // One class failing where another passes is the build, not the machine.
        let passes = marks.contains(&Mark::Pass);
        marks.extend([self.judge_times(record, old), fleet]);
        let record = self.record(build);
        let mut sustained = None;
        for (i, mark) in marks.into_iter().enumerate() {
            record.marks[i] = mark;
            let Mark::Fail { lone } = mark else {
                record.failing_since[i] = None;
                continue;
            };
            // What the fleet showed has been running since the build was suspected.
            let began = record.suspected.filter(|_| i > classes + 1).map_or(now, |s| s.0);
            let since = *record.failing_since[i].get_or_insert(began);
            let doubted = lone && !(i < classes && passes);
            if now - since >= if doubted { LONE * SUSTAINED } else { SUSTAINED } {
                sustained = Some(i);
            }
        }
        if let Some(i) = sustained {
            record.state = State::Failed;
            let other = ["all classes together", "its times", "the fleet's times"][i.saturating_sub(classes)];
            let what = self.config.classes.get(i).map_or(other, |c| &c.name).to_owned();
            self.log("verdict", || format!("build {}: {what} stayed failed, voting back", build.0));
        }
    }

    // ---- Voting ----

    fn stage(&mut self, stage: Stage) {
        let before = self.news.replace(stage);
        self.record(stage.build);
        let state = |s: Stage| (s.build, s.stage, s.phase);
        if before.map(state) != Some(state(stage)) {
            self.staged = self.now;
            let Stage { build, stage, phase, cap, .. } = stage;
            self.log("news", || format!("build {} stage {stage}: {phase:?}, cap {cap}", build.0));
        }
        self.recount_at = match before.filter(|b| b.build == stage.build) {
            Some(before) if stage.cap < before.cap => Some(self.now + self.config.drain_grace),
            Some(before) if stage.cap == before.cap => self.recount_at,
            _ => None,
        };
    }

    /// What this instance would have the platform do, if anything.
    fn wish(&self) -> Option<Vote> {
        let news = self.news.filter(|n| n.phase.stands())?;
        let record = self.records.get(&news.build)?;
        let vote = |verdict| Some(Vote { build: news.build, stage: news.stage, verdict });
        let timer = self.config.rollout.mode == VoteMode::Timer;
        if record.state == State::Failed {
            return vote(Verdict::Back);
        }
        if news.phase == Phase::Released {
            return None;
        }
        let failing = record.failing_since.iter().flatten().min();
        if record.suspected.is_some() || failing.is_some() {
            // Past the sustained time a failure still open rests on one machine: the clock goes on, so
            // that the next stage brings another machine to tell.
            let holds = record.suspected.is_some() || failing.is_some_and(|s| self.now - s <= SUSTAINED);
            return if timer && holds { vote(Verdict::Hold) } else { None };
        }
        let judged = record.marks[..self.config.classes.len()].iter().any(|m| *m != Mark::Unjudged);
        let trial = self.machines.values().filter(|m| m.listed && m.entry.build == news.build);
        let latest = trial.filter_map(|m| m.entry.started).max().unwrap_or(record.born);
        if judged && !timer && self.now >= latest + SUSTAINED { vote(Verdict::On) } else { None }
    }

    fn vote(&mut self) {
        let (now, wait, life) = (self.now, self.config.rollout.vote_wait, self.config.rollout.vote_life);
        if let Some((_, at)) = self.pending {
            if now < at + 2 * wait {
                return;
            }
            self.pending = None;
            self.vote_later();
        }
        // The answer to a renewal must arrive while the vote still stands.
        let renew = RENEW.min(life.saturating_sub(wait + 4 * TICK).max(life / 2));
        let standing = self.standing.filter(|(_, at)| now < at + life);
        let vote = match (self.wish(), standing) {
            (Some(wish), Some((vote, at))) if wish == vote && now < at + renew => return,
            (Some(wish), _) => wish,
            // A hold that no failure backs any more is taken away, so that it costs no further delay.
            (None, Some((vote, _))) if vote.verdict == Verdict::Hold => {
                Vote { verdict: Verdict::None, ..vote }
            }
            (None, _) => return,
        };
        if now < self.vote_not_before {
            return;
        }
        self.pending = Some((vote, now));
        let Vote { build, stage, verdict } = vote;
        self.out.push(Action::Vote { build, stage, verdict });
        if standing.is_none_or(|(before, _)| before.verdict != verdict) {
            self.log("vote", || format!("vote {verdict:?} on build {} stage {stage}", build.0));
        }
    }

    fn vote_later(&mut self) {
        self.vote_not_before = self.now + self.vote_wait / 2 + self.rng.u64(0..self.vote_wait);
        self.vote_wait = (self.vote_wait * 2).min(VOTE_PATIENCE);
    }

    fn voted(&mut self, ballot: Ballot, stage: Option<Stage>) {
        if let Some((vote, at)) = self.pending.take() {
            match ballot {
                Ballot::Counted => {
                    self.vote_wait = VOTE_AGAIN;
                    self.standing = (vote.verdict != Verdict::None).then_some((vote, at));
                }
                // Not repeated at once: the stage has moved on, and news of it is on its way.
                Ballot::Moot => self.vote_not_before = self.now + VOTE_PATIENCE / 2,
                _ => self.vote_later(),
            }
        }
        if let Some(stage) = stage {
            self.stage(stage);
        }
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
        let (stage, cap) = match self.news.filter(|n| n.build == build) {
            Some(news) => (news.stage, news.cap),
            None => (0, rollout.caps.first().copied().unwrap_or(0.0)),
        };
        let safe = self.config.classes[class.0].effect == Effect::Safe;
        if cap <= 0.0 || (stage < rollout.guarded_stages && !safe) {
            return false;
        }
        let counted = rollout.by_class.then_some(class);
        let allowed = rollout.free + cap * self.requests.count(now, counted);
        self.record(build).attempts.count(now, counted) + 1.0 <= allowed
    }

    /// Rule 4: this front's part of a cold machine's budget, as if all fronts sent alike: the multiple of
    /// what one standard core surely does, over the fall window. Harm: a busy front can't use its
    /// neighbours' parts, so new machines fill slowly there.
    fn cold_allows(&mut self, id: MachineId, work: f64) -> bool {
        let Some(warmth) = self.machines.get(&id).and_then(|m| self.warmth(&m.entry)) else { return true };
        let (now, window) = (self.now, self.config.fall_window);
        let whole = self.config.fall_multiple * warmth * window as f64 * COLD_USE;
        let Some(machine) = self.machines.get_mut(&id) else { return false };
        while machine.cold_work.pop_front_if(|(at, _)| *at + window < now).is_some() {}
        let sent: f64 = machine.cold_work.iter().map(|(_, w)| w).sum();
        machine.cold_work.is_empty() || sent + work <= whole / f64::from(self.config.fronts)
    }

    /// Rule 2: whether a further attempt may go to this machine, given those before it.
    fn repeat_allows(&self, held: &Held, entry: &Entry) -> bool {
        let mut ran = held.attempts.iter().filter(|a| a.may_have_run());
        let Some(first) = ran.clone().map(|a| a.sent).min() else { return true };
        if !self.config.second_copies && held.attempts.iter().any(|a| a.open()) {
            return false;
        }
        match self.config.classes[held.request.class.0].effect {
            Effect::Safe => true,
            Effect::Once => false,
            Effect::Keyed { scope, window } => {
                let with = |a: &Attempt| {
                    self.machines.get(&a.machine).is_some_and(|m| match scope {
                        Scope::All => true,
                        Scope::Zone => m.entry.zone == entry.zone,
                        Scope::Cell => m.entry.cell == entry.cell,
                    })
                };
                self.now + ON_THE_WAY < first + window && (scope == Scope::All || ran.all(with))
            }
        }
    }

    /// A key that the trial build has answered goes to no earlier build, where the platform says so.
    fn key_allows(&self, key: Option<KeyId>, build: Build) -> bool {
        let answered = key.and_then(|k| self.answered_keys.get(&k));
        answered.is_none_or(|at| {
            let binds = |n: Stage| n.build == *at && n.phase.stands();
            build >= *at || !self.news.is_some_and(binds)
        })
    }

    /// All machines that the rules allow for this request: the good ones, those that health advises
    /// against, and those that could not be reached of late.
    fn eligible(&mut self, held: &Held) -> [Vec<MachineId>; 3] {
        let (class, work) = (held.request.class, self.work(&held.request));
        let mut exposure: BTreeMap<Build, bool> = BTreeMap::new();
        let [mut good, mut poor, mut dead] = [const { Vec::new() }; 3];
        let listed = self.machines.iter().filter(|(_, m)| m.listed);
        let listed: Vec<_> = listed.map(|(id, m)| (*id, m.entry, m.ejected_until, m.dead)).collect();
        for (id, entry, ejected_until, unreached) in listed {
            let build = entry.build;
            let exposed = *exposure.entry(build).or_insert_with(|| self.exposure_allows(build, class));
            let keys = self.key_allows(held.request.key, build) && self.repeat_allows(held, &entry);
            let rules =
                [("exposure", exposed), ("repeats", keys), ("cold machines", self.cold_allows(id, work))];
            if let Some((rule, _)) = rules.iter().find(|(_, kept)| !kept) {
                self.log(rule, || format!("the rule on {rule} keeps requests from machine {}", id.0));
                continue;
            }
            let (tried, ejected) = (held.attempts.iter().any(|a| a.machine == id), self.now < ejected_until);
            match tried || ejected || self.shunned(build) {
                false => good.push(id),
                true if ejected && unreached => dead.push(id),
                true => poor.push(id),
            }
        }
        [good, poor, dead]
    }

    /// A build that failed or is withheld is used only for want of others. A class that fails is still sent.
    fn shunned(&self, build: Build) -> bool {
        let withheld = |r: &Record| r.suspected.is_some_and(|(since, _)| self.now < since + SUSTAINED);
        self.records.get(&build).is_some_and(|r| r.state == State::Failed || withheld(r))
    }

    // ---- Server choice ----

    /// Power of two choices by requests in flight, for size, pace and zone. Machines that health advises
    /// against are left out unless that would leave less than half: then the trouble is not theirs. Those
    /// that can't be reached are used only for want of any other: no trouble makes them able to serve.
    fn choose(&mut self, held: &Held) -> Option<MachineId> {
        let [mut good, poor, dead] = self.eligible(held);
        if good.len() < poor.len() {
            good.extend(poor);
        }
        let good = if good.is_empty() { dead } else { good };
        let (a, b) = (self.rng.choice(&good)?, self.rng.choice(&good)?);
        Some(if self.load(*b) < self.load(*a) { *b } else { *a })
    }

    fn load(&self, id: MachineId) -> f64 {
        let machine = &self.machines[&id];
        let across = machine.entry.zone != self.config.zone && self.config.cross_zone_price > 0.0;
        let size = machine.entry.rating.max(0.01) * self.warmth(&machine.entry).unwrap_or(1.0);
        let waits = f64::from(machine.open + 1) * machine.pace.exp() / size;
        waits * if across { CROSSING } else { 1.0 }
    }

    // ---- Request life ----

    fn request(&mut self, request: Request) {
        self.requests.add(self.now, request.class);
        self.retries = (self.retries + RETRY_EARNED).min(RETRY_SAVED);
        for (i, rate) in self.tenant_rate.iter_mut().enumerate() {
            *rate += (f64::from(u8::from(request.tenant == Some(TenantId(i)))) - *rate) * TENANT_NEWEST;
        }
        let (id, admitted, arrived) = (request.id, self.admits(&request), self.now);
        self.held.insert(id, Held { request, arrived, attempts: Vec::new(), life: Life::Open });
        if admitted { self.place(id) } else { self.give_up(id) }
    }

    /// Refusal early under overload: beyond the limit on open requests, which follows how late answers
    /// come; the classes of less worth and tenants beyond their share go first.
    fn admits(&self, request: &Request) -> bool {
        let most = self.config.classes.iter().map(|c| c.worth).fold(1e-9, f64::max);
        let worth = self.config.classes[request.class.0].worth / most;
        let over = |t: TenantId| self.tenant_rate[t.0] > OVER_SHARE * self.config.tenants[t.0].share;
        let worth = worth * if request.tenant.is_some_and(over) { self.config.over_share_worth } else { 1.0 };
        f64::from(self.open) < self.limit * (CHEAP_ROOM + (1.0 - CHEAP_ROOM) * worth)
    }

    /// Starts an attempt at an eligible machine; without one the request waits a little for one.
    fn place(&mut self, id: RequestId) {
        let Some(mut held) = self.held.remove(&id) else { return };
        let (now, choice, work) = (self.now, self.choose(&held), self.work(&held.request));
        let class = &self.config.classes[held.request.class.0];
        // An answer that earns nothing is not waited for: the work is better spent on others.
        let useful = if class.late_worth > 0.0 { held.request.deadline } else { held.arrived + class.aim };
        let cut = useful < held.request.deadline && !class.streamed;
        let patience = (held.arrived + class.aim / 2).min(held.request.deadline.saturating_sub(2 * TICK));
        if let Some(machine) = choice {
            let (entry, class) = (self.machines[&machine].entry, held.request.class);
            let (build, cold) = (entry.build, self.warmth(&entry).is_some());
            if let Some(m) = self.machines.get_mut(&machine) {
                m.open += 1;
                m.cold_work.extend(cold.then_some((now, work)));
            }
            self.record(build).attempts.add(now, class);
            held.attempts.push(Attempt { machine, build, sent: now, cold, outcome: None });
            held.life = Life::Open;
            self.open += 1;
            let time_out = cut.then(|| useful.saturating_sub(now).max(MS));
            self.out.push(Action::Place { id, machine, time_out });
        } else if now < patience {
            held.life = Life::Waiting;
            self.waiting.push_back(id);
        }
        self.held.insert(id, held);
        if choice.is_none() && now >= patience {
            self.log("nowhere", || "no machine may take a request: giving up".into());
            self.give_up(id);
        }
    }

    fn done(&mut self, done: &Done) {
        let &Done { id, attempt, outcome, lag, over, .. } = done;
        let Some(mut held) = self.held.remove(&id) else { return };
        if let Some(tried) = held.attempts.get_mut(attempt).filter(|a| a.open()) {
            tried.outcome = Some(outcome);
            self.learn(&held.request, &held.attempts[attempt], outcome, lag);
        }
        let in_flight = held.attempts.iter().any(|a| a.open());
        let ran = held.attempts.iter().any(|a| a.may_have_run());
        let Class { effect, aim, .. } = self.config.classes[held.request.class.0];
        let useful = self.now + self.config.resolution < held.request.deadline.min(held.arrived + aim);
        let more = held.attempts.len() < self.config.max_attempts && useful && self.retries >= 1.0;
        let (over, begun) = (over || held.life == Life::Over, held.life == Life::Begun);
        self.held.insert(id, held);
        if over {
            self.end(id);
        } else if in_flight || begun {
        } else if more && !(ran && effect == Effect::Once) {
            self.retries -= 1.0;
            self.place(id);
        } else {
            self.give_up(id);
        }
    }

    /// What the end of an attempt tells: of its machine, of how full the fleet is, and of its build.
    fn learn(&mut self, request: &Request, tried: &Attempt, outcome: Outcome, lag: Micros) {
        let &Attempt { machine, build, sent, cold, .. } = tried;
        self.open = self.open.saturating_sub(1);
        let Some(m) = self.machines.get_mut(&machine) else { return };
        m.open = m.open.saturating_sub(1);
        let kind = m.entry.kind;
        if matches!(outcome, Outcome::Withdrawn | Outcome::Unsent) {
            return;
        }
        let used = lag as f64 / self.config.classes[request.class.0].aim.max(1) as f64;
        // A quick refusal is no quick answer, one stalled machine no full fleet; a dead one tells nothing.
        let used = if outcome == Outcome::Served { used.min(1.0) } else { 1.0 };
        let weight = if outcome == Outcome::Unreached { 0.0 } else { TIME_NEWEST };
        self.time_used += (used - self.time_used) * weight;
        let value = (lag.max(1) as f64 / request.hint.map_or(1.0, |h| h.max(1) as f64)).ln();
        // What is usual is learnt before a trial, lest what the trial does to the fleet becomes usual.
        let trial = self.news.filter(|n| n.phase == Phase::Trial).map(|n| n.build);
        let teaches = outcome == Outcome::Served && !cold && !self.on_trial(build);
        let [of_all, of_kind] = [None, Some(kind)].map(|kind| {
            let usual = self.usual.entry((request.class, kind)).or_insert((value, 0));
            if teaches && (trial.is_none() || usual.1 < LEARNT) {
                usual.1 += 1;
                usual.0 += (value - usual.0) / f64::from(usual.1.min(2 * LEARNT));
            }
            (usual.1 >= JUDGED_FROM as u32).then_some(value - usual.0)
        });
        self.machine_outcome(machine, outcome, of_all.unwrap_or(0.0));
        // A cold machine is slow whatever it runs: its time-outs say nothing of the build.
        if matches!(outcome, Outcome::Served | Outcome::Error) || outcome == Outcome::TimedOut && !cold {
            let slower = of_kind.filter(|_| !cold && outcome != Outcome::Error);
            let seen = Seen { at: self.now, outcome, slower, machine };
            self.put_on_record(request.class, build, seen, sent);
            if let Some(record) = trial.filter(|t| build < *t).and_then(|t| self.records.get_mut(&t))
                && let (Some((since, _)), Some(slower)) = (record.suspected, slower)
                && sent.saturating_sub(since) % SUSTAINED >= SETTLE
            {
                record.steps[((sent - since) / SUSTAINED).min(1) as usize].push((machine, slower));
            }
            self.judge();
        }
        let binds = self.config.rollout.one_way && outcome == Outcome::Served && self.on_trial(build);
        self.answered_keys.extend(request.key.filter(|_| binds).map(|key| (key, build)));
    }

    /// The final answer, at once: rejected where the rules allow it, with advice when to come back.
    fn give_up(&mut self, id: RequestId) {
        let Some(held) = self.held.get(&id) else { return };
        let ran = held.attempts.iter().any(|a| a.may_have_run());
        let Class { effect, aim, .. } = self.config.classes[held.request.class.0];
        let refusable = match effect {
            Effect::Safe => true,
            Effect::Once => !ran,
            Effect::Keyed { scope, .. } => !ran || scope == Scope::All,
        };
        let soon = (aim as f64 * COME_BACK * (0.5 + self.rng.f64())) as Micros;
        let come_back = self.config.retry_advice.map(|most| soon.min(most));
        self.out.push(if refusable { Action::Refuse { id, come_back } } else { Action::Fail(id) });
        self.end(id);
    }

    /// The request is over: attempts still out are withdrawn, and remembered until they end.
    fn end(&mut self, id: RequestId) {
        let Some(mut held) = self.held.remove(&id) else { return };
        let open = held.attempts.iter().enumerate().filter(|(_, a)| a.open());
        if self.config.withdrawals && !matches!(held.life, Life::Begun | Life::Over) {
            self.out.extend(open.clone().map(|(attempt, _)| Action::Withdraw { id, attempt }));
        }
        if open.count() > 0 {
            held.life = Life::Over;
            self.held.insert(id, held);
        }
    }

    // ---- Housekeeping ----

    fn housekeeping(&mut self) {
        self.out.push(Action::SetTimer { after: TICK, token: 0 });
        self.machines.values_mut().for_each(|m| m.pace *= FORGET);
        self.judge();
        self.vote();
        for id in std::mem::take(&mut self.waiting) {
            if self.held.get(&id).is_some_and(|h| h.life == Life::Waiting) {
                self.place(id);
            }
        }
        if self.ask_at.is_some_and(|at| self.now >= at) {
            self.ask_at = Some(self.now + 2 * ASK_MOST); // lest the answer is lost
            self.out.push(Action::Subscribe(true));
        }
        if self.time_used > FULL_TIME {
            let each = LEAST_EACH * self.machines.len() as f64 / f64::from(self.config.fronts);
            self.limit =
                (self.limit.min(f64::from(self.open)) * (1.0 - LIMIT_STEP)).max(LEAST_OPEN.max(each));
            self.log("limit", || "answers come late: fewer requests let in".into());
        } else if self.time_used < FREE_TIME {
            self.limit = (self.limit * (1.0 + LIMIT_STEP)).min(MOST_OPEN);
        }
        (self.records.len() > RECORDS).then(|| self.records.pop_first());
    }

    fn log(&mut self, kind: &'static str, words: impl FnOnce() -> String) {
        let due = self.logged.get(kind).is_none_or(|at| self.now >= at + LOG_GAP);
        if due || matches!(kind, "verdict" | "vote" | "news") {
            self.logged.insert(kind, self.now);
            self.out.push(Action::Log(words()));
        }
    }
}

/// Whether a failure shows on most machines of a build, each by its mean over a bar.
/// Danger: machines with quick errors, a neighbour or a crash among many fail a good build. Harm: a build
/// that is bad on fewer than half of its machines goes on.
fn breadth(seen: impl Iterator<Item = (MachineId, f64)>, over: f64) -> Mark {
    let machines = means(seen);
    let over = machines.iter().filter(|mean| **mean > over).count();
    if over * 2 > machines.len() { Mark::Fail { lone: machines.len() == 1 } } else { Mark::Pass }
}

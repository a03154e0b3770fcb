//! Every decision of garnetcrank and every tuned constant; its types are in `src/interface.rs`.
//! The mechanism is that of docs/design.md: a fresh record per build on trial, judged by this
//! instance's own outcomes; votes held while a failure runs, back once it is sustained.

use std::collections::{BTreeMap, VecDeque};

use fastrand::Rng;

use crate::interface::*;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000 * MS;

// The record of a build (DESIGN).
/// Outcomes of a class that a verdict looks at: older ones say what was, not what is.
const RECENT: usize = 20;
/// Below this many outcomes a class is unjudged: a verdict on less is chance.
const JUDGED_FROM: usize = 10;
/// By how much a share of failures must exceed the earlier build's.
const MARGIN: f64 = 0.1;
/// How long a class must stay failed before the build is voted back; also the soak after a start.
const SUSTAINED: Micros = 3 * SECOND;
/// Renewal of a standing verdict, unless its life asks for an earlier one.
const RENEW: Micros = 4 * SECOND;
/// Outcomes kept a class for the earlier build's share and for the comparison of times.
const KEPT: usize = 60;
/// Outcomes left of the machines but the worst that still make evidence.
const OTHERS_FROM: usize = 5;
/// The earlier build counts as alive for this long after an outcome; times need it alive.
const ALIVE: Micros = 4 * SECOND;
/// How much slower (natural logarithm) a build must surely be to fail by its times: 1.35 times.
const SLOWER: f64 = 0.3;
/// Standard errors taken off a difference of times before it counts.
const SURELY: f64 = 2.5;
/// Lone evidence must stay failed this many times as long: the machine may be at fault.
const LONE: u64 = 3;

// Votes.
/// First wait before a vote that did not count is cast again, doubled each time up to `VOTE_PATIENCE`.
const VOTE_AGAIN: Micros = 250 * MS;
/// Longest such wait.
const VOTE_PATIENCE: Micros = 2 * SECOND;

// Machines.
/// Weight of the newest outcome in a machine's pace and fault share.
const NEWEST: f64 = 0.15;
/// A machine's pace is forgotten by half in this time, so that a slow one is tried again.
const FORGET: f64 = 5.0e6;
/// Fault share above which a machine is ejected.
const EJECT_ABOVE: f64 = 0.5;
/// Outcomes needed before that.
const EJECT_FROM: u32 = 5;
/// First ejection, doubled with each in a row up to `EJECT_MOST`.
const EJECT_FIRST: Micros = SECOND;
/// Longest ejection.
const EJECT_MOST: Micros = 8 * SECOND;
/// A failed attempt counts as this much slower (natural logarithm), so that quick errors draw no traffic.
const FAULT_PACE: f64 = 1.1;
/// How much heavier a machine across zones counts where crossing has a price.
const CROSSING: f64 = 1.5;
/// Part of a cold machine's budget that the fronts use together: hints are rough, bursts chance.
const COLD_USE: f64 = 0.6;

// Requests.
/// Retries earned by a request, and the most that can be saved up.
const RETRY_EARNED: f64 = 0.1;
/// Most retries saved up.
const RETRY_SAVED: f64 = 10.0;
/// Share of late outcomes above which the limit on open requests falls, and under which it rises.
const LATE_HIGH: f64 = 0.15;
/// See `LATE_HIGH`.
const LATE_LOW: f64 = 0.08;
/// Part of the limit that the class of least worth may use; the rest is kept for the dearer ones.
const CHEAP_ROOM: f64 = 0.7;
/// Housekeeping period: votes, held requests and the limit.
const TICK: Micros = 25 * MS;
/// Shortest gap between log lines of one kind.
const LOG_GAP: Micros = 5 * SECOND;

/// Attempts or requests of the last span, counted by class.
struct Window {
    span: Micros,
    log: VecDeque<(Micros, ClassId)>,
    counts: Vec<u32>,
}

impl Window {
    fn new(span: Micros, classes: usize) -> Self {
        Window { span, log: VecDeque::new(), counts: vec![0; classes] }
    }

    fn add(&mut self, now: Micros, class: ClassId) {
        self.log.push_back((now, class));
        self.counts[class.0] += 1;
    }

    /// What is left of the span that ends now; of one class, or of all.
    fn count(&mut self, now: Micros, class: Option<ClassId>) -> f64 {
        while let Some(&(at, class)) = self.log.front().filter(|(at, _)| at + self.span < now) {
            debug_assert!(at <= now);
            self.log.pop_front();
            self.counts[class.0] -= 1;
        }
        class.map_or(self.log.len() as f64, |c| f64::from(self.counts[c.0]))
    }

    fn clear(&mut self) {
        self.log.clear();
        self.counts.fill(0);
    }
}

struct Machine {
    entry: Entry,
    listed: bool,
    open: u32,
    /// Smoothed logarithm of how much slower than usual its answers are.
    pace: f64,
    paced_at: Micros,
    faults: f64,
    outcomes: u32,
    ejected_until: Micros,
    ejection: Micros,
    /// Work sent to it within the fall window, while it may be cold.
    cold_work: VecDeque<(Micros, f64)>,
}

#[derive(Clone, Copy)]
struct Seen {
    at: Micros,
    failed: bool,
    /// A time-out: blames the build only beside a living earlier one.
    timed_out: bool,
    /// Logarithm of how much slower than the usual for its class and kind; none where not comparable.
    slower: Option<f64>,
    machine: MachineId,
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum Mark {
    Unjudged,
    Pass,
    Fail { lone: bool },
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum State {
    Soaking,
    /// Sustained failure: voted back until the platform says that it goes.
    Failed,
}

/// What this instance knows of one build (RFC-0005's record, one per build on trial).
struct Record {
    state: State,
    born: Micros,
    /// Latest outcomes by class.
    seen: Vec<VecDeque<Seen>>,
    /// A mark a class, and one more for the build's times.
    marks: Vec<Mark>,
    failing_since: Vec<Option<Micros>>,
    last_seen: Micros,
    attempts: Window,
}

struct Attempt {
    machine: MachineId,
    build: Build,
    sent: Micros,
    cold: bool,
    open: bool,
    may_have_run: bool,
}

struct Held {
    request: Request,
    arrived: Micros,
    attempts: Vec<Attempt>,
    waiting: bool,
    begun: bool,
    over: bool,
}

#[derive(Clone, Copy, PartialEq)]
struct Vote {
    build: Build,
    stage: usize,
    verdict: Verdict,
}

/// The decisions of one instance: a state machine over events and the clock that comes with them.
pub struct Brain {
    config: Config,
    rng: Rng,
    started: bool,
    machines: BTreeMap<MachineId, Machine>,
    asked: Micros,
    ask_again: Option<Micros>,
    ask_wait: Micros,
    news: Option<Stage>,
    recount_at: Option<Micros>,
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
    late: f64,
    limited_at: Micros,
    /// Usual logarithm of time over hinted work, by class, and by class and kind.
    usual: BTreeMap<(ClassId, Option<KindId>), (f64, u32)>,
    tenant_rate: Vec<f64>,
    logged: BTreeMap<&'static str, Micros>,
}

impl Brain {
    /// A new instance that knows nothing but its settings.
    pub fn new(seed: u64, config: Config) -> Self {
        let classes = config.classes.len();
        Brain {
            rng: Rng::with_seed(seed),
            started: false,
            machines: BTreeMap::new(),
            asked: 0,
            ask_again: None,
            ask_wait: SECOND,
            news: None,
            recount_at: None,
            records: BTreeMap::new(),
            // A tick short, as attempts are counted a tick long: rounding never favours us.
            requests: Window::new(config.rollout.window.saturating_sub(config.resolution), classes),
            answered_keys: BTreeMap::new(),
            standing: None,
            pending: None,
            vote_not_before: 0,
            vote_wait: VOTE_AGAIN,
            held: BTreeMap::new(),
            waiting: VecDeque::new(),
            retries: RETRY_SAVED,
            open: 0,
            limit: f64::INFINITY,
            late: 0.0,
            limited_at: 0,
            usual: BTreeMap::new(),
            tenant_rate: vec![0.0; config.tenants.len()],
            logged: BTreeMap::new(),
            config,
        }
    }

    /// Takes one event and adds what is to be done to `out`.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        if !self.started {
            self.started = true;
            out.push(Action::SetTimer { after: TICK, token: 0 });
            if self.config.ask_for_fleet {
                self.ask(now, out);
            }
        }
        match event {
            Event::Fleet(news) => self.fleet(now, news),
            Event::Request(request) => self.request(now, request, out),
            Event::Begun { id, attempt } => self.begun(now, id, attempt),
            Event::Done { id, attempt, outcome, lag, over, .. } => {
                self.done(now, id, attempt, outcome, lag, over, out);
            }
            Event::Gone(id) => self.gone(id, out),
            Event::Timer(_) => {
                out.push(Action::SetTimer { after: TICK, token: 0 });
                self.housekeeping(now, out);
            }
            Event::Stage(stage) => self.stage(now, stage, out),
            Event::Voted(ballot, stage) => self.voted(now, ballot, stage, out),
            Event::Flagged { machine, class, age } => self.flagged(now, machine, class, age),
            Event::Tally { .. } | Event::Probed { .. } | Event::Peer { .. } => {}
        }
    }

    // ---- Fleet and health view ----

    fn fleet(&mut self, now: Micros, news: Fleet) {
        let entries = match news {
            Fleet::Unreachable => {
                // The registry serves all instances: ask again, later each time, never in step.
                let wait = self.ask_wait / 2 + self.rng.u64(0..self.ask_wait);
                self.ask_again = Some(now + wait);
                self.ask_wait = (self.ask_wait * 2).min(4 * SECOND);
                return;
            }
            Fleet::Changes(entries) => entries,
            Fleet::Whole { entries, .. } => {
                self.machines.values_mut().for_each(|m| m.listed = false);
                entries
            }
        };
        self.ask_wait = SECOND;
        for entry in entries {
            let listed = entry.presence == Presence::On;
            self.record(now, entry.build);
            let machine = self.machines.entry(entry.machine).or_insert_with(|| Machine::new(entry.clone()));
            if machine.entry.started != entry.started || machine.entry.build != entry.build {
                // Another process: what was known of the earlier one is void, what is in flight is not.
                *machine = Machine { open: machine.open, ..Machine::new(entry.clone()) };
            }
            machine.entry = entry;
            machine.listed = listed;
        }
        self.machines.retain(|_, m| m.listed || m.open > 0);
    }

    fn ask(&mut self, now: Micros, out: &mut Vec<Action>) {
        self.asked = now;
        self.ask_again = None;
        out.push(Action::Subscribe(true));
    }

    /// How much of its capacity a machine surely has; none: long warm.
    fn warmth(&self, now: Micros, entry: &Entry) -> Option<f64> {
        let age = now.saturating_sub(entry.started?);
        let risen = age as f64 / self.config.warm_after.max(1) as f64;
        (risen < 1.0).then(|| self.config.cold_from + (1.0 - self.config.cold_from) * risen)
    }

    /// Expected work of a request: its hint, else the usual time of its class (which errs upwards).
    fn work(&self, request: &Request) -> f64 {
        let usual = || self.usual.get(&(request.class, None)).map_or(50.0 * MS as f64, |u| u.0.exp());
        request.hint.map_or_else(usual, |h| h as f64)
    }

    /// Notes what an attempt tells of its machine: its pace, its faults, and whether to eject it.
    fn machine_outcome(
        &mut self,
        now: Micros,
        m: MachineId,
        outcome: Outcome,
        slower: f64,
        out: &mut Vec<Action>,
    ) {
        let trial = self.machines.get(&m).is_some_and(|m| self.on_trial(m.entry.build));
        let Some(machine) = self.machines.get_mut(&m) else { return };
        let fault = !matches!(outcome, Outcome::Served);
        let sample = if fault { slower.max(FAULT_PACE) } else { slower };
        machine.pace = machine.paced(now) * (1.0 - NEWEST) + sample * NEWEST;
        machine.paced_at = now;
        machine.faults = machine.faults * (1.0 - NEWEST) + NEWEST * f64::from(u8::from(fault));
        machine.outcomes += 1;
        // A machine that can't be reached costs a connect time-out a try: out at once. One that fails goes
        // once it fails most; not one of a build on trial, whose failures are the judge's evidence.
        let dead = matches!(outcome, Outcome::Unreached | Outcome::Broken);
        let failing = machine.faults > EJECT_ABOVE && machine.outcomes >= EJECT_FROM && !trial;
        if !fault && now > machine.ejected_until {
            machine.ejection = EJECT_FIRST;
        }
        if (dead || failing) && now >= machine.ejected_until {
            machine.ejected_until = now + machine.ejection;
            machine.ejection = (machine.ejection * 2).min(EJECT_MOST);
            // One more failure after the way back is enough to leave again, one success is not forgotten.
            machine.faults = EJECT_ABOVE * 0.9;
            let span = (machine.ejected_until - now) / MS;
            self.log(now, "eject", out, || format!("ejected machine {} for {span} ms: {outcome:?}", m.0));
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

    fn record(&mut self, now: Micros, build: Build) -> &mut Record {
        let (classes, window) =
            (self.config.classes.len(), self.config.rollout.window + self.config.resolution);
        self.records.entry(build).or_insert_with(|| Record {
            state: State::Soaking,
            born: now,
            seen: vec![VecDeque::new(); classes],
            marks: vec![Mark::Unjudged; classes + 1],
            failing_since: vec![None; classes + 1],
            last_seen: 0,
            attempts: Window::new(window, classes),
        })
    }

    /// The build that a trial is measured against: the newest earlier one with outcomes of its own.
    fn earlier(&self, build: Build) -> Option<&Record> {
        let known = self.records.range(..build).rev().map(|(_, r)| r);
        known.into_iter().find(|r| r.last_seen > 0 && r.state != State::Failed)
    }

    fn outcome_on_record(&mut self, now: Micros, class: ClassId, build: Build, seen: Seen, sent: Micros) {
        let record = self.record(now, build);
        if sent < record.born {
            return;
        }
        record.last_seen = now;
        record.seen[class.0].push_back(seen);
        if record.seen[class.0].len() > KEPT {
            record.seen[class.0].pop_front();
        }
    }

    /// Marks a class by the share of its failures over the last outcomes, against the earlier build's.
    /// Danger: one machine with quick errors, slow or crashed fails a good build. So where outcomes of
    /// several machines are there, those of the worst are left out. Harm: a build bad on one machine alone.
    fn judge_class(&self, now: Micros, build: Build, class: usize) -> Mark {
        let Some(record) = self.records.get(&build) else { return Mark::Unjudged };
        let earlier = self.earlier(build);
        let alive = earlier.is_some_and(|e| e.last_seen + ALIVE > now);
        // Without a living earlier build, time-outs may as well be a trouble of all machines.
        let failed = |s: &&Seen| s.failed && (alive || !s.timed_out);
        let share =
            |seen: &[&Seen]| seen.iter().filter(|s| failed(s)).count() as f64 / seen.len().max(1) as f64;
        let before = earlier.map_or(0.0, |e| share(&e.seen[class].iter().collect::<Vec<_>>()));
        let recent: Vec<&Seen> = record.seen[class].iter().rev().take(RECENT).collect();
        if recent.len() < JUDGED_FROM {
            return Mark::Unjudged;
        }
        if share(&recent) <= before + MARGIN {
            return Mark::Pass;
        }
        let Some((worst, lone)) = worst_machine(&recent, |s| f64::from(u8::from(failed(&s)))) else {
            return Mark::Unjudged;
        };
        let others: Vec<&Seen> = recent.into_iter().filter(|s| s.machine != worst).collect();
        match others.len() {
            _ if lone => Mark::Fail { lone: true },
            n if n < OTHERS_FROM => record.marks[class],
            _ if share(&others) > before + MARGIN => Mark::Fail { lone: false },
            _ => Mark::Pass,
        }
    }

    /// Marks a build's times, all classes together: each outcome as its logarithm over the usual of its
    /// class and kind, cold machines left out, beside the earlier build's of the same moments.
    /// Danger: a build that is only slow passes by its errors until it takes the fleet down.
    fn judge_times(&self, now: Micros, build: Build) -> Mark {
        let Some(record) = self.records.get(&build) else { return Mark::Unjudged };
        let Some(earlier) = self.earlier(build).filter(|e| e.last_seen + ALIVE > now) else {
            return Mark::Unjudged;
        };
        let fresh = |r: &'_ Record| -> Vec<Seen> {
            let all = r.seen.iter().flatten().filter(|s| s.at + ALIVE > now && s.slower.is_some());
            all.copied().collect()
        };
        let (new, old) = (fresh(record), fresh(earlier));
        if new.len() < JUDGED_FROM || old.len() < JUDGED_FROM {
            return record.marks[self.config.classes.len()];
        }
        let (old_mean, old_error) = mean_error(old.iter());
        let surely = |seen: &[&Seen]| {
            let (mean, error) = mean_error(seen.iter().copied());
            mean - old_mean - SURELY * error.hypot(old_error) > SLOWER
        };
        let all: Vec<&Seen> = new.iter().collect();
        if !surely(&all) {
            return Mark::Pass;
        }
        let Some((worst, lone)) = worst_machine(&all, |s| s.slower.unwrap_or(0.0)) else { return Mark::Pass };
        let others: Vec<&Seen> = all.into_iter().filter(|s| s.machine != worst).collect();
        match others.len() {
            _ if lone => Mark::Fail { lone: true },
            n if n < OTHERS_FROM => record.marks[self.config.classes.len()],
            _ if surely(&others) => Mark::Fail { lone: false },
            _ => Mark::Pass,
        }
    }

    /// Brings the record of the newest build up to date: marks, failure timers, state.
    fn judge(&mut self, now: Micros, out: &mut Vec<Action>) {
        let Some(news) = self.news.filter(|n| matches!(n.phase, Phase::Trial | Phase::Released)) else {
            return;
        };
        let build = news.build;
        if !self.records.get(&build).is_some_and(|r| r.state == State::Soaking) {
            return;
        }
        let classes = self.config.classes.len();
        let mut marks: Vec<Mark> = (0..classes).map(|c| self.judge_class(now, build, c)).collect();
        marks.push(self.judge_times(now, build));
        // One class failing where another passes at the same machine is the build, not the machine.
        let passes = marks[..classes].contains(&Mark::Pass);
        let record = self.record(now, build);
        let mut sustained = None;
        for (i, mark) in marks.into_iter().enumerate() {
            record.marks[i] = mark;
            let Mark::Fail { lone } = mark else {
                record.failing_since[i] = None;
                continue;
            };
            let since = *record.failing_since[i].get_or_insert(now);
            let doubted = lone && !(i < classes && passes);
            if now - since >= if doubted { LONE * SUSTAINED } else { SUSTAINED } {
                sustained = Some(i);
            }
        }
        if let Some(i) = sustained {
            record.state = State::Failed;
            let what = self.config.classes.get(i).map_or("times", |c| c.name.as_str()).to_owned();
            self.log(now, "verdict", out, || {
                format!("build {}: {what} failed for 3 s, voting back", build.0)
            });
        }
    }

    fn flagged(&mut self, now: Micros, machine: MachineId, class: ClassId, age: Micros) {
        let Some(build) = self.machines.get(&machine).map(|m| m.entry.build) else { return };
        let seen = Seen { at: now, failed: true, timed_out: false, slower: None, machine };
        self.outcome_on_record(now, class, build, seen, now.saturating_sub(age));
    }

    // ---- Voting ----

    fn stage(&mut self, now: Micros, stage: Stage, out: &mut Vec<Action>) {
        let before = self.news.replace(stage);
        self.record(now, stage.build);
        let Some(before) = before.filter(|b| b.build == stage.build) else {
            self.recount_at = None;
            self.log(now, "news", out, || format!("build {} offered, cap {}", stage.build.0, stage.cap));
            return;
        };
        if stage.cap < before.cap {
            self.recount_at = Some(now + self.config.drain_grace);
        } else if stage.cap > before.cap {
            self.recount_at = None;
        }
        if before.phase != stage.phase {
            self.log(now, "phase", out, || format!("build {} is now {:?}", stage.build.0, stage.phase));
        }
    }

    /// What this instance would have the platform do, if anything.
    fn wish(&self, now: Micros) -> Option<Vote> {
        let news = self.news.filter(|n| matches!(n.phase, Phase::Trial | Phase::Released))?;
        let record = self.records.get(&news.build)?;
        let vote = |verdict| Some(Vote { build: news.build, stage: news.stage, verdict });
        if record.state == State::Failed {
            return vote(Verdict::Back);
        }
        if news.phase == Phase::Released {
            return None;
        }
        let failing = record.failing_since.iter().flatten().min();
        if let Some(since) = failing {
            // Past the sustained time a failure still open rests on one machine: the clock goes on, so
            // that the next stage brings another machine to tell.
            let hold = self.config.rollout.mode == VoteMode::Timer && now - since <= SUSTAINED;
            return if hold { vote(Verdict::Hold) } else { None };
        }
        let judged = record.marks[..self.config.classes.len()].iter().any(|m| *m != Mark::Unjudged);
        let latest = self.machines.values().filter(|m| m.listed && m.entry.build == news.build);
        let latest = latest.filter_map(|m| m.entry.started).max().unwrap_or(record.born);
        let soaked = now >= latest + SUSTAINED;
        (judged && soaked && self.config.rollout.mode != VoteMode::Timer).then(|| vote(Verdict::On))?
    }

    fn vote(&mut self, now: Micros, out: &mut Vec<Action>) {
        let (wait, life) = (self.config.rollout.vote_wait, self.config.rollout.vote_life);
        if let Some((_, at)) = self.pending {
            if now < at + 2 * wait {
                return;
            }
            self.pending = None;
            self.unvoted(now);
        }
        let margin = wait + 4 * TICK;
        let renew = RENEW.min(life.saturating_sub(margin).max(life / 2));
        let standing = self.standing.filter(|(_, at)| now < at + life);
        let wish = self.wish(now);
        let vote = match (wish, standing) {
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
        out.push(Action::Vote { build: vote.build, stage: vote.stage, verdict: vote.verdict });
        if standing.is_none_or(|(before, _)| before.verdict != vote.verdict) {
            let (build, stage) = (vote.build.0, vote.stage);
            self.log(now, "vote", out, || format!("vote {:?} on build {build} stage {stage}", vote.verdict));
        }
    }

    fn unvoted(&mut self, now: Micros) {
        self.vote_not_before = now + self.vote_wait / 2 + self.rng.u64(0..self.vote_wait);
        self.vote_wait = (self.vote_wait * 2).min(VOTE_PATIENCE);
    }

    fn voted(&mut self, now: Micros, ballot: Ballot, stage: Option<Stage>, out: &mut Vec<Action>) {
        if let Some((vote, at)) = self.pending.take() {
            match ballot {
                Ballot::Counted => {
                    self.vote_wait = VOTE_AGAIN;
                    self.standing = (vote.verdict != Verdict::None).then_some((vote, at));
                }
                // Not repeated before other news: the stage has moved on, or will be told soon.
                Ballot::Moot => self.vote_not_before = now + VOTE_PATIENCE / 2,
                _ => self.unvoted(now),
            }
        }
        if let Some(stage) = stage {
            self.stage(now, stage, out);
        }
    }

    // ---- Eligibility: one guard per rule, and the only way to a placement ----

    /// Rule 5: attempts at a build on trial stay within the free ones plus the cap times the requests
    /// taken, over the window that ends now; by class where so counted; none at cap 0.
    fn exposure_allows(&mut self, now: Micros, build: Build, class: ClassId) -> bool {
        if !self.on_trial(build) {
            return true;
        }
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
        if cap <= 0.0
            || (stage < rollout.guarded_stages && self.config.classes[class.0].effect != Effect::Safe)
        {
            return false;
        }
        let counted = rollout.by_class.then_some(class);
        let allowed = rollout.free + cap * self.requests.count(now, counted);
        self.record(now, build).attempts.count(now, counted) + 1.0 <= allowed
    }

    /// Rule 4: this front's part of a cold machine's budget, as if all fronts sent alike: the multiple of
    /// what one standard core surely does, over the fall window. Harm: a busy front can't use its
    /// neighbours' parts, so new machines fill slowly there.
    fn cold_allows(&mut self, now: Micros, m: MachineId, work: f64) -> bool {
        let Some(warmth) = self.machines.get(&m).and_then(|m| self.warmth(now, &m.entry)) else {
            return true;
        };
        let window = self.config.fall_window;
        let whole = self.config.fall_multiple * warmth * window as f64 * COLD_USE;
        let budget = whole / f64::from(self.config.fronts);
        let Some(machine) = self.machines.get_mut(&m) else { return false };
        while machine.cold_work.front().is_some_and(|(at, _)| at + window < now) {
            machine.cold_work.pop_front();
        }
        let sent: f64 = machine.cold_work.iter().map(|(_, w)| w).sum();
        machine.cold_work.is_empty() || sent + work <= budget
    }

    /// Rule 2: whether a further attempt may go to this machine, given those before it.
    fn repeat_allows(&self, now: Micros, held: &Held, entry: &Entry) -> bool {
        let mut ran = held.attempts.iter().filter(|a| a.may_have_run);
        let Some(first) = ran.clone().map(|a| a.sent).min() else { return true };
        let in_flight = held.attempts.iter().any(|a| a.open);
        if in_flight && !self.config.second_copies {
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
                // A margin for the way: the repeat must arrive while the first is still remembered.
                now + 100 * MS < first + window && (scope == Scope::All || ran.all(with))
            }
        }
    }

    /// A key that the trial build has answered goes to no earlier build, where the platform says so.
    fn key_allows(&self, key: Option<KeyId>, build: Build) -> bool {
        let answered = key.and_then(|k| self.answered_keys.get(&k));
        answered.is_none_or(|at| {
            let binds = |n: Stage| n.build == *at && matches!(n.phase, Phase::Trial | Phase::Released);
            build >= *at || !self.news.is_some_and(binds)
        })
    }

    /// All machines that the rules allow for this request; those that health advises against last.
    fn eligible(&mut self, now: Micros, held: &Held) -> (Vec<MachineId>, Vec<MachineId>) {
        let (class, work) = (held.request.class, self.work(&held.request));
        let mut exposure: BTreeMap<Build, bool> = BTreeMap::new();
        let (mut good, mut poor) = (Vec::new(), Vec::new());
        let ids: Vec<MachineId> = self.machines.iter().filter(|(_, m)| m.listed).map(|(id, _)| *id).collect();
        for id in ids {
            let entry = self.machines[&id].entry.clone();
            let exposed = match exposure.get(&entry.build) {
                Some(known) => *known,
                None => {
                    let allowed = self.exposure_allows(now, entry.build, class);
                    exposure.insert(entry.build, allowed);
                    allowed
                }
            };
            if !exposed
                || !self.key_allows(held.request.key, entry.build)
                || !self.repeat_allows(now, held, &entry)
                || !self.cold_allows(now, id, work)
            {
                continue;
            }
            let tried = held.attempts.iter().any(|a| a.machine == id);
            let ejected = now < self.machines[&id].ejected_until;
            if tried || ejected || self.shunned(entry.build, class) { poor.push(id) } else { good.push(id) }
        }
        (good, poor)
    }

    /// Builds that failed are used only for want of others; an effect stays away once its class fails.
    fn shunned(&self, build: Build, class: ClassId) -> bool {
        let Some(record) = self.records.get(&build) else { return false };
        let effect = self.config.classes[class.0].effect != Effect::Safe;
        record.state == State::Failed || (effect && record.failing_since[class.0].is_some())
    }

    // ---- Server choice ----

    /// Power of two choices by requests in flight, for size, pace and zone. Machines that health advises
    /// against are left out unless that would leave less than half: then the trouble is not theirs.
    fn choose(&mut self, now: Micros, held: &Held) -> Option<MachineId> {
        let (mut good, poor) = self.eligible(now, held);
        if good.len() < poor.len() {
            good.extend(poor);
        }
        if good.is_empty() {
            return None;
        }
        let a = good[self.rng.usize(..good.len())];
        let b = good[self.rng.usize(..good.len())];
        Some(if self.load(now, b) < self.load(now, a) { b } else { a })
    }

    fn load(&self, now: Micros, id: MachineId) -> f64 {
        let machine = &self.machines[&id];
        let across = machine.entry.zone != self.config.zone && self.config.cross_zone_price > 0.0;
        let size = machine.entry.rating.max(0.01) * self.warmth(now, &machine.entry).unwrap_or(1.0);
        f64::from(machine.open + 1) * machine.paced(now).exp() / size * if across { CROSSING } else { 1.0 }
    }

    // ---- Request life ----

    fn request(&mut self, now: Micros, request: Request, out: &mut Vec<Action>) {
        self.requests.add(now, request.class);
        self.retries = (self.retries + RETRY_EARNED).min(RETRY_SAVED);
        for (i, rate) in self.tenant_rate.iter_mut().enumerate() {
            *rate = *rate * 0.99 + 0.01 * f64::from(u8::from(request.tenant == Some(TenantId(i))));
        }
        let id = request.id;
        let admitted = self.admits(&request);
        let held =
            Held { request, arrived: now, attempts: Vec::new(), waiting: false, begun: false, over: false };
        self.held.insert(id, held);
        if admitted { self.place(now, id, out) } else { self.give_up(now, id, out) }
    }

    /// Refusal early under overload: beyond the limit on open requests, which follows how late answers
    /// come; the classes of less worth and tenants beyond their share go first.
    fn admits(&self, request: &Request) -> bool {
        let most = self.config.classes.iter().map(|c| c.worth).fold(0.0, f64::max);
        let worth = self.config.classes[request.class.0].worth / most.max(1e-9);
        let over =
            request.tenant.is_some_and(|t| self.tenant_rate[t.0] > 1.25 * self.config.tenants[t.0].share);
        let worth = if over { worth * self.config.over_share_worth } else { worth };
        f64::from(self.open) < self.limit * (CHEAP_ROOM + (1.0 - CHEAP_ROOM) * worth)
    }

    /// Starts an attempt at an eligible machine; without one the request waits a little for one.
    fn place(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let Some(mut held) = self.held.remove(&id) else { return };
        let choice = self.choose(now, &held);
        let class = &self.config.classes[held.request.class.0];
        if let Some(machine) = choice {
            // An answer that earns nothing is not waited for: the work is better spent on others.
            let useful =
                if class.late_worth > 0.0 { held.request.deadline } else { held.arrived + class.aim };
            let time_out = (useful < held.request.deadline && !class.streamed)
                .then(|| useful.saturating_sub(now).max(MS));
            let entry = self.machines[&machine].entry.clone();
            let cold = self.warmth(now, &entry).is_some();
            if cold {
                let work = self.work(&held.request);
                if let Some(m) = self.machines.get_mut(&machine) {
                    m.cold_work.push_back((now, work));
                }
            }
            if let Some(m) = self.machines.get_mut(&machine) {
                m.open += 1;
            }
            self.record(now, entry.build).attempts.add(now, held.request.class);
            let build = entry.build;
            held.attempts.push(Attempt { machine, build, sent: now, cold, open: true, may_have_run: true });
            held.waiting = false;
            self.open += 1;
            out.push(Action::Place { id, machine, time_out });
            self.held.insert(id, held);
            return;
        }
        let patience = (held.arrived + class.aim / 2).min(held.request.deadline.saturating_sub(2 * TICK));
        let wait = now < patience;
        if wait && !held.waiting {
            held.waiting = true;
            self.waiting.push_back(id);
        }
        self.held.insert(id, held);
        if !wait {
            self.log(now, "nowhere", out, || "no machine may take a request: refusing".into());
            self.give_up(now, id, out);
        }
    }

    fn begun(&mut self, now: Micros, id: RequestId, attempt: usize) {
        let _ = (now, attempt);
        if let Some(held) = self.held.get_mut(&id) {
            held.begun = true;
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn done(
        &mut self,
        now: Micros,
        id: RequestId,
        attempt: usize,
        outcome: Outcome,
        lag: Micros,
        over: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(mut held) = self.held.remove(&id) else { return };
        let class = held.request.class;
        if let Some(tried) = held.attempts.get_mut(attempt).filter(|a| a.open) {
            tried.open = false;
            tried.may_have_run = outcome.may_have_run();
            let (machine, build, sent, cold) = (tried.machine, tried.build, tried.sent, tried.cold);
            self.open = self.open.saturating_sub(1);
            if let Some(m) = self.machines.get_mut(&machine) {
                m.open = m.open.saturating_sub(1);
            }
            let ran = matches!(outcome, Outcome::Served | Outcome::TimedOut);
            let (usual, slower) = self.compare(&held.request, machine, build, lag, cold, outcome);
            if outcome != Outcome::Withdrawn && outcome != Outcome::Unsent {
                self.machine_outcome(now, machine, outcome, usual, out);
                let late = lag > self.config.classes[class.0].aim * 3 / 4 || outcome == Outcome::Full;
                self.late += (f64::from(u8::from(late)) - self.late) * 0.05;
            }
            let failed = matches!(outcome, Outcome::Error | Outcome::TimedOut);
            if failed || ran {
                let timed_out = outcome == Outcome::TimedOut;
                let slower = slower.filter(|_| ran && !cold);
                let seen = Seen { at: now, failed, timed_out, slower, machine };
                self.outcome_on_record(now, class, build, seen, sent);
                self.judge(now, out);
            }
            if let (Outcome::Served, Some(key)) = (outcome, held.request.key) {
                if self.config.rollout.one_way && self.on_trial(build) {
                    self.answered_keys.insert(key, build);
                }
            }
        }
        held.over |= over;
        let in_flight = held.attempts.iter().any(|a| a.open);
        if held.over || in_flight || held.begun {
            if held.over && outcome == Outcome::Served {
                self.withdraw_rest(&held, out);
            }
            if !held.over || in_flight {
                self.held.insert(id, held);
            }
            return;
        }
        let effect = self.config.classes[class.0].effect;
        let useful = now + self.config.resolution < held.arrived + self.config.classes[class.0].aim;
        let allowed = held.attempts.len() < self.config.max_attempts && useful && self.retries >= 1.0;
        let unharmed = held.attempts.iter().all(|a| !a.may_have_run) || effect != Effect::Once;
        self.held.insert(id, held);
        if allowed && unharmed && now < self.deadline(id) {
            self.retries -= 1.0;
            self.place(now, id, out);
        } else {
            self.give_up(now, id, out);
        }
    }

    fn deadline(&self, id: RequestId) -> Micros {
        self.held.get(&id).map_or(0, |h| h.request.deadline)
    }

    /// How much slower than usual (logarithm) an outcome is: against all machines, and against those of
    /// its kind; and teaches the usual from machines that are warm and not on trial.
    fn compare(
        &mut self,
        request: &Request,
        m: MachineId,
        build: Build,
        lag: Micros,
        cold: bool,
        outcome: Outcome,
    ) -> (f64, Option<f64>) {
        let unit = request.hint.map_or(1.0, |h| h.max(1) as f64);
        let value = (lag.max(1) as f64 / unit).ln();
        let kind = self.machines.get(&m).map(|m| m.entry.kind);
        let teaches = outcome == Outcome::Served && !cold && !self.on_trial(build);
        let mut against = |kind: Option<KindId>| {
            let usual = self.usual.entry((request.class, kind)).or_insert((value, 0));
            if teaches {
                usual.1 += 1;
                usual.0 += (value - usual.0) / f64::from(usual.1.min(200));
            }
            (usual.1 >= JUDGED_FROM as u32).then_some(value - usual.0)
        };
        (against(None).unwrap_or(0.0), kind.and_then(|k| against(Some(k))))
    }

    fn withdraw_rest(&self, held: &Held, out: &mut Vec<Action>) {
        if self.config.withdrawals && !held.begun {
            let open = held.attempts.iter().enumerate().filter(|(_, a)| a.open);
            out.extend(open.map(|(attempt, _)| Action::Withdraw { id: held.request.id, attempt }));
        }
    }

    /// The final answer, at once: rejected where the rules allow to say so, with advice when to come back.
    fn give_up(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let Some(mut held) = self.held.remove(&id) else { return };
        let ran = held.attempts.iter().any(|a| a.may_have_run);
        let refusable = match self.config.classes[held.request.class.0].effect {
            Effect::Safe => true,
            Effect::Once => !ran,
            Effect::Keyed { scope, .. } => !ran || scope == Scope::All,
        };
        if refusable {
            let come_back = self.config.retry_advice.map(|most| most / 2 + self.rng.u64(0..=most / 2));
            out.push(Action::Refuse { id, come_back });
        } else {
            out.push(Action::Fail(id));
        }
        held.over = true;
        self.withdraw_rest(&held, out);
        if held.attempts.iter().any(|a| a.open) {
            self.held.insert(id, held);
        }
        let _ = now;
    }

    fn gone(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(mut held) = self.held.remove(&id) else { return };
        if !held.over {
            held.over = true;
            self.withdraw_rest(&held, out);
        }
        if held.attempts.iter().any(|a| a.open) {
            self.held.insert(id, held);
        }
    }

    // ---- Housekeeping ----

    fn housekeeping(&mut self, now: Micros, out: &mut Vec<Action>) {
        self.judge(now, out);
        self.vote(now, out);
        for _ in 0..self.waiting.len() {
            let Some(id) = self.waiting.pop_front() else { break };
            if let Some(held) = self.held.get_mut(&id).filter(|h| h.waiting && !h.over) {
                held.waiting = false;
                self.place(now, id, out);
            }
        }
        if self.config.ask_for_fleet {
            let due = self.ask_again.is_some_and(|at| now >= at);
            let silent =
                self.ask_again.is_none() && self.machines.is_empty() && now > self.asked + 4 * SECOND;
            if due || silent {
                self.ask(now, out);
            }
        }
        if now >= self.limited_at + 2 * TICK {
            self.limited_at = now;
            if self.late > LATE_HIGH {
                let least = 4.0f64.max(self.machines.len() as f64 / f64::from(self.config.fronts));
                self.limit = (self.limit.min(f64::from(self.open)) * 0.95).max(least);
                self.log(now, "limit", out, || "answers come late: fewer requests let in".into());
            } else if self.late < LATE_LOW {
                self.limit = (self.limit * 1.03).min(1e6);
            }
        }
        while self.records.len() > 4 {
            self.records.pop_first();
        }
    }

    fn log(
        &mut self,
        now: Micros,
        kind: &'static str,
        out: &mut Vec<Action>,
        words: impl FnOnce() -> String,
    ) {
        let due = self.logged.get(kind).is_none_or(|at| now >= at + LOG_GAP);
        if due || kind == "verdict" || kind == "vote" {
            self.logged.insert(kind, now);
            out.push(Action::Log(words()));
        }
    }
}

impl Machine {
    fn new(entry: Entry) -> Self {
        Machine {
            entry,
            listed: true,
            open: 0,
            pace: 0.0,
            paced_at: 0,
            faults: 0.0,
            outcomes: 0,
            ejected_until: 0,
            ejection: EJECT_FIRST,
            cold_work: VecDeque::new(),
        }
    }

    fn paced(&self, now: Micros) -> f64 {
        self.pace * (-(now.saturating_sub(self.paced_at) as f64) / FORGET * std::f64::consts::LN_2).exp()
    }
}

/// The machine that weighs most against a build, and whether it is the only one seen.
fn worst_machine(seen: &[&Seen], weight: impl Fn(&Seen) -> f64) -> Option<(MachineId, bool)> {
    let mut sums: BTreeMap<MachineId, f64> = BTreeMap::new();
    for s in seen {
        *sums.entry(s.machine).or_insert(0.0) += weight(s);
    }
    let worst = sums.iter().max_by(|a, b| a.1.total_cmp(b.1)).map(|(id, _)| *id)?;
    Some((worst, sums.len() == 1))
}

/// Mean of the times, and its standard error.
fn mean_error<'a>(seen: impl Iterator<Item = &'a Seen> + Clone) -> (f64, f64) {
    let times = seen.filter_map(|s| s.slower);
    let n = times.clone().count().max(2) as f64;
    let mean = times.clone().sum::<f64>() / n;
    let spread = times.map(|t| (t - mean).powi(2)).sum::<f64>() / (n - 1.0);
    (mean, (spread / n).sqrt())
}

//! The front: what the sockets tell goes to the decisions, what these ask for goes to the sockets.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;

use calloop::Readiness;
use calloop::ping::PingSource;
use garnetcrank_http::{Bad, Headers};
use garnetcrank_policy::api::*;
use garnetcrank_shared_policy::DecisionStamp;
use garnetcrank_vote_router::{RouterAction, Vote, VoteOrigin};
use rustix::process::{Resource, getrlimit};
use tracing::{info, warn};

use crate::clients::{self, BadRequest, Clients};
use crate::clock::{Clock, MS, SECOND, Timers};
use crate::cores::{Core, Letter, Shared, home_of};
use crate::counters::{Counters, resources};
use crate::discovery::{Discovery, FleetNews};
use crate::driver::{Command, Driver};
use crate::extras::Extras;
use crate::link::{self, Link};
use crate::machines::{self, Job, Machines};
use crate::phase::{Life, Reached};
use crate::platform::Platform;
use crate::process::{Fixed, Process};
use crate::ready::{Asked, ConnId, ConnIds, Handle, Ready, Who};
use crate::request::meaning;

/// Descriptors for all but clients and machines: 3 standard streams, 4 of the loop, 2 for the listener, 2 for
/// discovery, 9 for the platform with its votes, one to read a file, and a margin.
const RESERVED: usize = 24;
/// Part of the descriptors for clients beyond those whose requests can be held: their requests are refused,
/// so that nobody waits unheard. A connection is never closed before its answer: a request may be on its way.
const CROWD: usize = 32;
/// Part of the memory that bodies of held requests may take.
const BODY_PART: u64 = 8;
/// How often connections are looked after: watches that went silent, idle ones, phases.
const SWEEP: Micros = 20 * MS;
/// The same while nothing is held and both sources of news are heard: thousands of quiet fronts pay for each wake. No
/// limit that a sweep looks after then is under a second.
const RESTING: Micros = 100 * MS;
/// Clients accepted in a turn at the most, so that those already there are not kept waiting.
const ACCEPTS: usize = 64;
/// A turn that everyone waits for so long is told of: the host is short of CPU, or something here is slow.
const LONG_TURN: Micros = 20 * MS;
/// How often bad requests are told of, however many come.
const TOLD: Micros = SECOND;

/// Descriptors that each further thread takes: its loop, its listener and what wakes it.
const FOR_A_CORE: usize = 8;

/// Has the loop end its sleep when another thread leaves letters; they are read in the turn.
fn woken(handle: &Handle, source: PingSource) -> io::Result<()> {
    let inserted = handle.insert_source(source, |(), _, _| {});
    inserted.map(drop).map_err(|e| io::Error::other(e.to_string()))
}

/// What timers are for.
#[derive(Debug, Clone, Copy)]
enum Due {
    Decisions(u64),
    /// The one planned last.
    Sweep(u64),
}

/// What the first thread alone has.
struct News {
    discovery: Discovery,
    platform: Platform,
    /// To the agent on this machine, where the instances may talk to each other.
    link: Option<Link>,
    life: Life,
    fixed: Fixed,
}

/// What another thread begins with.
pub struct Beginning {
    core: Core,
    shared: Arc<Shared>,
    clock: Clock,
    listener: TcpListener,
    settings: garnetcrank_settings::Settings,
    budgets: Budgets,
}

/// What one thread may take. All but `held` and `bytes` is its part of the whole.
#[derive(Debug, Clone, Copy)]
struct Budgets {
    descriptors: usize,
    clients: usize,
    held: usize,
    bytes: usize,
}

/// One thread's part of the front, but the event loop.
pub struct Front {
    core: Core,
    shared: Arc<Shared>,
    news: Option<News>,
    handle: Handle,
    ids: ConnIds,
    clock: Clock,
    timers: Timers<Due>,
    /// Sweeps planned so far; only the last one counts.
    sweeps: u64,
    resting: bool,
    clients: Clients,
    machines: Machines,
    counters: Counters,
    settings: garnetcrank_settings::Settings,
    budgets: Budgets,
    commands: Vec<Command>,
    client_notes: Vec<clients::Note>,
    machine_notes: Vec<machines::Note>,
    /// When bad requests were last told of.
    bad_told: Micros,
    /// The cap last told, and of which build.
    cap: Option<(Build, f64)>,
}

impl Front {
    /// Opens the listening socket and tells the decisions what is known: the first thread, and what the others begin
    /// with.
    pub fn new(
        handle: Handle,
        process: Process,
        extras: &Extras,
    ) -> io::Result<(Self, Vec<(Beginning, PingSource)>)> {
        let clock = Clock::start();
        let now = clock.now();
        let fixed = Fixed::of(&process);
        let cores = extras.cores();
        let Process { settings, sockets, memory_mb, .. } = process;
        // The system's own limit may be below the one told.
        let system = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
        let sockets = sockets.min(usize::try_from(system).unwrap_or(usize::MAX));
        let linked = if extras.agreement.is_some() { link::DESCRIPTORS } else { 0 };
        let more = (cores - 1) * FOR_A_CORE;
        let descriptors = sockets.saturating_sub(RESERVED + linked + more).max(8 * cores) / cores;
        let crowd = descriptors / CROWD + 1;
        // A held request takes its client's connection and one to a machine.
        let most_held = settings.transport.most_held.unwrap_or(usize::MAX).min((descriptors - crowd) / 2);
        let budgets = Budgets {
            descriptors,
            // Half of what held requests may need at machines is kept free of clients; for the other half those
            // without a request make way.
            clients: descriptors - most_held / 2,
            held: most_held,
            bytes: usize::try_from(memory_mb * 1024 * 1024 / BODY_PART).unwrap_or(usize::MAX),
        };
        let driver = Driver::new(process.seed, &settings, cores);
        let (shared, sources) = Shared::new(driver, cores)?;
        let shared = Arc::new(shared);
        let clients = Clients::listen(&handle, process.listen)?;
        let mut others = Vec::new();
        for (core, source) in sources.into_iter().enumerate() {
            if core == 0 {
                woken(&handle, source)?;
                continue;
            }
            let (shared, settings) = (Arc::clone(&shared), settings.clone());
            let listener = clients.listener()?;
            let core = Core(core);
            others.push((
                Beginning { core, shared, clock: clock.clone(), listener, settings, budgets },
                source,
            ));
        }
        let news = News {
            discovery: Discovery::new(process.discovery, &settings, process.seed),
            platform: Platform::new(process.platform, settings.config.rollout.vote_timeout, process.seed),
            link: extras
                .agreement
                .as_ref()
                .map(|a| Link::new(a, &process.name, settings.config.rollout.vote_ttl, process.seed)),
            life: Life::start(now, settings.config.classes.iter().map(|c| c.deadline).max().unwrap_or(0)),
            fixed,
        };
        let mut front = Front::with(Core::FIRST, shared, handle, clock, clients, settings, budgets);
        info!(
            "{} starts on {}: {} descriptors, {} clients and {} requests at the most",
            process.name,
            process.listen,
            sockets,
            budgets.clients * cores,
            budgets.held * cores
        );
        if cores > 1 {
            info!("{cores} threads, each with {} of the descriptors", budgets.descriptors);
        }
        let news = front.news.insert(news);
        let known = news.discovery.known(process.known);
        let stage = news.platform.news(process.news, now);
        front.fleet(known);
        front.staged(stage.map(Event::RolloutUpdated).into_iter().collect());
        front.plan_sweep(now);
        Ok((front, others))
    }

    /// Another thread's part.
    pub fn begin(handle: Handle, beginning: Beginning, source: PingSource) -> io::Result<Self> {
        let Beginning { core, shared, clock, listener, settings, budgets } = beginning;
        woken(&handle, source)?;
        let clients = Clients::on(&handle, listener)?;
        let now = clock.now();
        let mut front = Front::with(core, shared, handle, clock, clients, settings, budgets);
        front.plan_sweep(now);
        Ok(front)
    }

    fn with(
        core: Core,
        shared: Arc<Shared>,
        handle: Handle,
        clock: Clock,
        clients: Clients,
        settings: garnetcrank_settings::Settings,
        budgets: Budgets,
    ) -> Self {
        Front {
            core,
            shared,
            news: None,
            handle,
            ids: ConnIds::of(core.0),
            clock,
            timers: Timers::default(),
            sweeps: 0,
            resting: false,
            clients,
            machines: Machines::new(settings.transport.clone()),
            counters: Counters::default(),
            settings,
            budgets,
            commands: Vec::new(),
            client_notes: Vec::new(),
            machine_notes: Vec::new(),
            bad_told: 0,
            cap: None,
        }
    }

    /// How long the loop may sleep.
    pub fn wait(&self) -> Option<std::time::Duration> {
        let now = self.clock.now();
        let until = |at: Micros| std::time::Duration::from_micros(at.saturating_sub(now));
        let due = [self.timers.due_at(), self.machines.due(), self.shared.driver().due(self.core)];
        due.into_iter().flatten().min().map(until)
    }

    /// Whether the process may exit.
    pub fn stopped(&self) -> bool {
        self.reached(self.clock.now()) == Reached::Stopped
    }

    fn reached(&self, now: Micros) -> Reached {
        self.news.as_ref().map_or_else(|| self.shared.reached(), |news| news.life.reached(now))
    }

    /// One turn: all that the loop has told, news of fleet and stage first, then what is due.
    pub fn turn(&mut self, ready: &mut Ready) {
        let now = self.clock.now();
        for asked in ready.asked.drain(..) {
            match asked {
                Asked::Counters => self.print_counters(),
                Asked::Reload => self.reload(now),
                Asked::Stop => {
                    if let Some(by) = self.news.as_mut().and_then(|news| news.life.stop(now)) {
                        self.clients.closing = true;
                        self.shared.driver().answer_by(by);
                    }
                }
            }
        }
        self.take_letters(now);
        let order = |who: &Who| match who {
            Who::Discovery(_) | Who::Platform(_) | Who::Agent(_) => 0,
            Who::Machine(_) => 1,
            Who::Client(_) | Who::Listener => 2,
        };
        ready.conns.sort_by_key(|(who, _)| order(who));
        for (who, readiness) in ready.conns.drain(..) {
            self.ready(who, readiness, now);
        }
        self.accept(now);
        self.machines.late(now, &mut self.machine_notes);
        // An answer that was read in this turn goes before the failure for want of any.
        self.take_machine_notes(now);
        self.shared.driver().overdue(self.core, now, &mut self.commands);
        while let Some(due) = self.timers.due(now) {
            match due {
                Due::Decisions(token) => self.shared.driver().event(Event::Timer(token)),
                Due::Sweep(number) if number == self.sweeps => self.sweep(now),
                Due::Sweep(_) => {}
            }
        }
        self.settle();
        if self.resting && !self.quiet(now) {
            // A lost connection is not made to wait for the end of a rest.
            self.resting = false;
            self.plan_sweep(now + SWEEP);
        }
        let took = self.clock.now() - now;
        if took >= LONG_TURN {
            warn!("a turn of the loop took {} ms", took / MS);
        }
        let (clients, conns) = (self.clients.len() as u64, self.machines.len() as u64);
        let c = &mut self.counters;
        c.longest_turn_us = c.longest_turn_us.max(took);
        c.peak_clients = c.peak_clients.max(clients);
        c.peak_machine_conns = c.peak_machine_conns.max(conns);
        c.peak_held = c.peak_held.max(self.shared.driver().held() as u64);
        if self.shared.cores() > 1 {
            self.shared.publish(self.core, self.clients.len(), self.clients.all_gone(), &self.counters);
        }
    }

    /// Letters of the other threads.
    fn take_letters(&mut self, now: Micros) {
        if self.shared.cores() == 1 {
            return;
        }
        for letter in self.shared.letters(self.core) {
            match letter {
                Letter::Command(command) => self.carry_out(command, now),
                Letter::Place(place) => self.machines.place(&place, now, &mut self.machine_notes),
                Letter::Less(build) => self.machines.recall_build(build, now, &mut self.machine_notes),
            }
        }
    }

    /// Reads the configuration again. A faulty one changes nothing; nothing that is held is dropped.
    fn reload(&mut self, now: Micros) {
        let Some(news) = &mut self.news else { return };
        let renewal = match news.fixed.read_again(|name| std::env::var(name).ok()) {
            Ok(renewal) => renewal,
            Err(message) => {
                self.counters.reloads_refused += 1;
                return warn!("reload: {message}; all stays as it was");
            }
        };
        self.counters.reloads += 1;
        info!("reload: discovery at {}, platform at {}", renewal.discovery, renewal.platform);
        for key in &renewal.fixed {
            warn!("reload: {key}: a new value counts from the next start on");
        }
        let fleet = news.discovery.renew(renewal.discovery, renewal.known, now);
        let events = news.platform.renew(renewal.platform, renewal.news, now);
        self.fleet(fleet);
        self.staged(events);
        self.tend_news(now);
    }

    /// Connects to discovery and the platform where that is due.
    fn tend_news(&mut self, now: Micros) {
        let Some(news) = &mut self.news else { return };
        let fleet = news.discovery.tend(&self.handle, &mut self.ids, now);
        let events = news.platform.tend(&self.handle, &mut self.ids, now);
        let steps = news.link.as_mut().map(|link| link.tend(&self.handle, &mut self.ids, now));
        self.fleet(fleet);
        self.staged(events);
        self.ballots(steps.unwrap_or_default(), now);
    }

    /// Carries out what the link leaves to the platform and to the decisions.
    fn ballots(&mut self, steps: Vec<RouterAction>, now: Micros) {
        for step in steps {
            match step {
                RouterAction::CastVote(vote, origin) => self.cast(vote, origin, now),
                RouterAction::VoteCompleted(ballot) => {
                    self.shared.driver().event(Event::VoteCompleted(ballot, None))
                }
                RouterAction::RolloutUpdated(stage) => self.tell(Event::RolloutUpdated(stage)),
                RouterAction::SendToAgent(_) => {} // sent by the link itself
            }
        }
    }

    fn cast(&mut self, vote: Vote, origin: VoteOrigin, now: Micros) {
        let Some(news) = &mut self.news else { return };
        self.counters.votes += 1;
        let event = news.platform.vote(&self.handle, &mut self.ids, now, vote, origin);
        event.into_iter().for_each(|e| self.shared.driver().event(e));
    }

    /// News for the decisions. What was decided before it and is not on its way yet is decided anew.
    fn tell(&self, event: Event) {
        self.shared.tell(event);
    }

    fn ready(&mut self, who: Who, readiness: Readiness, now: Micros) {
        match who {
            Who::Discovery(id) => {
                let Some(news) = &mut self.news else { return };
                let fleet = news.discovery.ready(id, readiness, now);
                self.fleet(fleet);
            }
            Who::Platform(id) => {
                let Some(news) = &mut self.news else { return };
                let events = news.platform.ready(id, readiness, now);
                self.staged(events);
            }
            Who::Agent(id) => {
                let Some(link) = self.news.as_mut().and_then(|news| news.link.as_mut()) else { return };
                let steps = link.ready(&self.handle, &mut self.ids, id, readiness, now);
                self.ballots(steps, now);
            }
            Who::Machine(id) => self.machines.ready(id, readiness, now, &mut self.machine_notes),
            Who::Client(id) => self.clients.ready(id, readiness, now, &mut self.client_notes),
            Who::Listener => self.clients.waiting = true,
        }
    }

    fn fleet(&mut self, news: FleetNews) {
        let now = self.clock.now();
        for place in &news.places {
            self.machines.place(place, now, &mut self.machine_notes);
        }
        if !news.places.is_empty() {
            for other in self.shared.others(self.core) {
                self.shared.post(other, news.places.iter().cloned().map(Letter::Place));
            }
        }
        news.fleet.into_iter().for_each(|f| self.tell(Event::EndpointsUpdated(f)));
    }

    fn staged(&mut self, events: Vec<Event>) {
        for event in events {
            self.counters.votes_counted +=
                u64::from(matches!(event, Event::VoteCompleted(VoteResult::Counted, _)));
            let link = self.news.as_mut().and_then(|news| news.link.as_mut());
            let event = match (event, link) {
                (Event::RolloutUpdated(stage), Some(link)) => {
                    Event::RolloutUpdated(link.news(self.clock.now(), stage))
                }
                (Event::VoteCompleted(ballot, Some(stage)), Some(link)) => {
                    Event::VoteCompleted(ballot, Some(link.news(self.clock.now(), stage)))
                }
                (event, _) => event,
            };
            if let Event::RolloutUpdated(stage) | Event::VoteCompleted(_, Some(stage)) = &event {
                self.capped(stage);
            }
            self.tell(event);
        }
    }

    /// A lower cap binds attempts that were decided under the earlier one and are not on their way yet.
    fn capped(&mut self, stage: &RolloutStatus) {
        let before = self.cap.replace((stage.build, stage.exposure_cap));
        if before.is_some_and(|(build, cap)| build == stage.build && stage.exposure_cap < cap) {
            let now = self.clock.now();
            self.machines.recall_build(stage.build, now, &mut self.machine_notes);
            for other in self.shared.others(self.core) {
                self.shared.post(other, [Letter::Less(stage.build)]);
            }
        }
    }

    /// Takes clients in while there is room, which idle connections to machines make way for.
    fn accept(&mut self, now: Micros) {
        // With half of the places taken, answers close their connections: those who come by the hundreds, ask
        // once and stay would fill the rest before any of them had rested long enough to make way.
        self.clients.crowded = self.clients.len() > self.budgets.clients / 2;
        for _ in 0..ACCEPTS {
            if !self.clients.waiting {
                return;
            }
            // One that has fewer takes it: all threads hear of a connection that waits.
            if self.shared.cores() > 1 && !self.shared.least(self.core, self.clients.len()) {
                return;
            }
            let room = if self.clients.len() >= self.budgets.clients {
                self.client_makes_way(now)
            } else {
                self.find_room(now)
            };
            if !room {
                // Those who wait get in as soon as answers close connections, or others have rested long enough.
                self.clients.crowded = true;
                self.counters.accepts_paused += 1;
                return;
            }
            if self.clients.accept(&mut self.ids, now) {
                self.counters.client_conns += 1;
            }
        }
    }

    fn room(&self) -> bool {
        self.clients.len() + self.machines.len() < self.budgets.descriptors
    }

    /// Whether there is a descriptor: a free one, or that of a kept connection or a client that makes way.
    fn find_room(&mut self, now: Micros) -> bool {
        self.room() || self.make_room() || self.client_makes_way(now)
    }

    fn client_makes_way(&mut self, now: Micros) -> bool {
        let made = self.clients.make_way(now);
        self.counters.clients_made_way += u64::from(made);
        made
    }

    fn make_room(&mut self) -> bool {
        let made = self.machines.evict_idle();
        self.counters.idle_evicted += u64::from(made);
        made
    }

    /// Whether an exchange with this machine can have a connection; a kept one to another may make way, or a
    /// client without a request.
    fn room_for(&mut self, machine: EndpointId, now: Micros) -> bool {
        self.machines.has_idle(machine, now) || self.find_room(now)
    }

    fn plan_sweep(&mut self, at: Micros) {
        self.sweeps += 1;
        self.timers.set(at, Due::Sweep(self.sweeps));
    }

    /// Whether nothing but requests needs looking after.
    fn quiet(&self, now: Micros) -> bool {
        let news = self.news.as_ref().is_none_or(|news| {
            let linked = news.link.as_ref().is_none_or(Link::at_rest);
            linked && news.discovery.at_rest() && news.platform.at_rest()
        });
        self.reached(now) == Reached::Serving && !self.clients.waiting && news
    }

    fn sweep(&mut self, now: Micros) {
        // The flags of the process are looked at here alone, so a thread that has no news rests less.
        self.resting = self.quiet(now) && self.shared.driver().held() == 0 && self.shared.cores() == 1;
        self.plan_sweep(now + if self.resting { RESTING } else { SWEEP });
        self.tend_news(now);
        self.machines.tend(now);
        self.clients.tend(now, &mut self.client_notes);
        let held = self.shared.driver().held();
        let done = held == 0 && self.clients.all_gone() && self.shared.others_gone(self.core);
        if let Some(news) = &mut self.news {
            news.life.tend(now, news.discovery.heard, done);
            self.shared.reach(news.life.reached(now));
        }
        let reached = self.shared.reached();
        self.clients.closing = reached >= Reached::Draining;
        if reached >= Reached::Deaf && self.clients.listens() {
            // What waits to be accepted has been taken by this machine already.
            while self.clients.accept(&mut self.ids, now) {
                self.counters.client_conns += 1;
            }
            self.clients.stop_listening();
        }
        if reached >= Reached::Emptying {
            self.clients.close_idle(now);
        }
    }

    /// Tells and does until nothing is left to tell or do.
    fn settle(&mut self) {
        loop {
            let now = self.clock.now();
            self.take_machine_notes(now);
            for note in std::mem::take(&mut self.client_notes) {
                self.client_note(note, now);
            }
            for command in std::mem::take(&mut self.commands) {
                self.direct(command, now);
            }
            let waiting = !self.machine_notes.is_empty() || !self.client_notes.is_empty();
            let stepped = {
                let mut driver = self.shared.driver();
                let stepped = driver.step(now, &mut self.commands);
                self.shared.empty(&mut driver, now, &mut self.commands);
                stepped
            };
            if !stepped && !waiting && self.commands.is_empty() {
                return;
            }
        }
    }

    /// Carries a command out, or leaves it to the thread whose connection it is for.
    fn direct(&mut self, command: Command, now: Micros) {
        if self.shared.cores() == 1 {
            return self.carry_out(command, now);
        }
        let home = match &command {
            Command::Place { id, .. } | Command::Withdraw { id, .. } => self.shared.home(*id),
            Command::Pass { client, .. }
            | Command::Refuse { client, .. }
            | Command::Fail { client }
            | Command::Overdue { client }
            | Command::Begin { client, .. }
            | Command::Finish { client, .. } => home_of(*client),
            Command::CloseIdle(machine) => {
                for other in self.shared.others(self.core) {
                    self.shared.post(other, [Letter::Command(Command::CloseIdle(*machine))]);
                }
                self.core
            }
            Command::Log(_) => self.core,
            Command::Timer { .. }
            | Command::Probe(_)
            | Command::Subscribe(_)
            | Command::AskFleet
            | Command::Vote(..) => Core::FIRST,
        };
        if home == self.core {
            self.carry_out(command, now);
        } else {
            self.shared.post(home, [Letter::Command(command)]);
        }
    }

    fn take_machine_notes(&mut self, now: Micros) {
        for note in std::mem::take(&mut self.machine_notes) {
            self.machine_note(note, now);
        }
    }

    fn machine_note(&mut self, note: machines::Note, now: Micros) {
        match note {
            machines::Note::Begun { id, attempt, headers } => {
                let begun = self.shared.driver().begun(id, attempt, headers, &mut self.commands);
                if !begun {
                    self.machines.cut(id, attempt, now, &mut self.machine_notes);
                }
                // Its head leaves before its first part.
                for command in std::mem::take(&mut self.commands) {
                    self.direct(command, now);
                }
            }
            machines::Note::Part { id, bytes } => {
                let held = self.shared.driver().get(id).map(|held| (held.client, held.begun));
                let Some((client, Some(attempt))) = held else { return };
                if self.clients.part(client, &bytes, now, &mut self.client_notes) {
                    self.machines.pause(id, attempt, true, now, &mut self.machine_notes);
                }
            }
            machines::Note::Ended { id, attempt, outcome, lag, load, answer } => {
                self.count(outcome);
                let done = AttemptResult {
                    id,
                    attempt,
                    outcome,
                    latency: lag,
                    request_finished: false,
                    load_report: load,
                };
                let mut driver = self.shared.driver();
                driver.ended(done, answer, &mut self.commands);
                self.shared.empty(&mut driver, now, &mut self.commands);
            }
            machines::Note::Probed { machine, outcome, lag, load } => {
                self.shared.driver().event(Event::HealthCheckCompleted {
                    endpoint: machine,
                    outcome,
                    latency: lag,
                    load_report: load,
                });
            }
        }
    }

    fn count(&mut self, outcome: Outcome) {
        let c = &mut self.counters;
        *match outcome {
            Outcome::Success => &mut c.served,
            Outcome::Error => &mut c.errors,
            Outcome::TimedOut => &mut c.timed_out,
            Outcome::ConnectionLost => &mut c.broken,
            Outcome::Cancelled => &mut c.withdrawn,
            Outcome::Overloaded => &mut c.full,
            Outcome::ConnectFailed => &mut c.unreached,
            Outcome::NotSent => &mut c.unsent,
        } += 1;
    }

    fn client_note(&mut self, note: clients::Note, now: Micros) {
        match note {
            clients::Note::Request(client, message) => self.request(client, message, now),
            clients::Note::Bad(bad) => self.bad(bad, now),
            clients::Note::Left(id) => {
                self.counters.left += 1;
                let begun = self.shared.driver().left(id);
                if let Some(attempt) = begun {
                    self.machines.cut(id, attempt, now, &mut self.machine_notes);
                }
            }
            clients::Note::Drained(id) => {
                let begun = self.shared.driver().get(id).and_then(|h| h.begun);
                if let Some(attempt) = begun {
                    self.machines.pause(id, attempt, false, now, &mut self.machine_notes);
                }
            }
        }
    }

    /// Counts a bad request by its kind. However many come, a line a second tells of them.
    fn bad(&mut self, bad: BadRequest, now: Micros) {
        let c = &mut self.counters;
        c.bad_requests += 1;
        let words = match bad {
            BadRequest::Unreadable(bad) => {
                c.bad_truncated += u64::from(bad == Bad::Truncated);
                c.bad_large += u64::from(matches!(bad, Bad::BodyTooLarge | Bad::HeadTooLarge));
                bad.to_string()
            }
            BadRequest::Late => {
                c.bad_late += 1;
                "it did not come whole in time".to_owned()
            }
            BadRequest::Meaningless(words) => {
                c.bad_meaning += 1;
                words.to_owned()
            }
            BadRequest::NameTaken => {
                c.bad_name_taken += 1;
                "its Request-Id is that of another one still open".to_owned()
            }
        };
        if now >= self.bad_told + TOLD {
            self.bad_told = now;
            warn!("bad requests: {} so far; the last one: {words}", self.counters.bad_requests);
        }
    }

    fn request(&mut self, client: ConnId, message: garnetcrank_http::Request, now: Micros) {
        if message.target == "/healthz" {
            let (status, words) = if self.reached(now) == Reached::Serving {
                (200, "serving\n")
            } else {
                (503, "not serving\n")
            };
            let notes = &mut self.client_notes;
            return self.clients.answer(client, status, std::iter::empty(), words.as_bytes(), now, notes);
        }
        let notes = &mut self.client_notes;
        let meaning = match meaning(&self.settings, &message) {
            Ok(meaning) => meaning,
            Err((status, words)) => {
                self.clients.answer_bad(client, status, words, now, notes);
                return self.bad(BadRequest::Meaningless(words), now);
            }
        };
        // Held until the request is in: two threads must not both find its name free, nor the last place.
        let mut driver = self.shared.driver();
        if driver.is_open(&message) {
            drop(driver);
            let words = "a request of this Request-Id is still open";
            self.clients.answer_bad(client, 409, words, now, notes);
            return self.bad(BadRequest::NameTaken, now);
        }
        let bytes = driver.held_bytes() + message.body.len();
        if driver.held_by(self.core) >= self.budgets.held || bytes > self.budgets.bytes {
            drop(driver);
            self.counters.over_limit += 1;
            return self.clients.answer(client, 503, std::iter::empty(), b"", now, notes);
        }
        self.counters.requests += 1;
        let id = driver.request(client, message, meaning, now);
        self.shared.empty(&mut driver, now, &mut self.commands);
        drop(driver);
        if !self.clients.held(client, id) {
            self.client_note(clients::Note::Left(id), now);
        }
    }

    fn carry_out(&mut self, command: Command, now: Micros) {
        let notes = &mut self.client_notes;
        match command {
            Command::Place { id, attempt, machine, until, stamp } => {
                self.place((id, attempt), machine, until, stamp, now);
            }
            Command::Withdraw { id, attempt } => {
                self.machines.withdraw(id, attempt, now, &mut self.machine_notes);
            }
            Command::Pass { client, answer } => {
                self.counters.passed += 1;
                self.clients.answer(client, 200, passed_on(&answer.headers), &answer.body, now, notes);
            }
            Command::Refuse { client, come_back } => {
                self.counters.refused += 1;
                let after = come_back.map(|span| format!("{:.3}", span as f64 / 1e6));
                let lines = after.as_ref().map(|a| ("Retry-After", a.as_bytes()));
                self.clients.answer(client, 503, lines.into_iter(), b"", now, notes);
            }
            Command::Fail { client } => {
                self.counters.failed += 1;
                self.clients.answer(client, 502, std::iter::empty(), b"", now, notes);
            }
            Command::Overdue { client } => {
                self.counters.overdue += 1;
                self.clients.answer(client, 504, std::iter::empty(), b"", now, notes);
            }
            Command::Begin { client, headers } => {
                self.clients.begin(client, passed_on(&headers));
            }
            Command::Finish { client, whole: true } => {
                self.counters.passed += 1;
                self.clients.finish(client, now, notes);
            }
            Command::Finish { client, whole: false } => {
                self.counters.failed += 1;
                self.clients.break_off(client);
            }
            Command::Timer { at, token } => self.timers.set(at, Due::Decisions(token)),
            Command::Probe(machine) => {
                self.counters.probes += 1;
                let started = match self.room_for(machine, now) {
                    true => {
                        let notes = &mut self.machine_notes;
                        self.machines.probe(&self.handle, &mut self.ids, now, machine, notes)
                    }
                    false => Err(Outcome::NotSent),
                };
                started.unwrap_or_else(|outcome| {
                    let probed = Event::HealthCheckCompleted {
                        endpoint: machine,
                        outcome,
                        latency: 0,
                        load_report: Vec::new(),
                    };
                    self.shared.driver().event(probed);
                });
            }
            Command::CloseIdle(machine) => self.machines.close_idle(machine),
            Command::Subscribe(want) => {
                let Some(news) = &mut self.news else { return };
                let fleet = news.discovery.subscribe(want, now);
                self.fleet(fleet);
            }
            Command::AskFleet => {
                let Some(news) = &mut self.news else { return };
                let fleet = news.discovery.ask(&self.handle, &mut self.ids, now);
                self.fleet(fleet);
            }
            Command::Vote(build, stage, verdict) => {
                match self.news.as_mut().and_then(|news| news.link.as_mut()) {
                    None => self.cast((build, stage, verdict), VoteOrigin::Own, now),
                    Some(link) => {
                        let steps = link.votes(&self.handle, &mut self.ids, now, (build, stage, verdict));
                        self.ballots(steps, now);
                    }
                }
            }
            Command::Log(words) => info!("{words}"),
        }
    }

    fn place(
        &mut self,
        (id, attempt): (RequestId, usize),
        machine: EndpointId,
        until: Micros,
        stamp: DecisionStamp,
        now: Micros,
    ) {
        // Its client may have left since the decision.
        let held = self.shared.driver().get(id).map(|held| (Arc::clone(&held.message), held.class));
        let Some((request, class)) = held else {
            return self.shared.driver().not_started(id, attempt, Outcome::NotSent);
        };
        if !self.shared.may_send(stamp, now) {
            self.counters.decided_anew += 1;
            return self.shared.driver().not_started(id, attempt, Outcome::NotSent);
        }
        let room = self.room_for(machine, now);
        let streamed = self.settings.config.classes[class.0].streamed;
        let job = Job { id, attempt, machine, request: &request, until, streamed };
        let started = match room {
            true => {
                let notes = &mut self.machine_notes;
                self.machines.attempt(&self.handle, &mut self.ids, now, &job, notes)
            }
            false => {
                self.counters.no_descriptor += 1;
                Err(Outcome::NotSent)
            }
        };
        started.unwrap_or_else(|outcome| {
            self.count(outcome);
            self.shared.driver().not_started(id, attempt, outcome);
        });
    }

    /// Prints the counters in one line.
    pub fn print_counters(&mut self) {
        let c = &mut self.counters;
        (c.machine_conns, c.reused) = (self.machines.opened, self.machines.reused);
        c.idle_clients_closed = self.clients.idle_closed;
        if let Some(news) = &self.news {
            c.discovery_reconnects = news.discovery.reconnects;
            (c.platform_reconnects, c.stale_news) = (news.platform.reconnects, news.platform.stale);
            if let Some(link) = &news.link {
                (c.verdicts_passed_on, c.agent_reconnects) = (link.passed_on, link.reconnects);
            }
        }
        let mut c = c.clone();
        self.shared.others_counters(self.core).iter().for_each(|other| c.add(other));
        let (memory_kib, cpu_ms) = resources();
        info!("{c} peak_memory_kib={memory_kib} cpu_ms={cpu_ms}");
    }
}

/// Headers of a machine's answer that are meant for the client: its load report is meant for us.
fn passed_on(headers: &Headers) -> impl Iterator<Item = (&str, &[u8])> {
    headers.end_to_end().filter(|(name, _)| !name.eq_ignore_ascii_case("server-load"))
}

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

use crate::agent_client::{self, AgentClient};
use crate::classify::classify;
use crate::clock::{Clock, MS, SECOND, Timers};
use crate::counters::{Counters, resources};
use crate::discovery::{Discovery, DiscoveryUpdate};
use crate::dispatcher::{Command, Dispatcher};
use crate::downstream::{self, BadRequest, Downstream};
use crate::feature_settings::FeatureSettings;
use crate::lifecycle::{Lifecycle, LifecycleStage};
use crate::process_settings::{ProcessSettings, StartupSettings};
use crate::readiness::{ConnId, ConnIds, Handle, PendingWork, Source, TurnInputs};
use crate::release_controller::ReleaseController;
use crate::upstream::{self, Upstream, UpstreamRequest};
use crate::worker_id::WorkerId;
use crate::workers::{WorkerMessage, WorkerShared};

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
    platform: ReleaseController,
    /// To the agent on this machine, where the instances may talk to each other.
    link: Option<AgentClient>,
    life: Lifecycle,
    fixed: StartupSettings,
}

/// What another thread begins with.
pub struct WorkerSeed {
    core: WorkerId,
    shared: Arc<WorkerShared>,
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
pub struct Proxy {
    core: WorkerId,
    shared: Arc<WorkerShared>,
    news: Option<News>,
    handle: Handle,
    ids: ConnIds,
    clock: Clock,
    timers: Timers<Due>,
    /// Sweeps planned so far; only the last one counts.
    sweeps: u64,
    resting: bool,
    downstream: Downstream,
    upstream: Upstream,
    counters: Counters,
    settings: garnetcrank_settings::Settings,
    budgets: Budgets,
    commands: Vec<Command>,
    downstream_events: Vec<downstream::DownstreamEvent>,
    upstream_events: Vec<upstream::UpstreamEvent>,
    /// When bad requests were last told of.
    bad_told: Micros,
    /// The cap last told, and of which build.
    cap: Option<(Build, f64)>,
}

impl Proxy {
    /// Opens the listening socket and tells the decisions what is known: the first thread, and what the others begin
    /// with.
    pub fn new(
        handle: Handle,
        process: ProcessSettings,
        extras: &FeatureSettings,
    ) -> io::Result<(Self, Vec<(WorkerSeed, PingSource)>)> {
        let clock = Clock::start();
        let now = clock.now();
        let fixed = StartupSettings::from_process(&process);
        let cores = extras.worker_count();
        let ProcessSettings { settings, sockets, memory_mb, .. } = process;
        // The system's own limit may be below the one told.
        let system = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
        let sockets = sockets.min(usize::try_from(system).unwrap_or(usize::MAX));
        let linked = if extras.agreement.is_some() { agent_client::DESCRIPTORS } else { 0 };
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
        let driver = Dispatcher::new(process.seed, &settings, cores);
        let (shared, sources) = WorkerShared::new(driver, cores)?;
        let shared = Arc::new(shared);
        let clients = Downstream::listen(&handle, process.listen)?;
        let mut others = Vec::new();
        for (core, source) in sources.into_iter().enumerate() {
            if core == 0 {
                woken(&handle, source)?;
                continue;
            }
            let (shared, settings) = (Arc::clone(&shared), settings.clone());
            let listener = clients.listener()?;
            let core = WorkerId(core);
            others.push((
                WorkerSeed { core, shared, clock: clock.clone(), listener, settings, budgets },
                source,
            ));
        }
        let news = News {
            discovery: Discovery::new(process.discovery, &settings, process.seed),
            platform: ReleaseController::new(
                process.platform,
                settings.config.rollout.vote_timeout,
                process.seed,
            ),
            link: extras
                .agreement
                .as_ref()
                .map(|a| AgentClient::new(a, &process.name, settings.config.rollout.vote_ttl, process.seed)),
            life: Lifecycle::start(
                now,
                settings.config.classes.iter().map(|c| c.deadline).max().unwrap_or(0),
            ),
            fixed,
        };
        let mut front = Proxy::with_parts(WorkerId::FIRST, shared, handle, clock, clients, settings, budgets);
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
        let known = news.discovery.load_cached(process.cached_members);
        let stage = news.platform.on_rollout_state(process.rollout_state, now);
        front.fleet(known);
        front.staged(stage.map(Event::RolloutUpdated).into_iter().collect());
        front.plan_sweep(now);
        Ok((front, others))
    }

    /// Another thread's part.
    pub fn start_worker(handle: Handle, beginning: WorkerSeed, source: PingSource) -> io::Result<Self> {
        let WorkerSeed { core, shared, clock, listener, settings, budgets } = beginning;
        woken(&handle, source)?;
        let clients = Downstream::with_listener(&handle, listener)?;
        let now = clock.now();
        let mut front = Proxy::with_parts(core, shared, handle, clock, clients, settings, budgets);
        front.plan_sweep(now);
        Ok(front)
    }

    fn with_parts(
        core: WorkerId,
        shared: Arc<WorkerShared>,
        handle: Handle,
        clock: Clock,
        clients: Downstream,
        settings: garnetcrank_settings::Settings,
        budgets: Budgets,
    ) -> Self {
        Proxy {
            core,
            shared,
            news: None,
            handle,
            ids: ConnIds::for_worker(core),
            clock,
            timers: Timers::default(),
            sweeps: 0,
            resting: false,
            downstream: clients,
            upstream: Upstream::new(settings.transport.clone()),
            counters: Counters::default(),
            settings,
            budgets,
            commands: Vec::new(),
            downstream_events: Vec::new(),
            upstream_events: Vec::new(),
            bad_told: 0,
            cap: None,
        }
    }

    /// How long the loop may sleep.
    pub fn poll_timeout(&self) -> Option<std::time::Duration> {
        let now = self.clock.now();
        let until = |at: Micros| std::time::Duration::from_micros(at.saturating_sub(now));
        let due = [
            self.timers.due_at(),
            self.upstream.next_deadline(),
            self.shared.dispatcher().next_deadline(self.core),
        ];
        due.into_iter().flatten().min().map(until)
    }

    /// Whether the process may exit.
    pub fn is_stopped(&self) -> bool {
        self.lifecycle_stage(self.clock.now()) == LifecycleStage::Stopped
    }

    fn lifecycle_stage(&self, now: Micros) -> LifecycleStage {
        self.news.as_ref().map_or_else(|| self.shared.stage(), |news| news.life.stage(now))
    }

    /// One turn: all that the loop has told, news of fleet and stage first, then what is due.
    pub fn turn(&mut self, ready: &mut TurnInputs) {
        let now = self.clock.now();
        for asked in ready.pending_work.drain(..) {
            match asked {
                PendingWork::PrintCounters => self.print_counters(),
                PendingWork::Reload => self.reload(now),
                PendingWork::Stop => {
                    if let Some(by) = self.news.as_mut().and_then(|news| news.life.stop(now)) {
                        self.downstream.closing = true;
                        self.shared.dispatcher().answer_by(by);
                    }
                }
            }
        }
        self.take_letters(now);
        let order = |who: &Source| match who {
            Source::Discovery(_) | Source::ReleaseController(_) | Source::Agent(_) => 0,
            Source::Upstream(_) => 1,
            Source::Downstream(_) | Source::Listener => 2,
        };
        ready.connections.sort_by_key(|(who, _)| order(who));
        for (who, readiness) in ready.connections.drain(..) {
            self.ready(who, readiness, now);
        }
        self.accept(now);
        self.upstream.expire_attempts(now, &mut self.upstream_events);
        // An answer that was read in this turn goes before the failure for want of any.
        self.take_machine_notes(now);
        self.shared.dispatcher().expire_overdue(self.core, now, &mut self.commands);
        while let Some(due) = self.timers.due(now) {
            match due {
                Due::Decisions(token) => self.shared.dispatcher().queue_event(Event::Timer(token)),
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
        let (clients, conns) = (self.downstream.len() as u64, self.upstream.len() as u64);
        let c = &mut self.counters;
        c.longest_turn_us = c.longest_turn_us.max(took);
        c.peak_clients = c.peak_clients.max(clients);
        c.peak_machine_conns = c.peak_machine_conns.max(conns);
        c.peak_held = c.peak_held.max(self.shared.dispatcher().in_flight_count() as u64);
        if self.shared.worker_count() > 1 {
            self.shared.publish(
                self.core,
                self.downstream.len(),
                self.downstream.is_drained(),
                &self.counters,
            );
        }
    }

    /// Letters of the other threads.
    fn take_letters(&mut self, now: Micros) {
        if self.shared.worker_count() == 1 {
            return;
        }
        for letter in self.shared.take_messages(self.core) {
            match letter {
                WorkerMessage::Command(command) => self.carry_out(command, now),
                WorkerMessage::EndpointChanged(place) => {
                    self.upstream.update_address(&place, now, &mut self.upstream_events)
                }
                WorkerMessage::ExposureLowered(build) => {
                    self.upstream.recall_build(build, now, &mut self.upstream_events)
                }
            }
        }
    }

    /// Reads the configuration again. A faulty one changes nothing; nothing that is held is dropped.
    fn reload(&mut self, now: Micros) {
        let Some(news) = &mut self.news else { return };
        let renewal = match news.fixed.reload(|name| std::env::var(name).ok()) {
            Ok(renewal) => renewal,
            Err(message) => {
                self.counters.reloads_refused += 1;
                return warn!("reload: {message}; all stays as it was");
            }
        };
        self.counters.reloads += 1;
        info!("reload: discovery at {}, platform at {}", renewal.discovery, renewal.platform);
        for key in &renewal.ignored_keys {
            warn!("reload: {key}: a new value counts from the next start on");
        }
        let fleet = news.discovery.reconfigure(renewal.discovery, renewal.cached_members, now);
        let events = news.platform.reconfigure(renewal.platform, renewal.rollout_state, now);
        self.fleet(fleet);
        self.staged(events);
        self.tend_news(now);
    }

    /// Connects to discovery and the platform where that is due.
    fn tend_news(&mut self, now: Micros) {
        let Some(news) = &mut self.news else { return };
        let fleet = news.discovery.on_tick(&self.handle, &mut self.ids, now);
        let events = news.platform.on_tick(&self.handle, &mut self.ids, now);
        let steps = news.link.as_mut().map(|link| link.on_tick(&self.handle, &mut self.ids, now));
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
                    self.shared.dispatcher().queue_event(Event::VoteCompleted(ballot, None))
                }
                RouterAction::RolloutUpdated(stage) => self.tell(Event::RolloutUpdated(stage)),
                RouterAction::SendToAgent(_) => {} // sent by the link itself
            }
        }
    }

    fn cast(&mut self, vote: Vote, origin: VoteOrigin, now: Micros) {
        let Some(news) = &mut self.news else { return };
        self.counters.votes += 1;
        let event = news.platform.cast_vote(&self.handle, &mut self.ids, now, vote, origin);
        event.into_iter().for_each(|e| self.shared.dispatcher().queue_event(e));
    }

    /// News for the decisions. What was decided before it and is not on its way yet is decided anew.
    fn tell(&self, event: Event) {
        self.shared.deliver(event);
    }

    fn ready(&mut self, who: Source, readiness: Readiness, now: Micros) {
        match who {
            Source::Discovery(id) => {
                let Some(news) = &mut self.news else { return };
                let fleet = news.discovery.on_ready(id, readiness, now);
                self.fleet(fleet);
            }
            Source::ReleaseController(id) => {
                let Some(news) = &mut self.news else { return };
                let events = news.platform.on_ready(id, readiness, now);
                self.staged(events);
            }
            Source::Agent(id) => {
                let Some(link) = self.news.as_mut().and_then(|news| news.link.as_mut()) else { return };
                let steps = link.on_ready(&self.handle, &mut self.ids, id, readiness, now);
                self.ballots(steps, now);
            }
            Source::Upstream(id) => self.upstream.on_ready(id, readiness, now, &mut self.upstream_events),
            Source::Downstream(id) => {
                self.downstream.on_ready(id, readiness, now, &mut self.downstream_events)
            }
            Source::Listener => self.downstream.waiting = true,
        }
    }

    fn fleet(&mut self, news: DiscoveryUpdate) {
        let now = self.clock.now();
        for place in &news.addresses {
            self.upstream.update_address(place, now, &mut self.upstream_events);
        }
        if !news.addresses.is_empty() {
            for other in self.shared.others(self.core) {
                self.shared.post(other, news.addresses.iter().cloned().map(WorkerMessage::EndpointChanged));
            }
        }
        news.endpoint_updates.into_iter().for_each(|f| self.tell(Event::EndpointsUpdated(f)));
    }

    fn staged(&mut self, events: Vec<Event>) {
        for event in events {
            self.counters.votes_counted +=
                u64::from(matches!(event, Event::VoteCompleted(VoteResult::Counted, _)));
            let link = self.news.as_mut().and_then(|news| news.link.as_mut());
            let event = match (event, link) {
                (Event::RolloutUpdated(stage), Some(link)) => {
                    Event::RolloutUpdated(link.on_rollout_status(self.clock.now(), stage))
                }
                (Event::VoteCompleted(ballot, Some(stage)), Some(link)) => {
                    Event::VoteCompleted(ballot, Some(link.on_rollout_status(self.clock.now(), stage)))
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
            self.upstream.recall_build(stage.build, now, &mut self.upstream_events);
            for other in self.shared.others(self.core) {
                self.shared.post(other, [WorkerMessage::ExposureLowered(stage.build)]);
            }
        }
    }

    /// Takes clients in while there is room, which idle connections to machines make way for.
    fn accept(&mut self, now: Micros) {
        // With half of the places taken, answers close their connections: those who come by the hundreds, ask
        // once and stay would fill the rest before any of them had rested long enough to make way.
        self.downstream.crowded = self.downstream.len() > self.budgets.clients / 2;
        for _ in 0..ACCEPTS {
            if !self.downstream.waiting {
                return;
            }
            // One that has fewer takes it: all threads hear of a connection that waits.
            if self.shared.worker_count() > 1 {
                self.shared.publish_client_count(self.core, self.downstream.len());
                if !self.shared.has_fewest_clients(self.core) {
                    return;
                }
            }
            let room = if self.downstream.len() >= self.budgets.clients {
                self.client_makes_way(now)
            } else {
                self.find_room(now)
            };
            if !room {
                // Those who wait get in as soon as answers close connections, or others have rested long enough.
                self.downstream.crowded = true;
                self.counters.accepts_paused += 1;
                return;
            }
            if self.downstream.accept(&mut self.ids, now) {
                self.counters.client_conns += 1;
            }
        }
    }

    fn room(&self) -> bool {
        self.downstream.len() + self.upstream.len() < self.budgets.descriptors
    }

    /// Whether there is a descriptor: a free one, or that of a kept connection or a client that makes way.
    fn find_room(&mut self, now: Micros) -> bool {
        self.room() || self.make_room() || self.client_makes_way(now)
    }

    fn client_makes_way(&mut self, now: Micros) -> bool {
        let made = self.downstream.evict_idle(now);
        self.counters.clients_made_way += u64::from(made);
        made
    }

    fn make_room(&mut self) -> bool {
        let made = self.upstream.evict_idle();
        self.counters.idle_evicted += u64::from(made);
        made
    }

    /// Whether an exchange with this machine can have a connection; a kept one to another may make way, or a
    /// client without a request.
    fn room_for(&mut self, machine: EndpointId, now: Micros) -> bool {
        self.upstream.has_idle(machine, now) || self.find_room(now)
    }

    fn plan_sweep(&mut self, at: Micros) {
        self.sweeps += 1;
        self.timers.set(at, Due::Sweep(self.sweeps));
    }

    /// Whether nothing but requests needs looking after.
    fn quiet(&self, now: Micros) -> bool {
        let news = self.news.as_ref().is_none_or(|news| {
            let linked = news.link.as_ref().is_none_or(AgentClient::is_idle);
            linked && news.discovery.is_idle() && news.platform.is_idle()
        });
        self.lifecycle_stage(now) == LifecycleStage::Serving && !self.downstream.waiting && news
    }

    fn sweep(&mut self, now: Micros) {
        // The flags of the process are looked at here alone, so a thread that has no news rests less.
        self.resting = self.quiet(now)
            && self.shared.dispatcher().in_flight_count() == 0
            && self.shared.worker_count() == 1;
        self.plan_sweep(now + if self.resting { RESTING } else { SWEEP });
        self.tend_news(now);
        self.upstream.on_tick(now);
        self.downstream.on_tick(now, &mut self.downstream_events);
        let held = self.shared.dispatcher().in_flight_count();
        let done = held == 0 && self.downstream.is_drained() && self.shared.others_drained(self.core);
        if let Some(news) = &mut self.news {
            news.life.on_tick(now, news.discovery.heard, done);
            self.shared.set_stage(news.life.stage(now));
        }
        let reached = self.shared.stage();
        self.downstream.closing = reached >= LifecycleStage::Draining;
        if reached >= LifecycleStage::NotAccepting && self.downstream.is_listening() {
            // What waits to be accepted has been taken by this machine already.
            while self.downstream.accept(&mut self.ids, now) {
                self.counters.client_conns += 1;
            }
            self.downstream.stop_listening();
        }
        if reached >= LifecycleStage::ClosingIdle {
            self.downstream.close_idle(now);
        }
    }

    /// Tells and does until nothing is left to tell or do.
    fn settle(&mut self) {
        loop {
            let now = self.clock.now();
            self.take_machine_notes(now);
            for note in std::mem::take(&mut self.downstream_events) {
                self.client_note(note, now);
            }
            for command in std::mem::take(&mut self.commands) {
                self.direct(command, now);
            }
            let waiting = !self.upstream_events.is_empty() || !self.downstream_events.is_empty();
            let stepped = {
                let mut driver = self.shared.dispatcher();
                let stepped = driver.handle_next_event(now, &mut self.commands);
                self.shared.drain_dispatcher(&mut driver, now, &mut self.commands);
                stepped
            };
            if !stepped && !waiting && self.commands.is_empty() {
                return;
            }
        }
    }

    /// Carries a command out, or leaves it to the thread whose connection it is for.
    fn direct(&mut self, command: Command, now: Micros) {
        if self.shared.worker_count() == 1 {
            return self.carry_out(command, now);
        }
        let home = match &command {
            Command::Forward { id, .. } | Command::Cancel { id, .. } => self.shared.owner(*id),
            Command::Respond { client, .. }
            | Command::Reject { client, .. }
            | Command::Fail { client }
            | Command::DeadlineExceeded { client }
            | Command::StartResponse { client, .. }
            | Command::FinishResponse { client }
            | Command::AbortResponse { client } => client.worker(),
            Command::CloseIdle(machine) => {
                for other in self.shared.others(self.core) {
                    self.shared.post(other, [WorkerMessage::Command(Command::CloseIdle(*machine))]);
                }
                self.core
            }
            Command::Log(_) => self.core,
            Command::SetTimer { .. }
            | Command::HealthCheck(_)
            | Command::WatchEndpoints(_)
            | Command::PollEndpoints
            | Command::CastVote { .. } => WorkerId::FIRST,
        };
        if home == self.core {
            self.carry_out(command, now);
        } else {
            self.shared.post(home, [WorkerMessage::Command(command)]);
        }
    }

    fn take_machine_notes(&mut self, now: Micros) {
        for note in std::mem::take(&mut self.upstream_events) {
            self.machine_note(note, now);
        }
    }

    fn machine_note(&mut self, note: upstream::UpstreamEvent, now: Micros) {
        match note {
            upstream::UpstreamEvent::Begun { id, attempt, headers } => {
                let begun =
                    self.shared.dispatcher().on_response_started(id, attempt, headers, &mut self.commands);
                if !begun {
                    self.upstream.abort(id, attempt, now, &mut self.upstream_events);
                }
                // Its head leaves before its first part.
                for command in std::mem::take(&mut self.commands) {
                    self.direct(command, now);
                }
            }
            upstream::UpstreamEvent::Part { id, bytes } => {
                let held = self.shared.dispatcher().get(id).map(|held| (held.client, held.streaming_attempt));
                let Some((client, Some(attempt))) = held else { return };
                if self.downstream.send_body_part(client, &bytes, now, &mut self.downstream_events) {
                    self.upstream.pause(id, attempt, true, now, &mut self.upstream_events);
                }
            }
            upstream::UpstreamEvent::Ended { id, attempt, outcome, lag, load, answer } => {
                self.count(outcome);
                let done = AttemptResult {
                    id,
                    attempt,
                    outcome,
                    latency: lag,
                    request_finished: false,
                    load_report: load,
                };
                let mut driver = self.shared.dispatcher();
                driver.on_attempt_completed(done, answer, &mut self.commands);
                self.shared.drain_dispatcher(&mut driver, now, &mut self.commands);
            }
            upstream::UpstreamEvent::Probed { machine, outcome, lag, load } => {
                self.shared.dispatcher().queue_event(Event::HealthCheckCompleted {
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

    fn client_note(&mut self, note: downstream::DownstreamEvent, now: Micros) {
        match note {
            downstream::DownstreamEvent::Request(client, message) => self.request(client, message, now),
            downstream::DownstreamEvent::Bad(bad) => self.bad(bad, now),
            downstream::DownstreamEvent::Left(id) => {
                self.counters.left += 1;
                let begun = self.shared.dispatcher().on_disconnect(id);
                if let Some(attempt) = begun {
                    self.upstream.abort(id, attempt, now, &mut self.upstream_events);
                }
            }
            downstream::DownstreamEvent::Drained(id) => {
                let begun = self.shared.dispatcher().get(id).and_then(|h| h.streaming_attempt);
                if let Some(attempt) = begun {
                    self.upstream.pause(id, attempt, false, now, &mut self.upstream_events);
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
            let (status, words) = if self.lifecycle_stage(now) == LifecycleStage::Serving {
                (200, "serving\n")
            } else {
                (503, "not serving\n")
            };
            let notes = &mut self.downstream_events;
            return self.downstream.answer(client, status, std::iter::empty(), words.as_bytes(), now, notes);
        }
        let notes = &mut self.downstream_events;
        let meaning = match classify(&self.settings, &message) {
            Ok(meaning) => meaning,
            Err((status, words)) => {
                self.downstream.answer_bad(client, status, words, now, notes);
                return self.bad(BadRequest::Meaningless(words), now);
            }
        };
        // Held until the request is in: two threads must not both find its name free, nor the last place.
        let mut driver = self.shared.dispatcher();
        if driver.is_open(&message) {
            drop(driver);
            let words = "a request of this Request-Id is still open";
            self.downstream.answer_bad(client, 409, words, now, notes);
            return self.bad(BadRequest::NameTaken, now);
        }
        let bytes = driver.in_flight_bytes() + message.body.len();
        if driver.in_flight_count_of(self.core) >= self.budgets.held || bytes > self.budgets.bytes {
            drop(driver);
            self.counters.over_limit += 1;
            return self.downstream.answer(client, 503, std::iter::empty(), b"", now, notes);
        }
        self.counters.requests += 1;
        let id = driver.on_request(client, message, meaning, now);
        self.shared.drain_dispatcher(&mut driver, now, &mut self.commands);
        drop(driver);
        if !self.downstream.mark_in_flight(client, id) {
            self.client_note(downstream::DownstreamEvent::Left(id), now);
        }
    }

    fn carry_out(&mut self, command: Command, now: Micros) {
        let notes = &mut self.downstream_events;
        match command {
            Command::Forward { id, attempt, endpoint: machine, deadline: until, stamp } => {
                self.place((id, attempt), machine, until, stamp, now);
            }
            Command::Cancel { id, attempt } => {
                self.upstream.cancel(id, attempt, now, &mut self.upstream_events);
            }
            Command::Respond { client, response: answer } => {
                self.counters.passed += 1;
                self.downstream.answer(client, 200, passed_on(&answer.headers), &answer.body, now, notes);
            }
            Command::Reject { client, retry_after: come_back } => {
                self.counters.refused += 1;
                let after = come_back.map(|span| format!("{:.3}", span as f64 / 1e6));
                let lines = after.as_ref().map(|a| ("Retry-After", a.as_bytes()));
                self.downstream.answer(client, 503, lines.into_iter(), b"", now, notes);
            }
            Command::Fail { client } => {
                self.counters.failed += 1;
                self.downstream.answer(client, 502, std::iter::empty(), b"", now, notes);
            }
            Command::DeadlineExceeded { client } => {
                self.counters.overdue += 1;
                self.downstream.answer(client, 504, std::iter::empty(), b"", now, notes);
            }
            Command::StartResponse { client, headers } => {
                self.downstream.start_response(client, passed_on(&headers));
            }
            Command::FinishResponse { client } => {
                self.counters.passed += 1;
                self.downstream.finish_response(client, now, notes);
            }
            Command::AbortResponse { client } => {
                self.counters.failed += 1;
                self.downstream.abort_response(client);
            }
            Command::SetTimer { at, token } => self.timers.set(at, Due::Decisions(token)),
            Command::HealthCheck(machine) => {
                self.counters.probes += 1;
                let started = match self.room_for(machine, now) {
                    true => {
                        let notes = &mut self.upstream_events;
                        self.upstream.start_health_check(&self.handle, &mut self.ids, now, machine, notes)
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
                    self.shared.dispatcher().queue_event(probed);
                });
            }
            Command::CloseIdle(machine) => self.upstream.close_idle(machine),
            Command::WatchEndpoints(want) => {
                let Some(news) = &mut self.news else { return };
                let fleet = news.discovery.set_watching(want, now);
                self.fleet(fleet);
            }
            Command::PollEndpoints => {
                let Some(news) = &mut self.news else { return };
                let fleet = news.discovery.poll(&self.handle, &mut self.ids, now);
                self.fleet(fleet);
            }
            Command::CastVote { build, stage, verdict } => {
                match self.news.as_mut().and_then(|news| news.link.as_mut()) {
                    None => self.cast((build, stage, verdict), VoteOrigin::Own, now),
                    Some(link) => {
                        let steps = link.on_vote(&self.handle, &mut self.ids, now, (build, stage, verdict));
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
        let held = self.shared.dispatcher().get(id).map(|held| (Arc::clone(&held.message), held.class));
        let Some((request, class)) = held else {
            return self.shared.dispatcher().on_attempt_not_started(id, attempt, Outcome::NotSent);
        };
        if !self.shared.may_send(stamp, now) {
            self.counters.decided_anew += 1;
            return self.shared.dispatcher().on_attempt_not_started(id, attempt, Outcome::NotSent);
        }
        let room = self.room_for(machine, now);
        let streamed = self.settings.config.classes[class.0].streamed;
        let job = UpstreamRequest { id, attempt, machine, request: &request, until, streamed };
        let started = match room {
            true => {
                let notes = &mut self.upstream_events;
                self.upstream.start_attempt(&self.handle, &mut self.ids, now, &job, notes)
            }
            false => {
                self.counters.no_descriptor += 1;
                Err(Outcome::NotSent)
            }
        };
        started.unwrap_or_else(|outcome| {
            self.count(outcome);
            self.shared.dispatcher().on_attempt_not_started(id, attempt, outcome);
        });
    }

    /// Prints the counters in one line.
    pub fn print_counters(&mut self) {
        let c = &mut self.counters;
        (c.machine_conns, c.reused) = (self.upstream.opened, self.upstream.reused);
        c.idle_clients_closed = self.downstream.idle_closed;
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

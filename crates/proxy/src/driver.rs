//! Around the decisions: events in, one at a time and never from within; actions out as commands to
//! the sockets. No socket here, and no wire.

use std::collections::{BTreeSet, HashSet, VecDeque};
use std::sync::Arc;

use garnetcrank_http::{Headers, Request as Message, Response};
use garnetcrank_policy::Policy;
use garnetcrank_policy::api::*;
use garnetcrank_settings::Settings;
use garnetcrank_shared_policy::DecisionStamp;
use rustc_hash::FxHashMap;

use crate::clock::MS;
use crate::cores::{Core, home_of};
use crate::ready::ConnId;
use crate::request::Meaning;

/// A request that nothing has ended is failed so long after its time: the decisions' own answer comes first,
/// and the deployment's slack is not used up.
const OVERDUE: Micros = 5 * MS;

/// What the sockets are to do.
#[derive(Debug)]
pub enum Command {
    /// Start an attempt for a request that is held.
    Place {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: usize,
        /// Where.
        machine: EndpointId,
        /// When to stop waiting.
        until: Micros,
        /// What it was decided by.
        stamp: DecisionStamp,
    },
    /// Call an attempt off.
    Withdraw {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: usize,
    },
    /// Final answer: a machine's.
    Pass {
        /// To whom.
        client: ConnId,
        /// What.
        answer: Response,
    },
    /// Final answer: refused, harmless to try again.
    Refuse {
        /// To whom.
        client: ConnId,
        /// When to come back.
        come_back: Option<Micros>,
    },
    /// Final answer: failed.
    Fail {
        /// To whom.
        client: ConnId,
    },
    /// Final answer: failed, and the front's own doing, since nothing else ended the request in time.
    Overdue {
        /// To whom.
        client: ConnId,
    },
    /// A streamed answer begins.
    Begin {
        /// To whom.
        client: ConnId,
        /// With these headers.
        headers: Headers,
    },
    /// A streamed answer has ended: whole, or broken.
    Finish {
        /// To whom.
        client: ConnId,
        /// It is whole.
        whole: bool,
    },
    /// Wake the decisions.
    Timer {
        /// When.
        at: Micros,
        /// Returned with it.
        token: u64,
    },
    /// Probe a machine.
    Probe(EndpointId),
    /// Close idle connections to a machine.
    CloseIdle(EndpointId),
    /// Subscribe to discovery.
    Subscribe(bool),
    /// Ask for the whole list.
    AskFleet,
    /// Cast a vote.
    Vote(Build, usize, Verdict),
    /// A line for on-call.
    Log(String),
}

/// A request that the decisions know of or will be told of.
pub struct Held {
    /// Who sent it.
    pub client: ConnId,
    /// What it says. Shared, so that it can be sent while the decisions go on.
    pub message: Arc<Message>,
    /// Its class.
    pub class: ClassId,
    deadline: Micros,
    attempts: usize,
    /// Its final answer has not been given. Once it has, the request stays until the decisions know, since
    /// they may ask for something in between.
    owed: bool,
    /// The attempt whose streamed answer has begun.
    pub begun: Option<usize>,
}

/// The decisions, the requests they owe answers to, and what they have not been told yet.
pub struct Driver {
    brain: Policy,
    config: Config,
    held: FxHashMap<RequestId, Held>,
    /// Names that clients gave to the requests whose answer is owed.
    names: HashSet<Vec<u8>>,
    /// When they are failed, should nothing end them.
    overdue: BTreeSet<(Micros, RequestId)>,
    owed: usize,
    /// The same by thread.
    owed_by: Vec<usize>,
    owed_bytes: usize,
    next: u32,
    /// The process ends: every answer is given by then.
    answer_by: Option<Micros>,
    news: VecDeque<Event>,
    /// News that the decisions have been told so far.
    news_told: u64,
    events: VecDeque<Event>,
    actions: Vec<Action>,
}

impl Driver {
    /// A new instance of the decisions.
    pub fn new(seed: u64, settings: &Settings, cores: usize) -> Self {
        Driver {
            brain: Policy::new(seed, settings.config.clone()),
            config: settings.config.clone(),
            held: FxHashMap::default(),
            names: HashSet::new(),
            overdue: BTreeSet::new(),
            owed: 0,
            owed_by: vec![0; cores],
            owed_bytes: 0,
            next: 0,
            answer_by: None,
            news: VecDeque::new(),
            news_told: 0,
            events: VecDeque::new(),
            actions: Vec::new(),
        }
    }

    /// Requests whose answer is owed.
    pub fn held(&self) -> usize {
        self.owed
    }

    /// The same on one thread.
    pub fn held_by(&self, core: Core) -> usize {
        self.owed_by[core.0]
    }

    /// Whether a request of the same name is open: another client's, or a resent one that is still held.
    pub fn is_open(&self, message: &Message) -> bool {
        self.names.contains(name_of(message))
    }

    /// When the first of those on a thread must be failed.
    pub fn due(&self, core: Core) -> Option<Micros> {
        self.first_due(core).map(|(at, _)| at)
    }

    fn first_due(&self, core: Core) -> Option<(Micros, RequestId)> {
        let cores = self.owed_by.len();
        self.overdue.iter().find(|(_, id)| id.0 as usize % cores == core.0).copied()
    }

    /// Their bodies, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.owed_bytes
    }

    /// One of them.
    pub fn get(&self, id: RequestId) -> Option<&Held> {
        self.held.get(&id).filter(|h| h.owed)
    }

    /// News of fleet or stage: told before anything else that waits.
    pub fn news(&mut self, event: Event) {
        self.news.push_back(event);
    }

    /// Anything else that happened.
    pub fn event(&mut self, event: Event) {
        self.events.push_back(event);
    }

    /// Takes a request over; its number and deadline.
    pub fn request(&mut self, client: ConnId, message: Message, meaning: Meaning, now: Micros) -> RequestId {
        // The number says whose thread it is on: it leaves the same rest as that thread's.
        let (cores, core) = (self.owed_by.len() as u32, home_of(client).0 as u32);
        let most = u32::MAX / cores;
        let number = |next: u32| RequestId(next % most * cores + core);
        while self.held.contains_key(&number(self.next)) {
            self.next = self.next.wrapping_add(1);
        }
        let id = number(self.next);
        self.next = self.next.wrapping_add(1);
        self.owed_by[core as usize] += 1;
        let Meaning { class, tenant, wait, hint, repeat } = meaning;
        let deadline = self.answer_by.map_or(now + wait, |by| by.min(now + wait));
        self.owed += 1;
        self.owed_bytes += message.body.len();
        self.names.insert(name_of(&message).to_vec());
        self.overdue.insert((deadline + OVERDUE, id));
        let message = Arc::new(message);
        let held = Held { client, message, class, deadline, attempts: 0, owed: true, begun: None };
        self.held.insert(id, held);
        self.events.push_back(Event::Request(Request {
            id,
            class,
            tenant,
            key: None,
            deadline,
            work_hint: hint,
            is_retry: repeat,
        }));
        id
    }

    /// The process ends and may be killed after this: what is held and what comes is answered by then.
    pub fn answer_by(&mut self, by: Micros) {
        self.answer_by = Some(by);
        for (id, held) in self.held.iter_mut().filter(|(_, held)| held.owed && held.deadline > by) {
            self.overdue.remove(&(held.deadline + OVERDUE, *id));
            held.deadline = by;
            self.overdue.insert((held.deadline + OVERDUE, *id));
        }
    }

    /// The final answer has been given, or is owed no more: whose it was.
    fn settle(&mut self, id: RequestId) -> Option<ConnId> {
        let held = self.held.get_mut(&id).filter(|h| h.owed)?;
        held.owed = false;
        self.owed -= 1;
        self.owed_by[home_of(held.client).0] -= 1;
        self.owed_bytes -= held.message.body.len();
        self.names.remove(name_of(&held.message));
        self.overdue.remove(&(held.deadline + OVERDUE, id));
        Some(held.client)
    }

    fn ended_by_decision(&mut self, id: RequestId) -> Option<ConnId> {
        let client = self.settle(id);
        self.held.remove(&id);
        client
    }

    /// The client has left: nothing is owed any more. The attempt whose answer was being streamed, if any.
    pub fn left(&mut self, id: RequestId) -> Option<usize> {
        self.settle(id)?;
        self.events.push_back(Event::ClientDisconnected(id));
        self.held.get(&id)?.begun
    }

    /// Fails the requests on a thread whose time is over and that nothing has ended. A stream that has begun goes on. The
    /// thread has looked for what lies at its connections; no other could.
    pub fn overdue(&mut self, core: Core, now: Micros, commands: &mut Vec<Command>) {
        while let Some((at, id)) = self.first_due(core).filter(|(at, _)| *at <= now) {
            self.overdue.remove(&(at, id));
            if let Some(client) = self.get(id).filter(|h| h.begun.is_none()).map(|h| h.client) {
                self.left(id);
                commands.push(Command::Overdue { client });
            }
        }
    }

    /// A streamed answer has begun. False if it is nobody's any more.
    pub fn begun(
        &mut self,
        id: RequestId,
        attempt: usize,
        headers: Headers,
        commands: &mut Vec<Command>,
    ) -> bool {
        let Some(held) = self.held.get_mut(&id).filter(|h| h.owed && h.begun.is_none()) else { return false };
        held.begun = Some(attempt);
        commands.push(Command::Begin { client: held.client, headers });
        self.events.push_back(Event::ResponseStarted { id, attempt });
        true
    }

    /// An attempt ended. The first one that served ends the request, as does the break of a begun stream.
    pub fn ended(&mut self, mut done: AttemptResult, answer: Option<Response>, commands: &mut Vec<Command>) {
        let id = done.id;
        done.request_finished = true;
        if let Some(held) = self.get(id) {
            let (client, served) = (held.client, done.outcome == Outcome::Success);
            let command = match (held.begun, answer) {
                (Some(begun), _) if begun == done.attempt => Some(Command::Finish { client, whole: served }),
                (None, Some(answer)) if served => Some(Command::Pass { client, answer }),
                _ => None,
            };
            done.request_finished = command.is_some();
            commands.extend(command);
        }
        if done.request_finished {
            self.settle(id);
        }
        self.events.push_back(Event::AttemptCompleted(done));
    }

    /// An attempt that could not even be started.
    pub fn not_started(&mut self, id: RequestId, attempt: usize, outcome: Outcome) {
        let over = self.get(id).is_none();
        let (lag, load) = (0, Vec::new());
        self.events.push_back(Event::AttemptCompleted(AttemptResult {
            id,
            attempt,
            outcome,
            latency: lag,
            request_finished: over,
            load_report: load,
        }));
    }

    /// Tells the decisions the next thing and turns what they ask for into commands. False if nothing waits.
    pub fn step(&mut self, now: Micros, commands: &mut Vec<Command>) -> bool {
        let news = self.news.pop_front();
        self.news_told += u64::from(news.is_some());
        let Some(event) = news.or_else(|| self.events.pop_front()) else { return false };
        let told_over = match &event {
            Event::ClientDisconnected(id) => Some(*id),
            Event::AttemptCompleted(done) if done.request_finished => Some(done.id),
            _ => None,
        };
        let mut actions = std::mem::take(&mut self.actions);
        self.brain.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.act(now, action, commands);
        }
        self.actions = actions;
        told_over.map(|id| self.held.remove(&id));
        true
    }

    fn act(&mut self, now: Micros, action: Action, commands: &mut Vec<Command>) {
        let command = match action {
            Action::Forward { id, endpoint: machine, timeout: time_out } => {
                let Some(held) = self.held.get_mut(&id) else { return };
                let attempt = held.attempts;
                held.attempts += 1;
                let streamed = self.config.classes[held.class.0].streamed;
                let until = time_out.map_or(held.deadline, |t| held.deadline.min(now + t));
                let allowed = attempt < self.config.max_attempts && (until > now || streamed);
                if !allowed || !held.owed || held.begun.is_some() {
                    return self.not_started(id, attempt, Outcome::NotSent);
                }
                let stamp = DecisionStamp { updates: self.news_told, decided_at: now };
                Command::Place { id, attempt, machine, until, stamp }
            }
            Action::Cancel { id, attempt } => Command::Withdraw { id, attempt },
            // Where the request is over already, the decisions have not been told yet.
            Action::Reject { id, retry_after: come_back } => match self.ended_by_decision(id) {
                Some(client) => Command::Refuse { client, come_back },
                None => return,
            },
            Action::Fail(id) => match self.ended_by_decision(id) {
                Some(client) => Command::Fail { client },
                None => return,
            },
            Action::SetTimer { after, token } => Command::Timer { at: now + after, token },
            Action::HealthCheck(machine) => Command::Probe(machine),
            Action::CloseIdle(machine) => Command::CloseIdle(machine),
            // The pages give fronts no way to speak to each other, so no message leaves.
            Action::SendGossip { .. } => return,
            Action::WatchEndpoints(want) => Command::Subscribe(want),
            Action::PollEndpoints => Command::AskFleet,
            Action::Vote { build, stage, verdict } => Command::Vote(build, stage, verdict),
            Action::Log(words) => Command::Log(words),
        };
        commands.push(command);
    }
}

/// What its client called a request.
fn name_of(message: &Message) -> &[u8] {
    message.headers.all("request-id").next().unwrap_or_default().trim_ascii()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::request::meaning;
    use garnetcrank_http::{Parsing, RequestReader, Ring};

    const NOW: Micros = 1_700_000_000_000_000;

    fn settings() -> Settings {
        let settings = serde_json::from_str(include_str!("../tests/settings.json")).expect("JSON");
        Settings::read(&settings).expect("settings that hold together")
    }

    fn driver() -> Driver {
        let mut driver = Driver::new(7, &settings(), 1);
        let entry = EndpointRecord { rating: 1.0, ..EndpointRecord::default() };
        driver
            .news(Event::EndpointsUpdated(EndpointUpdate::Snapshot { endpoints: vec![entry], cached: true }));
        drain(&mut driver);
        driver
    }

    fn drain(driver: &mut Driver) -> Vec<Command> {
        let mut commands = Vec::new();
        while driver.step(NOW, &mut commands) {}
        commands.retain(|c| !matches!(c, Command::Timer { .. } | Command::Log(_)));
        commands
    }

    fn arrive(driver: &mut Driver, target: &str) -> RequestId {
        let text = format!(
            "POST {target} HTTP/1.1\r\nHost: x\r\nRequest-Id: 1\r\nTenant: acme\r\n\
             Request-Timeout-Ms: 900\r\nContent-Length: 2\r\n\r\nhi"
        );
        let mut ring = Ring::new(4096);
        ring.push(text.as_bytes()).expect("room");
        let Ok(Parsing::Done(message)) = RequestReader::new(10).read(&mut ring) else { panic!("no request") };
        let meaning = meaning(&settings(), &message).expect("a request");
        assert!(!driver.is_open(&message), "an earlier request is still open");
        driver.request(ConnId(1), message, meaning, NOW)
    }

    fn done(id: RequestId, attempt: usize, outcome: Outcome) -> AttemptResult {
        AttemptResult {
            id,
            attempt,
            outcome,
            latency: 1000,
            request_finished: false,
            load_report: Vec::new(),
        }
    }

    #[test]
    fn a_client_that_left_before_the_placement_leaks_nothing() {
        let mut driver = driver();
        for _ in 0..100 {
            let id = arrive(&mut driver, "/look");
            assert_eq!((driver.held(), driver.held_bytes()), (1, 2));
            driver.left(id);
            let commands = drain(&mut driver);
            let only_withdrawn = commands.iter().all(|c| matches!(c, Command::Withdraw { .. }));
            assert!(only_withdrawn, "something is sent or answered for it: {commands:?}");
            assert!(driver.held.is_empty() && driver.held() == 0 && driver.held_bytes() == 0);
            assert!(driver.names.is_empty() && driver.overdue.is_empty(), "something is kept for it");
        }
        // The module's count of open attempts is right: it sends the next one at once.
        arrive(&mut driver, "/look");
        assert!(matches!(drain(&mut driver)[..], [Command::Place { attempt: 0, .. }]));
    }

    #[test]
    fn the_first_answer_is_final_and_the_time_over_it_is_nobodys() {
        let mut driver = driver();
        let id = arrive(&mut driver, "/pay");
        assert_eq!(drain(&mut driver).len(), 1);
        let mut ring = Ring::new(4096);
        ring.push(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx").expect("room");
        let read = garnetcrank_http::ResponseReader::whole(10).read(&mut ring, false);
        let Ok(Parsing::Done(answer)) = read else { panic!("no answer") };
        let mut commands = Vec::new();
        driver.ended(done(id, 0, Outcome::Success), Some(answer), &mut commands);
        assert!(matches!(commands[..], [Command::Pass { client: ConnId(1), .. }]));
        commands.clear();
        driver.overdue(Core::FIRST, NOW + 3_600_000 * MS, &mut commands);
        assert!(commands.is_empty() && drain(&mut driver).is_empty() && driver.held.is_empty());
    }

    #[test]
    fn a_request_that_nothing_ended_is_failed_when_its_time_is_over() {
        let mut driver = driver();
        let id = arrive(&mut driver, "/pay");
        drain(&mut driver);
        let mut commands = Vec::new();
        driver.overdue(Core::FIRST, NOW + 900 * MS, &mut commands);
        assert!(commands.is_empty(), "before its time");
        driver.overdue(Core::FIRST, NOW + 900 * MS + OVERDUE, &mut commands);
        assert!(matches!(commands[..], [Command::Overdue { client: ConnId(1) }]));
        assert!(matches!(drain(&mut driver)[..], [Command::Withdraw { attempt: 0, .. }]));
        driver.ended(done(id, 0, Outcome::Cancelled), None, &mut commands);
        assert!(drain(&mut driver).is_empty() && driver.held.is_empty());
    }

    #[test]
    fn a_process_that_ends_answers_what_it_holds_and_what_comes_before_it_may_be_killed() {
        let mut driver = driver();
        arrive(&mut driver, "/pay");
        assert_eq!(drain(&mut driver).len(), 1);
        driver.answer_by(NOW + 5_000 * MS);
        assert_eq!(
            driver.due(Core::FIRST),
            Some(NOW + 900 * MS + OVERDUE),
            "its own time is over before that"
        );
        driver.answer_by(NOW + 300 * MS);
        assert_eq!(driver.due(Core::FIRST), Some(NOW + 300 * MS + OVERDUE));
        let mut commands = Vec::new();
        driver.overdue(Core::FIRST, NOW + 300 * MS + OVERDUE, &mut commands);
        assert!(matches!(commands[..], [Command::Overdue { .. }]));
        drain(&mut driver);
        // One that comes now has that time and no longer, and is sent nowhere for longer.
        arrive(&mut driver, "/look");
        assert_eq!(driver.due(Core::FIRST), Some(NOW + 300 * MS + OVERDUE));
        let by = |c: &Command| matches!(c, Command::Place { until, .. } if *until <= NOW + 300 * MS);
        let placed = drain(&mut driver);
        assert!(placed.iter().all(by) && placed.len() == 1, "{placed:?}");
        driver.answer_by(NOW + 200 * MS);
        assert_eq!((driver.overdue.len(), driver.held()), (1, 1), "an entry was left behind");
    }

    #[test]
    fn what_may_have_run_is_failed_and_what_surely_did_not_is_tried_again() {
        for (outcome, again) in [
            (Outcome::ConnectionLost, false),
            (Outcome::Error, false),
            (Outcome::TimedOut, false),
            (Outcome::Overloaded, true),
            (Outcome::ConnectFailed, true),
            (Outcome::NotSent, true),
        ] {
            let mut driver = driver();
            let id = arrive(&mut driver, "/pay");
            drain(&mut driver);
            driver.ended(done(id, 0, outcome), None, &mut Vec::new());
            let commands = drain(&mut driver);
            match again {
                true => assert!(matches!(commands[..], [Command::Place { attempt: 1, .. }]), "{commands:?}"),
                false => assert!(matches!(commands[..], [Command::Fail { .. }]), "{commands:?}"),
            }
        }
    }

    #[test]
    fn news_goes_in_before_requests_of_the_same_turn() {
        let mut driver = driver();
        arrive(&mut driver, "/pay");
        let drains =
            EndpointRecord { status: EndpointStatus::Draining, rating: 1.0, ..EndpointRecord::default() };
        driver.news(Event::EndpointsUpdated(EndpointUpdate::Delta(vec![drains])));
        assert!(matches!(drain(&mut driver)[..], [Command::Refuse { .. }]), "sent to a draining machine");
    }
}

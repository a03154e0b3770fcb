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

use crate::classify::Classification;
use crate::clock::MS;
use crate::readiness::ConnId;
use crate::workers::{WorkerId, owner_of};

/// A request that nothing has ended is failed so long after its time: the decisions' own answer comes first,
/// and the deployment's slack is not used up.
const OVERDUE: Micros = 5 * MS;

/// What the sockets are to do.
#[derive(Debug)]
pub enum Command {
    /// Start an attempt for a request that is held.
    Forward {
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
    Cancel {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: usize,
    },
    /// Final answer: a machine's.
    Respond {
        /// To whom.
        client: ConnId,
        /// What.
        answer: Response,
    },
    /// Final answer: refused, harmless to try again.
    Reject {
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
    DeadlineExceeded {
        /// To whom.
        client: ConnId,
    },
    /// A streamed answer begins.
    StartResponse {
        /// To whom.
        client: ConnId,
        /// With these headers.
        headers: Headers,
    },
    /// A streamed answer has ended: whole, or broken.
    FinishResponse {
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
    HealthCheck(EndpointId),
    /// Close idle connections to a machine.
    CloseIdle(EndpointId),
    /// Subscribe to discovery.
    WatchEndpoints(bool),
    /// Ask for the whole list.
    PollEndpoints,
    /// Cast a vote.
    Vote(Build, usize, Verdict),
    /// A line for on-call.
    Log(String),
}

/// A request that the decisions know of or will be told of.
pub struct InFlightRequest {
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
    awaiting_answer: bool,
    /// The attempt whose streamed answer has begun.
    pub streaming_attempt: Option<usize>,
}

/// The decisions, the requests they owe answers to, and what they have not been told yet.
pub struct Dispatcher {
    brain: Policy,
    config: Config,
    in_flight_count: FxHashMap<RequestId, InFlightRequest>,
    /// Names that clients gave to the requests whose answer is owed.
    names: HashSet<Vec<u8>>,
    /// When they are failed, should nothing end them.
    expire_overdue: BTreeSet<(Micros, RequestId)>,
    owed: usize,
    /// The same by thread.
    owed_by: Vec<usize>,
    owed_bytes: usize,
    next: u32,
    /// The process ends: every answer is given by then.
    answer_by: Option<Micros>,
    queue_priority_event: VecDeque<Event>,
    /// News that the decisions have been told so far.
    news_told: u64,
    events: VecDeque<Event>,
    actions: Vec<Action>,
}

impl Dispatcher {
    /// A new instance of the decisions.
    pub fn new(seed: u64, settings: &Settings, cores: usize) -> Self {
        Dispatcher {
            brain: Policy::new(seed, settings.config.clone()),
            config: settings.config.clone(),
            in_flight_count: FxHashMap::default(),
            names: HashSet::new(),
            expire_overdue: BTreeSet::new(),
            owed: 0,
            owed_by: vec![0; cores],
            owed_bytes: 0,
            next: 0,
            answer_by: None,
            queue_priority_event: VecDeque::new(),
            news_told: 0,
            events: VecDeque::new(),
            actions: Vec::new(),
        }
    }

    /// Requests whose answer is owed.
    pub fn in_flight_count(&self) -> usize {
        self.owed
    }

    /// The same on one thread.
    pub fn in_flight_count_of(&self, core: WorkerId) -> usize {
        self.owed_by[core.0]
    }

    /// Whether a request of the same name is open: another client's, or a resent one that is still held.
    pub fn is_open(&self, message: &Message) -> bool {
        self.names.contains(name_of(message))
    }

    /// When the first of those on a thread must be failed.
    pub fn next_deadline(&self, core: WorkerId) -> Option<Micros> {
        self.first_due(core).map(|(at, _)| at)
    }

    fn first_due(&self, core: WorkerId) -> Option<(Micros, RequestId)> {
        let cores = self.owed_by.len();
        self.expire_overdue.iter().find(|(_, id)| id.0 as usize % cores == core.0).copied()
    }

    /// Their bodies, in bytes.
    pub fn in_flight_bytes(&self) -> usize {
        self.owed_bytes
    }

    /// One of them.
    pub fn get(&self, id: RequestId) -> Option<&InFlightRequest> {
        self.in_flight_count.get(&id).filter(|h| h.awaiting_answer)
    }

    /// News of fleet or stage: told before anything else that waits.
    pub fn queue_priority_event(&mut self, event: Event) {
        self.queue_priority_event.push_back(event);
    }

    /// Anything else that happened.
    pub fn queue_event(&mut self, event: Event) {
        self.events.push_back(event);
    }

    /// Takes a request over; its number and deadline.
    pub fn on_request(
        &mut self,
        client: ConnId,
        message: Message,
        meaning: Classification,
        now: Micros,
    ) -> RequestId {
        // The number says whose thread it is on: it leaves the same rest as that thread's.
        let (cores, core) = (self.owed_by.len() as u32, owner_of(client).0 as u32);
        let most = u32::MAX / cores;
        let number = |next: u32| RequestId(next % most * cores + core);
        while self.in_flight_count.contains_key(&number(self.next)) {
            self.next = self.next.wrapping_add(1);
        }
        let id = number(self.next);
        self.next = self.next.wrapping_add(1);
        self.owed_by[core as usize] += 1;
        let Classification { class, tenant, timeout: wait, work_hint: hint, is_retry: repeat } = meaning;
        let deadline = self.answer_by.map_or(now + wait, |by| by.min(now + wait));
        self.owed += 1;
        self.owed_bytes += message.body.len();
        self.names.insert(name_of(&message).to_vec());
        self.expire_overdue.insert((deadline + OVERDUE, id));
        let message = Arc::new(message);
        let held = InFlightRequest {
            client,
            message,
            class,
            deadline,
            attempts: 0,
            awaiting_answer: true,
            streaming_attempt: None,
        };
        self.in_flight_count.insert(id, held);
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
        for (id, held) in
            self.in_flight_count.iter_mut().filter(|(_, held)| held.awaiting_answer && held.deadline > by)
        {
            self.expire_overdue.remove(&(held.deadline + OVERDUE, *id));
            held.deadline = by;
            self.expire_overdue.insert((held.deadline + OVERDUE, *id));
        }
    }

    /// The final answer has been given, or is owed no more: whose it was.
    fn settle(&mut self, id: RequestId) -> Option<ConnId> {
        let held = self.in_flight_count.get_mut(&id).filter(|h| h.awaiting_answer)?;
        held.awaiting_answer = false;
        self.owed -= 1;
        self.owed_by[owner_of(held.client).0] -= 1;
        self.owed_bytes -= held.message.body.len();
        self.names.remove(name_of(&held.message));
        self.expire_overdue.remove(&(held.deadline + OVERDUE, id));
        Some(held.client)
    }

    fn ended_by_decision(&mut self, id: RequestId) -> Option<ConnId> {
        let client = self.settle(id);
        self.in_flight_count.remove(&id);
        client
    }

    /// The client has left: nothing is owed any more. The attempt whose answer was being streamed, if any.
    pub fn on_disconnect(&mut self, id: RequestId) -> Option<usize> {
        self.settle(id)?;
        self.events.push_back(Event::ClientDisconnected(id));
        self.in_flight_count.get(&id)?.streaming_attempt
    }

    /// Fails the requests on a thread whose time is over and that nothing has ended. A stream that has begun goes on. The
    /// thread has looked for what lies at its connections; no other could.
    pub fn expire_overdue(&mut self, core: WorkerId, now: Micros, commands: &mut Vec<Command>) {
        while let Some((at, id)) = self.first_due(core).filter(|(at, _)| *at <= now) {
            self.expire_overdue.remove(&(at, id));
            if let Some(client) = self.get(id).filter(|h| h.streaming_attempt.is_none()).map(|h| h.client) {
                self.on_disconnect(id);
                commands.push(Command::DeadlineExceeded { client });
            }
        }
    }

    /// A streamed answer has begun. False if it is nobody's any more.
    pub fn on_response_started(
        &mut self,
        id: RequestId,
        attempt: usize,
        headers: Headers,
        commands: &mut Vec<Command>,
    ) -> bool {
        let Some(held) =
            self.in_flight_count.get_mut(&id).filter(|h| h.awaiting_answer && h.streaming_attempt.is_none())
        else {
            return false;
        };
        held.streaming_attempt = Some(attempt);
        commands.push(Command::StartResponse { client: held.client, headers });
        self.events.push_back(Event::ResponseStarted { id, attempt });
        true
    }

    /// An attempt ended. The first one that served ends the request, as does the break of a begun stream.
    pub fn on_attempt_completed(
        &mut self,
        mut done: AttemptResult,
        answer: Option<Response>,
        commands: &mut Vec<Command>,
    ) {
        let id = done.id;
        done.request_finished = true;
        if let Some(held) = self.get(id) {
            let (client, served) = (held.client, done.outcome == Outcome::Success);
            let command = match (held.streaming_attempt, answer) {
                (Some(begun), _) if begun == done.attempt => {
                    Some(Command::FinishResponse { client, whole: served })
                }
                (None, Some(answer)) if served => Some(Command::Respond { client, answer }),
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
    pub fn on_attempt_not_started(&mut self, id: RequestId, attempt: usize, outcome: Outcome) {
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
        let news = self.queue_priority_event.pop_front();
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
        told_over.map(|id| self.in_flight_count.remove(&id));
        true
    }

    fn act(&mut self, now: Micros, action: Action, commands: &mut Vec<Command>) {
        let command = match action {
            Action::Forward { id, endpoint: machine, timeout: time_out } => {
                let Some(held) = self.in_flight_count.get_mut(&id) else { return };
                let attempt = held.attempts;
                held.attempts += 1;
                let streamed = self.config.classes[held.class.0].streamed;
                let until = time_out.map_or(held.deadline, |t| held.deadline.min(now + t));
                let allowed = attempt < self.config.max_attempts && (until > now || streamed);
                if !allowed || !held.awaiting_answer || held.streaming_attempt.is_some() {
                    return self.on_attempt_not_started(id, attempt, Outcome::NotSent);
                }
                let stamp = DecisionStamp { updates: self.news_told, decided_at: now };
                Command::Forward { id, attempt, machine, until, stamp }
            }
            Action::Cancel { id, attempt } => Command::Cancel { id, attempt },
            // Where the request is over already, the decisions have not been told yet.
            Action::Reject { id, retry_after: come_back } => match self.ended_by_decision(id) {
                Some(client) => Command::Reject { client, come_back },
                None => return,
            },
            Action::Fail(id) => match self.ended_by_decision(id) {
                Some(client) => Command::Fail { client },
                None => return,
            },
            Action::SetTimer { after, token } => Command::Timer { at: now + after, token },
            Action::HealthCheck(machine) => Command::HealthCheck(machine),
            Action::CloseIdle(machine) => Command::CloseIdle(machine),
            // The pages give fronts no way to speak to each other, so no message leaves.
            Action::SendGossip { .. } => return,
            Action::WatchEndpoints(want) => Command::WatchEndpoints(want),
            Action::PollEndpoints => Command::PollEndpoints,
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
    use crate::classify::classify;
    use garnetcrank_http::{Parsing, RequestReader, Ring};

    const NOW: Micros = 1_700_000_000_000_000;

    fn settings() -> Settings {
        let settings = serde_json::from_str(include_str!("../tests/settings.json")).expect("JSON");
        Settings::read(&settings).expect("settings that hold together")
    }

    fn driver() -> Dispatcher {
        let mut driver = Dispatcher::new(7, &settings(), 1);
        let entry = EndpointRecord { rating: 1.0, ..EndpointRecord::default() };
        driver.queue_priority_event(Event::EndpointsUpdated(EndpointUpdate::Snapshot {
            endpoints: vec![entry],
            cached: true,
        }));
        drain(&mut driver);
        driver
    }

    fn drain(driver: &mut Dispatcher) -> Vec<Command> {
        let mut commands = Vec::new();
        while driver.step(NOW, &mut commands) {}
        commands.retain(|c| !matches!(c, Command::Timer { .. } | Command::Log(_)));
        commands
    }

    fn arrive(driver: &mut Dispatcher, target: &str) -> RequestId {
        let text = format!(
            "POST {target} HTTP/1.1\r\nHost: x\r\nRequest-Id: 1\r\nTenant: acme\r\n\
             Request-Timeout-Ms: 900\r\nContent-Length: 2\r\n\r\nhi"
        );
        let mut ring = Ring::new(4096);
        ring.push(text.as_bytes()).expect("room");
        let Ok(Parsing::Done(message)) = RequestReader::new(10).read(&mut ring) else { panic!("no request") };
        let meaning = classify(&settings(), &message).expect("a request");
        assert!(!driver.is_open(&message), "an earlier request is still open");
        driver.on_request(ConnId(1), message, meaning, NOW)
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
            assert_eq!((driver.in_flight_count(), driver.in_flight_bytes()), (1, 2));
            driver.on_disconnect(id);
            let commands = drain(&mut driver);
            let only_withdrawn = commands.iter().all(|c| matches!(c, Command::Cancel { .. }));
            assert!(only_withdrawn, "something is sent or answered for it: {commands:?}");
            assert!(
                driver.in_flight_count.is_empty()
                    && driver.in_flight_count() == 0
                    && driver.in_flight_bytes() == 0
            );
            assert!(driver.names.is_empty() && driver.expire_overdue.is_empty(), "something is kept for it");
        }
        // The module's count of open attempts is right: it sends the next one at once.
        arrive(&mut driver, "/look");
        assert!(matches!(drain(&mut driver)[..], [Command::Forward { attempt: 0, .. }]));
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
        driver.on_attempt_completed(done(id, 0, Outcome::Success), Some(answer), &mut commands);
        assert!(matches!(commands[..], [Command::Respond { client: ConnId(1), .. }]));
        commands.clear();
        driver.expire_overdue(WorkerId::FIRST, NOW + 3_600_000 * MS, &mut commands);
        assert!(commands.is_empty() && drain(&mut driver).is_empty() && driver.in_flight_count.is_empty());
    }

    #[test]
    fn a_request_that_nothing_ended_is_failed_when_its_time_is_over() {
        let mut driver = driver();
        let id = arrive(&mut driver, "/pay");
        drain(&mut driver);
        let mut commands = Vec::new();
        driver.expire_overdue(WorkerId::FIRST, NOW + 900 * MS, &mut commands);
        assert!(commands.is_empty(), "before its time");
        driver.expire_overdue(WorkerId::FIRST, NOW + 900 * MS + OVERDUE, &mut commands);
        assert!(matches!(commands[..], [Command::DeadlineExceeded { client: ConnId(1) }]));
        assert!(matches!(drain(&mut driver)[..], [Command::Cancel { attempt: 0, .. }]));
        driver.on_attempt_completed(done(id, 0, Outcome::Cancelled), None, &mut commands);
        assert!(drain(&mut driver).is_empty() && driver.in_flight_count.is_empty());
    }

    #[test]
    fn a_process_that_ends_answers_what_it_holds_and_what_comes_before_it_may_be_killed() {
        let mut driver = driver();
        arrive(&mut driver, "/pay");
        assert_eq!(drain(&mut driver).len(), 1);
        driver.answer_by(NOW + 5_000 * MS);
        assert_eq!(
            driver.next_deadline(WorkerId::FIRST),
            Some(NOW + 900 * MS + OVERDUE),
            "its own time is over before that"
        );
        driver.answer_by(NOW + 300 * MS);
        assert_eq!(driver.next_deadline(WorkerId::FIRST), Some(NOW + 300 * MS + OVERDUE));
        let mut commands = Vec::new();
        driver.expire_overdue(WorkerId::FIRST, NOW + 300 * MS + OVERDUE, &mut commands);
        assert!(matches!(commands[..], [Command::DeadlineExceeded { .. }]));
        drain(&mut driver);
        // One that comes now has that time and no longer, and is sent nowhere for longer.
        arrive(&mut driver, "/look");
        assert_eq!(driver.next_deadline(WorkerId::FIRST), Some(NOW + 300 * MS + OVERDUE));
        let by = |c: &Command| matches!(c, Command::Forward { until, .. } if *until <= NOW + 300 * MS);
        let placed = drain(&mut driver);
        assert!(placed.iter().all(by) && placed.len() == 1, "{placed:?}");
        driver.answer_by(NOW + 200 * MS);
        assert_eq!(
            (driver.expire_overdue.len(), driver.in_flight_count()),
            (1, 1),
            "an entry was left behind"
        );
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
            driver.on_attempt_completed(done(id, 0, outcome), None, &mut Vec::new());
            let commands = drain(&mut driver);
            match again {
                true => {
                    assert!(matches!(commands[..], [Command::Forward { attempt: 1, .. }]), "{commands:?}")
                }
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
        driver.queue_priority_event(Event::EndpointsUpdated(EndpointUpdate::Delta(vec![drains])));
        assert!(matches!(drain(&mut driver)[..], [Command::Reject { .. }]), "sent to a draining machine");
    }
}

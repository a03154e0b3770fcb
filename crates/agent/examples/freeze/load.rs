//! Clients that decide the same subjects against one another through all agents, and proxies that watch for votes to
//! cast; at the end, whether anything was decided twice or lost.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use garnetcrank_consensus::build_verdicts;
use garnetcrank_consensus::fencing::{FencingDecision, FencingGate};
use garnetcrank_consensus::ids::{Epoch, Subject};
use garnetcrank_test_support::agent_cluster::{AgentCluster, client, get, post, wait_until};
use garnetcrank_test_support::linearizability::History;
use serde_json::{Value, json};

/// Subjects that are open to all clients at a time.
const OPEN_SUBJECTS: u64 = 8;
/// Operations on one subject before the next is opened.
const OPERATIONS_PER_SUBJECT: u64 = 5;
/// One in so many operations is a read.
const OPERATIONS_PER_READ: u64 = 3;
/// Longest wait for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long one proposal is sent again and again before its session is given up.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(25);
/// Longest wait for a page when the agents are compared at the end.
const COMPARE_TIMEOUT: Duration = Duration::from_secs(8);

/// The result of a run.
#[derive(Debug, Default)]
pub struct Report {
    /// Subjects decided.
    pub decisions: u64,
    /// Epochs of the lease on the role `votes` that were seen.
    pub epochs: usize,
    /// Votes under an older epoch that the fencing gate rejected.
    pub stale: u64,
    /// Whatever must not happen, in words.
    pub faults: Vec<String>,
}

/// The platform that proxies cast their votes at, with a fencing gate in front.
#[derive(Default)]
struct Platform {
    fencing_gate: FencingGate,
    admitted_epochs: Vec<u64>,
    stale_votes: u64,
}

impl Platform {
    /// A proxy that is assigned the vote shows its epoch first.
    fn cast_vote(&mut self, epoch: u64) {
        let order = Subject::new("cast", epoch);
        match self.fencing_gate.admit(&build_verdicts::vote_role(), Epoch(epoch), &order) {
            FencingDecision::Admit => self.admitted_epochs.push(epoch),
            FencingDecision::StaleEpoch { .. } => self.stale_votes += 1,
            FencingDecision::Duplicate { .. } | FencingDecision::Full => {}
        }
    }
}

#[derive(Default)]
struct Shared {
    stop: AtomicBool,
    operations: AtomicU64,
    history: Mutex<History>,
    platform: Mutex<Platform>,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Clients and proxies that are running.
pub struct Load {
    shared: Arc<Shared>,
    clients: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts so many clients, and a proxy at each agent.
    pub fn start(cluster: &AgentCluster, client_count: usize) -> Self {
        let shared = Arc::new(Shared::default());
        let agents: Vec<SocketAddr> = (0..cluster.len()).map(|at| cluster.local(at)).collect();
        let started = Instant::now();
        let mut clients = Vec::new();
        for number in 0..client_count {
            let client = Client::new(number, agents.clone(), started, shared.clone());
            clients.push(std::thread::spawn(move || client.run()));
        }
        for at in 0..cluster.len() {
            let events = cluster.watch(at, &format!("front-{at}"));
            let shared = shared.clone();
            std::thread::spawn(move || {
                for event in events {
                    if let Some(epoch) = event["cast"]["epoch"].as_u64() {
                        locked(&shared.platform).cast_vote(epoch);
                    }
                }
            });
        }
        Self { shared, clients }
    }

    /// Subjects that clients have seen decided so far.
    pub fn decisions(&self) -> usize {
        locked(&self.shared.history).acknowledged().into_iter().collect::<BTreeMap<_, _>>().len()
    }

    /// Ends the clients and compares what they were answered with what all agents hold.
    pub fn end(self, cluster: &AgentCluster) -> Report {
        self.shared.stop.store(true, Ordering::SeqCst);
        let mut report = Report::default();
        for client in self.clients {
            if client.join().is_err() {
                report.faults.push("a client panicked".to_owned());
            }
        }
        let history = locked(&self.shared.history).clone();
        report.faults.extend(history.not_linearizable());
        let acknowledged: BTreeMap<u64, Vec<u8>> = history.acknowledged().into_iter().collect();
        report.decisions = acknowledged.len() as u64;
        for at in 0..cluster.len() {
            report.faults.extend(missing_decisions(cluster, at, &acknowledged));
        }
        let platform = locked(&self.shared.platform);
        report.epochs = platform.admitted_epochs.len();
        report.stale = platform.stale_votes;
        report
    }
}

/// Acknowledged decisions that an agent does not hold.
fn missing_decisions(
    cluster: &AgentCluster,
    at: usize,
    acknowledged: &BTreeMap<u64, Vec<u8>>,
) -> Vec<String> {
    let http = client(COMPARE_TIMEOUT);
    let mut held = BTreeMap::new();
    wait_until("an agent reads the whole ledger", || match read_subjects(&http, cluster.local(at)) {
        Some(subjects) => {
            held = subjects;
            true
        }
        None => false,
    });
    let mut missing = Vec::new();
    for (number, value) in acknowledged {
        let found = held.get(number);
        if found != Some(value) {
            missing.push(format!("subject {number}: {value:?} acknowledged, n{at} holds {found:?}"));
        }
    }
    missing
}

/// All subjects in space `s`, by linearizable reads, so that nothing that was decided before is missing.
fn read_subjects(http: &ureq::Agent, agent: SocketAddr) -> Option<BTreeMap<u64, Vec<u8>>> {
    let mut subjects = BTreeMap::new();
    let mut after = String::new();
    loop {
        let (code, page) = get(http, agent, &format!("/v1/ledger?space=s{after}")).ok()?;
        if code != 200 {
            return None;
        }
        for view in page["subjects"].as_array()? {
            let value = view["standing"]["Decided"].as_array()?;
            subjects.insert(view["subject"]["number"].as_u64()?, bytes(value));
        }
        match page["next"]["number"].as_u64() {
            Some(number) => after = format!("&after=s/{number}"),
            None => return Some(subjects),
        }
    }
}

/// One client: opens a session, then proposes and reads, each sent to one agent after the other.
struct Client {
    number: usize,
    agents: Vec<SocketAddr>,
    /// Requests sent so far, and with them which agent is next.
    requests: usize,
    http: ureq::Agent,
    started: Instant,
    shared: Arc<Shared>,
    session: Option<Value>,
    sequence: u64,
}

impl Client {
    fn new(number: usize, agents: Vec<SocketAddr>, started: Instant, shared: Arc<Shared>) -> Self {
        let http = client(ANSWER_TIMEOUT);
        Self { number, agents, requests: number, http, started, shared, session: None, sequence: 0 }
    }

    fn run(mut self) {
        while !self.shared.stop.load(Ordering::SeqCst) {
            let Some(session) = self.session.clone() else {
                self.open_session();
                continue;
            };
            let operation = self.shared.operations.fetch_add(1, Ordering::SeqCst);
            let subject = operation / OPERATIONS_PER_SUBJECT / OPEN_SUBJECTS * OPEN_SUBJECTS
                + operation % OPEN_SUBJECTS;
            if operation.is_multiple_of(OPERATIONS_PER_READ) {
                self.read(subject);
            } else {
                self.decide(subject, &session);
            }
        }
    }

    /// Microseconds since the start of the run.
    fn now(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    fn next_agent(&mut self) -> SocketAddr {
        self.requests += 1;
        self.agents[self.requests % self.agents.len()]
    }

    fn open_session(&mut self) {
        let agent = self.next_agent();
        if let Ok((200, answer)) = post(&self.http, agent, "/v1/sessions?within_ms=800", &json!({})) {
            let session = answer["reply"]["Opened"].clone();
            self.session = if session.is_null() { None } else { Some(session) };
            self.sequence = 0;
        }
    }

    /// Reads a subject. A read without an answer shows nothing and need not be sent again.
    fn read(&mut self, subject: u64) {
        let operation = locked(&self.shared.history).begin_read(subject, self.now());
        let path = format!("/v1/ledger/s/{subject}?within_ms=800");
        let agent = self.next_agent();
        if let Ok((200, page)) = get(&self.http, agent, &path) {
            let value = page["subjects"][0]["standing"]["Decided"].as_array().map(|value| bytes(value));
            locked(&self.shared.history).end_read(operation, value, self.now());
        }
    }

    /// Decides a subject. The proposal is sent until it is answered, also after the end of the run: only that tells
    /// whether it was decided.
    fn decide(&mut self, subject: u64, session: &Value) {
        self.sequence += 1;
        let value = [self.number as u8, (self.sequence >> 8) as u8, self.sequence as u8];
        let operation = locked(&self.shared.history).begin_decide(subject, value.to_vec(), self.now());
        let command = json!({"Decide": {"subject": {"space": "s", "number": subject}, "value": value}});
        let proposal = json!({"session": session, "sequence": self.sequence, "command": command});
        let body = json!({"proposal": proposal, "within_ms": 800});
        let deadline = Instant::now() + PROPOSAL_TIMEOUT;
        loop {
            let agent = self.next_agent();
            let answer = match post(&self.http, agent, "/v1/propose", &body) {
                Ok((200, answer)) => answer,
                _ => Value::Null,
            };
            if let Some(decided) = answer["reply"]["Decided"]["value"].as_array() {
                locked(&self.shared.history).end_decide(operation, bytes(decided), self.now());
                return;
            }
            let session_lost = answer["reply"] == "SessionLost";
            if session_lost || Instant::now() > deadline {
                self.session = None;
                return;
            }
        }
    }
}

fn bytes(value: &[Value]) -> Vec<u8> {
    value.iter().filter_map(Value::as_u64).map(|byte| byte as u8).collect()
}

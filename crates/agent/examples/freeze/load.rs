//! Load for a cluster: clients that compete to decide the same subjects through all agents, and proxies that
//! watch for votes to cast.
//!
//! The report at the end lists the subjects that were decided twice and the decisions that were lost.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use garnetcrank_consensus::build_verdicts;
use garnetcrank_consensus::fencing::{FencingDecision, FencingGate};
use garnetcrank_consensus::ids::{Epoch, Subject};
use garnetcrank_test_support::agent_cluster::{AgentCluster, get, http_client, post, wait_until};
use garnetcrank_test_support::linearizability::History;
use serde_json::{Value, json};

/// Number of subjects that clients decide at the same time.
const OPEN_SUBJECTS: u64 = 8;
/// Number of operations on one subject before the next one replaces it.
const OPERATIONS_PER_SUBJECT: u64 = 5;
/// Interval between two reads, in operations.
const OPERATIONS_PER_READ: u64 = 3;
/// Longest wait for one response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Longest time for which a proposal is retried before its session is abandoned.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(25);
/// Longest wait for a page of subjects in the comparison of all agents at the end.
const COMPARE_TIMEOUT: Duration = Duration::from_secs(8);

/// Result of a run.
#[derive(Debug, Default)]
pub struct Report {
    /// Number of subjects that clients have seen decided.
    pub decisions: u64,
    /// Number of epochs of the lease on the role `votes` under which the fencing gate admitted a vote.
    pub epochs: usize,
    /// Number of votes under an older epoch, which the fencing gate rejected.
    pub stale_votes: u64,
    /// Descriptions of all violations of the cluster's guarantees.
    pub violations: Vec<String>,
}

/// Release controller to which proxies cast their votes, behind a fencing gate.
#[derive(Default)]
struct ReleaseController {
    fencing_gate: FencingGate,
    admitted_epochs: Vec<u64>,
    stale_votes: u64,
}

impl ReleaseController {
    /// Receives a vote of a proxy. The fencing gate checks the vote's epoch first.
    fn receive_vote(&mut self, epoch: u64) {
        let order = Subject::new("cast", epoch);
        match self.fencing_gate.admit(&build_verdicts::vote_role(), Epoch(epoch), &order) {
            FencingDecision::Admit => self.admitted_epochs.push(epoch),
            FencingDecision::StaleEpoch { .. } => self.stale_votes += 1,
            FencingDecision::Duplicate { .. } | FencingDecision::Full => {}
        }
    }
}

#[derive(Default)]
struct SharedState {
    stop: AtomicBool,
    operations: AtomicU64,
    history: Mutex<History>,
    release_controller: Mutex<ReleaseController>,
}

/// Locks a mutex, also after a thread has panicked while it held the lock.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Running clients and proxies.
pub struct Load {
    shared: Arc<SharedState>,
    clients: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts `client_count` clients, and a proxy at each agent.
    pub fn start(cluster: &AgentCluster, client_count: usize) -> Self {
        let shared = Arc::new(SharedState::default());
        let agents: Vec<SocketAddr> = (0..cluster.len()).map(|agent| cluster.http_address(agent)).collect();
        let started = Instant::now();
        let mut clients = Vec::new();
        for number in 0..client_count {
            let client = Client::new(number, agents.clone(), started, shared.clone());
            clients.push(std::thread::spawn(move || client.run()));
        }
        for agent in 0..cluster.len() {
            let events = cluster.watch(agent, &format!("front-{agent}"));
            let shared = shared.clone();
            std::thread::spawn(move || {
                for event in events {
                    if let Some(epoch) = event["cast"]["epoch"].as_u64() {
                        lock(&shared.release_controller).receive_vote(epoch);
                    }
                }
            });
        }
        Self { shared, clients }
    }

    /// Returns how many subjects clients have seen decided so far.
    pub fn decisions(&self) -> usize {
        lock(&self.shared.history).acknowledged().into_iter().collect::<BTreeMap<_, _>>().len()
    }

    /// Stops the clients and compares the decisions that they received with the state of every agent.
    pub fn end(self, cluster: &AgentCluster) -> Report {
        self.shared.stop.store(true, Ordering::SeqCst);
        let mut report = Report::default();
        for client in self.clients {
            if client.join().is_err() {
                report.violations.push("a client panicked".to_owned());
            }
        }
        let history = lock(&self.shared.history).clone();
        report.violations.extend(history.violations());
        let acknowledged: BTreeMap<u64, Vec<u8>> = history.acknowledged().into_iter().collect();
        report.decisions = acknowledged.len() as u64;
        for agent in 0..cluster.len() {
            report.violations.extend(missing_decisions(cluster, agent, &acknowledged));
        }
        let release_controller = lock(&self.shared.release_controller);
        report.epochs = release_controller.admitted_epochs.len();
        report.stale_votes = release_controller.stale_votes;
        report
    }
}

/// Describes the acknowledged decisions that an agent does not hold.
fn missing_decisions(
    cluster: &AgentCluster,
    agent: usize,
    acknowledged: &BTreeMap<u64, Vec<u8>>,
) -> Vec<String> {
    let http = http_client(COMPARE_TIMEOUT);
    let mut decided = BTreeMap::new();
    wait_until("an agent returns all subjects", || match read_subjects(&http, cluster.http_address(agent)) {
        Some(subjects) => {
            decided = subjects;
            true
        }
        None => false,
    });
    let mut missing = Vec::new();
    for (number, value) in acknowledged {
        let found = decided.get(number);
        if found != Some(value) {
            missing.push(format!("subject {number}: {value:?} acknowledged, n{agent} holds {found:?}"));
        }
    }
    missing
}

/// Reads all subjects in space `s` by linearizable reads, so that no earlier decision is missing. Returns
/// `None` if a read fails.
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

/// Client that opens a session, then proposes and reads, each time at the next agent.
struct Client {
    number: usize,
    agents: Vec<SocketAddr>,
    /// Number of requests so far plus the client's number, which determines the next agent.
    requests: usize,
    http: ureq::Agent,
    started: Instant,
    shared: Arc<SharedState>,
    session: Option<Value>,
    sequence: u64,
}

impl Client {
    fn new(number: usize, agents: Vec<SocketAddr>, started: Instant, shared: Arc<SharedState>) -> Self {
        let http = http_client(RESPONSE_TIMEOUT);
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

    /// Returns the time since the start of the run, in microseconds.
    fn now(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    fn next_agent(&mut self) -> SocketAddr {
        self.requests += 1;
        self.agents[self.requests % self.agents.len()]
    }

    fn open_session(&mut self) {
        let agent = self.next_agent();
        if let Ok((200, response)) = post(&self.http, agent, "/v1/sessions?within_ms=800", &json!({})) {
            let session = response["reply"]["Opened"].clone();
            self.session = if session.is_null() { None } else { Some(session) };
            self.sequence = 0;
        }
    }

    /// Reads a subject. A read without a response proves nothing, so it is not retried.
    fn read(&mut self, subject: u64) {
        let operation = lock(&self.shared.history).begin_read(subject, self.now());
        let path = format!("/v1/ledger/s/{subject}?within_ms=800");
        let agent = self.next_agent();
        if let Ok((200, page)) = get(&self.http, agent, &path) {
            let value = page["subjects"][0]["standing"]["Decided"].as_array().map(|value| bytes(value));
            lock(&self.shared.history).end_read(operation, value, self.now());
        }
    }

    /// Decides a subject. The proposal is retried until it is answered, also after the end of the run,
    /// because only the response shows the decision.
    fn decide(&mut self, subject: u64, session: &Value) {
        self.sequence += 1;
        let value = [self.number as u8, (self.sequence >> 8) as u8, self.sequence as u8];
        let operation = lock(&self.shared.history).begin_proposal(subject, value.to_vec(), self.now());
        let command = json!({"Decide": {"subject": {"space": "s", "number": subject}, "value": value}});
        let proposal = json!({"session": session, "sequence": self.sequence, "command": command});
        let body = json!({"proposal": proposal, "within_ms": 800});
        let deadline = Instant::now() + PROPOSAL_TIMEOUT;
        loop {
            let agent = self.next_agent();
            let response = match post(&self.http, agent, "/v1/propose", &body) {
                Ok((200, response)) => response,
                _ => Value::Null,
            };
            if let Some(decided) = response["reply"]["Decided"]["value"].as_array() {
                lock(&self.shared.history).end_proposal(operation, bytes(decided), self.now());
                return;
            }
            let session_expired = response["reply"] == "SessionLost";
            if session_expired || Instant::now() > deadline {
                self.session = None;
                return;
            }
        }
    }
}

fn bytes(value: &[Value]) -> Vec<u8> {
    value.iter().filter_map(Value::as_u64).map(|byte| byte as u8).collect()
}

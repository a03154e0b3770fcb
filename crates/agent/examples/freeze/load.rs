//! Clients that decide the same subjects against one another through all agents, and watchers of who casts; at the
//! end, whether anything was decided twice or lost.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use garnetcrank_consensus::build_verdicts;
use garnetcrank_consensus::fencing::{FencingDecision, FencingGate};
use garnetcrank_consensus::ids::{Epoch, Subject};
use garnetcrank_test_support::agent_cluster::{AgentCluster, client, get, post, wait_until};
use garnetcrank_test_support::linearizability::History;
use serde_json::{Value, json};

/// Subjects that are open to all clients at a time.
const OPEN: u64 = 8;
/// Operations on one subject before the next is opened.
const EACH: u64 = 5;

/// What became of a run.
#[derive(Debug, Default)]
pub struct Report {
    /// Subjects decided.
    pub decisions: u64,
    /// Epochs of the role `votes` that were seen.
    pub epochs: usize,
    /// Casts under an older epoch that a gate refused.
    pub stale: u64,
    /// Whatever must not be, in words.
    pub faults: Vec<String>,
}

#[derive(Default)]
struct Shared {
    stop: AtomicBool,
    operations: AtomicU64,
    history: Mutex<History>,
    gate: Mutex<(FencingGate, Vec<u64>, u64)>,
}

/// Clients and watchers under way.
pub struct Load {
    shared: Arc<Shared>,
    clients: Vec<JoinHandle<()>>,
}

fn locked<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Load {
    /// So many clients, and a watcher at each agent.
    pub fn start(cluster: &AgentCluster, clients: usize) -> Self {
        let shared = Arc::new(Shared::default());
        let locals: Vec<_> = (0..cluster.len()).map(|at| cluster.local(at)).collect();
        let begun = Instant::now();
        let client = |number: usize| {
            let (shared, locals) = (shared.clone(), locals.clone());
            std::thread::spawn(move || decide(number, &locals, begun, &shared))
        };
        let clients = (0..clients).map(client).collect();
        for at in 0..cluster.len() {
            let (lines, shared) = (cluster.watch(at, &format!("front-{at}")), shared.clone());
            std::thread::spawn(move || {
                for line in lines {
                    if let Some(epoch) = line["cast"]["epoch"].as_u64() {
                        cast(epoch, &shared);
                    }
                }
            });
        }
        Self { shared, clients }
    }

    /// Decisions that clients have heard of so far.
    pub fn decisions(&self) -> usize {
        locked(&self.shared.history).acknowledged().into_iter().collect::<BTreeMap<_, _>>().len()
    }

    /// Ends the clients and compares what they heard with what all agents hold.
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
        let http = client(Duration::from_secs(8));
        for at in 0..cluster.len() {
            let mut held = BTreeMap::new();
            wait_until("an agent reads the whole ledger", || {
                let all = subjects(&http, cluster.local(at));
                held = all.clone().unwrap_or_default();
                all.is_some()
            });
            for (number, value) in &acknowledged {
                if held.get(number) != Some(value) {
                    let held = held.get(number);
                    report
                        .faults
                        .push(format!("subject {number}: {value:?} acknowledged, n{at} holds {held:?}"));
                }
            }
        }
        let (_, epochs, stale) = &*locked(&self.shared.gate);
        report.epochs = epochs.len();
        report.stale = *stale;
        report
    }
}

/// A front that is told to cast shows its epoch first.
fn cast(epoch: u64, shared: &Shared) {
    let (gate, epochs, stale) = &mut *locked(&shared.gate);
    let act = Subject::new("cast", epoch);
    match gate.admit(&build_verdicts::vote_role(), Epoch(epoch), &act) {
        FencingDecision::Admit => epochs.push(epoch),
        FencingDecision::StaleEpoch { .. } => *stale += 1,
        FencingDecision::Duplicate { .. } | FencingDecision::Full => {}
    }
}

/// All subjects in space `s`, read so that nothing decided before is missing.
fn subjects(http: &ureq::Agent, from: std::net::SocketAddr) -> Option<BTreeMap<u64, Vec<u8>>> {
    let (mut all, mut after) = (BTreeMap::new(), String::new());
    loop {
        let (code, page) = get(http, from, &format!("/v1/ledger?space=s{after}")).ok()?;
        if code != 200 {
            return None;
        }
        for view in page["subjects"].as_array()? {
            let value = view["standing"]["Decided"].as_array()?;
            let bytes = value.iter().filter_map(|byte| byte.as_u64()).map(|byte| byte as u8).collect();
            all.insert(view["subject"]["number"].as_u64()?, bytes);
        }
        match page["next"]["number"].as_u64() {
            Some(number) => after = format!("&after=s/{number}"),
            None => return Some(all),
        }
    }
}

/// One client: a session, then proposals and reads, each sent again to another agent until it is answered.
fn decide(number: usize, locals: &[std::net::SocketAddr], begun: Instant, shared: &Shared) {
    let http = client(Duration::from_millis(1500));
    let now = || begun.elapsed().as_micros() as u64;
    let mut at = number;
    let mut session = Value::Null;
    let mut sequence = 0u64;
    // A proposal that was sent is sent until it is answered, also after the end of the run: that is what tells
    // whether it was decided.
    while !shared.stop.load(Ordering::SeqCst) {
        if session.is_null() {
            at += 1;
            if let Ok((200, answer)) =
                post(&http, locals[at % locals.len()], "/v1/sessions?within_ms=800", &json!({}))
            {
                session = answer["reply"]["Opened"].clone();
                sequence = 0;
            }
            continue;
        }
        let turn = shared.operations.fetch_add(1, Ordering::SeqCst);
        let subject = turn / EACH / OPEN * OPEN + turn % OPEN;
        if turn.is_multiple_of(3) {
            let op = locked(&shared.history).begin_read(subject, now());
            let path = format!("/v1/ledger/s/{subject}?within_ms=800");
            // A read that gets no answer says nothing, and need not be sent again.
            at += 1;
            if let Ok((200, page)) = get(&http, locals[at % locals.len()], &path) {
                let value = page["subjects"][0]["standing"]["Decided"].as_array().map(|v| bytes(v));
                locked(&shared.history).end_read(op, value, now());
            }
            continue;
        }
        sequence += 1;
        let value = [number as u8, (sequence >> 8) as u8, sequence as u8];
        let op = locked(&shared.history).begin_decide(subject, value.to_vec(), now());
        let command = json!({"Decide": {"subject": {"space": "s", "number": subject}, "value": value}});
        let proposal = json!({"session": session, "sequence": sequence, "command": command});
        let body = json!({"proposal": proposal, "within_ms": 800});
        let end = Instant::now() + Duration::from_secs(25);
        loop {
            at += 1;
            let answer = post(&http, locals[at % locals.len()], "/v1/propose", &body);
            if let Ok((200, answer)) = &answer
                && let Some(held) = answer["reply"]["Decided"]["value"].as_array()
            {
                locked(&shared.history).end_decide(op, bytes(held), now());
                break;
            }
            let lost = matches!(&answer, Ok((200, answer)) if answer["reply"] == "SessionLost");
            if lost || Instant::now() > end {
                session = Value::Null;
                break;
            }
        }
    }
}

fn bytes(value: &[Value]) -> Vec<u8> {
    value.iter().filter_map(Value::as_u64).map(|byte| byte as u8).collect()
}

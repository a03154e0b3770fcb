//! Real agents as processes on loopback, with a relay for each direction between two, that tests freeze, kill, cut off
//! and restart.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

use crate::fault_relay::FaultRelay;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for an answer of an agent to the cluster's own requests.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(8);
/// Longest wait in [`wait_until`], and how often the condition is checked meanwhile.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const WAIT_INTERVAL: Duration = Duration::from_millis(10);
/// Ports of each agent, on a loopback address of its own.
const PEER_PORT: u16 = 7001;
const HTTP_PORT: u16 = 7101;

/// How the agents of a test run.
#[derive(Debug, Clone)]
pub struct ClusterOptions {
    /// Number of agents.
    pub agents: usize,
    /// Length of a tick, in milliseconds.
    pub tick_ms: u64,
    /// Shortest time without a leader before an election, in ticks.
    pub election_ticks: u64,
    /// How long a lease stays valid without renewal, in milliseconds.
    pub lease_ttl_ms: u64,
    /// Applied entries after which the log is compacted.
    pub compact_every: u64,
    /// Whether there is a relay for each direction between two agents, which [`AgentCluster::cut`] needs.
    pub relays: bool,
}

impl Default for ClusterOptions {
    fn default() -> Self {
        Self {
            agents: 3,
            tick_ms: 10,
            election_ticks: 15,
            lease_ttl_ms: 600,
            compact_every: 500,
            relays: true,
        }
    }
}

struct Agent {
    /// The process, while it runs.
    child: Option<Child>,
    config: PathBuf,
    http_address: SocketAddr,
    /// The relay to each other agent, by that agent's place.
    relays: Vec<Option<FaultRelay>>,
}

/// Why a request got no usable answer.
#[derive(Debug, thiserror::Error)]
#[error("{url}: {source}")]
pub struct RequestError {
    url: String,
    source: Box<ureq::Error>,
}

/// A cluster of agents, which end when it is dropped.
pub struct AgentCluster {
    program: PathBuf,
    agents: Vec<Agent>,
    http: ureq::Agent,
}

/// A loopback address of an agent's own, from this process's id and a count: a free port that the system names may be
/// given to another process before the agent binds it.
fn unique_address(port: u16) -> SocketAddr {
    static COUNT: AtomicU32 = AtomicU32::new(1);
    let process = std::process::id();
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let [_, _, high, low] = process.to_be_bytes();
    SocketAddr::from(([127, 1 + high % 250, low, u8::try_from(count % 256).unwrap_or(0)], port))
}

/// A client with a time limit for each request. Any status counts as an answer.
pub fn client(timeout: Duration) -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(timeout))
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .http_status_as_error(false)
        .build();
    config.into()
}

/// Posts JSON; the status and the answer.
///
/// # Errors
/// No answer, or one that is no JSON.
pub fn post(
    http: &ureq::Agent,
    to: SocketAddr,
    path: &str,
    body: &Value,
) -> Result<(u16, Value), RequestError> {
    let url = format!("http://{to}{path}");
    let response = http.post(&url).send_json(body);
    read_answer(response).map_err(|error| RequestError { url, source: Box::new(error) })
}

/// Gets JSON; the status and the answer.
///
/// # Errors
/// No answer, or one that is no JSON.
pub fn get(http: &ureq::Agent, from: SocketAddr, path: &str) -> Result<(u16, Value), RequestError> {
    let url = format!("http://{from}{path}");
    let response = http.get(&url).call();
    read_answer(response).map_err(|error| RequestError { url, source: Box::new(error) })
}

fn read_answer(
    response: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
) -> Result<(u16, Value), ureq::Error> {
    let mut response = response?;
    let value = response.body_mut().read_json()?;
    Ok((response.status().as_u16(), value))
}

/// Waits until a condition holds.
///
/// # Panics
/// It does not hold within half a minute.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "not within {WAIT_TIMEOUT:?}: {what}");
        std::thread::sleep(WAIT_INTERVAL);
    }
}

impl Agent {
    /// Starts an agent's relays and writes its configuration.
    fn configure(at: usize, peer_addresses: &[SocketAddr], folder: &Path, options: &ClusterOptions) -> Self {
        let mut relays = Vec::new();
        let mut overrides = serde_json::Map::new();
        for (other, peer_address) in peer_addresses.iter().enumerate() {
            if !options.relays || other == at {
                relays.push(None);
                continue;
            }
            let relay = FaultRelay::start(*peer_address).expect("a relay");
            overrides.insert(format!("n{other}"), json!(relay.address().to_string()));
            relays.push(Some(relay));
        }
        let peer_address = peer_addresses[at];
        let http_address = SocketAddr::new(peer_address.ip(), HTTP_PORT);
        let config = folder.join(format!("n{at}.json"));
        let text = json!({
            "name": format!("n{at}"), "cluster": "test", "store": folder.join(format!("n{at}.redb")),
            "peers": peer_address.to_string(), "local": http_address.to_string(), "via": overrides,
            "tick_ms": options.tick_ms, "election_ticks": options.election_ticks,
            "life_ms": options.lease_ttl_ms, "fold_every": options.compact_every,
        });
        std::fs::write(&config, text.to_string()).expect("the configuration is written");
        Self { child: None, config, http_address, relays }
    }
}

impl AgentCluster {
    /// Founds a cluster in an empty folder, starts all agents and waits until all of them vote.
    ///
    /// # Panics
    /// It does not come up.
    pub fn start(program: &Path, folder: &Path, options: &ClusterOptions) -> Self {
        let count = options.agents;
        let peer_addresses: Vec<SocketAddr> = (0..count).map(|_| unique_address(PEER_PORT)).collect();
        let mut agents = Vec::new();
        for at in 0..count {
            agents.push(Agent::configure(at, &peer_addresses, folder, options));
        }
        let mut cluster = Self { program: program.to_owned(), agents, http: client(REQUEST_TIMEOUT) };
        let founded = cluster.command("found", 0).output().expect("the agent runs");
        assert!(founded.status.success(), "{founded:?}");
        for at in 0..count {
            cluster.start_agent(at);
        }
        for at in 1..count {
            cluster.add(at);
        }
        wait_until("all vote", || (0..count).all(|at| cluster.role(at) == "voter"));
        cluster
    }

    fn command(&self, job: &str, at: usize) -> Command {
        let mut command = Command::new(&self.program);
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.agents[at].config.with_extension("log"));
        let log = log.map_or(Stdio::null(), Stdio::from);
        command.arg(job).arg("--config").arg(&self.agents[at].config).stderr(log);
        command
    }

    /// Number of agents.
    pub fn len(&self) -> usize {
        self.agents.len()
    }

    /// Whether there are no agents.
    pub fn is_empty(&self) -> bool {
        self.agents.is_empty()
    }

    /// The address of an agent's HTTP port.
    pub fn local(&self, at: usize) -> SocketAddr {
        self.agents[at].http_address
    }

    /// Starts an agent.
    ///
    /// # Panics
    /// It does not start.
    pub fn start_agent(&mut self, at: usize) {
        let child = self.command("run", at).spawn().expect("the agent starts");
        self.agents[at].child = Some(child);
    }

    /// Adds an agent that waits to be added to the cluster.
    pub fn add(&self, at: usize) {
        let mut me = Value::Null;
        wait_until("the newcomer answers", || {
            let answer = get(&self.http, self.local(at), "/v1/status");
            me = answer.map(|(_, status)| status["me"].clone()).unwrap_or_default();
            me["part"] == "none"
        });
        let change = json!({"add": {"id": me["id"], "name": me["name"], "address": me["address"]}});
        wait_until("the leader adds it", || self.post_to_leader("/v1/members", &change));
    }

    /// Posts to each agent until the leader has done what is asked. Returns whether it was done.
    pub fn post_to_leader(&self, path: &str, body: &Value) -> bool {
        let done = |at| matches!(post(&self.http, self.local(at), path, body), Ok((200, v)) if v["result"] == "done");
        (0..self.len()).any(done)
    }

    /// An agent's role: `voter`, `learner` or `none`; empty if it does not answer.
    pub fn role(&self, at: usize) -> String {
        let status = self.status(at);
        status["me"]["part"].as_str().unwrap_or_default().to_owned()
    }

    /// An agent's status; null if it does not answer.
    pub fn status(&self, at: usize) -> Value {
        get(&self.http, self.local(at), "/v1/status").map(|(_, status)| status).unwrap_or_default()
    }

    /// The agent that believes that it leads, in the latest term of all that answer.
    pub fn leader(&self) -> Option<usize> {
        let status = |at| {
            let node = self.status(at)["node"].clone();
            (node["standing"] == "leader").then(|| (node["term"].as_u64(), at))
        };
        (0..self.len()).filter_map(status).max().map(|(_, at)| at)
    }

    fn signal(&self, at: usize, signal: Signal) {
        if let Some(child) = &self.agents[at].child {
            // A child that has not been waited for: no other process has its id.
            let sent = kill_process(Pid::from_child(child), signal);
            sent.expect("a child can be signalled");
        }
    }

    /// Stops an agent wherever it is (SIGSTOP).
    pub fn freeze(&self, at: usize) {
        self.signal(at, Signal::STOP);
    }

    /// Resumes a frozen agent (SIGCONT).
    pub fn wake(&self, at: usize) {
        self.signal(at, Signal::CONT);
    }

    /// Kills an agent (SIGKILL).
    pub fn kill(&mut self, at: usize) {
        if let Some(mut child) = self.agents[at].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Ends an agent as its operator would (SIGTERM). Returns whether it exited with success.
    pub fn stop(&mut self, at: usize) -> bool {
        self.signal(at, Signal::TERM);
        let child = self.agents[at].child.take();
        child.is_some_and(|mut child| child.wait().is_ok_and(|status| status.success()))
    }

    /// Whether an agent was started and has not been ended since.
    pub fn is_running(&self, at: usize) -> bool {
        self.agents[at].child.is_some()
    }

    /// Deletes an agent's store, as a lost disk does.
    pub fn delete_store(&self, at: usize) {
        let _ = std::fs::remove_file(self.agents[at].config.with_extension("redb"));
    }

    /// Cuts or heals the connection in one direction.
    pub fn cut(&self, from: usize, to: usize, cut: bool) {
        if let Some(Some(relay)) = self.agents[from].relays.get(to) {
            relay.set_cut(cut);
        }
    }

    /// Cuts or heals the connections between one agent and all others, in both directions.
    pub fn isolate(&self, at: usize, cut: bool) {
        for other in 0..self.len() {
            self.cut(at, other, cut);
            self.cut(other, at, cut);
        }
    }

    /// Resident memory of an agent, in KiB; 0 if it does not run.
    pub fn resident_kib(&self, at: usize) -> u64 {
        let Some(child) = &self.agents[at].child else { return 0 };
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or_default();
        line.split_whitespace().next().and_then(|kib| kib.parse().ok()).unwrap_or(0)
    }

    /// An agent's log, of all its runs.
    pub fn log(&self, at: usize) -> String {
        std::fs::read_to_string(self.agents[at].config.with_extension("log")).unwrap_or_default()
    }

    /// Events of a proxy's watch at an agent, received by a thread until the agent ends or the receiver is dropped.
    pub fn watch(&self, at: usize, proxy: &str) -> std::sync::mpsc::Receiver<Value> {
        let (events, receiver) = std::sync::mpsc::channel();
        let url = format!("http://{}/v1/watch?front={proxy}", self.local(at));
        std::thread::spawn(move || {
            let Ok(mut answer) = ureq::get(&url).call() else { return };
            for line in BufReader::new(answer.body_mut().as_reader()).lines() {
                let Some(event) = line.ok().and_then(|line| serde_json::from_str(&line).ok()) else { return };
                if events.send(event).is_err() {
                    return;
                }
            }
        });
        receiver
    }
}

impl Drop for AgentCluster {
    fn drop(&mut self) {
        for at in 0..self.len() {
            // A frozen process ends by no signal but this one.
            self.kill(at);
        }
    }
}

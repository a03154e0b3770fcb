//! A cluster of real agent processes on loopback, which tests suspend, kill, isolate and restart. A relay for
//! each direction between two agents can cut their connection.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

use crate::fault_relay::FaultRelay;

/// Maximum wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum wait for a response to a request of [`AgentCluster`] itself.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(8);
/// Maximum wait in [`wait_until`].
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between two checks in [`wait_until`].
const WAIT_INTERVAL: Duration = Duration::from_millis(10);
/// Port for peers, on the agent's own loopback address.
const PEER_PORT: u16 = 7001;
/// Port for HTTP, on the agent's own loopback address.
const HTTP_PORT: u16 = 7101;

/// Settings of a test cluster.
#[derive(Debug, Clone)]
pub struct ClusterOptions {
    /// Number of agents.
    pub agents: usize,
    /// Length of a tick, in milliseconds.
    pub tick_ms: u64,
    /// Minimum time without a leader before an election, in ticks.
    pub election_ticks: u64,
    /// Time for which a lease stays valid without renewal, in milliseconds.
    pub lease_ttl_ms: u64,
    /// Number of applied entries after which the log is compacted.
    pub compact_every: u64,
    /// Whether there is a relay for each direction between two agents, which [`AgentCluster::set_cut`] needs.
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
    /// The process; none if it was not started or was ended.
    child: Option<Child>,
    config: PathBuf,
    http_address: SocketAddr,
    /// Relays to the other agents, by their index.
    relays: Vec<Option<FaultRelay>>,
}

/// Failure to get a usable response.
#[derive(Debug, thiserror::Error)]
#[error("{url}: {source}")]
pub struct RequestError {
    url: String,
    source: Box<ureq::Error>,
}

/// A cluster of agents, which are killed when it is dropped.
pub struct AgentCluster {
    program: PathBuf,
    agents: Vec<Agent>,
    http: ureq::Agent,
}

/// Returns a loopback address for one agent, from the id of this process and a count. A free port from the
/// system would not do: another process may take it before the agent binds it.
fn unique_address(port: u16) -> SocketAddr {
    static COUNT: AtomicU32 = AtomicU32::new(1);
    let process = std::process::id();
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let [_, _, high, low] = process.to_be_bytes();
    SocketAddr::from(([127, 1 + high % 250, low, u8::try_from(count % 256).unwrap_or(0)], port))
}

/// Creates an HTTP client with a timeout for each request. No status counts as an error.
pub fn http_client(timeout: Duration) -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(timeout))
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .http_status_as_error(false)
        .build();
    config.into()
}

/// Sends a POST request with JSON. Returns the status and the JSON of the response.
///
/// # Errors
/// When there is no response, or its body is not JSON.
pub fn post(
    http: &ureq::Agent,
    to: SocketAddr,
    path: &str,
    body: &Value,
) -> Result<(u16, Value), RequestError> {
    let url = format!("http://{to}{path}");
    let response = http.post(&url).send_json(body);
    read_response(response).map_err(|error| RequestError { url, source: Box::new(error) })
}

/// Sends a GET request. Returns the status and the JSON of the response.
///
/// # Errors
/// When there is no response, or its body is not JSON.
pub fn get(http: &ureq::Agent, from: SocketAddr, path: &str) -> Result<(u16, Value), RequestError> {
    let url = format!("http://{from}{path}");
    let response = http.get(&url).call();
    read_response(response).map_err(|error| RequestError { url, source: Box::new(error) })
}

fn read_response(
    response: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
) -> Result<(u16, Value), ureq::Error> {
    let mut response = response?;
    let value = response.body_mut().read_json()?;
    Ok((response.status().as_u16(), value))
}

/// Waits until `condition` holds; `what` names it.
///
/// # Panics
/// When it does not hold within 30 seconds.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "not within {WAIT_TIMEOUT:?}: {what}");
        std::thread::sleep(WAIT_INTERVAL);
    }
}

impl Agent {
    /// Starts an agent's relays and writes its configuration.
    fn configure(
        index: usize,
        peer_addresses: &[SocketAddr],
        folder: &Path,
        options: &ClusterOptions,
    ) -> Self {
        let mut relays = Vec::new();
        let mut overrides = serde_json::Map::new();
        for (other, peer_address) in peer_addresses.iter().enumerate() {
            if !options.relays || other == index {
                relays.push(None);
                continue;
            }
            let relay = FaultRelay::start(*peer_address).expect("the relay starts");
            overrides.insert(format!("n{other}"), json!(relay.address().to_string()));
            relays.push(Some(relay));
        }
        let peer_address = peer_addresses[index];
        let http_address = SocketAddr::new(peer_address.ip(), HTTP_PORT);
        let config = folder.join(format!("n{index}.json"));
        let text = json!({
            "name": format!("n{index}"), "cluster": "test", "store": folder.join(format!("n{index}.redb")),
            "peers": peer_address.to_string(), "local": http_address.to_string(), "via": overrides,
            "tick_ms": options.tick_ms, "election_ticks": options.election_ticks,
            "life_ms": options.lease_ttl_ms, "fold_every": options.compact_every,
        });
        std::fs::write(&config, text.to_string()).expect("the configuration is written");
        Self { child: None, config, http_address, relays }
    }
}

impl AgentCluster {
    /// Creates a cluster in an empty folder, starts all agents and waits until all of them are voters.
    ///
    /// # Panics
    /// When the cluster can't be created, or the agents do not become voters in time.
    pub fn start(program: &Path, folder: &Path, options: &ClusterOptions) -> Self {
        let count = options.agents;
        let peer_addresses: Vec<SocketAddr> = (0..count).map(|_| unique_address(PEER_PORT)).collect();
        let mut agents = Vec::new();
        for index in 0..count {
            agents.push(Agent::configure(index, &peer_addresses, folder, options));
        }
        let mut cluster = Self { program: program.to_owned(), agents, http: http_client(REQUEST_TIMEOUT) };
        let output = cluster.command("found", 0).output().expect("the agent runs");
        assert!(output.status.success(), "{output:?}");
        for index in 0..count {
            cluster.start_agent(index);
        }
        for index in 1..count {
            cluster.add_member(index);
        }
        wait_until("all agents are voters", || (0..count).all(|index| cluster.role(index) == "voter"));
        cluster
    }

    fn command(&self, subcommand: &str, index: usize) -> Command {
        let mut command = Command::new(&self.program);
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.agents[index].config.with_extension("log"));
        let log = log.map_or(Stdio::null(), Stdio::from);
        command.arg(subcommand).arg("--config").arg(&self.agents[index].config).stderr(log);
        command
    }

    /// Returns the number of agents.
    pub fn len(&self) -> usize {
        self.agents.len()
    }

    /// Returns whether there are no agents.
    pub fn is_empty(&self) -> bool {
        self.agents.is_empty()
    }

    /// Returns the HTTP address of an agent.
    pub fn http_address(&self, index: usize) -> SocketAddr {
        self.agents[index].http_address
    }

    /// Starts an agent.
    ///
    /// # Panics
    /// When its process can't be started.
    pub fn start_agent(&mut self, index: usize) {
        let child = self.command("run", index).spawn().expect("the agent starts");
        self.agents[index].child = Some(child);
    }

    /// Adds a running agent that is not yet a member to the cluster.
    pub fn add_member(&self, index: usize) {
        let mut agent = Value::Null;
        wait_until("the new agent reports that it is no member", || {
            let response = get(&self.http, self.http_address(index), "/v1/status");
            agent = response.map(|(_, status)| status["me"].clone()).unwrap_or_default();
            agent["part"] == "none"
        });
        let change = json!({"add": {"id": agent["id"], "name": agent["name"], "address": agent["address"]}});
        wait_until("the leader adds the agent", || self.post_to_leader("/v1/members", &change));
    }

    /// Posts to each agent until one reports the request as done. Returns whether one did.
    pub fn post_to_leader(&self, path: &str, body: &Value) -> bool {
        let done = |index| {
            matches!(
                post(&self.http, self.http_address(index), path, body),
                Ok((200, response)) if response["result"] == "done"
            )
        };
        (0..self.len()).any(done)
    }

    /// Returns an agent's role: `voter`, `learner` or `none`; empty if it does not respond.
    pub fn role(&self, index: usize) -> String {
        let status = self.status(index);
        status["me"]["part"].as_str().unwrap_or_default().to_owned()
    }

    /// Returns an agent's status; null if it does not respond.
    pub fn status(&self, index: usize) -> Value {
        get(&self.http, self.http_address(index), "/v1/status").map(|(_, status)| status).unwrap_or_default()
    }

    /// Returns the agent with the latest term of those that report themselves as leader.
    pub fn leader(&self) -> Option<usize> {
        let status = |index| {
            let node = self.status(index)["node"].clone();
            (node["standing"] == "leader").then(|| (node["term"].as_u64(), index))
        };
        (0..self.len()).filter_map(status).max().map(|(_, index)| index)
    }

    fn signal(&self, index: usize, signal: Signal) {
        if let Some(child) = &self.agents[index].child {
            // The child has not been waited for, so no other process has its id.
            let sent = kill_process(Pid::from_child(child), signal);
            sent.expect("the child can be signalled");
        }
    }

    /// Suspends an agent at an arbitrary point (SIGSTOP).
    pub fn suspend(&self, index: usize) {
        self.signal(index, Signal::STOP);
    }

    /// Resumes a suspended agent (SIGCONT).
    pub fn resume(&self, index: usize) {
        self.signal(index, Signal::CONT);
    }

    /// Kills an agent (SIGKILL).
    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.agents[index].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Stops an agent gracefully (SIGTERM). Returns whether it exited with success.
    pub fn stop(&mut self, index: usize) -> bool {
        self.signal(index, Signal::TERM);
        let child = self.agents[index].child.take();
        child.is_some_and(|mut child| child.wait().is_ok_and(|status| status.success()))
    }

    /// Returns whether an agent was started and not killed or stopped since.
    pub fn is_running(&self, index: usize) -> bool {
        self.agents[index].child.is_some()
    }

    /// Deletes an agent's store, like the loss of its disk.
    pub fn delete_store(&self, index: usize) {
        let _ = std::fs::remove_file(self.agents[index].config.with_extension("redb"));
    }

    /// Cuts or heals the connection in one direction.
    pub fn set_cut(&self, from: usize, to: usize, cut: bool) {
        if let Some(Some(relay)) = self.agents[from].relays.get(to) {
            relay.set_cut(cut);
        }
    }

    /// Cuts or heals the connections between one agent and all others, in both directions.
    pub fn set_isolated(&self, index: usize, isolated: bool) {
        for other in 0..self.len() {
            self.set_cut(index, other, isolated);
            self.set_cut(other, index, isolated);
        }
    }

    /// Returns the resident memory of an agent, in KiB; 0 if it does not run.
    pub fn resident_kib(&self, index: usize) -> u64 {
        let Some(child) = &self.agents[index].child else { return 0 };
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or_default();
        line.split_whitespace().next().and_then(|kib| kib.parse().ok()).unwrap_or(0)
    }

    /// Returns an agent's log, of all its runs.
    pub fn log(&self, index: usize) -> String {
        std::fs::read_to_string(self.agents[index].config.with_extension("log")).unwrap_or_default()
    }

    /// Watches an agent as a proxy does. A thread sends the events to the receiver that is returned, until
    /// the agent ends or the receiver is dropped.
    pub fn watch(&self, index: usize, proxy: &str) -> std::sync::mpsc::Receiver<Value> {
        let (events, receiver) = std::sync::mpsc::channel();
        let url = format!("http://{}/v1/watch?front={proxy}", self.http_address(index));
        std::thread::spawn(move || {
            let Ok(mut response) = ureq::get(&url).call() else { return };
            for line in BufReader::new(response.body_mut().as_reader()).lines() {
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
        for index in 0..self.len() {
            // SIGKILL is the only signal that ends a suspended process.
            self.kill(index);
        }
    }
}

//! Real agents as processes on loopback, with a relay for each direction between two, that tests freeze, kill, cut off
//! and start again.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

use crate::fault_relay::FaultRelay;

/// How the agents of a test run.
#[derive(Debug, Clone)]
pub struct ClusterOptions {
    /// How many.
    pub agents: usize,
    /// Length of a tick, in milliseconds.
    pub tick_ms: u64,
    /// Ticks before an election.
    pub election_ticks: u64,
    /// A grant's life, in milliseconds.
    pub lease_ttl_ms: u64,
    /// Entries before a fold.
    pub compact_every: u64,
    /// Whether a relay stands in each direction between two.
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
    child: Option<Child>,
    config: PathBuf,
    local: SocketAddr,
    /// To each other agent, by its place.
    ways: Vec<Option<FaultRelay>>,
}

/// A cluster of agents.
pub struct AgentCluster {
    program: PathBuf,
    agents: Vec<Agent>,
    http: ureq::Agent,
}

/// A loopback address of an agent's own, from this process's number and a count: a free port asked of the system may
/// be given away again before the agent takes it.
fn address(port: u16) -> SocketAddr {
    static COUNT: AtomicU32 = AtomicU32::new(1);
    let (process, count) = (std::process::id(), COUNT.fetch_add(1, Ordering::Relaxed));
    let [_, _, high, low] = process.to_be_bytes();
    SocketAddr::from(([127, 1 + high % 250, low, u8::try_from(count % 256).unwrap_or(0)], port))
}

/// A client that waits so long at the most, and takes any status for an answer.
pub fn client(wait: Duration) -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(wait))
        .timeout_connect(Some(Duration::from_millis(500)))
        .http_status_as_error(false)
        .build();
    config.into()
}

/// Posts JSON; the status and the answer, or why there is none.
///
/// # Errors
/// No answer, or one that is no JSON.
pub fn post(http: &ureq::Agent, to: SocketAddr, path: &str, body: &Value) -> Result<(u16, Value), String> {
    let mut answer = http.post(format!("http://{to}{path}")).send_json(body).map_err(|e| e.to_string())?;
    let value = answer.body_mut().read_json().map_err(|e| e.to_string())?;
    Ok((answer.status().as_u16(), value))
}

/// Gets JSON; the status and the answer, or why there is none.
///
/// # Errors
/// No answer, or one that is no JSON.
pub fn get(http: &ureq::Agent, from: SocketAddr, path: &str) -> Result<(u16, Value), String> {
    let mut answer = http.get(format!("http://{from}{path}")).call().map_err(|e| e.to_string())?;
    let value = answer.body_mut().read_json().map_err(|e| e.to_string())?;
    Ok((answer.status().as_u16(), value))
}

/// Waits until something holds.
///
/// # Panics
/// It does not within half a minute.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(30);
    while !holds() {
        assert!(Instant::now() < end, "not within 30 s: {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

impl AgentCluster {
    /// Founds a cluster in an empty folder, starts all agents and waits until all of them vote.
    ///
    /// # Panics
    /// It does not come up.
    pub fn start(program: &Path, folder: &Path, options: &ClusterOptions) -> Self {
        let count = options.agents;
        let peers: Vec<SocketAddr> = (0..count).map(|_| address(7001)).collect();
        let agents = (0..count)
            .map(|at| {
                let way = |to: usize| {
                    (options.relays && to != at).then(|| FaultRelay::start(peers[to]).expect("a relay"))
                };
                let ways: Vec<Option<FaultRelay>> = (0..count).map(way).collect();
                let via: serde_json::Map<String, Value> = (ways.iter().enumerate())
                    .filter_map(|(to, way)| {
                        Some((format!("n{to}"), json!(way.as_ref()?.address().to_string())))
                    })
                    .collect();
                let local = SocketAddr::new(peers[at].ip(), 7101);
                let config = folder.join(format!("n{at}.json"));
                let text = json!({
                    "name": format!("n{at}"), "cluster": "test", "store": folder.join(format!("n{at}.redb")),
                    "peers": peers[at].to_string(), "local": local.to_string(), "via": via,
                    "tick_ms": options.tick_ms, "election_ticks": options.election_ticks,
                    "life_ms": options.lease_ttl_ms, "fold_every": options.compact_every,
                });
                std::fs::write(&config, text.to_string()).expect("the configuration is written");
                Agent { child: None, config, local, ways }
            })
            .collect();
        let mut cluster = Self { program: program.to_owned(), agents, http: client(Duration::from_secs(8)) };
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

    /// How many agents there are.
    pub fn len(&self) -> usize {
        self.agents.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.agents.is_empty()
    }

    /// An agent's local port.
    pub fn local(&self, at: usize) -> SocketAddr {
        self.agents[at].local
    }

    /// Starts an agent.
    ///
    /// # Panics
    /// It does not start.
    pub fn start_agent(&mut self, at: usize) {
        let child = self.command("run", at).spawn().expect("the agent starts");
        self.agents[at].child = Some(child);
    }

    /// Adds an agent that waits to be added.
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

    /// Has whoever leads do something; whether it was done.
    pub fn post_to_leader(&self, path: &str, body: &Value) -> bool {
        let done = |at| matches!(post(&self.http, self.local(at), path, body), Ok((200, v)) if v["result"] == "done");
        (0..self.len()).any(done)
    }

    /// `voter`, `learner`, `none`, or empty if it does not answer.
    pub fn role(&self, at: usize) -> String {
        let status = self.status(at);
        status["me"]["part"].as_str().unwrap_or_default().to_owned()
    }

    /// An agent's status; null if it does not answer.
    pub fn status(&self, at: usize) -> Value {
        get(&self.http, self.local(at), "/v1/status").map(|(_, status)| status).unwrap_or_default()
    }

    /// The place of the agent that believes that it leads, in the latest term of all that answer.
    pub fn leader(&self) -> Option<usize> {
        let status = |at| {
            let node = self.status(at)["node"].clone();
            (node["standing"] == "leader").then(|| (node["term"].as_u64(), at))
        };
        (0..self.len()).filter_map(status).max().map(|(_, at)| at)
    }

    fn signal(&self, at: usize, signal: Signal) {
        if let Some(child) = &self.agents[at].child {
            // Only a child of ours that has not been waited for: its number is nobody else's.
            let sent = kill_process(Pid::from_child(child), signal);
            sent.expect("a child of ours takes signals");
        }
    }

    /// Stops an agent in mid-instruction.
    pub fn freeze(&self, at: usize) {
        self.signal(at, Signal::STOP);
    }

    /// Lets it go on.
    pub fn wake(&self, at: usize) {
        self.signal(at, Signal::CONT);
    }

    /// Ends an agent without a word.
    pub fn kill(&mut self, at: usize) {
        if let Some(mut child) = self.agents[at].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Ends an agent as its operator would; whether it ended well.
    pub fn stop(&mut self, at: usize) -> bool {
        self.signal(at, Signal::TERM);
        let child = self.agents[at].child.take();
        child.is_some_and(|mut child| child.wait().is_ok_and(|status| status.success()))
    }

    /// Whether an agent was started and not killed.
    pub fn is_running(&self, at: usize) -> bool {
        self.agents[at].child.is_some()
    }

    /// Takes an agent's store away, as a lost disk does.
    pub fn delete_store(&self, at: usize) {
        let _ = std::fs::remove_file(self.agents[at].config.with_extension("redb"));
    }

    /// Cuts or heals one direction.
    pub fn cut(&self, from: usize, to: usize, cut: bool) {
        if let Some(Some(way)) = self.agents[from].ways.get(to) {
            way.set_cut(cut);
        }
    }

    /// Cuts or heals both directions between one and all others.
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

    /// An agent's log.
    pub fn log(&self, at: usize) -> String {
        std::fs::read_to_string(self.agents[at].config.with_extension("log")).unwrap_or_default()
    }

    /// Lines of an agent's watch, from a thread of its own, until the agent or the receiver goes.
    pub fn watch(&self, at: usize, front: &str) -> std::sync::mpsc::Receiver<Value> {
        let (lines, receiver) = std::sync::mpsc::channel();
        let url = format!("http://{}/v1/watch?front={front}", self.local(at));
        std::thread::spawn(move || {
            let Ok(mut answer) = ureq::get(&url).call() else { return };
            for line in BufReader::new(answer.body_mut().as_reader()).lines() {
                let value = line.ok().and_then(|line| serde_json::from_str(&line).ok());
                if value.is_none_or(|value| lines.send(value).is_err()) {
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
            // One that is frozen takes no other signal's word for its end, but this one's.
            self.kill(at);
        }
    }
}

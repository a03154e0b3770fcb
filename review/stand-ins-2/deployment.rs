//! A small deployment: machines, discovery, the control service, fronts and a cluster of three agents, each by the
//! users' protocol page or the project's own pages.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::harness::{
    Client, Process, chunk, elapsed, folder, free_address, lock, note, response, run_command, serve,
    sleep_ms, wait_for,
};

pub const PROXY: &str = "exec target/release/garnetcrank-proxy";
pub const AGENT: &str = "target/release/garnetcrank-agent";
pub const OPERATOR: &str = "target/release/garnetcrank";

/// Settings of a small deployment, in the words of the users' wire page: two classes, stages that move by a timer, one vote
/// to send a build back.
pub const SETTINGS: &str = r#"{"balancers":3,
 "grades":[
  {"name":"look","effect":"repeatable","goalTime":400.0,"deadline":1200.0,"credit":1.0},
  {"name":"pay","effect":"once","goalTime":400.0,"deadline":1200.0,"credit":5.0},
  {"name":"tail","effect":"repeatable","goalTime":2000.0,"deadline":5000.0,"credit":1.0,"stream":true}],
 "kinds":["box"],
 "limits":{"maxAttempts":3,"cancel":true,"retryAfter":true,"maxRetryAfter":900.0,"connIdle":30000.0,
  "connectTimeout":250.0,"mostHeld":200,"parallelTries":false},
 "myZone":"north","zones":["north"],"registryMode":"pushed","resolution":5.0,
 "safety":{"answerSlack":20.0,"coldFrom":0.4,"drainGrace":500.0,"fall":2000.0,"fallMultiple":3.0,"warmAfter":3000.0},
 "specifics":{"voteMode":"timer","ballotTtl":4000.0,"voteWait":800.0,"exposureWindow":3000.0,"spareTries":2.0,
  "steps":[0.1,0.4,1.0],"mostShares":[0.2,0.8,1.0],"movesAfter":2500.0,"backVotes":1,"toPause":1},
 "tenants":[]}"#;

/// One line of discovery's list.
pub fn member(id: &str, address: SocketAddr, phase: &str, build: u32) -> String {
    format!(
        r#"{{"id":"{id}","host_port":"{address}","locality":"north","flavor":"box","cell":0,"phase":"{phase}","size":1.0,"up_since_ms":0,"build":{build}}}"#
    )
}

/// Discovery, or the agent of it on the front's machine: it tells the list as it stands, then each change.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<DiscoveryState>, Condvar)>,
}

struct DiscoveryState {
    revision: u64,
    members: Vec<String>,
    /// Changes since the start, by the revision that brought them.
    changes: Vec<(u64, Vec<String>)>,
}

impl Discovery {
    pub fn start(members: Vec<String>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let state = DiscoveryState { revision: 41, members, changes: Vec::new() };
        let discovery = Discovery {
            address: listener.local_addr().expect("an address"),
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let serving = discovery.clone();
        serve(listener, move |request, stream| {
            if request.target().contains("stream=1") {
                let _ = serving.watch(stream);
                return false;
            }
            stream.write_all(response(200, &serving.list()).as_bytes()).is_ok()
        });
        discovery
    }

    /// The whole list.
    pub fn list(&self) -> String {
        let state = lock(&self.state.0);
        format!(
            r#"{{"revision":{},"complete":true,"members":[{}]}}"#,
            state.revision,
            state.members.join(",")
        )
    }

    fn watch(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut told = lock(&self.state.0).revision;
        stream.write_all(chunk(&format!("{}\n", self.list())).as_bytes())?;
        loop {
            let mut lines = Vec::new();
            {
                let state = lock(&self.state.0);
                let (state, _) = self
                    .state
                    .1
                    .wait_timeout_while(state, Duration::from_secs(2), |state| state.revision == told)
                    .unwrap_or_else(|poisoned| poisoned.into_inner());
                for (revision, members) in state.changes.iter().filter(|(revision, _)| *revision > told) {
                    lines.push(format!(
                        "{{\"revision\":{revision},\"complete\":false,\"members\":[{}]}}\n",
                        members.join(",")
                    ));
                }
                told = state.revision;
            }
            if lines.is_empty() {
                lines.push("\n".to_owned());
            }
            for line in lines {
                stream.write_all(chunk(&line).as_bytes())?;
            }
        }
    }

    /// Adds machines to the list and tells the change.
    pub fn add(&self, members: Vec<String>) {
        let mut state = lock(&self.state.0);
        state.revision += 1;
        let revision = state.revision;
        state.members.extend(members.iter().cloned());
        state.changes.push((revision, members));
        note(&format!("discovery tells revision {revision}"));
        self.state.1.notify_all();
    }
}

/// The control service: a build on trial moves from stage to stage by a timer that a vote to hold stops, and goes back on
/// one vote.
#[derive(Clone)]
pub struct Platform {
    pub address: SocketAddr,
    state: Arc<(Mutex<PlatformState>, Condvar)>,
}

struct PlatformState {
    build: u32,
    stage: usize,
    mode: &'static str,
    since: Instant,
    version: u64,
    /// Whether the control service stands still: its clock stops, and votes end in errors.
    stands_still: bool,
    /// Time up to which a vote to hold stands.
    held_until: Option<Instant>,
    votes: Vec<(Duration, String)>,
}

const CAPS: [f64; 3] = [0.2, 0.8, 1.0];
const STAGE_TIME: Duration = Duration::from_millis(2500);
const BALLOT_TTL: Duration = Duration::from_secs(4);

impl PlatformState {
    fn news(&self) -> String {
        let exposure = match self.mode {
            "IN_PROGRESS" => CAPS[self.stage],
            "COMPLETE" => 1.0,
            _ => 0.0,
        };
        format!(
            r#"{{"release":{},"tranche":{},"mode":"{}","exposure":{exposure},"old_ms":{}}}"#,
            self.build,
            self.stage,
            self.mode,
            self.since.elapsed().as_millis()
        )
    }

    fn change(&mut self, stage: usize, mode: &'static str) {
        self.stage = stage;
        self.mode = mode;
        self.since = Instant::now();
        self.version += 1;
        note(&format!("platform: build {} stage {stage} {mode}", self.build));
    }
}

impl Platform {
    /// Starts with `build` released long ago.
    pub fn start(build: u32) -> Platform {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let state = PlatformState {
            build,
            stage: 2,
            mode: "COMPLETE",
            since: Instant::now(),
            version: 0,
            stands_still: false,
            held_until: None,
            votes: Vec::new(),
        };
        let platform = Platform {
            address: listener.local_addr().expect("an address"),
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let serving = platform.clone();
        serve(listener, move |request, stream| {
            if request.target() == "/events" {
                let _ = serving.events(stream);
                return false;
            }
            let answer = serving.on_vote(&request.text());
            stream.write_all(answer.as_bytes()).is_ok()
        });
        let timer = platform.clone();
        thread::spawn(move || timer.run_stages());
        platform
    }

    /// The same control service, reached at another address.
    pub fn reached_at(&self, address: SocketAddr) -> Platform {
        Platform { address, ..self.clone() }
    }

    pub fn news(&self) -> String {
        lock(&self.state.0).news()
    }

    fn events(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut told = None;
        loop {
            let mut line = "{}\n".to_owned();
            {
                let state = lock(&self.state.0);
                let unchanged = |state: &mut PlatformState| Some(state.version) == told;
                let (state, _) = self
                    .state
                    .1
                    .wait_timeout_while(state, Duration::from_secs(1), unchanged)
                    .unwrap_or_else(|poisoned| poisoned.into_inner());
                if Some(state.version) != told {
                    told = Some(state.version);
                    line = format!("{{\"type\":\"progress\",\"object\":{}}}\n", state.news());
                }
            }
            stream.write_all(chunk(&line).as_bytes())?;
        }
    }

    fn on_vote(&self, body: &str) -> String {
        let mut state = lock(&self.state.0);
        if state.stands_still {
            note(&format!("platform: 500 to the vote {body}"));
            return response(500, r#"{"error":"unavailable"}"#);
        }
        note(&format!("platform: vote {body}"));
        state.votes.push((elapsed(), body.to_owned()));
        if !body.contains(&format!(r#""release":{},"#, state.build)) {
            return response(409, r#"{"error":"out_of_date"}"#);
        }
        if body.contains("HOLD") {
            state.held_until = Some(Instant::now() + BALLOT_TTL);
        } else if body.contains("WITHDRAW") {
            state.held_until = None;
        } else if body.contains("ROLLBACK") && matches!(state.mode, "IN_PROGRESS" | "COMPLETE") {
            let stage = state.stage;
            state.change(stage, "ROLLING_BACK");
            self.state.1.notify_all();
        }
        response(200, &state.news())
    }

    fn run_stages(&self) {
        loop {
            sleep_ms(20);
            let mut state = lock(&self.state.0);
            let held = state.stands_still || state.held_until.is_some_and(|until| Instant::now() < until);
            if held && state.mode == "IN_PROGRESS" {
                state.since += Duration::from_millis(20);
            }
            let due = Instant::now().saturating_duration_since(state.since) >= STAGE_TIME;
            match state.mode {
                "IN_PROGRESS" if due && !held => {
                    if state.stage + 1 < CAPS.len() {
                        let next = state.stage + 1;
                        state.change(next, "IN_PROGRESS");
                    } else {
                        state.change(2, "COMPLETE");
                    }
                }
                "ROLLING_BACK" if due => {
                    let stage = state.stage;
                    state.change(stage, "ROLLED_BACK");
                }
                _ => continue,
            }
            self.state.1.notify_all();
        }
    }

    /// Offers a new build.
    pub fn offer(&self, build: u32) {
        let mut state = lock(&self.state.0);
        state.build = build;
        state.held_until = None;
        state.change(0, "IN_PROGRESS");
        self.state.1.notify_all();
    }

    /// Lets the control service stand still, or go on.
    pub fn stand_still(&self, still: bool) {
        note(if still { "platform: stands still, votes end in errors" } else { "platform: goes on" });
        lock(&self.state.0).stands_still = still;
    }

    /// The votes to hold a build or to roll it back, with their times.
    pub fn votes_against(&self, build: u32) -> Vec<(Duration, String)> {
        let of_build = format!(r#""release":{build},"#);
        let against = |text: &String| text.contains("HOLD") || text.contains("ROLLBACK");
        let state = lock(&self.state.0);
        state.votes.iter().filter(|(_, text)| text.contains(&of_build) && against(text)).cloned().collect()
    }

    pub fn mode(&self) -> &'static str {
        lock(&self.state.0).mode
    }
}

/// A machine. One of a bad build fails nine of ten requests.
#[derive(Clone)]
pub struct Machine {
    pub id: String,
    pub address: SocketAddr,
    pub build: u32,
    counts: Arc<MachineCounts>,
}

#[derive(Default)]
struct MachineCounts {
    requests: AtomicU64,
    failed: AtomicU64,
    first_failure: Mutex<Option<Instant>>,
}

impl Machine {
    pub fn start(id: &str, build: u32, bad: bool) -> Machine {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let machine = Machine {
            id: id.to_owned(),
            address: listener.local_addr().expect("an address"),
            build,
            counts: Arc::default(),
        };
        let (counts, name) = (machine.counts.clone(), machine.id.clone());
        serve(listener, move |request, stream| {
            if request.header("request-id").is_none() {
                return stream.write_all(response(404, "").as_bytes()).is_ok();
            }
            let number = counts.requests.fetch_add(1, Ordering::SeqCst);
            sleep_ms(3);
            let id = request.header("request-id").unwrap_or_default().to_owned();
            let answer = if bad && number % 10 != 9 {
                counts.failed.fetch_add(1, Ordering::SeqCst);
                lock(&counts.first_failure).get_or_insert_with(Instant::now);
                response(500, "")
            } else {
                response(200, &format!("answer to {}", request.header("request-id").unwrap_or_default()))
            };
            note(&format!("machine {name}: ran {id}: {}", &answer[9..12]));
            stream.write_all(answer.as_bytes()).is_ok()
        });
        machine
    }

    pub fn line(&self) -> String {
        member(&self.id, self.address, "Ready", self.build)
    }

    pub fn requests(&self) -> u64 {
        self.counts.requests.load(Ordering::SeqCst)
    }

    pub fn failed(&self) -> u64 {
        self.counts.failed.load(Ordering::SeqCst)
    }

    /// Time since the machine's first failure.
    pub fn failing_for(&self) -> Option<Duration> {
        lock(&self.counts.first_failure).map(|at| at.elapsed())
    }
}

/// A front.
#[derive(Clone)]
pub struct Front {
    pub address: SocketAddr,
    pub process: Process,
    command: String,
    config: PathBuf,
    discovery: Discovery,
    platform: Platform,
}

impl Front {
    /// Starts a front. `extras` is the text of a features file.
    pub fn start(name: &str, discovery: &Discovery, platform: &Platform, extras: Option<&str>) -> Front {
        let command = match extras {
            None => PROXY.to_owned(),
            Some(text) => {
                let extras = write(&format!("{name}.extras.json"), text);
                format!("{PROXY} --extras {}", extras.display())
            }
        };
        let address = free_address();
        let config = folder().join(format!("{name}.json"));
        let process = start_front(name, address, &command, &config, discovery, platform);
        Front { address, process, command, config, discovery: discovery.clone(), platform: platform.clone() }
    }

    /// Starts a front that has ended again: with its name and address, the present list and the present news.
    pub fn start_again(&mut self) {
        let name = self.process.name.clone();
        self.process =
            start_front(&name, self.address, &self.command, &self.config, &self.discovery, &self.platform);
    }
}

fn start_front(
    name: &str,
    address: SocketAddr,
    command: &str,
    config: &Path,
    discovery: &Discovery,
    platform: &Platform,
) -> Process {
    let text = format!(
        r#"{{"name":"{name}","listen":"{address}","discovery":"{}","seed":"{:016x}",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
        "pipeline":{{"address":"{}","news":{}}},"known":{},"settings":{SETTINGS}}}"#,
        discovery.address,
        0x8c1f_30d2_7a5b_e964u64 ^ elapsed().as_millis() as u64,
        platform.address,
        platform.news(),
        discovery.list()
    );
    std::fs::write(config, text).expect("a file");
    let environment = [("RELAY_CONFIG", config.to_str().unwrap_or_default())];
    let process = Process::start(name, command, &environment);
    wait_for(&format!("{name} is ready"), 20, || {
        let mut client = Client::new(address);
        client.request("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n", 500).is_some_and(|a| a.status() == 200)
    });
    process
}

/// Writes a file into the case's temporary folder.
pub fn write(name: &str, text: &str) -> PathBuf {
    let path = folder().join(name);
    std::fs::write(&path, text).expect("a file");
    path
}

/// Clients of one front, which ask at a steady rate until the case ends.
pub struct Traffic {
    pub answered: Arc<AtomicU64>,
    pub unanswered: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
}

impl Traffic {
    /// Starts `clients` clients, each of which sends a request every `every_ms`.
    pub fn start(name: &str, to: SocketAddr, clients: u64, every_ms: u64) -> Traffic {
        let traffic = Traffic { answered: Arc::default(), unanswered: Arc::default(), stop: Arc::default() };
        for client in 0..clients {
            let (answered, unanswered, stop) =
                (traffic.answered.clone(), traffic.unanswered.clone(), traffic.stop.clone());
            let prefix = format!("{name}-{client}");
            thread::spawn(move || {
                let mut connection = Client::new(to);
                sleep_ms(client * every_ms / clients);
                for number in 0u64.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let text = format!(
                        "GET /look/1 HTTP/1.1\r\nHost: x\r\nRequest-Id: {prefix}-{number}\r\nRequest-Timeout-Ms: 1000\r\n\r\n"
                    );
                    let sent = elapsed().as_secs_f64();
                    let answer = connection.request(&text, 1100);
                    let (counter, status) = match &answer {
                        Some(answer) => (&answered, answer.status().to_string()),
                        None => (&unanswered, "no answer".to_owned()),
                    };
                    counter.fetch_add(1, Ordering::SeqCst);
                    note(&format!("client: {prefix}-{number} sent at {sent:.3}: {status}"));
                    sleep_ms(every_ms);
                }
            });
        }
        traffic
    }

    pub fn stop(&self) {
        self.stop.store(true, Ordering::SeqCst);
    }
}

/// A relay on the way of one that connects to one that is connected to. When cut, it closes its connections and every new
/// one. When silenced, it keeps all of them open, takes new ones, and passes nothing on.
#[derive(Clone)]
pub struct Relay {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
    silent: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Relay {
    pub fn start(to: SocketAddr) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let relay = Relay {
            address: listener.local_addr().expect("an address"),
            cut: Arc::default(),
            silent: Arc::default(),
            open: Arc::default(),
        };
        let shared = relay.clone();
        thread::spawn(move || {
            for from in listener.incoming().flatten() {
                if shared.cut.load(Ordering::SeqCst) {
                    continue;
                }
                if shared.silent.load(Ordering::SeqCst) {
                    lock(&shared.open).push(from);
                    continue;
                }
                let Ok(onward) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else { continue };
                let _ = (from.set_nodelay(true), onward.set_nodelay(true));
                let streams = [from.try_clone(), onward.try_clone(), from.try_clone(), onward.try_clone()];
                let [Ok(a), Ok(b), Ok(c), Ok(d)] = streams else { continue };
                lock(&shared.open).extend([a, b]);
                let (silent, other_silent) = (shared.silent.clone(), shared.silent.clone());
                thread::spawn(move || copy(from, onward, &silent));
                thread::spawn(move || copy(d, c, &other_silent));
            }
        });
        relay
    }

    pub fn silence(&self) {
        self.silent.store(true, Ordering::SeqCst);
    }

    pub fn cut(&self) {
        self.cut.store(true, Ordering::SeqCst);
        for stream in lock(&self.open).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream, silent: &AtomicBool) {
    let mut buffer = [0; 16 * 1024];
    while let Ok(read @ 1..) = from.read(&mut buffer) {
        // What arrives while the relay is silent is lost; nothing ends.
        if !silent.load(Ordering::SeqCst) && to.write_all(&buffer[..read]).is_err() {
            break;
        }
    }
    if silent.load(Ordering::SeqCst) {
        // The one end does not learn of the other's.
        loop {
            thread::park();
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}

/// A cluster of three agents, founded and grown by the steps of the operators' page.
pub struct Cluster {
    pub agents: Vec<Process>,
    /// HTTP ports.
    pub local: Vec<SocketAddr>,
    /// Relays of what each agent sends to each other, if it is to be cut off: `relays[from][to]`.
    pub relays: Vec<Vec<Option<Relay>>>,
}

impl Cluster {
    /// Starts three agents, `n1` to `n3`; with relays between them if `relayed`.
    pub fn start(relayed: bool) -> Cluster {
        let peers: Vec<SocketAddr> = (0..3).map(|_| free_address()).collect();
        let local: Vec<SocketAddr> = (0..3).map(|_| free_address()).collect();
        let mut relays = Vec::new();
        let mut configs = Vec::new();
        for from in 0..3 {
            let mut row = Vec::new();
            let mut via = Vec::new();
            for (to, address) in peers.iter().enumerate() {
                let relay = (relayed && to != from).then(|| Relay::start(*address));
                via.extend(relay.as_ref().map(|relay| format!(r#""n{}":"{}""#, to + 1, relay.address)));
                row.push(relay);
            }
            relays.push(row);
            let text = format!(
                r#"{{"name":"n{0}","cluster":"fronts","store":"{1}/n{0}.redb","peers":"{2}","local":"{3}","via":{{{4}}}}}"#,
                from + 1,
                folder().display(),
                peers[from],
                local[from],
                via.join(",")
            );
            configs.push(write(&format!("agent-n{}.json", from + 1), &text));
        }
        let (code, text) = run_command(AGENT, &["found", "--config", &configs[0].to_string_lossy()]);
        assert!(code == 0, "found: {text}");
        let mut agents = Vec::new();
        for (index, config) in configs.iter().enumerate() {
            let command = format!("exec {AGENT} run --config {}", config.display());
            agents.push(Process::start(&format!("agent-n{}", index + 1), &command, &[]));
        }
        let cluster = Cluster { agents, local, relays };
        for joining in 1..3 {
            let address = cluster.local[joining].to_string();
            wait_for(&format!("n{} is added", joining + 1), 20, || {
                cluster.operator(&["members", "add", &address]).0 == 0 || cluster.is_member(joining)
            });
            wait_for(&format!("n{} votes", joining + 1), 20, || {
                cluster
                    .operator(&["members", "list"])
                    .1
                    .lines()
                    .any(|line| line.contains(&format!("n{} ", joining + 1)) && line.contains("voter"))
            });
        }
        cluster
    }

    fn is_member(&self, index: usize) -> bool {
        self.operator(&["members", "list"]).1.contains(&format!("n{} ", index + 1))
    }

    /// Runs a command of the operators with all agents named.
    pub fn operator(&self, arguments: &[&str]) -> (i32, String) {
        let agents: Vec<String> = self.local.iter().map(ToString::to_string).collect();
        self.operator_at(&agents.join(","), arguments)
    }

    pub fn operator_at(&self, agents: &str, arguments: &[&str]) -> (i32, String) {
        let mut all = vec!["ledger", "--agent", agents];
        all.extend(arguments);
        run_command(OPERATOR, &all)
    }

    /// The index of the agent that holds the lease on the vote.
    pub fn holder(&self) -> Option<usize> {
        let (_, text) = self.operator(&["grants"]);
        let line = text.lines().map(str::trim).find(|line| line.starts_with("votes "))?.to_owned();
        (0..3).find(|index| line.split_whitespace().nth(1) == Some(&format!("n{}", index + 1)))
    }

    /// The index of the agent that leads, as the members list shows it.
    pub fn leader(&self) -> Option<usize> {
        let (_, text) = self.operator(&["members", "list"]);
        let line = text.lines().map(str::trim).find(|line| line.contains(" leader "))?.to_owned();
        (0..3).find(|index| line.starts_with(&format!("n{} ", index + 1)))
    }

    /// Text of a features file that names an agent.
    pub fn extras(&self, index: usize) -> String {
        format!(r#"{{"agreement":{{"agent":"{}","wait_ms":150,"silence_ms":1000}}}}"#, self.local[index])
    }
}

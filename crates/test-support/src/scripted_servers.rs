//! Small stand-ins for clients, machines, discovery and the platform, on loopback, and the real program
//! between them. They are written from the pages and wait for conditions, never for exact times.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Longest wait for any condition: far beyond what a slow machine needs.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Waits until `condition` holds.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "never came: {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// A message as it was read: its first line, its header lines and its body.
#[derive(Debug, Clone)]
pub struct ReceivedMessage {
    /// Its first line.
    pub first: String,
    /// Its header lines.
    pub headers: Vec<(String, String)>,
    /// Its body.
    pub body: Vec<u8>,
}

impl ReceivedMessage {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or_else(|| panic!("{self:?}"))
    }
}

/// Reads one message; none at the end of the connection or on an error.
pub fn read_message(from: &mut impl BufRead) -> Option<ReceivedMessage> {
    let mut line = || {
        let mut text = String::new();
        let read = from.read_line(&mut text).ok()?;
        (read > 0 && text.ends_with('\n')).then(|| text.trim_end().to_owned())
    };
    let first = line()?;
    let mut headers = Vec::new();
    loop {
        let text = line()?;
        if text.is_empty() {
            break;
        }
        let (name, value) = text.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let mut message = ReceivedMessage { first, headers, body: Vec::new() };
    if message.header("transfer-encoding").is_some() {
        loop {
            let mut size = String::new();
            from.read_line(&mut size).ok()?;
            let size = usize::from_str_radix(size.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            from.read_exact(&mut chunk).ok()?;
            message.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                return Some(message);
            }
        }
    }
    let length = message.header("content-length").map_or(0, |l| l.parse().unwrap_or(0));
    message.body.resize(length, 0);
    from.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// What a machine does with a request.
#[derive(Debug, Clone)]
pub enum EndpointBehavior {
    /// Answers with this status, header lines and body.
    Respond(u16, &'static str, Vec<u8>),
    /// Says nothing.
    Ignore,
    /// Closes the connection.
    Close,
    /// Says these bytes, whatever they are, and keeps the connection open.
    SendRaw(Vec<u8>),
    /// Says these bytes and closes the connection.
    SendRawAndClose(&'static str),
    /// Waits for [`Machine::release`], then answers with 200.
    WaitForRelease,
    /// Streams parts, each once released, and then ends or breaks off.
    Stream(Vec<&'static str>, bool),
}

#[derive(Default)]
struct Shared {
    does: Option<EndpointBehavior>,
    requests: Vec<ReceivedMessage>,
    released: u64,
    connections: u64,
}

/// A machine.
pub struct ScriptedEndpoint {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<(Mutex<Shared>, Condvar)>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl ScriptedEndpoint {
    /// A machine that does so with every request.
    pub fn start(does: EndpointBehavior) -> ScriptedEndpoint {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let shared: Arc<(Mutex<Shared>, Condvar)> = Arc::default();
        lock(&shared.0).does = Some(does);
        let all = Arc::clone(&shared);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                lock(&all.0).connections += 1;
                let shared = Arc::clone(&all);
                std::thread::spawn(move || serve(stream, &shared));
            }
        });
        ScriptedEndpoint { address, shared }
    }

    /// Changes what it does with requests to come.
    pub fn set_behavior(&self, does: EndpointBehavior) {
        lock(&self.shared.0).does = Some(does);
    }

    /// Lets what waits go on by one step.
    pub fn release(&self) {
        lock(&self.shared.0).released += 1;
        self.shared.1.notify_all();
    }

    /// The requests that have come whole.
    pub fn requests(&self) -> Vec<ReceivedMessage> {
        lock(&self.shared.0).requests.clone()
    }

    /// Connections that were made to it.
    pub fn connections(&self) -> u64 {
        lock(&self.shared.0).connections
    }
}

fn serve(stream: TcpStream, shared: &(Mutex<Shared>, Condvar)) {
    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
    let mut stream = stream;
    let mut steps = 0;
    while let Some(message) = read_message(&mut reader) {
        let does = {
            let mut shared = lock(&shared.0);
            shared.requests.push(message);
            shared.does.clone()
        };
        let mut wait = || {
            let mut state = lock(&shared.0);
            while state.released <= steps {
                state = shared.1.wait(state).unwrap_or_else(std::sync::PoisonError::into_inner);
            }
            steps += 1;
        };
        let text = match does.unwrap_or(EndpointBehavior::Ignore) {
            EndpointBehavior::Respond(status, lines, body) => answer(status, lines, &body),
            EndpointBehavior::Ignore => continue,
            EndpointBehavior::Close => return,
            EndpointBehavior::SendRaw(bytes) => bytes,
            EndpointBehavior::SendRawAndClose(text) => {
                let _ = stream.write_all(text.as_bytes());
                return;
            }
            EndpointBehavior::WaitForRelease => {
                wait();
                answer(200, "", b"late")
            }
            EndpointBehavior::Stream(parts, whole) => {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                for part in parts {
                    wait();
                    let _ = stream.write_all(format!("{:x}\r\n{part}\r\n", part.len()).as_bytes());
                }
                wait();
                if !whole {
                    return;
                }
                b"0\r\n\r\n".to_vec()
            }
        };
        if stream.write_all(&text).is_err() {
            return;
        }
    }
}

fn answer(status: u16, lines: &str, body: &[u8]) -> Vec<u8> {
    let mut text =
        format!("HTTP/1.1 {status} X\r\n{lines}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    text.extend_from_slice(body);
    text
}

/// A source of lines in an answer that stays open: discovery, or the platform's news.
pub struct ScriptedStream {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Mutex<SourceState>>,
}

#[derive(Default)]
struct SourceState {
    first: String,
    streams: Vec<TcpStream>,
    /// Open, and never a byte on them.
    mute: Vec<TcpStream>,
    asked: Vec<String>,
    votes: Vec<String>,
    vote_answer: (u16, String),
    silent: bool,
}

impl ScriptedStream {
    /// A source that tells `first` on each connection.
    pub fn start(first: &str) -> ScriptedStream {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let shared: Arc<Mutex<SourceState>> = Arc::default();
        {
            let mut state = lock(&shared);
            state.first = first.to_owned();
            state.vote_answer = (409, r#"{"error":"out_of_date"}"#.to_owned());
        }
        let all = Arc::clone(&shared);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&all);
                std::thread::spawn(move || source(stream, &shared));
            }
        });
        // Signs of life, while it is not silent.
        let all = Arc::clone(&shared);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(500));
                let mut state = lock(&all);
                if !state.silent {
                    state.streams.retain_mut(|s| s.write_all(&chunk("\n")).is_ok());
                }
            }
        });
        ScriptedStream { address, shared }
    }

    /// Tells a line to all that listen, and to those who come later instead of what was told first.
    pub fn publish(&self, line: &str, first: &str) {
        let mut state = lock(&self.shared);
        state.first = first.to_owned();
        state.streams.retain_mut(|s| s.write_all(&chunk(&format!("{line}\n"))).is_ok());
    }

    /// Tells a line with bytes right behind it that are no chunk; those who come later are told `first`.
    pub fn publish_corrupt(&self, line: &str, first: &str) {
        let mut state = lock(&self.shared);
        state.first = first.to_owned();
        let bytes = [chunk(&format!("{line}\n")), b"no chunk\r\n".to_vec()].concat();
        state.streams.retain_mut(|s| s.write_all(&bytes).is_ok());
    }

    /// Falls silent, or speaks again on connections to come.
    pub fn set_silent(&self, silent: bool) {
        lock(&self.shared).silent = silent;
    }

    /// Cuts all its connections.
    pub fn disconnect_all(&self) {
        let mut state = lock(&self.shared);
        let mute = std::mem::take(&mut state.mute);
        for stream in state.streams.drain(..).chain(mute) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// What votes get for an answer.
    pub fn answer_votes(&self, status: u16, body: &str) {
        lock(&self.shared).vote_answer = (status, body.to_owned());
    }

    /// The targets that were asked for.
    pub fn requested_targets(&self) -> Vec<String> {
        lock(&self.shared).asked.clone()
    }

    /// The votes that came.
    pub fn votes(&self) -> Vec<String> {
        lock(&self.shared).votes.clone()
    }
}

fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

fn source(stream: TcpStream, shared: &Mutex<SourceState>) {
    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
    let mut stream = stream;
    let Some(message) = read_message(&mut reader) else { return };
    let mut state = lock(shared);
    state.asked.push(message.first.split(' ').nth(1).unwrap_or_default().to_owned());
    if message.first.starts_with("POST") {
        state.votes.push(String::from_utf8_lossy(&message.body).into_owned());
        let (status, body) = state.vote_answer.clone();
        if status == 0 {
            return state.mute.push(stream);
        }
        let _ = stream.write_all(&answer(status, "", body.as_bytes()));
    } else if !state.silent {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        let first = format!("{}\n", state.first);
        let _ = stream.write_all(&chunk(&first));
        state.streams.push(stream);
    } else {
        state.mute.push(stream);
    }
}

/// One line of discovery's list.
pub fn member(id: &str, address: SocketAddr, build: u32, phase: &str) -> String {
    format!(
        r#"{{"id":"{id}","host_port":"{address}","locality":"north","flavor":"box","cell":0,"phase":"{phase}","size":1.0,"up_since_ms":0,"build":{build}}}"#
    )
}

/// A list of discovery.
pub fn list(revision: u64, complete: bool, members: &[String]) -> String {
    format!(r#"{{"revision":{revision},"complete":{complete},"members":[{}]}}"#, members.join(","))
}

/// News of the platform.
pub fn state(release: u32, tranche: usize, mode: &str, exposure: f64) -> String {
    format!(
        r#"{{"release":{release},"tranche":{tranche},"mode":"{mode}","exposure":{exposure},"old_ms":10}}"#
    )
}

/// The same as told unasked.
pub fn progress(state: &str) -> String {
    format!(r#"{{"type":"progress","object":{state}}}"#)
}

/// How a front is to be started.
pub struct ProxySetup {
    /// The list of machines that it starts with.
    pub cached_list: String,
    /// Where the newest build stands at its start.
    pub rollout: String,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// Where the platform answers.
    pub controller: SocketAddr,
    /// Its limit on descriptors.
    pub sockets: usize,
    /// The deployment's settings.
    pub settings: serde_json::Value,
    /// Where it listens, if not anywhere.
    pub listen: Option<SocketAddr>,
    /// Text of a file of extras.
    pub features: Option<String>,
}

impl ProxySetup {
    /// With the list and the news that these tell.
    pub fn new(
        known: &str,
        news: String,
        discovery: &ScriptedStream,
        platform: &ScriptedStream,
    ) -> ProxySetup {
        ProxySetup {
            cached_list: known.to_owned(),
            rollout: news,
            discovery: discovery.address,
            controller: platform.address,
            sockets: 1024,
            settings: serde_json::from_str(include_str!("../../proxy/tests/settings.json")).expect("JSON"),
            listen: None,
            features: None,
        }
    }

    /// The configuration file's text.
    pub fn config(&self, listen: SocketAddr) -> String {
        format!(
            r#"{{"name":"n1","listen":"{listen}","discovery":"{}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":192,"sockets":{}}},
            "pipeline":{{"address":"{}","news":{}}},"known":{},"settings":{}}}"#,
            self.discovery, self.sockets, self.controller, self.rollout, self.cached_list, self.settings
        )
    }
}

static FILES: AtomicU64 = AtomicU64::new(0);

/// Writes a configuration file of its own.
pub fn config_file(text: &str) -> PathBuf {
    let number = FILES.fetch_add(1, Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("garnetcrank-{}-{number}.json", std::process::id()));
    std::fs::write(&path, text).expect("a writable folder");
    path
}

/// The front's program: beside the folder that the running test, bench or example is in.
///
/// # Panics
/// It has not been built.
pub fn program() -> PathBuf {
    let me = std::env::current_exe().expect("this program has a path");
    let folder = me.parent().and_then(Path::parent).expect("a folder two levels up");
    let program = folder.join("garnetcrank-proxy");
    assert!(program.is_file(), "{}: build garnetcrank-proxy first", program.display());
    program
}

/// The program, running.
pub struct RunningProxy {
    /// Where clients connect.
    pub address: SocketAddr,
    child: Child,
    config: PathBuf,
    log: Arc<Mutex<String>>,
}

impl RunningProxy {
    /// Starts it, and waits until it says that it serves.
    pub fn start(plan: &ProxySetup) -> RunningProxy {
        RunningProxy::start_with(plan, &[])
    }

    /// The same, with more in its environment.
    pub fn start_with(plan: &ProxySetup, more: &[(&str, &str)]) -> RunningProxy {
        loop {
            let address = plan.listen.unwrap_or_else(free_address);
            let mut running = RunningProxy::spawn(plan, more, address);
            let mut ended = false;
            wait_until("a front that serves, or ends", || {
                ended = running.child.try_wait().expect("a child").is_some();
                // Only once it says that it listens is it the one that answers there.
                ended || running.log().contains("serving") && running.is_healthy()
            });
            // What was free is another test's by now: both would talk to that one's front.
            let taken = ended && plan.listen.is_none();
            if !taken {
                return running;
            }
            wait_until("its last words", || !running.log().is_empty());
            assert!(running.log().contains("Address already in use"), "it ended: {}", running.log());
        }
    }

    fn spawn(plan: &ProxySetup, more: &[(&str, &str)], address: SocketAddr) -> RunningProxy {
        let config = config_file(&plan.config(address));
        // All tests of the front can be run on several threads as well.
        let cores = std::env::var("FRONT_CORES").ok().map(|cores| format!(r#"{{"cores":{cores}}}"#));
        let extras = plan.features.as_ref().or(cores.as_ref()).map(|text| config_file(text));
        let mut child = Command::new(program())
            .env_clear()
            .env("RELAY_CONFIG", &config)
            .envs(more.iter().copied())
            .args(extras.iter().flat_map(|path| ["--extras".into(), path.clone().into_os_string()]))
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let log: Arc<Mutex<String>> = Arc::default();
        let (lines, all) = (child.stderr.take().expect("a pipe"), Arc::clone(&log));
        std::thread::spawn(move || {
            for line in BufReader::new(lines).lines().map_while(Result::ok) {
                lock(&all).push_str(&format!("{line}\n"));
            }
        });
        RunningProxy { address, child, config, log }
    }

    fn is_healthy(&self) -> bool {
        let ask = "GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let stream = TcpStream::connect(self.address).ok();
        stream
            .and_then(|s| TestClient { reader: BufReader::new(s) }.exchange(ask))
            .is_some_and(|a| a.status() == 200)
    }

    /// A new connection to it.
    pub fn client(&self) -> TestClient {
        TestClient::on(TcpStream::connect(self.address).expect("a connection"))
    }

    /// What it has logged so far.
    pub fn log(&self) -> String {
        lock(&self.log).clone()
    }

    /// Replaces its configuration file and tells it so.
    pub fn reload(&self, text: &str) {
        let new = config_file(text);
        std::fs::rename(new, &self.config).expect("the file is replaced");
        self.signal("HUP");
    }

    /// Takes its configuration file away and tells it so.
    pub fn forget_config(&self) {
        std::fs::remove_file(&self.config).expect("the file is there");
        self.signal("HUP");
    }

    /// Its process.
    pub fn process(&self) -> u32 {
        self.child.id()
    }

    /// Sends it a signal.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
        assert!(sent.expect("kill runs").success());
    }

    /// Waits for its exit.
    pub fn exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait_until("an exit", || {
            status = self.child.try_wait().expect("a child");
            status.is_some()
        });
        status.expect("an exit")
    }
}

impl Drop for RunningProxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
        if std::thread::panicking() {
            eprintln!("log of the front:\n{}", self.log());
        }
    }
}

/// An address that is free now.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port")
}

static REQUESTS: AtomicU64 = AtomicU64::new(0);

/// The text of a request with an id of its own.
pub fn request(method: &str, target: &str, wait_ms: u64, body: &str) -> String {
    let id = REQUESTS.fetch_add(1, Ordering::Relaxed);
    let length = if method == "GET" { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    format!(
        "{method} {target} HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {id:016x}\r\nTenant: acme\r\n\
         Request-Timeout-Ms: {wait_ms}\r\n{length}\r\n{body}"
    )
}

/// A client's connection.
pub struct TestClient {
    reader: BufReader<TcpStream>,
}

impl TestClient {
    /// On a connection that stands.
    pub fn on(stream: TcpStream) -> TestClient {
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a time-out");
        TestClient { reader: BufReader::new(stream) }
    }

    /// Sends text as it is.
    pub fn send(&mut self, text: &str) -> bool {
        self.reader.get_mut().write_all(text.as_bytes()).is_ok()
    }

    /// Reads an answer; none if the connection ends before one is whole.
    pub fn read(&mut self) -> Option<ReceivedMessage> {
        read_message(&mut self.reader)
    }

    /// Sends text and reads the answer.
    pub fn exchange(&mut self, text: &str) -> Option<ReceivedMessage> {
        self.send(text);
        self.read()
    }

    /// Sends a request that is safe to repeat, with plenty of time, and reads the answer.
    pub fn get(&mut self) -> ReceivedMessage {
        self.exchange(&request("GET", "/look", 9000, "")).expect("an answer")
    }

    /// Whether the other side has ended the connection.
    pub fn is_closed(&mut self) -> bool {
        let mut rest = Vec::new();
        self.reader.read_to_end(&mut rest).map_or(true, |_| rest.is_empty())
    }

    /// Reads what comes next, up to so many bytes.
    pub fn read_at_most(&mut self, most: usize) -> Vec<u8> {
        let mut bytes = vec![0; most];
        let read = self.reader.read(&mut bytes).unwrap_or(0);
        bytes.truncate(read);
        bytes
    }
}

//! Stand-ins of the cases, written from the protocol pages: machines, discovery, the platform and usual clients; the
//! start of the program under test; and the record of what was sent, answered and run.

// No case uses all of it.
#![allow(dead_code)]

#[path = "http.rs"]
pub mod http;

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use http::{Conn, answer, listen, request, serve};

pub const BROKEN: i32 = 1;
const HELD: i32 = 0;
pub const COULD_NOT_RUN: i32 = 2;

/// State of the newest build: released, so that the days are without a trial.
const RELEASED: &str = r#"{"release":41,"tranche":3,"mode":"COMPLETE","exposure":1.0,"old_ms":60000}"#;
/// Time after a client's time in which an answer is late but not lost.
const LATE: Duration = Duration::from_millis(500);

/// The record: one line for each event, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn line(&self, text: impl AsRef<str>) {
        let ms = self.start.elapsed().as_secs_f64() * 1000.0;
        let _ = writeln!(self.file.lock().expect("lock"), "{ms:9.1} {}", text.as_ref());
    }
}

/// A machine with two cores and a queue. It works for a fixed time on each request, and answers with a body made for it.
struct Machine {
    name: String,
    record: Record,
    work: Duration,
    /// Numbers of requests that run and that wait.
    load: Mutex<(usize, usize)>,
    core_free: Condvar,
}

const CORES: usize = 2;
const QUEUE: usize = 40;

impl Machine {
    fn new(name: &str, record: &Record, work: Duration) -> Arc<Machine> {
        Arc::new(Machine {
            name: name.to_owned(),
            record: record.clone(),
            work,
            load: Mutex::new((0, 0)),
            core_free: Condvar::new(),
        })
    }

    /// Runs a request. Returns false if the queue is full.
    fn run(&self, id: &str) -> bool {
        let mut load = self.load.lock().expect("lock");
        if load.0 >= CORES {
            if load.1 >= QUEUE {
                return false;
            }
            load.1 += 1;
            while load.0 >= CORES {
                load = self.core_free.wait(load).expect("lock");
            }
            load.1 -= 1;
        }
        load.0 += 1;
        drop(load);
        self.record.line(format!("run    {id} at {}", self.name));
        thread::sleep(self.work);
        self.load.lock().expect("lock").0 -= 1;
        self.core_free.notify_one();
        true
    }
}

/// The body that a machine makes for a request.
fn body_for(id: &str) -> Vec<u8> {
    format!("made for {id}").into_bytes()
}

/// Starts a sound machine on a free port.
fn start_machine(name: &str, record: &Record) -> SocketAddr {
    let machine = Machine::new(name, record, Duration::from_millis(40));
    let (listener, address) = listen();
    serve(listener, move |mut conn| {
        while let Ok(request) = conn.read() {
            let id = request.header("request-id");
            let bytes = if id.is_empty() {
                answer("404 Not Found", "", b"")
            } else if machine.run(id) {
                answer("200 OK", "", &body_for(id))
            } else {
                answer("503 Service Unavailable", "Not-Started: 1\r\n", b"")
            };
            if conn.send(&bytes).is_err() {
                return;
            }
        }
    });
    address
}

/// Writes the head of an answer that stays open, its first line, and then `sign` as often as `every`.
fn stay_open(conn: &mut Conn, first: &str, sign: &str, every: Duration) {
    let chunk = |line: &str| format!("{:x}\r\n{line}\r\n", line.len());
    let head = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}", chunk(first));
    let mut sent = conn.send(head.as_bytes());
    while sent.is_ok() {
        thread::sleep(every);
        sent = conn.send(chunk(sign).as_bytes());
    }
}

fn serve_discovery(listener: TcpListener, list: String) {
    serve(listener, move |mut conn| {
        while let Ok(request) = conn.read() {
            if request.path().contains("stream=1") {
                return stay_open(&mut conn, &format!("{list}\n"), "\n", Duration::from_secs(2));
            }
            if conn.send(&answer("200 OK", "", list.as_bytes())).is_err() {
                return;
            }
        }
    });
}

fn serve_platform(listener: TcpListener) {
    serve(listener, move |mut conn| {
        while let Ok(request) = conn.read() {
            if request.path() == "/events" {
                let line = format!("{{\"type\":\"progress\",\"object\":{RELEASED}}}\n");
                return stay_open(&mut conn, &line, "{}\n", Duration::from_secs(1));
            }
            if conn.send(&answer("200 OK", "", RELEASED.as_bytes())).is_err() {
                return;
            }
        }
    });
}

/// The program under test. It is killed when dropped.
pub struct Front {
    child: Child,
    pid_file: String,
    pub address: SocketAddr,
}

impl Front {
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process outright, as the platform does.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        // The number may be another process's from now on.
        let _ = std::fs::remove_file(&self.pid_file);
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A case: a folder for the program's files, the record, and whether the disruption takes place.
pub struct Case {
    folder: String,
    pub record: Record,
    pub trouble: bool,
}

impl Case {
    /// Reads the arguments: a temporary folder, the path of the record, and 0 for a run without the disruption.
    pub fn from_arguments() -> Case {
        let arguments: Vec<String> = std::env::args().skip(1).collect();
        let [folder, path, trouble] = arguments.as_slice() else {
            println!("arguments: FOLDER RECORD TROUBLE");
            std::process::exit(COULD_NOT_RUN);
        };
        let file = File::create(path).expect("the record can be written");
        let record = Record { file: Arc::new(Mutex::new(file)), start: Instant::now() };
        let trouble = trouble != "0";
        record.line(format!("trouble: {trouble}"));
        Case { folder: folder.clone(), record, trouble }
    }

    /// Kills the front, records the exit code and ends the program with it.
    pub fn end(&self, front: Front, code: i32) -> ! {
        drop(front);
        self.record.line(format!("exit {code}"));
        std::process::exit(code)
    }

    /// Starts sound machines that work 40 ms on each request.
    pub fn sound_machines(&self, count: usize) -> Vec<SocketAddr> {
        (0..count).map(|n| start_machine(&format!("s-{n}"), &self.record)).collect()
    }

    /// Starts discovery, the platform and the program by the command of `deploy/balancer.toml`, and waits until it is
    /// ready.
    pub fn start_front(&self, machines: &[SocketAddr], memory_mb: u64, sockets: u64) -> Front {
        let members: Vec<String> =
            machines.iter().enumerate().map(|(n, address)| member(n, *address)).collect();
        let list = format!(r#"{{"revision":41,"complete":true,"members":[{}]}}"#, members.join(","));
        let (discovery_listener, discovery) = listen();
        serve_discovery(discovery_listener, list.clone());
        let (platform_listener, platform) = listen();
        serve_platform(platform_listener);
        let (free_port, address) = listen();
        drop(free_port);
        let settings = include_str!("settings.json");
        let config = format!(
            r#"{{"name":"n1","listen":"{address}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
"pipeline":{{"address":"{platform}","news":{RELEASED}}},"known":{list},"settings":{settings}}}"#
        );
        let path = format!("{}/config.json", self.folder);
        std::fs::write(&path, config).expect("the configuration can be written");
        let log = File::create(format!("{}/front.log", self.folder)).expect("the log can be written");
        let child = Command::new("/bin/sh")
            .args(["-c", &deployed_command()])
            .env("RELAY_CONFIG", &path)
            .env("RELAY_NAME", "n1")
            .env("RELAY_LISTEN", address.to_string())
            .env("RELAY_DISCOVERY", discovery.to_string())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the shell starts");
        let pid_file = format!("{}/front.pid", self.folder);
        std::fs::write(&pid_file, child.id().to_string()).expect("the pid can be written");
        let front = Front { child, pid_file, address };
        if !is_ready(address) {
            println!("the front is not ready within 10 s");
            drop(front);
            std::process::exit(COULD_NOT_RUN);
        }
        self.record.line(format!("front ready at {address}: memory_mb {memory_mb}, sockets {sockets}"));
        front
    }
}

/// Returns the command of the line `run` in the deploy file.
fn deployed_command() -> String {
    let file = std::fs::read_to_string("deploy/balancer.toml").expect("the deploy file can be read");
    let line = file.lines().find_map(|line| line.strip_prefix("run = \""));
    let command = line.and_then(|line| line.split('"').next()).expect("the deploy file has a line run");
    command.to_owned()
}

fn is_ready(address: SocketAddr) -> bool {
    let give_up = Instant::now() + Duration::from_secs(10);
    while Instant::now() < give_up {
        if let Ok(mut conn) = Conn::connect(address) {
            let _ = conn.stream.set_read_timeout(Some(Duration::from_secs(1)));
            let _ =
                conn.send(b"GET /healthz HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n");
            if conn.read().is_ok_and(|answer| answer.status() == 200) {
                return true;
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}

fn member(number: usize, address: SocketAddr) -> String {
    let zone = ["a", "b"][number % 2];
    format!(
        r#"{{"id":"s-{number}","host_port":"{address}","locality":"{zone}","flavor":"m2","cell":{},"phase":"Ready","size":1.0,"up_since_ms":0,"build":41}}"#,
        number / 3
    )
}

/// Returns an id that no request had before.
pub fn fresh_id() -> String {
    static COUNT: AtomicU64 = AtomicU64::new(1);
    format!("{:016x}", COUNT.fetch_add(1, Ordering::Relaxed).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// What became of a request, as its client sees it.
#[derive(Debug, Clone, PartialEq)]
pub enum Fate {
    Answered {
        status: u16,
        body: Vec<u8>,
    },
    /// The front read nothing of it: it refused the connection.
    NotTaken,
    /// The front ended the connection without an answer, also the second one.
    Closed,
    /// There was no answer half a second after the client's time.
    NoAnswer,
}

/// Sends a request on the kept connection or a new one, and once more on a new one if the kept one is closed at that
/// moment.
fn send(
    kept: &mut Option<Conn>,
    front: SocketAddr,
    class: &str,
    id: &str,
    timeout_ms: u64,
    body: &[u8],
) -> Fate {
    let bytes = request(class, id, timeout_ms, body);
    let limit = Duration::from_millis(timeout_ms) + LATE;
    let mut sent_at = None;
    loop {
        let is_new = kept.is_none();
        let connected = kept.take().map_or_else(|| Conn::connect(front), Ok);
        let Ok(mut conn) = connected else { return Fate::NotTaken };
        let sent_at: &mut Instant = sent_at.get_or_insert_with(Instant::now);
        let left = limit.saturating_sub(sent_at.elapsed()).max(Duration::from_millis(1));
        let _ = conn.stream.set_read_timeout(Some(left));
        match conn.send(&bytes).and_then(|()| conn.read()) {
            Ok(answer) => {
                let fate = Fate::Answered { status: answer.status(), body: answer.body.clone() };
                if !answer.header("connection").eq_ignore_ascii_case("close") {
                    *kept = Some(conn);
                }
                return fate;
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return Fate::NoAnswer;
            }
            Err(_) if is_new => return Fate::Closed,
            Err(_) => {}
        }
    }
}

/// Time that the usual clients give a request.
const USUAL_TIMEOUT_MS: u64 = 1000;

/// Starts usual clients. Each keeps its connection and sends a request, waits for its answer, and pauses.
pub fn usual_clients(
    case: &Case,
    front: SocketAddr,
    count: usize,
    until: Instant,
) -> Vec<JoinHandle<Vec<(String, Fate)>>> {
    let client = move |record: Record| {
        let mut kept = None;
        let mut fates = Vec::new();
        while Instant::now() < until {
            let id = fresh_id();
            let (class, body): (&str, &[u8]) =
                if fates.len() % 5 == 4 { ("order", b"port 1") } else { ("lookup", b"") };
            record.line(format!("sent   {id} {class}"));
            let fate = send(&mut kept, front, class, &id, USUAL_TIMEOUT_MS, body);
            record.line(match &fate {
                Fate::Answered { status, body } => {
                    format!("answer {id} {status} {}", String::from_utf8_lossy(body))
                }
                other => format!("LOST?  {id} {other:?}"),
            });
            fates.push((id, fate));
            thread::sleep(Duration::from_millis(50));
        }
        fates
    };
    (0..count)
        .map(|_| {
            let record = case.record.clone();
            thread::spawn(move || client(record))
        })
        .collect()
}

/// Measures whether the stand-ins keep up: a request straight to a machine that is not in the list, every 100 ms.
/// Returns the longest time of an answer.
pub fn control(case: &Case, until: Instant) -> JoinHandle<Duration> {
    let address = start_machine("control", &case.record);
    thread::spawn(move || {
        let mut kept = None;
        let mut longest = Duration::ZERO;
        while Instant::now() < until {
            let begun = Instant::now();
            let _ = send(&mut kept, address, "lookup", &fresh_id(), USUAL_TIMEOUT_MS, b"");
            longest = longest.max(begun.elapsed());
            thread::sleep(Duration::from_millis(100));
        }
        longest
    })
}

/// Judges the usual clients' requests by the rule on lost requests, prints the figures, and returns the exit code.
pub fn judge(
    case: &Case,
    clients: Vec<JoinHandle<Vec<(String, Fate)>>>,
    control: JoinHandle<Duration>,
) -> i32 {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    let mut lost = 0;
    for (id, fate) in clients.into_iter().flat_map(|client| client.join().expect("a client ends")) {
        let (kind, is_lost) = match &fate {
            Fate::Answered { status: 200, body } if *body != body_for(&id) => {
                ("200 with another body".to_owned(), true)
            }
            Fate::Answered { status, .. } => (status.to_string(), false),
            Fate::NotTaken => ("not taken".to_owned(), false),
            Fate::Closed => ("closed without an answer".to_owned(), true),
            Fate::NoAnswer => ("no answer".to_owned(), true),
        };
        *counts.entry(kind).or_default() += 1;
        lost += usize::from(is_lost);
    }
    let longest = control.join().expect("the control ends");
    let line = format!(
        "usual clients: {counts:?}, lost {lost}; longest answer of the control {} ms",
        longest.as_millis()
    );
    println!("{line}");
    case.record.line(&line);
    if longest > Duration::from_millis(400) {
        println!("the stand-ins did not keep up");
        COULD_NOT_RUN
    } else if lost > 0 {
        BROKEN
    } else {
        HELD
    }
}

//! What all cases share: the record, child processes, free addresses, a small HTTP server, and signals.

use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// A case that takes longer has not run.
const WATCHDOG: Duration = Duration::from_secs(110);

struct World {
    started: Instant,
    record: Mutex<File>,
    children: Mutex<Vec<(String, Child)>>,
    folder: PathBuf,
    trouble: bool,
}

static WORLD: OnceLock<World> = OnceLock::new();

fn world() -> &'static World {
    WORLD.get().expect("begin is called first")
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Starts a case: opens its record, to which it appends, and starts the watchdog.
pub fn begin(folder: &Path, record: &Path, trouble: bool) {
    let world = World {
        started: Instant::now(),
        record: Mutex::new(
            File::options().append(true).create(true).open(record).expect("the record can be written"),
        ),
        children: Mutex::default(),
        folder: folder.to_owned(),
        trouble,
    };
    assert!(WORLD.set(world).is_ok(), "begin is called once");
    std::panic::set_hook(Box::new(|info| {
        eprintln!("{info}");
        if thread::current().name() == Some("main") {
            note(&format!("the case could not run: {info}"));
            finish(NOT_RUN);
        }
    }));
    thread::spawn(|| {
        thread::sleep(WATCHDOG);
        note("the watchdog ends the case");
        finish(NOT_RUN);
    });
    note(&format!("disruption: {}", if trouble { "yes" } else { "no (TROUBLE=0)" }));
}

/// Whether the disruption is to happen.
pub fn trouble() -> bool {
    world().trouble
}

pub fn folder() -> &'static Path {
    &world().folder
}

pub fn elapsed() -> Duration {
    world().started.elapsed()
}

/// Writes a line to the record, with the time since the start.
pub fn note(line: &str) {
    let mut record = lock(&world().record);
    let _ = writeln!(record, "{:>9.3} {line}", elapsed().as_secs_f64());
    let _ = record.flush();
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Ends all processes that the case started, then the case.
pub fn finish(code: i32) -> ! {
    for (name, mut child) in lock(&world().children).drain(..) {
        let _ = child.kill();
        let status = child.wait();
        note(&format!("ended {name}: {status:?}"));
    }
    note(&format!("exit code {code}"));
    std::process::exit(code)
}

/// Notes the judgement and ends the case.
pub fn judge(broken: bool, line: &str) -> ! {
    note(&format!("{}: {line}", if broken { "BROKEN" } else { "HELD" }));
    println!("{}: {line}", if broken { "BROKEN" } else { "HELD" });
    finish(if broken { BROKEN } else { HELD })
}

/// Waits until a condition holds; the case could not run if it does not within the time.
pub fn wait_for(what: &str, seconds: u64, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(seconds);
    while !condition() {
        if Instant::now() > deadline {
            note(&format!("not within {seconds} s: {what}"));
            eprintln!("not within {seconds} s: {what}");
            finish(NOT_RUN);
        }
        sleep_ms(20);
    }
    note(&format!("ok: {what}"));
}

/// A loopback address that is free now.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

/// A process of the project, with its standard error in a file.
#[derive(Clone)]
pub struct Process {
    pub name: String,
    pub pid: u32,
    pub log: PathBuf,
}

impl Process {
    /// Starts a command of the deploy file or the README in the root of the repository, by `/bin/sh -c`.
    pub fn start(name: &str, command: &str, environment: &[(&str, &str)]) -> Process {
        let log = folder().join(format!("{name}.log"));
        let file = File::options().create(true).append(true).open(&log).expect("a log file");
        let child = Command::new("/bin/sh")
            .args(["-c", command])
            .envs(environment.iter().copied())
            .stdin(Stdio::null())
            .stdout(file.try_clone().expect("a log file"))
            .stderr(file)
            .spawn()
            .expect("a process starts");
        let process = Process { name: name.to_owned(), pid: child.id(), log };
        note(&format!("started {name} (pid {}): {command}", process.pid));
        let _ = File::options()
            .create(true)
            .append(true)
            .open(folder().join("pids"))
            .and_then(|mut pids| writeln!(pids, "{}", process.pid));
        lock(&world().children).push((name.to_owned(), child));
        process
    }

    pub fn signal(&self, signal: &str) {
        note(&format!("signal {signal} to {} (pid {})", self.name, self.pid));
        let status = Command::new("kill").arg(format!("-{signal}")).arg(self.pid.to_string()).status();
        assert!(status.is_ok_and(|status| status.success()), "the signal could not be sent");
    }

    pub fn text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns whether the process still runs, and notes its end.
    pub fn is_running(&self) -> bool {
        let mut children = lock(&world().children);
        let Some((_, child)) = children.iter_mut().find(|(_, child)| child.id() == self.pid) else {
            return false;
        };
        matches!(child.try_wait(), Ok(None))
    }
}

/// Runs a command to its end. Returns its exit code and what it wrote.
pub fn run_command(program: &str, arguments: &[&str]) -> (i32, String) {
    match Command::new(program).args(arguments).stdin(Stdio::null()).output() {
        Ok(output) => {
            let text = format!(
                "{}{}",
                String::from_utf8_lossy(&output.stdout),
                String::from_utf8_lossy(&output.stderr)
            );
            (output.status.code().unwrap_or(-1), text)
        }
        Err(error) => (-1, error.to_string()),
    }
}

/// An HTTP message, as far as the stand-ins need it.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(other, _)| other.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads the head of a message. `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> std::io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if message.first_line.is_empty() {
            message.first_line = line.to_owned();
        } else if line.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a message whose body, if it has one, has a `Content-Length`.
pub fn read_message(reader: &mut impl BufRead) -> std::io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    let length = message.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Formats a response with a body.
pub fn response(status: u16, body: &str) -> String {
    format!("HTTP/1.1 {status} Answer\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Serves connections, each on a thread of its own. The handler gets each request and returns false to end the
/// connection.
pub fn serve(
    listener: TcpListener,
    handler: impl Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static,
) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(request)) = read_message(&mut reader) {
                    if !handler(&request, &mut writer) {
                        return;
                    }
                }
            });
        }
    });
}

/// One chunk of a chunked body.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// A client's connection that is kept open between requests.
pub struct Client {
    to: SocketAddr,
    connection: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(to: SocketAddr) -> Client {
        Client { to, connection: None }
    }

    /// Sends a request and reads its answer; `None` if there is none within the time.
    pub fn request(&mut self, text: &str, timeout_ms: u64) -> Option<Message> {
        let answer = self.try_request(text, timeout_ms).ok().flatten();
        let closes = answer.as_ref().is_none_or(|answer| answer.header("connection") == Some("close"));
        if closes {
            self.connection = None;
        }
        answer
    }

    fn try_request(&mut self, text: &str, timeout_ms: u64) -> std::io::Result<Option<Message>> {
        if self.connection.is_none() {
            let stream = TcpStream::connect_timeout(&self.to, Duration::from_millis(500))?;
            stream.set_nodelay(true)?;
            self.connection = Some(BufReader::new(stream));
        }
        let Some(connection) = &mut self.connection else { return Ok(None) };
        connection.get_ref().set_read_timeout(Some(Duration::from_millis(timeout_ms.max(1))))?;
        connection.get_mut().write_all(text.as_bytes())?;
        read_message(connection)
    }
}

//! A machine dies in the middle of a streamed answer. Its client must be able to tell that the answer is incomplete.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::deployment::{Discovery, Front, Platform, member};
use crate::harness::{judge, note, read_head, read_message, sleep_ms, trouble};

/// Lines of an answer, and how many are sent before the machine dies.
const LINES: usize = 20;
const LINES_BEFORE_DEATH: usize = 8;
const LINE_INTERVAL_MS: u64 = 40;
const REQUESTS: usize = 10;

/// What a client is to get, and can tell from its connection.
#[derive(Debug)]
struct Answer {
    status: u16,
    body: String,
    /// Whether the message ended as its own framing says.
    complete: bool,
}

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Makes the end of a connection a reset, as the users' page has it where a process dies.
fn reset_at_end(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = [1i32, 0];
    let set = unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, linger.as_ptr(), 8) };
    assert_eq!(set, 0, "the option could not be set");
}

fn whole_body(id: &str) -> String {
    (0..LINES).map(|number| format!("{id}: line {number} of {LINES}\n")).collect()
}

/// A machine whose answers end with their connections. It dies once, in the middle of its answers.
fn start_machine(dies: Arc<AtomicBool>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let dies = dies.clone();
            thread::spawn(move || answer(stream, &dies));
        }
    });
    address
}

fn answer(stream: TcpStream, dies: &AtomicBool) {
    let mut reader = BufReader::new(stream);
    let Ok(Some(request)) = read_message(&mut reader) else { return };
    let id = request.header("request-id").unwrap_or_default().to_owned();
    let mut stream = reader.into_inner();
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n");
    for (number, line) in whole_body(&id).split_inclusive('\n').enumerate() {
        if number == LINES_BEFORE_DEATH && dies.load(Ordering::SeqCst) {
            note(&format!(
                "the machine dies with {number} of {LINES} lines of {id} sent: its connection is reset"
            ));
            reset_at_end(&stream);
            return;
        }
        if stream.write_all(line.as_bytes()).is_err() {
            return;
        }
        sleep_ms(LINE_INTERVAL_MS);
    }
    note(&format!("the machine has answered {id} with all {LINES} lines"));
}

fn ask(front: SocketAddr, id: &str) -> std::io::Result<Answer> {
    let mut stream = TcpStream::connect(front)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let request =
        format!("GET /tail/1 HTTP/1.1\r\nHost: x\r\nRequest-Id: {id}\r\nRequest-Timeout-Ms: 4000\r\n\r\n");
    stream.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let Some(head) = read_head(&mut reader)? else {
        return Ok(Answer { status: 0, body: String::new(), complete: false });
    };
    let mut answer = Answer { status: head.status(), body: String::new(), complete: false };
    if let Some(length) = head.header("content-length").and_then(|value| value.parse().ok()) {
        let mut bytes = vec![0; length];
        answer.complete = reader.read_exact(&mut bytes).is_ok();
        answer.body = String::from_utf8_lossy(&bytes).into_owned();
        return Ok(answer);
    }
    // Chunks: complete with the last one, of length 0, and its empty line.
    while let Some(bytes) = read_chunk(&mut reader) {
        if bytes.is_empty() {
            answer.complete = true;
            break;
        }
        answer.body.push_str(&String::from_utf8_lossy(&bytes));
    }
    Ok(answer)
}

/// Reads a chunk; `None` if the connection ends first.
fn read_chunk(reader: &mut impl std::io::BufRead) -> Option<Vec<u8>> {
    let mut size = String::new();
    reader.read_line(&mut size).ok().filter(|read| *read > 0)?;
    let size = usize::from_str_radix(size.trim(), 16).ok()?;
    let mut bytes = vec![0; size + 2];
    reader.read_exact(&mut bytes).ok()?;
    (bytes.ends_with(b"\r\n")).then(|| bytes[..size].to_vec())
}

pub fn run() -> ! {
    let dies = Arc::new(AtomicBool::new(trouble()));
    let machine = start_machine(dies);
    let discovery = Discovery::start(vec![member("s-0", machine, "Ready", 4)]);
    let platform = Platform::start(4);
    let front = Front::start("front", &discovery, &platform, None);
    let mut wrong = 0;
    let mut answered = 0;
    for number in 0..REQUESTS {
        let id = format!("stream-{number}");
        let answer = match ask(front.address, &id) {
            Ok(answer) => answer,
            Err(error) => {
                note(&format!("client: {id}: {error}"));
                continue;
            }
        };
        let is_whole = answer.body == whole_body(&id);
        note(&format!(
            "client: {id}: status {}, {} lines, the message is {}, the answer is {}",
            answer.status,
            answer.body.lines().count(),
            if answer.complete { "complete" } else { "cut off" },
            if is_whole { "the machine's" } else { "not the machine's whole answer" }
        ));
        answered += usize::from(answer.status == 200 && answer.complete && is_whole);
        wrong += usize::from(answer.status == 200 && answer.complete && !is_whole);
        // A machine that comes back has a moment to do so.
        sleep_ms(1_200);
    }
    if wrong > 0 {
        judge(
            true,
            &format!("{wrong} of {REQUESTS} clients got a cut answer as a complete one with status 200"),
        );
    }
    judge(
        false,
        &format!(
            "no client got a cut answer as a complete one; {answered} of {REQUESTS} got the whole answer"
        ),
    )
}

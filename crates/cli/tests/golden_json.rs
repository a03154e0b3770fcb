//! Golden tests of `garnetcrank --json`: the requests of each subcommand with each option, and its JSON.
//!
//! Operators' scripts rely on these names and on the JSON: names may be added, existing ones stay valid.
//! A scripted agent responds, so no output depends on ports or times.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

use garnetcrank_consensus::ids::{Epoch, InstanceId, Role, Sequence, SessionId, Subject};
use garnetcrank_consensus::raft_node;
use garnetcrank_consensus::replicated_state::{Command as LedgerCommand, Member, Proposal};
use garnetcrank_store::{Batch, HardState, LogEntry, OwnerIdentity, Store};
use serde_json::{Value, json};

/// Request as the agent receives it, with all white space removed from the body.
#[derive(Debug, Clone, PartialEq)]
struct Request {
    method: String,
    target: String,
    body: String,
}

fn request(method: &str, target: &str, body: &str) -> Request {
    Request { method: method.into(), target: target.into(), body: body.into() }
}

/// Response of the scripted agent: status code and body.
type Response = (u16, String);

fn ok(value: &Value) -> Response {
    (200, value.to_string())
}

/// Accepts the next connection.
///
/// # Panics
/// No connection is made within 20 s. A program that does not connect fails the test instead of blocking it.
fn accept(listener: &TcpListener) -> TcpStream {
    let timeout = Duration::from_secs(20);
    listener.set_nonblocking(true).expect("the listener can be made non-blocking");
    let deadline = Instant::now() + timeout;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream
                    .set_nonblocking(false)
                    .and_then(|()| stream.set_read_timeout(Some(timeout)))
                    .expect("socket options can be set");
                return stream;
            }
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                assert!(Instant::now() < deadline, "no connection to the agent within {timeout:?}");
                std::thread::sleep(Duration::from_millis(1));
            }
            Err(error) => panic!("connection not accepted: {error}"),
        }
    }
}

/// Sends one scripted response per connection, in order, and returns the requests.
fn serve(listener: &TcpListener, script: Vec<Response>) -> Vec<Request> {
    let mut requests = Vec::new();
    for (status, response) in script {
        let stream = accept(listener);
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        reader.read_line(&mut line).expect("the request line can be read");
        let mut parts = line.split(' ');
        let (method, target) =
            (parts.next().expect("the line has a method"), parts.next().expect("the line has a target"));
        let mut length = 0;
        loop {
            let mut header = String::new();
            reader.read_line(&mut header).expect("the header can be read");
            let Some((name, value)) = header.trim().split_once(':') else { break };
            if name.eq_ignore_ascii_case("content-length") {
                length = value.trim().parse().expect("the content length is a number");
            }
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body).expect("the body can be read");
        // The layout of the JSON is free. No string in these bodies contains white space, so all is removed.
        let body: String = String::from_utf8(body)
            .expect("the body is UTF-8")
            .chars()
            .filter(|c| !c.is_whitespace())
            .collect();
        requests.push(request(method, target, &body));
        let head = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
            response.len()
        );
        let mut stream = reader.into_inner();
        stream
            .write_all(head.as_bytes())
            .and_then(|()| stream.write_all(response.as_bytes()))
            .expect("the response can be sent");
    }
    requests
}

struct ProgramOutput {
    code: Option<i32>,
    stdout: String,
    stderr: String,
}

fn run_program(arguments: &[&str]) -> ProgramOutput {
    let mut command = Command::new(env!("CARGO_BIN_EXE_garnetcrank"));
    let output =
        command.env_remove("GARNETCRANK_AGENT").args(arguments).output().expect("garnetcrank can be started");
    let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).expect("the output is UTF-8");
    ProgramOutput { code: output.status.code(), stdout: text(&output.stdout), stderr: text(&output.stderr) }
}

/// Runs `garnetcrank --json ledger --agent ADDRESS ARGUMENTS` against a scripted agent.
///
/// Returns the program's output and the requests that the agent received.
fn run(arguments: &[&str], script: Vec<Response>) -> (ProgramOutput, Vec<Request>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address: SocketAddr = listener.local_addr().expect("the listener has an address");
    let serving = std::thread::spawn(move || serve(&listener, script));
    let mut all_arguments = vec!["--json".to_owned(), "ledger".into(), "--agent".into(), address.to_string()];
    all_arguments.extend(arguments.iter().map(|argument| (*argument).to_owned()));
    let output = run_program(&all_arguments.iter().map(String::as_str).collect::<Vec<_>>());
    if output.code == Some(2) {
        panic!("the command line is rejected: {}", output.stderr);
    }
    (output, serving.join().expect("the scripted agent does not panic"))
}

/// Asserts that the program printed the golden JSON, indented and with its keys in the same order.
#[track_caller]
fn assert_prints(output: &ProgramOutput, golden: &Value) {
    assert_eq!(output.code, Some(0), "{}", output.stderr);
    assert_eq!(serde_json::from_str::<Value>(&output.stdout).expect("the output is JSON"), *golden);
    assert_eq!(
        output.stdout,
        format!("{}\n", serde_json::to_string_pretty(golden).expect("JSON can be serialized"))
    );
}

/// Asserts that the program printed exactly this text, for types whose keys are not in alphabetical order.
#[track_caller]
fn assert_prints_text(output: &ProgramOutput, golden: &str) {
    assert_eq!((output.code, output.stdout.trim_end()), (Some(0), golden), "{}", output.stderr);
}

fn status() -> Value {
    let member = json!({"id": "00000000000000ab", "name": "n1", "address": "10.0.0.1:7001", "part": "voter", "living": true, "matched": 17});
    json!({
        "cluster": "fronts", "me": member, "version": "0.1.0", "starts": 3, "up_ms": 4000,
        "node": {"id": 171, "standing": "leader", "leader": 171, "term": 5, "committed": 18, "applied": 17,
            "last": 19, "held": 20, "waiting": 21, "scarce": false},
        "leader": "n1",
        "members": [member, {"id": "00000000000000ac", "name": "n2", "address": "10.0.0.2:7001", "part": "learner"}],
        "subjects": 22, "sessions": 23, "store_bytes": 24,
    })
}

#[test]
fn status_prints_the_response_of_the_agent() {
    let (output, requests) = run(&["status"], vec![ok(&status())]);
    assert_prints(&output, &status());
    assert_eq!(requests, [request("GET", "/v1/status?within_ms=5000", "")]);
    let (output, requests) = run(&["--within", "2.5", "status"], vec![ok(&status())]);
    assert_prints(&output, &status());
    assert_eq!(requests, [request("GET", "/v1/status?within_ms=2500", "")]);
}

#[test]
fn members_list_prints_each_key() {
    let (output, requests) = run(&["members", "list"], vec![ok(&status())]);
    let golden = r#"[
  {
    "id": "00000000000000ab",
    "name": "n1",
    "address": "10.0.0.1:7001",
    "part": "voter",
    "living": true,
    "matched": 17
  },
  {
    "id": "00000000000000ac",
    "name": "n2",
    "address": "10.0.0.2:7001",
    "part": "learner"
  }
]"#;
    assert_prints_text(&output, golden);
    assert_eq!(requests, [request("GET", "/v1/status?within_ms=5000", "")]);
}

fn decided(space: &str, number: u64) -> Value {
    json!({"subject": {"space": space, "number": number}, "standing": {"Decided": [97, 255]}})
}

#[test]
fn list_prints_each_subject_state_and_reads_all_pages() {
    let first = json!({
        "applied": 17, "subjects": [decided("condemned", 42)], "next": {"space": "condemned", "number": 42},
    });
    let second = json!({
        "applied": 18, "next": null,
        "subjects": [
            {"subject": {"space": "orders", "number": 8}, "standing": {"Handed": 3}},
            {"subject": {"space": "orders", "number": 9}, "standing": {"Ran": 4}},
        ],
    });
    let (output, requests) = run(&["list"], vec![ok(&first), ok(&second)]);
    let golden = r#"[
  {
    "subject": {
      "space": "condemned",
      "number": 42
    },
    "standing": {
      "Decided": [
        97,
        255
      ]
    }
  },
  {
    "subject": {
      "space": "orders",
      "number": 8
    },
    "standing": {
      "Handed": 3
    }
  },
  {
    "subject": {
      "space": "orders",
      "number": 9
    },
    "standing": {
      "Ran": 4
    }
  }
]"#;
    assert_prints_text(&output, golden);
    let targets = [
        request("GET", "/v1/ledger?stale=0&within_ms=5000", ""),
        request("GET", "/v1/ledger?stale=0&after=condemned/42&within_ms=5000", ""),
    ];
    assert_eq!(requests, targets);
    let empty_page = json!({"applied": 1, "subjects": [], "next": null});
    let (output, requests) = run(&["list", "--space", "orders", "--stale"], vec![ok(&empty_page)]);
    assert_prints(&output, &json!([]));
    assert_eq!(requests, [request("GET", "/v1/ledger?stale=1&space=orders&within_ms=5000", "")]);
}

#[test]
fn show_prints_one_subject() {
    let page = json!({"applied": 17, "subjects": [decided("condemned", 42)], "next": null});
    let golden = r#"{
  "subject": {
    "space": "condemned",
    "number": 42
  },
  "standing": {
    "Decided": [
      97,
      255
    ]
  }
}"#;
    let (output, requests) = run(&["show", "condemned/42"], vec![ok(&page)]);
    assert_prints_text(&output, golden);
    assert_eq!(requests, [request("GET", "/v1/ledger/condemned/42?stale=0&within_ms=5000", "")]);
    let (output, requests) = run(&["show", "condemned/42", "--stale"], vec![ok(&page)]);
    assert_prints_text(&output, golden);
    assert_eq!(requests, [request("GET", "/v1/ledger/condemned/42?stale=1&within_ms=5000", "")]);
    let empty_page = json!({"applied": 17, "subjects": [], "next": null});
    let (output, _) = run(&["show", "condemned/43"], vec![ok(&empty_page)]);
    assert_eq!((output.code, output.stdout.as_str()), (Some(1), ""));
    assert!(output.stderr.contains("condemned/43"), "{}", output.stderr);
}

/// Responses to a proposal that has no effect or an unknown outcome, each with the program's exit code.
fn failed_proposals() -> Vec<(Value, i32)> {
    let applied = |reply: Value| json!({"result": "applied", "reply": reply});
    vec![
        (applied(json!({"Retired": {"below": 50}})), 1),
        (applied(json!("Full")), 1),
        (applied(json!({"Refused": "why"})), 1),
        (applied(json!("SessionLost")), 1),
        (applied(json!("Overtaken")), 1),
        (applied(json!({"Stale": {"current": 4}})), 1),
        (json!({"result": "refused", "why": "no"}), 1),
        (json!({"result": "not_proposed"}), 3),
        (json!({"result": "busy"}), 3),
        (json!({"result": "store_full"}), 3),
        (json!({"result": "may_yet"}), 4),
    ]
}

const PROPOSE_PATH: &str = "/v1/propose?within_ms=5000";

#[test]
fn propose_prints_the_decided_value() {
    let applied = |value: &[u8], first: bool| {
        ok(&json!({"result": "applied", "reply": {"Decided": {"value": value, "first": first}}}))
    };
    let arguments = ["propose", "condemned/42", "yes"];
    let (output, requests) = run(&arguments, vec![applied(b"yes", true)]);
    assert_prints(&output, &json!({"subject": "condemned/42", "value": "yes", "first": true}));
    let body = concat!(
        r#"{"command":{"Decide":{"subject":{"space":"condemned","number":42},"value":[121,101,115]}},"#,
        r#""proposal":null,"within_ms":5000}"#
    );
    assert_eq!(requests, [request("POST", PROPOSE_PATH, body)]);
    let (output, _) = run(&arguments, vec![applied(b"yes", false)]);
    assert_prints(&output, &json!({"subject": "condemned/42", "value": "yes", "first": false}));
    let (output, _) = run(&arguments, vec![applied(&[0, 255], false)]);
    assert_eq!(output.code, Some(1), "decided with another value");
    let printed: Value = serde_json::from_str(&output.stdout).expect("the output is JSON");
    assert_eq!(printed, json!({"subject": "condemned/42", "value": "0x00ff", "first": false}));
    for (response, code) in failed_proposals() {
        let (output, _) = run(&arguments, vec![ok(&response)]);
        assert_eq!((output.code, output.stdout.as_str()), (Some(code), ""), "{response}: {}", output.stderr);
    }
}

#[test]
fn an_unexpected_reply_is_printed_under_its_json_name() {
    let replies = [
        (json!("SessionLost"), "SessionLost"),
        (json!("Overtaken"), "Overtaken"),
        (json!("Done"), "Done"),
        (json!({"Opened": 7}), "Opened(SessionId(7))"),
        (json!({"Granted": 3}), "Granted(Epoch(3))"),
        (json!({"Handed": 4}), "Handed(Epoch(4))"),
        (json!({"InDoubt": 5}), "InDoubt(Epoch(5))"),
        (json!({"Ran": 6}), "Ran(Epoch(6))"),
        (json!({"Stale": {"current": 4}}), "Stale { current: Epoch(4) }"),
    ];
    for (reply, text) in replies {
        let response = ok(&json!({"result": "applied", "reply": reply}));
        let (output, _) = run(&["propose", "condemned/42", "yes"], vec![response]);
        assert_eq!((output.code, output.stderr), (Some(1), format!("garnetcrank: {text}\n")));
    }
}

#[test]
fn retire_prints_the_space_and_the_lowest_kept_number() {
    let arguments = ["retire", "condemned", "43"];
    let (output, requests) = run(&arguments, vec![ok(&json!({"result": "applied", "reply": "Done"}))]);
    assert_prints(&output, &json!({"retired": {"space": "condemned", "below": 43}}));
    let body = r#"{"command":{"Retire":{"space":"condemned","below":43}},"proposal":null,"within_ms":5000}"#;
    assert_eq!(requests, [request("POST", PROPOSE_PATH, body)]);
    for (response, code) in failed_proposals() {
        let (output, _) = run(&arguments, vec![ok(&response)]);
        assert_eq!((output.code, output.stdout.as_str()), (Some(code), ""), "{response}: {}", output.stderr);
    }
}

#[test]
fn grants_print_each_key() {
    let grants = json!([
        {"role": "votes", "holder": "n1", "epoch": 4, "renewed": 99},
        {"role": "other", "holder": null, "epoch": 5, "renewed": 98},
    ]);
    let golden = r#"[
  {
    "role": "votes",
    "holder": "n1",
    "epoch": 4,
    "renewed": 99
  },
  {
    "role": "other",
    "holder": null,
    "epoch": 5,
    "renewed": 98
  }
]"#;
    let (output, requests) = run(&["grants"], vec![ok(&grants)]);
    assert_prints_text(&output, golden);
    assert_eq!(requests, [request("GET", "/v1/grants?stale=0&within_ms=5000", "")]);
    let (output, requests) = run(&["grants", "--stale"], vec![ok(&grants)]);
    assert_prints_text(&output, golden);
    assert_eq!(requests, [request("GET", "/v1/grants?stale=1&within_ms=5000", "")]);
}

/// Responses to a request that only the leader carries out, each with the program's exit code.
fn failed_leader_requests() -> Vec<(Response, i32)> {
    vec![
        (ok(&json!({"result": "not_leader", "leader": "n2"})), 3),
        (ok(&json!({"result": "not_leader", "leader": null})), 3),
        (ok(&json!({"result": "may_yet"})), 4),
        (ok(&json!({"result": "refused", "why": "no"})), 1),
        ((400, json!({"error": "bad"}).to_string()), 1),
        ((503, json!({"error": "busy"}).to_string()), 3),
        ((504, json!({"error": "late"}).to_string()), 3),
    ]
}

#[test]
fn members_remove_and_transfer_print_the_named_instance() {
    let done = ok(&json!({"result": "done"}));
    let (output, requests) = run(&["members", "remove", "n3"], vec![done.clone()]);
    assert_prints(&output, &json!({"removed": "n3"}));
    assert_eq!(requests, [request("POST", "/v1/members?within_ms=5000", r#"{"remove":"n3"}"#)]);
    let (output, requests) = run(&["transfer", "n2"], vec![done]);
    assert_prints(&output, &json!({"transfer": "n2"}));
    assert_eq!(requests, [request("POST", "/v1/transfer?within_ms=5000", r#"{"to":"n2"}"#)]);
    for arguments in [&["members", "remove", "n3"][..], &["transfer", "n2"]] {
        for (response, code) in failed_leader_requests() {
            let (output, _) = run(arguments, vec![response.clone()]);
            assert_eq!(
                (output.code, output.stdout.as_str()),
                (Some(code), ""),
                "{response:?}: {}",
                output.stderr
            );
        }
    }
}

#[test]
fn members_add_prints_the_added_instance() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let joining = listener.local_addr().expect("the listener has an address").to_string();
    let mut joining_status = status();
    joining_status["me"] =
        json!({"id": "00000000000000ad", "name": "n4", "address": "10.0.0.4:7001", "part": "none"});
    let responses = vec![ok(&joining_status), ok(&status())];
    let serving = std::thread::spawn(move || serve(&listener, responses));
    let (output, requests) = run(&["members", "add", &joining], vec![ok(&json!({"result": "done"}))]);
    assert_prints(&output, &json!({"added": "n4", "id": "00000000000000ad", "address": "10.0.0.4:7001"}));
    let body = r#"{"add":{"id":"00000000000000ad","name":"n4","address":"10.0.0.4:7001"}}"#;
    assert_eq!(requests, [request("POST", "/v1/members?within_ms=5000", body)]);
    let (output, _) = run(&["members", "add", &joining], vec![]);
    assert_eq!(output.code, Some(1), "an existing member is rejected: {}", output.stderr);
    let requests = serving.join().expect("the joining agent does not panic");
    assert_eq!(requests, vec![request("GET", "/v1/status?within_ms=5000", ""); 2]);
}

#[test]
fn snapshot_prints_that_the_log_is_compacted() {
    let (output, requests) = run(&["snapshot"], vec![ok(&json!({"result": "done"}))]);
    assert_prints(&output, &json!({"snapshot": "folded"}));
    assert_eq!(requests, [request("POST", "/v1/snapshot?within_ms=5000", "{}")]);
}

/// Writes a store like that of a stopped agent, with a log entry of each kind.
fn write_store(path: &Path) {
    let identity = OwnerIdentity { cluster: "fronts".into(), name: "n1".into(), id: 0xab };
    let mut store = Store::open(path, &identity).expect("the store can be created");
    let member = Member { id: InstanceId(0xab), name: "n1".into(), address: "10.0.0.1:7001".into() };
    store.commit(&raft_node::initial_state(&[member])).expect("the batch can be committed");
    let proposal = |sequence, command| {
        let proposal = Proposal { session: SessionId(3), sequence: Sequence(sequence), command };
        postcard::to_stdvec(&proposal).expect("the proposal can be encoded")
    };
    let role = || Role("votes".into());
    let decide = LedgerCommand::Decide { subject: Subject::new("condemned", 42), value: vec![97] };
    let renew = LedgerCommand::RenewLease { role: role(), epoch: Epoch(4) };
    let kinds_and_data = [
        (0, Vec::new()),
        (0, proposal(0, LedgerCommand::OpenSession { nonce: 7 })),
        (0, proposal(1, decide)),
        (0, proposal(2, renew)),
        (1, vec![1, 2]),
        (2, vec![1, 2]),
        (0, vec![0xff]),
    ];
    let log_entry = |(index, (kind, data))| LogEntry { index, term: 2, kind, data, context: Vec::new() };
    let entries = (2..).zip(kinds_and_data).map(log_entry).collect();
    let hard = HardState { term: 2, vote: 0xab, commit: 8 };
    let key_changes = vec![("k".to_owned(), Some(vec![1]))];
    store
        .commit(&Batch { hard_state: Some(hard), entries, key_changes, ..Batch::default() })
        .expect("the batch can be committed");
}

/// Replaces an integer that varies between hosts with a fixed text, after checking its type.
fn mask(value: &mut Value, pointer: &str) {
    let volatile = value.pointer_mut(pointer).unwrap_or_else(|| panic!("{pointer} is missing"));
    assert!(volatile.is_u64(), "{pointer} is not an integer: {volatile}");
    *volatile = json!("masked");
}

/// Runs the program and returns its JSON, with the store's size masked.
fn run_inspect(arguments: &[&str]) -> Value {
    let output = run_program(arguments);
    assert_eq!(output.code, Some(0), "{}", output.stderr);
    let mut value: Value = serde_json::from_str(&output.stdout).expect("the output is JSON");
    let reformatted = serde_json::to_string_pretty(&value).expect("JSON can be serialized");
    assert_eq!(output.stdout, format!("{reformatted}\n"), "the keys are in alphabetical order");
    mask(&mut value, "/usage/bytes");
    value
}

#[test]
fn inspect_prints_each_key_of_a_store() {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let path = folder.path().join("n1.redb");
    write_store(&path);
    let path = path.to_str().expect("the path is UTF-8");
    let golden = |sound: Value, entries: Value| {
        json!({
            "name": "n1", "id": "00000000000000ab", "cluster": "fronts", "starts": 1,
            "usage": {"bytes": "masked", "entries": 7, "first": 2, "last": 8, "keys": 1},
            "hard": {"term": 2, "vote": 171, "commit": 8},
            "sound": sound, "snapshot": {"index": 1, "term": 1, "bytes": 28},
            "corrupt": [], "entries": entries,
        })
    };
    let plain = run_inspect(&["--json", "ledger", "inspect", path]);
    assert_eq!(plain, golden(Value::Null, json!([])));
    let scrubbed = run_inspect(&["ledger", "inspect", path, "--scrub", "--json"]);
    let sound = scrubbed["sound"].clone();
    assert!(sound.as_u64().is_some_and(|sound| sound > 0), "{sound}");
    assert_eq!(scrubbed, golden(sound, json!([])));
    let with_entries = run_inspect(&["ledger", "--json", "inspect", path, "--entries"]);
    let entries = with_entries["entries"].clone();
    assert_eq!(with_entries, golden(Value::Null, entries.clone()));
    // Each row has index, term and text. Here the text is compared up to the command;
    // `inspect_shows_the_fields_of_a_command` compares the rows that show a command in full.
    let rows: Vec<[String; 3]> = serde_json::from_value(entries).expect("each row has three texts");
    let expected = [
        ["2", "2", "(a leader's first)"],
        ["3", "2", "session 3 no. 0: "],
        ["4", "2", "session 3 no. 1: "],
        ["5", "2", "session 3 no. 2: "],
        ["6", "2", "(a change of members)"],
        ["7", "2", "(a change of members)"],
        ["8", "2", "can't be read: "],
    ];
    assert_eq!(rows.len(), expected.len());
    for (row, [index, term, text]) in rows.iter().zip(expected) {
        assert_eq!([row[0].as_str(), &row[1]], [index, term]);
        assert!(row[2].starts_with(text), "{row:?} does not start with {text:?}");
    }
}

/// The JSON contains the text of each entry, which shows the fields of its command.
#[test]
fn inspect_shows_the_fields_of_a_command() {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let path = folder.path().join("n1.redb");
    write_store(&path);
    let with_entries = run_inspect(&[
        "--json",
        "ledger",
        "inspect",
        path.to_str().expect("the path is UTF-8"),
        "--entries",
        "--scrub",
    ]);
    let text =
        |row: usize| with_entries["entries"][row][2].as_str().expect("the column is a text").to_owned();
    assert_eq!(text(1), "session 3 no. 0: Open { nonce: 7 }");
    assert_eq!(
        text(2),
        "session 3 no. 1: Decide { subject: Subject { space: \"condemned\", number: 42 }, value: [97] }"
    );
    assert_eq!(text(3), "session 3 no. 2: Renew { role: Role(\"votes\"), epoch: Epoch(4) }");
}

#[test]
fn inspect_of_a_missing_store_exits_with_the_store_error_code() {
    let output = run_program(&["--json", "ledger", "inspect", "/nowhere/n1.redb"]);
    assert_eq!((output.code, output.stdout.as_str()), (Some(5), ""), "{}", output.stderr);
}

#[test]
fn agents_from_option_or_environment_are_tried_in_order() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address").to_string();
    let responses = vec![ok(&status()); 4];
    let serving = std::thread::spawn(move || serve(&listener, responses));
    let closed = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let closed_address = closed.local_addr().expect("the listener has an address").to_string();
    drop(closed);
    let both = format!("{closed_address},{address}");
    assert_prints(&run_program(&["--json", "ledger", "--agent", &both, "status"]), &status());
    assert_prints(
        &run_program(&["ledger", "status", "--agent", &closed_address, "--agent", &address, "--json"]),
        &status(),
    );
    assert_prints(
        &run_program(&["--json", "ledger", "status", "--within", "1", "--agent", &address]),
        &status(),
    );
    let mut command = Command::new(env!("CARGO_BIN_EXE_garnetcrank"));
    let from_environment =
        command.env("GARNETCRANK_AGENT", &both).args(["--json", "ledger", "status"]).output();
    let from_environment = from_environment.expect("garnetcrank can be started");
    assert_eq!(
        serde_json::from_slice::<Value>(&from_environment.stdout).expect("the output is JSON"),
        status()
    );
    let targets: Vec<String> = serving
        .join()
        .expect("the scripted agent does not panic")
        .into_iter()
        .map(|request| request.target)
        .collect();
    let (default_timeout, one_second) = ("/v1/status?within_ms=5000", "/v1/status?within_ms=1000");
    assert_eq!(targets, [default_timeout, default_timeout, one_second, default_timeout]);
    assert_eq!(run_program(&["--json", "ledger", "--agent", &closed_address, "status"]).code, Some(3));
}

#[test]
fn an_invalid_command_line_exits_with_the_usage_error_code() {
    for arguments in [
        &["ledger", "statu"][..],
        &["ledger", "status", "--wait", "1"],
        &["ledger", "--within", "61", "status"],
        &["ledger", "show", "condemned"],
        &["ledger", "propose", "condemned/42"],
        &["ledger", "retire", "condemned", "x"],
        &["ledger", "members"],
        &["ledger"],
        &[],
    ] {
        assert_eq!(run_program(arguments).code, Some(2), "{arguments:?}");
    }
    assert_eq!(run_program(&["--help"]).code, Some(0));
    assert_eq!(run_program(&["--version"]).code, Some(0));
    for subcommand in [
        "status", "list", "show", "propose", "retire", "grants", "members", "transfer", "snapshot", "inspect",
    ] {
        assert_eq!(run_program(&["ledger", subcommand, "--help"]).code, Some(0), "{subcommand}");
    }
    for subcommand in ["list", "add", "remove"] {
        assert_eq!(run_program(&["ledger", "members", subcommand, "--help"]).code, Some(0), "{subcommand}");
    }
}

//! Golden tests: `garnetcrank --json`, each subcommand with each option: what it asks of an agent and what it prints,
//! key by key. A scripted agent answers, so nothing printed depends on ports or times. Scripts of operators rely on
//! the names and the JSON: one may be added, an old one stays valid.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

use garnetcrank_consensus::ids::{Epoch, InstanceId, Role, Sequence, SessionId, Subject};
use garnetcrank_consensus::raft_node;
use garnetcrank_consensus::replicated_state::{Command as LedgerCommand, Member, Proposal};
use garnetcrank_store::{Batch, HardState, Identity, Record, Store};
use serde_json::{Value, json};

/// A request as an agent hears it, its body without white space.
#[derive(Debug, Clone, PartialEq)]
struct Request {
    method: String,
    target: String,
    body: String,
}

fn request(method: &str, target: &str, body: &str) -> Request {
    Request { method: method.into(), target: target.into(), body: body.into() }
}

/// An answer of the scripted agent: status and body.
type Answer = (u16, String);

fn ok(value: &Value) -> Answer {
    (200, value.to_string())
}

/// The next caller; a program that does not call fails the test rather than holding it up.
fn accept(listener: &TcpListener) -> TcpStream {
    let wait = Duration::from_secs(20);
    listener.set_nonblocking(true).expect("set");
    let end = Instant::now() + wait;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream
                    .set_nonblocking(false)
                    .and_then(|()| stream.set_read_timeout(Some(wait)))
                    .expect("set");
                return stream;
            }
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                assert!(Instant::now() < end, "nobody calls the agent");
                std::thread::sleep(Duration::from_millis(1));
            }
            Err(error) => panic!("{error}"),
        }
    }
}

/// Answers one connection after another until the script is at its end; what was asked.
fn serve(listener: &TcpListener, script: Vec<Answer>) -> Vec<Request> {
    let mut asked = Vec::new();
    for (status, answer) in script {
        let stream = accept(listener);
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        reader.read_line(&mut line).expect("a request line");
        let mut words = line.split(' ');
        let (method, target) = (words.next().expect("a method"), words.next().expect("a target"));
        let mut length = 0;
        loop {
            let mut header = String::new();
            reader.read_line(&mut header).expect("a header");
            let Some((name, value)) = header.trim().split_once(':') else { break };
            if name.eq_ignore_ascii_case("content-length") {
                length = value.trim().parse().expect("a length");
            }
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body).expect("a body");
        // How the body is laid out is free; no text in these bodies has a space of its own.
        let body: String =
            String::from_utf8(body).expect("text").chars().filter(|c| !c.is_whitespace()).collect();
        asked.push(request(method, target, &body));
        let head = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
            answer.len()
        );
        let mut stream = reader.into_inner();
        stream
            .write_all(head.as_bytes())
            .and_then(|()| stream.write_all(answer.as_bytes()))
            .expect("answered");
    }
    asked
}

struct ProgramOutput {
    code: Option<i32>,
    out: String,
    err: String,
}

fn program(words: &[&str]) -> ProgramOutput {
    let mut command = Command::new(env!("CARGO_BIN_EXE_garnetcrank"));
    let output = command.env_remove("GARNETCRANK_AGENT").args(words).output().expect("it runs");
    let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).expect("text");
    ProgramOutput { code: output.status.code(), out: text(&output.stdout), err: text(&output.stderr) }
}

/// Runs `garnetcrank --json ledger --agent ADDRESS WORDS` beside a scripted agent.
fn run(words: &[&str], script: Vec<Answer>) -> (ProgramOutput, Vec<Request>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address: SocketAddr = listener.local_addr().expect("an address");
    let serving = std::thread::spawn(move || serve(&listener, script));
    let mut all = vec!["--json".to_owned(), "ledger".into(), "--agent".into(), address.to_string()];
    all.extend(words.iter().map(|word| (*word).to_owned()));
    let output = program(&all.iter().map(String::as_str).collect::<Vec<_>>());
    if output.code == Some(2) {
        panic!("the command line is not taken: {}", output.err);
    }
    (output, serving.join().expect("the agent's thread"))
}

/// The JSON is the golden one with the keys in the same order: printed anew, it is the same text.
#[track_caller]
fn prints(output: &ProgramOutput, golden: &Value) {
    assert_eq!(output.code, Some(0), "{}", output.err);
    assert_eq!(serde_json::from_str::<Value>(&output.out).expect("JSON"), *golden);
    assert_eq!(output.out, format!("{}\n", serde_json::to_string_pretty(golden).expect("JSON")));
}

/// The same for types that print their keys in an order of their own, given as the very text.
#[track_caller]
fn prints_text(output: &ProgramOutput, golden: &str) {
    assert_eq!((output.code, output.out.trim_end()), (Some(0), golden), "{}", output.err);
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
fn status_prints_what_the_agent_says() {
    let (output, asked) = run(&["status"], vec![ok(&status())]);
    prints(&output, &status());
    assert_eq!(asked, [request("GET", "/v1/status?within_ms=5000", "")]);
    let (output, asked) = run(&["--within", "2.5", "status"], vec![ok(&status())]);
    prints(&output, &status());
    assert_eq!(asked, [request("GET", "/v1/status?within_ms=2500", "")]);
}

#[test]
fn members_list_prints_each_key() {
    let (output, asked) = run(&["members", "list"], vec![ok(&status())]);
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
    prints_text(&output, golden);
    assert_eq!(asked, [request("GET", "/v1/status?within_ms=5000", "")]);
}

fn decided(space: &str, number: u64) -> Value {
    json!({"subject": {"space": space, "number": number}, "standing": {"Decided": [97, 255]}})
}

#[test]
fn list_prints_each_standing_and_reads_all_pages() {
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
    let (output, asked) = run(&["list"], vec![ok(&first), ok(&second)]);
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
    prints_text(&output, golden);
    let targets = [
        request("GET", "/v1/ledger?stale=0&within_ms=5000", ""),
        request("GET", "/v1/ledger?stale=0&after=condemned/42&within_ms=5000", ""),
    ];
    assert_eq!(asked, targets);
    let none = json!({"applied": 1, "subjects": [], "next": null});
    let (output, asked) = run(&["list", "--space", "orders", "--stale"], vec![ok(&none)]);
    prints(&output, &json!([]));
    assert_eq!(asked, [request("GET", "/v1/ledger?stale=1&space=orders&within_ms=5000", "")]);
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
    let (output, asked) = run(&["show", "condemned/42"], vec![ok(&page)]);
    prints_text(&output, golden);
    assert_eq!(asked, [request("GET", "/v1/ledger/condemned/42?stale=0&within_ms=5000", "")]);
    let (output, asked) = run(&["show", "condemned/42", "--stale"], vec![ok(&page)]);
    prints_text(&output, golden);
    assert_eq!(asked, [request("GET", "/v1/ledger/condemned/42?stale=1&within_ms=5000", "")]);
    let none = json!({"applied": 17, "subjects": [], "next": null});
    let (output, _) = run(&["show", "condemned/43"], vec![ok(&none)]);
    assert_eq!((output.code, output.out.as_str()), (Some(1), ""));
    assert!(output.err.contains("condemned/43"), "{}", output.err);
}

/// What `propose` and `retire` do on each answer of the agent: the exit code.
fn outcomes() -> Vec<(Value, i32)> {
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
fn propose_prints_what_is_decided() {
    let applied = |value: &[u8], first: bool| {
        ok(&json!({"result": "applied", "reply": {"Decided": {"value": value, "first": first}}}))
    };
    let words = ["propose", "condemned/42", "yes"];
    let (output, asked) = run(&words, vec![applied(b"yes", true)]);
    prints(&output, &json!({"subject": "condemned/42", "value": "yes", "first": true}));
    let body = concat!(
        r#"{"command":{"Decide":{"subject":{"space":"condemned","number":42},"value":[121,101,115]}},"#,
        r#""proposal":null,"within_ms":5000}"#
    );
    assert_eq!(asked, [request("POST", PROPOSE_PATH, body)]);
    let (output, _) = run(&words, vec![applied(b"yes", false)]);
    prints(&output, &json!({"subject": "condemned/42", "value": "yes", "first": false}));
    let (output, _) = run(&words, vec![applied(&[0, 255], false)]);
    assert_eq!(output.code, Some(1), "decided otherwise");
    let printed: Value = serde_json::from_str(&output.out).expect("JSON");
    assert_eq!(printed, json!({"subject": "condemned/42", "value": "0x00ff", "first": false}));
    for (answer, code) in outcomes() {
        let (output, _) = run(&words, vec![ok(&answer)]);
        assert_eq!((output.code, output.out.as_str()), (Some(code), ""), "{answer}: {}", output.err);
    }
}

#[test]
fn a_reply_that_does_not_fit_the_command_is_named_as_in_the_json() {
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
        let answer = ok(&json!({"result": "applied", "reply": reply}));
        let (output, _) = run(&["propose", "condemned/42", "yes"], vec![answer]);
        assert_eq!((output.code, output.err), (Some(1), format!("garnetcrank: {text}\n")));
    }
}

#[test]
fn retire_prints_the_space_and_the_floor() {
    let words = ["retire", "condemned", "43"];
    let (output, asked) = run(&words, vec![ok(&json!({"result": "applied", "reply": "Done"}))]);
    prints(&output, &json!({"retired": {"space": "condemned", "below": 43}}));
    let body = r#"{"command":{"Retire":{"space":"condemned","below":43}},"proposal":null,"within_ms":5000}"#;
    assert_eq!(asked, [request("POST", PROPOSE_PATH, body)]);
    for (answer, code) in outcomes() {
        let (output, _) = run(&words, vec![ok(&answer)]);
        assert_eq!((output.code, output.out.as_str()), (Some(code), ""), "{answer}: {}", output.err);
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
    let (output, asked) = run(&["grants"], vec![ok(&grants)]);
    prints_text(&output, golden);
    assert_eq!(asked, [request("GET", "/v1/grants?stale=0&within_ms=5000", "")]);
    let (output, asked) = run(&["grants", "--stale"], vec![ok(&grants)]);
    prints_text(&output, golden);
    assert_eq!(asked, [request("GET", "/v1/grants?stale=1&within_ms=5000", "")]);
}

/// What only the leader does: the exit code on each answer of the agent.
fn led() -> Vec<(Answer, i32)> {
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
fn members_remove_and_transfer_print_whom_they_meant() {
    let done = ok(&json!({"result": "done"}));
    let (output, asked) = run(&["members", "remove", "n3"], vec![done.clone()]);
    prints(&output, &json!({"removed": "n3"}));
    assert_eq!(asked, [request("POST", "/v1/members?within_ms=5000", r#"{"remove":"n3"}"#)]);
    let (output, asked) = run(&["transfer", "n2"], vec![done]);
    prints(&output, &json!({"transfer": "n2"}));
    assert_eq!(asked, [request("POST", "/v1/transfer?within_ms=5000", r#"{"to":"n2"}"#)]);
    for words in [&["members", "remove", "n3"][..], &["transfer", "n2"]] {
        for (answer, code) in led() {
            let (output, _) = run(words, vec![answer.clone()]);
            assert_eq!((output.code, output.out.as_str()), (Some(code), ""), "{answer:?}: {}", output.err);
        }
    }
}

#[test]
fn members_add_prints_the_newcomer() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let joining = listener.local_addr().expect("an address").to_string();
    let mut newcomer = status();
    newcomer["me"] =
        json!({"id": "00000000000000ad", "name": "n4", "address": "10.0.0.4:7001", "part": "none"});
    let answers = vec![ok(&newcomer), ok(&status())];
    let serving = std::thread::spawn(move || serve(&listener, answers));
    let (output, asked) = run(&["members", "add", &joining], vec![ok(&json!({"result": "done"}))]);
    prints(&output, &json!({"added": "n4", "id": "00000000000000ad", "address": "10.0.0.4:7001"}));
    let body = r#"{"add":{"id":"00000000000000ad","name":"n4","address":"10.0.0.4:7001"}}"#;
    assert_eq!(asked, [request("POST", "/v1/members?within_ms=5000", body)]);
    let (output, _) = run(&["members", "add", &joining], vec![]);
    assert_eq!(output.code, Some(1), "a member already: {}", output.err);
    let asked = serving.join().expect("the newcomer's thread");
    assert_eq!(asked, vec![request("GET", "/v1/status?within_ms=5000", ""); 2]);
}

#[test]
fn snapshot_prints_that_it_is_folded() {
    let (output, asked) = run(&["snapshot"], vec![ok(&json!({"result": "done"}))]);
    prints(&output, &json!({"snapshot": "folded"}));
    assert_eq!(asked, [request("POST", "/v1/snapshot?within_ms=5000", "{}")]);
}

/// A store as an agent leaves it, with an entry of each kind.
fn store(path: &Path) {
    let identity = Identity { cluster: "fronts".into(), name: "n1".into(), id: 0xab };
    let mut store = Store::open(path, &identity).expect("a store");
    let member = Member { id: InstanceId(0xab), name: "n1".into(), address: "10.0.0.1:7001".into() };
    store.commit(&raft_node::initial_state(&[member])).expect("written");
    let proposal = |sequence, command| {
        let proposal = Proposal { session: SessionId(3), sequence: Sequence(sequence), command };
        postcard::to_stdvec(&proposal).expect("it is encoded")
    };
    let role = || Role("votes".into());
    let decide = LedgerCommand::Decide { subject: Subject::new("condemned", 42), value: vec![97] };
    let renew = LedgerCommand::RenewLease { role: role(), epoch: Epoch(4) };
    let records = [
        (0, Vec::new()),
        (0, proposal(0, LedgerCommand::OpenSession { nonce: 7 })),
        (0, proposal(1, decide)),
        (0, proposal(2, renew)),
        (1, vec![1, 2]),
        (2, vec![1, 2]),
        (0, vec![0xff]),
    ];
    let record = |(index, (kind, data))| Record { index, term: 2, kind, data, context: Vec::new() };
    let entries = (2..).zip(records).map(record).collect();
    let hard = HardState { term: 2, vote: 0xab, commit: 8 };
    let keys = vec![("k".to_owned(), Some(vec![1]))];
    store.commit(&Batch { hard_state: Some(hard), entries, keys, ..Batch::default() }).expect("written");
}

/// Puts a mark in place of a value that differs from machine to machine, having looked at what kind it is.
fn mask(value: &mut Value, pointer: &str) {
    let volatile = value.pointer_mut(pointer).unwrap_or_else(|| panic!("no {pointer}"));
    assert!(volatile.is_u64(), "{pointer}: {volatile}");
    *volatile = json!("masked");
}

fn inspected(words: &[&str]) -> Value {
    let output = program(words);
    assert_eq!(output.code, Some(0), "{}", output.err);
    let mut value: Value = serde_json::from_str(&output.out).expect("JSON");
    let again = serde_json::to_string_pretty(&value).expect("JSON");
    assert_eq!(output.out, format!("{again}\n"), "keys in order");
    mask(&mut value, "/usage/bytes");
    value
}

#[test]
fn inspect_prints_each_key_of_a_store() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("n1.redb");
    store(&path);
    let path = path.to_str().expect("a path");
    let golden = |sound: Value, entries: Value| {
        json!({
            "name": "n1", "id": "00000000000000ab", "cluster": "fronts", "starts": 1,
            "usage": {"bytes": "masked", "entries": 7, "first": 2, "last": 8, "keys": 1},
            "hard": {"term": 2, "vote": 171, "commit": 8},
            "sound": sound, "snapshot": {"index": 1, "term": 1, "bytes": 28},
            "corrupt": [], "entries": entries,
        })
    };
    let plain = inspected(&["--json", "ledger", "inspect", path]);
    assert_eq!(plain, golden(Value::Null, json!([])));
    let scrubbed = inspected(&["ledger", "inspect", path, "--scrub", "--json"]);
    let sound = scrubbed["sound"].clone();
    assert!(sound.as_u64().is_some_and(|sound| sound > 0), "{sound}");
    assert_eq!(scrubbed, golden(sound, json!([])));
    let whole = inspected(&["ledger", "--json", "inspect", path, "--entries"]);
    let entries = whole["entries"].clone();
    assert_eq!(whole, golden(Value::Null, entries.clone()));
    // Rows of index, term and a text. Of the text the numbers of the session and what is no command stay exact; how
    // a command is shown is held by the test below.
    let rows: Vec<[String; 3]> = serde_json::from_value(entries).expect("rows of three texts");
    let starts = [
        ["2", "2", "(a leader's first)"],
        ["3", "2", "session 3 no. 0: "],
        ["4", "2", "session 3 no. 1: "],
        ["5", "2", "session 3 no. 2: "],
        ["6", "2", "(a change of members)"],
        ["7", "2", "(a change of members)"],
        ["8", "2", "can't be read: "],
    ];
    assert_eq!(rows.len(), starts.len());
    for (row, [index, term, text]) in rows.iter().zip(starts) {
        assert_eq!([row[0].as_str(), &row[1]], [index, term]);
        assert!(row[2].starts_with(text), "{row:?}: {text}");
    }
}

/// The text of an entry is for people and shows the command's fields; it is in the JSON as well.
#[test]
fn inspect_shows_the_fields_of_a_command() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("n1.redb");
    store(&path);
    let whole =
        inspected(&["--json", "ledger", "inspect", path.to_str().expect("a path"), "--entries", "--scrub"]);
    let text = |at: usize| whole["entries"][at][2].as_str().expect("a text").to_owned();
    assert_eq!(text(1), "session 3 no. 0: Open { nonce: 7 }");
    assert_eq!(
        text(2),
        "session 3 no. 1: Decide { subject: Subject { space: \"condemned\", number: 42 }, value: [97] }"
    );
    assert_eq!(text(3), "session 3 no. 2: Renew { role: Role(\"votes\"), epoch: Epoch(4) }");
}

#[test]
fn inspect_of_no_store_fails_with_its_own_code() {
    let output = program(&["--json", "ledger", "inspect", "/nowhere/n1.redb"]);
    assert_eq!((output.code, output.out.as_str()), (Some(5), ""), "{}", output.err);
}

#[test]
fn agents_are_named_by_option_or_environment_and_asked_in_turn() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let answers = vec![ok(&status()); 4];
    let serving = std::thread::spawn(move || serve(&listener, answers));
    let dead = TcpListener::bind("127.0.0.1:0").expect("a port");
    let nobody = dead.local_addr().expect("an address").to_string();
    drop(dead);
    let both = format!("{nobody},{address}");
    prints(&program(&["--json", "ledger", "--agent", &both, "status"]), &status());
    prints(&program(&["ledger", "status", "--agent", &nobody, "--agent", &address, "--json"]), &status());
    prints(&program(&["--json", "ledger", "status", "--within", "1", "--agent", &address]), &status());
    let mut command = Command::new(env!("CARGO_BIN_EXE_garnetcrank"));
    let by_name = command.env("GARNETCRANK_AGENT", &both).args(["--json", "ledger", "status"]).output();
    let by_name = by_name.expect("it runs");
    assert_eq!(serde_json::from_slice::<Value>(&by_name.stdout).expect("JSON"), status());
    let asked: Vec<String> =
        serving.join().expect("the agent's thread").into_iter().map(|r| r.target).collect();
    let (five, one) = ("/v1/status?within_ms=5000", "/v1/status?within_ms=1000");
    assert_eq!(asked, [five, five, one, five]);
    assert_eq!(program(&["--json", "ledger", "--agent", &nobody, "status"]).code, Some(3));
}

#[test]
fn a_wrong_command_line_has_its_own_code() {
    for words in [
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
        assert_eq!(program(words).code, Some(2), "{words:?}");
    }
    assert_eq!(program(&["--help"]).code, Some(0));
    assert_eq!(program(&["--version"]).code, Some(0));
    for job in [
        "status", "list", "show", "propose", "retire", "grants", "members", "transfer", "snapshot", "inspect",
    ] {
        assert_eq!(program(&["ledger", job, "--help"]).code, Some(0), "{job}");
    }
    for job in ["list", "add", "remove"] {
        assert_eq!(program(&["ledger", "members", job, "--help"]).code, Some(0), "{job}");
    }
}

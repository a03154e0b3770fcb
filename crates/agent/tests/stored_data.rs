//! The agent's program goes on from a store that an earlier version wrote, and shows it in the same JSON as ever.
//!
//! The fixture `fixtures/store-8a93f45/alma.redb` was written once by the code of commit 8a93f45 and is never to be
//! written anew; the tests of the same name in the store's and the agreement's packages read it more closely. Its
//! only other voter does not run here, so nothing new is decided: all reads are of what is held.

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use garnetcrank_test_support::agent_cluster::{client, get, wait_until};
use serde_json::{Value, json};

struct Agent {
    child: Child,
    local: SocketAddr,
    _folder: tempfile::TempDir,
}

impl Drop for Agent {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Agent {
    fn start() -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let fixture = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/store-8a93f45/alma.redb");
        let store = folder.path().join("alma.redb");
        std::fs::copy(fixture, &store).expect("the fixture is copied");
        // A loopback address of this process's own; the other voter's is one where nobody listens.
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let at = |port: u16| SocketAddr::from(([127, 1 + high % 250, low, 254], port));
        let config = folder.path().join("alma.json");
        let text = json!({
            "name": "alma", "cluster": "eger", "store": store, "peers": at(7001).to_string(),
            "announce": "127.0.0.1:7101", "local": at(7101).to_string(), "via": {"birs": at(9).to_string()},
        });
        std::fs::write(&config, text.to_string()).expect("the configuration is written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_garnetcrank-agent"));
        let child = command.arg("run").arg("--config").arg(&config).stderr(Stdio::null()).spawn();
        Self { child: child.expect("the agent starts"), local: at(7101), _folder: folder }
    }

    fn get(&self, path: &str) -> Value {
        let answer = get(&client(Duration::from_secs(5)), self.local, path);
        answer.map(|(_, value)| value).unwrap_or_default()
    }
}

#[test]
fn the_agent_goes_on_from_a_store_of_an_earlier_version() {
    let agent = Agent::start();
    wait_until("all that was decided is applied", || agent.get("/v1/status")["node"]["applied"] == 329);

    let mut status = agent.get("/v1/status");
    let running = status.as_object_mut().expect("an object");
    // These depend on the moment and on the program, not on what is stored.
    for key in ["up_ms", "version", "store_bytes"] {
        assert!(running.remove(key).is_some(), "{key}");
    }
    let node = running["node"].as_object_mut().expect("an object");
    for key in ["standing", "waiting"] {
        assert!(node.remove(key).is_some(), "{key}");
    }
    let alma =
        json!({"id": "0a11ce0000000001", "name": "alma", "address": "127.0.0.1:7101", "part": "voter"});
    let birs =
        json!({"id": "0b0b000000000002", "name": "birs", "address": "127.0.0.1:7102", "part": "voter"});
    let expected = json!({
        "cluster": "eger", "me": alma, "starts": 4, "leader": null, "members": [alma, birs],
        "subjects": 137, "sessions": 14,
        "node": {
            "id": 0x0a11_ce00_0000_0001_u64, "leader": null, "term": 4, "committed": 329, "applied": 329,
            "last": 331, "held": 49, "scarce": false
        },
    });
    assert_eq!(status, expected);

    let grant = |role: &str, holder: Option<&str>, epoch: u64, renewed: u64| json!({"role": role, "holder": holder, "epoch": epoch, "renewed": renewed});
    let grants = json!([
        grant("later", Some("alma"), 2, 319),
        grant("left", None, 2, 129),
        grant("of-citrom", None, 2, 130),
        grant("orders", Some("alma"), 2, 125),
        grant("votes", Some("alma"), 2, 314),
    ]);
    assert_eq!(agent.get("/v1/grants?stale=1"), grants);

    let mut subjects: Vec<Value> = Vec::new();
    let mut path = "/v1/ledger?stale=1".to_owned();
    loop {
        let page = agent.get(&path);
        assert_eq!(page["applied"], 329);
        subjects.extend(page["subjects"].as_array().expect("subjects").iter().cloned());
        let next = &page["next"];
        if next.is_null() {
            break;
        }
        let space = next["space"].as_str().expect("a space");
        path = format!("/v1/ledger?stale=1&after={space}/{}", next["number"]);
    }
    let mut expected: Vec<Value> = (1001..=1130)
        .map(|number: u64| {
            let by: u64 =
                if number.is_multiple_of(2) { 0x0a11_ce00_0000_0001 } else { 0x0b0b_0000_0000_0002 };
            let mut value = by.to_le_bytes()[..(number % 9) as usize].to_vec();
            value.push((number % 251) as u8);
            json!({"subject": {"space": "condemned", "number": number}, "standing": {"Decided": value}})
        })
        .collect();
    expected.push(
        json!({"subject": {"space": "held", "number": u64::MAX}, "standing": {"Decided": [0xde, 0xad]}}),
    );
    for (number, standing) in [
        (6, json!({"Ran": 1})),
        (7, json!({"Handed": 1})),
        (9, json!({"Handed": 2})),
        (10, json!({"Handed": 2})),
        (11, json!({"Ran": 2})),
        (12, json!({"Handed": 2})),
    ] {
        expected.push(json!({"subject": {"space": "order", "number": number}, "standing": standing}));
    }
    assert_eq!(subjects, expected);
}

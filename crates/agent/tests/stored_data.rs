//! The agent starts from a store that an earlier version wrote, and serves its content in the same JSON.
//!
//! The fixture `fixtures/store-8a93f45/alma.redb` was written once by the code of commit 8a93f45 and must
//! never be rewritten. Tests of the same name in the packages of the store and of the consensus check its
//! content in more detail. The only other voter does not run in this test, so no new entry is committed and
//! all reads are stale.

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use garnetcrank_test_support::agent_cluster::{get, http_client, wait_until};
use serde_json::{Value, json};

/// Agent that runs on a copy of the fixture.
struct Agent {
    child: Child,
    http_address: SocketAddr,
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
        let folder = tempfile::tempdir().expect("a temporary folder can be created");
        let fixture = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/store-8a93f45/alma.redb");
        let store = folder.path().join("alma.redb");
        std::fs::copy(fixture, &store).expect("the fixture can be copied");
        // A loopback address unique to this process. Nothing listens at the address of the other voter.
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let address = |port: u16| SocketAddr::from(([127, 1 + high % 250, low, 254], port));
        let config = folder.path().join("alma.json");
        let text = json!({
            "name": "alma", "cluster": "eger", "store": store, "peers": address(7001).to_string(),
            "announce": "127.0.0.1:7101", "local": address(7101).to_string(), "via": {"birs": address(9).to_string()},
        });
        std::fs::write(&config, text.to_string()).expect("the configuration can be written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_garnetcrank-agent"));
        let child = command.arg("run").arg("--config").arg(&config).stderr(Stdio::null()).spawn();
        Self { child: child.expect("the agent can be started"), http_address: address(7101), _folder: folder }
    }

    /// Gets JSON; null if the agent does not respond.
    fn get(&self, path: &str) -> Value {
        let response = get(&http_client(Duration::from_secs(5)), self.http_address, path);
        response.map(|(_, value)| value).unwrap_or_default()
    }
}

#[test]
fn a_store_of_an_earlier_version_is_served_in_the_same_json() {
    let agent = Agent::start();
    wait_until("all committed entries are applied", || agent.get("/v1/status")["node"]["applied"] == 329);

    let mut status = agent.get("/v1/status");
    let status_object = status.as_object_mut().expect("the status is an object");
    // These keys depend on the time and on the program, not on the store.
    for key in ["up_ms", "version", "store_bytes"] {
        assert!(status_object.remove(key).is_some(), "{key}");
    }
    let node = status_object["node"].as_object_mut().expect("the node is an object");
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

    let lease = |role: &str, holder: Option<&str>, epoch: u64, renewed: u64| json!({"role": role, "holder": holder, "epoch": epoch, "renewed": renewed});
    let leases = json!([
        lease("later", Some("alma"), 2, 319),
        lease("left", None, 2, 129),
        lease("of-citrom", None, 2, 130),
        lease("orders", Some("alma"), 2, 125),
        lease("votes", Some("alma"), 2, 314),
    ]);
    assert_eq!(agent.get("/v1/grants?stale=1"), leases);

    let mut subjects: Vec<Value> = Vec::new();
    let mut path = "/v1/ledger?stale=1".to_owned();
    loop {
        let page = agent.get(&path);
        assert_eq!(page["applied"], 329);
        subjects.extend(page["subjects"].as_array().expect("the page has subjects").iter().cloned());
        let next = &page["next"];
        if next.is_null() {
            break;
        }
        let space = next["space"].as_str().expect("the next subject has a space");
        path = format!("/v1/ledger?stale=1&after={space}/{}", next["number"]);
    }
    let mut expected: Vec<Value> = (1001..=1130)
        .map(|number: u64| {
            let decided_by: u64 =
                if number.is_multiple_of(2) { 0x0a11_ce00_0000_0001 } else { 0x0b0b_0000_0000_0002 };
            let mut value = decided_by.to_le_bytes()[..(number % 9) as usize].to_vec();
            value.push((number % 251) as u8);
            json!({"subject": {"space": "condemned", "number": number}, "standing": {"Decided": value}})
        })
        .collect();
    expected.push(
        json!({"subject": {"space": "held", "number": u64::MAX}, "standing": {"Decided": [0xde, 0xad]}}),
    );
    for (number, state) in [
        (6, json!({"Ran": 1})),
        (7, json!({"Handed": 1})),
        (9, json!({"Handed": 2})),
        (10, json!({"Handed": 2})),
        (11, json!({"Ran": 2})),
        (12, json!({"Handed": 2})),
    ] {
        expected.push(json!({"subject": {"space": "order", "number": number}, "standing": state}));
    }
    assert_eq!(subjects, expected);
}

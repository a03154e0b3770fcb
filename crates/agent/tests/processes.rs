//! Tests of agents as real processes that are frozen, killed, partitioned or lose their stores under load.

#[path = "../examples/freeze/load.rs"]
mod load;

use std::path::Path;
use std::time::Duration;

use garnetcrank_test_support::agent_cluster::{
    AgentCluster, ClusterOptions, get, http_client, post, wait_until,
};
use load::Load;
use serde_json::json;

/// Starts a cluster in a temporary folder, which is deleted when the first returned value is dropped.
fn start_cluster(options: &ClusterOptions) -> (tempfile::TempDir, AgentCluster) {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let cluster =
        AgentCluster::start(Path::new(env!("CARGO_BIN_EXE_garnetcrank-agent")), folder.path(), options);
    (folder, cluster)
}

/// Proposes a value for a subject. Returns the agent's response, or null if there is none.
fn decide(cluster: &AgentCluster, agent: usize, number: u64, value: u8) -> serde_json::Value {
    let command = json!({"command": {"Decide": {"subject": {"space": "s", "number": number}, "value": [value]}}, "within_ms": 3000});
    post(&http_client(Duration::from_secs(5)), cluster.http_address(agent), "/v1/propose", &command)
        .map(|(_, response)| response)
        .unwrap_or_default()
}

#[test]
fn leaders_that_freeze_and_resume_decide_no_subject_twice() {
    let (_folder, cluster) = start_cluster(&ClusterOptions::default());
    let load = Load::start(&cluster, 4);
    // Elections take longer on a busy host, so rounds are added until there are enough decisions to check.
    for round in (0..120).take_while(|round| *round < 20 || load.decisions() <= 50) {
        let leader = cluster.leader().unwrap_or(round % 3);
        cluster.suspend(leader);
        // From shorter than an election timeout to longer than the duration of a lease.
        std::thread::sleep(Duration::from_millis([40, 250, 700][round % 3]));
        cluster.resume(leader);
        std::thread::sleep(Duration::from_millis(60));
    }
    let report = load.end(&cluster);
    assert!(report.violations.is_empty(), "{:?}", report.violations);
    assert!(report.decisions > 50, "{} decisions", report.decisions);
    assert!(report.epochs > 1, "the lease must change its holder: {} epochs", report.epochs);
}

#[test]
fn partitions_and_kills_lose_no_acknowledged_decision() {
    let (_folder, mut cluster) =
        start_cluster(&ClusterOptions { agents: 5, compact_every: 100, ..ClusterOptions::default() });
    let load = Load::start(&cluster, 4);
    // Elections take longer on a busy host, so rounds are added until there are enough decisions to check.
    for round in (0..80).take_while(|round| *round < 8 || load.decisions() <= 50) {
        let (one, other) = (round % 5, (round + 2) % 5);
        match round % 4 {
            0 => cluster.set_isolated(cluster.leader().unwrap_or(0), true),
            1 => (0..5).filter(|agent| *agent != one).for_each(|agent| cluster.set_cut(one, agent, true)),
            2 => {
                cluster.kill(one);
                cluster.kill(other);
            }
            _ => {
                cluster.set_isolated(one, true);
                cluster.set_isolated(other, true);
            }
        }
        std::thread::sleep(Duration::from_millis(500));
        (0..5).for_each(|agent| cluster.set_isolated(agent, false));
        if round % 4 == 2 {
            cluster.start_agent(one);
            cluster.start_agent(other);
        }
        std::thread::sleep(Duration::from_millis(300));
    }
    let report = load.end(&cluster);
    assert!(report.violations.is_empty(), "{:?}", report.violations);
    assert!(report.decisions > 50, "{} decisions", report.decisions);
}

#[test]
fn an_instance_with_a_lost_store_is_added_only_after_its_old_member_is_removed() {
    let (_folder, mut cluster) = start_cluster(&ClusterOptions::default());
    assert_eq!(decide(&cluster, 0, 1, 7)["reply"]["Decided"]["first"], true);
    cluster.kill(2);
    cluster.delete_store(2);
    cluster.start_agent(2);
    wait_until("the hello to the wrong instance is rejected", || {
        cluster.log(0).contains("the peer rejected the hello: this is n2")
    });
    let status = get(&http_client(Duration::from_secs(2)), cluster.http_address(2), "/v1/status")
        .expect("the agent responds")
        .1;
    assert_eq!(status["me"]["part"], "none", "an instance without its store must not vote");
    let me = &status["me"];
    let add = json!({"add": {"id": me["id"], "name": me["name"], "address": me["address"]}});
    assert!(!cluster.post_to_leader("/v1/members", &add), "the old member must be removed first");
    wait_until("the old member is removed", || {
        cluster.post_to_leader("/v1/members", &json!({"remove": "n2"}))
    });
    cluster.add_member(2);
    wait_until("the new member votes", || cluster.role(2) == "voter");
    assert_eq!(decide(&cluster, 2, 1, 9)["reply"]["Decided"], json!({"value": [7], "first": false}));
}

#[test]
fn a_snapshot_beyond_one_frame_reaches_a_new_member_in_chunks() {
    let (_folder, mut cluster) =
        start_cluster(&ClusterOptions { compact_every: 100, ..ClusterOptions::default() });
    cluster.kill(2);
    let http = http_client(Duration::from_secs(5));
    let (from, count) = (cluster.http_address(0), 700);
    std::thread::scope(|threads| {
        for remainder in 0..7 {
            let http = http.clone();
            threads.spawn(move || {
                for number in (0..count).filter(|number| number % 7 == remainder) {
                    let subject = json!({"space": "large", "number": number});
                    let decide = json!({"Decide": {"subject": subject, "value": vec![7; 4096]}});
                    let body = json!({"command": decide, "within_ms": 4000});
                    let (_, response) = post(&http, from, "/v1/propose", &body).expect("the agent responds");
                    assert_eq!(response["result"], "applied", "{response}");
                }
            });
        }
    });
    cluster.delete_store(2);
    wait_until("the old member is removed", || {
        cluster.post_to_leader("/v1/members", &json!({"remove": "n2"}))
    });
    cluster.start_agent(2);
    cluster.add_member(2);
    wait_until("the new member votes", || cluster.role(2) == "voter");
    wait_until("the new member holds all subjects", || cluster.status(2)["subjects"] == count);
}

#[test]
fn requests_without_a_quorum_are_answered_in_time_and_service_resumes() {
    let (_folder, mut cluster) = start_cluster(&ClusterOptions::default());
    cluster.kill(1);
    cluster.kill(2);
    wait_until("the remaining agent steps down", || cluster.status(0)["node"]["standing"] != "leader");
    let started = std::time::Instant::now();
    let response = decide(&cluster, 0, 1, 1);
    assert!(
        ["not_proposed", "may_yet"].contains(&response["result"].as_str().unwrap_or_default()),
        "{response}"
    );
    assert!(started.elapsed() < Duration::from_secs(5));
    let (code, _) =
        get(&http_client(Duration::from_secs(5)), cluster.http_address(0), "/v1/ledger?within_ms=300")
            .expect("the agent responds");
    assert_eq!(code, 503, "a linearizable read must not return a state that may be stale");
    let (code, _) = get(&http_client(Duration::from_secs(5)), cluster.http_address(0), "/v1/ledger?stale=1")
        .expect("the agent responds");
    assert_eq!(code, 200);
    cluster.start_agent(1);
    wait_until("the cluster decides again", || decide(&cluster, 0, 1, 1)["result"] == "applied");
    assert!(cluster.stop(0) && cluster.stop(1), "agents must exit with success on SIGTERM");
}

/// Opens a watch at each of the given agents until one receives a matching event, and returns that agent.
/// `before_check` runs before each check of the watches.
fn wait_for_event(
    cluster: &AgentCluster,
    agents: &[usize],
    what: &str,
    before_check: impl Fn() -> bool,
    is_match: impl Fn(&serde_json::Value) -> bool,
) -> usize {
    let mut watches = Vec::new();
    for agent in agents {
        watches.push((*agent, cluster.watch(*agent, &format!("front-{agent}"))));
    }
    let mut found = None;
    wait_until(what, || {
        before_check();
        let watch = watches.iter().find(|(_, events)| events.try_iter().any(|event| is_match(&event)));
        found = watch.map(|(agent, _)| *agent);
        found.is_some()
    });
    found.unwrap_or_default()
}

#[test]
fn one_proxy_casts_a_rollback_verdict_and_another_one_after_its_agent_freezes() {
    let (_folder, cluster) = start_cluster(&ClusterOptions::default());
    let http = http_client(Duration::from_secs(3));
    let report = |agent: usize| {
        let verdict =
            json!({"front": format!("front-{agent}"), "opinion": {"build": 42, "stage": 1, "word": "back"}});
        post(&http, cluster.http_address(agent), "/v1/verdicts", &verdict)
            .is_ok_and(|(_, response)| response["heard"] == true)
    };
    wait_until("the verdict is accepted", || report(1));
    let is_rollback =
        |event: &serde_json::Value| event["cast"]["opinion"]["word"] == "back" && event["condemned"][0] == 42;
    // The verdict is reported repeatedly: a single report may expire before the next lease is acquired.
    let report_again = |agent: usize| move || report(agent);
    let caster =
        wait_for_event(&cluster, &[0, 1, 2], "one proxy is assigned the vote", report_again(1), is_rollback);
    cluster.suspend(caster);
    let others: Vec<usize> = (0..3).filter(|agent| *agent != caster).collect();
    wait_until("the others have a leader", || report(others[0]));
    let next = wait_for_event(
        &cluster,
        &others,
        "another proxy is assigned the vote",
        report_again(others[0]),
        is_rollback,
    );
    assert_ne!(next, caster);
    cluster.resume(caster);
    let is_unassigned = |event: &serde_json::Value| event["cast"].is_null() && event["condemned"][0] == 42;
    wait_for_event(
        &cluster,
        &[caster],
        "the proxy at the frozen agent is no longer assigned the vote",
        || false,
        is_unassigned,
    );
}

#[test]
fn an_invalid_request_gets_an_error_that_names_the_fault() {
    let (_folder, cluster) = start_cluster(&ClusterOptions { agents: 1, ..ClusterOptions::default() });
    let http = http_client(Duration::from_secs(3));
    for (path, body, expected) in [
        ("/v1/propose", json!({"command": {"Decide": {"subject": {"space": "s"}, "value": []}}}), "number"),
        ("/v1/propose", json!({}), "either"),
        ("/v1/propose", json!({"commands": 1}), "commands"),
        ("/v1/members", json!({"remove": "nobody"}), "nobody"),
        ("/v1/members", json!({"add": {"id": "zz", "name": "x", "address": "127.0.0.1:1"}}), "zz"),
        ("/v1/transfer", json!({"to": "n9"}), "n9"),
        (
            "/v1/verdicts",
            json!({"front": "f", "opinion": {"build": 1, "stage": 0, "word": "maybe"}}),
            "maybe",
        ),
        ("/v1/nothing", json!({}), "no such path"),
    ] {
        let (_, response) = post(&http, cluster.http_address(0), path, &body).expect("the agent responds");
        assert!(response.to_string().contains(expected), "{path} {body}: {response}");
    }
    let (code, response) =
        get(&http, cluster.http_address(0), "/v1/ledger/condemned/x").expect("the agent responds");
    assert!(code == 400 && response.to_string().contains("condemned/42"), "{response}");
}

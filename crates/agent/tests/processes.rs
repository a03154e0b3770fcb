//! Real agents as processes: frozen, killed, cut off, their stores lost, while clients decide through all of them.

#[path = "../examples/freeze/load.rs"]
mod load;

use std::path::Path;
use std::time::Duration;

use garnetcrank_test_support::agent_cluster::{AgentCluster, ClusterOptions, client, get, post, wait_until};
use load::Load;
use serde_json::json;

fn start(options: &ClusterOptions) -> (tempfile::TempDir, AgentCluster) {
    let folder = tempfile::tempdir().expect("a folder");
    let cluster =
        AgentCluster::start(Path::new(env!("CARGO_BIN_EXE_garnetcrank-agent")), folder.path(), options);
    (folder, cluster)
}

fn decide(cluster: &AgentCluster, at: usize, number: u64, value: u8) -> serde_json::Value {
    let command = json!({"command": {"Decide": {"subject": {"space": "s", "number": number}, "value": [value]}}, "within_ms": 3000});
    post(&client(Duration::from_secs(5)), cluster.local(at), "/v1/propose", &command)
        .map(|(_, v)| v)
        .unwrap_or_default()
}

#[test]
fn leaders_that_freeze_and_resume_make_no_double_decision() {
    let (_folder, cluster) = start(&ClusterOptions::default());
    let load = Load::start(&cluster, 4);
    // On a busy machine elections take longer: more rounds, until enough has been decided to tell anything.
    for round in (0..120).take_while(|round| *round < 20 || load.decisions() <= 50) {
        let leader = cluster.leader().unwrap_or(round % 3);
        cluster.freeze(leader);
        // Some shorter than an election timeout, some far longer than a lease's duration.
        std::thread::sleep(Duration::from_millis([40, 250, 700][round % 3]));
        cluster.wake(leader);
        std::thread::sleep(Duration::from_millis(60));
    }
    let report = load.end(&cluster);
    assert!(report.faults.is_empty(), "{:?}", report.faults);
    assert!(report.decisions > 50, "{} decisions", report.decisions);
    assert!(report.epochs > 1, "the lease changed its holder: {} epochs", report.epochs);
}

#[test]
fn splits_and_kills_lose_nothing_that_was_acknowledged() {
    let (_folder, mut cluster) =
        start(&ClusterOptions { agents: 5, compact_every: 100, ..ClusterOptions::default() });
    let load = Load::start(&cluster, 4);
    // On a busy machine elections take longer: more rounds, until enough has been decided to tell anything.
    for round in (0..80).take_while(|round| *round < 8 || load.decisions() <= 50) {
        let (one, other) = (round % 5, (round + 2) % 5);
        match round % 4 {
            0 => cluster.isolate(cluster.leader().unwrap_or(0), true),
            1 => (0..5).filter(|at| *at != one).for_each(|at| cluster.cut(one, at, true)),
            2 => {
                cluster.kill(one);
                cluster.kill(other);
            }
            _ => {
                cluster.isolate(one, true);
                cluster.isolate(other, true);
            }
        }
        std::thread::sleep(Duration::from_millis(500));
        (0..5).for_each(|at| cluster.isolate(at, false));
        if round % 4 == 2 {
            cluster.start_agent(one);
            cluster.start_agent(other);
        }
        std::thread::sleep(Duration::from_millis(300));
    }
    let report = load.end(&cluster);
    assert!(report.faults.is_empty(), "{:?}", report.faults);
    assert!(report.decisions > 50, "{} decisions", report.decisions);
}

#[test]
fn a_lost_store_is_replaced_only_after_the_old_member_is_removed() {
    let (_folder, mut cluster) = start(&ClusterOptions::default());
    assert_eq!(decide(&cluster, 0, 1, 7)["reply"]["Decided"]["first"], true);
    cluster.kill(2);
    cluster.delete_store(2);
    cluster.start_agent(2);
    wait_until("the hello to the wrong instance is rejected", || {
        cluster.log(0).contains("refused: this is n2")
    });
    let status = get(&client(Duration::from_secs(2)), cluster.local(2), "/v1/status").expect("it answers").1;
    assert_eq!(status["me"]["part"], "none", "it must not vote");
    let me = &status["me"];
    let add = json!({"add": {"id": me["id"], "name": me["name"], "address": me["address"]}});
    assert!(!cluster.post_to_leader("/v1/members", &add), "the old instance is a member still");
    wait_until("the old member is removed", || {
        cluster.post_to_leader("/v1/members", &json!({"remove": "n2"}))
    });
    cluster.add(2);
    wait_until("it votes", || cluster.role(2) == "voter");
    assert_eq!(decide(&cluster, 2, 1, 9)["reply"]["Decided"], json!({"value": [7], "first": false}));
}

#[test]
fn a_snapshot_beyond_one_frame_reaches_a_new_member_in_chunks() {
    let (_folder, mut cluster) = start(&ClusterOptions { compact_every: 100, ..ClusterOptions::default() });
    cluster.kill(2);
    let http = client(Duration::from_secs(5));
    let (from, count) = (cluster.local(0), 700);
    std::thread::scope(|threads| {
        for part in 0..7 {
            let http = http.clone();
            threads.spawn(move || {
                for number in (0..count).filter(|n| n % 7 == part) {
                    let subject = json!({"space": "large", "number": number});
                    let decide = json!({"Decide": {"subject": subject, "value": vec![7; 4096]}});
                    let body = json!({"command": decide, "within_ms": 4000});
                    let (_, answer) = post(&http, from, "/v1/propose", &body).expect("an answer");
                    assert_eq!(answer["result"], "applied", "{answer}");
                }
            });
        }
    });
    cluster.delete_store(2);
    wait_until("the old member is removed", || {
        cluster.post_to_leader("/v1/members", &json!({"remove": "n2"}))
    });
    cluster.start_agent(2);
    cluster.add(2);
    wait_until("it votes", || cluster.role(2) == "voter");
    wait_until("it holds all", || cluster.status(2)["subjects"] == count);
}

#[test]
fn without_a_quorum_callers_are_answered_in_time_and_service_resumes_after() {
    let (_folder, mut cluster) = start(&ClusterOptions::default());
    cluster.kill(1);
    cluster.kill(2);
    wait_until("the last one no longer leads", || cluster.status(0)["node"]["standing"] != "leader");
    let began = std::time::Instant::now();
    let answer = decide(&cluster, 0, 1, 1);
    assert!(["not_proposed", "may_yet"].contains(&answer["result"].as_str().unwrap_or_default()), "{answer}");
    assert!(began.elapsed() < Duration::from_secs(5));
    let (code, _) = get(&client(Duration::from_secs(5)), cluster.local(0), "/v1/ledger?within_ms=300")
        .expect("an answer");
    assert_eq!(code, 503, "a read that may be stale is not passed for a fresh one");
    let (code, _) =
        get(&client(Duration::from_secs(5)), cluster.local(0), "/v1/ledger?stale=1").expect("an answer");
    assert_eq!(code, 200);
    cluster.start_agent(1);
    wait_until("it decides again", || decide(&cluster, 0, 1, 1)["result"] == "applied");
    assert!(cluster.stop(0) && cluster.stop(1), "they exit with success on SIGTERM");
}

/// Watches as a proxy at each of some agents, until one gets an event that is wanted; the agent of that one.
/// `meanwhile` runs before each look.
fn wait_for_event(
    cluster: &AgentCluster,
    agents: &[usize],
    what: &str,
    meanwhile: impl Fn() -> bool,
    is_wanted: impl Fn(&serde_json::Value) -> bool,
) -> usize {
    let mut watches = Vec::new();
    for at in agents {
        watches.push((*at, cluster.watch(*at, &format!("front-{at}"))));
    }
    let mut found = None;
    wait_until(what, || {
        meanwhile();
        let watch = watches.iter().find(|(_, events)| events.try_iter().any(|event| is_wanted(&event)));
        found = watch.map(|(at, _)| *at);
        found.is_some()
    });
    found.unwrap_or_default()
}

#[test]
fn a_rollback_verdict_is_cast_by_one_proxy_for_all_and_by_another_when_its_agent_freezes() {
    let (_folder, cluster) = start(&ClusterOptions::default());
    let http = client(Duration::from_secs(3));
    let report = |at: usize| {
        let verdict =
            json!({"front": format!("front-{at}"), "opinion": {"build": 42, "stage": 1, "word": "back"}});
        post(&http, cluster.local(at), "/v1/verdicts", &verdict)
            .is_ok_and(|(_, answer)| answer["heard"] == true)
    };
    wait_until("the verdict is accepted", || report(1));
    let is_rollback =
        |event: &serde_json::Value| event["cast"]["opinion"]["word"] == "back" && event["condemned"][0] == 42;
    // A proxy reports its verdict again and again: reported once, it may expire before the next lease is acquired.
    let report_again = |at: usize| move || report(at);
    let caster =
        wait_for_event(&cluster, &[0, 1, 2], "one proxy is assigned the vote", report_again(1), is_rollback);
    cluster.freeze(caster);
    let others: Vec<usize> = (0..3).filter(|at| *at != caster).collect();
    wait_until("the others have a leader", || report(others[0]));
    let next = wait_for_event(
        &cluster,
        &others,
        "another proxy is assigned the vote",
        report_again(others[0]),
        is_rollback,
    );
    assert_ne!(next, caster);
    cluster.wake(caster);
    let is_unassigned = |event: &serde_json::Value| event["cast"].is_null() && event["condemned"][0] == 42;
    wait_for_event(
        &cluster,
        &[caster],
        "the proxy at the frozen agent is assigned it no more",
        || false,
        is_unassigned,
    );
}

#[test]
fn bad_requests_get_a_clear_error() {
    let (_folder, cluster) = start(&ClusterOptions { agents: 1, ..ClusterOptions::default() });
    let http = client(Duration::from_secs(3));
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
        let (_, answer) = post(&http, cluster.local(0), path, &body).expect("an answer");
        assert!(answer.to_string().contains(expected), "{path} {body}: {answer}");
    }
    let (code, answer) = get(&http, cluster.local(0), "/v1/ledger/condemned/x").expect("an answer");
    assert!(code == 400 && answer.to_string().contains("condemned/42"), "{answer}");
}

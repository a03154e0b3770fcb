//! End-to-end test of `garnetcrank ledger` against real agents: its output and its exit codes.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use garnetcrank_test_support::agent_cluster::{AgentCluster, ClusterOptions, wait_until};

/// Returns the path of the agent's program, which cargo builds into the same folder as the one under test.
fn agent_program() -> PathBuf {
    let program = Path::new(env!("CARGO_BIN_EXE_garnetcrank")).with_file_name("garnetcrank-agent");
    assert!(program.is_file(), "{} does not exist: build garnetcrank-agent first", program.display());
    program
}

/// Runs `garnetcrank` with the given agents. Returns its exit code, standard output and standard error.
fn garnetcrank(agents: &str, arguments: &[&str]) -> (Option<i32>, String, String) {
    let output: Output = Command::new(env!("CARGO_BIN_EXE_garnetcrank"))
        .env("GARNETCRANK_AGENT", agents)
        .args(arguments)
        .output()
        .expect("garnetcrank can be started");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code(), text(&output.stdout), text(&output.stderr))
}

#[test]
fn ledger_commands_work_against_a_cluster_of_real_agents() {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let mut cluster = AgentCluster::start(&agent_program(), folder.path(), &ClusterOptions::default());
    let addresses: Vec<String> = (0..3).map(|index| cluster.http_address(index).to_string()).collect();
    let addresses = addresses.join(",");
    let run = |arguments: &[&str]| garnetcrank(&addresses, arguments);

    let (code, out, _) = run(&["ledger", "propose", "condemned/42", "by hand"]);
    assert_eq!((code, out.as_str()), (Some(0), "condemned/42 is decided: by hand\n"));
    let (code, _, err) = run(&["ledger", "propose", "condemned/42", "otherwise"]);
    assert_eq!(code, Some(1));
    assert!(err.contains("already decided with another value"), "{err}");
    let (code, _, err) = run(&["ledger", "propose", "condemned", "x"]);
    assert_eq!(code, Some(2), "{err}");
    assert!(err.contains("condemned/42"), "the error shows a valid subject: {err}");

    let (code, out, _) = run(&["ledger", "list", "--space", "condemned"]);
    assert_eq!(code, Some(0));
    assert!(out.contains("condemned/42") && out.contains("by hand"), "{out}");
    let (_, out, _) = run(&["--json", "ledger", "show", "condemned/42"]);
    let shown: serde_json::Value = serde_json::from_str(&out).expect("the output is JSON");
    assert_eq!(shown["subject"]["number"], 42);
    assert_eq!(run(&["ledger", "show", "condemned/43"]).0, Some(1));

    let (code, out, _) = run(&["ledger", "retire", "condemned", "43"]);
    assert_eq!((code, out.contains("retired")), (Some(0), true), "{out}");
    let (code, _, err) = run(&["ledger", "propose", "condemned/42", "again"]);
    assert!(code == Some(1) && err.contains("from 43 on"), "{err}");

    let leader = cluster.leader().expect("the cluster has a leader");
    let next = format!("n{}", (leader + 1) % 3);
    assert_eq!(run(&["ledger", "transfer", &next]).0, Some(0));
    wait_until("leadership has been transferred", || {
        run(&["ledger", "status"]).1.contains(&format!("leader: {next}"))
    });
    let (_, out, _) = run(&["ledger", "members", "list"]);
    assert!(["n0", "n1", "n2"].iter().all(|name| out.contains(name)), "{out}");
    let (code, _, err) = run(&["ledger", "members", "remove", &next]);
    assert!(code == Some(1) && err.contains("transfer the lead first"), "{err}");

    let store = folder.path().join("n0.redb");
    let store = store.to_str().expect("the path is UTF-8");
    let (code, _, err) = run(&["ledger", "inspect", store]);
    assert_eq!(code, Some(5), "a store that an agent has open can't be inspected: {err}");
    assert!(cluster.stop(0));
    let (code, out, err) = run(&["ledger", "inspect", store, "--entries", "--scrub"]);
    assert_eq!(code, Some(0), "{err}");
    assert!(out.contains("0 corrupt") && out.contains("n0"), "{out}");

    cluster.kill(1);
    cluster.kill(2);
    let (code, _, err) = run(&["ledger", "status"]);
    assert_eq!(code, Some(3));
    assert!(err.contains("--agent"), "{err}");
}

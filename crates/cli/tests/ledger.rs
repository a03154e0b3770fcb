//! The command line against real agents: what it prints and how it exits.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use garnetcrank_test_support::agent_cluster::{AgentCluster, ClusterOptions, wait_until};

/// The agent's program, built beside the one under test.
fn agent() -> PathBuf {
    let program = Path::new(env!("CARGO_BIN_EXE_garnetcrank")).with_file_name("garnetcrank-agent");
    assert!(program.is_file(), "{}: build garnetcrank-agent first", program.display());
    program
}

fn garnetcrank(agents: &str, arguments: &[&str]) -> (Option<i32>, String, String) {
    let output: Output = Command::new(env!("CARGO_BIN_EXE_garnetcrank"))
        .env("GARNETCRANK_AGENT", agents)
        .args(arguments)
        .output()
        .expect("the program runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code(), text(&output.stdout), text(&output.stderr))
}

#[test]
fn an_operator_decides_reads_transfers_leadership_and_inspects_a_store() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut cluster = AgentCluster::start(&agent(), folder.path(), &ClusterOptions::default());
    let all: Vec<String> = (0..3).map(|at| cluster.local(at).to_string()).collect();
    let all = all.join(",");
    let run = |arguments: &[&str]| garnetcrank(&all, arguments);

    let (code, out, _) = run(&["ledger", "propose", "condemned/42", "by hand"]);
    assert_eq!((code, out.as_str()), (Some(0), "condemned/42 is decided: by hand\n"));
    let (code, _, err) = run(&["ledger", "propose", "condemned/42", "otherwise"]);
    assert_eq!(code, Some(1));
    assert!(err.contains("decided otherwise before"), "{err}");
    let (code, _, err) = run(&["ledger", "propose", "condemned", "x"]);
    assert_eq!(code, Some(2), "{err}");
    assert!(err.contains("condemned/42"), "the error gives the form: {err}");

    let (code, out, _) = run(&["ledger", "list", "--space", "condemned"]);
    assert_eq!(code, Some(0));
    assert!(out.contains("condemned/42") && out.contains("by hand"), "{out}");
    let (_, out, _) = run(&["--json", "ledger", "show", "condemned/42"]);
    let shown: serde_json::Value = serde_json::from_str(&out).expect("JSON");
    assert_eq!(shown["subject"]["number"], 42);
    assert_eq!(run(&["ledger", "show", "condemned/43"]).0, Some(1));

    let (code, out, _) = run(&["ledger", "retire", "condemned", "43"]);
    assert_eq!((code, out.contains("retired")), (Some(0), true), "{out}");
    let (code, _, err) = run(&["ledger", "propose", "condemned/42", "again"]);
    assert!(code == Some(1) && err.contains("from 43 on"), "{err}");

    let leader = cluster.leader().expect("a leader");
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
    let store = store.to_str().expect("a path");
    let (code, _, err) = run(&["ledger", "inspect", store]);
    assert_eq!(code, Some(5), "its agent has it open: {err}");
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

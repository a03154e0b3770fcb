//! Decisions a second and their latency at 3 and 5 real agents with real syncs, and the time without a leader after a
//! kill and after a freeze.
//!
//! `cargo run --release --locked -p garnetcrank-agent --example throughput -- [--seconds S] [--times N]`, after
//! `cargo build --release -p garnetcrank-agent`, prints two tables.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use garnetcrank_test_support::agent_cluster::{AgentCluster, ClusterOptions, client, post, wait_until};
use hdrhistogram::Histogram;
use serde_json::{Value, json};

fn value(name: &str, default: u64) -> u64 {
    let mut args = std::env::args().skip_while(|arg| arg != name).skip(1);
    args.next().map_or(default, |text| text.parse().unwrap_or_else(|e| panic!("{name}: {e}")))
}

fn options(agents: usize) -> ClusterOptions {
    // The program's own defaults.
    ClusterOptions {
        agents,
        tick_ms: 20,
        election_ticks: 15,
        lease_ttl_ms: 3_000,
        compact_every: 10_000,
        relays: false,
    }
}

/// One client with its own session, at one agent, until it is told to stop; microseconds of each decision.
fn decide(at: SocketAddr, number: u64, stop: &AtomicBool) -> Histogram<u64> {
    let http = client(Duration::from_secs(10));
    let mut times = Histogram::new(3).expect("a histogram");
    let (_, opened) = post(&http, at, "/v1/sessions", &json!({})).expect("a session");
    let session: Value = opened["reply"]["Opened"].clone();
    let mut sequence = 0u64;
    while !stop.load(Ordering::Relaxed) {
        sequence += 1;
        let subject = json!({"space": "measured", "number": number << 32 | sequence});
        let command = json!({"Decide": {"subject": subject, "value": [1]}});
        let body = json!({"proposal": {"session": session, "sequence": sequence, "command": command}});
        let begun = Instant::now();
        let (_, answer) = post(&http, at, "/v1/propose", &body).expect("an answer");
        assert_eq!(answer["reply"]["Decided"]["first"], true, "{answer}");
        times.record(begun.elapsed().as_micros() as u64).expect("in range");
    }
    times
}

/// The largest of the agents, in MiB.
fn resident(cluster: &AgentCluster) -> f64 {
    (0..cluster.len()).map(|at| cluster.resident_kib(at) as f64 / 1024.0).fold(0.0, f64::max)
}

fn throughput(program: &Path, seconds: u64) {
    println!(
        "| agents | clients | decisions a second | p50, ms | p99, ms | p99.9, ms | resident at rest, after, MiB |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for agents in [3, 5] {
        for clients in [1, 16, 64] {
            let folder = tempfile::tempdir().expect("a folder");
            let cluster = AgentCluster::start(program, folder.path(), &options(agents));
            let rest = resident(&cluster);
            let stop = Arc::new(AtomicBool::new(false));
            let begun = Instant::now();
            let run = |number: usize| {
                let (at, stop) = (cluster.local(number % agents), stop.clone());
                std::thread::spawn(move || decide(at, number as u64, &stop))
            };
            let threads: Vec<_> = (0..clients).map(run).collect();
            std::thread::sleep(Duration::from_secs(seconds));
            stop.store(true, Ordering::Relaxed);
            let mut all = Histogram::<u64>::new(3).expect("a histogram");
            threads.into_iter().for_each(|t| all.add(t.join().expect("a client")).expect("histograms add"));
            let rate = all.len() as f64 / begun.elapsed().as_secs_f64();
            let at = |quantile| all.value_at_quantile(quantile) as f64 / 1e3;
            println!(
                "| {agents} | {clients} | {rate:.0} | {:.2} | {:.2} | {:.2} | {rest:.1}, {:.1} |",
                at(0.5),
                at(0.99),
                at(0.999),
                resident(&cluster)
            );
        }
    }
}

fn hand_over(program: &Path, times: u64) {
    println!("| leader | times | median until the next decision, ms | longest, ms |");
    println!("| --- | --- | --- | --- |");
    for killed in [true, false] {
        let folder = tempfile::tempdir().expect("a folder");
        let mut cluster = AgentCluster::start(program, folder.path(), &options(3));
        let http = client(Duration::from_secs(5));
        let mut gaps = Histogram::<u64>::new(3).expect("a histogram");
        for turn in 0..times {
            let mut leader = 0;
            wait_until("somebody leads", || {
                leader = cluster.leader().unwrap_or(9);
                leader != 9
            });
            let begun = Instant::now();
            if killed {
                cluster.kill(leader)
            } else {
                cluster.freeze(leader)
            }
            let subject = json!({"space": "gap", "number": turn});
            let body = json!({"command": {"Decide": {"subject": subject, "value": []}}, "within_ms": 4000});
            wait_until("the others decide", || {
                let answer = post(&http, cluster.local((leader + 1) % 3), "/v1/propose", &body);
                matches!(answer, Ok((200, answer)) if answer["result"] == "applied")
            });
            gaps.record(begun.elapsed().as_micros() as u64).expect("in range");
            if killed {
                cluster.start_agent(leader)
            } else {
                cluster.wake(leader)
            }
            std::thread::sleep(Duration::from_millis(300));
        }
        let what = if killed { "killed" } else { "frozen" };
        let ms = |micros: u64| micros as f64 / 1e3;
        println!("| {what} | {times} | {:.0} | {:.0} |", ms(gaps.value_at_quantile(0.5)), ms(gaps.max()));
    }
}

fn main() {
    let program = std::env::current_exe().expect("this program has a path");
    let program = program.with_file_name("../garnetcrank-agent");
    throughput(&program, value("--seconds", 5));
    println!();
    hand_over(&program, value("--times", 40));
}

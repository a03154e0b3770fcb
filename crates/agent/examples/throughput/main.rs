//! Measures the rate and the latency of decisions in clusters of 3 and 5 real agents, which sync their stores
//! to disk, and the time until the next decision after the leader is killed or frozen.
//!
//! Build the agent first with `cargo build --release -p garnetcrank-agent`. Then run
//! `cargo run --release --locked -p garnetcrank-agent --example throughput -- [--seconds S] [--times N]`,
//! which prints two tables.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use garnetcrank_test_support::agent_cluster::{AgentCluster, ClusterOptions, http_client, post, wait_until};
use hdrhistogram::Histogram;
use serde_json::{Value, json};

/// Pause between two failovers, in which the old leader rejoins the cluster.
const RECOVERY_PAUSE: Duration = Duration::from_millis(300);

/// Fault that is injected at the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeaderFault {
    Kill,
    Freeze,
}

fn main() {
    let program = std::env::current_exe().expect("the path of this program is known");
    let program = program.with_file_name("../garnetcrank-agent");
    measure_throughput(&program, argument("--seconds", 5));
    println!();
    measure_failover(&program, argument("--times", 40));
}

/// Returns a number from the command line.
///
/// # Panics
/// The argument is not a number.
fn argument(name: &str, default: u64) -> u64 {
    let mut args = std::env::args().skip_while(|arg| arg != name).skip(1);
    args.next()
        .map_or(default, |text| text.parse().unwrap_or_else(|error| panic!("{name} {text:?}: {error}")))
}

/// Returns the default settings of the agent for a cluster of this size.
fn default_options(agents: usize) -> ClusterOptions {
    ClusterOptions {
        agents,
        tick_ms: 20,
        election_ticks: 15,
        lease_ttl_ms: 3_000,
        compact_every: 10_000,
        relays: false,
    }
}

fn measure_throughput(program: &Path, seconds: u64) {
    println!(
        "| agents | clients | decisions a second | p50, ms | p99, ms | p99.9, ms | resident at rest, after, MiB |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for agents in [3, 5] {
        for clients in [1, 16, 64] {
            measure_clients(program, agents, clients, seconds);
        }
    }
}

/// Measures and prints one row of the table.
fn measure_clients(program: &Path, agents: usize, clients: usize, seconds: u64) {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let cluster = AgentCluster::start(program, folder.path(), &default_options(agents));
    let resident_at_rest = max_resident_mib(&cluster);
    let stop = Arc::new(AtomicBool::new(false));
    let started = Instant::now();
    let mut threads = Vec::new();
    for number in 0..clients {
        let agent = cluster.http_address(number % agents);
        let stop = stop.clone();
        threads.push(std::thread::spawn(move || run_client(agent, number as u64, &stop)));
    }
    std::thread::sleep(Duration::from_secs(seconds));
    stop.store(true, Ordering::Relaxed);
    let mut latencies = Histogram::<u64>::new(3).expect("the precision is valid");
    for thread in threads {
        latencies
            .add(thread.join().expect("the client does not panic"))
            .expect("the histograms are compatible");
    }
    let rate = latencies.len() as f64 / started.elapsed().as_secs_f64();
    let quantile_ms = |quantile| latencies.value_at_quantile(quantile) as f64 / 1e3;
    println!(
        "| {agents} | {clients} | {rate:.0} | {:.2} | {:.2} | {:.2} | {resident_at_rest:.1}, {:.1} |",
        quantile_ms(0.5),
        quantile_ms(0.99),
        quantile_ms(0.999),
        max_resident_mib(&cluster)
    );
}

/// Runs one client at one agent, in a session of its own, until it is stopped. Returns the latency of each
/// decision in microseconds.
fn run_client(agent: SocketAddr, number: u64, stop: &AtomicBool) -> Histogram<u64> {
    let http = http_client(Duration::from_secs(10));
    let mut latencies = Histogram::new(3).expect("the precision is valid");
    let (_, opened) = post(&http, agent, "/v1/sessions", &json!({})).expect("the agent opens a session");
    let session: Value = opened["reply"]["Opened"].clone();
    let mut sequence = 0u64;
    while !stop.load(Ordering::Relaxed) {
        sequence += 1;
        let subject = json!({"space": "measured", "number": number << 32 | sequence});
        let command = json!({"Decide": {"subject": subject, "value": [1]}});
        let body = json!({"proposal": {"session": session, "sequence": sequence, "command": command}});
        let started = Instant::now();
        let (_, response) = post(&http, agent, "/v1/propose", &body).expect("the agent responds");
        assert_eq!(response["reply"]["Decided"]["first"], true, "{response}");
        latencies
            .record(started.elapsed().as_micros() as u64)
            .expect("the duration is in the range of the histogram");
    }
    latencies
}

/// Returns the largest resident memory of all agents, in MiB.
fn max_resident_mib(cluster: &AgentCluster) -> f64 {
    (0..cluster.len()).map(|agent| cluster.resident_kib(agent) as f64 / 1024.0).fold(0.0, f64::max)
}

fn measure_failover(program: &Path, times: u64) {
    println!("| leader | times | median until the next decision, ms | longest, ms |");
    println!("| --- | --- | --- | --- |");
    for fault in [LeaderFault::Kill, LeaderFault::Freeze] {
        let gaps = measure_gaps(program, fault, times);
        let fault_name = match fault {
            LeaderFault::Kill => "killed",
            LeaderFault::Freeze => "frozen",
        };
        let milliseconds = |microseconds: u64| microseconds as f64 / 1e3;
        println!(
            "| {fault_name} | {times} | {:.0} | {:.0} |",
            milliseconds(gaps.value_at_quantile(0.5)),
            milliseconds(gaps.max())
        );
    }
}

/// Measures the time from each fault of the leader to the next decision, in microseconds.
fn measure_gaps(program: &Path, fault: LeaderFault, times: u64) -> Histogram<u64> {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let mut cluster = AgentCluster::start(program, folder.path(), &default_options(3));
    let http = http_client(Duration::from_secs(5));
    let mut gaps = Histogram::<u64>::new(3).expect("the precision is valid");
    for number in 0..times {
        let leader = wait_for_leader(&cluster);
        let started = Instant::now();
        match fault {
            LeaderFault::Kill => cluster.kill(leader),
            LeaderFault::Freeze => cluster.suspend(leader),
        }
        let subject = json!({"space": "gap", "number": number});
        let body = json!({"command": {"Decide": {"subject": subject, "value": []}}, "within_ms": 4000});
        wait_until("the other agents decide", || {
            let response = post(&http, cluster.http_address((leader + 1) % 3), "/v1/propose", &body);
            matches!(response, Ok((200, response)) if response["result"] == "applied")
        });
        gaps.record(started.elapsed().as_micros() as u64)
            .expect("the duration is in the range of the histogram");
        match fault {
            LeaderFault::Kill => cluster.start_agent(leader),
            LeaderFault::Freeze => cluster.resume(leader),
        }
        std::thread::sleep(RECOVERY_PAUSE);
    }
    gaps
}

fn wait_for_leader(cluster: &AgentCluster) -> usize {
    let mut found = None;
    wait_until("the cluster has a leader", || {
        found = cluster.leader();
        found.is_some()
    });
    found.unwrap_or_default()
}

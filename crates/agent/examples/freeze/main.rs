//! Real agents that are frozen, resumed, killed and cut off, round after round, while clients decide through all of
//! them.
//!
//! `--rounds N [--agents A] [--seed S]`, after `cargo build --release -p garnetcrank-agent`. Ends with one line of
//! figures and exit 0; anything decided twice or lost is printed, with exit 1.

mod load;

use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use garnetcrank_test_support::agent_cluster::{AgentCluster, ClusterOptions};
use load::{Load, Report};

/// Clients that decide and read.
const CLIENTS: usize = 6;
/// How long a fault lasts, in milliseconds: from far below an election timeout to far beyond a lease's duration.
const FAULT_MS: [u64; 5] = [10, 40, 90, 160, 400];
/// Progress is printed every so many rounds.
const ROUNDS_PER_LINE: u64 = 100;

struct Options {
    rounds: u64,
    agents: usize,
    seed: u64,
}

fn main() -> ExitCode {
    let options = Options {
        rounds: argument("--rounds", 100),
        agents: argument("--agents", 3) as usize,
        seed: argument("--seed", 1),
    };
    let folder = tempfile::tempdir().expect("a folder");
    let mut cluster = start_cluster(folder.path(), options.agents);
    let started = Instant::now();
    let report = run(&mut cluster, &options, started);
    for fault in &report.faults {
        println!("{fault}");
    }
    let Options { rounds, agents, .. } = options;
    let Report { decisions, epochs, stale, faults } = &report;
    println!(
        "rounds {rounds} agents {agents} decisions {decisions} faults {} epochs {epochs} \
         stale-acts-refused {stale} seconds {}",
        faults.len(),
        started.elapsed().as_secs()
    );
    if faults.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// A number from the command line.
fn argument(name: &str, default: u64) -> u64 {
    let mut args = std::env::args().skip_while(|arg| arg != name).skip(1);
    args.next().map_or(default, |text| text.parse().unwrap_or_else(|error| panic!("{name}: {error}")))
}

fn start_cluster(folder: &Path, agents: usize) -> AgentCluster {
    let program = std::env::current_exe().expect("this program has a path");
    let program = program.with_file_name("../garnetcrank-agent");
    let options = ClusterOptions {
        agents,
        tick_ms: 5,
        election_ticks: 12,
        lease_ttl_ms: 200,
        compact_every: 2_000,
        relays: true,
    };
    AgentCluster::start(&program, folder, &options)
}

fn run(cluster: &mut AgentCluster, options: &Options, started: Instant) -> Report {
    let mut rng = fastrand::Rng::with_seed(options.seed);
    let load = Load::start(cluster, CLIENTS);
    for round in 0..options.rounds {
        inject_fault(cluster, options.agents, &mut rng);
        std::thread::sleep(Duration::from_millis(rng.u64(..60)));
        if round % ROUNDS_PER_LINE == ROUNDS_PER_LINE - 1 {
            let (decisions, seconds) = (load.decisions(), started.elapsed().as_secs());
            println!("{} rounds, {decisions} decisions, {seconds} s", round + 1);
        }
    }
    load.end(cluster)
}

/// One fault, most often at the leader, and its end.
fn inject_fault(cluster: &mut AgentCluster, agents: usize, rng: &mut fastrand::Rng) {
    let victim = cluster.leader().filter(|_| rng.u8(..4) > 0).unwrap_or(rng.usize(..agents));
    let other = rng.usize(..agents);
    let duration = Duration::from_millis(*rng.choice(&FAULT_MS).unwrap_or(&90));
    match rng.u8(..10) {
        0 => cluster.kill(victim),
        1 => cluster.isolate(victim, true),
        2 => cluster.cut(victim, other, true),
        3 => {
            cluster.freeze(victim);
            cluster.freeze(other);
        }
        _ => cluster.freeze(victim),
    }
    std::thread::sleep(duration);
    cluster.wake(victim);
    cluster.wake(other);
    for at in 0..agents {
        cluster.isolate(at, false);
        if !cluster.is_running(at) {
            cluster.start_agent(at);
        }
    }
}

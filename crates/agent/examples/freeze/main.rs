//! Freezes, kills and partitions real agents in many rounds while clients make decisions through all of them.
//!
//! Build the agent first with `cargo build --release -p garnetcrank-agent`. The options are
//! `--rounds N [--agents A] [--seed S]`. The last line of the output gives the figures of the run. The exit
//! code is 1 if there was a violation, such as a subject decided twice or a lost decision, and else 0. Each
//! violation is printed.

mod load;

use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use garnetcrank_test_support::agent_cluster::{AgentCluster, ClusterOptions};
use load::{Load, Report};

/// Number of clients that propose and read.
const CLIENTS: usize = 6;
/// Durations of a fault in milliseconds, from far below an election timeout to far beyond a lease's duration.
const FAULT_MS: [u64; 5] = [10, 40, 90, 160, 400];
/// Number of rounds between two lines of progress.
const ROUNDS_PER_PROGRESS_LINE: u64 = 100;

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
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let mut cluster = start_cluster(folder.path(), options.agents);
    let started = Instant::now();
    let report = run(&mut cluster, &options, started);
    for violation in &report.violations {
        println!("{violation}");
    }
    let Options { rounds, agents, .. } = options;
    let Report { decisions, epochs, stale_votes, violations } = &report;
    println!(
        "rounds {rounds} agents {agents} decisions {decisions} faults {} epochs {epochs} \
         stale-acts-refused {stale_votes} seconds {}",
        violations.len(),
        started.elapsed().as_secs()
    );
    if violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
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

fn start_cluster(folder: &Path, agents: usize) -> AgentCluster {
    let program = std::env::current_exe().expect("the path of this program is known");
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

/// Injects faults under load and returns the load's report.
fn run(cluster: &mut AgentCluster, options: &Options, started: Instant) -> Report {
    let mut rng = fastrand::Rng::with_seed(options.seed);
    let load = Load::start(cluster, CLIENTS);
    for round in 0..options.rounds {
        inject_fault(cluster, options.agents, &mut rng);
        std::thread::sleep(Duration::from_millis(rng.u64(..60)));
        if round % ROUNDS_PER_PROGRESS_LINE == ROUNDS_PER_PROGRESS_LINE - 1 {
            let (decisions, seconds) = (load.decisions(), started.elapsed().as_secs());
            println!("{} rounds, {decisions} decisions, {seconds} s", round + 1);
        }
    }
    load.end(cluster)
}

/// Injects one fault, most often at the leader, and ends it after its duration.
fn inject_fault(cluster: &mut AgentCluster, agents: usize, rng: &mut fastrand::Rng) {
    let victim = cluster.leader().filter(|_| rng.u8(..4) > 0).unwrap_or(rng.usize(..agents));
    let other = rng.usize(..agents);
    let duration = Duration::from_millis(*rng.choice(&FAULT_MS).unwrap_or(&90));
    match rng.u8(..10) {
        0 => cluster.kill(victim),
        1 => cluster.set_isolated(victim, true),
        2 => cluster.set_cut(victim, other, true),
        3 => {
            cluster.suspend(victim);
            cluster.suspend(other);
        }
        _ => cluster.suspend(victim),
    }
    std::thread::sleep(duration);
    cluster.resume(victim);
    cluster.resume(other);
    for agent in 0..agents {
        cluster.set_isolated(agent, false);
        if !cluster.is_running(agent) {
            cluster.start_agent(agent);
        }
    }
}

//! Real agents that freeze, wake, are killed and cut off, round after round, while clients decide through all of them.
//!
//! `--rounds N [--agents A] [--seed S]`, after `cargo build --release -p garnetcrank-agent`. Ends with one line of
//! figures and exit 0; anything decided twice or lost is told, with exit 1.

mod load;

use std::process::ExitCode;
use std::time::{Duration, Instant};

use garnetcrank_test_support::agent_cluster::{AgentCluster, ClusterOptions};
use load::Load;

fn value(name: &str, default: u64) -> u64 {
    let mut args = std::env::args().skip_while(|arg| arg != name).skip(1);
    args.next().map_or(default, |text| text.parse().unwrap_or_else(|e| panic!("{name}: {e}")))
}

fn main() -> ExitCode {
    let (rounds, agents, seed) = (value("--rounds", 100), value("--agents", 3) as usize, value("--seed", 1));
    let mut rng = fastrand::Rng::with_seed(seed);
    let program = std::env::current_exe().expect("this program has a path");
    let program = program.with_file_name("../garnetcrank-agent");
    let folder = tempfile::tempdir().expect("a folder");
    let options = ClusterOptions {
        agents,
        tick_ms: 5,
        election_ticks: 12,
        lease_ttl_ms: 200,
        compact_every: 2_000,
        relays: true,
    };
    let mut cluster = AgentCluster::start(&program, folder.path(), &options);
    let begun = Instant::now();
    let load = Load::start(&cluster, 6);
    for round in 0..rounds {
        let who = cluster.leader().filter(|_| rng.u8(..4) > 0).unwrap_or(rng.usize(..agents));
        let other = rng.usize(..agents);
        let long = Duration::from_millis(*rng.choice(&[10, 40, 90, 160, 400]).unwrap_or(&90));
        match rng.u8(..10) {
            0 => cluster.kill(who),
            1 => cluster.isolate(who, true),
            2 => cluster.cut(who, other, true),
            3 => {
                cluster.freeze(who);
                cluster.freeze(other);
            }
            _ => cluster.freeze(who),
        }
        std::thread::sleep(long);
        cluster.wake(who);
        cluster.wake(other);
        for at in 0..agents {
            cluster.isolate(at, false);
            if !cluster.is_running(at) {
                cluster.start_agent(at);
            }
        }
        std::thread::sleep(Duration::from_millis(rng.u64(..60)));
        if round % 100 == 99 {
            let (decided, seconds) = (load.decisions(), begun.elapsed().as_secs());
            println!("{} rounds, {decided} decisions, {seconds} s", round + 1);
        }
    }
    let report = load.end(&cluster);
    for fault in &report.faults {
        println!("{fault}");
    }
    let (double_or_lost, Report { decisions, epochs, stale, .. }) = (report.faults.len(), &report);
    println!(
        "rounds {rounds} agents {agents} decisions {decisions} faults {double_or_lost} epochs {epochs} \
         stale-acts-refused {stale} seconds {}",
        begun.elapsed().as_secs()
    );
    if report.faults.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

use load::Report;

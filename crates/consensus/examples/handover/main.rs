//! Rounds of pause, wake, split, crash and heal over 3 and 5 simulated instances in virtual time.
//!
//! `--seed S --rounds N [--without gate|sync] [--store]`: ends with one line of figures and exit 0; at the first
//! violation it prints the seed and the shortest schedule found, and ends with 1.

mod disk;
mod world;

use std::process::ExitCode;

use disk::Kind;
use world::{Outcomes, Planned, Without, World, schedule};

struct Options {
    seed: u64,
    rounds: u64,
    without: Without,
    kind: Kind,
}

fn options() -> Result<Options, String> {
    let mut options = Options { seed: 1, rounds: 1000, without: Without::Nothing, kind: Kind::Model };
    let mut args = std::env::args().skip(1);
    while let Some(arg) = args.next() {
        let mut value = || args.next().ok_or(format!("{arg} needs a value"));
        match arg.as_str() {
            "--seed" => options.seed = value()?.parse().map_err(|e| format!("--seed: {e}"))?,
            "--rounds" => options.rounds = value()?.parse().map_err(|e| format!("--rounds: {e}"))?,
            "--store" => options.kind = Kind::Store,
            "--without" => {
                options.without = match value()?.as_str() {
                    "gate" => Without::Gate,
                    "sync" => Without::Sync,
                    other => return Err(format!("--without {other}: gate or sync")),
                }
            }
            other => return Err(format!("{other}: --seed, --rounds, --without and --store are known")),
        }
    }
    Ok(options)
}

/// A run; a panic of the library's own checks is a violation like any other.
fn play(seed: u64, instances: usize, options: &Options, plan: &[Planned]) -> Outcomes {
    let (without, kind) = (options.without, options.kind);
    let run = || World::new(seed, instances, without, kind).run(plan);
    std::panic::catch_unwind(run).unwrap_or_else(|panic| {
        let text = panic.downcast_ref::<String>().cloned();
        let text = text.or_else(|| panic.downcast_ref::<&str>().map(|s| (*s).to_owned())).unwrap_or_default();
        Outcomes { lost: vec![format!("panic: {text}")], ..Outcomes::default() }
    })
}

/// Leaves faults out as long as the run still goes wrong.
fn shortest(seed: u64, instances: usize, options: &Options, mut plan: Vec<Planned>) -> Vec<Planned> {
    let mut at = 0;
    while at < plan.len() {
        let mut less = plan.clone();
        less.remove(at);
        if play(seed, instances, options, &less).sound() {
            at += 1;
        } else {
            plan = less;
            at = 0;
        }
    }
    plan
}

fn main() -> ExitCode {
    let options = match options() {
        Ok(options) => options,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    std::panic::set_hook(Box::new(|_| {}));
    let mut total = Outcomes::default();
    for round in 0..options.rounds {
        let seed = options.seed.wrapping_mul(1_000_003).wrapping_add(round);
        let instances = if round % 2 == 0 { 3 } else { 5 };
        let plan = schedule(seed, instances);
        let outcomes = play(seed, instances, &options, &plan);
        if !outcomes.sound() {
            let plan = shortest(seed, instances, &options, plan);
            let shown = play(seed, instances, &options, &plan);
            println!(
                "violation in round {round}, {instances} instances, seed {seed}; shortest schedule found:"
            );
            for (at, fault) in plan {
                println!("  step {at}: {fault:?}");
            }
            for what in shown.double.iter().chain(&shown.lost).chain(&shown.other) {
                println!("  {what}");
            }
            return ExitCode::FAILURE;
        }
        total.decisions += outcomes.decisions;
        total.stale_refused += outcomes.stale_refused;
    }
    println!(
        "rounds {} decisions {} double 0 lost 0 stale-acts-refused {}",
        options.rounds, total.decisions, total.stale_refused
    );
    ExitCode::SUCCESS
}

//! Simulates clusters of 3 and 5 instances in virtual time under random schedules of faults and checks that no decision
//! is lost or made twice and that orders of deposed lease holders are rejected.
//!
//! Options: `--seed S --rounds N [--without gate|sync] [--store]`. Prints one line of totals and exits with 0. At the
//! first violation it prints the seed and the shortest failing schedule that it finds, and exits with 1.

mod disk;
mod world;

use std::num::ParseIntError;
use std::process::ExitCode;

use disk::DiskKind;
use world::checks::RunReport;
use world::faults::{PlannedFault, schedule};
use world::{DisabledProtection, World};

struct Options {
    seed: u64,
    rounds: u64,
    disabled: DisabledProtection,
    disk_kind: DiskKind,
}

#[derive(Debug, thiserror::Error)]
enum OptionsError {
    #[error("option {0} requires a value")]
    MissingValue(String),
    #[error("option {option} requires a non-negative integer: {source}")]
    InvalidNumber { option: String, source: ParseIntError },
    #[error("unknown value \"{0}\" of --without: gate or sync is allowed")]
    UnknownProtection(String),
    #[error("unknown option \"{0}\": --seed, --rounds, --without and --store are allowed")]
    UnknownOption(String),
}

impl Options {
    fn parse(mut args: impl Iterator<Item = String>) -> Result<Self, OptionsError> {
        let mut options =
            Options { seed: 1, rounds: 1000, disabled: DisabledProtection::None, disk_kind: DiskKind::Model };
        while let Some(option) = args.next() {
            match option.as_str() {
                "--seed" => options.seed = number(&option, &mut args)?,
                "--rounds" => options.rounds = number(&option, &mut args)?,
                "--store" => options.disk_kind = DiskKind::Store,
                "--without" => options.disabled = protection(value(&option, &mut args)?)?,
                _ => return Err(OptionsError::UnknownOption(option)),
            }
        }
        Ok(options)
    }
}

fn value(option: &str, args: &mut impl Iterator<Item = String>) -> Result<String, OptionsError> {
    args.next().ok_or_else(|| OptionsError::MissingValue(option.to_owned()))
}

fn number(option: &str, args: &mut impl Iterator<Item = String>) -> Result<u64, OptionsError> {
    let text = value(option, args)?;
    text.parse().map_err(|source| OptionsError::InvalidNumber { option: option.to_owned(), source })
}

fn protection(name: String) -> Result<DisabledProtection, OptionsError> {
    match name.as_str() {
        "gate" => Ok(DisabledProtection::FencingGate),
        "sync" => Ok(DisabledProtection::DiskSync),
        _ => Err(OptionsError::UnknownProtection(name)),
    }
}

/// Parameters of one simulated run.
struct Round {
    seed: u64,
    instances: usize,
    disabled: DisabledProtection,
    disk_kind: DiskKind,
}

impl Round {
    fn new(options: &Options, number: u64) -> Self {
        Self {
            seed: options.seed.wrapping_mul(1_000_003).wrapping_add(number),
            instances: if number.is_multiple_of(2) { 3 } else { 5 },
            disabled: options.disabled,
            disk_kind: options.disk_kind,
        }
    }

    /// Runs a schedule of faults. A panic, such as of an assertion in the library, is reported as a violation.
    fn run(&self, plan: &[PlannedFault]) -> RunReport {
        let run = || World::new(self.seed, self.instances, self.disabled, self.disk_kind).run(plan);
        match std::panic::catch_unwind(run) {
            Ok(report) => report,
            Err(panic) => {
                let violation = format!("panic: {}", panic_text(panic.as_ref()));
                RunReport { lost: vec![violation], ..RunReport::default() }
            }
        }
    }

    /// Removes faults from a failing schedule as long as the run still reports a violation.
    fn shrink_failing_plan(&self, mut plan: Vec<PlannedFault>) -> Vec<PlannedFault> {
        let mut position = 0;
        while position < plan.len() {
            let mut shorter = plan.clone();
            shorter.remove(position);
            if self.run(&shorter).has_no_violations() {
                position += 1;
            } else {
                plan = shorter;
                position = 0;
            }
        }
        plan
    }
}

fn panic_text(panic: &(dyn std::any::Any + Send)) -> &str {
    if let Some(text) = panic.downcast_ref::<String>() {
        text
    } else if let Some(text) = panic.downcast_ref::<&str>() {
        text
    } else {
        ""
    }
}

fn print_violation(number: u64, round: &Round, plan: Vec<PlannedFault>) {
    let plan = round.shrink_failing_plan(plan);
    let report = round.run(&plan);
    println!(
        "violation in round {number}, {} instances, seed {}; shortest schedule found:",
        round.instances, round.seed
    );
    for PlannedFault { at, fault } in plan {
        println!("  step {at}: {fault:?}");
    }
    for violation in report.conflicts.iter().chain(&report.lost).chain(&report.other) {
        println!("  {violation}");
    }
}

fn main() -> ExitCode {
    let options = match Options::parse(std::env::args().skip(1)) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    std::panic::set_hook(Box::new(|_| {}));
    let mut decisions = 0;
    let mut stale_orders_rejected = 0;
    for number in 0..options.rounds {
        let round = Round::new(&options, number);
        let plan = schedule(round.seed, round.instances);
        let report = round.run(&plan);
        if !report.has_no_violations() {
            print_violation(number, &round, plan);
            return ExitCode::FAILURE;
        }
        decisions += report.decisions;
        stale_orders_rejected += report.stale_orders_rejected;
    }
    println!(
        "rounds {} decisions {decisions} double 0 lost 0 stale-acts-refused {stale_orders_rejected}",
        options.rounds
    );
    ExitCode::SUCCESS
}

//! Rounds of pause, wake, partition, crash and heal over 3 and 5 simulated instances in virtual time.
//!
//! `--seed S --rounds N [--without gate|sync] [--store]`: ends with one line of figures and exit 0; at the first
//! violation it prints the seed and the shortest schedule found, and ends with 1.

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
    #[error("{0} needs a value")]
    MissingValue(String),
    #[error("{option}: {source}")]
    InvalidNumber { option: String, source: ParseIntError },
    #[error("--without {0}: gate or sync")]
    UnknownProtection(String),
    #[error("{0}: --seed, --rounds, --without and --store are known")]
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

/// One round: a seed, a number of instances and what is switched off.
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

    /// Plays a schedule. A panic of the library's own checks is a violation like any other.
    fn play(&self, plan: &[PlannedFault]) -> RunReport {
        let run = || World::new(self.seed, self.instances, self.disabled, self.disk_kind).run(plan);
        match std::panic::catch_unwind(run) {
            Ok(report) => report,
            Err(panic) => {
                let violation = format!("panic: {}", panic_text(panic.as_ref()));
                RunReport { lost: vec![violation], ..RunReport::default() }
            }
        }
    }

    /// Leaves faults out as long as the run still goes wrong.
    fn shortest_failing(&self, mut plan: Vec<PlannedFault>) -> Vec<PlannedFault> {
        let mut position = 0;
        while position < plan.len() {
            let mut shorter = plan.clone();
            shorter.remove(position);
            if self.play(&shorter).is_sound() {
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
    let plan = round.shortest_failing(plan);
    let report = round.play(&plan);
    println!(
        "violation in round {number}, {} instances, seed {}; shortest schedule found:",
        round.instances, round.seed
    );
    for PlannedFault { at, fault } in plan {
        println!("  step {at}: {fault:?}");
    }
    for violation in report.duplicates.iter().chain(&report.lost).chain(&report.other) {
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
    let mut stale_rejected = 0;
    for number in 0..options.rounds {
        let round = Round::new(&options, number);
        let plan = schedule(round.seed, round.instances);
        let report = round.play(&plan);
        if !report.is_sound() {
            print_violation(number, &round, plan);
            return ExitCode::FAILURE;
        }
        decisions += report.decisions;
        stale_rejected += report.stale_rejected;
    }
    println!(
        "rounds {} decisions {decisions} double 0 lost 0 stale-acts-refused {stale_rejected}",
        options.rounds
    );
    ExitCode::SUCCESS
}

//! The drivers of the cases of this review, one by its name: `review NAME FOLDER RECORD TROUBLE`. Standard library only.

mod deployment;
mod harness;
mod restart;
mod stream;
mod votes;

use std::path::Path;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, record, trouble] = arguments.as_slice() else {
        eprintln!("review NAME FOLDER RECORD TROUBLE");
        std::process::exit(harness::NOT_RUN);
    };
    harness::begin(Path::new(folder), Path::new(record), trouble != "0");
    match case.as_str() {
        "stream" => stream::run(),
        "restart" => restart::run(),
        "work" => votes::run(votes::Disruption::WorkOnHost),
        "kill" => votes::run(votes::Disruption::KillVotingFront),
        "stop" => votes::run(votes::Disruption::StopVotingFront),
        "condemned" => votes::run_condemned(),
        "silence" => votes::run(votes::Disruption::CutFromPlatform),
        "cut" => votes::run(votes::Disruption::CutOneDirection),
        _ => harness::finish(harness::NOT_RUN),
    }
}

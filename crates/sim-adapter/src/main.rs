//! Speaks the simulator's wire on standard input and output, for many instances of the decisions.

mod link;
mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use link::{Link, Next};

fn run() -> Result<(), String> {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut link = Link::default();
    let mut text = Vec::new();
    for number in 1u64.. {
        text.clear();
        let read = input.read_until(b'\n', &mut text).map_err(|e| format!("line {number}: {e}"))?;
        if read == 0 {
            break;
        }
        let line = std::str::from_utf8(&text).map_err(|_| format!("line {number}: not UTF-8"))?;
        if line.trim().is_empty() {
            continue;
        }
        if let Next::Reply(reply) = link.line(line).map_err(|e| format!("line {number}: {e}"))? {
            output.write_all(reply.as_bytes()).and_then(|()| output.flush()).map_err(|e| e.to_string())?;
        }
    }
    Ok(())
}

fn main() -> ExitCode {
    // A panic of the decisions goes out as `broken`; the default report would only repeat it.
    std::panic::set_hook(Box::new(|_| {}));
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            let _ = writeln!(io::stderr(), "garnetcrank-sim-adapter: {message}");
            ExitCode::FAILURE
        }
    }
}

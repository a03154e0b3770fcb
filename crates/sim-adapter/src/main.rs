//! Adapter between the simulator's protocol, on standard input and output, and many instances of the policy.
//!
//! Malformed input ends the program with a non-zero exit code and a message on standard error that names the line.

#![warn(
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::wildcard_imports,
    clippy::missing_errors_doc
)]

mod adapter;
mod error;
mod instance;
mod name_table;
mod protocol;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use adapter::Adapter;
use error::AdapterError;

fn main() -> ExitCode {
    // A panic of the policy is reported to the simulator; the default hook would report it a second time.
    std::panic::set_hook(Box::new(|_| {}));
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // If standard error is closed, the error can't be reported.
            let _ = writeln!(io::stderr(), "garnetcrank-sim-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Reads lines until end of input, and writes a reply after each batch.
fn run() -> Result<(), AdapterError> {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut adapter = Adapter::default();
    let mut bytes = Vec::new();
    for line in 1u64.. {
        bytes.clear();
        let bytes_read =
            input.read_until(b'\n', &mut bytes).map_err(|source| AdapterError::Read { line, source })?;
        if bytes_read == 0 {
            break;
        }
        let text = std::str::from_utf8(&bytes).map_err(|_| AdapterError::NotUtf8 { line })?;
        if text.trim().is_empty() {
            continue;
        }
        let reply = adapter.handle_line(text).map_err(|source| AdapterError::Protocol { line, source })?;
        if let Some(reply) = reply {
            output.write_all(reply.as_bytes())?;
            output.flush()?;
        }
    }
    Ok(())
}

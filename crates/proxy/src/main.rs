//! The front: one process on sockets around the decision module, told what to do by `RELAY_CONFIG`.

mod call;
mod clients;
mod clock;
mod conn;
mod cores;
mod counters;
mod discovery;
mod driver;
mod exchange;
mod extras;
mod front;
mod link;
mod logs;
mod machines;
mod phase;
mod platform;
mod process;
mod ready;
mod request;
mod watch;

use std::path::PathBuf;
use std::process::ExitCode;

use calloop::EventLoop;
use calloop::ping::PingSource;
use calloop::signals::{Signal, Signals};
use clap::Parser;
use tracing::error;

use extras::Extras;
use front::{Beginning, Front};
use process::Process;
use ready::{Asked, Ready};

/// Exit code for a configuration that is missing or wrong.
const CONFIGURATION: u8 = 2;
/// Exit code for a thread that has panicked or can't go on.
const BROKEN: u8 = 70;

/// A front: stands between clients and machines. `RELAY_CONFIG` names its configuration.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// Features beside the platform's file, in a file of their own.
    #[arg(long)]
    extras: Option<PathBuf>,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    logs::start();
    // Before all else: a signal that comes while the configuration is read waits, and ends nothing.
    let watched = [Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP, Signal::SIGUSR1];
    let signals = match Signals::new(&watched) {
        Ok(signals) => signals,
        Err(e) => {
            error!("signals can't be watched: {e}");
            return ExitCode::FAILURE;
        }
    };
    let process = match Process::read(|name| std::env::var(name).ok()) {
        Ok(process) => process,
        Err(message) => {
            error!("configuration: {message}");
            return ExitCode::from(CONFIGURATION);
        }
    };
    let extras =
        arguments.extras.map_or(Ok(Extras::default()), |path| Extras::read(&path, &process.settings));
    let extras = match extras {
        Ok(extras) => extras,
        Err(message) => {
            error!("extras: {message}");
            return ExitCode::from(CONFIGURATION);
        }
    };
    match run(process, &extras, signals) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            error!("{message}");
            ExitCode::FAILURE
        }
    }
}

fn run(process: Process, extras: &Extras, signals: Signals) -> Result<(), String> {
    let mut event_loop: EventLoop<'static, Ready> =
        EventLoop::try_new().map_err(|e| format!("the event loop can't be made: {e}"))?;
    let handle = event_loop.handle();
    let noted = |event: calloop::signals::Event, _: &mut (), ready: &mut Ready| {
        ready.asked.push(match event.signal() {
            Signal::SIGUSR1 => Asked::Counters,
            Signal::SIGHUP => Asked::Reload,
            _ => Asked::Stop,
        });
    };
    handle.insert_source(signals, noted).map_err(|e| format!("signals can't be watched: {e}"))?;
    let listen = process.listen;
    let (mut front, others) =
        Front::new(handle, process, extras).map_err(|e| format!("listen: {listen}: {e}"))?;
    let mut threads = Vec::new();
    for (number, (beginning, source)) in others.into_iter().enumerate() {
        let run = move || {
            let _guard = Ends;
            if let Err(message) = further(beginning, source) {
                error!("{message}");
                std::process::exit(i32::from(BROKEN));
            }
        };
        let name = format!("core {}", number + 1);
        let thread = std::thread::Builder::new().name(name).spawn(run);
        threads.push(thread.map_err(|e| format!("a thread can't be started: {e}"))?);
    }
    turns(&mut event_loop, &mut front)?;
    for thread in threads {
        // One that panicked has ended the process.
        let _ = thread.join();
    }
    front.print_counters();
    Ok(())
}

fn turns(event_loop: &mut EventLoop<'static, Ready>, front: &mut Front) -> Result<(), String> {
    let mut ready = Ready::default();
    while !front.stopped() {
        event_loop.dispatch(front.wait(), &mut ready).map_err(|e| format!("the event loop broke: {e}"))?;
        front.turn(&mut ready);
    }
    Ok(())
}

/// Another thread of the front.
fn further(beginning: Beginning, source: PingSource) -> Result<(), String> {
    let mut event_loop: EventLoop<'static, Ready> =
        EventLoop::try_new().map_err(|e| format!("the event loop can't be made: {e}"))?;
    let mut front =
        Front::begin(event_loop.handle(), beginning, source).map_err(|e| format!("listen: {e}"))?;
    turns(&mut event_loop, &mut front)
}

/// Ends the process when its thread panics: the others would wait for answers that never come.
struct Ends;

impl Drop for Ends {
    fn drop(&mut self) {
        if std::thread::panicking() {
            error!("{} has panicked; the process ends", std::thread::current().name().unwrap_or("a thread"));
            std::process::exit(i32::from(BROKEN));
        }
    }
}

//! The front: one process on sockets around the decision module, told what to do by `RELAY_CONFIG`.

mod agent_client;
mod classify;
mod clock;
mod connection;
mod counters;
mod discovery;
mod dispatcher;
mod downstream;
mod feature_settings;
mod http_exchange;
mod lifecycle;
mod logging;
mod process_settings;
mod proxy;
mod readiness;
mod release_controller;
mod unary_call;
mod upstream;
mod watch_stream;
mod worker_id;
mod workers;

use std::path::PathBuf;
use std::process::ExitCode;

use calloop::EventLoop;
use calloop::ping::PingSource;
use calloop::signals::{Signal, Signals};
use clap::Parser;
use tracing::error;

use feature_settings::FeatureSettings;
use process_settings::ProcessSettings;
use proxy::{Proxy, WorkerSeed};
use readiness::{PendingWork, TurnInputs};

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
    logging::start();
    // Before all else: a signal that comes while the configuration is read waits, and ends nothing.
    let watched = [Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP, Signal::SIGUSR1];
    let signals = match Signals::new(&watched) {
        Ok(signals) => signals,
        Err(e) => {
            error!("signals can't be watched: {e}");
            return ExitCode::FAILURE;
        }
    };
    let process = match ProcessSettings::read(|name| std::env::var(name).ok()) {
        Ok(process) => process,
        Err(message) => {
            error!("configuration: {message}");
            return ExitCode::from(CONFIGURATION);
        }
    };
    let extras = arguments
        .extras
        .map_or(Ok(FeatureSettings::default()), |path| FeatureSettings::read(&path, &process.settings));
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

fn run(process: ProcessSettings, extras: &FeatureSettings, signals: Signals) -> Result<(), String> {
    let mut event_loop: EventLoop<'static, TurnInputs> =
        EventLoop::try_new().map_err(|e| format!("the event loop can't be made: {e}"))?;
    let handle = event_loop.handle();
    let noted = |event: calloop::signals::Event, _: &mut (), ready: &mut TurnInputs| {
        ready.pending_work.push(match event.signal() {
            Signal::SIGUSR1 => PendingWork::PrintCounters,
            Signal::SIGHUP => PendingWork::Reload,
            _ => PendingWork::Stop,
        });
    };
    handle.insert_source(signals, noted).map_err(|e| format!("signals can't be watched: {e}"))?;
    let listen = process.listen;
    let (mut front, others) =
        Proxy::new(handle, process, extras).map_err(|e| format!("listen: {listen}: {e}"))?;
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

fn turns(event_loop: &mut EventLoop<'static, TurnInputs>, front: &mut Proxy) -> Result<(), String> {
    let mut ready = TurnInputs::default();
    while !front.is_stopped() {
        event_loop
            .dispatch(front.poll_timeout(), &mut ready)
            .map_err(|e| format!("the event loop broke: {e}"))?;
        front.turn(&mut ready);
    }
    Ok(())
}

/// Another thread of the front.
fn further(beginning: WorkerSeed, source: PingSource) -> Result<(), String> {
    let mut event_loop: EventLoop<'static, TurnInputs> =
        EventLoop::try_new().map_err(|e| format!("the event loop can't be made: {e}"))?;
    let mut front =
        Proxy::start_worker(event_loop.handle(), beginning, source).map_err(|e| format!("listen: {e}"))?;
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

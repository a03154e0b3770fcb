//! The threads of the process, each with an event loop and a worker on it.

use std::io;
use std::net::SocketAddr;
use std::thread::JoinHandle;

use calloop::EventLoop;
use calloop::signals::{Event as SignalEvent, Signal, Signals};
use tracing::error;

use crate::feature_settings::FeatureSettings;
use crate::process_settings::ProcessSettings;
use crate::proxy::{Proxy, WorkerSeed};
use crate::readiness::{PendingWork, TurnInputs};

/// Exit code when a thread has panicked or can't go on.
const EXIT_THREAD_FAILED: i32 = 70;

/// Why the process could not start, or not go on.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RunError {
    /// The system refused to hand over signals.
    #[error("signals can't be watched: {0}")]
    WatchSignals(#[source] calloop::Error),
    /// An event loop could not be created.
    #[error("the event loop can't be made: {0}")]
    CreateEventLoop(#[source] calloop::Error),
    /// An event loop stopped working.
    #[error("the event loop broke: {0}")]
    DispatchEvents(#[source] calloop::Error),
    /// The listening address could not be taken, or there were no descriptors for the workers.
    #[error("listen: {address}: {source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// A further worker could not use the listening socket.
    #[error("listen: {0}")]
    ShareListener(#[source] io::Error),
    /// A worker's thread could not be started.
    #[error("a thread can't be started: {0}")]
    SpawnThread(#[source] io::Error),
}

/// Takes over the signals that the process answers. Those that come from now on wait until the event loop runs.
///
/// # Errors
/// When the system refuses to hand them over.
pub(crate) fn watch_signals() -> Result<Signals, RunError> {
    let signals = [Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP, Signal::SIGUSR1];
    Signals::new(&signals).map_err(RunError::WatchSignals)
}

/// Runs the workers until the process has been signalled to stop and has answered its clients.
///
/// # Errors
/// When something that the workers need can't be had at the start, or the first event loop breaks. A further worker
/// that fails ends the process.
pub(crate) fn run(
    process: ProcessSettings,
    features: &FeatureSettings,
    signals: Signals,
) -> Result<(), RunError> {
    let mut event_loop = new_event_loop()?;
    let handle = event_loop.handle();
    handle.insert_source(signals, on_signal).map_err(|insertion| RunError::WatchSignals(insertion.error))?;
    let address = process.listen;
    let (mut proxy, seeds) =
        Proxy::new(handle, process, features).map_err(|source| RunError::Listen { address, source })?;
    let mut threads = Vec::new();
    for (index, seed) in seeds.into_iter().enumerate() {
        threads.push(spawn_worker(index + 1, seed)?);
    }
    run_turns(&mut event_loop, &mut proxy)?;
    for thread in threads {
        // One that panicked has ended the process.
        let _ = thread.join();
    }
    proxy.print_counters();
    Ok(())
}

fn new_event_loop() -> Result<EventLoop<'static, TurnInputs>, RunError> {
    EventLoop::try_new().map_err(RunError::CreateEventLoop)
}

fn on_signal(event: SignalEvent, _: &mut (), inputs: &mut TurnInputs) {
    let work = match event.signal() {
        Signal::SIGUSR1 => PendingWork::PrintCounters,
        Signal::SIGHUP => PendingWork::Reload,
        _ => PendingWork::Stop,
    };
    inputs.pending_work.push(work);
}

fn spawn_worker(number: usize, seed: WorkerSeed) -> Result<JoinHandle<()>, RunError> {
    let run = move || {
        let _guard = ExitOnPanic;
        if let Err(error) = run_further_worker(seed) {
            error!("{error}");
            std::process::exit(EXIT_THREAD_FAILED);
        }
    };
    std::thread::Builder::new().name(format!("worker {number}")).spawn(run).map_err(RunError::SpawnThread)
}

fn run_further_worker(seed: WorkerSeed) -> Result<(), RunError> {
    let mut event_loop = new_event_loop()?;
    let mut proxy = Proxy::start_worker(event_loop.handle(), seed).map_err(RunError::ShareListener)?;
    run_turns(&mut event_loop, &mut proxy)
}

fn run_turns(event_loop: &mut EventLoop<'static, TurnInputs>, proxy: &mut Proxy) -> Result<(), RunError> {
    let mut inputs = TurnInputs::default();
    while !proxy.is_stopped() {
        event_loop.dispatch(proxy.poll_timeout(), &mut inputs).map_err(RunError::DispatchEvents)?;
        proxy.turn(&mut inputs);
    }
    Ok(())
}

/// Ends the process when its thread panics: the other threads would wait for answers that never come.
struct ExitOnPanic;

impl Drop for ExitOnPanic {
    fn drop(&mut self) {
        if std::thread::panicking() {
            let name = std::thread::current().name().unwrap_or("a thread").to_owned();
            error!("{name} has panicked; the process ends");
            std::process::exit(EXIT_THREAD_FAILED);
        }
    }
}

//! Threads of the process, each with an event loop and a worker.

use std::io;
use std::net::SocketAddr;
use std::thread::JoinHandle;

use calloop::EventLoop;
use calloop::signals::{Event as SignalEvent, Signal, Signals};
use tracing::error;

use crate::feature_settings::FeatureSettings;
use crate::process_settings::ProcessSettings;
use crate::proxy::{Proxy, WorkerInit};
use crate::readiness::{Handle, SignalAction, TurnInputs};

/// Exit code when a thread has panicked or failed.
const EXIT_THREAD_FAILED: i32 = 70;

/// Reason why the process could not start or had to end.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RunError {
    /// Signal handling could not be set up.
    #[error("signal handling could not be set up: {0}")]
    WatchSignals(#[source] calloop::Error),
    /// An event loop could not be created.
    #[error("event loop could not be created: {0}")]
    CreateEventLoop(#[source] calloop::Error),
    /// An event loop failed.
    #[error("event loop failed: {0}")]
    DispatchEvents(#[source] calloop::Error),
    /// The listening address could not be bound, or there were no descriptors for the workers.
    #[error("listen: {address}: {source}")]
    Listen {
        /// Configured address.
        address: SocketAddr,
        /// Error of the system.
        source: io::Error,
    },
    /// An additional worker could not use the listening socket.
    #[error("listen: {0}")]
    StartWorker(#[source] io::Error),
    /// A worker's thread could not be started.
    #[error("worker thread could not be started: {0}")]
    SpawnThread(#[source] io::Error),
}

/// Redirects the signals that the process responds to from their default actions to the event loop. Signals
/// that arrive before the loop runs stay pending.
///
/// # Errors
/// Signal handling could not be set up.
pub(crate) fn watch_signals() -> Result<Signals, RunError> {
    let signals = [Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP, Signal::SIGUSR1];
    Signals::new(&signals).map_err(RunError::WatchSignals)
}

/// Runs the workers until the process has received a stop signal and has answered its clients.
///
/// # Errors
/// The workers could not be started, or the first event loop failed. An additional worker that fails
/// terminates the process.
pub(crate) fn run(
    process: ProcessSettings,
    features: &FeatureSettings,
    signals: Signals,
) -> Result<(), RunError> {
    let mut event_loop = new_event_loop()?;
    let handle = Handle::new(event_loop.handle());
    handle
        .event_loop
        .insert_source(signals, on_signal)
        .map_err(|insertion| RunError::WatchSignals(insertion.error))?;
    let address = process.listen;
    let (mut proxy, worker_inits) =
        Proxy::new(handle, process, features).map_err(|source| RunError::Listen { address, source })?;
    let mut threads = Vec::new();
    for (index, init) in worker_inits.into_iter().enumerate() {
        threads.push(spawn_worker(index + 1, init)?);
    }
    run_turns(&mut event_loop, &mut proxy)?;
    for thread in threads {
        // A thread that panicked has already terminated the process.
        let _ = thread.join();
    }
    proxy.log_counters();
    // Dropping the loop would give the signals their default actions back, and one that comes before the exit would kill
    // the process.
    std::mem::forget(event_loop);
    Ok(())
}

fn new_event_loop() -> Result<EventLoop<'static, TurnInputs>, RunError> {
    EventLoop::try_new().map_err(RunError::CreateEventLoop)
}

fn on_signal(event: SignalEvent, _: &mut (), inputs: &mut TurnInputs) {
    let action = match event.signal() {
        Signal::SIGUSR1 => SignalAction::LogCounters,
        Signal::SIGHUP => SignalAction::Reload,
        _ => SignalAction::Stop,
    };
    inputs.signal_actions.push(action);
}

fn spawn_worker(number: usize, init: WorkerInit) -> Result<JoinHandle<()>, RunError> {
    let run = move || {
        let _guard = ExitOnPanic;
        if let Err(error) = run_additional_worker(init) {
            error!("{error}");
            std::process::exit(EXIT_THREAD_FAILED);
        }
    };
    std::thread::Builder::new().name(format!("worker {number}")).spawn(run).map_err(RunError::SpawnThread)
}

fn run_additional_worker(init: WorkerInit) -> Result<(), RunError> {
    let mut event_loop = new_event_loop()?;
    let mut proxy =
        Proxy::start_worker(Handle::new(event_loop.handle()), init).map_err(RunError::StartWorker)?;
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

/// Terminates the process when its thread panics, since the other threads would wait for responses that never
/// come.
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

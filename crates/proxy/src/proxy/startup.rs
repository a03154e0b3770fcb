//! Construction of the workers: the first one, which listens and runs the control plane, and the additional
//! ones.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;

use calloop::ping::PingSource;
use garnetcrank_http::MemoryGauge;
use garnetcrank_policy::api::{Event, Micros};
use garnetcrank_settings::Settings;
use tracing::info;

use super::Proxy;
use super::budgets::{Budgets, max_descriptors, max_retained_ids};
use super::control_plane::ControlPlane;
use super::sweep::SweepSchedule;
use crate::clock::{Clock, Timers};
use crate::counters::Counters;
use crate::dispatcher::Dispatcher;
use crate::downstream::Downstream;
use crate::feature_settings::FeatureSettings;
use crate::logging::LineInterval;
use crate::process_settings::ProcessSettings;
use crate::readiness::{ConnIds, Handle};
use crate::upstream::Upstream;
use crate::worker_id::WorkerId;
use crate::workers::WorkerShared;

/// Initial state of an additional worker, which is sent to the worker's thread.
pub(crate) struct WorkerInit {
    parts: WorkerParts,
    listener: TcpListener,
    wake_source: PingSource,
    /// Gauge that all workers share.
    memory: MemoryGauge,
}

/// Components of a worker, without its event loop and its listener.
struct WorkerParts {
    worker: WorkerId,
    shared: Arc<WorkerShared>,
    clock: Clock,
    settings: Settings,
    budgets: Budgets,
}

impl Proxy {
    /// Opens the listening socket, passes the configured endpoint list and rollout state to the policy, and
    /// returns the first worker with the initial state of the additional ones.
    ///
    /// # Errors
    /// The address can't be listened on, or the system has too few descriptors for the workers.
    pub(crate) fn new(
        handle: Handle,
        process: ProcessSettings,
        features: &FeatureSettings,
    ) -> io::Result<(Self, Vec<WorkerInit>)> {
        let clock = Clock::start();
        let now = clock.now();
        let worker_count = features.worker_count();
        let max_descriptors = max_descriptors(process.sockets);
        let budgets = Budgets::per_worker(&process, features, max_descriptors);
        let max_retained_ids = max_retained_ids(process.memory_mb);
        let dispatcher = Dispatcher::new(process.seed, &process.settings, worker_count, max_retained_ids);
        let (shared, wake_sources) = WorkerShared::new(dispatcher, worker_count)?;
        let shared = Arc::new(shared);
        let downstream = Downstream::listen(&handle, process.listen)?;
        let parts = |worker: WorkerId| WorkerParts {
            worker,
            shared: Arc::clone(&shared),
            clock: clock.clone(),
            settings: process.settings.clone(),
            budgets,
        };
        let mut worker_inits = Vec::new();
        for (number, wake_source) in wake_sources.into_iter().enumerate() {
            let worker = WorkerId(number);
            if worker == WorkerId::FIRST {
                register_wake_source(&handle, wake_source)?;
                continue;
            }
            worker_inits.push(WorkerInit {
                parts: parts(worker),
                listener: downstream.listener()?,
                wake_source,
                memory: handle.memory.clone(),
            });
        }
        let mut proxy = Proxy::from_parts(parts(WorkerId::FIRST), handle, downstream);
        log_start(&process, &budgets, max_descriptors, worker_count);
        proxy.start_control_plane(process, features, now);
        proxy.schedule_sweep(now);
        Ok((proxy, worker_inits))
    }

    /// Creates an additional worker, in its own thread.
    ///
    /// # Errors
    /// The listening socket or the wake-up source can't be registered with the event loop.
    pub(crate) fn start_worker(handle: Handle, init: WorkerInit) -> io::Result<Self> {
        let handle = Handle { memory: init.memory, ..handle };
        register_wake_source(&handle, init.wake_source)?;
        let downstream = Downstream::with_listener(&handle, init.listener)?;
        let now = init.parts.clock.now();
        let mut proxy = Proxy::from_parts(init.parts, handle, downstream);
        proxy.schedule_sweep(now);
        Ok(proxy)
    }

    fn from_parts(parts: WorkerParts, handle: Handle, downstream: Downstream) -> Self {
        let WorkerParts { worker, shared, clock, settings, budgets } = parts;
        Proxy {
            worker,
            shared,
            control_plane: None,
            handle,
            conn_ids: ConnIds::for_worker(worker),
            clock,
            timers: Timers::default(),
            sweeps: SweepSchedule::default(),
            downstream,
            upstream: Upstream::new(settings.transport.clone()),
            counters: Counters::default(),
            settings,
            budgets,
            commands: Vec::new(),
            downstream_events: Vec::new(),
            upstream_events: Vec::new(),
            bad_request_lines: LineInterval::default(),
            withheld_attempt_lines: LineInterval::default(),
            cut_off_lines: LineInterval::default(),
            exposure_cap: None,
        }
    }

    /// Creates the control plane and passes the configured endpoint list and rollout state to the policy.
    fn start_control_plane(&mut self, process: ProcessSettings, features: &FeatureSettings, now: Micros) {
        let control_plane = self.control_plane.insert(ControlPlane::new(&process, features, now));
        let endpoints = control_plane.discovery.load_cached(process.cached_members);
        let rollout = control_plane.release_controller.on_rollout_state(process.rollout_state, now);
        self.apply_discovery_update(endpoints);
        self.apply_rollout_events(rollout.map(Event::RolloutUpdated).into_iter().collect());
    }
}

/// Registers the source with which other workers wake this event loop. Their messages are read in the turn
/// that follows.
fn register_wake_source(handle: &Handle, wake_source: PingSource) -> io::Result<()> {
    match handle.event_loop.insert_source(wake_source, |(), _, _| {}) {
        Ok(_) => Ok(()),
        Err(e) => Err(io::Error::other(e.to_string())),
    }
}

fn log_start(process: &ProcessSettings, budgets: &Budgets, max_descriptors: usize, worker_count: usize) {
    info!(
        instance = %process.name,
        listen = %process.listen,
        max_descriptors,
        max_clients = budgets.clients * worker_count,
        max_requests = budgets.in_flight_requests * worker_count,
        "starting"
    );
    if worker_count > 1 {
        info!(descriptors_per_thread = budgets.descriptors, "running on {worker_count} threads");
    }
}

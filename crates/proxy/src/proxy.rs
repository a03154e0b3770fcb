//! One worker of the proxy, without its event loop. Each turn, which is one iteration of the event loop,
//! processes the reported I/O events, passes them to the policy through the dispatcher, and executes the
//! resulting commands.

mod accept;
mod budgets;
mod client_presence;
mod commands;
mod control_plane;
mod downstream_events;
mod eviction;
mod memory;
mod reload;
mod startup;
mod statistics;
mod sweep;
mod upstream_events;

use std::sync::Arc;
use std::time::Duration;

use calloop::Readiness;
use garnetcrank_policy::api::{Event, Micros};
use garnetcrank_settings::Settings;

use crate::clock::{Clock, Timers};
use crate::counters::Counters;
use crate::dispatcher::Command;
use crate::downstream::{Downstream, DownstreamEvent};
use crate::lifecycle::LifecycleStage;
use crate::logging::LineInterval;
use crate::readiness::{ConnIds, Handle, SignalAction, Source, TurnInputs};
use crate::upstream::{Upstream, UpstreamEvent};
use crate::worker_id::WorkerId;
use crate::workers::{WorkerMessage, WorkerShared};

use budgets::Budgets;
use control_plane::{ControlPlane, ExposureCap};
use sweep::SweepSchedule;

pub(crate) use startup::WorkerInit;

/// Purpose of a timer.
#[derive(Debug, Clone, Copy)]
enum TimerTask {
    /// Return this token to the policy.
    Policy(u64),
    /// Run the sweep with this number.
    Sweep(u64),
}

/// One worker of the proxy.
pub(crate) struct Proxy {
    worker: WorkerId,
    shared: Arc<WorkerShared>,
    /// Present on the first worker only.
    control_plane: Option<ControlPlane>,
    handle: Handle,
    conn_ids: ConnIds,
    clock: Clock,
    timers: Timers<TimerTask>,
    sweeps: SweepSchedule,
    downstream: Downstream,
    upstream: Upstream,
    counters: Counters,
    settings: Settings,
    budgets: Budgets,
    /// Commands that have not been dispatched yet.
    commands: Vec<Command>,
    downstream_events: Vec<DownstreamEvent>,
    upstream_events: Vec<UpstreamEvent>,
    bad_request_lines: LineInterval,
    withheld_attempt_lines: LineInterval,
    cut_off_lines: LineInterval,
    exposure_cap: Option<ExposureCap>,
}

impl Proxy {
    /// Returns how long the event loop may block, or none if it may block until something is ready.
    pub(crate) fn poll_timeout(&self) -> Option<Duration> {
        if self.handle.turn.has_deferred() {
            return Some(Duration::ZERO);
        }
        let now = self.clock.now();
        let deadlines = [
            self.timers.next_due(),
            self.upstream.next_deadline(),
            self.shared.dispatcher().next_deadline(self.worker),
        ];
        let next = deadlines.into_iter().flatten().min()?;
        Some(Duration::from_micros(next.saturating_sub(now)))
    }

    /// Returns whether the process may exit.
    pub(crate) fn is_stopped(&self) -> bool {
        self.lifecycle_stage(self.clock.now()) == LifecycleStage::Stopped
    }

    fn lifecycle_stage(&self, now: Micros) -> LifecycleStage {
        match &self.control_plane {
            Some(control_plane) => control_plane.lifecycle.stage(now),
            None => self.shared.stage(),
        }
    }

    /// Runs one turn: processes all reported I/O events, the control plane first, then the timers that are
    /// due.
    pub(crate) fn turn(&mut self, inputs: &mut TurnInputs) {
        let now = self.clock.now();
        self.handle.turn.begin(&mut inputs.ready_connections);
        self.perform_signal_actions(inputs, now);
        self.process_worker_messages(now);
        self.process_ready_connections(inputs, now);
        self.accept_clients(now);
        self.upstream.expire_attempts(now, &mut self.upstream_events);
        // Responses read in this turn are processed before requests are failed for not having one.
        self.process_upstream_events(now);
        self.shared.dispatcher().expire_overdue(self.worker, now, &mut self.commands);
        self.process_timers(now);
        self.process_until_idle();
        self.end_idle_sweeps(now);
        self.record_turn(now);
    }

    fn perform_signal_actions(&mut self, inputs: &mut TurnInputs, now: Micros) {
        for action in inputs.signal_actions.drain(..) {
            match action {
                SignalAction::LogCounters => self.log_counters(),
                SignalAction::Reload => self.reload(now),
                SignalAction::Stop => self.stop(now),
            }
        }
    }

    /// Begins a graceful shutdown, unless one has already begun.
    fn stop(&mut self, now: Micros) {
        let Some(control_plane) = &mut self.control_plane else { return };
        let Some(response_deadline) = control_plane.lifecycle.stop(now) else { return };
        self.downstream.close_after_response = true;
        self.shared.dispatcher().limit_deadlines(response_deadline);
    }

    fn process_worker_messages(&mut self, now: Micros) {
        if self.shared.worker_count() == 1 {
            return;
        }
        for message in self.shared.take_messages(self.worker) {
            match message {
                WorkerMessage::Command(command) => self.execute(command, now),
                WorkerMessage::EndpointChanged(address) => {
                    self.upstream.update_address(&address, now, &mut self.upstream_events);
                }
                WorkerMessage::ExposureLowered(build) => {
                    self.upstream.end_unsent_attempts_of_build(build, now, &mut self.upstream_events);
                }
            }
        }
    }

    fn process_ready_connections(&mut self, inputs: &mut TurnInputs, now: Micros) {
        // A stable sort, so that connections of the same kind keep the order in which they were reported.
        inputs.ready_connections.sort_by_key(|(source, _)| processing_order(source));
        for (source, readiness) in inputs.ready_connections.drain(..) {
            self.on_ready(source, readiness, now);
        }
    }

    fn on_ready(&mut self, source: Source, readiness: Readiness, now: Micros) {
        match source {
            Source::Discovery(id) => self.on_discovery_ready(id, readiness, now),
            Source::ReleaseController(id) => self.on_release_controller_ready(id, readiness, now),
            Source::Agent(id) => self.on_agent_ready(id, readiness, now),
            Source::Upstream(id) => {
                self.cancel_unsent_without_client(id, now);
                self.upstream.on_ready(id, readiness, now, &mut self.upstream_events);
            }
            Source::Downstream(id) => {
                self.downstream.on_ready(id, readiness, now, &mut self.downstream_events);
            }
            Source::Listener => self.downstream.accept_pending = true,
        }
        self.enforce_memory_budget(now);
    }

    fn process_timers(&mut self, now: Micros) {
        while let Some(task) = self.timers.pop_due(now) {
            match task {
                TimerTask::Policy(token) => self.shared.dispatcher().queue_event(Event::Timer(token)),
                TimerTask::Sweep(number) => self.on_sweep_timer(number, now),
            }
        }
    }

    /// Handles events and executes commands until none are left.
    fn process_until_idle(&mut self) {
        loop {
            let now = self.clock.now();
            self.process_upstream_events(now);
            self.process_downstream_events(now);
            for command in std::mem::take(&mut self.commands) {
                self.dispatch_command(command, now);
            }
            let events_pending = !self.upstream_events.is_empty() || !self.downstream_events.is_empty();
            let handled = self.handle_next_policy_event(now);
            if !handled && !events_pending && self.commands.is_empty() {
                return;
            }
        }
    }

    /// Lets the policy handle the next event, or all queued events if there are several workers. Returns
    /// false if none was queued.
    fn handle_next_policy_event(&mut self, now: Micros) -> bool {
        let mut dispatcher = self.shared.dispatcher();
        let handled = dispatcher.handle_next_event(now, &mut self.commands);
        self.shared.drain_dispatcher(&mut dispatcher, now, &mut self.commands);
        handled
    }
}

/// Returns the position of a source in the processing order. The control plane comes first, so that decisions
/// use the newest updates; then responses, which free capacity for the requests that come last.
fn processing_order(source: &Source) -> u8 {
    match source {
        Source::Discovery(_) | Source::ReleaseController(_) | Source::Agent(_) => 0,
        Source::Upstream(_) => 1,
        Source::Downstream(_) | Source::Listener => 2,
    }
}

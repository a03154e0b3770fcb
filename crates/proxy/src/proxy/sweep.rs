//! Periodic sweep that maintains the connections and advances the lifecycle.

use garnetcrank_policy::api::Micros;

use super::{Proxy, TimerTask};
use crate::clock::MS;
use crate::lifecycle::LifecycleStage;

/// Interval between sweeps, which check for silent watch streams, idle connections and lifecycle transitions.
const SWEEP_INTERVAL: Micros = 20 * MS;
/// Interval between sweeps while nothing is in flight and the control plane is connected. With thousands of
/// idle instances on a host, each wake-up costs CPU time. The fixed timeouts that such a sweep enforces and
/// the agent's silence timeout are 300 ms or longer.
const IDLE_SWEEP_INTERVAL: Micros = 100 * MS;

/// Schedule of the next sweep.
#[derive(Debug, Default)]
pub(super) struct SweepSchedule {
    /// Number of the sweep that was scheduled last. Timers can't be cancelled, so those of earlier sweeps are
    /// ignored.
    last_scheduled: u64,
    /// Whether the next sweep comes after the idle interval.
    idle: bool,
}

impl Proxy {
    /// Schedules the next sweep, replacing any that was scheduled before.
    pub(super) fn schedule_sweep(&mut self, at: Micros) {
        self.sweeps.last_scheduled += 1;
        self.timers.set(at, TimerTask::Sweep(self.sweeps.last_scheduled));
    }

    /// Runs the sweep whose timer has fired, if it is the one that was scheduled last.
    pub(super) fn on_sweep_timer(&mut self, number: u64, now: Micros) {
        if number == self.sweeps.last_scheduled {
            self.sweep(now);
        }
    }

    /// Returns to the short interval as soon as the worker is no longer idle, so that reconnecting does not
    /// wait for the end of the idle interval.
    pub(super) fn end_idle_sweeps(&mut self, now: Micros) {
        if self.sweeps.idle && !self.is_idle(now) {
            self.sweeps.idle = false;
            self.schedule_sweep(now + SWEEP_INTERVAL);
        }
    }

    /// Returns whether nothing but requests needs attention.
    fn is_idle(&self, now: Micros) -> bool {
        let control_plane_is_idle =
            self.control_plane.as_ref().is_none_or(|control_plane| control_plane.is_idle());
        self.lifecycle_stage(now) == LifecycleStage::Serving
            && !self.downstream.accept_pending
            && control_plane_is_idle
    }

    fn sweep(&mut self, now: Micros) {
        // Additional workers learn the lifecycle stage only in their sweeps, so with several workers the
        // interval stays short.
        self.sweeps.idle = self.is_idle(now)
            && self.shared.dispatcher().in_flight_count() == 0
            && self.shared.worker_count() == 1;
        self.schedule_sweep(now + if self.sweeps.idle { IDLE_SWEEP_INTERVAL } else { SWEEP_INTERVAL });
        self.tick_control_plane(now);
        self.upstream.on_tick(now);
        self.downstream.on_tick(now, &mut self.downstream_events);
        self.enforce_memory_budget(now);
        self.advance_lifecycle(now);
        self.apply_lifecycle_stage(now);
    }

    /// Advances the lifecycle, on the first worker on behalf of all.
    fn advance_lifecycle(&mut self, now: Micros) {
        let in_flight = self.shared.dispatcher().in_flight_count();
        let drained =
            in_flight == 0 && self.downstream.is_drained() && self.shared.others_drained(self.worker);
        if let Some(control_plane) = &mut self.control_plane {
            control_plane.lifecycle.on_tick(now, control_plane.discovery.list_received, drained);
            self.shared.set_stage(control_plane.lifecycle.stage(now));
        }
    }

    fn apply_lifecycle_stage(&mut self, now: Micros) {
        let stage = self.shared.stage();
        self.downstream.close_after_response = stage >= LifecycleStage::Draining;
        if stage >= LifecycleStage::NotAccepting && self.downstream.is_listening() {
            // Closing the socket would reset the connections of clients that still wait.
            if self.accept_backlog(now) {
                self.downstream.stop_listening();
            }
        }
        if stage >= LifecycleStage::ClosingIdle {
            self.downstream.close_idle(now);
        }
    }
}

//! The periodic sweep over all connections and the lifecycle.

use garnetcrank_policy::api::Micros;

use super::{Proxy, TimerTask};
use crate::clock::MS;
use crate::lifecycle::LifecycleStage;

/// How often connections are looked after: silent watches, idle connections, the lifecycle.
const SWEEP_INTERVAL: Micros = 20 * MS;
/// The same while nothing is in flight and the control plane is connected: with thousands of idle instances on a host
/// each wake-up costs. No limit that a sweep then enforces is under a second.
const IDLE_SWEEP_INTERVAL: Micros = 100 * MS;

/// Which sweep is planned, and how soon.
#[derive(Debug, Default)]
pub(super) struct SweepSchedule {
    /// Number of the sweep planned last. Timers can't be cancelled; those of earlier sweeps are ignored.
    last_planned: u64,
    /// The next sweep comes after the idle interval.
    idle: bool,
}

impl Proxy {
    /// Plans the next sweep, in place of any planned before.
    pub(super) fn schedule_sweep(&mut self, at: Micros) {
        self.sweeps.last_planned += 1;
        self.timers.set(at, TimerTask::Sweep(self.sweeps.last_planned));
    }

    /// Runs a sweep whose timer has come, if it is the one planned last.
    pub(super) fn on_sweep_timer(&mut self, number: u64, now: Micros) {
        if number == self.sweeps.last_planned {
            self.sweep(now);
        }
    }

    /// Goes back to the short interval as soon as something needs looking after: reconnecting is not made to wait for
    /// the end of the idle interval.
    pub(super) fn end_idle_sweeps(&mut self, now: Micros) {
        if self.sweeps.idle && !self.is_quiet(now) {
            self.sweeps.idle = false;
            self.schedule_sweep(now + SWEEP_INTERVAL);
        }
    }

    /// Whether nothing but requests needs looking after.
    fn is_quiet(&self, now: Micros) -> bool {
        let control_plane_is_idle =
            self.control_plane.as_ref().is_none_or(|control_plane| control_plane.is_idle());
        self.lifecycle_stage(now) == LifecycleStage::Serving
            && !self.downstream.waiting
            && control_plane_is_idle
    }

    fn sweep(&mut self, now: Micros) {
        // A worker without a control plane learns the lifecycle stage in its sweeps alone, so with several workers the
        // interval stays short.
        self.sweeps.idle = self.is_quiet(now)
            && self.shared.dispatcher().in_flight_count() == 0
            && self.shared.worker_count() == 1;
        self.schedule_sweep(now + if self.sweeps.idle { IDLE_SWEEP_INTERVAL } else { SWEEP_INTERVAL });
        self.tick_control_plane(now);
        self.upstream.on_tick(now);
        self.downstream.on_tick(now, &mut self.downstream_events);
        self.advance_lifecycle(now);
        self.apply_lifecycle_stage(now);
    }

    /// The first worker moves the lifecycle on, for all.
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
        self.downstream.closing = stage >= LifecycleStage::Draining;
        if stage >= LifecycleStage::NotAccepting && self.downstream.is_listening() {
            self.accept_backlog(now);
            self.downstream.stop_listening();
        }
        if stage >= LifecycleStage::ClosingIdle {
            self.downstream.close_idle(now);
        }
    }
}

//! Peaks and counters of a worker, and the log line that reports them.

use garnetcrank_policy::api::Micros;
use tracing::{info, warn};

use super::Proxy;
use crate::clock::MS;
use crate::counters::ResourceUsage;

/// Minimum duration of a turn that is logged. A long turn delays every connection of the worker; its cause is
/// a shortage of CPU on the host or slow code in the turn.
const LONG_TURN: Micros = 20 * MS;

impl Proxy {
    /// Records the peaks of a turn that began at `started`, and publishes this worker's state to the others.
    pub(super) fn record_turn(&mut self, started: Micros) {
        let duration = self.clock.now() - started;
        if duration >= LONG_TURN {
            warn!(duration_ms = duration / MS, "long turn of the event loop");
        }
        let client_count = self.downstream.len();
        let upstream_connections = self.upstream.len() as u64;
        let counters = &mut self.counters;
        counters.longest_turn_us = counters.longest_turn_us.max(duration);
        counters.peak_clients = counters.peak_clients.max(client_count as u64);
        counters.peak_upstream_connections = counters.peak_upstream_connections.max(upstream_connections);
        let in_flight = self.shared.dispatcher().in_flight_count() as u64;
        counters.peak_in_flight = counters.peak_in_flight.max(in_flight);
        if self.shared.worker_count() > 1 {
            let drained = self.downstream.is_drained();
            self.shared.publish(self.worker, client_count, drained, &self.counters);
        }
    }

    /// Logs the counters of all workers in one line.
    pub(crate) fn log_counters(&mut self) {
        self.collect_connection_counters();
        let mut total = self.counters.clone();
        for other in self.shared.others_counters(self.worker) {
            total.add(&other);
        }
        let ResourceUsage { peak_memory_kib, cpu_ms } = ResourceUsage::read();
        // One line of `key=value` pairs, in the order that operators' tools expect.
        info!("{total} peak_memory_kib={peak_memory_kib} cpu_ms={cpu_ms}");
    }

    /// Copies the counts that the worker's components keep themselves.
    fn collect_connection_counters(&mut self) {
        let counters = &mut self.counters;
        counters.upstream_connections = self.upstream.opened;
        counters.upstream_reused = self.upstream.reused;
        counters.connection_deferrals = self.handle.turn.deferral_count();
        counters.idle_clients_closed = self.downstream.idle_closed;
        let Some(control_plane) = &self.control_plane else { return };
        counters.discovery_reconnects = control_plane.discovery.reconnects;
        counters.release_controller_reconnects = control_plane.release_controller.reconnects;
        counters.stale_rollout_updates = control_plane.release_controller.stale_updates;
        if let Some(agent) = &control_plane.agent {
            counters.verdicts_forwarded = agent.verdicts_forwarded;
            counters.agent_reconnects = agent.reconnects;
        }
    }
}

//! Limits that end exchanges: their deadlines, the idle limit of streamed responses, and the memory that they take.

use garnetcrank_policy::api::{Micros, Outcome};

use super::exchange::UpstreamConnection;
use super::{CutOffReason, Upstream, UpstreamEvent};
use crate::readiness::ConnId;

impl Upstream {
    /// Returns the time at which the next exchange must be checked.
    pub(crate) fn next_deadline(&self) -> Option<Micros> {
        self.deadlines.first().map(|(at, _)| *at)
    }

    /// Ends the exchanges whose deadline or connect deadline has passed.
    pub(crate) fn expire_attempts(&mut self, now: Micros, events: &mut Vec<UpstreamEvent>) {
        while self.next_deadline().is_some_and(|at| at <= now) {
            let Some((check_at, id)) = self.deadlines.pop_first() else { return };
            self.read_before_expiry(id, now, events);
            let Some(connection) = self.pool.get_mut(id) else { continue };
            let paused = connection.paused;
            let Some(active) = connection.active.as_mut().filter(|active| active.check_at == check_at) else {
                continue;
            };
            if active.is_streaming && paused {
                // Reading is paused because of a slow client, so the endpoint's silence does not count.
                active.restart_idle_limit(now);
            }
            match active.expired_outcome(now) {
                Some(outcome) => {
                    self.report_cut_off(id, CutOffReason::Idle, events);
                    self.finish(id, outcome, None, now, events);
                }
                None => {
                    active.check_at = active.deadline;
                    self.deadlines.insert((active.check_at, id));
                }
            }
        }
    }

    /// Reads a response that has arrived but has not been reported by the event loop yet, so that it counts
    /// as in time.
    fn read_before_expiry(&mut self, id: ConnId, now: Micros, events: &mut Vec<UpstreamEvent>) {
        let Some(connection) = self.pool.get_mut(id) else { return };
        if connection.request_sent() {
            connection.connection.mark_readable();
            self.resume(id, now, events);
        }
    }

    /// Returns the memory of the exchange that takes the most, in bytes.
    pub(crate) fn largest_bytes(&self) -> usize {
        self.largest_exchange().map_or(0, |(bytes, _)| bytes)
    }

    /// Ends the exchange that takes the most memory, and closes its connection.
    pub(crate) fn end_largest_exchange(&mut self, now: Micros, events: &mut Vec<UpstreamEvent>) {
        let Some((_, id)) = self.largest_exchange() else { return };
        self.report_cut_off(id, CutOffReason::Memory, events);
        let request_sent = self.pool.get(id).is_some_and(UpstreamConnection::request_sent);
        let outcome = if request_sent { Outcome::ConnectionLost } else { Outcome::NotSent };
        self.finish(id, outcome, None, now, events);
    }

    fn largest_exchange(&self) -> Option<(usize, ConnId)> {
        let active = self.pool.iter().filter(|(_, connection)| connection.active.is_some());
        active.map(|(id, connection)| (connection.memory_bytes(), *id)).max()
    }

    /// Releases the memory of all buffers that are empty.
    pub(crate) fn release_empty_buffers(&mut self) {
        for connection in self.pool.values_mut() {
            connection.connection.release_empty_buffers();
        }
    }
}

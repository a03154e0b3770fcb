//! The endpoint table, kept from discovery's endpoint list, and the schedule for polling that list.

use std::collections::BTreeMap;

use fastrand::Rng;

use crate::api::{Action, EndpointId, EndpointRecord, EndpointStatus, EndpointUpdate, Micros};
use crate::engine::Policy;
use crate::outlier_detection::EndpointHealth;
use crate::slow_start::SlowStartBudget;
use crate::units::SECOND;

/// Mean delay of the next poll after a first failure; doubled with each further failure.
const INITIAL_POLL_BACKOFF: Micros = SECOND;
/// Maximum mean delay of the next poll; all instances poll the same registry, hence the backoff.
const MAX_POLL_BACKOFF: Micros = 4 * SECOND;

/// An endpoint and what this instance has observed of it.
#[derive(Default)]
pub(crate) struct Endpoint {
    pub(crate) record: EndpointRecord,
    /// Whether the endpoint list reports it as serving.
    pub(crate) active: bool,
    /// Number of this instance's attempts that are open at the endpoint.
    pub(crate) in_flight: u32,
    pub(crate) health: EndpointHealth,
    pub(crate) slow_start: SlowStartBudget,
}

impl Endpoint {
    /// Creates an endpoint whose process has not been observed yet.
    fn new(record: EndpointRecord, slow_start: SlowStartBudget) -> Self {
        Endpoint { record, slow_start, ..Endpoint::default() }
    }

    /// Returns whether `record` describes another process than the existing one.
    fn is_replaced_by(&self, record: &EndpointRecord) -> bool {
        self.record.started != record.started || self.record.build != record.build
    }
}

/// The endpoints that serve, and removed ones that still have open attempts.
#[derive(Default)]
pub(crate) struct EndpointTable {
    endpoints: BTreeMap<EndpointId, Endpoint>,
    /// Endpoints that serve, in the order of the latest random draws.
    active: Vec<EndpointId>,
    /// Time of the last delta that activated or deactivated an endpoint, or of a later snapshot with an
    /// active one. Every such snapshot counts, because it first deactivates all endpoints.
    pub(crate) changed_at: Micros,
}

impl EndpointTable {
    pub(crate) fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: EndpointId) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(&id)
    }

    pub(crate) fn active(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values().filter(|endpoint| endpoint.active)
    }

    pub(crate) fn active_count(&self) -> usize {
        self.active.len()
    }

    /// Draws the endpoint for `position` of a random order; all earlier ones must have been drawn.
    pub(crate) fn draw(&mut self, position: usize, rng: &mut Rng) -> EndpointId {
        let drawn = rng.usize(position..self.active.len());
        self.active.swap(position, drawn);
        self.active[position]
    }

    fn deactivate_all(&mut self) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.active = false;
        }
    }

    /// Updates the table from an entry of the list. `slow_start` is used if it describes a new process.
    fn update(&mut self, now: Micros, record: EndpointRecord, slow_start: SlowStartBudget) {
        let active = record.status == EndpointStatus::Active;
        let endpoint = match self.endpoints.get_mut(&record.endpoint) {
            None => {
                let new = Endpoint::new(record, slow_start);
                self.endpoints.entry(record.endpoint).or_insert(new)
            }
            Some(existing) => {
                if existing.is_replaced_by(&record) {
                    // Only the open attempts outlive the earlier process; observations of it are discarded.
                    let in_flight = existing.in_flight;
                    *existing = Endpoint { in_flight, ..Endpoint::new(record, slow_start) };
                }
                existing
            }
        };
        endpoint.record = record;
        if endpoint.active != active {
            self.changed_at = now;
        }
        endpoint.active = active;
    }

    /// Removes inactive endpoints without open attempts, and rebuilds the list of active ones.
    fn prune(&mut self) {
        self.endpoints.retain(|_, endpoint| endpoint.active || endpoint.in_flight > 0);
        let active = self.endpoints.iter().filter(|(_, endpoint)| endpoint.active);
        self.active = active.map(|(id, _)| *id).collect();
    }
}

/// Schedule of the next poll of the endpoint list.
pub(crate) struct EndpointPoll {
    enabled: bool,
    due_at: Option<Micros>,
    backoff: Micros,
}

impl EndpointPoll {
    pub(crate) fn new(enabled: bool) -> Self {
        EndpointPoll { enabled, due_at: enabled.then_some(0), backoff: INITIAL_POLL_BACKOFF }
    }

    /// Schedules the next poll after a random delay, whose mean is the current backoff.
    fn on_failure(&mut self, now: Micros, rng: &mut Rng) {
        let delay = self.backoff / 2 + rng.u64(0..self.backoff);
        self.due_at = self.enabled.then_some(now + delay);
        self.backoff = (self.backoff * 2).min(MAX_POLL_BACKOFF);
    }

    /// Cancels the next poll: the list is being watched.
    fn on_success(&mut self) {
        self.due_at = None;
        self.backoff = INITIAL_POLL_BACKOFF;
    }

    /// Returns whether a poll is due now, and if so schedules another one in case the response is lost.
    fn take_due(&mut self, now: Micros) -> bool {
        let due = self.due_at.is_some_and(|at| now >= at);
        if due {
            self.due_at = Some(now + 2 * MAX_POLL_BACKOFF);
        }
        due
    }
}

impl Policy {
    pub(crate) fn on_endpoints_updated(&mut self, update: EndpointUpdate) {
        match update {
            EndpointUpdate::Unavailable => self.endpoint_poll.on_failure(self.now, &mut self.rng),
            EndpointUpdate::Delta(records) => {
                self.endpoint_poll.on_success();
                self.update_endpoints(records);
            }
            EndpointUpdate::Snapshot { endpoints: records, cached } => {
                if !cached {
                    self.endpoint_poll.on_success();
                }
                self.endpoints.deactivate_all();
                self.update_endpoints(records);
            }
        }
    }

    fn update_endpoints(&mut self, records: Vec<EndpointRecord>) {
        for record in records {
            self.build_record(record.build);
            let slow_start = self.new_slow_start_budget(&record);
            self.endpoints.update(self.now, record, slow_start);
        }
        self.endpoints.prune();
    }

    pub(crate) fn request_watch_if_due(&mut self) {
        if self.endpoint_poll.take_due(self.now) {
            self.actions.push(Action::WatchEndpoints(true));
        }
    }
}

#[cfg(test)]
mod tests;

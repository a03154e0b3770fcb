//! The endpoint list: what discovery reports, and when to poll it.

use std::collections::BTreeMap;

use fastrand::Rng;

use crate::api::{Action, EndpointId, EndpointRecord, EndpointStatus, EndpointUpdate, Micros};
use crate::engine::Policy;
use crate::outlier_detection::EndpointHealth;
use crate::slow_start::SlowStartBudget;
use crate::units::SECOND;

/// Mean wait to poll the list after a first failure, doubled each time ...
const POLL_BACKOFF_INITIAL: Micros = SECOND;
/// ... up to this: the registry serves all instances.
const POLL_BACKOFF_MAX: Micros = 4 * SECOND;

/// An endpoint, and this instance's own view of it.
#[derive(Default)]
pub(crate) struct Endpoint {
    pub(crate) record: EndpointRecord,
    /// Whether the list says that it serves.
    pub(crate) active: bool,
    /// Attempts of this instance that are open there.
    pub(crate) in_flight: u32,
    pub(crate) health: EndpointHealth,
    pub(crate) slow_start: SlowStartBudget,
}

impl Endpoint {
    /// A process that nothing is known of yet.
    fn new(record: EndpointRecord, slow_start: SlowStartBudget) -> Self {
        Endpoint { record, slow_start, ..Endpoint::default() }
    }

    /// Whether the endpoint's entry in the list names another process than the one known.
    fn is_replaced_by(&self, record: &EndpointRecord) -> bool {
        self.record.started != record.started || self.record.build != record.build
    }
}

/// The endpoints that serve, and those that have left while attempts are still open there.
#[derive(Default)]
pub(crate) struct EndpointTable {
    endpoints: BTreeMap<EndpointId, Endpoint>,
    /// Those that serve, in the order of the latest draws.
    active: Vec<EndpointId>,
    /// When an endpoint last came or went.
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

    /// Draws the endpoint at a position of a random order, of which all earlier positions are drawn already.
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

    /// Takes an entry of the list over; `slow_start` is for a process not known so far.
    fn update(&mut self, now: Micros, record: EndpointRecord, slow_start: SlowStartBudget) {
        let active = record.status == EndpointStatus::Active;
        let endpoint = match self.endpoints.get_mut(&record.endpoint) {
            None => {
                let new = Endpoint::new(record, slow_start);
                self.endpoints.entry(record.endpoint).or_insert(new)
            }
            Some(known) => {
                if known.is_replaced_by(&record) {
                    // What was known of the earlier process is void, what is in flight is not.
                    let in_flight = known.in_flight;
                    *known = Endpoint { in_flight, ..Endpoint::new(record, slow_start) };
                }
                known
            }
        };
        endpoint.record = record;
        if endpoint.active != active {
            self.changed_at = now;
        }
        endpoint.active = active;
    }

    /// Forgets the endpoints that have left and have nothing in flight, and lists those that serve.
    fn prune(&mut self) {
        self.endpoints.retain(|_, endpoint| endpoint.active || endpoint.in_flight > 0);
        let active = self.endpoints.iter().filter(|(_, endpoint)| endpoint.active);
        self.active = active.map(|(id, _)| *id).collect();
    }
}

/// When to poll the endpoint list next.
pub(crate) struct EndpointPoll {
    enabled: bool,
    due_at: Option<Micros>,
    backoff: Micros,
}

impl EndpointPoll {
    pub(crate) fn new(enabled: bool) -> Self {
        EndpointPoll { enabled, due_at: enabled.then_some(0), backoff: POLL_BACKOFF_INITIAL }
    }

    /// A poll has failed: the next one is due after a random wait of the present backoff's mean.
    fn on_failure(&mut self, now: Micros, rng: &mut Rng) {
        let wait = self.backoff / 2 + rng.u64(0..self.backoff);
        self.due_at = self.enabled.then_some(now + wait);
        self.backoff = (self.backoff * 2).min(POLL_BACKOFF_MAX);
    }

    /// The list is being watched: no poll is due.
    fn on_success(&mut self) {
        self.due_at = None;
        self.backoff = POLL_BACKOFF_INITIAL;
    }

    /// Whether a poll is due now; if so the next one is due later, lest the answer is lost.
    fn take_due(&mut self, now: Micros) -> bool {
        let due = self.due_at.is_some_and(|at| now >= at);
        if due {
            self.due_at = Some(now + 2 * POLL_BACKOFF_MAX);
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

//! Connects the policy to the I/O layer without doing I/O itself. Events are queued and handled one at a
//! time, never from within a decision; the policy's actions are returned as [`Command`]s.

mod command;
mod in_flight;
mod request_ids;

#[cfg(test)]
mod tests;

use std::collections::VecDeque;

use garnetcrank_http::{Headers, Request as Message, Response};
use garnetcrank_policy::Policy;
use garnetcrank_policy::api::{
    Action, AttemptResult, Config, EndpointId, Event, Micros, Outcome, Request, RequestId,
};
use garnetcrank_settings::Settings;
use garnetcrank_shared_policy::DecisionStamp;

use crate::classify::Classification;
use crate::readiness::ConnId;
use crate::worker_id::WorkerId;

pub(crate) use command::{Command, ForwardAttempt};
pub(crate) use in_flight::InFlightRequest;

use in_flight::InFlightTable;

/// The policy, the requests in flight, and the events that the policy has not handled yet.
pub(crate) struct Dispatcher {
    policy: Policy,
    config: Config,
    in_flight: InFlightTable,
    /// Upper bound on every request's deadline, set once the process shuts down.
    shutdown_deadline: Option<Micros>,
    /// Updates of the endpoint list and the rollout, which are handled before all other events.
    priority_events: VecDeque<Event>,
    /// Number of priority events that the policy has handled.
    updates_handled: u64,
    events: VecDeque<Event>,
    /// Reused buffer, empty between decisions.
    actions: Vec<Action>,
}

impl Dispatcher {
    /// Creates a policy with no requests in flight. The same seed gives the same random draws. Up to
    /// `max_retained_ids` ids of requests that have ended are refused when they come again.
    pub(crate) fn new(seed: u64, settings: &Settings, worker_count: usize, max_retained_ids: usize) -> Self {
        Dispatcher {
            policy: Policy::new(seed, settings.config.clone()),
            config: settings.config.clone(),
            in_flight: InFlightTable::new(worker_count, max_retained_ids),
            shutdown_deadline: None,
            priority_events: VecDeque::new(),
            updates_handled: 0,
            events: VecDeque::new(),
            actions: Vec::new(),
        }
    }

    /// Returns the number of requests that await their response, on all workers.
    pub(crate) fn in_flight_count(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns the number of requests that await their response on one worker.
    pub(crate) fn in_flight_count_on(&self, worker: WorkerId) -> usize {
        self.in_flight.len_on(worker)
    }

    /// Returns the total size, in bytes, of the requests that await their response, on all workers.
    pub(crate) fn in_flight_bytes(&self) -> usize {
        self.in_flight.memory_bytes()
    }

    /// Returns whether the `Request-Id` is that of an open request or of one that may have run: a request of another
    /// client, or the same request sent again.
    pub(crate) fn is_duplicate(&mut self, message: &Message, now: Micros) -> bool {
        self.in_flight.ids.is_in_use(message, now)
    }

    /// Returns whether a request may have run by an attempt other than the one that is about to begin.
    pub(crate) fn may_have_run_before(&self, id: RequestId) -> bool {
        self.in_flight.ids.may_have_run_before(id)
    }

    /// Returns when [`Dispatcher::expire_overdue`] must next be called for a worker.
    pub(crate) fn next_deadline(&self, worker: WorkerId) -> Option<Micros> {
        self.in_flight.next_expiration(worker)
    }

    /// Returns a request that awaits its response.
    pub(crate) fn get(&self, id: RequestId) -> Option<&InFlightRequest> {
        self.in_flight.get_awaiting_response(id)
    }

    /// Queues an update of the endpoint list or the rollout, to be handled before all other queued events.
    pub(crate) fn queue_priority_event(&mut self, event: Event) {
        self.priority_events.push_back(event);
    }

    /// Queues an event of any other kind.
    pub(crate) fn queue_event(&mut self, event: Event) {
        self.events.push_back(event);
    }

    /// Accepts a request from a client and returns its id.
    pub(crate) fn on_request(
        &mut self,
        client: ConnId,
        message: Message,
        classification: Classification,
        now: Micros,
    ) -> RequestId {
        let Classification { class, tenant, timeout, work_hint, is_retry } = classification;
        let own_deadline = now + timeout;
        let deadline = self.shutdown_deadline.map_or(own_deadline, |latest| latest.min(own_deadline));
        let idempotency = self.config.classes[class.0].idempotency;
        let id = self.in_flight.insert(client, message, class, idempotency, deadline);
        let request = Request { id, class, tenant, key: None, deadline, work_hint, is_retry };
        self.events.push_back(Event::Request(request));
        id
    }

    /// Limits the deadlines of current and future requests to `latest`. Called when the process shuts down,
    /// since it may be killed after that time.
    pub(crate) fn limit_deadlines(&mut self, latest: Micros) {
        self.shutdown_deadline = Some(latest);
        self.in_flight.limit_deadlines(latest);
    }

    /// Records that the client has disconnected and no longer waits for the response. Returns the attempt
    /// whose response was being streamed, if any.
    pub(crate) fn on_disconnect(&mut self, id: RequestId) -> Option<usize> {
        self.in_flight.mark_completed(id)?;
        self.events.push_back(Event::ClientDisconnected(id));
        self.in_flight.get(id)?.streaming_attempt
    }

    /// Fails the requests of a worker that have expired. A response that is already being streamed continues.
    ///
    /// Only the worker itself may call this, after reading from its connections: a response may have arrived
    /// that has not been read yet, which no other worker can know.
    pub(crate) fn expire_overdue(&mut self, worker: WorkerId, now: Micros, commands: &mut Vec<Command>) {
        while let Some(id) = self.in_flight.pop_expired(worker, now) {
            let Some(request) = self.get(id) else { continue };
            if request.streaming_attempt.is_some() {
                continue;
            }
            let client = request.client;
            self.on_disconnect(id);
            commands.push(Command::DeadlineExceeded { client });
        }
    }

    /// Starts forwarding an attempt's streamed response. Returns false if the client no longer waits for a
    /// response or another attempt is already streaming one.
    pub(crate) fn on_response_started(
        &mut self,
        id: RequestId,
        attempt: usize,
        headers: Headers,
        commands: &mut Vec<Command>,
    ) -> bool {
        let Some(request) = self.in_flight.get_mut(id) else { return false };
        if !request.awaiting_response || request.streaming_attempt.is_some() {
            return false;
        }
        request.streaming_attempt = Some(attempt);
        commands.push(Command::StartResponse { client: request.client, headers });
        self.events.push_back(Event::ResponseStarted { id, attempt });
        true
    }

    /// Records that an attempt has ended. The request ends with its first successful attempt, or with the end
    /// of the attempt that is streaming its response.
    pub(crate) fn on_attempt_completed(
        &mut self,
        mut result: AttemptResult,
        response: Option<Response>,
        commands: &mut Vec<Command>,
    ) {
        result.request_finished = true;
        if let Some(request) = self.get(result.id) {
            let command = response_command(request, &result, response);
            result.request_finished = command.is_some();
            commands.extend(command);
        }
        if result.request_finished {
            self.in_flight.mark_completed(result.id);
        }
        self.in_flight.ids.attempt_ended(result.id, result.outcome);
        self.events.push_back(Event::AttemptCompleted(result));
    }

    /// Reports an attempt that ended before any byte was sent.
    pub(crate) fn on_attempt_not_started(&mut self, id: RequestId, attempt: usize, outcome: Outcome) {
        let request_finished = self.get(id).is_none();
        self.in_flight.ids.attempt_ended(id, outcome);
        self.events.push_back(Event::AttemptCompleted(AttemptResult {
            id,
            attempt,
            outcome,
            latency: 0,
            request_finished,
            load_report: Vec::new(),
        }));
    }

    /// Lets the policy handle the next event and turns its actions into commands. Returns false if no event
    /// is queued.
    pub(crate) fn handle_next_event(&mut self, now: Micros, commands: &mut Vec<Command>) -> bool {
        let Some(event) = self.next_event() else { return false };
        let finished_request = finished_request(&event);
        let mut actions = std::mem::take(&mut self.actions);
        self.policy.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.perform(now, action, commands);
        }
        self.actions = actions;
        if let Some(id) = finished_request {
            self.in_flight.remove(id);
        }
        true
    }

    fn next_event(&mut self) -> Option<Event> {
        if let Some(update) = self.priority_events.pop_front() {
            self.updates_handled += 1;
            return Some(update);
        }
        self.events.pop_front()
    }

    fn perform(&mut self, now: Micros, action: Action, commands: &mut Vec<Command>) {
        let command = match action {
            Action::Forward { id, endpoint, timeout } => self.forward(now, id, endpoint, timeout),
            Action::Cancel { id, attempt } => Some(Command::Cancel { id, attempt }),
            // If the request is already completed, the event that says so is still queued for the policy.
            Action::Reject { id, retry_after } => {
                self.end_request(id).map(|client| Command::Reject { client, retry_after })
            }
            Action::Fail(id) => self.end_request(id).map(|client| Command::Fail { client }),
            Action::SetTimer { after, token } => Some(Command::SetTimer { at: now + after, token }),
            Action::HealthCheck(endpoint) => Some(Command::HealthCheck(endpoint)),
            Action::CloseIdle(endpoint) => Some(Command::CloseIdle(endpoint)),
            // The deployment platform offers no channel between instances, so gossip is dropped.
            Action::SendGossip { .. } => None,
            Action::WatchEndpoints(watch) => Some(Command::WatchEndpoints(watch)),
            Action::PollEndpoints => Some(Command::PollEndpoints),
            Action::Vote { build, stage, verdict } => Some(Command::CastVote { build, stage, verdict }),
            Action::Log(line) => Some(Command::Log(line)),
        };
        commands.extend(command);
    }

    /// Numbers a new attempt and returns the command that starts it. An attempt that may not start is
    /// reported to the policy as not sent.
    fn forward(
        &mut self,
        now: Micros,
        id: RequestId,
        endpoint: EndpointId,
        timeout: Option<Micros>,
    ) -> Option<Command> {
        let attempt = self.in_flight.begin_attempt(id)?;
        let request = self.in_flight.get(id)?;
        let streamed = self.config.classes[request.class.0].streamed;
        let deadline = timeout.map_or(request.deadline, |timeout| request.deadline.min(now + timeout));
        let allowed = attempt < self.config.max_attempts && (deadline > now || streamed);
        if !allowed || !request.awaiting_response || request.streaming_attempt.is_some() {
            self.on_attempt_not_started(id, attempt, Outcome::NotSent);
            return None;
        }
        let stamp = DecisionStamp { updates: self.updates_handled, decided_at: now };
        Some(Command::Forward(ForwardAttempt { id, attempt, endpoint, deadline, stamp }))
    }

    /// Ends a request as the policy has decided. Returns the client if it still waits for the response.
    fn end_request(&mut self, id: RequestId) -> Option<ConnId> {
        let client = self.in_flight.mark_completed(id);
        self.in_flight.remove(id);
        client
    }
}

/// Returns the command that completes the client's response, if the attempt ends its request.
fn response_command(
    request: &InFlightRequest,
    result: &AttemptResult,
    response: Option<Response>,
) -> Option<Command> {
    let client = request.client;
    let success = result.outcome == Outcome::Success;
    match request.streaming_attempt {
        Some(streaming) if streaming != result.attempt => None,
        Some(_) if success => Some(Command::FinishResponse { client }),
        Some(_) => Some(Command::AbortResponse { client }),
        None if success => response.map(|response| Command::Respond { client, response }),
        None => None,
    }
}

/// Returns the request that is over once the policy has handled this event.
fn finished_request(event: &Event) -> Option<RequestId> {
    match event {
        Event::ClientDisconnected(id) => Some(*id),
        Event::AttemptCompleted(result) if result.request_finished => Some(result.id),
        _ => None,
    }
}

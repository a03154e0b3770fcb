//! Connects the policy to the sockets without touching either a socket or a wire format: events go in one at a
//! time and never from within a decision, the policy's actions come out as [`Command`]s.

mod command;
mod in_flight;

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

/// The policy, the requests in flight, and the events that the policy has not been notified of yet.
pub(crate) struct Dispatcher {
    policy: Policy,
    config: Config,
    in_flight: InFlightTable,
    /// While the process shuts down: every answer is given by then.
    answer_by: Option<Micros>,
    /// Updates of the endpoint list and the rollout, which overtake all other events.
    priority_events: VecDeque<Event>,
    /// Priority events that the policy has handled so far.
    updates_handled: u64,
    events: VecDeque<Event>,
    /// Empty between decisions; kept for its capacity.
    actions: Vec<Action>,
}

impl Dispatcher {
    /// A new policy with nothing in flight. The same seed gives the same random draws.
    pub(crate) fn new(seed: u64, settings: &Settings, worker_count: usize) -> Self {
        Dispatcher {
            policy: Policy::new(seed, settings.config.clone()),
            config: settings.config.clone(),
            in_flight: InFlightTable::new(worker_count),
            answer_by: None,
            priority_events: VecDeque::new(),
            updates_handled: 0,
            events: VecDeque::new(),
            actions: Vec::new(),
        }
    }

    /// Requests that await their answer, on all workers.
    pub(crate) fn in_flight_count(&self) -> usize {
        self.in_flight.len()
    }

    /// Requests that await their answer on one worker.
    pub(crate) fn in_flight_count_of(&self, worker: WorkerId) -> usize {
        self.in_flight.len_on(worker)
    }

    /// Bytes in the bodies of the requests that await their answer, on all workers.
    pub(crate) fn in_flight_bytes(&self) -> usize {
        self.in_flight.body_bytes()
    }

    /// Whether a request with the same `Request-Id` is open: another client's, or one sent again while the first
    /// is still in flight.
    pub(crate) fn is_open(&self, message: &Message) -> bool {
        self.in_flight.is_open(message)
    }

    /// When [`Dispatcher::expire_overdue`] next has something to do for a worker.
    pub(crate) fn next_deadline(&self, worker: WorkerId) -> Option<Micros> {
        self.in_flight.next_expiration(worker)
    }

    /// A request that awaits its answer.
    pub(crate) fn get(&self, id: RequestId) -> Option<&InFlightRequest> {
        self.in_flight.awaiting(id)
    }

    /// Queues an update of the endpoint list or the rollout: it is handled before any other event that waits.
    pub(crate) fn queue_priority_event(&mut self, event: Event) {
        self.priority_events.push_back(event);
    }

    /// Queues any other event.
    pub(crate) fn queue_event(&mut self, event: Event) {
        self.events.push_back(event);
    }

    /// Accepts a request from a client, and returns the number given to it.
    pub(crate) fn on_request(
        &mut self,
        client: ConnId,
        message: Message,
        classification: Classification,
        now: Micros,
    ) -> RequestId {
        let Classification { class, tenant, timeout, work_hint, is_retry } = classification;
        let own_deadline = now + timeout;
        let deadline = self.answer_by.map_or(own_deadline, |latest| latest.min(own_deadline));
        let id = self.in_flight.insert(client, message, class, deadline);
        let request = Request { id, class, tenant, key: None, deadline, work_hint, is_retry };
        self.events.push_back(Event::Request(request));
        id
    }

    /// The process shuts down and may be killed after `latest`: requests in flight and those still to come are
    /// answered by then.
    pub(crate) fn answer_by(&mut self, latest: Micros) {
        self.answer_by = Some(latest);
        self.in_flight.limit_deadlines(latest);
    }

    /// The client has disconnected, so nobody waits for the answer any more. Returns the attempt whose response was
    /// being streamed, if any.
    pub(crate) fn on_disconnect(&mut self, id: RequestId) -> Option<usize> {
        self.in_flight.mark_answered(id)?;
        self.events.push_back(Event::ClientDisconnected(id));
        self.in_flight.get(id)?.streaming_attempt
    }

    /// Fails the requests of a worker that have expired. A stream that has started goes on.
    ///
    /// Only the worker itself may ask for this, after it has read what has arrived on its connections: a response
    /// may lie there unread, and no other worker could know.
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

    /// The streamed response of an attempt has started. False if nobody waits for it any more.
    pub(crate) fn on_response_started(
        &mut self,
        id: RequestId,
        attempt: usize,
        headers: Headers,
        commands: &mut Vec<Command>,
    ) -> bool {
        let Some(request) = self.in_flight.get_mut(id) else { return false };
        if !request.awaiting_answer || request.streaming_attempt.is_some() {
            return false;
        }
        request.streaming_attempt = Some(attempt);
        commands.push(Command::StartResponse { client: request.client, headers });
        self.events.push_back(Event::ResponseStarted { id, attempt });
        true
    }

    /// An attempt has ended. The first one that succeeded ends the request, and so does the end of a stream that had
    /// started.
    pub(crate) fn on_attempt_completed(
        &mut self,
        mut result: AttemptResult,
        response: Option<Response>,
        commands: &mut Vec<Command>,
    ) {
        result.request_finished = true;
        if let Some(request) = self.get(result.id) {
            let answer = answer_after(request, &result, response);
            result.request_finished = answer.is_some();
            commands.extend(answer);
        }
        if result.request_finished {
            self.in_flight.mark_answered(result.id);
        }
        self.events.push_back(Event::AttemptCompleted(result));
    }

    /// An attempt ended before anything could be sent.
    pub(crate) fn on_attempt_not_started(&mut self, id: RequestId, attempt: usize, outcome: Outcome) {
        let request_finished = self.get(id).is_none();
        self.events.push_back(Event::AttemptCompleted(AttemptResult {
            id,
            attempt,
            outcome,
            latency: 0,
            request_finished,
            load_report: Vec::new(),
        }));
    }

    /// Has the policy handle the next event and turns its actions into commands. False if no event waits.
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
            // Where nobody waits any more, the policy has not been notified yet.
            Action::Reject { id, retry_after } => {
                self.end_request(id).map(|client| Command::Reject { client, retry_after })
            }
            Action::Fail(id) => self.end_request(id).map(|client| Command::Fail { client }),
            Action::SetTimer { after, token } => Some(Command::SetTimer { at: now + after, token }),
            Action::HealthCheck(endpoint) => Some(Command::HealthCheck(endpoint)),
            Action::CloseIdle(endpoint) => Some(Command::CloseIdle(endpoint)),
            // The platform's pages give instances no way to communicate, so no message leaves.
            Action::SendGossip { .. } => None,
            Action::WatchEndpoints(watch) => Some(Command::WatchEndpoints(watch)),
            Action::PollEndpoints => Some(Command::PollEndpoints),
            Action::Vote { build, stage, verdict } => Some(Command::CastVote { build, stage, verdict }),
            Action::Log(line) => Some(Command::Log(line)),
        };
        commands.extend(command);
    }

    /// Numbers a new attempt. One that may not start is reported to the policy as not sent.
    fn forward(
        &mut self,
        now: Micros,
        id: RequestId,
        endpoint: EndpointId,
        timeout: Option<Micros>,
    ) -> Option<Command> {
        let request = self.in_flight.get_mut(id)?;
        let attempt = request.attempts;
        request.attempts += 1;
        let streamed = self.config.classes[request.class.0].streamed;
        let deadline = timeout.map_or(request.deadline, |timeout| request.deadline.min(now + timeout));
        let allowed = attempt < self.config.max_attempts && (deadline > now || streamed);
        if !allowed || !request.awaiting_answer || request.streaming_attempt.is_some() {
            self.on_attempt_not_started(id, attempt, Outcome::NotSent);
            return None;
        }
        let stamp = DecisionStamp { updates: self.updates_handled, decided_at: now };
        Some(Command::Forward(ForwardAttempt { id, attempt, endpoint, deadline, stamp }))
    }

    /// The policy has ended a request: the client that still waits for its answer, if any.
    fn end_request(&mut self, id: RequestId) -> Option<ConnId> {
        let client = self.in_flight.mark_answered(id);
        self.in_flight.remove(id);
        client
    }
}

/// What the client is to be answered after an attempt, if that ends its request.
fn answer_after(
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

/// The request that is over once the policy has handled this event.
fn finished_request(event: &Event) -> Option<RequestId> {
    match event {
        Event::ClientDisconnected(id) => Some(*id),
        Event::AttemptCompleted(result) if result.request_finished => Some(result.id),
        _ => None,
    }
}

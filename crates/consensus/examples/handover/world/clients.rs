//! Simulated clients that decide and read subjects and record their operations for the linearizability check.

use garnetcrank_consensus::ids::{Sequence, SessionId, Subject, Ticket};
use garnetcrank_consensus::pending_requests::Answer;
use garnetcrank_consensus::replicated_state::{Command, Proposal, Reply};

use super::instance::{Instance, Process, TicketOwner};
use super::network::Packet;
use super::{World, subject};

/// Number of subjects that clients decide and read.
const SUBJECTS: u64 = 6;
/// Number of operations of each client.
const OPERATIONS: u32 = 10;
/// Steps after which a client sends an unanswered request again, to a random instance.
const TIMEOUT_STEPS: u64 = 40;
/// Ticks within which an instance must answer; fewer than the client's time-out, so that the answer arrives in time.
const REQUEST_TICKS: u64 = TIMEOUT_STEPS - 10;

#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Activity {
    OpeningSession,
    Idle,
    Deciding { number: u64, value: Vec<u8> },
    Reading { number: u64 },
}

/// Request that a client has sent.
struct SentRequest {
    /// Ticket of the request; none if the instance was not running.
    ticket: Option<Ticket>,
    retry_at: u64,
}

pub(super) struct Client {
    session: SessionId,
    sequence: u64,
    pub(super) activity: Activity,
    request: Option<SentRequest>,
    pub(super) operations_remaining: u32,
    /// Index of the current operation in the history.
    operation: usize,
}

impl Client {
    pub(super) fn new() -> Self {
        Self {
            session: SessionId(0),
            sequence: 0,
            activity: Activity::OpeningSession,
            request: None,
            operations_remaining: OPERATIONS,
            operation: 0,
        }
    }

    pub(super) fn is_done(&self) -> bool {
        self.activity == Activity::Idle && self.operations_remaining == 0
    }

    /// Returns the subject that the client is reading.
    pub(super) fn subject_read(&self) -> Option<Subject> {
        match self.activity {
            Activity::Reading { number } => Some(subject(number)),
            _ => None,
        }
    }

    fn waits_for(&self, ticket: Ticket) -> bool {
        self.request.as_ref().is_some_and(|request| request.ticket == Some(ticket))
    }

    /// Submits the request of the current activity to an instance.
    fn request(&self, process: &mut Process, ticket: Ticket) {
        match &self.activity {
            Activity::OpeningSession => process.node.open_session(ticket, REQUEST_TICKS),
            Activity::Reading { .. } => process.node.read(ticket, REQUEST_TICKS),
            Activity::Deciding { number, value } => {
                let command = Command::Decide { subject: subject(*number), value: value.clone() };
                let sequence = Sequence(self.sequence);
                let proposal = Proposal { session: self.session, sequence, command };
                process.node.propose(ticket, proposal, REQUEST_TICKS);
            }
            Activity::Idle => {}
        }
    }
}

impl World {
    pub(super) fn step_client(&mut self, position: usize) {
        let client = &self.clients[position];
        if client.request.as_ref().is_some_and(|request| self.now < request.retry_at) {
            return;
        }
        if client.activity == Activity::Idle {
            if client.operations_remaining == 0 || self.rng.u8(..4) != 0 {
                return;
            }
            self.start_operation(position);
        }
        self.send_request(position);
    }

    fn start_operation(&mut self, position: usize) {
        let now = self.now;
        let client = &mut self.clients[position];
        client.operations_remaining -= 1;
        let number = self.rng.u64(..SUBJECTS);
        if self.rng.bool() {
            client.sequence += 1;
            let value = vec![position as u8, client.sequence as u8];
            client.operation = self.history.begin_proposal(number, value.clone(), now);
            client.activity = Activity::Deciding { number, value };
        } else {
            client.operation = self.history.begin_read(number, now);
            client.activity = Activity::Reading { number };
        }
    }

    /// Sends the request to a random instance. A frozen or partitioned instance answers late or never.
    fn send_request(&mut self, position: usize) {
        let receiver = self.rng.usize(..self.instances.len());
        let instance = &mut self.instances[receiver];
        let client = &mut self.clients[position];
        let ticket = if instance.frozen_until > self.now {
            None
        } else {
            new_client_ticket(instance, receiver, position)
        };
        client.request = Some(SentRequest { ticket, retry_at: self.now + TIMEOUT_STEPS });
        if let Some(ticket) = ticket
            && let Some(process) = &mut instance.process
        {
            client.request(process, ticket);
        }
    }

    pub(super) fn deliver_to_client(&mut self, packet: Packet) {
        let Packet::ClientAnswer { client: position, ticket, answer, read_value } = packet else { return };
        if !self.clients[position].waits_for(ticket) {
            return;
        }
        if self.complete_operation(position, answer, read_value) {
            self.clients[position].activity = Activity::Idle;
        }
        // An incomplete operation is sent again, to a random instance, in the client's next step.
        self.clients[position].request = None;
    }

    /// Records the answer; returns whether it completes the current activity.
    fn complete_operation(&mut self, position: usize, answer: Answer, read_value: Option<Vec<u8>>) -> bool {
        let now = self.now;
        let client = &mut self.clients[position];
        match (&client.activity, answer) {
            (Activity::OpeningSession, Answer::Applied(Reply::SessionOpened(session))) => {
                client.session = session;
                true
            }
            (Activity::Deciding { .. }, Answer::Applied(Reply::Decided { value, .. })) => {
                self.history.end_proposal(client.operation, value, now);
                true
            }
            (Activity::Deciding { .. }, Answer::Applied(reply)) => {
                let violation = format!("step {now}: unexpected reply to a decide command: {reply:?}");
                self.report.other.push(violation);
                true
            }
            (Activity::Reading { .. }, Answer::ReadReady) => {
                self.history.end_read(client.operation, read_value, now);
                true
            }
            _ => false,
        }
    }
}

/// Issues a ticket for a client's request. Tickets of different instances and incarnations differ; otherwise a late
/// answer to an earlier request could be taken for the answer to this one.
fn new_client_ticket(instance: &mut Instance, receiver: usize, client: usize) -> Option<Ticket> {
    let process = instance.process.as_mut()?;
    process.next_ticket += 1;
    let ticket = Ticket(instance.starts << 48 | (receiver as u64) << 40 | process.next_ticket);
    process.tickets.insert(ticket, TicketOwner::Client(client));
    Some(ticket)
}

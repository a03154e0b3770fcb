//! Clients that decide and read subjects, and record what they see for the check of linearizability.

use garnetcrank_consensus::ids::{Sequence, SessionId, Subject, Ticket};
use garnetcrank_consensus::pending_requests::Answer;
use garnetcrank_consensus::replicated_state::{Command, Proposal, Reply};

use super::instance::{Instance, Process, TicketOwner};
use super::network::Packet;
use super::{World, subject};

/// Subjects that clients decide.
const SUBJECTS: u64 = 6;
/// Operations of each client.
const OPERATIONS: u32 = 10;
/// Steps that a client waits before it sends its request again, to another instance.
const TIMEOUT_STEPS: u64 = 40;
/// Ticks that an instance may take for the answer: fewer, so that the client gets it in time.
const REQUEST_TICKS: u64 = TIMEOUT_STEPS - 10;

#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Activity {
    OpeningSession,
    Idle,
    Deciding { number: u64, value: Vec<u8> },
    Reading { number: u64 },
}

/// A request that was sent.
struct SentRequest {
    /// None if it went to an instance that does not run.
    ticket: Option<Ticket>,
    retry_at: u64,
}

pub(super) struct Client {
    session: SessionId,
    sequence: u64,
    pub(super) activity: Activity,
    request: Option<SentRequest>,
    pub(super) operations_remaining: u32,
    /// The present operation's number in the history.
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

    /// The subject that it reads at the moment.
    pub(super) fn subject_read(&self) -> Option<Subject> {
        match self.activity {
            Activity::Reading { number } => Some(subject(number)),
            _ => None,
        }
    }

    fn waits_for(&self, ticket: Ticket) -> bool {
        self.request.as_ref().is_some_and(|request| request.ticket == Some(ticket))
    }

    /// Makes the request that the present activity needs.
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
    pub(super) fn client_turn(&mut self, position: usize) {
        let client = &self.clients[position];
        if client.request.as_ref().is_some_and(|request| self.now < request.retry_at) {
            return;
        }
        if client.activity == Activity::Idle {
            if client.operations_remaining == 0 || self.rng.u8(..4) != 0 {
                return;
            }
            self.begin_operation(position);
        }
        self.send_request(position);
    }

    fn begin_operation(&mut self, position: usize) {
        let now = self.now;
        let client = &mut self.clients[position];
        client.operations_remaining -= 1;
        let number = self.rng.u64(..SUBJECTS);
        if self.rng.bool() {
            client.sequence += 1;
            let value = vec![position as u8, client.sequence as u8];
            client.operation = self.history.begin_decide(number, value.clone(), now);
            client.activity = Activity::Deciding { number, value };
        } else {
            client.operation = self.history.begin_read(number, now);
            client.activity = Activity::Reading { number };
        }
    }

    /// Sends the request to any instance. One that is frozen or cut off answers late or never.
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

    pub(super) fn at_client(&mut self, packet: Packet) {
        let Packet::ClientAnswer { client: position, ticket, answer, read_value } = packet else { return };
        if !self.clients[position].waits_for(ticket) {
            return;
        }
        if self.complete_operation(position, answer, read_value) {
            self.clients[position].activity = Activity::Idle;
        }
        // An operation that is not complete is sent again, to another instance, at the next turn.
        self.clients[position].request = None;
    }

    /// Whether the answer completes the present activity.
    fn complete_operation(&mut self, position: usize, answer: Answer, read_value: Option<Vec<u8>>) -> bool {
        let now = self.now;
        let client = &mut self.clients[position];
        match (&client.activity, answer) {
            (Activity::OpeningSession, Answer::Applied(Reply::SessionOpened(session))) => {
                client.session = session;
                true
            }
            (Activity::Deciding { .. }, Answer::Applied(Reply::Decided { value, .. })) => {
                self.history.end_decide(client.operation, value, now);
                true
            }
            (Activity::Deciding { .. }, Answer::Applied(reply)) => {
                let what = format!("step {now}: a decision was answered with {reply:?}");
                self.report.other.push(what);
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

/// A ticket for a client's request. Tickets of different instances and incarnations differ, or a late answer would
/// pass for this one's.
fn new_client_ticket(instance: &mut Instance, receiver: usize, client: usize) -> Option<Ticket> {
    let process = instance.process.as_mut()?;
    process.next_ticket += 1;
    let ticket = Ticket(instance.starts << 48 | (receiver as u64) << 40 | process.next_ticket);
    process.tickets.insert(ticket, TicketOwner::Client(client));
    Some(ticket)
}

//! A proposer with one session and one command in flight at a time. Each command is sent with the same
//! sequence number until it is answered, so that it is applied once regardless of which instances receive it
//! and how often.

use std::collections::VecDeque;

use crate::ids::{Sequence, SessionId};
use crate::pending_requests::Answer;
use crate::replicated_state::{Command, Proposal, Reply};

/// The sequence number of a session's first proposal.
const FIRST_SEQUENCE: Sequence = Sequence(1);

/// The next request to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextProposal {
    /// Request to open a session.
    OpenSession,
    /// Proposal of a command.
    Propose(Proposal),
}

/// The outcome of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// Command applied once, with this reply.
    Applied(Reply),
    /// Outcome unknown because the session has expired: the command was applied once or not at all, and will
    /// not be applied from now on.
    Unknown,
    /// Command abandoned after the maximum number of attempts. It may still be applied, but not after any
    /// later command of this proposer.
    Abandoned,
    /// Command rejected without effect, with the reason.
    Rejected(String),
}

#[derive(Debug)]
struct QueuedCommand<K> {
    key: K,
    command: Command,
    attempts: u32,
}

/// A session and its queue of commands. The caller identifies each command by a key of type `K`.
#[derive(Debug)]
pub struct ProposalQueue<K> {
    session: Option<SessionId>,
    /// The sequence number of the first command in the queue.
    sequence: Sequence,
    queue: VecDeque<QueuedCommand<K>>,
    /// Whether the request for a session or the first command has been sent and is not answered yet.
    in_flight: bool,
    max_queued: usize,
    max_attempts: u32,
}

impl<K> ProposalQueue<K> {
    /// Creates a proposer that queues at most `max_queued` commands and sends each at most `max_attempts`
    /// times.
    pub fn new(max_queued: usize, max_attempts: u32) -> Self {
        Self {
            session: None,
            sequence: FIRST_SEQUENCE,
            queue: VecDeque::new(),
            in_flight: false,
            max_queued,
            max_attempts,
        }
    }

    /// Adds a command to the queue.
    ///
    /// # Errors
    /// Returns the key if the queue is full.
    pub fn submit(&mut self, key: K, command: Command) -> Result<(), K> {
        if self.queue.len() >= self.max_queued {
            return Err(key);
        }
        self.queue.push_back(QueuedCommand { key, command, attempts: 0 });
        Ok(())
    }

    /// Returns the number of queued commands, including the one in flight.
    pub fn pending(&self) -> usize {
        self.queue.len()
    }

    /// Returns the next request to send, if there is one. Its answer must be passed to
    /// [`ProposalQueue::on_answer`].
    pub fn next_proposal(&mut self) -> Option<NextProposal> {
        if self.in_flight {
            return None;
        }
        let first = self.queue.front_mut()?;
        self.in_flight = true;
        let Some(session) = self.session else { return Some(NextProposal::OpenSession) };
        first.attempts += 1;
        let proposal = Proposal { session, sequence: self.sequence, command: first.command.clone() };
        Some(NextProposal::Propose(proposal))
    }

    /// Handles the answer to the last request, and returns a command's key and outcome once the outcome is
    /// known.
    pub fn on_answer(&mut self, answer: Answer) -> Option<(K, ProposalOutcome)> {
        if !self.in_flight {
            return None;
        }
        self.in_flight = false;
        match answer {
            Answer::Applied(Reply::SessionOpened(session)) => {
                self.session = Some(session);
                self.sequence = FIRST_SEQUENCE;
                None
            }
            Answer::Applied(Reply::SessionExpired) => {
                // The outcome is unknown even if the proposal was sent only once: its instance forwards it
                // again when the leader changes, and an earlier copy may have been applied before the session
                // expired.
                self.session = None;
                self.finish_first(ProposalOutcome::Unknown)
            }
            Answer::Applied(reply) => self.finish_first(ProposalOutcome::Applied(reply)),
            Answer::Rejected(reason) => self.finish_first(ProposalOutcome::Rejected(reason)),
            _ if self.attempts_exhausted() => self.finish_first(ProposalOutcome::Abandoned),
            _ => None,
        }
    }

    fn attempts_exhausted(&self) -> bool {
        self.queue.front().is_some_and(|first| first.attempts >= self.max_attempts)
    }

    /// Removes the first command. The higher sequence number of the next one prevents late copies of it from
    /// being applied.
    fn finish_first(&mut self, outcome: ProposalOutcome) -> Option<(K, ProposalOutcome)> {
        self.sequence.0 += 1;
        let finished = self.queue.pop_front()?;
        Some((finished.key, outcome))
    }
}

//! A proposer: one session, one command in flight at a time, each sent again under the same sequence number until it
//! is answered, so that it counts once whichever instance it reaches and however often.

use std::collections::VecDeque;

use crate::ids::{Sequence, SessionId};
use crate::pending_requests::Answer;
use crate::replicated_state::{Command, Proposal, Reply};

/// The sequence number of a session's first proposal.
const FIRST_SEQUENCE: Sequence = Sequence(1);

/// What to send now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextProposal {
    /// Ask for a session.
    OpenSession,
    /// This proposal.
    Propose(Proposal),
}

/// What became of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// Applied once, with this reply.
    Applied(Reply),
    /// The session was lost: the command may have been applied once or not at all, and won't be from here on.
    Unknown,
    /// Given up after too many attempts; it is not applied after any later command of this proposer.
    Abandoned,
    /// Rejected without effect, and why.
    Rejected(String),
}

#[derive(Debug)]
struct QueuedCommand<K> {
    key: K,
    command: Command,
    attempts: u32,
}

/// A session and the commands that wait for it. `K` tells commands apart for the caller.
#[derive(Debug)]
pub struct ProposalQueue<K> {
    session: Option<SessionId>,
    /// The sequence number of the first command in the queue.
    sequence: Sequence,
    queue: VecDeque<QueuedCommand<K>>,
    /// Whether a session was asked for or the first command sent, and no answer has come.
    in_flight: bool,
    max_queued: usize,
    max_attempts: u32,
}

impl<K> ProposalQueue<K> {
    /// A proposer that holds `max_queued` commands and sends each at most `max_attempts` times.
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

    /// One more command, unless too many wait.
    ///
    /// # Errors
    /// The key, if the queue is full.
    pub fn submit(&mut self, key: K, command: Command) -> Result<(), K> {
        if self.queue.len() >= self.max_queued {
            return Err(key);
        }
        self.queue.push_back(QueuedCommand { key, command, attempts: 0 });
        Ok(())
    }

    /// Commands that wait, the one in flight included.
    pub fn pending(&self) -> usize {
        self.queue.len()
    }

    /// What to send now, if anything; its answer goes to [`ProposalQueue::on_answer`].
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

    /// The answer to what was sent; what became of a command, if that is known now.
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
                // Unknown even if it was sent once: its instance forwards a proposal again when the leader changes,
                // and an earlier copy may have been applied before the session's end.
                self.session = None;
                self.finish_first(ProposalOutcome::Unknown)
            }
            Answer::Applied(reply) => self.finish_first(ProposalOutcome::Applied(reply)),
            Answer::Rejected(why) => self.finish_first(ProposalOutcome::Rejected(why)),
            _ if self.attempts_are_spent() => self.finish_first(ProposalOutcome::Abandoned),
            _ => None,
        }
    }

    fn attempts_are_spent(&self) -> bool {
        self.queue.front().is_some_and(|first| first.attempts >= self.max_attempts)
    }

    /// Ends the first command. The next one's higher sequence number keeps late copies of it from being applied.
    fn finish_first(&mut self, outcome: ProposalOutcome) -> Option<(K, ProposalOutcome)> {
        self.sequence.0 += 1;
        let finished = self.queue.pop_front()?;
        Some((finished.key, outcome))
    }
}

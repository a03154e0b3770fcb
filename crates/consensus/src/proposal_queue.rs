//! A proposer: one session, one command under way at a time, each sent again under the same number until it is
//! answered, so that it counts once whichever instance it reaches and however often.

use std::collections::VecDeque;

use crate::ids::{Sequence, SessionId};
use crate::pending_requests::Answer;
use crate::replicated_state::{Command, Proposal, Reply};

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
    /// The session was lost: it may have been applied once or not at all, and won't be from here on.
    Unknown,
    /// Given up; it is not applied after any later command of this proposer.
    Abandoned,
    /// Refused without effect, and why.
    Rejected(String),
}

#[derive(Debug)]
struct Queued<K> {
    key: K,
    command: Command,
    tries: u32,
}

/// A session and the commands that wait for it. `K` tells commands apart for the caller.
#[derive(Debug)]
pub struct ProposalQueue<K> {
    session: Option<SessionId>,
    sequence: Sequence,
    queue: VecDeque<Queued<K>>,
    under_way: bool,
    most: usize,
    tries: u32,
}

impl<K> ProposalQueue<K> {
    /// A proposer that holds `most` commands and sends each at most `tries` times.
    pub fn new(most: usize, tries: u32) -> Self {
        Self { session: None, sequence: Sequence(1), queue: VecDeque::new(), under_way: false, most, tries }
    }

    /// One more command, unless too many wait.
    ///
    /// # Errors
    /// The key, if there is no room.
    pub fn submit(&mut self, key: K, command: Command) -> Result<(), K> {
        if self.queue.len() >= self.most {
            return Err(key);
        }
        self.queue.push_back(Queued { key, command, tries: 0 });
        Ok(())
    }

    /// Commands that wait, the one under way among them.
    pub fn pending(&self) -> usize {
        self.queue.len()
    }

    /// What to send now, if anything; its answer goes to [`Proposer::answered`].
    pub fn next_proposal(&mut self) -> Option<NextProposal> {
        if self.under_way {
            return None;
        }
        let first = self.queue.front_mut()?;
        self.under_way = true;
        let Some(session) = self.session else { return Some(NextProposal::OpenSession) };
        first.tries += 1;
        Some(NextProposal::Propose(Proposal {
            session,
            sequence: self.sequence,
            command: first.command.clone(),
        }))
    }

    fn end(&mut self, outcome: ProposalOutcome) -> Option<(K, ProposalOutcome)> {
        self.sequence.0 += 1;
        self.queue.pop_front().map(|queued| (queued.key, outcome))
    }

    /// The answer to what was sent; what became of a command, if that is known now.
    pub fn on_answer(&mut self, answer: Answer) -> Option<(K, ProposalOutcome)> {
        if !std::mem::take(&mut self.under_way) {
            return None;
        }
        match answer {
            Answer::Applied(Reply::SessionOpened(session)) => {
                self.session = Some(session);
                self.sequence = Sequence(1);
                None
            }
            Answer::Applied(Reply::SessionExpired) => {
                // Even one that was sent once: its instance hands a proposal on again when a leader goes, and an
                // earlier copy may have come before the session's end.
                self.session = None;
                self.end(ProposalOutcome::Unknown)
            }
            Answer::Applied(reply) => self.end(ProposalOutcome::Applied(reply)),
            Answer::Rejected(why) => self.end(ProposalOutcome::Rejected(why)),
            _ if self.queue.front().is_some_and(|first| first.tries >= self.tries) => {
                self.end(ProposalOutcome::Abandoned)
            }
            _ => None,
        }
    }
}

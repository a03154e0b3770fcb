//! The pool of sessions that the engine uses for commands of callers that have no session of their own.

use garnetcrank_consensus::ids::{Sequence, SessionId};
use garnetcrank_consensus::replicated_state::{Command, Proposal};

/// Maximum number of idle sessions in the pool.
const MAX_IDLE_SESSIONS: usize = 64;

/// A session of the engine, used for one command at a time.
#[derive(Debug, Clone, Copy)]
pub(super) struct PooledSession {
    id: SessionId,
    /// Sequence number of the next proposal.
    next_sequence: Sequence,
}

impl PooledSession {
    /// Wraps a session that has just been opened.
    pub(super) fn new(id: SessionId) -> Self {
        Self { id, next_sequence: Sequence(1) }
    }

    /// Builds the session's next proposal.
    pub(super) fn proposal(self, command: Command) -> Proposal {
        Proposal { session: self.id, sequence: self.next_sequence, command }
    }

    /// Returns the session with its sequence number advanced past the applied proposal.
    fn advanced(self) -> Self {
        Self { id: self.id, next_sequence: Sequence(self.next_sequence.0 + 1) }
    }
}

/// The pool of idle sessions.
#[derive(Debug, Default)]
pub(super) struct SessionPool {
    idle: Vec<PooledSession>,
}

impl SessionPool {
    /// Takes an idle session out of the pool, if there is one.
    pub(super) fn take(&mut self) -> Option<PooledSession> {
        self.idle.pop()
    }

    /// Returns a session to the pool. Its last proposal must have been applied: one with an unknown outcome
    /// could still be applied after the session is reused.
    pub(super) fn put_back(&mut self, session: PooledSession) {
        if self.idle.len() < MAX_IDLE_SESSIONS {
            self.idle.push(session.advanced());
        }
    }
}

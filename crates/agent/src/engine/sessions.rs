//! Sessions that the engine keeps open for callers that have none of their own.

use garnetcrank_consensus::ids::{Sequence, SessionId};
use garnetcrank_consensus::replicated_state::{Command, Proposal};

/// Most idle sessions that are kept.
const MAX_IDLE_SESSIONS: usize = 64;

/// A session that one caller at a time uses.
#[derive(Debug, Clone, Copy)]
pub(super) struct PooledSession {
    id: SessionId,
    /// The sequence number of the next proposal.
    next: Sequence,
}

impl PooledSession {
    /// A session that has just been opened.
    pub(super) fn new(id: SessionId) -> Self {
        Self { id, next: Sequence(1) }
    }

    /// The session's next proposal.
    pub(super) fn proposal(self, command: Command) -> Proposal {
        Proposal { session: self.id, sequence: self.next, command }
    }

    /// The session after its proposal has been answered.
    fn advanced(self) -> Self {
        Self { id: self.id, next: Sequence(self.next.0 + 1) }
    }
}

/// The idle sessions.
#[derive(Debug, Default)]
pub(super) struct SessionPool {
    idle: Vec<PooledSession>,
}

impl SessionPool {
    /// Takes a session out, if one is idle.
    pub(super) fn take(&mut self) -> Option<PooledSession> {
        self.idle.pop()
    }

    /// Puts a session back whose proposal has been applied. Only such a session may be used again: in any other its
    /// last proposal may yet be applied.
    pub(super) fn put_back(&mut self, session: PooledSession) {
        if self.idle.len() < MAX_IDLE_SESSIONS {
            self.idle.push(session.advanced());
        }
    }
}

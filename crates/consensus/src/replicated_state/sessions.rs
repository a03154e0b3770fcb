//! Sessions: a proposal that is sent several times is applied once, and later copies get the reply of the
//! first.

use serde::{Deserialize, Serialize};

use super::ReplicatedState;
use super::command::{Command, Proposal, Reply};
use crate::ids::{Index, Sequence, SessionId};

/// Maximum number of sessions. Opening one more evicts the least recently used session.
pub const MAX_SESSIONS: usize = 4096;

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Session {
    /// Sequence number of the last proposal applied.
    sequence: Sequence,
    /// Reply to that proposal.
    reply: Reply,
    /// Log index at which the session was last used.
    #[serde(rename = "used")]
    last_used: Index,
}

impl ReplicatedState {
    /// Returns the number of open sessions.
    pub fn session_count(&self) -> usize {
        self.sessions.len()
    }

    /// Applies the proposal committed at `index`.
    pub fn apply(&mut self, index: Index, proposal: &Proposal) -> Reply {
        self.applied = index;
        if let Command::OpenSession { .. } = proposal.command {
            return self.open_session(index);
        }
        // An earlier copy of the proposal may have been applied before the session was evicted; applying this
        // one could repeat it.
        let Some(session) = self.sessions.get_mut(&proposal.session) else { return Reply::SessionExpired };
        session.last_used = index;
        if proposal.sequence == session.sequence {
            return session.reply.clone();
        }
        if proposal.sequence < session.sequence {
            return Reply::Superseded;
        }
        let reply = self.execute(index, &proposal.command);
        if let Some(session) = self.sessions.get_mut(&proposal.session) {
            session.sequence = proposal.sequence;
            session.reply = reply.clone();
        }
        reply
    }

    fn open_session(&mut self, index: Index) -> Reply {
        if self.sessions.len() >= MAX_SESSIONS {
            self.evict_least_recently_used_session();
        }
        let id = SessionId(index.0);
        let reply = Reply::SessionOpened(id);
        let session = Session { sequence: Sequence(0), reply: reply.clone(), last_used: index };
        self.sessions.insert(id, session);
        reply
    }

    fn evict_least_recently_used_session(&mut self) {
        let oldest = self.sessions.iter().min_by_key(|(id, session)| (session.last_used, **id));
        if let Some(id) = oldest.map(|(id, _)| *id) {
            self.sessions.remove(&id);
        }
    }
}

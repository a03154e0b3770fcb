//! Sessions: a proposal that is sent again is applied once, and its later copies get the reply of the first.

use serde::{Deserialize, Serialize};

use super::ReplicatedState;
use super::command::{Command, Proposal, Reply};
use crate::ids::{Index, Sequence, SessionId};

/// Greatest number of sessions; the least recently used one makes room for a new one.
pub const MAX_SESSIONS: usize = 4096;

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Session {
    /// The latest proposal applied.
    sequence: Sequence,
    /// The reply to it.
    reply: Reply,
    /// The index at which the session was last used.
    #[serde(rename = "used")]
    last_used: Index,
}

impl ReplicatedState {
    /// How many sessions there are.
    pub fn session_count(&self) -> usize {
        self.sessions.len()
    }

    /// Applies the proposal at this index of the log.
    pub fn apply(&mut self, index: Index, proposal: &Proposal) -> Reply {
        self.applied = index;
        if let Command::OpenSession { .. } = proposal.command {
            return self.open_session(index);
        }
        // A copy that comes after its session was evicted could be a second application: it has no effect.
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

//! Queries parts of a replicated state for which it has no accessor, by applying proposals to copies of it.

use garnetcrank_consensus::ids::{Index, Sequence, SessionId, Subject};
use garnetcrank_consensus::replicated_state::{Command, MAX_SESSIONS, Proposal, ReplicatedState, Reply};

/// Builds a proposal whose command is without effect: only the reply to its session and sequence number matters.
pub(crate) fn probe(session: SessionId, sequence: u64) -> Proposal {
    let command = Command::RetireSubjects { space: "probe".to_owned(), below: 0 };
    Proposal { session, sequence: Sequence(sequence), command }
}

/// Returns the last sequence number of a session and the reply to it, which a resent proposal receives again.
pub(crate) fn last_reply(state: &ReplicatedState, session: SessionId) -> Option<(u64, Reply)> {
    (0..1000).find_map(|sequence| {
        let reply = state.clone().apply(Index(state.applied().0 + 1), &probe(session, sequence));
        match reply {
            Reply::SessionExpired | Reply::Superseded => None,
            reply => Some((sequence, reply)),
        }
    })
}

/// Returns the open sessions.
pub(crate) fn sessions(state: &ReplicatedState) -> Vec<SessionId> {
    let is_expired = |id: u64| {
        let reply = state.clone().apply(Index(1000), &probe(SessionId(id), 0));
        reply == Reply::SessionExpired
    };
    (0..=state.applied().0).filter(|id| !is_expired(*id)).map(SessionId).collect()
}

/// Returns the open sessions in the order in which new ones evict them: the least recently used first.
pub(crate) fn sessions_by_use(state: &ReplicatedState) -> Vec<u64> {
    let (mut state, mut remaining) = (state.clone(), sessions(state));
    let mut index = 1000;
    let mut open = |state: &mut ReplicatedState| {
        index += 1;
        let command = Command::OpenSession { nonce: index };
        state.apply(Index(index), &Proposal { session: SessionId(0), sequence: Sequence(0), command });
    };
    while state.session_count() < MAX_SESSIONS {
        open(&mut state);
    }
    let mut order = Vec::new();
    while !remaining.is_empty() {
        open(&mut state);
        let is_evicted =
            |id: &SessionId| state.clone().apply(Index(u64::MAX), &probe(*id, 0)) == Reply::SessionExpired;
        let position = remaining.iter().position(is_evicted).expect("one session is evicted");
        order.push(remaining.remove(position).0);
    }
    order
}

/// Returns the number below which all subjects of a space are retired, if any is.
pub(crate) fn retired_below(state: &ReplicatedState, space: &str) -> Option<u64> {
    let mut state = state.clone();
    let open =
        Proposal { session: SessionId(0), sequence: Sequence(0), command: Command::OpenSession { nonce: 0 } };
    state.apply(Index(2000), &open);
    let command = Command::Decide { subject: Subject::new(space, 0), value: Vec::new() };
    let proposal = Proposal { session: SessionId(2000), sequence: Sequence(1), command };
    match state.apply(Index(2001), &proposal) {
        Reply::Retired { below } => Some(below),
        _ => None,
    }
}

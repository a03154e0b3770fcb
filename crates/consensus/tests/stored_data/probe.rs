//! Finds out what a replicated state holds where it has no question for it: it is asked by proposals to copies of it.

use garnetcrank_consensus::ids::{Index, Sequence, SessionId, Subject};
use garnetcrank_consensus::replicated_state::{Command, MAX_SESSIONS, Proposal, ReplicatedState, Reply};

/// A command that a session that has it already does not run: only its place counts.
pub(crate) fn probe(session: SessionId, sequence: u64) -> Proposal {
    let command = Command::RetireSubjects { space: "probe".to_owned(), below: 0 };
    Proposal { session, sequence: Sequence(sequence), command }
}

/// The place that a session has reached and its last reply, as a proposal that is sent again is answered.
pub(crate) fn last_reply(state: &ReplicatedState, session: SessionId) -> Option<(u64, Reply)> {
    (0..1000).find_map(|sequence| {
        let reply = state.clone().apply(Index(state.applied().0 + 1), &probe(session, sequence));
        match reply {
            Reply::SessionExpired | Reply::Superseded => None,
            reply => Some((sequence, reply)),
        }
    })
}

/// The sessions held.
pub(crate) fn sessions(state: &ReplicatedState) -> Vec<SessionId> {
    let lost = |id: u64| {
        let reply = state.clone().apply(Index(1000), &probe(SessionId(id), 0));
        reply == Reply::SessionExpired
    };
    (0..=state.applied().0).filter(|id| !lost(*id)).map(SessionId).collect()
}

/// The sessions in the order in which they make room for others: the one used longest ago first.
pub(crate) fn sessions_by_use(state: &ReplicatedState) -> Vec<u64> {
    let (mut state, mut left) = (state.clone(), sessions(state));
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
    while !left.is_empty() {
        open(&mut state);
        let gone =
            |id: &SessionId| state.clone().apply(Index(u64::MAX), &probe(*id, 0)) == Reply::SessionExpired;
        let at = left.iter().position(gone).expect("one session makes room");
        order.push(left.remove(at).0);
    }
    order
}

/// The lowest number of a space that is not retired.
pub(crate) fn retired_below(state: &ReplicatedState, space: &str) -> Option<u64> {
    let mut state = state.clone();
    let open =
        Proposal { session: SessionId(0), sequence: Sequence(0), command: Command::OpenSession { nonce: 0 } };
    state.apply(Index(2000), &open);
    let command = Command::Decide { subject: Subject::new(space, 0), value: Vec::new() };
    let decide = Proposal { session: SessionId(2000), sequence: Sequence(1), command };
    match state.apply(Index(2001), &decide) {
        Reply::Retired { below } => Some(below),
        _ => None,
    }
}

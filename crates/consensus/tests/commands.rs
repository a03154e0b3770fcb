//! Tests the guarantees of each command: a subject is decided once, a session applies a command once, and epochs only
//! increase.

use garnetcrank_consensus::ids::{Epoch, Index, InstanceId, Role, Sequence, SessionId, Subject};
use garnetcrank_consensus::replicated_state::{
    Command, MAX_SESSIONS, Member, Proposal, ReplicatedState, Reply,
};

fn member(id: u64) -> Member {
    Member { id: InstanceId(id), name: format!("n{id}"), address: String::new() }
}

/// A replicated state and one open session that proposes commands to it.
struct TestSession {
    state: ReplicatedState,
    index: u64,
    id: SessionId,
    sequence: u64,
}

impl TestSession {
    fn new() -> Self {
        let mut state = ReplicatedState::with_members([member(1), member(2)]);
        let open = Proposal {
            session: SessionId(0),
            sequence: Sequence(0),
            command: Command::OpenSession { nonce: 1 },
        };
        assert_eq!(state.apply(Index(1), &open), Reply::SessionOpened(SessionId(1)));
        Self { state, index: 1, id: SessionId(1), sequence: 0 }
    }

    fn resend(&mut self, sequence: u64, command: &Command) -> Reply {
        self.index += 1;
        let sequence = Sequence(sequence);
        self.state
            .apply(Index(self.index), &Proposal { session: self.id, sequence, command: command.clone() })
    }

    fn propose(&mut self, command: Command) -> Reply {
        self.sequence += 1;
        self.resend(self.sequence, &command)
    }
}

fn orders() -> Role {
    Role("orders".into())
}

fn acquire(holder: u64, expected_epoch: u64) -> Command {
    Command::AcquireLease {
        role: orders(),
        holder: InstanceId(holder),
        expected_epoch: Epoch(expected_epoch),
        ttl: 100,
    }
}

fn dispatch(epoch: u64, number: u64) -> Command {
    Command::DispatchOrder { role: orders(), epoch: Epoch(epoch), order: Subject::new("order", number) }
}

fn resolve(epoch: u64, number: u64, executed: bool) -> Command {
    Command::ResolveOrder {
        role: orders(),
        epoch: Epoch(epoch),
        order: Subject::new("order", number),
        executed,
    }
}

#[test]
fn the_first_decision_is_final() {
    let mut session = TestSession::new();
    let decide = |value: u8| Command::Decide { subject: Subject::new("condemned", 42), value: vec![value] };
    assert_eq!(session.propose(decide(1)), Reply::Decided { value: vec![1], first: true });
    assert_eq!(session.propose(decide(2)), Reply::Decided { value: vec![1], first: false });
}

#[test]
fn a_resent_proposal_is_applied_once() {
    let mut session = TestSession::new();
    assert_eq!(session.propose(acquire(1, 0)), Reply::LeaseAcquired(Epoch(1)));
    assert_eq!(
        session.resend(1, &acquire(1, 0)),
        Reply::LeaseAcquired(Epoch(1)),
        "a resent proposal gets the reply to the first attempt"
    );
    assert_eq!(session.state.lease(&orders()).unwrap().epoch, Epoch(1));
    session.propose(Command::RenewLease { role: orders(), epoch: Epoch(1) });
    assert_eq!(session.resend(1, &acquire(1, 0)), Reply::Superseded);
    session.id = SessionId(999);
    assert_eq!(session.resend(9, &acquire(1, 1)), Reply::SessionExpired);
    assert_eq!(
        session.state.lease(&orders()).unwrap().epoch,
        Epoch(1),
        "a command without a session has no effect"
    );
}

#[test]
fn a_new_epoch_invalidates_all_lower_epochs() {
    let mut session = TestSession::new();
    session.propose(acquire(1, 0));
    assert_eq!(session.propose(dispatch(1, 5)), Reply::Dispatched(Epoch(1)));
    assert_eq!(
        session.propose(acquire(2, 0)),
        Reply::StaleEpoch { current: Epoch(1) },
        "of two instances that saw no holder, only the first acquires the lease"
    );
    assert_eq!(session.propose(acquire(2, 1)), Reply::LeaseAcquired(Epoch(2)));
    assert_eq!(session.propose(dispatch(1, 6)), Reply::StaleEpoch { current: Epoch(2) });
    assert_eq!(
        session.propose(Command::RenewLease { role: orders(), epoch: Epoch(1) }),
        Reply::StaleEpoch { current: Epoch(2) }
    );
    assert_eq!(session.propose(resolve(1, 5, false)), Reply::StaleEpoch { current: Epoch(2) });
}

#[test]
fn an_order_in_doubt_is_dispatched_again_only_once_the_gate_reports_it_not_executed() {
    let mut session = TestSession::new();
    session.propose(acquire(1, 0));
    session.propose(dispatch(1, 5));
    session.propose(dispatch(1, 6));
    assert_eq!(
        session.propose(resolve(1, 5, false)),
        Reply::InDoubt(Epoch(1)),
        "the order may still be in transit to the gate"
    );
    session.propose(acquire(2, 1));
    assert_eq!(session.propose(dispatch(2, 5)), Reply::InDoubt(Epoch(1)));
    assert_eq!(session.propose(resolve(2, 5, false)), Reply::Done);
    assert_eq!(session.propose(dispatch(2, 5)), Reply::Dispatched(Epoch(2)));
    assert_eq!(session.propose(resolve(2, 6, true)), Reply::Done);
    assert_eq!(session.propose(dispatch(2, 6)), Reply::Executed(Epoch(1)));
}

#[test]
fn a_notice_replaces_the_members_previous_one_and_is_removed_with_the_member() {
    let mut session = TestSession::new();
    let publish = |from, value: Option<u8>| Command::PublishNotice {
        from: InstanceId(from),
        topic: "trust".into(),
        value: value.map(|v| vec![v]),
    };
    assert_eq!(session.propose(publish(1, Some(1))), Reply::Done);
    session.propose(publish(2, Some(2)));
    session.propose(publish(1, Some(3)));
    let published =
        |s: &TestSession| s.state.notices("trust").map(|(id, n)| (id.0, n.value[0])).collect::<Vec<_>>();
    assert_eq!(published(&session), [(1, 3), (2, 2)]);
    session.propose(publish(1, None));
    assert_eq!(published(&session), [(2, 2)]);
    session.index += 1;
    session.state.remove_member(Index(session.index), InstanceId(2));
    assert!(published(&session).is_empty());
    assert!(matches!(session.propose(publish(2, Some(1))), Reply::Rejected(_)));
}

#[test]
fn a_retired_subject_is_not_decided_again() {
    let mut session = TestSession::new();
    let decide = |n| Command::Decide { subject: Subject::new("condemned", n), value: vec![] };
    session.propose(decide(3));
    session.propose(decide(9));
    assert_eq!(session.propose(Command::RetireSubjects { space: "condemned".into(), below: 5 }), Reply::Done);
    assert_eq!(session.propose(decide(3)), Reply::Retired { below: 5 });
    assert_eq!(session.state.subjects("condemned", 0).count(), 1);
    session.propose(Command::RetireSubjects { space: "condemned".into(), below: 2 });
    assert_eq!(
        session.propose(decide(3)),
        Reply::Retired { below: 5 },
        "the retirement bound never decreases"
    );
}

#[test]
fn a_removed_member_loses_its_leases_permanently() {
    let mut session = TestSession::new();
    session.propose(acquire(2, 0));
    session.index += 1;
    session.state.remove_member(Index(session.index), InstanceId(2));
    assert_eq!(session.propose(dispatch(1, 5)), Reply::StaleEpoch { current: Epoch(2) });
    assert!(matches!(session.propose(acquire(2, 2)), Reply::Rejected(_)));
    assert_eq!(session.propose(acquire(1, 2)), Reply::LeaseAcquired(Epoch(3)));
}

#[test]
fn the_least_recently_used_sessions_are_evicted() {
    let mut session = TestSession::new();
    session.propose(acquire(1, 0));
    for n in 0..MAX_SESSIONS as u64 + 10 {
        session.index += 1;
        let open = Proposal {
            session: SessionId(0),
            sequence: Sequence(0),
            command: Command::OpenSession { nonce: n },
        };
        session.state.apply(Index(session.index), &open);
        if n % 100 == 0 {
            assert_eq!(session.propose(Command::RenewLease { role: orders(), epoch: Epoch(1) }), Reply::Done);
        }
    }
    assert_eq!(session.state.session_count(), MAX_SESSIONS);
}

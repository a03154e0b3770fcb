//! What each command promises: subjects are decided once, sessions apply a command once, epochs only grow.

use garnetcrank_consensus::ids::{Epoch, Index, InstanceId, Role, Sequence, SessionId, Subject};
use garnetcrank_consensus::replicated_state::{
    Command, MAX_SESSIONS, Member, Proposal, ReplicatedState, Reply,
};

fn member(id: u64) -> Member {
    Member { id: InstanceId(id), name: format!("n{id}"), address: String::new() }
}

struct Run {
    state: ReplicatedState,
    index: u64,
    session: SessionId,
    sequence: u64,
}

impl Run {
    fn new() -> Self {
        let mut state = ReplicatedState::with_members([member(1), member(2)]);
        let open = Proposal {
            session: SessionId(0),
            sequence: Sequence(0),
            command: Command::OpenSession { nonce: 1 },
        };
        assert_eq!(state.apply(Index(1), &open), Reply::SessionOpened(SessionId(1)));
        Self { state, index: 1, session: SessionId(1), sequence: 0 }
    }

    fn resend(&mut self, sequence: u64, command: &Command) -> Reply {
        self.index += 1;
        let sequence = Sequence(sequence);
        self.state
            .apply(Index(self.index), &Proposal { session: self.session, sequence, command: command.clone() })
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
    let mut run = Run::new();
    let decide = |value: u8| Command::Decide { subject: Subject::new("condemned", 42), value: vec![value] };
    assert_eq!(run.propose(decide(1)), Reply::Decided { value: vec![1], first: true });
    assert_eq!(run.propose(decide(2)), Reply::Decided { value: vec![1], first: false });
}

#[test]
fn a_proposal_sent_again_is_the_same_proposal() {
    let mut run = Run::new();
    assert_eq!(run.propose(acquire(1, 0)), Reply::LeaseAcquired(Epoch(1)));
    assert_eq!(
        run.resend(1, &acquire(1, 0)),
        Reply::LeaseAcquired(Epoch(1)),
        "a copy gets the first one's reply"
    );
    assert_eq!(run.state.lease(&orders()).unwrap().epoch, Epoch(1));
    run.propose(Command::RenewLease { role: orders(), epoch: Epoch(1) });
    assert_eq!(run.resend(1, &acquire(1, 0)), Reply::Superseded);
    run.session = SessionId(999);
    assert_eq!(run.resend(9, &acquire(1, 1)), Reply::SessionExpired);
    assert_eq!(run.state.lease(&orders()).unwrap().epoch, Epoch(1), "no effect without a session");
}

#[test]
fn an_epoch_deposes_all_lower_ones() {
    let mut run = Run::new();
    run.propose(acquire(1, 0));
    assert_eq!(run.propose(dispatch(1, 5)), Reply::Dispatched(Epoch(1)));
    assert_eq!(
        run.propose(acquire(2, 0)),
        Reply::StaleEpoch { current: Epoch(1) },
        "two that both saw no holder: one wins"
    );
    assert_eq!(run.propose(acquire(2, 1)), Reply::LeaseAcquired(Epoch(2)));
    assert_eq!(run.propose(dispatch(1, 6)), Reply::StaleEpoch { current: Epoch(2) });
    assert_eq!(
        run.propose(Command::RenewLease { role: orders(), epoch: Epoch(1) }),
        Reply::StaleEpoch { current: Epoch(2) }
    );
    assert_eq!(run.propose(resolve(1, 5, false)), Reply::StaleEpoch { current: Epoch(2) });
}

#[test]
fn an_order_in_doubt_is_dispatched_again_only_after_the_gate_says_it_was_not_executed() {
    let mut run = Run::new();
    run.propose(acquire(1, 0));
    run.propose(dispatch(1, 5));
    run.propose(dispatch(1, 6));
    assert_eq!(
        run.propose(resolve(1, 5, false)),
        Reply::InDoubt(Epoch(1)),
        "it may be on its way to the gate"
    );
    run.propose(acquire(2, 1));
    assert_eq!(run.propose(dispatch(2, 5)), Reply::InDoubt(Epoch(1)));
    assert_eq!(run.propose(resolve(2, 5, false)), Reply::Done);
    assert_eq!(run.propose(dispatch(2, 5)), Reply::Dispatched(Epoch(2)));
    assert_eq!(run.propose(resolve(2, 6, true)), Reply::Done);
    assert_eq!(run.propose(dispatch(2, 6)), Reply::Executed(Epoch(1)));
}

#[test]
fn a_notice_replaces_its_members_last_one_and_goes_with_the_member() {
    let mut run = Run::new();
    let publish = |from, value: Option<u8>| Command::PublishNotice {
        from: InstanceId(from),
        topic: "trust".into(),
        value: value.map(|v| vec![v]),
    };
    assert_eq!(run.propose(publish(1, Some(1))), Reply::Done);
    run.propose(publish(2, Some(2)));
    run.propose(publish(1, Some(3)));
    let published =
        |run: &Run| run.state.notices("trust").map(|(id, n)| (id.0, n.value[0])).collect::<Vec<_>>();
    assert_eq!(published(&run), [(1, 3), (2, 2)]);
    run.propose(publish(1, None));
    assert_eq!(published(&run), [(2, 2)]);
    run.index += 1;
    run.state.remove_member(Index(run.index), InstanceId(2));
    assert!(published(&run).is_empty());
    assert!(matches!(run.propose(publish(2, Some(1))), Reply::Rejected(_)));
}

#[test]
fn what_is_retired_is_not_decided_again() {
    let mut run = Run::new();
    let decide = |n| Command::Decide { subject: Subject::new("condemned", n), value: vec![] };
    run.propose(decide(3));
    run.propose(decide(9));
    assert_eq!(run.propose(Command::RetireSubjects { space: "condemned".into(), below: 5 }), Reply::Done);
    assert_eq!(run.propose(decide(3)), Reply::Retired { below: 5 });
    assert_eq!(run.state.subjects("condemned", 0).count(), 1);
    run.propose(Command::RetireSubjects { space: "condemned".into(), below: 2 });
    assert_eq!(run.propose(decide(3)), Reply::Retired { below: 5 }, "the bound never falls");
}

#[test]
fn a_member_that_is_removed_loses_its_roles_for_good() {
    let mut run = Run::new();
    run.propose(acquire(2, 0));
    run.index += 1;
    run.state.remove_member(Index(run.index), InstanceId(2));
    assert_eq!(run.propose(dispatch(1, 5)), Reply::StaleEpoch { current: Epoch(2) });
    assert!(matches!(run.propose(acquire(2, 2)), Reply::Rejected(_)));
    assert_eq!(run.propose(acquire(1, 2)), Reply::LeaseAcquired(Epoch(3)));
}

#[test]
fn the_least_recently_used_sessions_are_evicted() {
    let mut run = Run::new();
    run.propose(acquire(1, 0));
    for n in 0..MAX_SESSIONS as u64 + 10 {
        run.index += 1;
        let open = Proposal {
            session: SessionId(0),
            sequence: Sequence(0),
            command: Command::OpenSession { nonce: n },
        };
        run.state.apply(Index(run.index), &open);
        if n % 100 == 0 {
            assert_eq!(run.propose(Command::RenewLease { role: orders(), epoch: Epoch(1) }), Reply::Done);
        }
    }
    assert_eq!(run.state.session_count(), MAX_SESSIONS);
}

//! What each command promises: subjects are decided once, sessions apply a command once, epochs only grow.

use garnetcrank_consensus::ids::{Epoch, Index, InstanceId, Role, Sequence, SessionId, Subject};
use garnetcrank_consensus::replicated_state::{
    Command, MAX_SESSIONS, Member, Proposal, ReplicatedState, Reply,
};

fn member(id: u64) -> Member {
    Member { id: InstanceId(id), name: format!("n{id}"), address: String::new() }
}

struct Run {
    ledger: ReplicatedState,
    index: u64,
    session: SessionId,
    sequence: u64,
}

impl Run {
    fn new() -> Self {
        let mut ledger = ReplicatedState::with_members([member(1), member(2)]);
        let open = Proposal {
            session: SessionId(0),
            sequence: Sequence(0),
            command: Command::OpenSession { nonce: 1 },
        };
        assert_eq!(ledger.apply(Index(1), &open), Reply::SessionOpened(SessionId(1)));
        Self { ledger, index: 1, session: SessionId(1), sequence: 0 }
    }

    fn again(&mut self, sequence: u64, command: &Command) -> Reply {
        self.index += 1;
        let sequence = Sequence(sequence);
        self.ledger
            .apply(Index(self.index), &Proposal { session: self.session, sequence, command: command.clone() })
    }

    fn go(&mut self, command: Command) -> Reply {
        self.sequence += 1;
        self.again(self.sequence, &command)
    }
}

fn orders() -> Role {
    Role("orders".into())
}

fn take(holder: u64, expect: u64) -> Command {
    Command::AcquireLease {
        role: orders(),
        holder: InstanceId(holder),
        expected_epoch: Epoch(expect),
        ttl: 100,
    }
}

fn hand(epoch: u64, number: u64) -> Command {
    Command::DispatchOrder { role: orders(), epoch: Epoch(epoch), order: Subject::new("order", number) }
}

fn settle(epoch: u64, number: u64, ran: bool) -> Command {
    Command::ResolveOrder {
        role: orders(),
        epoch: Epoch(epoch),
        order: Subject::new("order", number),
        executed: ran,
    }
}

#[test]
fn the_first_decision_stands() {
    let mut run = Run::new();
    let decide = |value: u8| Command::Decide { subject: Subject::new("condemned", 42), value: vec![value] };
    assert_eq!(run.go(decide(1)), Reply::Decided { value: vec![1], first: true });
    assert_eq!(run.go(decide(2)), Reply::Decided { value: vec![1], first: false });
}

#[test]
fn a_proposal_sent_again_is_the_same_proposal() {
    let mut run = Run::new();
    assert_eq!(run.go(take(1, 0)), Reply::LeaseAcquired(Epoch(1)));
    assert_eq!(
        run.again(1, &take(1, 0)),
        Reply::LeaseAcquired(Epoch(1)),
        "a copy gets the first one's reply"
    );
    assert_eq!(run.ledger.lease(&orders()).unwrap().epoch, Epoch(1));
    run.go(Command::RenewLease { role: orders(), epoch: Epoch(1) });
    assert_eq!(run.again(1, &take(1, 0)), Reply::Superseded);
    run.session = SessionId(999);
    assert_eq!(run.again(9, &take(1, 1)), Reply::SessionExpired);
    assert_eq!(run.ledger.lease(&orders()).unwrap().epoch, Epoch(1), "no effect without a session");
}

#[test]
fn an_epoch_deposes_all_lower_ones() {
    let mut run = Run::new();
    run.go(take(1, 0));
    assert_eq!(run.go(hand(1, 5)), Reply::Dispatched(Epoch(1)));
    assert_eq!(
        run.go(take(2, 0)),
        Reply::StaleEpoch { current: Epoch(1) },
        "two who both saw nobody: one wins"
    );
    assert_eq!(run.go(take(2, 1)), Reply::LeaseAcquired(Epoch(2)));
    assert_eq!(run.go(hand(1, 6)), Reply::StaleEpoch { current: Epoch(2) });
    assert_eq!(
        run.go(Command::RenewLease { role: orders(), epoch: Epoch(1) }),
        Reply::StaleEpoch { current: Epoch(2) }
    );
    assert_eq!(run.go(settle(1, 5, false)), Reply::StaleEpoch { current: Epoch(2) });
}

#[test]
fn an_order_in_doubt_is_handed_out_again_only_on_the_gates_word() {
    let mut run = Run::new();
    run.go(take(1, 0));
    run.go(hand(1, 5));
    run.go(hand(1, 6));
    assert_eq!(run.go(settle(1, 5, false)), Reply::InDoubt(Epoch(1)), "it may be on its way to the gate");
    run.go(take(2, 1));
    assert_eq!(run.go(hand(2, 5)), Reply::InDoubt(Epoch(1)));
    assert_eq!(run.go(settle(2, 5, false)), Reply::Done);
    assert_eq!(run.go(hand(2, 5)), Reply::Dispatched(Epoch(2)));
    assert_eq!(run.go(settle(2, 6, true)), Reply::Done);
    assert_eq!(run.go(hand(2, 6)), Reply::Executed(Epoch(1)));
}

#[test]
fn a_notice_is_its_members_last_word_and_goes_with_it() {
    let mut run = Run::new();
    let post = |from, value: Option<u8>| Command::PublishNotice {
        from: InstanceId(from),
        topic: "trust".into(),
        value: value.map(|v| vec![v]),
    };
    assert_eq!(run.go(post(1, Some(1))), Reply::Done);
    run.go(post(2, Some(2)));
    run.go(post(1, Some(3)));
    let held = |run: &Run| run.ledger.notices("trust").map(|(id, n)| (id.0, n.value[0])).collect::<Vec<_>>();
    assert_eq!(held(&run), [(1, 3), (2, 2)]);
    run.go(post(1, None));
    assert_eq!(held(&run), [(2, 2)]);
    run.index += 1;
    run.ledger.remove_member(Index(run.index), InstanceId(2));
    assert!(held(&run).is_empty());
    assert!(matches!(run.go(post(2, Some(1))), Reply::Rejected(_)));
}

#[test]
fn what_is_retired_is_not_decided_again() {
    let mut run = Run::new();
    let decide = |n| Command::Decide { subject: Subject::new("condemned", n), value: vec![] };
    run.go(decide(3));
    run.go(decide(9));
    assert_eq!(run.go(Command::RetireSubjects { space: "condemned".into(), below: 5 }), Reply::Done);
    assert_eq!(run.go(decide(3)), Reply::Retired { below: 5 });
    assert_eq!(run.ledger.subjects("condemned", 0).count(), 1);
    run.go(Command::RetireSubjects { space: "condemned".into(), below: 2 });
    assert_eq!(run.go(decide(3)), Reply::Retired { below: 5 }, "a floor never sinks");
}

#[test]
fn a_member_that_is_removed_loses_its_roles_for_good() {
    let mut run = Run::new();
    run.go(take(2, 0));
    run.index += 1;
    run.ledger.remove_member(Index(run.index), InstanceId(2));
    assert_eq!(run.go(hand(1, 5)), Reply::StaleEpoch { current: Epoch(2) });
    assert!(matches!(run.go(take(2, 2)), Reply::Rejected(_)));
    assert_eq!(run.go(take(1, 2)), Reply::LeaseAcquired(Epoch(3)));
}

#[test]
fn sessions_have_an_end_and_the_used_ones_stay() {
    let mut run = Run::new();
    run.go(take(1, 0));
    for n in 0..MAX_SESSIONS as u64 + 10 {
        run.index += 1;
        let open = Proposal {
            session: SessionId(0),
            sequence: Sequence(0),
            command: Command::OpenSession { nonce: n },
        };
        run.ledger.apply(Index(run.index), &open);
        if n % 100 == 0 {
            assert_eq!(run.go(Command::RenewLease { role: orders(), epoch: Epoch(1) }), Reply::Done);
        }
    }
    assert_eq!(run.ledger.session_count(), MAX_SESSIONS);
}

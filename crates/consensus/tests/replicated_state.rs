//! Property test: the replicated state keeps its guarantees under random commands, with immediate and delayed
//! duplicates.

use std::collections::BTreeMap;

use garnetcrank_consensus::ids::{Epoch, Index, InstanceId, Role, Sequence, SessionId, Subject};
use garnetcrank_consensus::replicated_state::{
    Command, Member, Proposal, ReplicatedState, Reply, SubjectState,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn role() -> Role {
    Role("orders".into())
}

fn command() -> impl Strategy<Value = Command> {
    let (instance, epoch, number) = (1u64..4, 0u64..5, 0u64..6);
    let order = |number| Subject::new("order", number);
    prop_oneof![
        (number.clone(), any::<u8>())
            .prop_map(|(n, v)| Command::Decide { subject: Subject::new("subject", n), value: vec![v] }),
        (instance.clone(), epoch.clone()).prop_map(|(holder, expect)| Command::AcquireLease {
            role: role(),
            holder: InstanceId(holder),
            expected_epoch: Epoch(expect),
            ttl: 10,
        }),
        epoch.clone().prop_map(|e| Command::RenewLease { role: role(), epoch: Epoch(e) }),
        (epoch.clone(), prop::option::of(instance.clone())).prop_map(|(e, to)| Command::ReleaseLease {
            role: role(),
            epoch: Epoch(e),
            successor: to.map(InstanceId),
        }),
        (epoch.clone(), number.clone()).prop_map(move |(e, n)| Command::DispatchOrder {
            role: role(),
            epoch: Epoch(e),
            order: order(n)
        }),
        (epoch, number.clone(), any::<bool>()).prop_map(move |(e, n, ran)| Command::ResolveOrder {
            role: role(),
            epoch: Epoch(e),
            order: order(n),
            executed: ran,
        }),
        (instance, prop::option::of(any::<u8>())).prop_map(|(from, value)| Command::PublishNotice {
            from: InstanceId(from),
            topic: "topic".into(),
            value: value.map(|v| vec![v]),
        }),
        (prop_oneof![Just("subject"), Just("order")], number)
            .prop_map(|(space, below)| Command::RetireSubjects { space: space.into(), below }),
    ]
}

/// The next proposal of one of three sessions.
#[derive(Debug, Clone)]
struct Step {
    session: usize,
    command: Command,
    /// If set, a duplicate is sent in place of the command: of the session's last proposal for 0, of the one before it
    /// for 1, and so on.
    duplicate_of: Option<usize>,
}

fn step() -> impl Strategy<Value = Step> {
    let duplicate_of = prop::option::weighted(0.3, 0usize..4);
    (0usize..3, command(), duplicate_of).prop_map(|(session, command, duplicate_of)| Step {
        session,
        command,
        duplicate_of,
    })
}

fn initial_state() -> ReplicatedState {
    let member = |id| Member { id: InstanceId(id), name: format!("n{id}"), address: String::new() };
    let mut state = ReplicatedState::with_members((1..=3).map(member));
    for index in 1..=3 {
        let command = Command::OpenSession { nonce: index };
        state.apply(Index(index), &Proposal { session: SessionId(0), sequence: Sequence(0), command });
    }
    state
}

/// A replicated state and a second replica of it, with the expected values that are checked after each step.
struct ReplicaChecker {
    state: ReplicatedState,
    replica: ReplicatedState,
    index: u64,
    sent: [Vec<(Proposal, Reply)>; 3],
    decided: BTreeMap<u64, Vec<u8>>,
    retired_below: BTreeMap<String, u64>,
    dispatched_under: BTreeMap<u64, Epoch>,
}

impl ReplicaChecker {
    fn new() -> Self {
        Self {
            state: initial_state(),
            replica: initial_state(),
            index: 3,
            sent: Default::default(),
            decided: BTreeMap::new(),
            retired_below: BTreeMap::new(),
            dispatched_under: BTreeMap::new(),
        }
    }

    fn apply_step(&mut self, step: Step) -> Result<(), TestCaseError> {
        self.index += 1;
        match step.duplicate_of {
            Some(distance) => self.send_duplicate(step.session, distance),
            None => self.send_new(step.session, step.command),
        }
    }

    fn epoch(&self) -> Epoch {
        self.state.lease(&role()).map_or(Epoch(0), |lease| lease.epoch)
    }

    fn send_duplicate(&mut self, session: usize, distance: usize) -> Result<(), TestCaseError> {
        let Some(position) = self.sent[session].len().checked_sub(distance + 1) else { return Ok(()) };
        let (proposal, first) = self.sent[session][position].clone();
        let before = self.state.clone();
        let reply = self.state.apply(Index(self.index), &proposal);
        self.replica.apply(Index(self.index), &proposal);
        // A duplicate of the last proposal gets that proposal's reply; duplicates of earlier ones are superseded.
        prop_assert_eq!(&reply, if distance == 0 { &first } else { &Reply::Superseded });
        prop_assert_eq!(self.state.lease(&role()), before.lease(&role()));
        prop_assert!(self.state.subjects_after(None).eq(before.subjects_after(None)));
        prop_assert!(self.state.notices("topic").eq(before.notices("topic")));
        Ok(())
    }

    fn send_new(&mut self, session: usize, command: Command) -> Result<(), TestCaseError> {
        let before = self.state.clone();
        let epoch_before = self.epoch();
        let sequence = Sequence(self.sent[session].len() as u64 + 1);
        let session_id = SessionId(session as u64 + 1);
        let proposal = Proposal { session: session_id, sequence, command: command.clone() };
        let reply = self.state.apply(Index(self.index), &proposal);
        let replica_reply = self.replica.apply(Index(self.index), &proposal);
        prop_assert_eq!(&reply, &replica_reply, "every replica gives the same reply");
        self.sent[session].push((proposal, reply.clone()));
        let epoch = self.epoch();
        prop_assert!(epoch == epoch_before || epoch.0 == epoch_before.0 + 1);
        self.check_reply(&command, &reply, epoch_before)?;
        self.check_subjects(&before)
    }

    fn check_reply(
        &mut self,
        command: &Command,
        reply: &Reply,
        epoch_before: Epoch,
    ) -> Result<(), TestCaseError> {
        let epoch = self.epoch();
        match (command, reply) {
            (Command::Decide { subject, value }, Reply::Decided { value: held, first }) => {
                let recorded = self.decided.entry(subject.number).or_insert_with(|| value.clone());
                prop_assert_eq!(&*recorded, held);
                prop_assert!(!first || value == held);
                let below = self.retired_below.get("subject").copied().unwrap_or(0);
                prop_assert!(subject.number >= below);
            }
            (
                Command::DispatchOrder { epoch: proposed_epoch, order, .. },
                Reply::Dispatched(dispatched_epoch),
            ) => {
                prop_assert_eq!(
                    (*proposed_epoch, *dispatched_epoch),
                    (epoch, epoch),
                    "only the current holder dispatches"
                );
                // An order is dispatched again only under a later epoch: by then the gate rejects the earlier one.
                let previous = self.dispatched_under.insert(order.number, *dispatched_epoch);
                prop_assert!(previous.is_none_or(|previous| previous < *dispatched_epoch));
            }
            (Command::AcquireLease { expected_epoch, .. }, Reply::LeaseAcquired(acquired_epoch)) => {
                prop_assert_eq!((*expected_epoch, *acquired_epoch), (epoch_before, epoch));
            }
            (Command::RetireSubjects { space, below }, Reply::Done) => {
                let recorded = self.retired_below.entry(space.clone()).or_default();
                *recorded = (*recorded).max(*below);
            }
            _ => {}
        }
        Ok(())
    }

    fn check_subjects(&self, before: &ReplicatedState) -> Result<(), TestCaseError> {
        for (subject, subject_state) in self.state.subjects_after(None) {
            let below = self.retired_below.get(&subject.space).copied().unwrap_or(0);
            prop_assert!(subject.number >= below);
            if let SubjectState::Decided(value) = subject_state {
                prop_assert_eq!(self.decided.get(&subject.number), Some(value));
            }
            if let Some(SubjectState::Executed(_)) = before.subject_state(subject) {
                let is_executed = matches!(subject_state, SubjectState::Executed(_));
                prop_assert!(is_executed, "an executed order stays executed");
            }
        }
        Ok(())
    }

    /// Checks that a snapshot holds the entire state and that both replicas are equal.
    fn check_snapshot(&self) -> Result<(), TestCaseError> {
        let bytes = postcard::to_stdvec(&self.state).expect("the state is encoded");
        let decoded: ReplicatedState = postcard::from_bytes(&bytes).expect("the state is decoded");
        prop_assert_eq!(&decoded, &self.state);
        prop_assert_eq!(&self.replica, &self.state);
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(16),
        ..ProptestConfig::default()
    })]

    #[test]
    fn decisions_are_final_epochs_increase_and_duplicates_do_nothing(steps in prop::collection::vec(step(), 1..80)) {
        let mut checker = ReplicaChecker::new();
        for step in steps {
            checker.apply_step(step)?;
        }
        checker.check_snapshot()?;
    }
}

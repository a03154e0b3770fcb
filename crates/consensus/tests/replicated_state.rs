//! Random commands, copies and late copies of them, against the state's promises.

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

/// What one of three sessions sends next.
#[derive(Debug, Clone)]
struct Step {
    session: usize,
    command: Command,
    /// Instead of the command, a copy of the proposal so many before the last one.
    copy_of: Option<usize>,
}

fn step() -> impl Strategy<Value = Step> {
    let copy_of = prop::option::weighted(0.3, 0usize..4);
    (0usize..3, command(), copy_of).prop_map(|(session, command, copy_of)| Step { session, command, copy_of })
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

/// A replicated state, a replica of it, and what must hold of them.
struct Run {
    state: ReplicatedState,
    replica: ReplicatedState,
    index: u64,
    sent: [Vec<(Proposal, Reply)>; 3],
    decided: BTreeMap<u64, Vec<u8>>,
    retired_below: BTreeMap<String, u64>,
    dispatched_under: BTreeMap<u64, Epoch>,
}

impl Run {
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

    fn play(&mut self, step: Step) -> Result<(), TestCaseError> {
        self.index += 1;
        match step.copy_of {
            Some(back) => self.send_copy(step.session, back),
            None => self.send_new(step.session, step.command),
        }
    }

    fn epoch(&self) -> Epoch {
        self.state.lease(&role()).map_or(Epoch(0), |lease| lease.epoch)
    }

    fn send_copy(&mut self, session: usize, back: usize) -> Result<(), TestCaseError> {
        let Some(position) = self.sent[session].len().checked_sub(back + 1) else { return Ok(()) };
        let (proposal, first) = self.sent[session][position].clone();
        let before = self.state.clone();
        let reply = self.state.apply(Index(self.index), &proposal);
        self.replica.apply(Index(self.index), &proposal);
        // The last one's copy gets its reply, those of older ones are superseded.
        prop_assert_eq!(&reply, if back == 0 { &first } else { &Reply::Superseded });
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
        prop_assert_eq!(&reply, &replica_reply, "the same on every instance");
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
                let known = self.decided.entry(subject.number).or_insert_with(|| value.clone());
                prop_assert_eq!(&*known, held);
                prop_assert!(!first || value == held);
                let below = self.retired_below.get("subject").copied().unwrap_or(0);
                prop_assert!(subject.number >= below);
            }
            (Command::DispatchOrder { epoch: shown, order, .. }, Reply::Dispatched(under)) => {
                prop_assert_eq!((*shown, *under), (epoch, epoch), "only the current holder dispatches");
                // Again only under a later epoch than before: the gate admits the older one no more.
                let older = self.dispatched_under.insert(order.number, *under);
                prop_assert!(older.is_none_or(|older| older < *under));
            }
            (Command::AcquireLease { expected_epoch, .. }, Reply::LeaseAcquired(under)) => {
                prop_assert_eq!((*expected_epoch, *under), (epoch_before, epoch));
            }
            (Command::RetireSubjects { space, below }, Reply::Done) => {
                let known = self.retired_below.entry(space.clone()).or_default();
                *known = (*known).max(*below);
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

    /// What a snapshot carries is all there is.
    fn check_snapshot(&self) -> Result<(), TestCaseError> {
        let bytes = postcard::to_stdvec(&self.state).expect("bytes");
        let decoded: ReplicatedState = postcard::from_bytes(&bytes).expect("a state");
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
    fn decisions_are_final_epochs_grow_and_copies_change_nothing(steps in prop::collection::vec(step(), 1..80)) {
        let mut run = Run::new();
        for step in steps {
            run.play(step)?;
        }
        run.check_snapshot()?;
    }
}

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
            topic: "board".into(),
            value: value.map(|v| vec![v]),
        }),
        (prop_oneof![Just("subject"), Just("order")], number)
            .prop_map(|(space, below)| Command::RetireSubjects { space: space.into(), below }),
    ]
}

/// A command of one of three sessions: new, or a copy of the one so many before.
fn steps() -> impl Strategy<Value = Vec<(usize, Command, Option<usize>)>> {
    prop::collection::vec((0usize..3, command(), prop::option::weighted(0.3, 0usize..4)), 1..80)
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

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(16),
        ..ProptestConfig::default()
    })]

    #[test]
    fn decisions_are_final_epochs_grow_and_copies_change_nothing(steps in steps()) {
        let (mut state, mut replica) = (initial_state(), initial_state());
        let mut sent: [Vec<(Proposal, Reply)>; 3] = Default::default();
        let mut decided: BTreeMap<u64, Vec<u8>> = BTreeMap::new();
        let (mut retired_below, mut dispatched_under): (BTreeMap<String, u64>, BTreeMap<u64, Epoch>) = Default::default();
        let mut index = 3;
        for (session, command, copy_of) in steps {
            index += 1;
            let before = state.clone();
            let epoch_before = state.lease(&role()).map_or(Epoch(0), |g| g.epoch);
            if let Some(back) = copy_of {
                let Some(at) = sent[session].len().checked_sub(back + 1) else { continue };
                let (proposal, first) = sent[session][at].clone();
                let reply = state.apply(Index(index), &proposal);
                replica.apply(Index(index), &proposal);
                // The last one's copy gets its reply, older ones' are told that they come too late.
                prop_assert_eq!(&reply, if back == 0 { &first } else { &Reply::Superseded });
                prop_assert_eq!(state.lease(&role()), before.lease(&role()));
                prop_assert!(state.subjects_after(None).eq(before.subjects_after(None)));
                prop_assert!(state.notices("board").eq(before.notices("board")));
                continue;
            }
            let sequence = Sequence(sent[session].len() as u64 + 1);
            let proposal = Proposal { session: SessionId(session as u64 + 1), sequence, command: command.clone() };
            let reply = state.apply(Index(index), &proposal);
            prop_assert_eq!(&reply, &replica.apply(Index(index), &proposal), "the same on every instance");
            sent[session].push((proposal, reply.clone()));

            let epoch = state.lease(&role()).map_or(Epoch(0), |g| g.epoch);
            prop_assert!(epoch == epoch_before || epoch.0 == epoch_before.0 + 1);
            match (&command, &reply) {
                (Command::Decide { subject, value }, Reply::Decided { value: held, first }) => {
                    let known = decided.entry(subject.number).or_insert_with(|| value.clone());
                    prop_assert_eq!(&*known, held);
                    prop_assert!(!first || value == held);
                    prop_assert!(subject.number >= retired_below.get("subject").copied().unwrap_or(0));
                }
                (Command::DispatchOrder { epoch: shown, order, .. }, Reply::Dispatched(under)) => {
                    prop_assert_eq!((*shown, *under), (epoch, epoch), "only the current holder dispatches");
                    // Again only under a later epoch than before: the gate lets the older one through no more.
                    prop_assert!(dispatched_under.insert(order.number, *under).is_none_or(|older| older < *under));
                }
                (Command::AcquireLease { expected_epoch: expect, .. }, Reply::LeaseAcquired(under)) => {
                    prop_assert_eq!((*expect, *under), (epoch_before, epoch));
                }
                (Command::RetireSubjects { space, below }, Reply::Done) => {
                    let below_bound = retired_below.entry(space.clone()).or_default();
                    *below_bound = (*below_bound).max(*below);
                }
                _ => {}
            }
            for (subject, subject_state) in state.subjects_after(None) {
                prop_assert!(subject.number >= retired_below.get(&subject.space).copied().unwrap_or(0));
                if let SubjectState::Decided(value) = subject_state {
                    prop_assert_eq!(decided.get(&subject.number), Some(value));
                }
                if let Some(SubjectState::Executed(_)) = before.subject_state(subject) {
                    prop_assert!(matches!(subject_state, SubjectState::Executed(_)), "an executed order stays executed");
                }
            }
        }
        // What a snapshot carries is all there is.
        let bytes = postcard::to_stdvec(&state).expect("bytes");
        let back: ReplicatedState = postcard::from_bytes(&bytes).expect("a state");
        prop_assert_eq!(&back, &state);
        prop_assert_eq!(&replica, &state);
    }
}

//! Random batches and restarts against a model that keeps everything in a vector.

use garnetcrank_store::{Batch, HardState, Identity, Record, Snapshot, Store};
use garnetcrank_test_support::faulty_disk::FaultyDisk;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[derive(Debug, Clone)]
enum Step {
    /// So many entries, after going back by so many.
    Append {
        back: u64,
        count: u64,
    },
    /// A snapshot so far behind (or beyond) the last entry.
    Snapshot {
        behind: i64,
        bytes: usize,
    },
    Hard(u64),
    Key(u8, Option<u8>),
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0u64..5, 1u64..6).prop_map(|(back, count)| Step::Append { back, count }),
        (-3i64..6, 0usize..200_000).prop_map(|(behind, bytes)| Step::Snapshot { behind, bytes }),
        any::<u64>().prop_map(Step::Hard),
        (0u8..4, any::<Option<u8>>()).prop_map(|(key, value)| Step::Key(key, value)),
        Just(Step::Restart),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(16),
        ..ProptestConfig::default()
    })]

    #[test]
    fn what_is_read_back_is_what_was_written(steps in prop::collection::vec(step(), 1..30)) {
        let me = Identity { cluster: "c".into(), name: "n".into(), id: 1 };
        let mut disk = FaultyDisk::new();
        let mut store = Store::open_on(disk.clone(), &me).unwrap();
        let (mut hard, mut snapshot, mut log) = (HardState::default(), None::<Snapshot>, Vec::<Record>::new());
        let mut keys = std::collections::BTreeMap::new();
        let (mut term, mut starts) = (1, 1);
        for step in steps {
            term += 1;
            let covered = snapshot.as_ref().map_or(0, |s| s.index);
            let last = log.last().map_or(covered, |r| r.index);
            match step {
                Step::Append { back, count } => {
                    let first = (last + 1).saturating_sub(back).max(covered + 1);
                    let entries: Vec<Record> = (first..first + count)
                        .map(|index| Record { index, term, kind: 1, data: vec![term as u8; 9], context: vec![] })
                        .collect();
                    log.retain(|r| r.index < first);
                    log.extend(entries.clone());
                    store.commit(&Batch { entries, ..Batch::default() }).unwrap();
                }
                Step::Snapshot { behind, bytes } => {
                    let index = last.saturating_add_signed(-behind).max(covered);
                    let held = log.iter().find(|r| r.index == index).map(|r| r.term);
                    let of = Snapshot { index, term: held.unwrap_or(term), members: vec![9], data: vec![term as u8; bytes] };
                    log.retain(|r| held.is_some() && r.index > index);
                    snapshot = Some(of.clone());
                    store.commit(&Batch { snapshot: Some(of), ..Batch::default() }).unwrap();
                }
                Step::Hard(vote) => {
                    hard = HardState { term, vote, commit: last };
                    store.commit(&Batch { hard_state: Some(hard), ..Batch::default() }).unwrap();
                }
                Step::Key(key, value) => {
                    let value = value.map(|v| vec![v; 3]);
                    let change = (format!("k/{key}"), value.clone());
                    match value {
                        Some(value) => drop(keys.insert(change.0.clone(), value)),
                        None => drop(keys.remove(&change.0)),
                    }
                    store.commit(&Batch { keys: vec![change], ..Batch::default() }).unwrap();
                }
                Step::Restart => {
                    drop(store);
                    disk = FaultyDisk::holding(disk.image());
                    store = Store::open_on(disk.clone(), &me).unwrap();
                    starts += 1;
                    prop_assert_eq!(store.starts(), starts);
                }
            }
        }
        let loaded = store.load().unwrap();
        prop_assert_eq!(loaded.hard_state, hard);
        prop_assert_eq!(loaded.snapshot, snapshot);
        prop_assert_eq!(loaded.entries, log);
        prop_assert_eq!(store.keys_with_prefix("k/").unwrap(), keys.into_iter().collect::<Vec<_>>());
        prop_assert!(store.scrub().unwrap().corrupt.is_empty());
    }
}

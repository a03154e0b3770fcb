//! Compares a store with an in-memory model over random batches and restarts. Guards against stored data that
//! is lost, stale or altered when appends, overwrites and snapshots interleave.

use garnetcrank_store::{Batch, HardState, LogEntry, OwnerIdentity, Snapshot, Store};
use garnetcrank_test_support::faulty_disk::FaultyDisk;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[derive(Debug, Clone)]
enum Operation {
    /// Appends `count` entries in place of the last `overlap` stored entries.
    Append {
        overlap: u64,
        count: u64,
    },
    /// Writes a snapshot of `bytes` bytes at `distance` before the last index, or after it if negative.
    Snapshot {
        distance: i64,
        bytes: usize,
    },
    /// Writes a hard state with this vote.
    HardState(u64),
    /// Sets a key to a value, or removes it.
    Key(u8, Option<u8>),
    Restart,
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        (0u64..5, 1u64..6).prop_map(|(overlap, count)| Operation::Append { overlap, count }),
        (-3i64..6, 0usize..200_000).prop_map(|(distance, bytes)| Operation::Snapshot { distance, bytes }),
        any::<u64>().prop_map(Operation::HardState),
        (0u8..4, any::<Option<u8>>()).prop_map(|(key, value)| Operation::Key(key, value)),
        Just(Operation::Restart),
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
    fn the_loaded_state_matches_the_model(operations in prop::collection::vec(operation(), 1..30)) {
        let identity = OwnerIdentity { cluster: "c".into(), name: "n".into(), id: 1 };
        let mut disk = FaultyDisk::new();
        let mut store = Store::open_on(disk.clone(), &identity).unwrap();
        let (mut hard_state, mut snapshot, mut log) =
            (HardState::default(), None::<Snapshot>, Vec::<LogEntry>::new());
        let mut keys = std::collections::BTreeMap::new();
        let (mut term, mut start_count) = (1, 1);
        for operation in operations {
            term += 1;
            let snapshot_index = snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
            let last_index = log.last().map_or(snapshot_index, |entry| entry.index);
            match operation {
                Operation::Append { overlap, count } => {
                    let first_index = (last_index + 1).saturating_sub(overlap).max(snapshot_index + 1);
                    let entries: Vec<LogEntry> = (first_index..first_index + count)
                        .map(|index| LogEntry {
                            index,
                            term,
                            kind: 1,
                            data: vec![term as u8; 9],
                            context: vec![],
                        })
                        .collect();
                    log.retain(|entry| entry.index < first_index);
                    log.extend(entries.clone());
                    store.commit(&Batch { entries, ..Batch::default() }).unwrap();
                }
                Operation::Snapshot { distance, bytes } => {
                    let index = last_index.saturating_add_signed(-distance).max(snapshot_index);
                    let stored_term = log.iter().find(|entry| entry.index == index).map(|entry| entry.term);
                    let new_snapshot = Snapshot {
                        index,
                        term: stored_term.unwrap_or(term),
                        members: vec![9],
                        data: vec![term as u8; bytes],
                    };
                    log.retain(|entry| stored_term.is_some() && entry.index > index);
                    snapshot = Some(new_snapshot.clone());
                    store.commit(&Batch { snapshot: Some(new_snapshot), ..Batch::default() }).unwrap();
                }
                Operation::HardState(vote) => {
                    hard_state = HardState { term, vote, commit: last_index };
                    store.commit(&Batch { hard_state: Some(hard_state), ..Batch::default() }).unwrap();
                }
                Operation::Key(key, value) => {
                    let value = value.map(|byte| vec![byte; 3]);
                    let change = (format!("k/{key}"), value.clone());
                    match value {
                        Some(value) => drop(keys.insert(change.0.clone(), value)),
                        None => drop(keys.remove(&change.0)),
                    }
                    store.commit(&Batch { key_changes: vec![change], ..Batch::default() }).unwrap();
                }
                Operation::Restart => {
                    drop(store);
                    disk = FaultyDisk::from_image(disk.image());
                    store = Store::open_on(disk.clone(), &identity).unwrap();
                    start_count += 1;
                    prop_assert_eq!(store.start_count(), start_count);
                }
            }
        }
        let persisted = store.load().unwrap();
        prop_assert_eq!(persisted.hard_state, hard_state);
        prop_assert_eq!(persisted.snapshot, snapshot);
        prop_assert_eq!(persisted.entries, log);
        prop_assert_eq!(store.entries_with_prefix("k/").unwrap(), keys.into_iter().collect::<Vec<_>>());
        prop_assert!(store.scrub().unwrap().corrupt.is_empty());
    }
}

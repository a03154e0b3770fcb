//! Tests that no batch is lost or partial and that no corrupt data reaches a caller. The simulated device
//! loses power at each operation, with unsynced writes lost, kept or torn; it also fails syncs, fills up or
//! flips bits.

use garnetcrank_store::{
    Batch, HardState, LogEntry, OwnerIdentity, PersistedState, Snapshot, Store, StoreError,
};
use garnetcrank_test_support::faulty_disk::FaultyDisk;

fn identity() -> OwnerIdentity {
    OwnerIdentity { cluster: "test".into(), name: "one".into(), id: 7 }
}

fn entry(index: u64, term: u64) -> LogEntry {
    LogEntry { index, term, kind: 0, data: vec![index as u8; 300], context: vec![term as u8; 20] }
}

/// Returns batches with appends, overwritten tails, a snapshot of the stored log and one of a different
/// history, and keys that are set and removed.
fn workload() -> Vec<Batch> {
    let hard_state = |term, vote, commit| Some(HardState { term, vote, commit });
    let snapshot = |index, term, size| {
        Some(Snapshot { index, term, members: vec![1, 2, 3], data: vec![index as u8; size] })
    };
    let key = |key: &str, value: Option<&[u8]>| (key.to_owned(), value.map(<[u8]>::to_vec));
    let entries = |from: u64, to: u64, term| (from..=to).map(|index| entry(index, term)).collect::<Vec<_>>();
    vec![
        Batch { hard_state: hard_state(1, 7, 0), ..Batch::default() },
        Batch {
            entries: entries(1, 6, 1),
            key_changes: vec![key("gate/orders", Some(b"3"))],
            ..Batch::default()
        },
        Batch { hard_state: hard_state(2, 8, 3), entries: entries(4, 9, 2), ..Batch::default() },
        Batch { snapshot: snapshot(5, 2, 150_000), hard_state: hard_state(2, 8, 6), ..Batch::default() },
        Batch {
            entries: entries(10, 14, 2),
            key_changes: vec![key("gate/orders", None)],
            ..Batch::default()
        },
        Batch { snapshot: snapshot(40, 5, 70_000), hard_state: hard_state(5, 0, 40), ..Batch::default() },
        Batch {
            entries: entries(41, 43, 5),
            key_changes: vec![key("gate/votes", Some(b"9"))],
            ..Batch::default()
        },
    ]
}

/// Persisted state, with all keys and their values.
type StoredState = (PersistedState, Vec<(String, Vec<u8>)>);

fn read_state(store: &Store) -> StoredState {
    (store.load().expect("the state loads"), store.entries_with_prefix("").expect("the keys can be read"))
}

/// Returns the expected state after each number of committed batches, from a run without faults.
fn expected_states() -> Vec<StoredState> {
    let mut store = Store::open_on(FaultyDisk::new(), &identity()).unwrap();
    let mut states = vec![read_state(&store)];
    for batch in workload() {
        store.commit(&batch).unwrap();
        states.push(read_state(&store));
    }
    states
}

/// Commits the workload until a commit fails. Returns the number of acknowledged batches, or `None` if the
/// store can't be opened.
fn run_workload(disk: &FaultyDisk) -> Option<usize> {
    let mut store = Store::open_on(disk.clone(), &identity()).ok()?;
    let mut acknowledged = 0;
    for batch in workload() {
        if store.commit(&batch).is_err() {
            break;
        }
        acknowledged += 1;
    }
    Some(acknowledged)
}

/// Describes the first power cut after which the state is neither the one before nor the one after the batch
/// in progress.
fn first_lost_state(ignore_syncs: bool) -> Option<String> {
    let states = expected_states();
    let reference_disk = FaultyDisk::new();
    run_workload(&reference_disk).unwrap();
    for cut in 1..reference_disk.operations() {
        for seed in 0..3 {
            let disk = FaultyDisk::new();
            disk.ignore_syncs(ignore_syncs);
            disk.cut_power_after(cut);
            let acknowledged = run_workload(&disk);
            let Ok(store) = Store::open_on(disk.after_power_cut(seed * 1000 + cut), &identity()) else {
                // A file may be incomplete until the first batch is acknowledged, but not after that.
                if acknowledged.is_some_and(|count| count > 0) {
                    return Some(format!("cut {cut} seed {seed}: the store does not open"));
                }
                continue;
            };
            let acknowledged = acknowledged.unwrap_or(0);
            let found = (store.load().ok(), store.entries_with_prefix("").ok());
            let matches_state_after = |batch_count: usize| {
                states
                    .get(batch_count)
                    .is_some_and(|(persisted, keys)| found == (Some(persisted.clone()), Some(keys.clone())))
            };
            if !matches_state_after(acknowledged) && !matches_state_after(acknowledged + 1) {
                return Some(format!("cut {cut} seed {seed}: {acknowledged} acknowledged, found {found:?}"));
            }
        }
    }
    None
}

#[test]
fn a_power_cut_at_any_operation_keeps_acknowledged_batches_and_leaves_no_partial_one() {
    assert_eq!(first_lost_state(false), None);
}

#[test]
fn the_power_cut_check_detects_a_loss_if_syncs_are_ignored() {
    assert!(
        first_lost_state(true).is_some(),
        "the check must fail on a device that loses acknowledged batches"
    );
}

#[test]
fn after_a_failed_sync_commits_fail_without_accessing_the_device() {
    let disk = FaultyDisk::new();
    let mut store = Store::open_on(disk.clone(), &identity()).unwrap();
    let batches = workload();
    store.commit(&batches[0]).unwrap();
    disk.fail_syncs(true);
    let first_error = store.commit(&batches[1]).unwrap_err();
    disk.fail_syncs(false);
    let operations = disk.operations();
    let error = store.commit(&batches[1]).unwrap_err();
    assert!(matches!(error, StoreError::Failed { .. }), "{error}");
    assert!(
        error.to_string().contains(&first_error.to_string()),
        "expected \"{error}\" to contain the first error \"{first_error}\""
    );
    assert_eq!(disk.operations(), operations, "the second commit does not access the device");
}

#[test]
fn a_full_device_rejects_new_entries_and_keeps_stored_ones() {
    let disk = FaultyDisk::new();
    let mut store = Store::open_on(disk.clone(), &identity()).unwrap();
    disk.set_capacity(Some(disk.image().len() + 200_000));
    let mut last = 0;
    let error = loop {
        let entries = (last + 1..=last + 50).map(|index| entry(index, 1)).collect();
        match store.commit(&Batch { entries, ..Batch::default() }) {
            Ok(()) => last += 50,
            Err(error) => break error,
        }
        assert!(last < 100_000, "the device did not fill up after {last} entries");
    };
    assert!(matches!(error, StoreError::DeviceFull(_)), "{error}");
    drop(store);
    disk.set_capacity(None);
    let mut store = Store::open_on(disk, &identity()).unwrap();
    assert_eq!(store.load().unwrap().entries.len() as u64, last);
    store.commit(&Batch { entries: vec![entry(last + 1, 1)], ..Batch::default() }).unwrap();
}

#[test]
fn flipped_bits_never_change_the_data_read_and_many_are_reported_as_corrupt() {
    let disk = FaultyDisk::new();
    run_workload(&disk).unwrap();
    let expected = expected_states().pop().unwrap();
    let image = disk.image();
    let (mut reported, mut rng) = (0, fastrand::Rng::with_seed(11));
    // Flips are aimed at the data of the last entry as well, since most of the file is unused pages.
    let data_offsets: Vec<usize> =
        (0..image.len() - 16).filter(|&offset| image[offset..offset + 16] == [43; 16]).collect();
    assert!(!data_offsets.is_empty(), "the file contains the data of the last entry");
    let random_offsets: Vec<usize> = (0..150).map(|_| rng.usize(..image.len())).collect();
    for offset in data_offsets.iter().copied().chain(random_offsets) {
        let mut corrupt_image = image.clone();
        corrupt_image[offset] ^= 1 << rng.u8(0..8);
        let found = std::panic::catch_unwind(|| {
            let store = Store::open_on(FaultyDisk::from_image(corrupt_image), &identity())?;
            Ok::<_, StoreError>((store.load()?, store.entries_with_prefix("")?))
        });
        match found {
            Ok(Ok(found)) => assert_eq!(found, expected, "the flip at offset {offset} changed the data"),
            Ok(Err(StoreError::Corrupt(corrupt))) => {
                assert!(!corrupt.key.is_empty());
                reported += 1;
            }
            Ok(Err(_)) | Err(_) => {}
        }
    }
    assert!(reported >= data_offsets.len() / 2, "{reported} of {} flips were reported", data_offsets.len());
}

#[test]
fn a_scrub_reports_the_key_of_a_corrupt_entry() {
    let disk = FaultyDisk::new();
    run_workload(&disk).unwrap();
    let mut image = disk.image();
    let offsets: Vec<usize> =
        (0..image.len() - 200).filter(|&offset| image[offset..offset + 200] == [42; 200]).collect();
    for offset in offsets {
        image[offset] ^= 4;
    }
    let store = Store::open_on(FaultyDisk::from_image(image), &identity()).unwrap();
    let report = store.scrub().unwrap();
    assert!(report.corrupt.iter().any(|corrupt| corrupt.table == "log" && corrupt.key == "42"), "{report:?}");
    assert!(report.valid_count > 3);
}

#[test]
fn a_wrong_owner_and_out_of_order_batches_are_rejected() {
    let disk = FaultyDisk::new();
    run_workload(&disk).unwrap();
    let other = OwnerIdentity { id: 8, ..identity() };
    let same_disk = FaultyDisk::from_image(disk.image());
    let error = Store::open_on(same_disk, &other).unwrap_err();
    assert!(matches!(error, StoreError::WrongOwner { .. }), "{error}");

    let mut store = Store::open_on(FaultyDisk::from_image(disk.image()), &identity()).unwrap();
    assert_eq!(store.start_count(), 2);
    for out_of_order in [
        Batch { entries: vec![entry(45, 5)], ..Batch::default() },
        Batch { entries: vec![entry(40, 5)], ..Batch::default() },
        Batch { entries: vec![entry(44, 5), entry(46, 5)], ..Batch::default() },
        Batch { snapshot: Some(Snapshot { index: 39, ..Snapshot::default() }), ..Batch::default() },
    ] {
        let error = store.commit(&out_of_order).unwrap_err();
        assert!(matches!(error, StoreError::OutOfOrder(_)), "{error}");
    }
    store.commit(&Batch { entries: vec![entry(44, 5)], ..Batch::default() }).unwrap();
    // The snapshot's term differs from that of stored entry 42, so the snapshot replaces the log and only
    // entry 43 can follow.
    let snapshot = Some(Snapshot { index: 42, term: 6, ..Snapshot::default() });
    store.commit(&Batch { snapshot, ..Batch::default() }).unwrap();
    assert!(store.commit(&Batch { entries: vec![entry(45, 6)], ..Batch::default() }).is_err());
    store.commit(&Batch { entries: vec![entry(43, 6)], ..Batch::default() }).unwrap();
    assert_eq!(store.load().unwrap().entries, vec![entry(43, 6)]);
}

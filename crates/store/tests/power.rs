//! The power is cut at every operation of the device, with unsynced writes lost, kept or torn.

use garnetcrank_store::{Batch, HardState, Identity, Loaded, Record, Snapshot, Store, StoreError};
use garnetcrank_test_support::faulty_disk::FaultyDisk;

fn me() -> Identity {
    Identity { cluster: "test".into(), name: "one".into(), id: 7 }
}

fn record(index: u64, term: u64) -> Record {
    Record { index, term, kind: 0, data: vec![index as u8; 300], context: vec![term as u8; 20] }
}

/// Appends, overwritten tails, snapshots of ours and of another history, keys that come and go.
fn script() -> Vec<Batch> {
    let hard = |term, vote, commit| Some(HardState { term, vote, commit });
    let snapshot = |index, term, size| {
        Some(Snapshot { index, term, members: vec![1, 2, 3], data: vec![index as u8; size] })
    };
    let key = |key: &str, value: Option<&[u8]>| (key.to_owned(), value.map(<[u8]>::to_vec));
    let entries = |from: u64, to: u64, term| (from..=to).map(|i| record(i, term)).collect::<Vec<_>>();
    vec![
        Batch { hard_state: hard(1, 7, 0), ..Batch::default() },
        Batch { entries: entries(1, 6, 1), keys: vec![key("gate/orders", Some(b"3"))], ..Batch::default() },
        Batch { hard_state: hard(2, 8, 3), entries: entries(4, 9, 2), ..Batch::default() },
        Batch { snapshot: snapshot(5, 2, 150_000), hard_state: hard(2, 8, 6), ..Batch::default() },
        Batch { entries: entries(10, 14, 2), keys: vec![key("gate/orders", None)], ..Batch::default() },
        Batch { snapshot: snapshot(40, 5, 70_000), hard_state: hard(5, 0, 40), ..Batch::default() },
        Batch { entries: entries(41, 43, 5), keys: vec![key("gate/votes", Some(b"9"))], ..Batch::default() },
    ]
}

type Held = (Loaded, Vec<(String, Vec<u8>)>);

fn held(store: &Store) -> Held {
    (store.load().expect("what is held can be read"), store.keys_with_prefix("").expect("keys can be read"))
}

/// What is held after each number of batches, from a run without faults.
fn states() -> Vec<Held> {
    let mut store = Store::open_on(FaultyDisk::new(), &me()).unwrap();
    let mut states = vec![held(&store)];
    for batch in script() {
        store.commit(&batch).unwrap();
        states.push(held(&store));
    }
    states
}

/// Runs the script until the power goes; how many batches were acknowledged.
fn run(disk: &FaultyDisk) -> Option<usize> {
    let mut store = Store::open_on(disk.clone(), &me()).ok()?;
    let mut acknowledged = 0;
    for batch in script() {
        if store.commit(&batch).is_err() {
            break;
        }
        acknowledged += 1;
    }
    Some(acknowledged)
}

/// The first cut after which the state is not the one before or after the batch under way.
fn first_loss(ignore_syncs: bool) -> Option<String> {
    let states = states();
    let whole = FaultyDisk::new();
    run(&whole).unwrap();
    for cut in 1..whole.operations() {
        for seed in 0..3 {
            let disk = FaultyDisk::new();
            disk.ignore_syncs(ignore_syncs);
            disk.cut_power_after(cut);
            let acknowledged = run(&disk);
            let Ok(store) = Store::open_on(disk.after_power_cut(seed * 1000 + cut), &me()) else {
                // Before the first acknowledged batch a file may be half made; later it may not.
                if acknowledged.is_some_and(|n| n > 0) {
                    return Some(format!("cut {cut} seed {seed}: the file does not open"));
                }
                continue;
            };
            let acknowledged = acknowledged.unwrap_or(0);
            let found = (store.load().ok(), store.keys_with_prefix("").ok());
            let fits = |n: usize| {
                states
                    .get(n)
                    .is_some_and(|(loaded, keys)| found == (Some(loaded.clone()), Some(keys.clone())))
            };
            if !fits(acknowledged) && !fits(acknowledged + 1) {
                return Some(format!("cut {cut} seed {seed}: {acknowledged} acknowledged, found {found:?}"));
            }
        }
    }
    None
}

#[test]
fn a_cut_at_any_write_leaves_all_that_was_acknowledged_and_no_half_of_a_batch() {
    assert_eq!(first_loss(false), None);
}

#[test]
fn without_syncs_the_same_check_finds_a_loss() {
    assert!(first_loss(true).is_some(), "a check that can't fail is none");
}

#[test]
fn a_failed_sync_ends_the_store_and_is_not_tried_again() {
    let disk = FaultyDisk::new();
    let mut store = Store::open_on(disk.clone(), &me()).unwrap();
    let batches = script();
    store.commit(&batches[0]).unwrap();
    disk.fail_syncs(true);
    let first = store.commit(&batches[1]).unwrap_err();
    disk.fail_syncs(false);
    let operations = disk.operations();
    let error = store.commit(&batches[1]).unwrap_err();
    assert!(matches!(error, StoreError::Failed { .. }), "{error}");
    assert!(error.to_string().contains(&first.to_string()), "{error}: why it ended is kept, not: {first}");
    assert_eq!(disk.operations(), operations, "the device is left alone");
}

#[test]
fn a_full_device_refuses_new_entries_and_loses_none() {
    let disk = FaultyDisk::new();
    let mut store = Store::open_on(disk.clone(), &me()).unwrap();
    disk.set_capacity(Some(disk.image().len() + 200_000));
    let mut last = 0;
    let error = loop {
        let entries = (last + 1..=last + 50).map(|i| record(i, 1)).collect();
        match store.commit(&Batch { entries, ..Batch::default() }) {
            Ok(()) => last += 50,
            Err(error) => break error,
        }
        assert!(last < 100_000, "the device never filled");
    };
    assert!(matches!(error, StoreError::DeviceFull(_)), "{error}");
    drop(store);
    disk.set_capacity(None);
    let mut store = Store::open_on(disk, &me()).unwrap();
    assert_eq!(store.load().unwrap().entries.len() as u64, last);
    store.commit(&Batch { entries: vec![record(last + 1, 1)], ..Batch::default() }).unwrap();
}

#[test]
fn flipped_bits_are_named_or_harmless_and_never_served() {
    let disk = FaultyDisk::new();
    run(&disk).unwrap();
    let good = states().pop().unwrap();
    let image = disk.image();
    let (mut named, mut rng) = (0, fastrand::Rng::with_seed(11));
    // Bytes of our own values are looked for, since most of the file is unused pages.
    let places: Vec<usize> = (0..image.len() - 16).filter(|&at| image[at..at + 16] == [43; 16]).collect();
    assert!(!places.is_empty(), "the last entry's bytes are in the file");
    let anywhere: Vec<usize> = (0..150).map(|_| rng.usize(..image.len())).collect();
    for at in places.iter().copied().chain(anywhere) {
        let mut bad = image.clone();
        bad[at] ^= 1 << rng.u8(0..8);
        let found = std::panic::catch_unwind(|| {
            let store = Store::open_on(FaultyDisk::holding(bad), &me())?;
            Ok::<_, StoreError>((store.load()?, store.keys_with_prefix("")?))
        });
        match found {
            Ok(Ok(found)) => assert_eq!(found, good, "wrong bytes were served, flipped at {at}"),
            Ok(Err(StoreError::Corrupt(corrupt))) => {
                assert!(!corrupt.key.is_empty());
                named += 1;
            }
            Ok(Err(_)) | Err(_) => {}
        }
    }
    assert!(named >= places.len() / 2, "{named} of {} were named", places.len());
}

#[test]
fn a_scrub_names_the_entry_that_rotted() {
    let disk = FaultyDisk::new();
    run(&disk).unwrap();
    let mut image = disk.image();
    let ats: Vec<usize> = (0..image.len() - 200).filter(|&at| image[at..at + 200] == [42; 200]).collect();
    for at in ats {
        image[at] ^= 4;
    }
    let store = Store::open_on(FaultyDisk::holding(image), &me()).unwrap();
    let report = store.scrub().unwrap();
    assert!(report.corrupt.iter().any(|c| c.table == "log" && c.key == "42"), "{report:?}");
    assert!(report.sound > 3);
}

#[test]
fn another_instances_store_and_gaps_are_refused() {
    let disk = FaultyDisk::new();
    run(&disk).unwrap();
    let other = Identity { id: 8, ..me() };
    let again = FaultyDisk::holding(disk.image());
    let error = Store::open_on(again, &other).unwrap_err();
    assert!(matches!(error, StoreError::WrongOwner { .. }), "{error}");

    let mut store = Store::open_on(FaultyDisk::holding(disk.image()), &me()).unwrap();
    assert_eq!(store.starts(), 2);
    for bad in [
        Batch { entries: vec![record(45, 5)], ..Batch::default() },
        Batch { entries: vec![record(40, 5)], ..Batch::default() },
        Batch { entries: vec![record(44, 5), record(46, 5)], ..Batch::default() },
        Batch { snapshot: Some(Snapshot { index: 39, ..Snapshot::default() }), ..Batch::default() },
    ] {
        let error = store.commit(&bad).unwrap_err();
        assert!(matches!(error, StoreError::OutOfOrder(_)), "{error}");
    }
    store.commit(&Batch { entries: vec![record(44, 5)], ..Batch::default() }).unwrap();
    // A snapshot of another history takes the log behind it along: its next entry is the only one that fits.
    let snapshot = Some(Snapshot { index: 42, term: 6, ..Snapshot::default() });
    store.commit(&Batch { snapshot, ..Batch::default() }).unwrap();
    assert!(store.commit(&Batch { entries: vec![record(45, 6)], ..Batch::default() }).is_err());
    store.commit(&Batch { entries: vec![record(43, 6)], ..Batch::default() }).unwrap();
    assert_eq!(store.load().unwrap().entries, vec![record(43, 6)]);
}

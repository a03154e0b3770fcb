//! Reads a store that an earlier version wrote, and writes the same values to a new store. Guards against a
//! change of the stored format: if a test fails here, existing stores can no longer be read.
//!
//! The fixture `crates/agent/tests/fixtures/store-8a93f45/alma.redb` was written by the code of commit
//! 8a93f45 and must never be regenerated. Its instance is a founding member that was opened three times, led
//! in term 2, transferred leadership to a second voter and regained it in term 4. The store contains a
//! snapshot at index 282, 47 committed entries and two uncommitted ones after it, and three keys.
//!
//! In the same directory, `tables.txt` lists the keys and values of every table as redb stores them,
//! checksums included, and `store.txt` lists the values that the public API reads.

use std::fmt::Write as _;
use std::path::{Path, PathBuf};

use garnetcrank_store::{Batch, HardState, OwnerIdentity, Store, StoreError, StoredSchema};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};

/// Index of the fixture's snapshot: entries up to it are no longer read.
const SNAPSHOT_INDEX: u64 = 282;

fn fixture(file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../agent/tests/fixtures/store-8a93f45").join(file)
}

/// Copies the fixture to a temporary directory, because redb may write to a file even if the store is only
/// inspected.
fn copy_fixture() -> (tempfile::TempDir, PathBuf) {
    let directory = tempfile::tempdir().expect("a temporary directory can be created");
    let path = directory.path().join("alma.redb");
    std::fs::copy(fixture("alma.redb"), &path).expect("the fixture can be copied");
    (directory, path)
}

fn identity() -> OwnerIdentity {
    OwnerIdentity { cluster: "eger".to_owned(), name: "alma".to_owned(), id: 0x0a11_ce00_0000_0001 }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::from("x"), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// Asserts that a text equals a fixture file. Panics with the first line that differs.
fn assert_same_text(found: &str, file: &str) {
    let expected = std::fs::read_to_string(fixture(file)).expect("the fixture file can be read");
    for (number, (found, expected)) in found.lines().zip(expected.lines()).enumerate() {
        assert_eq!(found, expected, "{file}, line {}", number + 1);
    }
    assert_eq!(found.lines().count(), expected.lines().count(), "number of lines of {file}");
}

/// Lists every table as redb stores it, with one line per value that names its table and key.
fn table_lines(path: &Path) -> Vec<String> {
    let db = Database::open(path).expect("redb opens the file");
    let txn = db.begin_read().expect("a read transaction begins");
    let mut lines = Vec::new();
    let mut names: Vec<String> = {
        use redb::TableHandle;
        txn.list_tables().expect("the tables can be listed").map(|table| table.name().to_owned()).collect()
    };
    names.sort();
    lines.push(format!("tables {}", names.join(" ")));
    for name in ["meta", "keys"] {
        let table = txn.open_table(TableDefinition::<&str, &[u8]>::new(name)).expect("the table opens");
        for item in table.iter().expect("the table can be read") {
            let (key, value) = item.expect("the item can be read");
            lines.push(format!("{name} {} {}", key.value(), hex(value.value())));
        }
    }
    for name in ["log", "pieces"] {
        let table = txn.open_table(TableDefinition::<u64, &[u8]>::new(name)).expect("the table opens");
        for item in table.iter().expect("the table can be read") {
            let (key, value) = item.expect("the item can be read");
            lines.push(format!("{name} {} {}", key.value(), hex(value.value())));
        }
    }
    lines
}

#[test]
fn the_fixture_has_the_expected_tables_keys_and_values() {
    let (_directory, path) = copy_fixture();
    assert_same_text(&table_lines(&path).join("\n"), "tables.txt");
}

#[test]
fn the_store_reads_the_expected_values_from_the_fixture() {
    let (_directory, path) = copy_fixture();
    assert_eq!(Store::owner(&path).expect("the owner can be read"), Some(identity()));
    let store = Store::open(&path, &identity()).expect("the store opens");
    let mut text = String::new();
    let owner = store.identity();
    let _ = writeln!(text, "identity cluster={} name={} id={:016x}", owner.cluster, owner.name, owner.id);
    let _ = writeln!(text, "starts {}", store.start_count());
    let persisted = store.load().expect("the state loads");
    let hard_state = persisted.hard_state;
    let _ = writeln!(
        text,
        "hard term={} vote={:016x} commit={}",
        hard_state.term, hard_state.vote, hard_state.commit
    );
    let snapshot = persisted.snapshot.expect("the store has a snapshot");
    let _ = writeln!(text, "snapshot index={} term={}", snapshot.index, snapshot.term);
    let _ = writeln!(text, "snapshot members={}", hex(&snapshot.members));
    let _ = writeln!(text, "snapshot data={}", hex(&snapshot.data));
    for entry in &persisted.entries {
        let _ = writeln!(
            text,
            "entry index={} term={} kind={} data={} context={}",
            entry.index,
            entry.term,
            entry.kind,
            hex(&entry.data),
            hex(&entry.context)
        );
    }
    for (key, value) in store.entries_with_prefix("").expect("the keys can be read") {
        assert_eq!(store.value(&key).expect("the key can be read"), Some(value.clone()));
        let _ = writeln!(text, "key {key}={}", hex(&value));
    }
    assert_eq!(store.value("gone").expect("the lookup succeeds"), None);
    assert_same_text(&text, "store.txt");
}

#[test]
fn the_fixture_has_the_expected_terms_indexes_kinds_and_keys() {
    let (_directory, path) = copy_fixture();
    let store = Store::inspect(&path).expect("the store opens");
    assert_eq!(store.start_count(), 3);
    let persisted = store.load().expect("the state loads");
    assert_eq!(persisted.hard_state, HardState { term: 4, vote: 0x0a11_ce00_0000_0001, commit: 329 });
    let snapshot = persisted.snapshot.as_ref().expect("the store has a snapshot");
    assert_eq!((snapshot.index, snapshot.term), (SNAPSHOT_INDEX, 4));
    let indexes: Vec<u64> = persisted.entries.iter().map(|entry| entry.index).collect();
    assert_eq!(indexes, (SNAPSHOT_INDEX + 1..=331).collect::<Vec<_>>());
    assert!(persisted.entries.iter().all(|entry| entry.term == 4 && entry.context.is_empty()));
    let kinds: Vec<(u64, u8)> = persisted
        .entries
        .iter()
        .filter(|entry| entry.kind != 0)
        .map(|entry| (entry.index, entry.kind))
        .collect();
    assert_eq!(kinds, [(329, 1), (330, 1)], "one committed and one uncommitted membership change");
    let key_values = store.entries_with_prefix("gate/").expect("the keys can be read");
    assert_eq!(
        key_values,
        [("gate/orders".to_owned(), vec![0, 1, 2, 0xff]), ("gate/votes".to_owned(), b"epoch 2".to_vec())]
    );
    assert_eq!(store.value("empty").expect("the key can be read"), Some(Vec::new()));
    let usage = store.usage().expect("the usage can be read");
    assert_eq!((usage.entries, usage.first, usage.last, usage.keys), (49, Some(283), Some(331), 3));
    let scrub = store.scrub().expect("the scrub succeeds");
    assert!(scrub.corrupt.is_empty(), "{:?}", scrub.corrupt);
    // Two lines are not scrubbed values: the list of the tables, and the schema version, which has no
    // checksum.
    let values =
        std::fs::read_to_string(fixture("tables.txt")).expect("the fixture file can be read").lines().count();
    assert_eq!(scrub.valid_count, values as u64 - 2);
}

#[test]
fn another_instance_is_rejected_with_the_names_and_ids_of_both() {
    let (_directory, path) = copy_fixture();
    let other = OwnerIdentity { id: 7, ..identity() };
    let error = Store::open(&path, &other).expect_err("the store belongs to another instance");
    assert!(matches!(error, StoreError::WrongOwner { .. }));
    assert_eq!(
        error.to_string(),
        "the store belongs to alma (0a11ce0000000001) of cluster eger, not to alma (0000000000000007) of cluster eger"
    );
    assert_ne!(StoredSchema::Empty, StoredSchema::Version(garnetcrank_store::SCHEMA_VERSION));
    assert_eq!(
        garnetcrank_store::SCHEMA_VERSION,
        1,
        "a new schema version needs an upgrade that reads this fixture"
    );
}

#[test]
fn the_values_of_the_fixture_are_written_as_the_same_bytes() {
    let (directory, path) = copy_fixture();
    let expected = table_lines(&path);
    let store = Store::inspect(&path).expect("the store opens");
    let persisted = store.load().expect("the state loads");
    let key_values = store.entries_with_prefix("").expect("the keys can be read");
    let new_path = directory.path().join("new.redb");
    // The new store is opened three times, like the fixture, so that the start counts are equal.
    for _ in 0..2 {
        drop(Store::open(&new_path, &identity()).expect("the new store opens"));
    }
    let mut new_store = Store::open(&new_path, &identity()).expect("the new store opens");
    let batch = Batch {
        hard_state: Some(persisted.hard_state),
        snapshot: persisted.snapshot,
        entries: persisted.entries,
        key_changes: key_values.into_iter().map(|(key, value)| (key, Some(value))).collect(),
    };
    new_store.commit(&batch).expect("the batch is committed");
    drop(new_store);
    // The fixture's log may still contain entries that the snapshot covers.
    let is_covered_entry = |line: &String| {
        let index = line.strip_prefix("log ").and_then(|rest| rest.split(' ').next()?.parse::<u64>().ok());
        index.is_some_and(|index| index <= SNAPSHOT_INDEX)
    };
    let expected: Vec<String> = expected.into_iter().filter(|line| !is_covered_entry(line)).collect();
    assert_eq!(table_lines(&new_path), expected);
}

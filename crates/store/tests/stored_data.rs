//! Reads a store that an earlier version wrote, and writes the same values again.
//!
//! The fixture `crates/agent/tests/fixtures/store-8a93f45/alma.redb` was written once by the code of commit 8a93f45:
//! a founded instance that was opened three times, led in term 2, handed the lead to a second voter and took it back
//! (term 4), with a snapshot at index 282, 47 decided entries behind it, two that are not decided, and three keys.
//! It is never to be written anew: a test that fails here means that stores in the field can't be read any more.
//!
//! `tables.txt` beside it holds every table's keys and values as redb holds them, checksums included; `store.txt`
//! what the public API reads from them.

use std::fmt::Write as _;
use std::path::{Path, PathBuf};

use garnetcrank_store::{Batch, HardState, Identity, Store, StoreError, StoredSchema};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};

/// The snapshot's index: entries up to it are not read any more.
const SNAPSHOT_INDEX: u64 = 282;

fn fixture(file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../agent/tests/fixtures/store-8a93f45").join(file)
}

/// A copy of the fixture in a folder of its own: even a look at a store may write to its file.
fn copy() -> (tempfile::TempDir, PathBuf) {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("alma.redb");
    std::fs::copy(fixture("alma.redb"), &path).expect("the fixture is copied");
    (folder, path)
}

fn identity() -> Identity {
    Identity { cluster: "eger".to_owned(), name: "alma".to_owned(), id: 0x0a11_ce00_0000_0001 }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::from("x"), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// Fails with the first line that differs.
fn assert_same_text(found: &str, file: &str) {
    let expected = std::fs::read_to_string(fixture(file)).expect("the expected text");
    for (number, (found, expected)) in found.lines().zip(expected.lines()).enumerate() {
        assert_eq!(found, expected, "{file}, line {}", number + 1);
    }
    assert_eq!(found.lines().count(), expected.lines().count(), "lines of {file}");
}

/// Every table as redb holds it: one line a value, with its table and key.
fn tables(path: &Path) -> Vec<String> {
    let db = Database::open(path).expect("redb opens the file");
    let txn = db.begin_read().expect("a read");
    let mut lines = Vec::new();
    let mut names: Vec<String> = {
        use redb::TableHandle;
        txn.list_tables().expect("tables").map(|table| table.name().to_owned()).collect()
    };
    names.sort();
    lines.push(format!("tables {}", names.join(" ")));
    for name in ["meta", "keys"] {
        let table = txn.open_table(TableDefinition::<&str, &[u8]>::new(name)).expect("a table");
        for item in table.iter().expect("its items") {
            let (key, value) = item.expect("an item");
            lines.push(format!("{name} {} {}", key.value(), hex(value.value())));
        }
    }
    for name in ["log", "pieces"] {
        let table = txn.open_table(TableDefinition::<u64, &[u8]>::new(name)).expect("a table");
        for item in table.iter().expect("its items") {
            let (key, value) = item.expect("an item");
            lines.push(format!("{name} {} {}", key.value(), hex(value.value())));
        }
    }
    lines
}

#[test]
fn every_table_key_and_value_is_as_it_was_written() {
    let (_folder, path) = copy();
    assert_same_text(&tables(&path).join("\n"), "tables.txt");
}

#[test]
fn every_value_is_read_as_it_was_written() {
    let (_folder, path) = copy();
    assert_eq!(Store::owner(&path).expect("an owner"), Some(identity()));
    let store = Store::open(&path, &identity()).expect("the store opens");
    let mut text = String::new();
    let owner = store.identity();
    let _ = writeln!(text, "identity cluster={} name={} id={:016x}", owner.cluster, owner.name, owner.id);
    let _ = writeln!(text, "starts {}", store.starts());
    let loaded = store.load().expect("it loads");
    let hard = loaded.hard_state;
    let _ = writeln!(text, "hard term={} vote={:016x} commit={}", hard.term, hard.vote, hard.commit);
    let snapshot = loaded.snapshot.expect("a snapshot");
    let _ = writeln!(text, "snapshot index={} term={}", snapshot.index, snapshot.term);
    let _ = writeln!(text, "snapshot members={}", hex(&snapshot.members));
    let _ = writeln!(text, "snapshot data={}", hex(&snapshot.data));
    for entry in &loaded.entries {
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
    for (key, value) in store.keys_with_prefix("").expect("keys") {
        assert_eq!(store.key(&key).expect("a key"), Some(value.clone()));
        let _ = writeln!(text, "key {key}={}", hex(&value));
    }
    assert_eq!(store.key("gone").expect("no value"), None);
    assert_same_text(&text, "store.txt");
}

#[test]
fn the_parts_that_matter_most_have_these_values() {
    let (_folder, path) = copy();
    let store = Store::inspect(&path).expect("the store opens");
    assert_eq!(store.starts(), 3);
    let loaded = store.load().expect("it loads");
    assert_eq!(loaded.hard_state, HardState { term: 4, vote: 0x0a11_ce00_0000_0001, commit: 329 });
    let snapshot = loaded.snapshot.as_ref().expect("a snapshot");
    assert_eq!((snapshot.index, snapshot.term), (SNAPSHOT_INDEX, 4));
    let indexes: Vec<u64> = loaded.entries.iter().map(|entry| entry.index).collect();
    assert_eq!(indexes, (SNAPSHOT_INDEX + 1..=331).collect::<Vec<_>>());
    assert!(loaded.entries.iter().all(|entry| entry.term == 4 && entry.context.is_empty()));
    let kinds: Vec<(u64, u8)> = loaded
        .entries
        .iter()
        .filter(|entry| entry.kind != 0)
        .map(|entry| (entry.index, entry.kind))
        .collect();
    assert_eq!(kinds, [(329, 1), (330, 1)], "changes of membership: one decided, one not");
    let keys = store.keys_with_prefix("gate/").expect("keys");
    assert_eq!(
        keys,
        [("gate/orders".to_owned(), vec![0, 1, 2, 0xff]), ("gate/votes".to_owned(), b"epoch 2".to_vec())]
    );
    assert_eq!(store.key("empty").expect("a key"), Some(Vec::new()));
    let usage = store.usage().expect("usage");
    assert_eq!((usage.entries, usage.first, usage.last, usage.keys), (49, Some(283), Some(331), 3));
    let scrub = store.scrub().expect("a scrub");
    assert!(scrub.corrupt.is_empty(), "{:?}", scrub.corrupt);
    // All values but `schema`, which has no checksum, and the line that names the tables.
    let values = std::fs::read_to_string(fixture("tables.txt")).expect("the expected text").lines().count();
    assert_eq!(scrub.sound, values as u64 - 2);
}

#[test]
fn another_instance_is_refused_by_name_and_number() {
    let (_folder, path) = copy();
    let other = Identity { id: 7, ..identity() };
    let error = Store::open(&path, &other).expect_err("another's store");
    assert!(matches!(error, StoreError::WrongOwner { .. }));
    assert_eq!(
        error.to_string(),
        "the store belongs to alma (0a11ce0000000001) of cluster eger, not to alma (0000000000000007) of cluster eger"
    );
    assert_ne!(StoredSchema::Empty, StoredSchema::Version(garnetcrank_store::SCHEMA_VERSION));
    assert_eq!(garnetcrank_store::SCHEMA_VERSION, 1, "a later layout needs a step that reads this fixture");
}

#[test]
fn the_same_values_are_written_as_the_same_bytes() {
    let (folder, path) = copy();
    let expected = tables(&path);
    let store = Store::inspect(&path).expect("the store opens");
    let loaded = store.load().expect("it loads");
    let keys = store.keys_with_prefix("").expect("keys");
    let anew = folder.path().join("anew.redb");
    // Opened three times, as the fixture was.
    for _ in 0..2 {
        drop(Store::open(&anew, &identity()).expect("a store made anew"));
    }
    let mut copy = Store::open(&anew, &identity()).expect("a store made anew");
    let batch = Batch {
        hard_state: Some(loaded.hard_state),
        snapshot: loaded.snapshot,
        entries: loaded.entries,
        keys: keys.into_iter().map(|(key, value)| (key, Some(value))).collect(),
    };
    copy.commit(&batch).expect("one batch");
    drop(copy);
    // Entries that the snapshot covers may still lie in the fixture's log.
    let covered = |line: &String| {
        let index = line.strip_prefix("log ").and_then(|rest| rest.split(' ').next()?.parse::<u64>().ok());
        index.is_some_and(|index| index <= SNAPSHOT_INDEX)
    };
    let expected: Vec<String> = expected.into_iter().filter(|line| !covered(line)).collect();
    assert_eq!(tables(&anew), expected);
}

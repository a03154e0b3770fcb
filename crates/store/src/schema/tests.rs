//! Upgrades from older versions.

use redb::backends::InMemoryBackend;
use redb::{Database, ReadableDatabase, WriteTransaction};

use super::{KEYS, META, StoredSchema, stored_schema, upgrade};
use crate::error::StoreError;

fn file_of(version: u32) -> Database {
    let db = Database::builder().create_with_backend(InMemoryBackend::new()).unwrap();
    let txn = db.begin_write().unwrap();
    txn.open_table(META).unwrap().insert("schema", version.to_le_bytes().as_slice()).unwrap();
    txn.commit().unwrap();
    db
}

fn write_marker(txn: &WriteTransaction) -> Result<(), StoreError> {
    txn.open_table(KEYS)?.insert("upgraded", [1].as_slice())?;
    Ok(())
}

fn fail(_: &WriteTransaction) -> Result<(), StoreError> {
    Err(StoreError::Failed { reason: "the step failed".to_owned() })
}

#[test]
fn an_older_file_goes_through_each_step_once_and_a_later_one_is_rejected() {
    let db = file_of(1);
    let txn = db.begin_write().unwrap();
    upgrade(&txn, 1, 2, &[write_marker]).unwrap();
    assert_eq!(stored_schema(&txn).unwrap(), StoredSchema::Version(2));
    assert!(matches!(
        upgrade(&txn, 3, 2, &[write_marker]),
        Err(StoreError::UnsupportedSchema { found: 3, known: 2 })
    ));
    assert!(
        matches!(upgrade(&txn, 1, 3, &[write_marker]), Err(StoreError::UnsupportedSchema { .. })),
        "a step is missing"
    );
}

#[test]
fn a_step_that_fails_leaves_the_old_file() {
    let db = file_of(1);
    let txn = db.begin_write().unwrap();
    assert!(upgrade(&txn, 1, 3, &[write_marker, fail]).is_err());
    drop(txn);
    let read = db.begin_read().unwrap();
    let meta = read.open_table(META).unwrap();
    assert_eq!(meta.get("schema").unwrap().unwrap().value(), 1u32.to_le_bytes());
    assert!(read.open_table(KEYS).is_err(), "nothing of the first step stays");
}

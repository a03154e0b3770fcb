//! Tests of upgrades from older schema versions.

use redb::backends::InMemoryBackend;
use redb::{Database, ReadableDatabase, WriteTransaction};

use super::{KEYS, META, StoredSchema, read_schema, upgrade};
use crate::error::StoreError;

fn database_with_version(version: u32) -> Database {
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

fn failing_upgrade(_: &WriteTransaction) -> Result<(), StoreError> {
    Err(StoreError::Failed { reason: "the upgrade failed".to_owned() })
}

#[test]
fn an_older_file_is_upgraded_and_a_later_version_or_a_missing_upgrade_is_rejected() {
    let db = database_with_version(1);
    let txn = db.begin_write().unwrap();
    upgrade(&txn, 1, 2, &[write_marker]).unwrap();
    assert_eq!(read_schema(&txn).unwrap(), StoredSchema::Version(2));
    assert!(matches!(
        upgrade(&txn, 3, 2, &[write_marker]),
        Err(StoreError::UnsupportedSchema { found: 3, supported: 2 })
    ));
    assert!(
        matches!(upgrade(&txn, 1, 3, &[write_marker]), Err(StoreError::UnsupportedSchema { .. })),
        "no upgrade to version 3 exists"
    );
}

#[test]
fn a_failed_upgrade_leaves_the_file_unchanged() {
    let db = database_with_version(1);
    let txn = db.begin_write().unwrap();
    assert!(upgrade(&txn, 1, 3, &[write_marker, failing_upgrade]).is_err());
    drop(txn);
    let read = db.begin_read().unwrap();
    let meta = read.open_table(META).unwrap();
    assert_eq!(meta.get("schema").unwrap().unwrap().value(), 1u32.to_le_bytes());
    assert!(read.open_table(KEYS).is_err(), "the first upgrade is rolled back");
}

//! The layout of the file, its version, and the way from older versions to this one.

use redb::{ReadableTable, TableDefinition, WriteTransaction};

use crate::store::StoreError;

/// The layout that this program writes.
pub const SCHEMA: u32 = 1;

/// Named single values: `schema`, `identity`, `starts`, `hard`, `snapshot`.
pub(crate) const META: TableDefinition<'static, &str, &[u8]> = TableDefinition::new("meta");
/// Entries by index.
pub(crate) const LOG: TableDefinition<'static, u64, &[u8]> = TableDefinition::new("log");
/// Pieces of the snapshot by number.
pub(crate) const PIECES: TableDefinition<'static, u64, &[u8]> = TableDefinition::new("pieces");
/// The key space of other subsystems.
pub(crate) const KEYS: TableDefinition<'static, &str, &[u8]> = TableDefinition::new("keys");

/// The version that a file says it has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Found {
    /// Nothing was ever written.
    Nothing,
    /// Written in this layout.
    Version(u32),
}

/// A step from one version to the next, in one transaction with all others.
pub(crate) type Step = fn(&WriteTransaction) -> Result<(), StoreError>;

/// Steps by the version that they start from, beginning with 1. A new layout adds its step here.
pub(crate) const STEPS: &[Step] = &[];

pub(crate) fn found(txn: &WriteTransaction) -> Result<Found, StoreError> {
    let meta = txn.open_table(META)?;
    let Some(value) = meta.get("schema")? else { return Ok(Found::Nothing) };
    // Left unsealed on purpose: this value must be readable whatever a later layout does with seals.
    let bytes: [u8; 4] = value.value().try_into().map_err(|_| {
        StoreError::Corrupt(crate::Corrupt {
            table: "meta",
            key: "schema".to_owned(),
            what: "not four bytes".to_owned(),
        })
    })?;
    Ok(Found::Version(u32::from_le_bytes(bytes)))
}

/// Brings a file from `version` to `target`; one of a later program is refused, never guessed at.
pub(crate) fn upgrade(
    txn: &WriteTransaction,
    version: u32,
    target: u32,
    steps: &[Step],
) -> Result<(), StoreError> {
    if version > target || version == 0 {
        return Err(StoreError::Schema { found: version, known: target });
    }
    for step in version..target {
        let Some(run) = steps.get(step as usize - 1) else {
            return Err(StoreError::Schema { found: version, known: target });
        };
        run(txn)?;
    }
    if version < target {
        txn.open_table(META)?.insert("schema", target.to_le_bytes().as_slice())?;
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;
    use redb::{Database, ReadableDatabase, backends::InMemoryBackend};

    fn file_of(version: u32) -> Database {
        let db = Database::builder().create_with_backend(InMemoryBackend::new()).unwrap();
        let txn = db.begin_write().unwrap();
        txn.open_table(META).unwrap().insert("schema", version.to_le_bytes().as_slice()).unwrap();
        txn.commit().unwrap();
        db
    }

    fn mark(txn: &WriteTransaction) -> Result<(), StoreError> {
        txn.open_table(KEYS)?.insert("upgraded", [1].as_slice())?;
        Ok(())
    }

    fn refuse(_: &WriteTransaction) -> Result<(), StoreError> {
        Err(StoreError::Ended("the step failed".to_owned()))
    }

    #[test]
    fn an_older_file_goes_through_each_step_once_and_a_later_one_is_refused() {
        let db = file_of(1);
        let txn = db.begin_write().unwrap();
        upgrade(&txn, 1, 2, &[mark]).unwrap();
        assert_eq!(found(&txn).unwrap(), Found::Version(2));
        assert!(matches!(upgrade(&txn, 3, 2, &[mark]), Err(StoreError::Schema { found: 3, known: 2 })));
        assert!(matches!(upgrade(&txn, 1, 3, &[mark]), Err(StoreError::Schema { .. })), "a step is missing");
    }

    #[test]
    fn a_step_that_fails_leaves_the_old_file() {
        let db = file_of(1);
        let txn = db.begin_write().unwrap();
        assert!(upgrade(&txn, 1, 3, &[mark, refuse]).is_err());
        drop(txn);
        let read = db.begin_read().unwrap();
        let meta = read.open_table(META).unwrap();
        assert_eq!(meta.get("schema").unwrap().unwrap().value(), 1u32.to_le_bytes());
        assert!(read.open_table(KEYS).is_err(), "nothing of the first step stays");
    }
}

//! Tables of the file, the schema version, and upgrades from older versions.

use redb::{ReadableTable, TableDefinition, WriteTransaction};

use crate::checksum::{CorruptValue, Corruption};
use crate::error::StoreError;

#[cfg(test)]
mod tests;

/// Schema version that this program writes.
pub const SCHEMA_VERSION: u32 = 1;

/// Name of [`META`]. Each value's checksum covers the name of its table.
pub(crate) const META_NAME: &str = "meta";
/// Name of [`LOG`].
pub(crate) const LOG_NAME: &str = "log";
/// Name of [`CHUNKS`].
pub(crate) const CHUNKS_NAME: &str = "pieces";
/// Name of [`KEYS`].
pub(crate) const KEYS_NAME: &str = "keys";

/// Single values, by the keys that the constants below define.
pub(crate) const META: TableDefinition<'static, &str, &[u8]> = TableDefinition::new(META_NAME);
/// Log entries, by index.
pub(crate) const LOG: TableDefinition<'static, u64, &[u8]> = TableDefinition::new(LOG_NAME);
/// Chunks of the snapshot, by number.
pub(crate) const CHUNKS: TableDefinition<'static, u64, &[u8]> = TableDefinition::new(CHUNKS_NAME);
/// Values of other subsystems, by key.
pub(crate) const KEYS: TableDefinition<'static, &str, &[u8]> = TableDefinition::new(KEYS_NAME);

/// Key of the schema version in [`META`], stored as four little-endian bytes without a checksum.
pub(crate) const SCHEMA_KEY: &str = "schema";
/// Key of the owner's identity in [`META`].
pub(crate) const IDENTITY_KEY: &str = "identity";
/// Key of the number of times that the owner has opened the store, in [`META`].
pub(crate) const STARTS_KEY: &str = "starts";
/// Key of the hard state in [`META`].
pub(crate) const HARD_STATE_KEY: &str = "hard";
/// Key of the snapshot header in [`META`].
pub(crate) const SNAPSHOT_KEY: &str = "snapshot";

/// Schema version of a file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoredSchema {
    /// No schema version was ever written: the file is new.
    Empty,
    /// Schema version that the file was written with.
    Version(u32),
}

/// Function that upgrades a file from one version to the next. All upgrades of a file run in one transaction.
pub(crate) type Upgrade = fn(&WriteTransaction) -> Result<(), StoreError>;

/// Upgrades in the order of the version that they start from, beginning with version 1. Each new schema
/// version adds one.
pub(crate) const UPGRADES: &[Upgrade] = &[];

/// Reads the schema version of a file.
pub(crate) fn read_schema(txn: &WriteTransaction) -> Result<StoredSchema, StoreError> {
    let meta = txn.open_table(META)?;
    let Some(value) = meta.get(SCHEMA_KEY)? else { return Ok(StoredSchema::Empty) };
    // Stored without a checksum so that it stays readable if a later version changes the checksum format.
    let bytes: [u8; 4] = value.value().try_into().map_err(|_| CorruptValue {
        table: META_NAME,
        key: SCHEMA_KEY.to_owned(),
        corruption: Corruption::SchemaVersionLength,
    })?;
    Ok(StoredSchema::Version(u32::from_le_bytes(bytes)))
}

/// Writes the schema version of a file.
pub(crate) fn write_version(txn: &WriteTransaction, version: u32) -> Result<(), StoreError> {
    txn.open_table(META)?.insert(SCHEMA_KEY, version.to_le_bytes().as_slice())?;
    Ok(())
}

/// Upgrades a file from version `stored` to version `target`. Rejects a file with a later version, whose
/// values could be misread.
pub(crate) fn upgrade(
    txn: &WriteTransaction,
    stored: u32,
    target: u32,
    upgrades: &[Upgrade],
) -> Result<(), StoreError> {
    let unsupported = StoreError::UnsupportedSchema { found: stored, supported: target };
    if stored > target || stored == 0 {
        return Err(unsupported);
    }
    for version in stored..target {
        let Some(upgrade) = upgrades.get(version as usize - 1) else { return Err(unsupported) };
        upgrade(txn)?;
    }
    if stored < target {
        write_version(txn, target)?;
    }
    Ok(())
}

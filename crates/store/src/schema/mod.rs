//! The tables of the file, their version, and upgrades from older versions.

use redb::{ReadableTable, TableDefinition, WriteTransaction};

use crate::checksum::{CorruptValue, Corruption};
use crate::error::StoreError;

#[cfg(test)]
mod tests;

/// The schema version that this program writes.
pub const SCHEMA_VERSION: u32 = 1;

/// Names of the tables. They are part of each value's checksum.
pub(crate) const META_NAME: &str = "meta";
pub(crate) const LOG_NAME: &str = "log";
pub(crate) const CHUNKS_NAME: &str = "pieces";
pub(crate) const KEYS_NAME: &str = "keys";

/// Single values by name: see the keys below.
pub(crate) const META: TableDefinition<'static, &str, &[u8]> = TableDefinition::new(META_NAME);
/// Entries by index.
pub(crate) const LOG: TableDefinition<'static, u64, &[u8]> = TableDefinition::new(LOG_NAME);
/// Chunks of the snapshot by number.
pub(crate) const CHUNKS: TableDefinition<'static, u64, &[u8]> = TableDefinition::new(CHUNKS_NAME);
/// The key space of other subsystems.
pub(crate) const KEYS: TableDefinition<'static, &str, &[u8]> = TableDefinition::new(KEYS_NAME);

/// In [`META`]: the schema version, as four bytes without a checksum.
pub(crate) const SCHEMA_KEY: &str = "schema";
/// In [`META`]: the store's owner.
pub(crate) const IDENTITY_KEY: &str = "identity";
/// In [`META`]: how often the owner opened the store.
pub(crate) const STARTS_KEY: &str = "starts";
/// In [`META`]: the hard state.
pub(crate) const HARD_STATE_KEY: &str = "hard";
/// In [`META`]: the snapshot without its data.
pub(crate) const SNAPSHOT_KEY: &str = "snapshot";

/// The schema version that a file has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoredSchema {
    /// Nothing was ever written.
    Empty,
    /// Written with this version.
    Version(u32),
}

/// Upgrades a file from one version to the next. All upgrades of a file run in one transaction.
pub(crate) type Upgrade = fn(&WriteTransaction) -> Result<(), StoreError>;

/// The upgrades, by the version that they start from, beginning with 1. A new version adds its own here.
pub(crate) const UPGRADES: &[Upgrade] = &[];

/// Reads the version that a file has.
pub(crate) fn stored_schema(txn: &WriteTransaction) -> Result<StoredSchema, StoreError> {
    let meta = txn.open_table(META)?;
    let Some(value) = meta.get(SCHEMA_KEY)? else { return Ok(StoredSchema::Empty) };
    // Has no checksum on purpose: this value must be readable whatever a later version does with checksums.
    let bytes: [u8; 4] = value.value().try_into().map_err(|_| CorruptValue {
        table: META_NAME,
        key: SCHEMA_KEY.to_owned(),
        corruption: Corruption::SchemaLength,
    })?;
    Ok(StoredSchema::Version(u32::from_le_bytes(bytes)))
}

/// Writes the version of a file.
pub(crate) fn write_version(txn: &WriteTransaction, version: u32) -> Result<(), StoreError> {
    txn.open_table(META)?.insert(SCHEMA_KEY, version.to_le_bytes().as_slice())?;
    Ok(())
}

/// Upgrades a file from `stored` to `target`. A file of a later program is rejected: its values could be misread.
pub(crate) fn upgrade(
    txn: &WriteTransaction,
    stored: u32,
    target: u32,
    upgrades: &[Upgrade],
) -> Result<(), StoreError> {
    let unsupported = StoreError::UnsupportedSchema { found: stored, known: target };
    if stored > target || stored == 0 {
        return Err(unsupported);
    }
    for version in stored..target {
        let Some(next) = upgrades.get(version as usize - 1) else { return Err(unsupported) };
        next(txn)?;
    }
    if stored < target {
        write_version(txn, target)?;
    }
    Ok(())
}

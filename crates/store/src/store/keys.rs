//! Lookups in the key space of other subsystems.

use redb::ReadableDatabase;

use super::Store;
use crate::codec::decode_key_value;
use crate::error::StoreError;
use crate::schema::KEYS;

impl Store {
    /// Returns the value of a key, or `None` if the key does not exist.
    ///
    /// # Errors
    /// Returns an error if the value is corrupt or the device fails.
    pub fn value(&self, key: &str) -> Result<Option<Vec<u8>>, StoreError> {
        let keys = self.db.begin_read()?.open_table(KEYS)?;
        let Some(stored) = keys.get(key)? else { return Ok(None) };
        Ok(Some(decode_key_value(key, stored.value())?.to_vec()))
    }

    /// Returns all keys that start with `prefix`, with their values, in key order.
    ///
    /// # Errors
    /// Returns an error if a value is corrupt or the device fails.
    pub fn entries_with_prefix(&self, prefix: &str) -> Result<Vec<(String, Vec<u8>)>, StoreError> {
        let keys = self.db.begin_read()?.open_table(KEYS)?;
        let mut pairs = Vec::new();
        for item in keys.range(prefix..)? {
            let (key, stored) = item?;
            let key = key.value();
            if !key.starts_with(prefix) {
                break;
            }
            pairs.push((key.to_owned(), decode_key_value(key, stored.value())?.to_vec()));
        }
        Ok(pairs)
    }
}

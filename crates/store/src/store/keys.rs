//! The key space of other subsystems.

use redb::ReadableDatabase;

use super::Store;
use crate::codec::decode_key_value;
use crate::error::StoreError;
use crate::schema::KEYS;

impl Store {
    /// A key's value.
    ///
    /// # Errors
    /// Corrupt bytes, or a device that fails.
    pub fn key(&self, key: &str) -> Result<Option<Vec<u8>>, StoreError> {
        let keys = self.db.begin_read()?.open_table(KEYS)?;
        let Some(stored) = keys.get(key)? else { return Ok(None) };
        Ok(Some(decode_key_value(key, stored.value())?.to_vec()))
    }

    /// All keys that start with `prefix`, with their values, in order.
    ///
    /// # Errors
    /// Corrupt bytes, or a device that fails.
    pub fn keys_with_prefix(&self, prefix: &str) -> Result<Vec<(String, Vec<u8>)>, StoreError> {
        let keys = self.db.begin_read()?.open_table(KEYS)?;
        let mut found = Vec::new();
        for item in keys.range(prefix..)? {
            let (key, stored) = item?;
            let key = key.value();
            if !key.starts_with(prefix) {
                break;
            }
            found.push((key.to_owned(), decode_key_value(key, stored.value())?.to_vec()));
        }
        Ok(found)
    }
}

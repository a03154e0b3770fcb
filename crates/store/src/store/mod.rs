//! The store: `open` makes or recovers it, `commit` writes to it, `load` and `keys` read it, `scrub` checks and
//! measures it.

use redb::Database;

use crate::batch::Identity;
use crate::error::StoreError;

mod commit;
mod keys;
mod load;
mod open;
mod scrub;

pub use load::Loaded;
pub use scrub::{Scrub, Usage};

/// A file that one process at a time has open.
#[derive(Debug)]
pub struct Store {
    db: Database,
    identity: Identity,
    starts: u64,
    end: LogEnd,
    /// The error that ended the store, if it has ended.
    failure: Option<String>,
}

/// Where the log ends, so that an append need not look at it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct LogEnd {
    /// The last index stored.
    last: u64,
    /// The last index that the snapshot covers.
    snapshot: u64,
}

impl Store {
    /// The instance that owns the store.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// How often the owner has opened the store, this time included.
    pub fn starts(&self) -> u64 {
        self.starts
    }

    /// Gives unused space at the end of the file back to the system; takes longer the more pages there are. Returns
    /// whether the file got shorter.
    ///
    /// # Errors
    /// The device failed.
    pub fn shrink(&mut self) -> Result<bool, StoreError> {
        Ok(self.db.compact()?)
    }
}

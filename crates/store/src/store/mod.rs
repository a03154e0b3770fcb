//! The store. `open` creates or recovers it, `commit` writes to it, `load` and `keys` read from it, and
//! `scrub` verifies it and reports its size.

use redb::Database;

use crate::batch::OwnerIdentity;
use crate::error::StoreError;

mod commit;
mod keys;
mod load;
mod open;
mod scrub;

pub use load::PersistedState;
pub use scrub::{ScrubReport, Usage};

/// Store in a file that only one process at a time can open.
#[derive(Debug)]
pub struct Store {
    db: Database,
    identity: OwnerIdentity,
    /// Number of times that the owner has opened the store.
    start_count: u64,
    log_end: LogEnd,
    /// Text of the error of the commit that failed, if one has: no more commits are accepted then.
    failure: Option<String>,
}

/// End of the log, cached so that an append is validated without a read of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct LogEnd {
    /// Last index of the log; the snapshot's index if no entry follows it.
    last_index: u64,
    /// Last index that the snapshot covers; 0 if there is none.
    snapshot_index: u64,
}

impl Store {
    /// Returns the identity of the owner.
    pub fn identity(&self) -> &OwnerIdentity {
        &self.identity
    }

    /// Returns the number of times that the owner has opened the store, including this one.
    pub fn start_count(&self) -> u64 {
        self.start_count
    }

    /// Gives unused space of the file back to the file system. The duration grows with the number of pages.
    /// Returns whether the file was compacted.
    ///
    /// # Errors
    /// Returns an error if the device fails.
    pub fn shrink(&mut self) -> Result<bool, StoreError> {
        Ok(self.db.compact()?)
    }
}

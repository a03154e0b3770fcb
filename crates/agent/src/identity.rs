//! The identity of this instance.

use garnetcrank_agent::config::Config;
use garnetcrank_consensus::ids::InstanceId;
use garnetcrank_consensus::replicated_state::Member;
use garnetcrank_store::{OwnerIdentity, Store, StoreError};

/// The identity of this instance, by its origin.
pub(crate) enum InstanceIdentity {
    /// The identity recorded in the store.
    Stored(OwnerIdentity),
    /// An identity with a newly generated id; there is no store yet.
    New(OwnerIdentity),
}

impl InstanceIdentity {
    /// Reads the id from the store, or generates a random one if there is no store. The names are those of
    /// the configuration; opening a store that records other names fails.
    ///
    /// # Errors
    /// The store can't be read.
    pub(crate) fn load_or_generate(config: &Config) -> Result<Self, StoreError> {
        match Store::owner(&config.store)? {
            Some(owner) => Ok(Self::Stored(with_id(config, owner.id))),
            None => Ok(Self::New(with_id(config, fastrand::u64(1..)))),
        }
    }

    /// Returns the identity regardless of its origin.
    pub(crate) fn into_inner(self) -> OwnerIdentity {
        match self {
            Self::Stored(identity) | Self::New(identity) => identity,
        }
    }
}

fn with_id(config: &Config, id: u64) -> OwnerIdentity {
    OwnerIdentity { cluster: config.cluster.clone(), name: config.name.clone(), id }
}

/// Returns this instance as a member of its cluster.
pub(crate) fn as_member(config: &Config, identity: &OwnerIdentity) -> Member {
    let address = config.announced().to_string();
    Member { id: InstanceId(identity.id), name: identity.name.clone(), address }
}

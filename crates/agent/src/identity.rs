//! Who this instance is.

use garnetcrank_agent::config::Config;
use garnetcrank_consensus::ids::InstanceId;
use garnetcrank_consensus::replicated_state::Member;
use garnetcrank_store::{Identity, Store, StoreError};

/// An identity, and whether there is a store that has it.
pub(crate) enum InstanceIdentity {
    /// The store has it.
    Stored(Identity),
    /// There is no store yet; the id has just been drawn.
    New(Identity),
}

impl InstanceIdentity {
    /// Reads the id from the store, or draws one if there is no store. Names are those of the configuration: opening
    /// a store that has others fails.
    ///
    /// # Errors
    /// The store can't be read.
    pub(crate) fn of(config: &Config) -> Result<Self, StoreError> {
        match Store::owner(&config.store)? {
            Some(owner) => Ok(Self::Stored(with_id(config, owner.id))),
            None => Ok(Self::New(with_id(config, fastrand::u64(1..)))),
        }
    }

    /// The identity itself.
    pub(crate) fn into_inner(self) -> Identity {
        match self {
            Self::Stored(identity) | Self::New(identity) => identity,
        }
    }
}

fn with_id(config: &Config, id: u64) -> Identity {
    Identity { cluster: config.cluster.clone(), name: config.name.clone(), id }
}

/// This instance as a member of its cluster.
pub(crate) fn as_member(config: &Config, identity: &Identity) -> Member {
    let address = config.announced().to_string();
    Member { id: InstanceId(identity.id), name: identity.name.clone(), address }
}

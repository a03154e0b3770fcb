//! The command `garnetcrank-agent found`: creates a new store for a cluster of one member.

use garnetcrank_agent::config::Config;
use garnetcrank_consensus::raft_node;
use garnetcrank_store::{OwnerIdentity, Store, StoreError};

use crate::error::AgentError;
use crate::identity::{InstanceIdentity, as_member};

/// Founds a cluster with this instance as its only member, and prints the identity on standard output.
///
/// # Errors
/// The store exists already or can't be written.
pub(crate) fn found_cluster(config: &Config) -> Result<(), AgentError> {
    let store_error = |source| AgentError::Store { path: config.store.clone(), source };
    let identity = match InstanceIdentity::load_or_generate(config).map_err(store_error)? {
        InstanceIdentity::New(identity) => identity,
        InstanceIdentity::Stored(_) => {
            return Err(AgentError::AlreadyFounded { path: config.store.clone() });
        }
    };
    create_store(config, &identity).map_err(store_error)?;
    println!("founded cluster {} with {} ({:016x})", identity.cluster, identity.name, identity.id);
    Ok(())
}

fn create_store(config: &Config, identity: &OwnerIdentity) -> Result<(), StoreError> {
    let mut store = Store::open(&config.store, identity)?;
    store.commit(&raft_node::initial_state(&[as_member(config, identity)]))
}

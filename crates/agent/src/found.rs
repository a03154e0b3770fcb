//! `garnetcrank-agent found`: makes a new store that is a cluster of one.

use garnetcrank_agent::config::Config;
use garnetcrank_consensus::raft_node;
use garnetcrank_store::{Identity, Store, StoreError};

use crate::error::AgentError;
use crate::identity::{InstanceIdentity, as_member};

/// Founds the cluster and says so on standard output.
///
/// # Errors
/// There is a store already, or it can't be written.
pub(crate) fn found(config: &Config) -> Result<(), AgentError> {
    let store_error = |source| AgentError::Store { path: config.store.clone(), source };
    let identity = match InstanceIdentity::of(config).map_err(store_error)? {
        InstanceIdentity::New(identity) => identity,
        InstanceIdentity::Stored(_) => {
            return Err(AgentError::AlreadyFounded { path: config.store.clone() });
        }
    };
    create_store(config, &identity).map_err(store_error)?;
    println!("founded cluster {} with {} ({:016x})", identity.cluster, identity.name, identity.id);
    Ok(())
}

fn create_store(config: &Config, identity: &Identity) -> Result<(), StoreError> {
    let mut store = Store::open(&config.store, identity)?;
    store.commit(&raft_node::initial_state(&[as_member(config, identity)]))
}

//! Connections between agents. Each agent connects to every other agent and sends only on the connections
//! that it opened itself, so that a path between two agents that works in one direction only is visible as
//! such.
//!
//! - [`PeerSender`]: the queue to one peer and the task that connects to it and reconnects after each
//!   failure;
//! - [`listen`]: accepts connections from peers and passes their messages to the engine.

use std::future::Future;
use std::sync::{Arc, RwLock};
use std::time::Duration;

use garnetcrank_consensus::replicated_state::Member;
use tokio::time::timeout;

use crate::counters::Counters;
use crate::peer_protocol::PeerProtocolError;

mod connection;
mod inbound;
mod outbound;
mod queue;

pub use inbound::listen;
pub use outbound::PeerSender;

/// Timeout for establishing a connection, for a hello and for its reply.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without a frame from the peer, or spent in one write, after which a connection is closed. Five times
/// the heartbeat interval, so that a few late heartbeats don't close it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// The context shared by all connections to and from peers.
#[derive(Debug)]
pub struct PeerContext {
    /// This instance.
    pub me: Member,
    /// The cluster's name.
    pub cluster: String,
    /// The members as known to this instance.
    pub members: RwLock<Vec<Member>>,
    /// Counters of the agent.
    pub counters: Arc<Counters>,
}

/// Runs an operation on a connection with a timeout.
async fn with_timeout<T, E>(
    limit: Duration,
    operation: impl Future<Output = Result<T, E>>,
) -> Result<T, PeerProtocolError>
where
    PeerProtocolError: From<E>,
{
    match timeout(limit, operation).await {
        Ok(result) => Ok(result?),
        Err(_) => Err(PeerProtocolError::timed_out()),
    }
}

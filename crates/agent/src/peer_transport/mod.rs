//! Connections between agents. Each agent connects to every other one and sends only on connections that it made
//! itself, so that a path that works in one direction only shows as exactly that.
//!
//! - [`PeerSender`]: the queue to one peer and the task that connects to it, again after each failure;
//! - [`listen`]: accepts connections of peers and passes their messages to the engine.

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

/// Longest wait for a connection, a hello or the reply to one.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(1);
/// A caller that has sent no frame for so long is gone; a write that takes longer ends the connection. Five times
/// the interval of heartbeats, so that a few late ones do no harm.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// What all connections share.
#[derive(Debug)]
pub struct PeerContext {
    /// This instance.
    pub me: Member,
    /// The cluster's name.
    pub cluster: String,
    /// The members as known here.
    pub members: RwLock<Vec<Member>>,
    /// Counters of the agent.
    pub counters: Arc<Counters>,
}

/// Runs an operation on a connection with a time limit.
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

//! Outbound connections: the sender of messages to one peer, and the task that maintains the connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::SyncSender;
use std::time::Duration;

use garnetcrank_consensus::raft_node::{self, Message};
use garnetcrank_consensus::replicated_state::Member;
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tracing::{info, warn};

use super::connection::{ConnectionEnd, send_until_closed};
use super::queue::{self, PeerQueue, QueueFull, QueueSender, QueueState};
use super::{HANDSHAKE_TIMEOUT, PeerContext, with_timeout};
use crate::counters::increment;
use crate::engine_input::EngineInput;
use crate::peer_protocol::{self, Hello, HelloReply, MAGIC, MAX_HELLO_BYTES, PeerProtocolError, VERSION};

/// Delay before the first reconnection, without jitter. It doubles with each failure up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(30);
/// Longest delay before a reconnection, without jitter.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// The sender of messages to one peer. Dropping it closes the connection.
#[derive(Debug)]
pub struct PeerSender {
    queue: QueueSender,
    context: Arc<PeerContext>,
}

impl PeerSender {
    /// Starts a task that connects to a peer, and reconnects when the connection ends, until the sender is
    /// dropped.
    pub fn connect(
        context: &Arc<PeerContext>,
        peer: Member,
        address: SocketAddr,
        engine: SyncSender<EngineInput>,
        runtime: &Handle,
    ) -> Self {
        let (sender, receiver) = queue::peer_queue();
        let connector = Connector { context: context.clone(), peer, address, engine };
        runtime.spawn(connector.run(receiver));
        Self { queue: sender, context: context.clone() }
    }

    /// Queues a message, or drops it if the queue is full.
    pub fn send(&self, message: &Message) {
        let counters = &self.context.counters;
        match self.queue.try_send(raft_node::encode_message(message)) {
            Ok(()) => increment(&counters.messages_sent),
            Err(QueueFull) => increment(&counters.outbound_messages_dropped),
        }
    }
}

/// The delay before the next connection attempt, doubled after each failure.
struct Backoff(Duration);

impl Backoff {
    fn new() -> Self {
        Self(MIN_BACKOFF)
    }

    fn reset(&mut self) {
        self.0 = MIN_BACKOFF;
    }

    /// Returns the delay multiplied by a random factor from 0.5 to 1.5. Without jitter, all agents that lost
    /// a peer would reconnect to it at the same moment.
    fn jittered(&self) -> Duration {
        self.0.mul_f64(0.5 + fastrand::f64())
    }

    fn increase(&mut self) {
        self.0 = (self.0 * 2).min(MAX_BACKOFF);
    }
}

/// The task that maintains a connection to one peer.
struct Connector {
    context: Arc<PeerContext>,
    peer: Member,
    address: SocketAddr,
    engine: SyncSender<EngineInput>,
}

impl Connector {
    /// Connects and sends queued messages until the queue's sender is dropped.
    async fn run(self, mut queue: PeerQueue) {
        let mut backoff = Backoff::new();
        let mut last_error = String::new();
        loop {
            let error = match self.connect().await {
                Ok(stream) => {
                    info!(peer = self.peer.name, address = %self.address, "peer connected");
                    increment(&self.context.counters.connections_established);
                    backoff.reset();
                    last_error.clear();
                    match send_until_closed(stream, &mut queue).await {
                        ConnectionEnd::SenderDropped => return,
                        ConnectionEnd::Failed(error) => error,
                    }
                }
                Err(error) => error,
            };
            self.report_failure(&error, &mut last_error);
            let state =
                queue.discard_for(backoff.jittered(), &self.context.counters.outbound_messages_dropped).await;
            if matches!(state, QueueState::Closed) {
                return;
            }
            backoff.increase();
        }
    }

    /// Connects and performs the handshake.
    async fn connect(&self) -> Result<TcpStream, PeerProtocolError> {
        let mut stream = with_timeout(HANDSHAKE_TIMEOUT, TcpStream::connect(self.address)).await?;
        stream.set_nodelay(true)?;
        let hello = Hello {
            magic: MAGIC,
            version: VERSION,
            cluster: self.context.cluster.clone(),
            from: self.context.me.clone(),
            to: self.peer.id,
        };
        peer_protocol::write(&mut stream, &hello).await?;
        let reply: HelloReply =
            with_timeout(HANDSHAKE_TIMEOUT, peer_protocol::read(&mut stream, MAX_HELLO_BYTES)).await?;
        match reply {
            HelloReply::Accepted(member) if member.id == self.peer.id => Ok(stream),
            HelloReply::Accepted(member) => Err(PeerProtocolError::WrongPeer(member)),
            HelloReply::Rejected(reason) => Err(PeerProtocolError::Rejected(reason)),
        }
    }

    /// Counts a failure, logs it unless it repeats the last error, and notifies the engine.
    fn report_failure(&self, error: &PeerProtocolError, last_error: &mut String) {
        increment(&self.context.counters.connections_failed);
        let text = error.to_string();
        if *last_error != text {
            warn!(peer = self.peer.name, address = %self.address, %error, "peer not reached");
            *last_error = text;
        }
        // A full queue may drop this notification; Raft then detects the failure by the missing responses.
        let _ = self.engine.try_send(EngineInput::PeerUnreachable(self.peer.id));
    }
}

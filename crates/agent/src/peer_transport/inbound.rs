//! Inbound connections: accepts peers and receives their messages.

use std::sync::mpsc::SyncSender;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use garnetcrank_consensus::chunking::ChunkAssembler;
use garnetcrank_consensus::ids::InstanceId;
use garnetcrank_consensus::raft_node;
use garnetcrank_consensus::replicated_state::Member;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::sleep;
use tracing::{debug, warn};

use super::{HANDSHAKE_TIMEOUT, IDLE_TIMEOUT, PeerContext, with_timeout};
use crate::counters::increment;
use crate::engine_input::EngineInput;
use crate::peer_protocol::{
    self, Frame, Hello, HelloRejection, HelloReply, MAX_FRAME_BYTES, MAX_HELLO_BYTES, PeerProtocolError,
};

/// Maximum number of concurrent connections from peers.
const MAX_INBOUND_CONNECTIONS: usize = 1024;
/// Delay after a failed accept, for example when file descriptors run out: an immediate retry would most
/// likely fail as well and only consume processor time.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Accepts connections from peers until the process ends.
pub async fn listen(listener: TcpListener, context: Arc<PeerContext>, engine: SyncSender<EngineInput>) {
    let permits = Arc::new(Semaphore::new(MAX_INBOUND_CONNECTIONS));
    loop {
        // While no permit is free, connecting peers wait in the listen backlog and time out there.
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        let (stream, address) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                warn!(%error, "failed to accept a peer connection");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let (context, engine) = (context.clone(), engine.clone());
        tokio::spawn(async move {
            let _permit = permit;
            if let Err(error) = serve_peer(stream, &context, &engine).await {
                if error.is_violation() {
                    increment(&context.counters.protocol_violations);
                }
                debug!(%address, %error, "peer connection ended");
            }
        });
    }
}

async fn serve_peer(
    mut stream: TcpStream,
    context: &PeerContext,
    engine: &SyncSender<EngineInput>,
) -> Result<(), PeerProtocolError> {
    stream.set_nodelay(true)?;
    match accept_handshake(&mut stream, context).await? {
        Some(peer) => {
            let id = peer.id;
            // A full queue may drop this input; the peer is discovered again on its next connection.
            let _ = engine.try_send(EngineInput::PeerDiscovered(peer));
            receive_messages(stream, id, context, engine).await
        }
        None => Ok(()),
    }
}

/// Answers the hello of a connecting peer. Returns the peer, or `None` if its hello was rejected.
async fn accept_handshake(
    stream: &mut TcpStream,
    context: &PeerContext,
) -> Result<Option<Member>, PeerProtocolError> {
    let hello: Hello = with_timeout(HANDSHAKE_TIMEOUT, peer_protocol::read(stream, MAX_HELLO_BYTES)).await?;
    if let Err(rejection) = check_hello(&hello, context) {
        increment(&context.counters.hellos_rejected);
        warn!(peer = hello.from.name, %rejection, "hello rejected");
        peer_protocol::write(stream, &HelloReply::Rejected(rejection.to_string())).await?;
        return Ok(None);
    }
    peer_protocol::write(stream, &HelloReply::Accepted(context.me.clone())).await?;
    Ok(Some(hello.from))
}

fn check_hello(hello: &Hello, context: &PeerContext) -> Result<(), HelloRejection> {
    let members = context.members.read().unwrap_or_else(PoisonError::into_inner);
    peer_protocol::check_hello(hello, &context.cluster, &context.me, &members)
}

/// Passes the peer's messages to the engine until the connection ends.
async fn receive_messages(
    mut stream: TcpStream,
    peer: InstanceId,
    context: &PeerContext,
    engine: &SyncSender<EngineInput>,
) -> Result<(), PeerProtocolError> {
    let mut chunks = ChunkAssembler::default();
    loop {
        let frame: Frame =
            with_timeout(IDLE_TIMEOUT, peer_protocol::read(&mut stream, MAX_FRAME_BYTES)).await?;
        let bytes = match frame {
            Frame::Heartbeat => continue,
            Frame::Message(bytes) => bytes,
            Frame::Chunk(chunk) => match chunks.push(chunk)? {
                Some(bytes) => bytes,
                None => continue,
            },
        };
        let message = raft_node::decode_message(&bytes)?;
        // An instance may send messages only in its own name: a vote in another instance's name would give
        // that instance a second vote.
        if InstanceId(message.from) != peer {
            return Err(PeerProtocolError::ForeignMessage { from: message.from });
        }
        increment(&context.counters.messages_received);
        if engine.try_send(EngineInput::PeerMessage(Box::new(message))).is_err() {
            increment(&context.counters.inbound_messages_dropped);
        }
    }
}

//! Connections of peers to this instance.

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
use crate::counters::count;
use crate::engine_input::EngineInput;
use crate::peer_protocol::{
    self, Frame, Hello, HelloRejection, HelloReply, MAX_FRAME_BYTES, MAX_HELLO_BYTES, PeerProtocolError,
};

/// Most connections of callers at once.
const MAX_CALLERS: usize = 1024;
/// Pause after a failed accept, such as for want of file descriptors: trying again at once would only burn the
/// processor.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Accepts connections of peers until the process ends.
pub async fn listen(listener: TcpListener, context: Arc<PeerContext>, engine: SyncSender<EngineInput>) {
    let permits = Arc::new(Semaphore::new(MAX_CALLERS));
    loop {
        // Without a permit callers wait in the system's backlog, and time out.
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        let (stream, address) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                warn!(%error, "accepting a peer's connection failed");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let (context, engine) = (context.clone(), engine.clone());
        tokio::spawn(async move {
            let _permit = permit;
            if let Err(error) = serve_caller(stream, &context, &engine).await {
                if error.is_violation() {
                    count(&context.counters.protocol_violations);
                }
                debug!(%address, %error, "peer's connection ended");
            }
        });
    }
}

async fn serve_caller(
    mut stream: TcpStream,
    context: &PeerContext,
    engine: &SyncSender<EngineInput>,
) -> Result<(), PeerProtocolError> {
    stream.set_nodelay(true)?;
    match shake_hands(&mut stream, context).await? {
        Some(caller) => {
            let id = caller.id;
            // A full queue may drop this: the caller is discovered again with its next connection.
            let _ = engine.try_send(EngineInput::PeerDiscovered(caller));
            receive_messages(stream, id, context, engine).await
        }
        None => Ok(()),
    }
}

/// Answers the caller's hello; the caller, unless it was rejected.
async fn shake_hands(
    stream: &mut TcpStream,
    context: &PeerContext,
) -> Result<Option<Member>, PeerProtocolError> {
    let hello: Hello = with_timeout(HANDSHAKE_TIMEOUT, peer_protocol::read(stream, MAX_HELLO_BYTES)).await?;
    if let Err(rejection) = check_hello(&hello, context) {
        count(&context.counters.hellos_rejected);
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

/// Passes the caller's messages to the engine until the connection ends.
async fn receive_messages(
    mut stream: TcpStream,
    caller: InstanceId,
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
        // An instance may only speak for itself: a vote in another's name would be a second vote of that one.
        if InstanceId(message.from) != caller {
            return Err(PeerProtocolError::ForeignMessage { from: message.from });
        }
        count(&context.counters.messages_received);
        if engine.try_send(EngineInput::PeerMessage(Box::new(message))).is_err() {
            count(&context.counters.inbound_messages_dropped);
        }
    }
}

//! The queue to one peer and the task that connects to that peer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::SyncSender;
use std::time::Duration;

use garnetcrank_consensus::raft_node::{self, Message};
use garnetcrank_consensus::replicated_state::Member;
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tracing::{info, warn};

use super::connection::{ConnectionEnd, send_until_closed};
use super::{HANDSHAKE_TIMEOUT, PeerContext, with_timeout};
use crate::counters::count;
use crate::engine_input::EngineInput;
use crate::peer_protocol::{
    self, Hello, HelloReply, MAGIC, MAX_HELLO_BYTES, MAX_UNCHUNKED_BYTES, PeerProtocolError, VERSION,
};

/// Most messages that wait for one peer.
const MAX_QUEUED_MESSAGES: usize = 1024;
/// Most long messages that wait for one peer: a second snapshot for a peer that has not got the first is of no use.
const MAX_QUEUED_LONG_MESSAGES: usize = 1;
/// Most bytes that wait for one peer. Beyond that messages are dropped, and Raft sends again what matters.
const MAX_QUEUED_BYTES: usize = 32 * 1024 * 1024;
/// First wait before a peer is connected to again.
const MIN_BACKOFF: Duration = Duration::from_millis(30);
/// Longest wait before a peer is connected to again.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// The queue to one peer. Dropping it ends the connection.
#[derive(Debug)]
pub struct PeerSender {
    short: mpsc::Sender<Vec<u8>>,
    long: mpsc::Sender<Vec<u8>>,
    queued_bytes: Arc<AtomicUsize>,
    context: Arc<PeerContext>,
}

impl PeerSender {
    /// Connects to a peer, and again whenever the connection ends, until the sender is dropped.
    pub fn connect(
        context: &Arc<PeerContext>,
        peer: Member,
        address: SocketAddr,
        engine: SyncSender<EngineInput>,
        runtime: &Handle,
    ) -> Self {
        let (short, short_receiver) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let (long, long_receiver) = mpsc::channel(MAX_QUEUED_LONG_MESSAGES);
        let queued_bytes = Arc::new(AtomicUsize::new(0));
        let queue =
            PeerQueue { short: short_receiver, long: long_receiver, queued_bytes: queued_bytes.clone() };
        let connector = Connector { context: context.clone(), peer, address, engine };
        runtime.spawn(connector.run(queue));
        Self { short, long, queued_bytes, context: context.clone() }
    }

    /// Queues a message, or drops it if too much is queued already.
    pub fn send(&self, message: &Message) {
        let bytes = raft_node::encode_message(message);
        let length = bytes.len();
        // A message that is longer than the limit by itself would never be sent otherwise.
        let fits = self.queued_bytes.load(Ordering::Relaxed) + length <= MAX_QUEUED_BYTES
            || length > MAX_QUEUED_BYTES;
        let queue = if length > MAX_UNCHUNKED_BYTES { &self.long } else { &self.short };
        if fits && queue.try_send(bytes).is_ok() {
            self.queued_bytes.fetch_add(length, Ordering::Relaxed);
            count(&self.context.counters.sent);
        } else {
            count(&self.context.counters.unsent);
        }
    }
}

/// The receiving end of a [`PeerSender`].
pub(super) struct PeerQueue {
    pub(super) short: mpsc::Receiver<Vec<u8>>,
    pub(super) long: mpsc::Receiver<Vec<u8>>,
    queued_bytes: Arc<AtomicUsize>,
}

/// Whether anyone can still send into a queue.
enum QueueState {
    Open,
    Closed,
}

impl PeerQueue {
    /// Notes that a message has been taken out.
    pub(super) fn on_dequeued(&self, bytes: &[u8]) {
        self.queued_bytes.fetch_sub(bytes.len(), Ordering::Relaxed);
    }

    /// Drops all that is queued meanwhile: by the end of `span` it would be old, and Raft sends again what matters.
    async fn discard_for(&mut self, span: Duration, context: &PeerContext) -> QueueState {
        let end = sleep(span);
        tokio::pin!(end);
        loop {
            let received = tokio::select! {
                () = &mut end => return QueueState::Open,
                bytes = self.short.recv() => bytes,
                bytes = self.long.recv() => bytes,
            };
            let Some(bytes) = received else { return QueueState::Closed };
            self.on_dequeued(&bytes);
            count(&context.counters.unsent);
        }
    }
}

/// The wait before the next attempt, which doubles with each failure.
struct Backoff(Duration);

impl Backoff {
    fn new() -> Self {
        Self(MIN_BACKOFF)
    }

    fn reset(&mut self) {
        self.0 = MIN_BACKOFF;
    }

    /// Between half and one and a half times the wait: without jitter all that lost one peer would connect to it at
    /// the same moment when it is back.
    fn jittered(&self) -> Duration {
        self.0.mul_f64(0.5 + fastrand::f64())
    }

    fn increase(&mut self) {
        self.0 = (self.0 * 2).min(MAX_BACKOFF);
    }
}

/// Keeps a connection to one peer.
struct Connector {
    context: Arc<PeerContext>,
    peer: Member,
    address: SocketAddr,
    engine: SyncSender<EngineInput>,
}

impl Connector {
    /// Connects and sends until nobody can send into the queue any more.
    async fn run(self, mut queue: PeerQueue) {
        let mut backoff = Backoff::new();
        let mut last_error = String::new();
        loop {
            let error = match self.connect().await {
                Ok(stream) => {
                    info!(peer = self.peer.name, address = %self.address, "peer connected");
                    count(&self.context.counters.connected);
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
            let state = queue.discard_for(backoff.jittered(), &self.context).await;
            if matches!(state, QueueState::Closed) {
                return;
            }
            backoff.increase();
        }
    }

    /// Connects and shakes hands.
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

    /// Counts a failure, tells the engine and logs it; the same error again and again is logged once.
    fn report_failure(&self, error: &PeerProtocolError, last_error: &mut String) {
        count(&self.context.counters.disconnected);
        let text = error.to_string();
        if *last_error != text {
            warn!(peer = self.peer.name, address = %self.address, %error, "peer not reached");
            *last_error = text;
        }
        // A full queue may drop this: Raft notices by the peer's silence.
        let _ = self.engine.try_send(EngineInput::PeerUnreachable(self.peer.id));
    }
}

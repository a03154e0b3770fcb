//! Connections to peers. Each instance calls every other one and only speaks on connections that it made itself, so
//! a way that works in one direction only shows as just that.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::SyncSender;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use garnetcrank_consensus::chunking::{self, Chunk, ChunkAssembler};
use garnetcrank_consensus::ids::InstanceId;
use garnetcrank_consensus::raft_node::{self, Message};
use garnetcrank_consensus::replicated_state::Member;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::{sleep, timeout};
use tracing::{debug, info, warn};

use crate::core::Input;
use crate::counters::{Counters, count};
use crate::wire::{
    self, FRAME_MOST, Frame, HELLO_MOST, Hello, MAGIC, VERSION, WHOLE_MOST, Welcome, WireError,
};

/// Messages that wait for one peer at the most.
const QUEUED_MOST: usize = 1024;
/// Bytes that wait for one peer at the most; beyond that messages are dropped, and the agreement sends them again.
const QUEUED_BYTES: usize = 32 * 1024 * 1024;
/// Connections of callers at once.
const CALLERS_MOST: usize = 1024;
/// Longest wait for a connection or a hello.
const HELLO_WAIT: Duration = Duration::from_secs(1);
/// A sign of life goes out so often.
const ALIVE: Duration = Duration::from_secs(1);
/// A caller without a frame for so long has gone; a write that takes longer ends the connection.
const SILENCE: Duration = Duration::from_secs(5);
/// First and longest wait before a peer is called again.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(30), Duration::from_secs(1));

/// What all connections know.
#[derive(Debug)]
pub struct Ground {
    /// This instance.
    pub me: Member,
    /// The cluster's name.
    pub cluster: String,
    /// The members as the ledger here has them.
    pub members: RwLock<Vec<Member>>,
    /// Counters.
    pub counters: Arc<Counters>,
}

/// The way to one peer.
#[derive(Debug)]
pub struct Outbox {
    urgent: mpsc::Sender<Vec<u8>>,
    bulk: mpsc::Sender<Vec<u8>>,
    bytes: Arc<AtomicUsize>,
    ground: Arc<Ground>,
}

impl Outbox {
    /// Calls a peer, and again whenever the connection ends, until the outbox is dropped.
    pub fn open(
        ground: &Arc<Ground>,
        to: Member,
        address: SocketAddr,
        core: SyncSender<Input>,
        runtime: &Handle,
    ) -> Self {
        let (urgent, urgent_in) = mpsc::channel(QUEUED_MOST);
        // One long message at a time: a second snapshot to a peer that has not had the first is of no use.
        let (bulk, bulk_in) = mpsc::channel(1);
        let bytes = Arc::new(AtomicUsize::new(0));
        let queue = Queue { urgent: urgent_in, bulk: bulk_in, bytes: bytes.clone() };
        runtime.spawn(call_again(ground.clone(), to, address, queue, core));
        Self { urgent, bulk, bytes, ground: ground.clone() }
    }

    /// Sends a message, unless too much waits already.
    pub fn send(&self, message: &Message) {
        let bytes = raft_node::encode_message(message);
        let length = bytes.len();
        let room = self.bytes.load(Ordering::Relaxed) + length <= QUEUED_BYTES || length > QUEUED_BYTES;
        let to = if length > WHOLE_MOST { &self.bulk } else { &self.urgent };
        if room && to.try_send(bytes).is_ok() {
            self.bytes.fetch_add(length, Ordering::Relaxed);
            count(&self.ground.counters.sent);
        } else {
            count(&self.ground.counters.unsent);
        }
    }
}

struct Queue {
    urgent: mpsc::Receiver<Vec<u8>>,
    bulk: mpsc::Receiver<Vec<u8>>,
    bytes: Arc<AtomicUsize>,
}

impl Queue {
    fn left(&self, bytes: &[u8]) {
        self.bytes.fetch_sub(bytes.len(), Ordering::Relaxed);
    }

    /// Drops what waits for `span`: by then it is old, and the agreement sends what matters again. False: nobody
    /// sends here any more.
    async fn drop_for(&mut self, span: Duration, ground: &Ground) -> bool {
        let end = sleep(span);
        tokio::pin!(end);
        loop {
            let bytes = tokio::select! {
                () = &mut end => return true,
                bytes = self.urgent.recv() => bytes,
                bytes = self.bulk.recv() => bytes,
            };
            let Some(bytes) = bytes else { return false };
            self.left(&bytes);
            count(&ground.counters.unsent);
        }
    }
}

async fn call_again(
    ground: Arc<Ground>,
    to: Member,
    address: SocketAddr,
    mut queue: Queue,
    core: SyncSender<Input>,
) {
    let mut wait = BACKOFF.0;
    let mut told = String::new();
    loop {
        let ended = match call(&ground, &to, address).await {
            Ok(stream) => {
                info!(peer = to.name, %address, "peer connected");
                count(&ground.counters.connected);
                wait = BACKOFF.0;
                told.clear();
                speak(stream, &mut queue).await
            }
            Err(error) => Some(error),
        };
        let Some(error) = ended else { return };
        count(&ground.counters.disconnected);
        // The same fault again and again is told once.
        if told != error.to_string() {
            told = error.to_string();
            warn!(peer = to.name, %address, "peer not reached: {told}");
        }
        // Full is as good as told: the core finds out by the silence.
        let _ = core.try_send(Input::Unreachable(to.id));
        // Jitter, or all who lost one peer would call it at once when it is back.
        let jittered = wait.mul_f64(0.5 + fastrand::f64());
        if !queue.drop_for(jittered, &ground).await {
            return;
        }
        wait = (wait * 2).min(BACKOFF.1);
    }
}

async fn call(ground: &Ground, to: &Member, address: SocketAddr) -> Result<TcpStream, WireError> {
    let late = || std::io::Error::from(std::io::ErrorKind::TimedOut);
    let mut stream = timeout(HELLO_WAIT, TcpStream::connect(address)).await.map_err(|_| late())??;
    stream.set_nodelay(true)?;
    let hello = Hello {
        magic: MAGIC,
        version: VERSION,
        cluster: ground.cluster.clone(),
        from: ground.me.clone(),
        to: to.id,
    };
    wire::write(&mut stream, &hello).await?;
    match timeout(HELLO_WAIT, wire::read::<Welcome>(&mut stream, HELLO_MOST)).await.map_err(|_| late())?? {
        Welcome::Yes(other) if other.id == to.id => Ok(stream),
        Welcome::Yes(other) => {
            Err(WireError::Unreadable(format!("{} ({:016x}) answers there", other.name, other.id.0)))
        }
        Welcome::No(why) => Err(WireError::Unreadable(format!("refused: {why}"))),
    }
}

/// Speaks until the connection ends (why), or nobody sends here any more (none).
async fn speak(mut stream: TcpStream, queue: &mut Queue) -> Option<WireError> {
    let mut alive = tokio::time::interval(ALIVE);
    let mut long: Option<std::vec::IntoIter<Chunk>> = None;
    let mut transfer = fastrand::u64(..);
    let mut nothing = [0u8; 1];
    let (mut reading, mut writing) = stream.split();
    loop {
        let next = long.as_mut().and_then(Iterator::next);
        if next.is_none() {
            long = None;
        }
        let frame = tokio::select! {
            // Short messages first: a snapshot must not delay signs of life.
            biased;
            bytes = queue.urgent.recv() => {
                let bytes = bytes?;
                queue.left(&bytes);
                // The piece that was taken out goes first; order between long and short does not matter.
                if let Some(piece) = next
                    && let Err(error) = send(&mut writing, &Frame::Piece(piece)).await
                {
                    return Some(error);
                }
                Frame::Message(bytes)
            }
            () = std::future::ready(()), if next.is_some() => match next {
                Some(piece) => Frame::Piece(piece),
                None => Frame::Alive,
            },
            bytes = queue.bulk.recv(), if long.is_none() => {
                let bytes = bytes?;
                queue.left(&bytes);
                transfer = transfer.wrapping_add(1);
                long = Some(chunking::split(transfer, &bytes).collect::<Vec<_>>().into_iter());
                continue;
            }
            _ = alive.tick() => Frame::Alive,
            read = reading.read(&mut nothing) => {
                return Some(match read {
                    Ok(0) => std::io::Error::from(std::io::ErrorKind::ConnectionReset).into(),
                    Ok(_) => WireError::Unreadable("an answer where none is due".to_owned()),
                    Err(error) => error.into(),
                });
            }
        };
        if let Err(error) = send(&mut writing, &frame).await {
            return Some(error);
        }
    }
}

async fn send(to: &mut (impl tokio::io::AsyncWriteExt + Unpin), frame: &Frame) -> Result<(), WireError> {
    let late = |_| WireError::from(std::io::Error::from(std::io::ErrorKind::TimedOut));
    timeout(SILENCE, wire::write(to, frame)).await.map_err(late)?
}

/// Takes callers until the process ends.
pub async fn listen(listener: TcpListener, ground: Arc<Ground>, core: SyncSender<Input>) {
    let places = Arc::new(Semaphore::new(CALLERS_MOST));
    loop {
        // Without a place the system's backlog holds callers, and they time out.
        let Ok(place) = places.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, from)) => {
                let (ground, core) = (ground.clone(), core.clone());
                tokio::spawn(async move {
                    if let Err(error) = hear(stream, &ground, &core).await {
                        if matches!(error, WireError::Unreadable(_)) {
                            count(&ground.counters.unreadable);
                        }
                        debug!(%from, "caller gone: {error}");
                    }
                    drop(place);
                });
            }
            Err(error) => {
                warn!("accept: {error}");
                sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

async fn hear(mut stream: TcpStream, ground: &Ground, core: &SyncSender<Input>) -> Result<(), WireError> {
    let late = |_| WireError::from(std::io::Error::from(std::io::ErrorKind::TimedOut));
    stream.set_nodelay(true)?;
    let hello: Hello = timeout(HELLO_WAIT, wire::read(&mut stream, HELLO_MOST)).await.map_err(late)??;
    let refused = {
        let members = ground.members.read().unwrap_or_else(PoisonError::into_inner);
        wire::refusal(&hello, &ground.cluster, &ground.me, &members)
    };
    if let Some(why) = refused {
        count(&ground.counters.hellos_refused);
        warn!(peer = hello.from.name, "hello refused: {why}");
        return wire::write(&mut stream, &Welcome::No(why)).await;
    }
    wire::write(&mut stream, &Welcome::Yes(ground.me.clone())).await?;
    let from = hello.from.id;
    let _ = core.try_send(Input::Met(hello.from));
    let mut joiner = ChunkAssembler::default();
    loop {
        let frame: Frame = timeout(SILENCE, wire::read(&mut stream, FRAME_MOST)).await.map_err(late)??;
        let bytes = match frame {
            Frame::Alive => continue,
            Frame::Message(bytes) => bytes,
            Frame::Piece(piece) => match joiner.push(piece) {
                Ok(Some(bytes)) => bytes,
                Ok(None) => continue,
                Err(fault) => return Err(WireError::Unreadable(fault.to_string())),
            },
        };
        let message =
            raft_node::decode_message(&bytes).map_err(|error| WireError::Unreadable(error.to_string()))?;
        // Nobody speaks for anyone else: a vote under another's number would be a second vote.
        if InstanceId(message.from) != from {
            return Err(WireError::Unreadable(format!("a message of {:016x}", message.from)));
        }
        count(&ground.counters.received);
        if core.try_send(Input::Message(Box::new(message))).is_err() {
            count(&ground.counters.overrun);
        }
    }
}

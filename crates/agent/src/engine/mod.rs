//! The engine: one thread that owns the Raft node and all that follows from it. Everything reaches it as an
//! [`EngineInput`] in one bounded queue, and it waits for nothing else.
//!
//! - `clock`: ticks, and pauses of the process;
//! - `requests`: requests of the HTTP port; `replies`: the answers that are due to them; `sessions`: sessions
//!   for callers that have none;
//! - `reads`, `views`: what the replicated state and the node look like from outside;
//! - `persistence`: what Raft wants written and sent; `leadership`: who leads;
//! - `membership`: connections to the members;
//! - `votes`: the lease on the vote and the verdicts on builds; `publisher`: what is published to proxies
//!   that watch.

use std::ops::ControlFlow;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender};
use std::time::Instant;

use garnetcrank_consensus::ids::InstanceId;
use garnetcrank_consensus::raft_node::{Message, RaftNode, RaftNodeError};
use garnetcrank_store::{Batch, StoreError};
use tokio::runtime::Handle;
use tokio::sync::watch;
use tracing::warn;

use self::clock::EngineClock;
use self::leadership::LeadershipMonitor;
use self::membership::PeerConnections;
use self::persistence::Persistence;
use self::publisher::ProxyPublisher;
use self::replies::PendingReplies;
use self::sessions::SessionPool;
use self::votes::VoteCoordinator;
use crate::config::Config;
use crate::counters::count;
use crate::engine_input::{EngineInput, PublishedState};
use crate::peer_transport::PeerContext;

mod clock;
mod leadership;
mod membership;
mod persistence;
mod publisher;
mod reads;
mod replies;
mod requests;
mod sessions;
mod views;
mod votes;

/// Most inputs handled in one turn, so that ticks are never far behind.
const MAX_INPUTS_PER_TURN: usize = 512;

/// Why the engine ended.
#[derive(Debug, thiserror::Error)]
pub enum EngineError {
    /// The store can't be written any more.
    #[error("{0}")]
    Store(#[from] StoreError),
    /// The Raft node can't go on.
    #[error("{0}")]
    Node(#[from] RaftNodeError),
    /// The thread that owns the store is gone.
    #[error("the storage writer has ended")]
    WriterEnded,
}

/// What the engine works with.
pub struct EngineParts {
    /// The configuration.
    pub config: Config,
    /// The Raft node.
    pub node: RaftNode,
    /// What connections to peers share.
    pub peer_context: Arc<PeerContext>,
    /// The sending end of the engine's own queue, for connections.
    pub inputs: SyncSender<EngineInput>,
    /// The queue of the thread that owns the store.
    pub storage_writer: SyncSender<Batch>,
    /// Where connections run.
    pub runtime: Handle,
    /// Where state is published to proxies that watch.
    pub published: watch::Sender<PublishedState>,
    /// How often the store has been opened, this time included.
    pub starts: u64,
}

/// The engine. See the module's documentation.
pub struct Engine {
    config: Config,
    node: RaftNode,
    peer_context: Arc<PeerContext>,
    starts: u64,
    clock: EngineClock,
    persistence: Persistence,
    leadership: LeadershipMonitor,
    replies: PendingReplies,
    sessions: SessionPool,
    peers: PeerConnections,
    votes: VoteCoordinator,
    publisher: ProxyPublisher,
}

impl Engine {
    /// An engine whose clock starts now.
    pub fn new(parts: EngineParts) -> Self {
        let EngineParts { config, node, peer_context, inputs, storage_writer, runtime, published, starts } =
            parts;
        Self {
            clock: EngineClock::start(config.tick_ms),
            persistence: Persistence::new(storage_writer),
            leadership: LeadershipMonitor::default(),
            replies: PendingReplies::default(),
            sessions: SessionPool::default(),
            peers: PeerConnections::new(peer_context.clone(), inputs, runtime, config.peer_overrides.clone()),
            votes: VoteCoordinator::new(peer_context.me.id, &config),
            publisher: ProxyPublisher::new(published),
            config,
            node,
            peer_context,
            starts,
        }
    }

    /// Runs until [`EngineInput::Shutdown`] or until all senders of its queue are gone.
    ///
    /// # Errors
    /// The store or the Raft node can't go on: the process has to end.
    pub fn run(mut self, inputs: &Receiver<EngineInput>) -> Result<(), EngineError> {
        loop {
            if self.handle_inputs(inputs)?.is_break() {
                return Ok(());
            }
            self.advance_clock();
            self.connect_to_members();
            self.coordinate_votes();
            self.process_ready()?;
            self.deliver_answers();
            self.publish();
        }
    }

    /// Waits for an input until the next tick is due, and handles it and those that wait behind it.
    fn handle_inputs(&mut self, inputs: &Receiver<EngineInput>) -> Result<ControlFlow<()>, EngineError> {
        let wait = self.clock.next_tick_at().saturating_duration_since(Instant::now());
        match inputs.recv_timeout(wait) {
            Ok(EngineInput::Shutdown) | Err(RecvTimeoutError::Disconnected) => {
                return Ok(ControlFlow::Break(()));
            }
            Ok(input) => self.handle_input(input)?,
            Err(RecvTimeoutError::Timeout) => {}
        }
        for _ in 1..MAX_INPUTS_PER_TURN {
            match inputs.try_recv() {
                Ok(EngineInput::Shutdown) => return Ok(ControlFlow::Break(())),
                Ok(input) => self.handle_input(input)?,
                Err(_) => break,
            }
        }
        Ok(ControlFlow::Continue(()))
    }

    fn handle_input(&mut self, input: EngineInput) -> Result<(), EngineError> {
        match input {
            EngineInput::PeerMessage(message) => self.receive(*message),
            EngineInput::PeerUnreachable(id) => self.node.unreachable(id),
            EngineInput::PeerDiscovered(member) => self.peers.on_discovered(member),
            EngineInput::BatchPersisted { file_bytes } => self.on_batch_persisted(file_bytes)?,
            EngineInput::StorageFailed(error) => return Err(error.into()),
            EngineInput::Request(request) => self.handle_request(request),
            EngineInput::ProxyConnected(proxy) => self.publisher.on_connected(proxy),
            EngineInput::ProxyDisconnected(proxy) => {
                if self.publisher.on_disconnected(&proxy) == Some(0) {
                    self.votes.remove_proxy(&proxy);
                }
            }
            // Ends the loop before it comes here.
            EngineInput::Shutdown => {}
        }
        Ok(())
    }

    fn receive(&mut self, message: Message) {
        let state = self.node.state();
        // An instance without members waits to be added, and follows whichever instance adds it to its cluster.
        let waits_to_be_added = state.members().next().is_none();
        if waits_to_be_added || state.member(InstanceId(message.from)).is_some() {
            self.node.receive(message);
        }
    }

    fn advance_clock(&mut self) {
        let elapsed = self.clock.advance();
        let election_ticks = self.config.election_ticks as u64;
        if elapsed <= election_ticks {
            for _ in 0..elapsed {
                self.node.tick();
            }
            return;
        }
        // The process was paused, and what the others have sent meanwhile waits in the sockets. If it caught up with
        // all ticks at once it would stand for election before it had read any of that.
        count(&self.peer_context.counters.process_pauses);
        warn!(
            paused_ms = elapsed * self.config.tick_ms,
            "process was paused longer than an election timeout"
        );
        self.node.tick();
    }
}

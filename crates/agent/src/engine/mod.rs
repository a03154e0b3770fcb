//! The engine: the single thread that owns the Raft node and all state derived from it. Every input arrives
//! as an [`EngineInput`] on one bounded queue, and the engine blocks on nothing else.
//!
//! - `clock`: ticks since the engine started;
//! - `requests`: requests from the HTTP port; `replies`: their pending answers; `sessions`: a pool of
//!   sessions for callers that have none;
//! - `reads`, `views`: the replicated state and the node as shown to callers of the HTTP port;
//! - `persistence`: batches and messages that Raft has ready; `leadership`: changes of the leader;
//! - `membership`: connections to the members;
//! - `votes`: the lease on the vote and the verdicts on builds; `publisher`: events for proxies that watch.

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
use crate::counters::increment;
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

/// Maximum number of inputs handled per iteration of the loop, so that a full queue does not delay ticks.
const MAX_INPUTS_PER_ITERATION: usize = 512;

/// An error that ends the engine.
#[derive(Debug, thiserror::Error)]
pub enum EngineError {
    /// A failed commit to the store.
    #[error("{0}")]
    Store(#[from] StoreError),
    /// An error that the Raft node can't recover from.
    #[error("{0}")]
    Node(#[from] RaftNodeError),
    /// The thread that owns the store has ended.
    #[error("the storage writer has ended")]
    WriterEnded,
}

/// The state and the dependencies that an engine starts with.
pub struct EngineParts {
    /// The configuration.
    pub config: Config,
    /// The Raft node.
    pub node: RaftNode,
    /// The context shared by all connections to peers.
    pub peer_context: Arc<PeerContext>,
    /// The sending end of the engine's own queue, handed to connections.
    pub input_sender: SyncSender<EngineInput>,
    /// The sending end of the storage writer's queue.
    pub storage_writer: SyncSender<Batch>,
    /// The runtime on which connections run.
    pub runtime: Handle,
    /// The channel on which state is published to proxies that watch.
    pub published: watch::Sender<PublishedState>,
    /// Number of times that the store has been opened, including this one.
    pub start_count: u64,
}

/// The engine; see the module's documentation.
pub struct Engine {
    config: Config,
    node: RaftNode,
    peer_context: Arc<PeerContext>,
    start_count: u64,
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
    /// Creates an engine whose clock starts now.
    pub fn new(parts: EngineParts) -> Self {
        let EngineParts {
            config,
            node,
            peer_context,
            input_sender,
            storage_writer,
            runtime,
            published,
            start_count,
        } = parts;
        Self {
            clock: EngineClock::start(config.tick_ms),
            persistence: Persistence::new(storage_writer),
            leadership: LeadershipMonitor::default(),
            replies: PendingReplies::default(),
            sessions: SessionPool::default(),
            peers: PeerConnections::new(
                peer_context.clone(),
                input_sender,
                runtime,
                config.peer_overrides.clone(),
            ),
            votes: VoteCoordinator::new(peer_context.me.id, &config),
            publisher: ProxyPublisher::new(published),
            config,
            node,
            peer_context,
            start_count,
        }
    }

    /// Runs until [`EngineInput::Shutdown`] arrives or all senders of its queue are dropped.
    ///
    /// # Errors
    /// The store or the Raft node has failed. The process must end.
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

    /// Waits for an input until the next tick is due, then handles it and the inputs queued behind it.
    fn handle_inputs(&mut self, inputs: &Receiver<EngineInput>) -> Result<ControlFlow<()>, EngineError> {
        let wait = self.clock.next_tick_at().saturating_duration_since(Instant::now());
        match inputs.recv_timeout(wait) {
            Ok(EngineInput::Shutdown) | Err(RecvTimeoutError::Disconnected) => {
                return Ok(ControlFlow::Break(()));
            }
            Ok(input) => self.handle_input(input)?,
            Err(RecvTimeoutError::Timeout) => {}
        }
        for _ in 1..MAX_INPUTS_PER_ITERATION {
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
            EngineInput::PeerUnreachable(id) => self.node.report_unreachable(id),
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
            // `handle_inputs` returns before it passes this input on.
            EngineInput::Shutdown => {}
        }
        Ok(())
    }

    fn receive(&mut self, message: Message) {
        let state = self.node.state();
        // An instance that knows no members is waiting to be added to a cluster. It accepts messages from any
        // instance, because it can't know yet which one will add it.
        let is_awaiting_membership = state.members().next().is_none();
        if is_awaiting_membership || state.member(InstanceId(message.from)).is_some() {
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
        // The process was paused, and messages that peers sent meanwhile are unread in the sockets. Catching
        // up with all ticks at once would start an election before any of these messages is read.
        increment(&self.peer_context.counters.process_pauses);
        warn!(
            paused_ms = elapsed * self.config.tick_ms,
            "process was paused longer than an election timeout"
        );
        self.node.tick();
    }
}

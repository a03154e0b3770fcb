//! The command `garnetcrank-agent run`: starts all threads and connections, and runs the engine until it
//! ends.

use std::net::SocketAddr;
use std::sync::mpsc::{SyncSender, sync_channel};
use std::sync::{Arc, RwLock};

use garnetcrank_agent::config::Config;
use garnetcrank_agent::counters::Counters;
use garnetcrank_agent::engine::{Engine, EngineError, EngineParts};
use garnetcrank_agent::engine_input::{EngineInput, MAX_QUEUED_INPUTS, PublishedState};
use garnetcrank_agent::http_api::{self, HttpApi};
use garnetcrank_agent::peer_transport::{self, PeerContext};
use garnetcrank_agent::storage_writer;
use garnetcrank_consensus::raft_node::{RaftNode, RaftSettings};
use garnetcrank_store::{Batch, OwnerIdentity, PersistedState, Store, StoreError};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tracing::{error, info};

use crate::error::AgentError;
use crate::identity::{InstanceIdentity, as_member};

/// Number of threads for connections and the HTTP port. They only do I/O: requests are processed on the
/// engine's own thread.
const RUNTIME_THREADS: usize = 2;
/// Election timeouts after which a proposal without an answer is forwarded again: by then a new leader is
/// probably known.
const RETRY_ELECTION_TIMEOUTS: u64 = 2;
/// Divisor of the compaction interval that gives the number of entries kept in the log after a compaction, so
/// that a follower slightly behind needs no snapshot.
const RETAINED_ENTRIES_DIVISOR: u64 = 10;

/// The opened store, its owner's identity and the persisted state.
struct OpenedStore {
    identity: OwnerIdentity,
    store: Store,
    persisted: PersistedState,
}

/// The two listening sockets.
struct Listeners {
    peers: TcpListener,
    http: TcpListener,
}

/// Runs the agent until it receives SIGTERM or SIGINT.
///
/// # Errors
/// An address or the store can't be used, or the engine ends with an error.
pub(crate) fn run(config: Config) -> Result<(), AgentError> {
    let OpenedStore { identity, store, persisted } =
        open_store(&config).map_err(|source| AgentError::Store { path: config.store.clone(), source })?;
    let start_count = store.start_count();
    let me = as_member(&config, &identity);
    let node = RaftNode::start(raft_settings(&config), me.id, start_count, persisted)
        .map_err(|source| AgentError::StoredState { path: config.store.clone(), source })?;
    let counters = Arc::new(Counters::default());
    let peer_context = Arc::new(PeerContext {
        me,
        cluster: config.cluster.clone(),
        members: RwLock::new(Vec::new()),
        counters: counters.clone(),
    });
    let runtime = start_runtime()?;
    let (engine_sender, inputs) = sync_channel(MAX_QUEUED_INPUTS);
    let (published, published_receiver) = watch::channel(PublishedState::default());
    let listeners = runtime.block_on(listen(&config))?;
    let storage_writer = start_storage_writer(&config, store, &engine_sender, &counters)?;
    let http_api =
        HttpApi { engine: engine_sender.clone(), published: published_receiver, counters: counters.clone() };
    spawn_connections(&runtime, listeners, http_api, peer_context.clone(), &engine_sender);
    log_start(&config, &identity, start_count);
    let engine = Engine::new(EngineParts {
        config,
        node,
        peer_context,
        input_sender: engine_sender,
        storage_writer,
        runtime: runtime.handle().clone(),
        published,
        start_count,
    });
    let result = engine.run(&inputs);
    log_end(&result, &counters);
    // There is no need to wait for connections: callers without an answer see their connection close.
    runtime.shutdown_background();
    Ok(result?)
}

fn log_start(config: &Config, identity: &OwnerIdentity, start_count: u64) {
    let OwnerIdentity { cluster, name, id } = identity;
    let id = format!("{id:016x}");
    info!(
        name, id, cluster, starts = start_count,
        peers = %config.peer_address, local = %config.http_address, "agent starts"
    );
}

fn log_end(result: &Result<(), EngineError>, counters: &Counters) {
    match result {
        Ok(()) => info!("stopped"),
        Err(error) => error!(%error, "agent failed"),
    }
    info!(counters = serde_json::to_string(&counters.values_by_key()).unwrap_or_default(), "counters");
}

fn start_storage_writer(
    config: &Config,
    store: Store,
    engine: &SyncSender<EngineInput>,
    counters: &Arc<Counters>,
) -> Result<SyncSender<Batch>, AgentError> {
    let path = config.store.clone();
    match storage_writer::start(store, path, engine.clone(), counters.clone()) {
        Ok((sender, _)) => Ok(sender),
        Err(source) => Err(AgentError::Start { component: "storage writer", source }),
    }
}

fn open_store(config: &Config) -> Result<OpenedStore, StoreError> {
    let identity = InstanceIdentity::load_or_generate(config)?.into_inner();
    let store = Store::open(&config.store, &identity)?;
    let persisted = store.load()?;
    Ok(OpenedStore { identity, store, persisted })
}

fn raft_settings(config: &Config) -> RaftSettings {
    RaftSettings {
        election_ticks: config.election_ticks,
        heartbeat_ticks: config.heartbeat_ticks,
        retry_ticks: RETRY_ELECTION_TIMEOUTS * config.election_ticks as u64,
        compact_every: config.compact_every,
        retained_entries: config.compact_every / RETAINED_ENTRIES_DIVISOR,
        seed: fastrand::u64(..),
        ..RaftSettings::default()
    }
}

fn start_runtime() -> Result<Runtime, AgentError> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(RUNTIME_THREADS)
        .enable_all()
        .build()
        .map_err(|source| AgentError::Start { component: "runtime", source })
}

async fn listen(config: &Config) -> Result<Listeners, AgentError> {
    Ok(Listeners {
        peers: bind("peers", config.peer_address).await?,
        http: bind("local", config.http_address).await?,
    })
}

async fn bind(key: &'static str, address: SocketAddr) -> Result<TcpListener, AgentError> {
    TcpListener::bind(address).await.map_err(|source| AgentError::Listen { key, address, source })
}

/// Spawns the peer listener, the HTTP server and the signal handler.
fn spawn_connections(
    runtime: &Runtime,
    listeners: Listeners,
    http_api: HttpApi,
    peer_context: Arc<PeerContext>,
    engine: &SyncSender<EngineInput>,
) {
    runtime.spawn(peer_transport::listen(listeners.peers, peer_context, engine.clone()));
    runtime.spawn(async move {
        if let Err(error) = axum::serve(listeners.http, http_api::routes(http_api)).await {
            error!(%error, "HTTP server failed");
        }
    });
    runtime.spawn(shut_down_on_signal(engine.clone()));
}

async fn shut_down_on_signal(engine: SyncSender<EngineInput>) {
    let (Ok(mut terminate), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        error!("failed to install handlers for SIGTERM and SIGINT");
        return;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    // A separate thread, because the send blocks while the queue is full and must not block a runtime thread.
    std::thread::spawn(move || engine.send(EngineInput::Shutdown));
}

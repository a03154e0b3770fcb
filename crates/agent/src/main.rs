//! `garnetcrank-agent`: takes part in the agreement; see the operators' page.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::mpsc::sync_channel;
use std::sync::{Arc, RwLock};

use clap::{Parser, Subcommand};
use garnetcrank_agent::config::{Config, LogFormat};
use garnetcrank_agent::core::{Core, INPUTS_MOST, Input, Parts, Public};
use garnetcrank_agent::counters::Counters;
use garnetcrank_agent::local::{self, Local};
use garnetcrank_agent::{peers, writer};
use garnetcrank_consensus::ids::InstanceId;
use garnetcrank_consensus::raft_node::{self, RaftNode, RaftSettings};
use garnetcrank_consensus::replicated_state::Member;
use garnetcrank_store::{Identity, Store, StoreError};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tracing::{error, info};
use tracing_subscriber::EnvFilter;

/// Takes part in one decision among several instances.
///
/// Exit codes: 0 told to stop; 1 an address or the store can't be used, or the store has ended; 2 the command line or
/// the configuration is wrong.
#[derive(Debug, Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    job: Job,
}

#[derive(Debug, Subcommand)]
enum Job {
    /// Take part until SIGTERM or SIGINT.
    Run {
        /// The configuration.
        #[arg(long)]
        config: PathBuf,
    },
    /// Make a new store that is a cluster of one; others are added to it.
    Found {
        /// The configuration.
        #[arg(long)]
        config: PathBuf,
    },
    /// Check the configuration.
    Check {
        /// The configuration.
        #[arg(long)]
        config: PathBuf,
    },
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let (Job::Run { config: path } | Job::Found { config: path } | Job::Check { config: path }) = &cli.job;
    let config = match Config::read(path) {
        Ok(config) => config,
        Err(error) => return fail(2, &error.to_string()),
    };
    let filter = match EnvFilter::try_new(&config.log.filter) {
        Ok(filter) => filter,
        Err(error) => return fail(2, &format!("configuration: log.filter: {error}")),
    };
    let lines =
        tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).with_target(false);
    match config.log.format {
        LogFormat::Text => lines.with_ansi(false).init(),
        LogFormat::Json => lines.json().flatten_event(true).init(),
    }
    match cli.job {
        Job::Check { .. } => ExitCode::SUCCESS,
        Job::Found { .. } => found(&config),
        Job::Run { .. } => run(config),
    }
}

fn fail(code: u8, why: &str) -> ExitCode {
    eprintln!("{why}");
    ExitCode::from(code)
}

/// This instance's identity: the store's, or a new one for a store that is to be made.
fn identity(config: &Config) -> Result<(Identity, bool), StoreError> {
    if let Some(identity) = Store::owner(&config.store)? {
        let named = Identity { cluster: config.cluster.clone(), name: config.name.clone(), id: identity.id };
        return Ok((named, false));
    }
    let id = fastrand::u64(1..);
    Ok((Identity { cluster: config.cluster.clone(), name: config.name.clone(), id }, true))
}

fn member(config: &Config, identity: &Identity) -> Member {
    let address = config.announced().to_string();
    Member { id: InstanceId(identity.id), name: identity.name.clone(), address }
}

fn store_fault(path: &Path, error: &StoreError) -> ExitCode {
    fail(1, &format!("store {}: {error}; {}", path.display(), writer::advice(error)))
}

fn found(config: &Config) -> ExitCode {
    let made = identity(config).and_then(|(identity, new)| {
        if !new {
            return Err(StoreError::Ended("there is a store already: a cluster is founded once".to_owned()));
        }
        let mut store = Store::open(&config.store, &identity)?;
        store.commit(&raft_node::initial_state(&[member(config, &identity)]))?;
        Ok(identity)
    });
    match made {
        Ok(identity) => {
            println!("founded cluster {} with {} ({:016x})", identity.cluster, identity.name, identity.id);
            ExitCode::SUCCESS
        }
        Err(error) => store_fault(&config.store, &error),
    }
}

fn run(config: Config) -> ExitCode {
    let opened = identity(&config).and_then(|(identity, _)| {
        let store = Store::open(&config.store, &identity)?;
        let loaded = store.load()?;
        Ok((identity, store, loaded))
    });
    let (identity, store, loaded) = match opened {
        Ok(opened) => opened,
        Err(error) => return store_fault(&config.store, &error),
    };
    let me = member(&config, &identity);
    let starts = store.starts();
    let settings = RaftSettings {
        election_ticks: config.election_ticks,
        heartbeat_ticks: config.heartbeat_ticks,
        retry_ticks: 2 * config.election_ticks as u64,
        compact_every: config.fold_every,
        retained_entries: config.fold_every / 10,
        seed: fastrand::u64(..),
        ..RaftSettings::default()
    };
    let node = match RaftNode::start(settings, me.id, starts, loaded) {
        Ok(node) => node,
        Err(error) => return fail(1, &format!("store {}: {error}", config.store.display())),
    };
    let counters = Arc::new(Counters::default());
    let ground = Arc::new(peers::Ground {
        me,
        cluster: config.cluster.clone(),
        members: RwLock::new(Vec::new()),
        counters: counters.clone(),
    });
    let runtime = match tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return fail(1, &format!("runtime: {error}")),
    };
    let (to_core, inputs) = sync_channel(INPUTS_MOST);
    let (public, told) = watch::channel(Public::default());
    let local = Local { core: to_core.clone(), public: told, counters: counters.clone() };
    let listening = runtime.block_on(async {
        let peers =
            TcpListener::bind(config.peers).await.map_err(|e| format!("peers: {}: {e}", config.peers))?;
        let local =
            TcpListener::bind(config.local).await.map_err(|e| format!("local: {}: {e}", config.local))?;
        Ok::<_, String>((peers, local))
    });
    let (peer_listener, local_listener) = match listening {
        Ok(listening) => listening,
        Err(error) => return fail(1, &error),
    };
    let writer = match writer::start(store, config.store.clone(), to_core.clone(), counters.clone()) {
        Ok((writer, _)) => writer,
        Err(error) => return fail(1, &format!("thread: {error}")),
    };
    runtime.spawn(peers::listen(peer_listener, ground.clone(), to_core.clone()));
    runtime.spawn(async move {
        if let Err(error) = axum::serve(local_listener, local::routes(local)).await {
            error!("local port: {error}");
        }
    });
    runtime.spawn(stop_on_signals(to_core.clone()));
    info!(
        name = identity.name, id = format!("{:016x}", identity.id), cluster = identity.cluster, starts,
        peers = %config.peers, local = %config.local, "agent starts"
    );
    let handle = runtime.handle().clone();
    let core = Core::new(Parts { config, node, ground, to_core, writer, runtime: handle, public, starts });
    let ended = core.run(&inputs);
    let code = match ended {
        Ok(()) => {
            info!("stopped");
            ExitCode::SUCCESS
        }
        Err(error) => {
            error!("{error}");
            ExitCode::FAILURE
        }
    };
    info!(counters = serde_json::to_string(&counters.all()).unwrap_or_default(), "counters");
    // Connections need not be waited for: whoever had no answer is told so by their end.
    runtime.shutdown_background();
    code
}

async fn stop_on_signals(core: std::sync::mpsc::SyncSender<Input>) {
    let (Ok(mut term), Ok(mut int)) = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        error!("signals can't be heard");
        return;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    // A full queue is emptied by the core; until then wait off this runtime's threads.
    std::thread::spawn(move || core.send(Input::Stop));
}

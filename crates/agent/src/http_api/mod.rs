//! The local port: HTTP/1.1 with JSON, for proxies and operators of this machine. Handlers turn a request into an
//! [`EngineRequest`] and wait for its answer; they hold no state of their own.

use std::sync::Arc;
use std::sync::mpsc::SyncSender;
use std::time::Duration;

use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::routing::{get, post};
use serde::Deserialize;
use tokio::sync::{oneshot, watch};
use tokio::time::timeout;

use self::error::ApiError;
use crate::api::{DEFAULT_TIMEOUT_MS, MAX_TIMEOUT_MS};
use crate::counters::{Counters, count};
use crate::engine_input::{EngineInput, EngineRequest, PublishedState, ReadConsistency};

mod error;
mod handlers;
mod watch_stream;

pub use watch_stream::WATCH_INTERVAL;

/// Longest request body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Longest name of a proxy, in bytes.
const MAX_PROXY_NAME_BYTES: usize = 64;
/// How much longer than the request's own timeout a handler waits for the engine. The engine answers in time by
/// itself; this is for an engine that does not run.
const ENGINE_GRACE_MS: u64 = 2_000;

/// What the handlers work with.
#[derive(Clone)]
pub struct HttpApi {
    /// The engine's queue.
    pub engine: SyncSender<EngineInput>,
    /// What the engine publishes to proxies that watch.
    pub published: watch::Receiver<PublishedState>,
    /// Counters of the agent.
    pub counters: Arc<Counters>,
}

/// The port's routes.
pub fn routes(api: HttpApi) -> Router {
    Router::new()
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/v1/status", get(handlers::status))
        .route("/v1/counters", get(handlers::counters))
        .route("/v1/sessions", post(handlers::open_session))
        .route("/v1/propose", post(handlers::propose))
        .route("/v1/ledger", get(handlers::list_subjects))
        .route("/v1/ledger/{space}/{number}", get(handlers::show_subject))
        .route("/v1/grants", get(handlers::list_leases))
        .route("/v1/members", post(handlers::change_membership))
        .route("/v1/transfer", post(handlers::transfer_leadership))
        .route("/v1/snapshot", post(handlers::compact))
        .route("/v1/verdicts", post(handlers::report_verdict))
        .route("/v1/watch", get(watch_stream::watch))
        .fallback(|| async { ApiError::UnknownPath })
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(api)
}

impl HttpApi {
    /// Sends the engine a request and waits for its one answer.
    async fn request<T>(
        &self,
        timeout_ms: u64,
        request: impl FnOnce(oneshot::Sender<T>) -> EngineRequest,
    ) -> Result<T, ApiError> {
        let (reply, answer) = oneshot::channel();
        self.send(EngineInput::Request(request(reply)))?;
        let limit = Duration::from_millis(timeout_ms + ENGINE_GRACE_MS);
        match timeout(limit, answer).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(_)) => Err(ApiError::Ending),
            Err(_) => Err(ApiError::EngineTimeout { limit }),
        }
    }

    /// Counts a request and passes its input to the engine.
    fn send(&self, input: EngineInput) -> Result<(), ApiError> {
        count(&self.counters.http_requests);
        if self.engine.try_send(input).is_err() {
            count(&self.counters.requests_shed);
            return Err(ApiError::Busy);
        }
        Ok(())
    }
}

/// The query of a request; each path uses some of its keys.
#[derive(Debug, Default, Deserialize)]
struct QueryOptions {
    #[serde(rename = "within_ms")]
    timeout_ms: Option<u64>,
    /// Anything but 0: a stale read is enough.
    stale: Option<u8>,
    after: Option<String>,
    space: Option<String>,
    #[serde(rename = "front")]
    proxy: Option<String>,
}

impl QueryOptions {
    fn timeout_ms(&self) -> u64 {
        effective_timeout_ms(self.timeout_ms)
    }

    fn consistency(&self) -> ReadConsistency {
        match self.stale {
            None | Some(0) => ReadConsistency::Linearizable,
            Some(_) => ReadConsistency::Stale,
        }
    }
}

/// The wait that a caller gets, in milliseconds.
fn effective_timeout_ms(requested: Option<u64>) -> u64 {
    requested.unwrap_or(DEFAULT_TIMEOUT_MS).min(MAX_TIMEOUT_MS)
}

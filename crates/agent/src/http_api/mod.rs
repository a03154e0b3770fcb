//! The local HTTP port: HTTP/1.1 with JSON, for proxies and operators of this machine. Handlers are
//! stateless: each converts its request into an [`EngineRequest`] and waits for the answer.

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
use crate::counters::{Counters, increment};
use crate::engine_input::{EngineInput, EngineRequest, PublishedState, ReadConsistency};

mod error;
mod handlers;
mod watch_stream;

pub use watch_stream::WATCH_INTERVAL;

/// Maximum length of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum length of a proxy's name, in bytes.
const MAX_PROXY_NAME_BYTES: usize = 64;
/// Time that a handler waits for the engine beyond the request's own timeout, in milliseconds. A running
/// engine answers within the request's timeout, so this detects only an engine that is stuck.
const ENGINE_GRACE_MS: u64 = 2_000;

/// The state shared by the handlers.
#[derive(Clone)]
pub struct HttpApi {
    /// The sending end of the engine's queue.
    pub engine: SyncSender<EngineInput>,
    /// The state that the engine publishes to proxies that watch.
    pub published: watch::Receiver<PublishedState>,
    /// Counters of the agent.
    pub counters: Arc<Counters>,
}

/// Builds the router of the HTTP port.
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
    /// Sends a request to the engine and waits for its answer.
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
            Ok(Err(_)) => Err(ApiError::ShuttingDown),
            Err(_) => Err(ApiError::EngineTimeout { limit }),
        }
    }

    /// Counts an HTTP request and passes its input to the engine.
    fn send(&self, input: EngineInput) -> Result<(), ApiError> {
        increment(&self.counters.http_requests);
        if self.engine.try_send(input).is_err() {
            increment(&self.counters.requests_shed);
            return Err(ApiError::Busy);
        }
        Ok(())
    }
}

/// The query parameters of a request; each path uses some of them.
#[derive(Debug, Default, Deserialize)]
struct QueryOptions {
    #[serde(rename = "within_ms")]
    timeout_ms: Option<u64>,
    /// Any value other than 0 permits a stale read.
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

/// Returns the timeout of a request in milliseconds: the requested one, limited to [`MAX_TIMEOUT_MS`], or the
/// default.
fn effective_timeout_ms(requested: Option<u64>) -> u64 {
    requested.unwrap_or(DEFAULT_TIMEOUT_MS).min(MAX_TIMEOUT_MS)
}

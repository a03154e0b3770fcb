//! The path `GET /v1/watch`: a stream with one line of JSON per change, and at least one per
//! [`WATCH_INTERVAL`].

use std::convert::Infallible;
use std::sync::mpsc::{SyncSender, TrySendError};
use std::time::Duration;

use axum::body::{Body, Bytes};
use axum::extract::{Query, State};
use axum::http::header;
use axum::response::{IntoResponse, Response};
use tokio::sync::watch;
use tokio::time::timeout;

use super::error::ApiError;
use super::{HttpApi, MAX_PROXY_NAME_BYTES, QueryOptions};
use crate::engine_input::{EngineInput, PublishedState};

/// Longest time between two lines, so that a proxy detects a paused agent by the missing lines.
pub const WATCH_INTERVAL: Duration = Duration::from_millis(200);

/// A guard that notifies the engine of the end of a proxy's watch when it is dropped.
struct WatchGuard {
    proxy: String,
    engine: SyncSender<EngineInput>,
}

impl Drop for WatchGuard {
    fn drop(&mut self) {
        let input = EngineInput::ProxyDisconnected(std::mem::take(&mut self.proxy));
        // The input must not be lost to a full queue: a disconnected proxy would stay assigned the vote.
        if let Err(TrySendError::Full(input)) = self.engine.try_send(input) {
            let engine = self.engine.clone();
            std::thread::spawn(move || engine.send(input));
        }
    }
}

/// The watch of one proxy.
struct Watch {
    published: watch::Receiver<PublishedState>,
    guard: WatchGuard,
}

impl Watch {
    /// Waits for a change or for the end of the interval, and returns the line to send.
    async fn next_line(&mut self) -> Bytes {
        // Neither a timeout nor the engine's end is an error: the proxy receives the last published state.
        let _ = timeout(WATCH_INTERVAL, self.published.changed()).await;
        let event = self.published.borrow_and_update().event_for(&self.guard.proxy);
        let mut line = serde_json::to_vec(&event).unwrap_or_default();
        line.push(b'\n');
        Bytes::from(line)
    }
}

pub(super) async fn watch(
    State(api): State<HttpApi>,
    Query(options): Query<QueryOptions>,
) -> Result<Response, ApiError> {
    let proxy = options.proxy.filter(|name| is_proxy_name(name)).ok_or(ApiError::ProxyName)?;
    api.send(EngineInput::ProxyConnected(proxy.clone()))?;
    let guard = WatchGuard { proxy, engine: api.engine };
    let watch = Watch { published: api.published, guard };
    let lines = futures_util::stream::unfold(watch, |mut watch| async move {
        let line = watch.next_line().await;
        Some((Ok::<_, Infallible>(line), watch))
    });
    Ok(([(header::CONTENT_TYPE, "application/x-ndjson")], Body::from_stream(lines)).into_response())
}

fn is_proxy_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_PROXY_NAME_BYTES
}

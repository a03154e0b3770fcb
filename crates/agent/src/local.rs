//! The local port: HTTP/1.1 with JSON, for fronts and operators of this machine.

use std::sync::Arc;
use std::sync::mpsc::SyncSender;
use std::time::Duration;

use axum::Router;
use axum::body::{Body, Bytes};
use axum::extract::{DefaultBodyLimit, Path, Query as Params, State};
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Json, Response};
use axum::routing::{get, post};
use garnetcrank_consensus::ids::Subject;
use serde::{Deserialize, Serialize};
use tokio::sync::{oneshot, watch};

use crate::api::{Fault, MemberChange, Operated, Propose, Proposed, Verdict, WITHIN, WITHIN_MOST, Watched};
use crate::core::{Ask, Input, Public, Query, Read};
use crate::counters::{Counters, count};

/// Longest body, in bytes.
const BODY_MOST: usize = 64 * 1024;
/// A watching front gets a line so often, so that it knows a frozen agent by its silence.
pub const WATCH_EVERY: Duration = Duration::from_millis(200);

/// What the handlers work with.
#[derive(Clone)]
pub struct Local {
    /// The core's queue.
    pub core: SyncSender<Input>,
    /// What fronts are told.
    pub public: watch::Receiver<Public>,
    /// Counters.
    pub counters: Arc<Counters>,
}

/// The port's routes.
pub fn routes(local: Local) -> Router {
    Router::new()
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/v1/status", get(status))
        .route("/v1/counters", get(counters))
        .route("/v1/sessions", post(open))
        .route("/v1/propose", post(propose))
        .route("/v1/ledger", get(ledger))
        .route("/v1/ledger/{space}/{number}", get(subject))
        .route("/v1/grants", get(grants))
        .route("/v1/members", post(members))
        .route("/v1/transfer", post(transfer))
        .route("/v1/snapshot", post(snapshot))
        .route("/v1/verdicts", post(verdicts))
        .route("/v1/watch", get(watch))
        .fallback(|| async { fault(StatusCode::NOT_FOUND, "no such path") })
        .layer(DefaultBodyLimit::max(BODY_MOST))
        .with_state(local)
}

/// A request that is not carried out.
struct Refusal(StatusCode, String);

impl IntoResponse for Refusal {
    fn into_response(self) -> Response {
        (self.0, Json(Fault { error: self.1 })).into_response()
    }
}

fn refuse(code: StatusCode, error: impl Into<String>) -> Refusal {
    Refusal(code, error.into())
}

fn fault(code: StatusCode, error: impl Into<String>) -> Response {
    refuse(code, error).into_response()
}

impl Local {
    /// Asks the core and waits for its one answer.
    async fn ask<T>(&self, within: u64, ask: impl FnOnce(oneshot::Sender<T>) -> Ask) -> Result<T, Refusal> {
        count(&self.counters.requests);
        let (reply, answer) = oneshot::channel();
        if self.core.try_send(Input::Ask(ask(reply))).is_err() {
            count(&self.counters.busy);
            return Err(refuse(StatusCode::SERVICE_UNAVAILABLE, "the agent is busy or ending; try again"));
        }
        // The core answers in time by itself; this is for a core that does not run.
        match tokio::time::timeout(Duration::from_millis(within + 2_000), answer).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(_)) => Err(refuse(StatusCode::SERVICE_UNAVAILABLE, "the agent is ending")),
            Err(_) => Err(refuse(StatusCode::GATEWAY_TIMEOUT, "the agent's core does not answer")),
        }
    }
}

/// A body as JSON, with the faulty key by name.
fn body<T: for<'a> Deserialize<'a>>(bytes: &Bytes) -> Result<T, Refusal> {
    let mut reader = serde_json::Deserializer::from_slice(bytes);
    serde_path_to_error::deserialize(&mut reader)
        .map_err(|e| refuse(StatusCode::BAD_REQUEST, format!("{}: {}", e.path(), e.inner())))
}

fn answer<T: Serialize>(result: Result<T, Refusal>) -> Response {
    result.map(Json).into_response()
}

#[derive(Debug, Default, Deserialize)]
struct Options {
    within_ms: Option<u64>,
    stale: Option<u8>,
    after: Option<String>,
    space: Option<String>,
    front: Option<String>,
}

impl Options {
    fn within(&self) -> u64 {
        self.within_ms.unwrap_or(WITHIN).min(WITHIN_MOST)
    }
}

async fn status(State(local): State<Local>) -> Response {
    answer(local.ask(0, Ask::Status).await)
}

async fn counters(State(local): State<Local>) -> Response {
    Json(local.counters.all()).into_response()
}

async fn open(State(local): State<Local>, Params(options): Params<Options>) -> Response {
    let within = options.within();
    answer(local.ask(within, |reply| Ask::Open(within, reply)).await)
}

async fn propose(State(local): State<Local>, bytes: Bytes) -> Response {
    let asked: Propose = match body(&bytes) {
        Ok(asked) => asked,
        Err(refusal) => return refusal.into_response(),
    };
    let within = asked.within_ms.unwrap_or(WITHIN).min(WITHIN_MOST);
    let result: Result<Proposed, Refusal> = match (asked.command, asked.proposal) {
        (Some(command), None) => local.ask(within, |reply| Ask::Once(command, within, reply)).await,
        (None, Some(proposal)) => local.ask(within, |reply| Ask::Propose(proposal, within, reply)).await,
        _ => Err(refuse(StatusCode::BAD_REQUEST, "either a command or a proposal is wanted")),
    };
    answer(result)
}

async fn read(local: &Local, query: Query, options: &Options) -> Response {
    let (within, stale) = (options.within(), options.stale.unwrap_or(0) != 0);
    match local.ask(within, |reply| Ask::Read(query, stale, within, reply)).await {
        Ok(Read::Page(page)) => Json(page).into_response(),
        Ok(Read::Grants(grants)) => Json(grants).into_response(),
        Ok(Read::Not(why)) => fault(StatusCode::SERVICE_UNAVAILABLE, why),
        Err(refusal) => refusal.into_response(),
    }
}

async fn ledger(State(local): State<Local>, Params(options): Params<Options>) -> Response {
    let after = match options.after.as_deref().map(str::parse::<Subject>).transpose() {
        Ok(after) => after,
        Err(error) => return fault(StatusCode::BAD_REQUEST, error.to_string()),
    };
    let query = Query::Page { after, space: options.space.clone() };
    read(&local, query, &options).await
}

async fn subject(
    State(local): State<Local>,
    Path((space, number)): Path<(String, String)>,
    Params(options): Params<Options>,
) -> Response {
    match format!("{space}/{number}").parse::<Subject>() {
        Ok(subject) => read(&local, Query::Subject(subject), &options).await,
        Err(error) => fault(StatusCode::BAD_REQUEST, error.to_string()),
    }
}

async fn grants(State(local): State<Local>, Params(options): Params<Options>) -> Response {
    read(&local, Query::Grants, &options).await
}

async fn members(State(local): State<Local>, Params(options): Params<Options>, bytes: Bytes) -> Response {
    let within = options.within();
    match body::<MemberChange>(&bytes) {
        Ok(change) => answer(local.ask(within, |reply| Ask::Change(change, within, reply)).await),
        Err(refusal) => refusal.into_response(),
    }
}

#[derive(Debug, Deserialize)]
struct To {
    to: String,
}

async fn transfer(State(local): State<Local>, bytes: Bytes) -> Response {
    match body::<To>(&bytes) {
        Ok(to) => answer(local.ask(0, |reply| Ask::Transfer(to.to, reply)).await),
        Err(refusal) => refusal.into_response(),
    }
}

async fn snapshot(State(local): State<Local>) -> Response {
    let result: Result<Operated, Refusal> = local.ask(0, Ask::Fold).await;
    answer(result)
}

#[derive(Debug, Serialize)]
struct Heard {
    heard: bool,
}

async fn verdicts(State(local): State<Local>, bytes: Bytes) -> Response {
    match body::<Verdict>(&bytes) {
        Ok(verdict) => {
            answer(local.ask(0, |reply| Ask::Verdict(verdict, reply)).await.map(|heard| Heard { heard }))
        }
        Err(refusal) => refusal.into_response(),
    }
}

/// Tells the core that a front has gone, however its connection ends.
struct Watching {
    name: String,
    core: SyncSender<Input>,
}

impl Drop for Watching {
    fn drop(&mut self) {
        let left = Input::FrontLeft(std::mem::take(&mut self.name));
        // A full queue must not lose it: a front that has gone would be told to cast for ever.
        if let Err(std::sync::mpsc::TrySendError::Full(left)) = self.core.try_send(left) {
            let core = self.core.clone();
            std::thread::spawn(move || core.send(left));
        }
    }
}

/// What one front is told: only the caster gets the vote.
fn told(public: &Public, front: &str) -> Watched {
    let mut watched = public.watched.clone();
    if public.caster.as_deref() != Some(front) {
        watched.cast = None;
    }
    watched
}

async fn watch(State(local): State<Local>, Params(options): Params<Options>) -> Response {
    let Some(front) = options.front.filter(|name| !name.is_empty() && name.len() <= 64) else {
        return fault(StatusCode::BAD_REQUEST, "front=NAME is wanted, 1 to 64 bytes");
    };
    count(&local.counters.requests);
    if local.core.try_send(Input::FrontCame(front.clone())).is_err() {
        count(&local.counters.busy);
        return fault(StatusCode::SERVICE_UNAVAILABLE, "the agent is busy or ending; try again");
    }
    let watching = Watching { name: front, core: local.core };
    let lines = futures_util::stream::unfold((local.public, watching), |(mut public, watching)| async move {
        // Changes at once, and a line now and then all the same.
        let _ = tokio::time::timeout(WATCH_EVERY, public.changed()).await;
        let watched = told(&public.borrow_and_update(), &watching.name);
        let mut line = serde_json::to_vec(&watched).unwrap_or_default();
        line.push(b'\n');
        Some((Ok::<_, std::convert::Infallible>(Bytes::from(line)), (public, watching)))
    });
    ([(header::CONTENT_TYPE, "application/x-ndjson")], Body::from_stream(lines)).into_response()
}

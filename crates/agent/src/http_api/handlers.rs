//! Handlers of the paths with a single response.

use std::collections::BTreeMap;

use axum::body::Bytes;
use axum::extract::{Path, Query, State};
use axum::response::{IntoResponse, Json, Response};
use garnetcrank_consensus::ids::Subject;
use serde::Deserialize;

use super::error::ApiError;
use super::{HttpApi, QueryOptions, effective_timeout_ms};
use crate::api::{
    MembershipRequest, OperationResponse, ProposeRequest, ProposeResponse, StatusView, VerdictReceipt,
    VerdictReport,
};
use crate::engine_input::{EngineRequest, QueryOutput, StateQuery};

type JsonResult<T> = Result<Json<T>, ApiError>;

/// Parses a JSON body. An error names the faulty key.
fn parse_body<T: for<'a> Deserialize<'a>>(bytes: &Bytes) -> Result<T, ApiError> {
    let mut reader = serde_json::Deserializer::from_slice(bytes);
    Ok(serde_path_to_error::deserialize(&mut reader)?)
}

pub(super) async fn status(State(api): State<HttpApi>) -> JsonResult<StatusView> {
    Ok(Json(api.request(0, EngineRequest::Status).await?))
}

pub(super) async fn counters(State(api): State<HttpApi>) -> Json<BTreeMap<&'static str, u64>> {
    Json(api.counters.values_by_key())
}

pub(super) async fn open_session(
    State(api): State<HttpApi>,
    Query(options): Query<QueryOptions>,
) -> JsonResult<ProposeResponse> {
    let timeout_ms = options.timeout_ms();
    let request = |reply| EngineRequest::OpenSession { timeout_ms, reply };
    Ok(Json(api.request(timeout_ms, request).await?))
}

pub(super) async fn propose(State(api): State<HttpApi>, bytes: Bytes) -> JsonResult<ProposeResponse> {
    let body: ProposeRequest = parse_body(&bytes)?;
    let timeout_ms = effective_timeout_ms(body.timeout_ms);
    let response = match (body.command, body.proposal) {
        (Some(command), None) => {
            let request = |reply| EngineRequest::Execute { command, timeout_ms, reply };
            api.request(timeout_ms, request).await?
        }
        (None, Some(proposal)) => {
            let request = |reply| EngineRequest::Propose { proposal, timeout_ms, reply };
            api.request(timeout_ms, request).await?
        }
        (None, None) | (Some(_), Some(_)) => return Err(ApiError::CommandOrProposal),
    };
    Ok(Json(response))
}

/// Reads the replicated state with the consistency and timeout of the options.
async fn read(api: &HttpApi, query: StateQuery, options: &QueryOptions) -> Result<Response, ApiError> {
    let timeout_ms = options.timeout_ms();
    let consistency = options.consistency();
    let request = |reply| EngineRequest::Read { query, consistency, timeout_ms, reply };
    match api.request(timeout_ms, request).await?? {
        QueryOutput::Subjects(page) => Ok(Json(page).into_response()),
        QueryOutput::Leases(leases) => Ok(Json(leases).into_response()),
    }
}

pub(super) async fn list_subjects(
    State(api): State<HttpApi>,
    Query(options): Query<QueryOptions>,
) -> Result<Response, ApiError> {
    let after = match &options.after {
        Some(text) => Some(text.parse::<Subject>()?),
        None => None,
    };
    let query = StateQuery::Page { after, space: options.space.clone() };
    read(&api, query, &options).await
}

pub(super) async fn show_subject(
    State(api): State<HttpApi>,
    Path((space, number)): Path<(String, String)>,
    Query(options): Query<QueryOptions>,
) -> Result<Response, ApiError> {
    let subject = format!("{space}/{number}").parse::<Subject>()?;
    read(&api, StateQuery::Subject(subject), &options).await
}

pub(super) async fn list_leases(
    State(api): State<HttpApi>,
    Query(options): Query<QueryOptions>,
) -> Result<Response, ApiError> {
    read(&api, StateQuery::Leases, &options).await
}

pub(super) async fn change_membership(
    State(api): State<HttpApi>,
    Query(options): Query<QueryOptions>,
    bytes: Bytes,
) -> JsonResult<OperationResponse> {
    let timeout_ms = options.timeout_ms();
    let change: MembershipRequest = parse_body(&bytes)?;
    let request = |reply| EngineRequest::ChangeMembership { request: change, timeout_ms, reply };
    Ok(Json(api.request(timeout_ms, request).await?))
}

/// The body of `POST /v1/transfer`.
#[derive(Debug, Deserialize)]
struct TransferRequest {
    to: String,
}

pub(super) async fn transfer_leadership(
    State(api): State<HttpApi>,
    bytes: Bytes,
) -> JsonResult<OperationResponse> {
    let TransferRequest { to } = parse_body(&bytes)?;
    let request = |reply| EngineRequest::TransferLeadership { to, reply };
    Ok(Json(api.request(0, request).await?))
}

pub(super) async fn compact(State(api): State<HttpApi>) -> JsonResult<OperationResponse> {
    Ok(Json(api.request(0, EngineRequest::Compact).await?))
}

pub(super) async fn report_verdict(State(api): State<HttpApi>, bytes: Bytes) -> JsonResult<VerdictReceipt> {
    let report: VerdictReport = parse_body(&bytes)?;
    let request = |reply| EngineRequest::ReportVerdict { report, reply };
    Ok(Json(api.request(0, request).await?))
}

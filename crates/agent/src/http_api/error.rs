//! Errors of the HTTP port and their status codes.

use std::time::Duration;

use axum::http::StatusCode;
use axum::response::{IntoResponse, Json, Response};
use garnetcrank_consensus::ids::ParseSubjectError;

use super::MAX_PROXY_NAME_BYTES;
use crate::api::ErrorBody;
use crate::engine_input::QueryError;

/// An error that fails a request. Its text is the `error` field of the response body.
#[derive(Debug, thiserror::Error)]
pub(super) enum ApiError {
    /// A full queue of the engine, or an engine that has ended.
    #[error("the agent is busy or ending; try again")]
    Busy,
    /// An engine that ended before it answered.
    #[error("the agent is ending")]
    ShuttingDown,
    /// An engine that does not answer in time.
    #[error("the agent's engine did not answer within {} ms", limit.as_millis())]
    EngineTimeout {
        /// The time waited for the answer.
        limit: Duration,
    },
    /// An unanswered read.
    #[error("{0}")]
    Query(#[from] QueryError),
    /// A body that is not JSON or not of the expected type.
    #[error("{key}: {source}")]
    Body {
        /// The path of the faulty key.
        key: String,
        /// The JSON error.
        source: serde_json::Error,
    },
    /// A subject that can't be parsed.
    #[error("{0}")]
    Subject(#[from] ParseSubjectError),
    /// A propose request with both a command and a proposal, or with neither.
    #[error("either a command or a proposal is required, not both")]
    CommandOrProposal,
    /// A watch request with a missing or invalid proxy name.
    #[error("front=NAME of 1 to {MAX_PROXY_NAME_BYTES} bytes is required")]
    ProxyName,
    /// A path that does not exist.
    #[error("no such path")]
    UnknownPath,
}

impl ApiError {
    fn status(&self) -> StatusCode {
        match self {
            Self::Busy | Self::ShuttingDown | Self::Query(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::EngineTimeout { .. } => StatusCode::GATEWAY_TIMEOUT,
            Self::Body { .. } | Self::Subject(_) | Self::CommandOrProposal | Self::ProxyName => {
                StatusCode::BAD_REQUEST
            }
            Self::UnknownPath => StatusCode::NOT_FOUND,
        }
    }
}

impl From<serde_path_to_error::Error<serde_json::Error>> for ApiError {
    fn from(error: serde_path_to_error::Error<serde_json::Error>) -> Self {
        Self::Body { key: error.path().to_string(), source: error.into_inner() }
    }
}

impl IntoResponse for ApiError {
    fn into_response(self) -> Response {
        (self.status(), Json(ErrorBody { error: self.to_string() })).into_response()
    }
}

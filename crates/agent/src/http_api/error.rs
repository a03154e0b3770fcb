//! Errors of the HTTP port, each with its status code.

use std::time::Duration;

use axum::http::StatusCode;
use axum::response::{IntoResponse, Json, Response};
use garnetcrank_consensus::ids::ParseSubjectError;

use super::MAX_PROXY_NAME_BYTES;
use crate::api::ErrorBody;
use crate::engine_input::QueryError;

/// Why a request is not carried out. Its text is the body's `error`.
#[derive(Debug, thiserror::Error)]
pub(super) enum ApiError {
    /// The engine's queue is full, or the engine has ended.
    #[error("the agent is busy or ending; try again")]
    Busy,
    /// The engine ended before it answered.
    #[error("the agent is ending")]
    Ending,
    /// The engine does not run.
    #[error("the agent's engine did not answer within {} ms", limit.as_millis())]
    EngineTimeout {
        /// How long was waited.
        limit: Duration,
    },
    /// A read was not answered.
    #[error("{0}")]
    Query(#[from] QueryError),
    /// A body that is no JSON or not of the expected form.
    #[error("{key}: {source}")]
    Body {
        /// The path of the faulty key.
        key: String,
        /// What is wrong there.
        source: serde_json::Error,
    },
    /// A subject that can't be parsed.
    #[error("{0}")]
    Subject(#[from] ParseSubjectError),
    /// A propose request with neither or both.
    #[error("either a command or a proposal is required, not both")]
    CommandOrProposal,
    /// A watch without a usable name.
    #[error("front=NAME of 1 to {MAX_PROXY_NAME_BYTES} bytes is required")]
    ProxyName,
    /// No such path.
    #[error("no such path")]
    UnknownPath,
}

impl ApiError {
    fn status(&self) -> StatusCode {
        match self {
            Self::Busy | Self::Ending | Self::Query(_) => StatusCode::SERVICE_UNAVAILABLE,
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

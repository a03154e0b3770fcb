//! HTTP requests to agents, either to the first that answers or to each in turn until the leader is found.

use std::time::Duration;

use garnetcrank_agent::api::{ErrorBody, OperationResponse};
use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::Agent as HttpAgent;

use crate::error::{AttemptError, AttemptErrorCause, CliError};

/// Longest wait for a connection to an agent.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that a request may take beyond the agent's own wait, so that the agent's answer still arrives.
const RESPONSE_GRACE: Duration = Duration::from_secs(3);

const STATUS_OK: u16 = 200;
const STATUS_SERVICE_UNAVAILABLE: u16 = 503;
const STATUS_GATEWAY_TIMEOUT: u16 = 504;

/// HTTP client for a list of agents, which are tried in order.
pub struct AgentClient {
    addresses: Vec<String>,
    http: HttpAgent,
    timeout: Duration,
}

/// Failure of a request to one agent.
enum RequestError {
    /// Failure after which another agent may answer.
    TryNext(AttemptErrorCause),
    /// Rejection that every agent would repeat.
    Rejected { reason: String },
}

impl<E> From<E> for RequestError
where
    AttemptErrorCause: From<E>,
{
    fn from(error: E) -> Self {
        Self::TryNext(error.into())
    }
}

impl AgentClient {
    /// Creates a client for the agents with these HTTP addresses, which are asked to wait up to `timeout`.
    pub fn new(addresses: Vec<String>, timeout: Duration) -> Self {
        let config = HttpAgent::config_builder()
            .timeout_global(Some(timeout + RESPONSE_GRACE))
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .http_status_as_error(false)
            .build();
        Self { addresses, http: config.into(), timeout }
    }

    /// Returns how long agents are asked to wait for a result.
    pub fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Reads from the first agent that answers.
    ///
    /// # Errors
    /// No agent answered, or one rejected the request.
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CliError> {
        self.request_first(path, None::<&()>)
    }

    /// Posts to the first agent that answers.
    ///
    /// # Errors
    /// No agent answered, or one rejected the request. If none answered, but one may have received the request, its
    /// outcome is unknown.
    pub fn post<T: DeserializeOwned>(&self, path: &str, body: &impl Serialize) -> Result<T, CliError> {
        self.request_first(path, Some(body)).map_err(|error| match error {
            CliError::Unreachable(failed) if has_unknown_outcome(&failed) => CliError::Indeterminate(failed),
            other => other,
        })
    }

    /// Posts to each agent in turn until the leader has carried out the request.
    ///
    /// # Errors
    /// No leader answered, the leader rejected the request, or the outcome of the request is unknown.
    pub fn post_to_leader(&self, path: &str, body: &impl Serialize) -> Result<(), CliError> {
        let mut failed = Vec::new();
        let mut leader = None;
        for address in &self.addresses {
            match self.request::<OperationResponse>(address, path, Some(body)) {
                Ok(OperationResponse::Done) => return Ok(()),
                Ok(OperationResponse::NotLeader { leader: known }) => leader = known.or(leader),
                Ok(OperationResponse::Indeterminate) => {
                    return Err(CliError::OperationIndeterminate { address: address.clone() });
                }
                Ok(OperationResponse::Rejected { reason }) => {
                    return Err(CliError::RejectedByAgent { address: address.clone(), reason });
                }
                Err(error) => failed.push(error.into_attempt(address)?),
            }
        }
        if has_unknown_outcome(&failed) {
            return Err(CliError::Indeterminate(failed));
        }
        match leader {
            Some(leader) => Err(CliError::LeaderNotAddressed { leader }),
            None if failed.is_empty() => Err(CliError::NoLeader),
            None => Err(CliError::LeaderUnreachable(failed)),
        }
    }

    fn request_first<T: DeserializeOwned>(
        &self,
        path: &str,
        body: Option<&impl Serialize>,
    ) -> Result<T, CliError> {
        let mut failed = Vec::new();
        for address in &self.addresses {
            match self.request(address, path, body) {
                Ok(value) => return Ok(value),
                Err(error) => failed.push(error.into_attempt(address)?),
            }
        }
        Err(CliError::Unreachable(failed))
    }

    /// Sends a request to one agent: a POST with a body, or a GET without one.
    fn request<T: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        body: Option<&impl Serialize>,
    ) -> Result<T, RequestError> {
        let url = self.url(address, path);
        let mut response = match body {
            None => self.http.get(&url).call()?,
            Some(body) => self.http.post(&url).send_json(body)?,
        };
        let status = response.status().as_u16();
        let text = response.body_mut().read_to_string()?;
        if status == STATUS_OK {
            return Ok(serde_json::from_str(&text)?);
        }
        let reason = match serde_json::from_str::<ErrorBody>(&text) {
            Ok(body) => body.error,
            Err(_) => text,
        };
        match status {
            STATUS_SERVICE_UNAVAILABLE | STATUS_GATEWAY_TIMEOUT => {
                Err(RequestError::TryNext(AttemptErrorCause::Unavailable(reason)))
            }
            _ => Err(RequestError::Rejected { reason }),
        }
    }

    fn url(&self, address: &str, path: &str) -> String {
        let separator = if path.contains('?') { '&' } else { '?' };
        format!("http://{address}{path}{separator}within_ms={}", self.timeout.as_millis())
    }
}

impl RequestError {
    /// Returns the failed attempt if another agent may answer.
    ///
    /// # Errors
    /// The request was rejected.
    fn into_attempt(self, address: &str) -> Result<AttemptError, CliError> {
        let address = address.to_owned();
        match self {
            Self::TryNext(cause) => Ok(AttemptError { address, cause }),
            Self::Rejected { reason } => Err(CliError::RejectedByAgent { address, reason }),
        }
    }
}

/// Returns whether a request may have taken effect although all attempts failed.
fn has_unknown_outcome(failed: &[AttemptError]) -> bool {
    failed.iter().any(AttemptError::may_have_been_received)
}

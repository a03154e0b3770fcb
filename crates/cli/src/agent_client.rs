//! Requests to agents: to the first that answers, or to each until the leader is found.

use std::time::Duration;

use garnetcrank_agent::api::{ErrorBody, OperationResponse};
use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::Agent as HttpAgent;

use crate::error::{AttemptError, AttemptErrorCause, CliError};

/// Longest wait for a connection to an agent.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How much longer than the agent's own wait a request may take, so that the agent's answer arrives.
const RESPONSE_GRACE: Duration = Duration::from_secs(3);

const STATUS_OK: u16 = 200;
const STATUS_SERVICE_UNAVAILABLE: u16 = 503;
const STATUS_GATEWAY_TIMEOUT: u16 = 504;

/// The agents that may be asked, in order.
pub struct AgentClient {
    addresses: Vec<String>,
    http: HttpAgent,
    timeout: Duration,
}

/// Why one agent gave no usable answer.
enum RequestError {
    /// Another agent may answer.
    TryNext(AttemptErrorCause),
    /// Every agent would say the same.
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
    /// A client for the agents with these local ports, which waits as long for an answer.
    pub fn new(addresses: Vec<String>, timeout: Duration) -> Self {
        let config = HttpAgent::config_builder()
            .timeout_global(Some(timeout + RESPONSE_GRACE))
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .http_status_as_error(false)
            .build();
        Self { addresses, http: config.into(), timeout }
    }

    /// How long agents are asked to wait for an answer.
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
    /// No agent answered, or one rejected the request.
    pub fn post<T: DeserializeOwned>(&self, path: &str, body: &impl Serialize) -> Result<T, CliError> {
        self.request_first(path, Some(body))
    }

    /// Posts to each agent until the leader has done what is asked.
    ///
    /// # Errors
    /// No agent that leads answered, the leader rejected the request, or it did not answer in time.
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

    /// Asks one agent: posts a body, or gets without one.
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
    /// The failed attempt, if another agent may be asked.
    fn into_attempt(self, address: &str) -> Result<AttemptError, CliError> {
        let address = address.to_owned();
        match self {
            Self::TryNext(cause) => Ok(AttemptError { address, cause }),
            Self::Rejected { reason } => Err(CliError::RejectedByAgent { address, reason }),
        }
    }
}

//! Requests to agents: to the first that answers, or to each until one leads.

use std::time::Duration;

use garnetcrank_agent::api::{ErrorBody, OperationResponse};
use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::Agent;

use crate::Trouble;

/// The agents that may be asked, in order.
pub struct Agents {
    addresses: Vec<String>,
    http: Agent,
    within: Duration,
}

enum Missed {
    /// Not there or not able just now: the next one may be.
    Next(String),
    /// An answer that counts.
    No(Trouble),
}

impl Agents {
    /// Agents by the addresses of their local ports.
    pub fn new(addresses: Vec<String>, within: Duration) -> Self {
        let config = Agent::config_builder()
            .timeout_global(Some(within + Duration::from_secs(3)))
            .timeout_connect(Some(Duration::from_secs(1)))
            .http_status_as_error(false)
            .build();
        Self { addresses, http: config.into(), within }
    }

    /// The wait as a query.
    fn wait(&self) -> String {
        format!("within_ms={}", self.within.as_millis())
    }

    fn one<T: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        body: Option<&impl Serialize>,
    ) -> Result<T, Missed> {
        let joint = if path.contains('?') { '&' } else { '?' };
        let url = format!("http://{address}{path}{joint}{}", self.wait());
        let next = |what: &dyn std::fmt::Display| Missed::Next(format!("{address}: {what}"));
        let sent = match body {
            None => self.http.get(&url).call(),
            Some(body) => self.http.post(&url).send_json(body),
        };
        let mut response = sent.map_err(|e| next(&e))?;
        let status = response.status().as_u16();
        let text = response.body_mut().read_to_string().map_err(|e| next(&e))?;
        if status == 200 {
            return serde_json::from_str(&text)
                .map_err(|e| next(&format_args!("an answer that can't be read: {e}")));
        }
        let why = serde_json::from_str::<ErrorBody>(&text).map_or(text, |fault| fault.error);
        match status {
            503 | 504 => Err(next(&why)),
            _ => Err(Missed::No(Trouble::Refused(format!("{address}: {why}")))),
        }
    }

    fn first<T: DeserializeOwned>(&self, path: &str, body: Option<&impl Serialize>) -> Result<T, Trouble> {
        let mut missed = Vec::new();
        for address in &self.addresses {
            match self.one(address, path, body) {
                Ok(value) => return Ok(value),
                Err(Missed::No(trouble)) => return Err(trouble),
                Err(Missed::Next(why)) => missed.push(why),
            }
        }
        missed.push("is an agent running there? --agent names others".to_owned());
        Err(Trouble::Unreached(missed.join("\n  ")))
    }

    /// Reads from the first that answers.
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Trouble> {
        self.first(path, None::<&()>)
    }

    /// Tells the first that answers.
    pub fn post<T: DeserializeOwned>(&self, path: &str, body: &impl Serialize) -> Result<T, Trouble> {
        self.first(path, Some(body))
    }

    /// Has the leader do something: asks each until one does.
    pub fn lead(&self, path: &str, body: &impl Serialize) -> Result<(), Trouble> {
        let (mut missed, mut leader) = (Vec::new(), None);
        for address in &self.addresses {
            match self.one(address, path, Some(body)) {
                Ok(OperationResponse::Done) => return Ok(()),
                Ok(OperationResponse::NotLeader { leader: known }) => leader = known.or(leader),
                Ok(OperationResponse::Indeterminate) => {
                    return Err(Trouble::MayYet(format!("{address}: no answer in time; it may yet be done")));
                }
                Ok(OperationResponse::Rejected { reason: why }) => {
                    return Err(Trouble::Refused(format!("{address}: {why}")));
                }
                Err(Missed::No(trouble)) => return Err(trouble),
                Err(Missed::Next(why)) => missed.push(why),
            }
        }
        match leader {
            Some(leader) => {
                Err(Trouble::Unreached(format!("{leader} leads: name its agent with --agent as well")))
            }
            None if missed.is_empty() => Err(Trouble::Unreached(
                "nobody leads just now: is a quorum of the members running?".to_owned(),
            )),
            None => Err(Trouble::Unreached(missed.join("\n  "))),
        }
    }
}

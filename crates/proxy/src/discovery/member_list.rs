//! JSON format of discovery's endpoint list.

use std::net::SocketAddr;

use garnetcrank_policy::api::{Build, EndpointStatus, Micros};
use serde::Deserialize;

use crate::clock::MS;

/// Relative size of an endpoint whose entry has no size.
const DEFAULT_SIZE: f64 = 1.0;

/// An endpoint list, or a delta to one.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct MemberList {
    /// Version of the list; increases with each change.
    pub(crate) revision: u64,
    /// Whether the list is complete; otherwise it contains changed members only.
    pub(crate) complete: bool,
    /// The members in the list.
    pub(crate) members: Vec<Member>,
}

/// An endpoint in a list.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct Member {
    pub(super) id: String,
    /// Address on which the endpoint listens.
    #[serde(rename = "host_port", default)]
    pub(super) address: Option<SocketAddr>,
    #[serde(rename = "locality", default)]
    pub(super) zone: String,
    #[serde(rename = "flavor", default)]
    pub(super) kind: String,
    #[serde(default)]
    pub(super) cell: u32,
    pub(super) phase: MemberPhase,
    /// Size relative to other endpoints.
    #[serde(default = "default_size")]
    pub(super) size: f64,
    /// Start of the endpoint's process, in milliseconds; 0 if it is long past or unknown.
    #[serde(rename = "up_since_ms", default)]
    pub(super) started_ms: f64,
    #[serde(default)]
    pub(super) build: u32,
}

/// Lifecycle phase of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub(super) enum MemberPhase {
    Ready,
    Terminating,
    Gone,
}

fn default_size() -> f64 {
    DEFAULT_SIZE
}

impl MemberList {
    /// Parses a list from JSON.
    ///
    /// # Errors
    /// Fails if the text is not a valid endpoint list.
    pub(super) fn parse(text: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(text)
    }
}

impl Member {
    /// Returns the identity of the member's process, as far as the list distinguishes processes.
    pub(super) fn process(&self) -> ProcessId {
        let started = (self.started_ms > 0.0).then_some((self.started_ms * MS as f64) as Micros);
        ProcessId { build: Build(self.build), started }
    }

    /// Returns the status of the member. A member without an address cannot be reached, so it counts as draining.
    pub(super) fn status(&self) -> EndpointStatus {
        match self.phase {
            MemberPhase::Ready if self.address.is_some() => EndpointStatus::Active,
            MemberPhase::Ready | MemberPhase::Terminating => EndpointStatus::Draining,
            MemberPhase::Gone => EndpointStatus::Removed,
        }
    }
}

/// Identity of a process at an endpoint. It differs between successive processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ProcessId {
    /// The build that the process runs.
    pub(super) build: Build,
    /// Start of the process; `None` if it is long past or unknown.
    pub(super) started: Option<Micros>,
}

//! The endpoint list as discovery writes it.

use std::net::SocketAddr;

use garnetcrank_policy::api::{Build, EndpointStatus, Micros};
use serde::Deserialize;

use crate::clock::MS;

/// Relative size of an endpoint that states none.
const DEFAULT_SIZE: f64 = 1.0;

/// An endpoint list, or a change of one.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct MemberList {
    /// Version of the list; it grows with each change.
    pub(crate) revision: u64,
    /// The list is complete; otherwise it holds changed members only.
    pub(crate) complete: bool,
    /// The members.
    pub(crate) members: Vec<Member>,
}

/// One endpoint of a list.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct Member {
    pub(super) id: String,
    /// Where it listens.
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
    /// Start of its process, in milliseconds; 0 where that is long past or unknown.
    #[serde(rename = "up_since_ms", default)]
    pub(super) started_ms: f64,
    #[serde(default)]
    pub(super) build: u32,
}

/// Whether a member runs.
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
    /// Parses a list.
    ///
    /// # Errors
    /// The text is no list.
    pub(super) fn parse(text: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(text)
    }
}

impl Member {
    /// The process that runs at the member, as far as the list tells processes apart.
    pub(super) fn process(&self) -> ProcessId {
        let started = (self.started_ms > 0.0).then_some((self.started_ms * MS as f64) as Micros);
        ProcessId { build: Build(self.build), started }
    }

    /// A member without an address can't be reached, so it counts as draining.
    pub(super) fn status(&self) -> EndpointStatus {
        match self.phase {
            MemberPhase::Ready if self.address.is_some() => EndpointStatus::Active,
            MemberPhase::Ready | MemberPhase::Terminating => EndpointStatus::Draining,
            MemberPhase::Gone => EndpointStatus::Removed,
        }
    }
}

/// What tells one process at an endpoint from the next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ProcessId {
    /// The build that it runs.
    pub(super) build: Build,
    /// When it started, if not long past.
    pub(super) started: Option<Micros>,
}

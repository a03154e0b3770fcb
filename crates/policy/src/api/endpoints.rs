//! The endpoint list, as discovery reports it.

use super::{Build, CellId, EndpointId, KindId, Micros, ZoneId};

/// What the endpoint list says of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum EndpointStatus {
    /// It serves.
    #[default]
    Active,
    /// It completes its work and takes nothing new.
    Draining,
    /// It is no longer part of the list.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Debug, Clone, Copy, Default)]
pub struct EndpointRecord {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its kind.
    pub kind: KindId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// The build it runs.
    pub build: Build,
    /// Whether it serves.
    pub status: EndpointStatus,
    /// Its latest start, unless that is long past.
    pub started: Option<Micros>,
    /// A figure to compare with other endpoints'.
    pub rating: f64,
}

/// An update of the endpoint list.
#[derive(Debug, Clone)]
pub enum EndpointUpdate {
    /// The whole list: an endpoint that is not in it has gone.
    Snapshot {
        /// Every endpoint.
        endpoints: Vec<EndpointRecord>,
        /// It is what an earlier run last stored, and may be outdated.
        cached: bool,
    },
    /// Changed entries only.
    Delta(Vec<EndpointRecord>),
    /// A poll of the list failed, or the watch broke.
    Unavailable,
}

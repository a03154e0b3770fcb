//! The endpoint list, as discovery reports it.

use super::{Build, CellId, EndpointId, KindId, Micros, ZoneId};

/// Status of an endpoint in the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum EndpointStatus {
    /// Serving requests.
    #[default]
    Active,
    /// Completing open requests and accepting no new ones.
    Draining,
    /// No longer in the list.
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
    /// Build that it runs.
    pub build: Build,
    /// Its status.
    pub status: EndpointStatus,
    /// Time of its latest start, unless that is long past.
    pub started: Option<Micros>,
    /// Rating relative to those of other endpoints.
    pub rating: f64,
}

/// An update of the endpoint list.
#[derive(Debug, Clone)]
pub enum EndpointUpdate {
    /// The full list: an endpoint that is not in it has been removed.
    Snapshot {
        /// All endpoints.
        endpoints: Vec<EndpointRecord>,
        /// Whether the list was stored by an earlier run, in which case it may be outdated.
        cached: bool,
    },
    /// Changed entries only.
    Delta(Vec<EndpointRecord>),
    /// A failed poll of the list, or a lost watch stream.
    Unavailable,
}

//! Registry of endpoint ids. It turns endpoint lists into updates for the policy and for connections.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use garnetcrank_policy::api::{
    Build, CellId, EndpointId, EndpointRecord, EndpointStatus, EndpointUpdate, KindId, ZoneId,
};

use super::DiscoveryUpdate;
use super::member_list::{Member, MemberList, MemberPhase, ProcessId};

/// Address and state of an endpoint, for the connections to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct EndpointAddress {
    /// The endpoint.
    pub(crate) endpoint: EndpointId,
    /// Address on which the endpoint listens; `None` if the endpoint was removed or has no address.
    pub(crate) address: Option<SocketAddr>,
    /// Whether the endpoint's process was replaced, so that idle connections to it are unusable.
    pub(crate) restarted: bool,
    /// Whether the endpoint accepts no new requests.
    pub(crate) draining: bool,
    /// The build that the endpoint runs.
    pub(crate) build: Build,
}

impl EndpointAddress {
    /// Creates the record of a removed endpoint.
    pub(super) fn removed(endpoint: EndpointId) -> Self {
        EndpointAddress { endpoint, address: None, restarted: true, draining: true, build: Build::default() }
    }
}

/// Source of an endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ListOrigin {
    /// Sent by discovery.
    Discovery,
    /// Stored in the configuration by an earlier process; may be outdated.
    Cached,
}

/// Ids of endpoints, zones and kinds, as the policy uses them. Removed endpoints are deleted from it.
#[derive(Debug)]
pub(super) struct EndpointRegistry {
    pub(super) ids: BTreeMap<String, EndpointId>,
    /// The next id. An endpoint that is added again after its removal gets a new id.
    next_id: u32,
    pub(super) processes: BTreeMap<EndpointId, ProcessId>,
    zones: Vec<String>,
    kinds: Vec<String>,
    revision: u64,
}

impl EndpointRegistry {
    /// Creates a registry without endpoints. Zones and kinds get their ids by their position.
    pub(super) fn new(zones: Vec<String>, kinds: Vec<String>) -> Self {
        EndpointRegistry {
            ids: BTreeMap::new(),
            next_id: 0,
            processes: BTreeMap::new(),
            zones,
            kinds,
            revision: 0,
        }
    }

    /// Returns the revision of the list that was applied last.
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies a list and appends the resulting changes to `update`.
    pub(super) fn apply(&mut self, list: MemberList, origin: ListOrigin, update: &mut DiscoveryUpdate) {
        self.revision = list.revision;
        let mut present = BTreeSet::new();
        let mut endpoints = Vec::with_capacity(list.members.len());
        for member in &list.members {
            endpoints.push(self.apply_member(member, &mut present, update));
        }
        if !list.complete {
            update.endpoint_updates.push(EndpointUpdate::Delta(endpoints));
            return;
        }
        self.remove_missing(&present, update);
        let cached = origin == ListOrigin::Cached;
        update.endpoint_updates.push(EndpointUpdate::Snapshot { endpoints, cached });
    }

    fn apply_member(
        &mut self,
        member: &Member,
        present: &mut BTreeSet<EndpointId>,
        update: &mut DiscoveryUpdate,
    ) -> EndpointRecord {
        let endpoint = self.id_or_insert(&member.id);
        let process = member.process();
        let previous = self.processes.get(&endpoint).copied();
        let is_removed = member.phase == MemberPhase::Gone;
        if is_removed {
            self.processes.remove(&endpoint);
            self.ids.remove(&member.id);
        } else {
            self.processes.insert(endpoint, process);
            present.insert(endpoint);
        }
        let status = member.status();
        update.addresses.push(EndpointAddress {
            endpoint,
            address: member.address.filter(|_| !is_removed),
            restarted: is_removed || previous.is_some_and(|previous| previous != process),
            draining: status != EndpointStatus::Active,
            build: process.build,
        });
        EndpointRecord {
            endpoint,
            kind: KindId(position_or_insert(&mut self.kinds, &member.kind)),
            zone: ZoneId(position_or_insert(&mut self.zones, &member.zone)),
            cell: CellId(member.cell),
            build: process.build,
            status,
            started: process.started,
            rating: member.size,
        }
    }

    fn id_or_insert(&mut self, name: &str) -> EndpointId {
        if let Some(known) = self.ids.get(name) {
            return *known;
        }
        let id = EndpointId(self.next_id);
        self.next_id += 1;
        self.ids.insert(name.to_owned(), id);
        id
    }

    /// Removes the endpoints that are missing from a complete list.
    fn remove_missing(&mut self, present: &BTreeSet<EndpointId>, update: &mut DiscoveryUpdate) {
        for endpoint in self.processes.keys() {
            if !present.contains(endpoint) {
                update.addresses.push(EndpointAddress::removed(*endpoint));
            }
        }
        self.processes.retain(|endpoint, _| present.contains(endpoint));
        self.ids.retain(|_, endpoint| present.contains(endpoint));
    }
}

fn position_or_insert(names: &mut Vec<String>, name: &str) -> usize {
    if let Some(position) = names.iter().position(|existing| existing == name) {
        return position;
    }
    names.push(name.to_owned());
    names.len() - 1
}

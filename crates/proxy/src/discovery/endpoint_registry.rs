//! Ids for the names in endpoint lists, and what a list means for connections.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use garnetcrank_policy::api::{
    Build, CellId, EndpointId, EndpointRecord, EndpointStatus, EndpointUpdate, KindId, ZoneId,
};

use super::DiscoveryUpdate;
use super::member_list::{Member, MemberList, MemberPhase, ProcessId};

/// What a list says of connections to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct EndpointAddress {
    /// The endpoint.
    pub(crate) endpoint: EndpointId,
    /// Where it listens; none: it has been removed.
    pub(crate) address: Option<SocketAddr>,
    /// Another process listens there than before: idle connections are of no use.
    pub(crate) restarted: bool,
    /// It takes no new requests.
    pub(crate) draining: bool,
    /// The build that it runs.
    pub(crate) build: Build,
}

impl EndpointAddress {
    /// An endpoint that has been removed.
    pub(super) fn removed(endpoint: EndpointId) -> Self {
        EndpointAddress { endpoint, address: None, restarted: true, draining: true, build: Build::default() }
    }
}

/// Whether a list comes from discovery now or from a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ListOrigin {
    /// Discovery has sent it.
    Discovery,
    /// An earlier process held it; it may be outdated.
    Cached,
}

/// The ids by which the policy knows endpoints, zones and kinds. Nothing is kept of endpoints that are removed.
#[derive(Debug)]
pub(super) struct EndpointRegistry {
    pub(super) ids: BTreeMap<String, EndpointId>,
    /// The next id. An endpoint that returns after it was removed is another endpoint and gets a new one.
    next_id: u32,
    pub(super) processes: BTreeMap<EndpointId, ProcessId>,
    zones: Vec<String>,
    kinds: Vec<String>,
    revision: u64,
}

impl EndpointRegistry {
    /// A registry without endpoints that knows these zones and kinds.
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

    /// Revision of the list that was applied last.
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies a list and adds what it means to `update`.
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
        let endpoint = self.id_of(&member.id);
        let process = member.process();
        let previous = self.processes.get(&endpoint).copied();
        let is_gone = member.phase == MemberPhase::Gone;
        if is_gone {
            self.processes.remove(&endpoint);
            self.ids.remove(&member.id);
        } else {
            self.processes.insert(endpoint, process);
            present.insert(endpoint);
        }
        let status = member.status();
        update.addresses.push(EndpointAddress {
            endpoint,
            address: member.address.filter(|_| !is_gone),
            restarted: is_gone || previous.is_some_and(|previous| previous != process),
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

    fn id_of(&mut self, name: &str) -> EndpointId {
        if let Some(known) = self.ids.get(name) {
            return *known;
        }
        let id = EndpointId(self.next_id);
        self.next_id += 1;
        self.ids.insert(name.to_owned(), id);
        id
    }

    /// Forgets the endpoints that a complete list does not have.
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

fn position_or_insert(names: &mut Vec<String>, wanted: &str) -> usize {
    if let Some(position) = names.iter().position(|name| name == wanted) {
        return position;
    }
    names.push(wanted.to_owned());
    names.len() - 1
}

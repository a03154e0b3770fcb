//! Client of discovery. It starts from the endpoint list cached in the configuration and keeps it current with a watch
//! stream or by polling.

mod endpoint_registry;
mod line_assembler;
mod member_list;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;

use calloop::Readiness;
use garnetcrank_policy::api::{EndpointUpdate, Micros};
use garnetcrank_settings::Settings;
use tracing::warn;

use crate::clock::SECOND;
use crate::readiness::{ConnId, ConnIds, Handle, Source};
use crate::unary_call::{CallOutcome, CallRequest, UnaryCall};
use crate::watch_stream::{FIRST_BYTE_TIMEOUT, ReconnectBackoff, WatchEvents, WatchStream, WatchTimeouts};
pub(crate) use endpoint_registry::EndpointAddress;
use endpoint_registry::{EndpointRegistry, ListOrigin};
use line_assembler::LineAssembler;
pub(crate) use member_list::MemberList;

/// Silence after which the watch stream counts as dead: its heartbeat interval of 2 s plus a margin. An update that a
/// dead stream misses counts as delivered 6 s after the stream fell silent. Two more connections may fail before a
/// third delivers the update in time.
const SILENCE_TIMEOUT: Micros = 3 * SECOND;
/// Timeout of a poll.
const POLL_TIMEOUT: Micros = 2 * SECOND;
/// Maximum size of a complete list, in bytes; enough for about 20,000 endpoints.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// Changes to the endpoint list.
#[derive(Debug, Default)]
pub(crate) struct DiscoveryUpdate {
    /// Updates for the policy, in order.
    pub(crate) endpoint_updates: Vec<EndpointUpdate>,
    /// Address changes for the connections to endpoints, in order.
    pub(crate) addresses: Vec<EndpointAddress>,
}

impl DiscoveryUpdate {
    fn unavailable() -> Self {
        DiscoveryUpdate { endpoint_updates: vec![EndpointUpdate::Unavailable], addresses: Vec::new() }
    }

    fn append(&mut self, later: DiscoveryUpdate) {
        self.endpoint_updates.extend(later.endpoint_updates);
        self.addresses.extend(later.addresses);
    }
}

/// Whether the watch stream is kept connected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WatchMode {
    /// The stream is closed.
    Off,
    /// The stream is kept connected.
    On,
    /// The stream was lost, and the policy decides when to watch again.
    AwaitingPolicy,
}

/// Client of discovery.
pub(crate) struct Discovery {
    address: SocketAddr,
    registry: EndpointRegistry,
    watch: WatchStream,
    /// Whether discovery pushes the list. The watch stream is then kept connected without a request of the policy.
    pushed: bool,
    watch_mode: WatchMode,
    lines: LineAssembler,
    poll: Option<UnaryCall>,
    /// Whether discovery has sent a list since the process started.
    pub(crate) list_received: bool,
    /// Number of times that the watch stream was lost.
    pub(crate) reconnects: u64,
}

impl Discovery {
    /// Creates a client without endpoints.
    pub(crate) fn new(address: SocketAddr, settings: &Settings, seed: u64) -> Self {
        let pushed = !settings.config.poll_endpoints;
        // In poll mode many proxies connect at the same time, and discovery answers them one after another.
        let first_byte_timeout = if pushed { FIRST_BYTE_TIMEOUT } else { SILENCE_TIMEOUT };
        Discovery {
            address,
            registry: EndpointRegistry::new(settings.zones.clone(), settings.kinds.clone()),
            watch: WatchStream::new(
                "discovery",
                address,
                WatchTimeouts { silence: SILENCE_TIMEOUT, first_byte: first_byte_timeout },
                ReconnectBackoff::LOCAL,
                seed,
            ),
            pushed,
            watch_mode: if pushed { WatchMode::On } else { WatchMode::Off },
            lines: LineAssembler::default(),
            poll: None,
            list_received: false,
            reconnects: 0,
        }
    }

    /// Applies the endpoint list cached in the configuration.
    pub(crate) fn load_cached(&mut self, list: MemberList) -> DiscoveryUpdate {
        let mut update = DiscoveryUpdate::default();
        let complete_list = MemberList { complete: true, ..list };
        self.registry.apply(complete_list, ListOrigin::Cached, &mut update);
        update
    }

    /// Applies a reloaded configuration. The current list stays, unless the cached one is newer. If the address has
    /// changed, the client reconnects to the new one without backoff.
    pub(crate) fn reconfigure(
        &mut self,
        address: SocketAddr,
        cached: MemberList,
        now: Micros,
    ) -> DiscoveryUpdate {
        let final_events = self.watch.retarget(address, now);
        let mut update = self.apply_events(final_events, now);
        if address != self.address {
            self.address = address;
            self.restart_at_new_address(&mut update);
        }
        if cached.revision > self.registry.revision() {
            update.append(self.load_cached(cached));
        }
        update
    }

    fn restart_at_new_address(&mut self, update: &mut DiscoveryUpdate) {
        self.lines = LineAssembler::default();
        if self.watch_mode == WatchMode::AwaitingPolicy {
            // The policy's backoff applies to the old address. It may last longer than the time in which an update from
            // the new address must arrive.
            self.watch_mode = WatchMode::On;
        }
        if self.poll.take().is_some() {
            // The policy responds with another poll, which goes to the new address.
            update.endpoint_updates.push(EndpointUpdate::Unavailable);
        }
    }

    /// Starts or stops watching the list, as the policy requests. Has no effect if discovery pushes the list.
    pub(crate) fn set_watching(&mut self, enabled: bool, now: Micros) -> DiscoveryUpdate {
        if self.pushed {
            return DiscoveryUpdate::default();
        }
        let final_events = self.watch.close(now);
        let update = self.apply_events(final_events, now);
        self.watch_mode = if enabled { WatchMode::On } else { WatchMode::Off };
        self.lines = LineAssembler::default();
        update
    }

    /// Polls the complete list for the policy.
    pub(crate) fn poll(&mut self, handle: &Handle, ids: &mut ConnIds, now: Micros) -> DiscoveryUpdate {
        if self.poll.is_some() {
            // The response to the pending poll answers this one, too.
            return DiscoveryUpdate::default();
        }
        let id = ids.next();
        let request = CallRequest {
            address: self.address,
            method: "GET",
            target: "/v1/servers",
            body: b"",
            max_response_bytes: MAX_LIST_BYTES,
            deadline: now + POLL_TIMEOUT,
        };
        match UnaryCall::start(handle, id, Source::Discovery(id), request) {
            Ok(call) => {
                self.poll = Some(call);
                DiscoveryUpdate::default()
            }
            Err(error) => {
                warn!(%error, "endpoint list poll could not be sent");
                DiscoveryUpdate::unavailable()
            }
        }
    }

    /// Returns whether no poll is pending and the watch stream, if it is to be kept open, is connected.
    pub(crate) fn is_idle(&self) -> bool {
        let reconnect_needed = self.watch_mode == WatchMode::On && !self.watch.is_connected();
        self.poll.is_none() && !reconnect_needed
    }

    /// Performs a due reconnect and expires an overdue poll.
    pub(crate) fn on_tick(&mut self, handle: &Handle, ids: &mut ConnIds, now: Micros) -> DiscoveryUpdate {
        let mut update = DiscoveryUpdate::default();
        let poll_expired = self.poll.as_ref().is_some_and(|call| call.check_timeout(now).is_some());
        if poll_expired {
            self.poll = None;
            update.endpoint_updates.push(EndpointUpdate::Unavailable);
        }
        if self.watch_mode == WatchMode::On {
            let revision = self.registry.revision();
            let target = || format!("/v1/servers?stream=1&index={revision}");
            let events = self.watch.on_tick(handle, ids, Source::Discovery, now, target);
            update.append(self.apply_events(events, now));
        }
        update
    }

    /// Handles readiness of one of the client's connections.
    pub(crate) fn on_ready(&mut self, id: ConnId, readiness: Readiness, now: Micros) -> DiscoveryUpdate {
        if let Some(call) = self.poll.as_mut().filter(|call| call.id == id) {
            let Some(outcome) = call.on_ready(readiness) else { return DiscoveryUpdate::default() };
            self.poll = None;
            return self.on_poll_ended(outcome);
        }
        let events = self.watch.on_ready(id, readiness, now);
        self.apply_events(events, now)
    }

    fn apply_events(&mut self, events: WatchEvents, now: Micros) -> DiscoveryUpdate {
        let mut update = DiscoveryUpdate::default();
        let mut lost = events.lost;
        for line in events.lines {
            let Some(text) = self.lines.push_line(&line) else { continue };
            if let Err(error) = self.apply_text(&text, &mut update) {
                warn!(%error, "unreadable endpoint list");
                self.watch.disconnect(now, "unreadable endpoint list");
                lost = true;
                break;
            }
        }
        if lost {
            self.on_watch_lost(&mut update);
        }
        update
    }

    fn on_watch_lost(&mut self, update: &mut DiscoveryUpdate) {
        self.reconnects += 1;
        // The next connection starts with a new JSON text.
        self.lines = LineAssembler::default();
        if !self.pushed {
            self.watch_mode = WatchMode::AwaitingPolicy;
            update.endpoint_updates.push(EndpointUpdate::Unavailable);
        }
    }

    /// Handles the outcome of a poll. A list that is older than the latest update of the watch stream is treated as an
    /// outdated delta, so that it reverts no newer change.
    fn on_poll_ended(&mut self, outcome: CallOutcome) -> DiscoveryUpdate {
        let CallOutcome::Response(response) = outcome else {
            return DiscoveryUpdate::unavailable();
        };
        if response.status != 200 {
            return DiscoveryUpdate::unavailable();
        }
        match MemberList::parse(&response.body) {
            Ok(list) => {
                let is_older = list.revision < self.registry.revision();
                let complete = list.complete && !is_older;
                let mut update = DiscoveryUpdate::default();
                self.apply_list(MemberList { complete, ..list }, &mut update);
                update
            }
            Err(error) => {
                warn!(%error, "unreadable endpoint list");
                DiscoveryUpdate::unavailable()
            }
        }
    }

    /// Parses and applies a list or a delta from the watch stream.
    fn apply_text(&mut self, text: &[u8], update: &mut DiscoveryUpdate) -> Result<(), serde_json::Error> {
        let list = MemberList::parse(text)?;
        self.apply_list(list, update);
        Ok(())
    }

    fn apply_list(&mut self, list: MemberList, update: &mut DiscoveryUpdate) {
        self.list_received = true;
        if list.complete || list.revision > self.registry.revision() {
            self.registry.apply(list, ListOrigin::Discovery, update);
        } else {
            // The current list already contains this delta, but the policy may be waiting for a response. Without one
            // it would consider discovery unavailable and poll again, at the same time as all other proxies.
            update.endpoint_updates.push(EndpointUpdate::Delta(Vec::new()));
        }
    }
}

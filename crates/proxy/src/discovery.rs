//! Client of discovery: the endpoint list, from the cached one of the configuration on, kept current by a watch stream
//! or by polling.

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

/// Silence after which a watch stream is dead: one of its heartbeats, one every 2 s, and a margin. What a dead stream
/// misses counts as notified 6 s after it fell silent, so two more connections may fail before one delivers it.
const SILENCE_TIMEOUT: Micros = 3 * SECOND;
/// Wait for the answer to a poll.
const POLL_TIMEOUT: Micros = 2 * SECOND;
/// Maximum size of a complete list, in bytes: about 20,000 endpoints.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// What has become known of the endpoint list.
#[derive(Debug, Default)]
pub(crate) struct DiscoveryUpdate {
    /// For the policy, in order.
    pub(crate) endpoint_updates: Vec<EndpointUpdate>,
    /// For the connections to endpoints, in order.
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
    /// Nobody watches.
    Off,
    /// It is kept connected.
    On,
    /// It was lost, and the policy chooses when to watch again.
    AwaitingPolicy,
}

/// Client of discovery.
pub(crate) struct Discovery {
    address: SocketAddr,
    registry: EndpointRegistry,
    watch: WatchStream,
    /// Discovery pushes the list: the watch stream is kept connected without being asked for.
    pushed: bool,
    watch_mode: WatchMode,
    lines: LineAssembler,
    poll: Option<UnaryCall>,
    /// Discovery has sent a list since the start.
    pub(crate) list_received: bool,
    /// Reconnects of the watch stream.
    pub(crate) reconnects: u64,
}

impl Discovery {
    /// A client that knows no endpoint yet.
    pub(crate) fn new(address: SocketAddr, settings: &Settings, seed: u64) -> Self {
        let pushed = !settings.config.poll_endpoints;
        // Where the list is polled, many proxies poll at once and are answered one after another.
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

    /// Applies the list that the configuration holds.
    pub(crate) fn load_cached(&mut self, list: MemberList) -> DiscoveryUpdate {
        let mut update = DiscoveryUpdate::default();
        let complete_list = MemberList { complete: true, ..list };
        self.registry.apply(complete_list, ListOrigin::Cached, &mut update);
        update
    }

    /// Takes in a configuration that was read again. The present list stays, unless the cached one is newer; the next
    /// connection goes to the new address, at once.
    pub(crate) fn reconfigure(
        &mut self,
        address: SocketAddr,
        cached: MemberList,
        now: Micros,
    ) -> DiscoveryUpdate {
        let last_events = self.watch.retarget(address, now);
        let mut update = self.take_events(last_events, now);
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
            // The policy's backoff belongs to the old address and may be longer than the new one's updates can wait.
            self.watch_mode = WatchMode::On;
        }
        if self.poll.take().is_some() {
            // The policy polls again, at the new address.
            update.endpoint_updates.push(EndpointUpdate::Unavailable);
        }
    }

    /// The policy wants to watch the list, or no longer wants to.
    pub(crate) fn set_watching(&mut self, want: bool, now: Micros) -> DiscoveryUpdate {
        if self.pushed {
            return DiscoveryUpdate::default();
        }
        let last_events = self.watch.close(now);
        let update = self.take_events(last_events, now);
        self.watch_mode = if want { WatchMode::On } else { WatchMode::Off };
        self.lines = LineAssembler::default();
        update
    }

    /// The policy polls the complete list.
    pub(crate) fn poll(&mut self, handle: &Handle, ids: &mut ConnIds, now: Micros) -> DiscoveryUpdate {
        if self.poll.is_some() {
            // The answer that is on its way is the answer to this poll too.
            return DiscoveryUpdate::default();
        }
        let id = ids.next();
        let request = CallRequest {
            to: self.address,
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
                warn!(%error, "endpoint list cannot be polled");
                DiscoveryUpdate::unavailable()
            }
        }
    }

    /// Whether there is nothing to do but to wait for updates.
    pub(crate) fn is_idle(&self) -> bool {
        let watch_needs_care = self.watch_mode == WatchMode::On && !self.watch.is_connected();
        self.poll.is_none() && !watch_needs_care
    }

    /// Reconnects and expires the poll where that is due.
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
            update.append(self.take_events(events, now));
        }
        update
    }

    /// Reads what has arrived on one of the client's connections.
    pub(crate) fn on_ready(&mut self, id: ConnId, readiness: Readiness, now: Micros) -> DiscoveryUpdate {
        if let Some(call) = self.poll.as_mut().filter(|call| call.id == id) {
            let Some(outcome) = call.on_ready(readiness) else { return DiscoveryUpdate::default() };
            self.poll = None;
            return self.on_poll_ended(outcome);
        }
        let events = self.watch.on_ready(id, readiness, now);
        self.take_events(events, now)
    }

    fn take_events(&mut self, events: WatchEvents, now: Micros) -> DiscoveryUpdate {
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
        // The next connection begins with a text of its own.
        self.lines = LineAssembler::default();
        if !self.pushed {
            self.watch_mode = WatchMode::AwaitingPolicy;
            update.endpoint_updates.push(EndpointUpdate::Unavailable);
        }
    }

    /// The end of a poll. A list that is older than what the watch stream has delivered since counts as a change, so
    /// that it undoes nothing.
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

    /// Applies a list or a change from the watch stream.
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
            // A change that the present list already has says nothing new, but it is an answer: a policy that waits
            // for one would take discovery for lost and poll again, in step with all other proxies.
            update.endpoint_updates.push(EndpointUpdate::Delta(Vec::new()));
        }
    }
}

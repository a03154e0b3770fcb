//! Discovery: the list of machines, from the configuration on, kept up by a watch or asked for.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use calloop::Readiness;
use garnetcrank_policy::api::*;
use garnetcrank_settings::Settings;
use serde::Deserialize;
use tracing::warn;

use crate::clock::{MS, SECOND};
use crate::readiness::{ConnId, ConnIds, Handle, Source};
use crate::unary_call::{CallOutcome, CallRequest, UnaryCall};
use crate::watch_stream::{FIRST_BYTE_TIMEOUT, ReconnectBackoff, WatchEvents, WatchStream};

/// Silence after which a watch is dead: one of its signs of life, one every 2 s, and a margin. What a dead one misses
/// counts as told 6 s after it fell silent, so that two more connections may fail before one tells it.
const SILENCE: Micros = 3 * SECOND;
/// Longest wait for the whole list, and its longest size.
const ASK_WAIT: Micros = 2 * SECOND;
const LIST_MOST: usize = 4 * 1024 * 1024;

/// A list, or what changed in it.
#[derive(Debug, Clone, Deserialize)]
pub struct MemberList {
    /// Its version.
    pub revision: u64,
    /// The whole list, not changes only.
    pub complete: bool,
    /// Its entries.
    pub members: Vec<Member>,
}

/// One machine of it.
#[derive(Debug, Clone, Deserialize)]
pub struct Member {
    id: String,
    #[serde(default)]
    host_port: Option<SocketAddr>,
    #[serde(default)]
    locality: String,
    #[serde(default)]
    flavor: String,
    #[serde(default)]
    cell: u32,
    phase: MemberPhase,
    #[serde(default = "one")]
    size: f64,
    #[serde(default)]
    up_since_ms: f64,
    #[serde(default)]
    build: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
enum MemberPhase {
    Ready,
    Terminating,
    Gone,
}

fn one() -> f64 {
    1.0
}

/// What a list means for connections to a machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointAddress {
    /// The machine.
    pub endpoint: EndpointId,
    /// Where it listens; none: nowhere any more.
    pub address: Option<SocketAddr>,
    /// Another process answers there than before: kept connections are void.
    pub restarted: bool,
    /// It takes nothing new.
    pub draining: bool,
    /// The build that it runs.
    pub build: Build,
}

impl EndpointAddress {
    fn nowhere(machine: EndpointId) -> Self {
        EndpointAddress {
            endpoint: machine,
            address: None,
            restarted: true,
            draining: true,
            build: Build::default(),
        }
    }
}

/// The numbers under which the decisions know machines, zones and kinds.
#[derive(Debug)]
struct Roster {
    numbers: BTreeMap<String, EndpointId>,
    /// Numbers given so far: one that returns after it was gone is another machine and gets a new one.
    given: u32,
    starts: BTreeMap<EndpointId, (Build, Option<Micros>)>,
    zones: Vec<String>,
    kinds: Vec<String>,
    revision: u64,
}

impl Roster {
    fn take(&mut self, list: MemberList, saved: bool) -> (EndpointUpdate, Vec<EndpointAddress>) {
        self.revision = list.revision;
        let mut places = Vec::new();
        let mut seen = BTreeSet::new();
        let entries: Vec<EndpointRecord> =
            list.members.iter().map(|m| self.entry(m, &mut places, &mut seen)).collect();
        if !list.complete {
            return (EndpointUpdate::Delta(entries), places);
        }
        let missing = self.starts.keys().filter(|m| !seen.contains(*m));
        places.extend(missing.copied().map(EndpointAddress::nowhere));
        self.starts.retain(|m, _| seen.contains(m));
        self.numbers.retain(|_, m| seen.contains(m));
        (EndpointUpdate::Snapshot { endpoints: entries, cached: saved }, places)
    }

    fn entry(
        &mut self,
        member: &Member,
        places: &mut Vec<EndpointAddress>,
        seen: &mut BTreeSet<EndpointId>,
    ) -> EndpointRecord {
        let given = &mut self.given;
        let machine = *self.numbers.entry(member.id.clone()).or_insert_with(|| {
            *given += 1;
            EndpointId(*given - 1)
        });
        let started = (member.up_since_ms > 0.0).then_some((member.up_since_ms * MS as f64) as Micros);
        let start = (Build(member.build), started);
        let gone = member.phase == MemberPhase::Gone;
        let before = self.starts.get(&machine).copied();
        if gone {
            self.starts.remove(&machine);
            self.numbers.remove(&member.id);
        } else {
            self.starts.insert(machine, start);
            seen.insert(machine);
        }
        let renewed = gone || before.is_some_and(|b| b != start);
        let presence = match member.phase {
            MemberPhase::Ready if member.host_port.is_some() => EndpointStatus::Active,
            MemberPhase::Ready | MemberPhase::Terminating => EndpointStatus::Draining,
            MemberPhase::Gone => EndpointStatus::Removed,
        };
        places.push(EndpointAddress {
            endpoint: machine,
            address: member.host_port.filter(|_| !gone),
            restarted: renewed,
            draining: presence != EndpointStatus::Active,
            build: Build(member.build),
        });
        EndpointRecord {
            endpoint: machine,
            kind: KindId(number(&mut self.kinds, &member.flavor)),
            zone: ZoneId(number(&mut self.zones, &member.locality)),
            cell: CellId(member.cell),
            build: Build(member.build),
            status: presence,
            started,
            rating: member.size,
        }
    }
}

fn number(names: &mut Vec<String>, name: &str) -> usize {
    names.iter().position(|n| n == name).unwrap_or_else(|| {
        names.push(name.to_owned());
        names.len() - 1
    })
}

/// News of the list: for the decisions, and for connections.
#[derive(Debug, Default)]
pub struct DiscoveryUpdate {
    /// For the decisions, in order.
    pub endpoint_updates: Vec<EndpointUpdate>,
    /// For connections, in order.
    pub addresses: Vec<EndpointAddress>,
}

/// Whether the watch is kept up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PollState {
    No,
    Yes,
    /// It was lost, and the decisions choose when to ask again.
    Again,
}

/// The front's view of discovery.
pub struct Discovery {
    address: SocketAddr,
    roster: Roster,
    watch: WatchStream,
    /// The list comes unasked: the watch is kept up by itself.
    pushed: bool,
    wanted: PollState,
    text: LineAssembler,
    asking: Option<UnaryCall>,
    /// Discovery has told something since the start.
    pub heard: bool,
    /// Connections made anew.
    pub reconnects: u64,
}

impl Discovery {
    /// A view that holds nothing yet.
    pub fn new(address: SocketAddr, settings: &Settings, seed: u64) -> Self {
        let pushed = !settings.config.poll_endpoints;
        // Where the list is asked for, many ask at once and are answered one after another.
        let first_word = if pushed { FIRST_BYTE_TIMEOUT } else { SILENCE };
        Discovery {
            address,
            roster: Roster {
                numbers: BTreeMap::new(),
                given: 0,
                starts: BTreeMap::new(),
                zones: settings.zones.clone(),
                kinds: settings.kinds.clone(),
                revision: 0,
            },
            watch: WatchStream::new(
                "discovery",
                address,
                (SILENCE, first_word),
                ReconnectBackoff::LOCAL,
                seed,
            ),
            pushed,
            wanted: if pushed { PollState::Yes } else { PollState::No },
            text: LineAssembler::default(),
            asking: None,
            heard: false,
            reconnects: 0,
        }
    }

    /// Takes the list that the configuration holds.
    pub fn load_cached(&mut self, list: MemberList) -> DiscoveryUpdate {
        let (fleet, places) = self.roster.take(MemberList { complete: true, ..list }, true);
        DiscoveryUpdate { endpoint_updates: vec![fleet], addresses: places }
    }

    /// The configuration was read again. The list held stays, unless the one told there is newer; the next
    /// connection goes to the new address, at once.
    pub fn reconfigure(&mut self, address: SocketAddr, known: MemberList, now: Micros) -> DiscoveryUpdate {
        let last = self.watch.retarget(address, now);
        let mut news = self.heard(last, now);
        if std::mem::replace(&mut self.address, address) != address {
            self.text = LineAssembler::default();
            if self.wanted == PollState::Again {
                // The wait is for the old address, and may be longer than what is there now stays unsaid.
                self.wanted = PollState::Yes;
            }
            if self.asking.take().is_some() {
                news.endpoint_updates.push(EndpointUpdate::Unavailable); // asked again where it is now
            }
        }
        if known.revision > self.roster.revision {
            let DiscoveryUpdate { endpoint_updates: fleet, addresses: places } = self.load_cached(known);
            news.endpoint_updates.extend(fleet);
            news.addresses.extend(places);
        }
        news
    }

    /// The decisions subscribe, or no longer want to.
    pub fn set_watching(&mut self, want: bool, now: Micros) -> DiscoveryUpdate {
        if self.pushed {
            return DiscoveryUpdate::default();
        }
        let last = self.watch.close(now);
        let news = self.heard(last, now);
        (self.wanted, self.text) =
            (if want { PollState::Yes } else { PollState::No }, LineAssembler::default());
        news
    }

    /// The decisions ask for the whole list.
    pub fn poll(&mut self, handle: &Handle, ids: &mut ConnIds, now: Micros) -> DiscoveryUpdate {
        if self.asking.is_some() {
            return DiscoveryUpdate::default(); // its answer is theirs too
        }
        let id = ids.next();
        let ask = CallRequest {
            to: self.address,
            method: "GET",
            target: "/v1/servers",
            body: b"",
            max_response_bytes: LIST_MOST,
            deadline: now + ASK_WAIT,
        };
        match UnaryCall::start(handle, id, Source::Discovery(id), ask) {
            Ok(call) => {
                self.asking = Some(call);
                DiscoveryUpdate::default()
            }
            Err(e) => {
                warn!("discovery: cannot ask for the list: {e}");
                DiscoveryUpdate { endpoint_updates: vec![EndpointUpdate::Unavailable], addresses: Vec::new() }
            }
        }
    }

    /// Whether nothing is to be done but to listen.
    pub fn is_idle(&self) -> bool {
        self.asking.is_none() && (self.wanted != PollState::Yes || self.watch.is_connected())
    }

    /// Connects where that is due, and gives up what has been silent for too long.
    pub fn on_tick(&mut self, handle: &Handle, ids: &mut ConnIds, now: Micros) -> DiscoveryUpdate {
        let mut news = DiscoveryUpdate::default();
        if self.asking.as_ref().is_some_and(|c| c.check_timeout(now).is_some()) {
            self.asking = None;
            news.endpoint_updates.push(EndpointUpdate::Unavailable);
        }
        if self.wanted == PollState::Yes {
            let target = || format!("/v1/servers?stream=1&index={}", self.roster.revision);
            let heard = self.watch.on_tick(handle, ids, Source::Discovery, now, target);
            let DiscoveryUpdate { endpoint_updates: fleet, addresses: places } = self.heard(heard, now);
            news.endpoint_updates.extend(fleet);
            news.addresses.extend(places);
        }
        news
    }

    /// What the watch has to say.
    fn heard(&mut self, heard: WatchEvents, now: Micros) -> DiscoveryUpdate {
        let mut news = DiscoveryUpdate::default();
        let mut lost = heard.lost;
        for line in heard.lines {
            let Some(text) = self.text.line(&line) else { continue };
            if !self.line(&text, &mut news) {
                self.watch.disconnect(now, "a list that can't be read");
                lost = true;
                break;
            }
        }
        self.lost(lost, &mut news);
        news
    }

    fn lost(&mut self, lost: bool, news: &mut DiscoveryUpdate) {
        self.reconnects += u64::from(lost);
        if lost {
            self.text = LineAssembler::default(); // the next connection begins with a text of its own
        }
        if lost && !self.pushed {
            self.wanted = PollState::Again;
            news.endpoint_updates.push(EndpointUpdate::Unavailable);
        }
    }

    /// Takes what has come on one of its connections.
    pub fn on_ready(&mut self, id: ConnId, readiness: Readiness, now: Micros) -> DiscoveryUpdate {
        if let Some(call) = self.asking.as_mut().filter(|c| c.id == id) {
            let Some(end) = call.on_ready(readiness) else { return DiscoveryUpdate::default() };
            self.asking = None;
            return self.asked(end);
        }
        let heard = self.watch.on_ready(id, readiness, now);
        self.heard(heard, now)
    }

    /// The end of a call for the whole list. One that was written before what the watch has told since undoes nothing.
    fn asked(&mut self, end: CallOutcome) -> DiscoveryUpdate {
        let mut news = DiscoveryUpdate::default();
        let list = match end {
            CallOutcome::Response(response) if response.status == 200 => read(&response.body),
            _ => None,
        };
        match list {
            Some(list) => {
                let older = list.revision < self.roster.revision;
                self.take(MemberList { complete: list.complete && !older, ..list }, &mut news);
            }
            None => news.endpoint_updates.push(EndpointUpdate::Unavailable),
        }
        news
    }

    /// One list or change of the watch; false if it can't be read.
    fn line(&mut self, line: &[u8], news: &mut DiscoveryUpdate) -> bool {
        let Some(list) = read(line) else { return false };
        self.take(list, news);
        true
    }

    fn take(&mut self, list: MemberList, news: &mut DiscoveryUpdate) {
        self.heard = true;
        // A change that is already part of the list held says nothing new, but it answers: decisions that
        // wait for an answer would take discovery for lost and ask again, all fronts in step.
        if list.complete || list.revision > self.roster.revision {
            let (fleet, places) = self.roster.take(list, false);
            news.endpoint_updates.push(fleet);
            news.addresses.extend(places);
        } else {
            news.endpoint_updates.push(EndpointUpdate::Delta(Vec::new()));
        }
    }
}

/// A text of JSON that may be indented, over several lines, as far as it has come.
#[derive(Debug, Default)]
struct LineAssembler {
    bytes: Vec<u8>,
    /// Brackets that are open: no string goes on over the end of a line.
    open: i32,
}

impl LineAssembler {
    /// One more line; the text, if it ends here. An empty line ends one that is not whole: what follows a sign of life
    /// is a text of its own, and half of one kept back would swallow all that come after it.
    fn line(&mut self, line: &[u8]) -> Option<Vec<u8>> {
        let empty = line.trim_ascii().is_empty();
        if empty && self.bytes.is_empty() {
            return None;
        }
        let (mut quoted, mut escaped) = (false, false);
        for byte in line {
            match byte {
                _ if escaped => escaped = false,
                b'\\' if quoted => escaped = true,
                b'"' => quoted = !quoted,
                b'{' | b'[' if !quoted => self.open += 1,
                b'}' | b']' if !quoted => self.open -= 1,
                _ => {}
            }
        }
        self.bytes.extend_from_slice(line);
        let over = empty || quoted || self.open <= 0 || self.bytes.len() > LIST_MOST;
        over.then(|| std::mem::take(self).bytes)
    }
}

fn read(text: &[u8]) -> Option<MemberList> {
    serde_json::from_slice(text).inspect_err(|e| warn!("discovery: {e}")).ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn discovery() -> Discovery {
        let settings = serde_json::from_str(include_str!("../tests/settings.json")).expect("JSON");
        let settings = Settings::read(&settings).expect("settings that hold together");
        Discovery::new("127.0.0.1:1".parse().expect("an address"), &settings, 7)
    }

    fn member(id: &str, port: u16, build: u32, phase: &str) -> String {
        format!(
            r#"{{"id":"{id}","host_port":"127.0.0.1:{port}","locality":"south","flavor":"box","cell":3,"phase":"{phase}","size":1.5,"up_since_ms":1700000000000,"build":{build}}}"#
        )
    }

    fn list(revision: u64, complete: bool, members: &[String]) -> String {
        format!(r#"{{"revision":{revision},"complete":{complete},"members":[{}]}}"#, members.join(","))
    }

    fn take(d: &mut Discovery, line: &str) -> DiscoveryUpdate {
        let mut news = DiscoveryUpdate::default();
        assert!(d.line(line.as_bytes(), &mut news), "{line}");
        news
    }

    #[test]
    fn an_entry_means_what_the_page_says() {
        let mut d = discovery();
        let news = take(&mut d, &list(4, true, &[member("s-1", 9001, 41, "Ready")]));
        let EndpointUpdate::Snapshot { endpoints: entries, cached: false } = &news.endpoint_updates[0] else {
            panic!("{news:?}")
        };
        let entry = entries[0];
        assert_eq!((entry.endpoint, entry.zone, entry.kind), (EndpointId(0), ZoneId(1), KindId(0)));
        assert_eq!((entry.build, entry.cell, entry.rating), (Build(41), CellId(3), 1.5));
        assert_eq!(entry.started, Some(1_700_000_000_000_000));
        assert_eq!(news.addresses[0].address, Some("127.0.0.1:9001".parse().expect("an address")));
    }

    #[test]
    fn a_fleet_of_some_thousands_is_taken_from_one_line() {
        let mut d = discovery();
        let most = 4096;
        let all: Vec<_> = (0..most).map(|n| member(&format!("s-{n}"), 9001, 41, "Ready")).collect();
        let line = list(1, true, &all);
        assert!(line.len() <= LIST_MOST / 4, "{} bytes are a fourth of what a line may have", line.len());
        let news = take(&mut d, &line);
        let EndpointUpdate::Snapshot { endpoints: entries, .. } = &news.endpoint_updates[0] else {
            panic!("no whole list")
        };
        assert_eq!((entries.len(), news.addresses.len(), d.roster.numbers.len()), (most, most, most));
    }

    #[test]
    fn a_machine_that_returns_changed_drops_its_old_connections() {
        let mut d = discovery();
        take(&mut d, &list(4, true, &[member("s-1", 9001, 41, "Ready"), member("s-2", 9002, 41, "Ready")]));
        let news = take(&mut d, &list(5, false, &[member("s-1", 9001, 42, "Ready")]));
        assert!(
            matches!(&news.endpoint_updates[0], EndpointUpdate::Delta(e) if e.len() == 1 && e[0].build == Build(42))
        );
        assert!(news.addresses[0].restarted);
        let news = take(&mut d, &list(6, false, &[member("s-1", 9001, 42, "Terminating")]));
        assert!(!news.addresses[0].restarted, "a drain leaves what is under way alone");
        let news = take(&mut d, &list(7, false, &[member("s-1", 9001, 42, "Gone")]));
        assert_eq!((news.addresses[0].address, news.addresses[0].restarted), (None, true));
    }

    #[test]
    fn a_machine_missing_from_a_whole_list_is_nowhere() {
        let mut d = discovery();
        take(&mut d, &list(4, true, &[member("s-1", 9001, 41, "Ready"), member("s-2", 9002, 41, "Ready")]));
        let news = take(&mut d, &list(9, true, &[member("s-2", 9002, 41, "Ready")]));
        assert!(news.addresses.contains(&EndpointAddress::nowhere(EndpointId(0))));
    }

    #[test]
    fn nothing_is_kept_of_machines_that_are_gone_and_one_that_returns_is_another() {
        let mut d = discovery();
        take(&mut d, &list(1, true, &[member("s-0", 9000, 41, "Ready")]));
        let mut numbers = Vec::new();
        for round in 1..500u64 {
            let (id, port) = (format!("s-{}", round % 7 + 1), 9001);
            let news =
                take(&mut d, &list(2 * round, false, &[member(&id, port, 41 + round as u32, "Ready")]));
            numbers.push(news.addresses[0].endpoint);
            take(&mut d, &list(2 * round + 1, false, &[member(&id, port, 41, "Gone")]));
        }
        numbers.dedup();
        assert_eq!(numbers.len(), 499, "a number was given twice");
        assert_eq!((d.roster.numbers.len(), d.roster.starts.len()), (1, 1));
        take(&mut d, &list(2000, true, &[]));
        assert!(d.roster.numbers.is_empty() && d.roster.starts.is_empty());
    }

    #[test]
    fn an_older_change_undoes_nothing_and_a_whole_list_always_counts() {
        let mut d = discovery();
        take(&mut d, &list(4, true, &[member("s-1", 9001, 41, "Ready")]));
        take(&mut d, &list(8, false, &[member("s-1", 9001, 41, "Terminating")]));
        let told = take(&mut d, &list(7, false, &[member("s-1", 9001, 41, "Ready")]));
        // An answer all the same, to whoever asked.
        assert!(
            matches!(&told.endpoint_updates[..], [EndpointUpdate::Delta(e)] if e.is_empty())
                && told.addresses.is_empty()
        );
        assert_eq!(
            take(&mut d, &list(2, true, &[member("s-1", 9001, 41, "Ready")])).endpoint_updates.len(),
            1
        );
    }

    /// A list with a line for each value, as an agent may write it.
    fn indented(line: &str) -> Vec<u8> {
        let value: serde_json::Value = serde_json::from_str(line).expect("JSON");
        serde_json::to_vec_pretty(&value).expect("JSON")
    }

    fn heard(d: &mut Discovery, text: &[u8]) -> DiscoveryUpdate {
        let lines = text.split(|b| *b == b'\n').map(<[u8]>::to_vec).collect();
        d.heard(WatchEvents { lines, lost: false }, 0)
    }

    #[test]
    fn an_indented_list_is_one_list_and_half_of_one_swallows_nothing() {
        let mut d = discovery();
        let whole =
            indented(&list(4, true, &[member("s-\"{1", 9001, 41, "Ready")]).replace("s-\"{1", "s-\\\"{1"));
        assert!(whole.contains(&b'\n'));
        assert!(
            matches!(&heard(&mut d, &whole).endpoint_updates[..], [EndpointUpdate::Snapshot { endpoints: entries, .. }] if entries.len() == 1)
        );
        let change = indented(&list(5, false, &[member("s-2", 9002, 41, "Ready")]));
        let half = change.len() / 2;
        assert!(heard(&mut d, b"\n\n").endpoint_updates.is_empty(), "signs of life");
        // It comes in two parts, then half of another with a sign of life behind it.
        let end = change[..half].iter().rposition(|b| *b == b'\n').expect("a line's end");
        assert!(heard(&mut d, &change[..end]).endpoint_updates.is_empty());
        assert!(
            matches!(&heard(&mut d, &change[end + 1..]).endpoint_updates[..], [EndpointUpdate::Delta(e)] if e.len() == 1)
        );
        heard(&mut d, &change[..end]);
        assert_eq!(d.reconnects, 0);
        heard(&mut d, b"");
        assert_eq!(d.reconnects, 1, "half a list can't be read");
        let after = list(6, false, &[member("s-3", 9003, 41, "Ready")]);
        assert!(
            matches!(&heard(&mut d, after.as_bytes()).endpoint_updates[..], [EndpointUpdate::Delta(e)] if e.len() == 1)
        );
    }

    #[test]
    fn an_asked_list_older_than_what_the_watch_told_undoes_no_drain() {
        let mut d = discovery();
        take(&mut d, &list(4, true, &[member("s-1", 9001, 41, "Ready")]));
        take(&mut d, &list(8, false, &[member("s-1", 9001, 41, "Terminating")]));
        let answer = |revision| {
            let body = list(revision, true, &[member("s-1", 9001, 41, "Ready")]).into_bytes();
            let headers = garnetcrank_http::Headers::default();
            CallOutcome::Response(garnetcrank_http::Response {
                status: 200,
                headers,
                body,
                keep_alive: false,
            })
        };
        let older = d.asked(answer(7));
        assert!(
            matches!(&older.endpoint_updates[..], [EndpointUpdate::Delta(e)] if e.is_empty()),
            "{older:?}"
        );
        assert!(older.addresses.is_empty());
        assert!(matches!(&d.asked(answer(9)).endpoint_updates[..], [EndpointUpdate::Snapshot { .. }]));
    }

    #[test]
    fn a_list_asked_for_in_vain_is_asked_for_at_once_where_discovery_has_moved() {
        let mut settings: serde_json::Value =
            serde_json::from_str(include_str!("../tests/settings.json")).expect("JSON");
        settings["registryMode"] = "on_request".into();
        let settings = Settings::read(&settings).expect("settings that hold together");
        let event_loop = calloop::EventLoop::<crate::readiness::TurnInputs>::try_new().expect("a loop");
        let (handle, mut ids, now) = (event_loop.handle(), ConnIds::default(), 100 * SECOND);
        let listen = || std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let (old, new) = (listen(), listen());
        let address = |l: &std::net::TcpListener| l.local_addr().expect("an address");
        let mut d = Discovery::new(address(&old), &settings, 7);
        // Asked for, and not a word there: lost, and the decisions wait before they ask again.
        assert!(d.set_watching(true, now).endpoint_updates.is_empty());
        d.on_tick(&handle, &mut ids, now);
        let (_mute, _) = old.accept().expect("a connection");
        let lost = d.on_tick(&handle, &mut ids, now + SILENCE);
        assert!(matches!(lost.endpoint_updates[..], [EndpointUpdate::Unavailable]), "{lost:?}");
        let begun = ids.next();
        let nothing = MemberList { revision: 0, complete: false, members: Vec::new() };
        d.reconfigure(address(&old), nothing.clone(), now + SILENCE);
        d.on_tick(&handle, &mut ids, now + SILENCE);
        assert_eq!(ids.next().0, begun.0 + 1, "at the same address it is theirs to say when");
        // What is there now counts 4 s from here, and they may wait for 6.
        d.reconfigure(address(&new), nothing, now + SILENCE);
        d.on_tick(&handle, &mut ids, now + SILENCE);
        assert_eq!(ids.next().0, begun.0 + 3, "nothing was asked where it is now");
        new.accept().expect("a connection");
    }

    #[test]
    fn a_call_for_the_list_under_way_as_discovery_moves_is_told_as_lost_and_its_answer_counts_no_more() {
        let event_loop = calloop::EventLoop::<crate::readiness::TurnInputs>::try_new().expect("a loop");
        let (handle, mut ids, now) = (event_loop.handle(), ConnIds::default(), 100 * SECOND);
        let listen = || std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let (old, new) = (listen(), listen());
        let address = |l: &std::net::TcpListener| l.local_addr().expect("an address");
        let mut d = discovery();
        let nothing = MemberList { revision: 0, complete: false, members: Vec::new() };
        d.reconfigure(address(&old), nothing.clone(), now);
        assert!(d.poll(&handle, &mut ids, now).endpoint_updates.is_empty());
        let (mut held, _) = old.accept().expect("the call");
        let call = ConnId(ids.next().0 - 1);
        let same = d.reconfigure(address(&old), nothing.clone(), now);
        assert!(
            same.endpoint_updates.is_empty() && d.asking.is_some(),
            "a reload that moves nothing lets it go on"
        );
        let lost = d.reconfigure(address(&new), nothing, now);
        assert!(
            matches!(lost.endpoint_updates[..], [EndpointUpdate::Unavailable]),
            "the decisions must hear: {lost:?}"
        );
        // The old address answers after all.
        use std::io::Write;
        let body = r#"{"revision":9,"complete":true,"members":[]}"#;
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        let _ = held.write_all(answer.as_bytes()); // it may be closed by now
        let readiness = Readiness { readable: true, writable: true, error: false };
        assert!(d.on_ready(call, readiness, now).endpoint_updates.is_empty() && !d.heard);
        assert!(d.poll(&handle, &mut ids, now).endpoint_updates.is_empty());
        new.accept().expect("the next call goes where it is now");
    }

    #[test]
    fn a_list_that_cannot_be_read_is_told_from_one_that_can() {
        let mut d = discovery();
        let mut news = DiscoveryUpdate::default();
        for line in ["{", "[]", r#"{"revision":1,"complete":true,"members":[{"id":"x","phase":"Odd"}]}"#] {
            assert!(!d.line(line.as_bytes(), &mut news), "{line}");
        }
        assert!(news.endpoint_updates.is_empty() && !d.heard);
    }
}

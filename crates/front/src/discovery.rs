//! Discovery: the list of machines, from the configuration on, kept up by a watch or asked for.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use calloop::Readiness;
use garnetcrank::interface::*;
use garnetcrank_settings::Settings;
use serde::Deserialize;
use tracing::warn;

use crate::call::{Ask, Call, CallEnd};
use crate::clock::{MS, SECOND};
use crate::ready::{ConnId, ConnIds, Handle, Who};
use crate::watch::Watch;

/// Silence after which a watch is dead: two of its signs of life, one every 2 s, and a margin.
const SILENCE: Micros = 5 * SECOND;
/// Longest wait for the whole list, and its longest size.
const ASK_WAIT: Micros = 2 * SECOND;
const LIST_MOST: usize = 4 * 1024 * 1024;

/// A list, or what changed in it.
#[derive(Debug, Clone, Deserialize)]
pub struct List {
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
    phase: Standing,
    #[serde(default = "one")]
    size: f64,
    #[serde(default)]
    up_since_ms: f64,
    #[serde(default)]
    build: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
enum Standing {
    Ready,
    Terminating,
    Gone,
}

fn one() -> f64 {
    1.0
}

/// What a list means for connections to a machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    /// The machine.
    pub machine: MachineId,
    /// Where it listens; none: nowhere any more.
    pub address: Option<SocketAddr>,
    /// Another process answers there than before: kept connections are void.
    pub renewed: bool,
}

/// The numbers under which the decisions know machines, zones and kinds.
#[derive(Debug)]
struct Roster {
    numbers: BTreeMap<String, MachineId>,
    /// Numbers given so far: one that returns after it was gone is another machine and gets a new one.
    given: u32,
    starts: BTreeMap<MachineId, (Build, Option<Micros>)>,
    zones: Vec<String>,
    kinds: Vec<String>,
    revision: u64,
}

impl Roster {
    fn take(&mut self, list: List, saved: bool) -> (Fleet, Vec<Place>) {
        self.revision = list.revision;
        let mut places = Vec::new();
        let mut seen = BTreeSet::new();
        let entries: Vec<Entry> =
            list.members.iter().map(|m| self.entry(m, &mut places, &mut seen)).collect();
        if !list.complete {
            return (Fleet::Changes(entries), places);
        }
        let missing = self.starts.keys().filter(|m| !seen.contains(*m));
        places.extend(missing.map(|m| Place { machine: *m, address: None, renewed: true }));
        self.starts.retain(|m, _| seen.contains(m));
        self.numbers.retain(|_, m| seen.contains(m));
        (Fleet::Whole { entries, saved }, places)
    }

    fn entry(&mut self, member: &Member, places: &mut Vec<Place>, seen: &mut BTreeSet<MachineId>) -> Entry {
        let given = &mut self.given;
        let machine = *self.numbers.entry(member.id.clone()).or_insert_with(|| {
            *given += 1;
            MachineId(*given - 1)
        });
        let started = (member.up_since_ms > 0.0).then_some((member.up_since_ms * MS as f64) as Micros);
        let start = (Build(member.build), started);
        let gone = member.phase == Standing::Gone;
        let before = self.starts.get(&machine).copied();
        if gone {
            self.starts.remove(&machine);
            self.numbers.remove(&member.id);
        } else {
            self.starts.insert(machine, start);
            seen.insert(machine);
        }
        let renewed = gone || before.is_some_and(|b| b != start);
        places.push(Place { machine, address: member.host_port.filter(|_| !gone), renewed });
        let presence = match member.phase {
            Standing::Ready if member.host_port.is_some() => Presence::On,
            Standing::Ready | Standing::Terminating => Presence::Draining,
            Standing::Gone => Presence::Gone,
        };
        Entry {
            machine,
            kind: KindId(number(&mut self.kinds, &member.flavor)),
            zone: ZoneId(number(&mut self.zones, &member.locality)),
            cell: CellId(member.cell),
            build: Build(member.build),
            presence,
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
pub struct FleetNews {
    /// For the decisions, in order.
    pub fleet: Vec<Fleet>,
    /// For connections, in order.
    pub places: Vec<Place>,
}

/// The front's view of discovery.
pub struct Discovery {
    address: SocketAddr,
    roster: Roster,
    watch: Watch,
    /// The list comes unasked: the watch is kept up by itself.
    pushed: bool,
    wanted: bool,
    asking: Option<Call>,
    /// Discovery has told something since the start.
    pub heard: bool,
    /// Connections made anew.
    pub reconnects: u64,
}

impl Discovery {
    /// A view that holds nothing yet.
    pub fn new(address: SocketAddr, settings: &Settings) -> Self {
        let pushed = !settings.config.ask_for_fleet;
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
            watch: Watch::new("discovery", address, SILENCE),
            pushed,
            wanted: pushed,
            asking: None,
            heard: false,
            reconnects: 0,
        }
    }

    /// Takes the list that the configuration holds.
    pub fn known(&mut self, list: List) -> FleetNews {
        let (fleet, places) = self.roster.take(List { complete: true, ..list }, true);
        FleetNews { fleet: vec![fleet], places }
    }

    /// The configuration was read again. The list held stays, unless the one told there is newer; the next
    /// connection goes to the new address, at once.
    pub fn renew(&mut self, address: SocketAddr, known: List) -> FleetNews {
        self.address = address;
        self.watch.retarget(address);
        if known.revision > self.roster.revision { self.known(known) } else { FleetNews::default() }
    }

    /// The decisions subscribe, or no longer want to.
    pub fn subscribe(&mut self, want: bool) {
        self.wanted = want || self.pushed;
        if !self.pushed {
            self.watch.close();
        }
    }

    /// The decisions ask for the whole list.
    pub fn ask(&mut self, handle: &Handle, ids: &mut ConnIds, now: Micros) -> FleetNews {
        let id = ids.next();
        let ask = Ask {
            to: self.address,
            method: "GET",
            target: "/v1/servers",
            body: b"",
            most: LIST_MOST,
            until: now + ASK_WAIT,
        };
        match Call::start(handle, id, Who::Discovery(id), ask) {
            Ok(call) => {
                self.asking = Some(call);
                FleetNews::default()
            }
            Err(e) => {
                warn!("discovery: cannot ask for the list: {e}");
                FleetNews { fleet: vec![Fleet::Unreachable], places: Vec::new() }
            }
        }
    }

    /// Whether nothing is to be done but to listen.
    pub fn at_rest(&self) -> bool {
        self.asking.is_none() && (!self.wanted || self.watch.stands())
    }

    /// Connects where that is due, and gives up what has been silent for too long.
    pub fn tend(&mut self, handle: &Handle, ids: &mut ConnIds, now: Micros) -> FleetNews {
        let mut news = FleetNews::default();
        if self.asking.as_ref().is_some_and(|c| c.late(now).is_some()) {
            self.asking = None;
            news.fleet.push(Fleet::Unreachable);
        }
        if self.wanted {
            let target = || format!("/v1/servers?stream=1&index={}", self.roster.revision);
            let lost = self.watch.tend(handle, ids, Who::Discovery, now, target);
            self.lost(lost, &mut news);
        }
        news
    }

    fn lost(&mut self, lost: bool, news: &mut FleetNews) {
        self.reconnects += u64::from(lost);
        if lost && !self.pushed {
            self.wanted = false; // the decisions choose when to ask again
            news.fleet.push(Fleet::Unreachable);
        }
    }

    /// Takes what has come on one of its connections.
    pub fn ready(&mut self, id: ConnId, readiness: Readiness, now: Micros) -> FleetNews {
        let mut news = FleetNews::default();
        if let Some(call) = self.asking.as_mut().filter(|c| c.id == id) {
            let Some(end) = call.ready(readiness) else { return news };
            self.asking = None;
            match end {
                CallEnd::Answer(r) if r.status == 200 && self.line(&r.body, &mut news) => {}
                _ => news.fleet.push(Fleet::Unreachable),
            }
            return news;
        }
        let heard = self.watch.ready(id, readiness, now);
        for line in heard.lines {
            if !self.line(&line, &mut news) {
                self.watch.lose(now, "a list that can't be read");
                self.lost(true, &mut news);
                return news;
            }
        }
        self.lost(heard.lost, &mut news);
        news
    }

    /// One list or change; false if it can't be read.
    fn line(&mut self, line: &[u8], news: &mut FleetNews) -> bool {
        let list: List = match serde_json::from_slice(line) {
            Ok(list) => list,
            Err(e) => {
                warn!("discovery: {e}");
                return false;
            }
        };
        self.heard = true;
        // A change that is already part of the list held says nothing new, but it answers: decisions that
        // wait for an answer would take discovery for lost and ask again, all fronts in step.
        if list.complete || list.revision > self.roster.revision {
            let (fleet, places) = self.roster.take(list, false);
            news.fleet.push(fleet);
            news.places.extend(places);
        } else {
            news.fleet.push(Fleet::Changes(Vec::new()));
        }
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn discovery() -> Discovery {
        let settings = serde_json::from_str(include_str!("../tests/settings.json")).expect("JSON");
        let settings = Settings::read(&settings).expect("settings that hold together");
        Discovery::new("127.0.0.1:1".parse().expect("an address"), &settings)
    }

    fn member(id: &str, port: u16, build: u32, phase: &str) -> String {
        format!(
            r#"{{"id":"{id}","host_port":"127.0.0.1:{port}","locality":"south","flavor":"box","cell":3,"phase":"{phase}","size":1.5,"up_since_ms":1700000000000,"build":{build}}}"#
        )
    }

    fn list(revision: u64, complete: bool, members: &[String]) -> String {
        format!(r#"{{"revision":{revision},"complete":{complete},"members":[{}]}}"#, members.join(","))
    }

    fn take(d: &mut Discovery, line: &str) -> FleetNews {
        let mut news = FleetNews::default();
        assert!(d.line(line.as_bytes(), &mut news), "{line}");
        news
    }

    #[test]
    fn an_entry_means_what_the_page_says() {
        let mut d = discovery();
        let news = take(&mut d, &list(4, true, &[member("s-1", 9001, 41, "Ready")]));
        let Fleet::Whole { entries, saved: false } = &news.fleet[0] else { panic!("{news:?}") };
        let entry = entries[0];
        assert_eq!((entry.machine, entry.zone, entry.kind), (MachineId(0), ZoneId(1), KindId(0)));
        assert_eq!((entry.build, entry.cell, entry.rating), (Build(41), CellId(3), 1.5));
        assert_eq!(entry.started, Some(1_700_000_000_000_000));
        assert_eq!(news.places[0].address, Some("127.0.0.1:9001".parse().expect("an address")));
    }

    #[test]
    fn a_fleet_of_some_thousands_is_taken_from_one_line() {
        let mut d = discovery();
        let most = 4096;
        let all: Vec<_> = (0..most).map(|n| member(&format!("s-{n}"), 9001, 41, "Ready")).collect();
        let line = list(1, true, &all);
        assert!(line.len() <= LIST_MOST / 4, "{} bytes are a fourth of what a line may have", line.len());
        let news = take(&mut d, &line);
        let Fleet::Whole { entries, .. } = &news.fleet[0] else { panic!("no whole list") };
        assert_eq!((entries.len(), news.places.len(), d.roster.numbers.len()), (most, most, most));
    }

    #[test]
    fn a_machine_that_returns_changed_drops_its_old_connections() {
        let mut d = discovery();
        take(&mut d, &list(4, true, &[member("s-1", 9001, 41, "Ready"), member("s-2", 9002, 41, "Ready")]));
        let news = take(&mut d, &list(5, false, &[member("s-1", 9001, 42, "Ready")]));
        assert!(matches!(&news.fleet[0], Fleet::Changes(e) if e.len() == 1 && e[0].build == Build(42)));
        assert!(news.places[0].renewed);
        let news = take(&mut d, &list(6, false, &[member("s-1", 9001, 42, "Terminating")]));
        assert!(!news.places[0].renewed, "a drain leaves what is under way alone");
        let news = take(&mut d, &list(7, false, &[member("s-1", 9001, 42, "Gone")]));
        assert_eq!((news.places[0].address, news.places[0].renewed), (None, true));
    }

    #[test]
    fn a_machine_missing_from_a_whole_list_is_nowhere() {
        let mut d = discovery();
        take(&mut d, &list(4, true, &[member("s-1", 9001, 41, "Ready"), member("s-2", 9002, 41, "Ready")]));
        let news = take(&mut d, &list(9, true, &[member("s-2", 9002, 41, "Ready")]));
        assert!(news.places.contains(&Place { machine: MachineId(0), address: None, renewed: true }));
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
            numbers.push(news.places[0].machine);
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
        assert!(matches!(&told.fleet[..], [Fleet::Changes(e)] if e.is_empty()) && told.places.is_empty());
        assert_eq!(take(&mut d, &list(2, true, &[member("s-1", 9001, 41, "Ready")])).fleet.len(), 1);
    }

    #[test]
    fn a_list_that_cannot_be_read_is_told_from_one_that_can() {
        let mut d = discovery();
        let mut news = FleetNews::default();
        for line in ["{", "[]", r#"{"revision":1,"complete":true,"members":[{"id":"x","phase":"Odd"}]}"#] {
            assert!(!d.line(line.as_bytes(), &mut news), "{line}");
        }
        assert!(news.fleet.is_empty() && !d.heard);
    }
}

//! Connections to machines: made, kept for further use, and the outcome of what was sent on them.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;

use calloop::Readiness;
use garnetcrank::interface::*;
use garnetcrank_http::{Headers, Request, Response, ResponseReader, write_request};
use garnetcrank_settings::Transport;
use rustc_hash::FxHashMap;

use crate::clock::{MS, SECOND};
use crate::conn::Conn;
use crate::discovery::Place;
use crate::exchange::{Exchange, Step};
use crate::ready::{ConnId, ConnIds, Handle, Who};

/// Largest body that a message may have.
pub const BODY_MOST: usize = 64 * 1024;
/// Room for a request: its body, and its head with a margin for what we add.
const OUT_MOST: usize = BODY_MOST + 40 * 1024;
/// Room for what has come of an answer and is not yet taken apart.
const IN_MOST: usize = 32 * 1024;
/// Part of the machines' idle limit for which a connection is kept: well before the other side closes it.
const IDLE_PART: f64 = 0.8;
/// Longest wait for the answer to a probe; it is a few bytes.
const PROBE_WAIT: Micros = SECOND;
/// A stream without a byte for so long is dead.
const STREAM_SILENCE: Micros = 60 * SECOND;

/// What an exchange on a connection is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Purpose {
    Attempt { id: RequestId, attempt: usize, streamed: bool },
    Probe,
}

struct UnderWay {
    purpose: Purpose,
    exchange: Exchange,
    placed: Micros,
    connect_until: Micros,
    /// When it is next looked at: at the end of its time, or of that to connect.
    due: Micros,
    until: Micros,
    begun: bool,
}

struct Link {
    conn: Conn,
    machine: MachineId,
    /// Of the process that the connection was made to.
    generation: u64,
    under_way: Option<UnderWay>,
    idle_since: Micros,
    paused: bool,
}

#[derive(Default)]
struct Endpoint {
    address: Option<SocketAddr>,
    generation: u64,
    idle: Vec<ConnId>, // the newest last
}

/// What happened on the connections.
#[derive(Debug)]
pub enum Note {
    /// A streamed answer has begun.
    Begun {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: usize,
        /// Headers of the answer.
        headers: Headers,
    },
    /// A part of it.
    Part {
        /// The request.
        id: RequestId,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// An attempt ended.
    Ended {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: usize,
        /// How.
        outcome: Outcome,
        /// Time since it was placed.
        lag: Micros,
        /// Load report of the machine.
        load: Vec<f64>,
        /// The whole answer, where it served.
        answer: Option<Response>,
    },
    /// A probe ended.
    Probed {
        /// The machine.
        machine: MachineId,
        /// How.
        outcome: Outcome,
        /// Time since it was sent.
        lag: Micros,
        /// Load report of the machine.
        load: Vec<f64>,
    },
}

/// An attempt to be made.
pub struct Job<'a> {
    /// The request.
    pub id: RequestId,
    /// Number of the attempt.
    pub attempt: usize,
    /// Where.
    pub machine: MachineId,
    /// What the client sent.
    pub request: &'a Request,
    /// When the front stops waiting.
    pub until: Micros,
    /// The answer is passed on as it comes.
    pub streamed: bool,
}

/// All connections to machines.
pub struct Machines {
    transport: Transport,
    endpoints: BTreeMap<MachineId, Endpoint>,
    /// Processes told of so far: no two connections to different ones bear the same number.
    generations: u64,
    links: FxHashMap<ConnId, Link>,
    attempts: FxHashMap<(RequestId, usize), ConnId>,
    /// When exchanges, or their connecting, are given up: one entry for each under way.
    due: BTreeSet<(Micros, ConnId)>,
    /// Connections opened.
    pub opened: u64,
    /// Exchanges on kept connections.
    pub reused: u64,
}

impl Machines {
    /// None yet.
    pub fn new(transport: Transport) -> Self {
        Machines {
            transport,
            endpoints: BTreeMap::new(),
            generations: 0,
            links: FxHashMap::default(),
            attempts: FxHashMap::default(),
            due: BTreeSet::new(),
            opened: 0,
            reused: 0,
        }
    }

    /// Connections that stand or are being made.
    pub fn len(&self) -> usize {
        self.links.len()
    }

    /// News of where a machine listens. Kept connections to another process than that are dropped; what is
    /// under way on one ends by itself.
    pub fn place(&mut self, place: &Place) {
        if place.address.is_none() {
            // Nothing is kept for a machine that is gone; what is under way there ends by itself.
            self.close_idle(place.machine);
            self.endpoints.remove(&place.machine);
            return;
        }
        let endpoint = self.endpoints.entry(place.machine).or_default();
        let same = endpoint.address == place.address && !place.renewed;
        endpoint.address = place.address;
        if !same {
            self.generations += 1;
            endpoint.generation = self.generations;
            self.close_idle(place.machine);
        }
    }

    /// Starts an attempt. An error is the outcome of one that could not start.
    pub fn attempt(
        &mut self,
        handle: &Handle,
        ids: &mut ConnIds,
        now: Micros,
        job: &Job<'_>,
        notes: &mut Vec<Note>,
    ) -> Result<(), Outcome> {
        let wait = (job.until.saturating_sub(now) / MS).max(1).to_string();
        let skipped = ["request-timeout-ms", "server-load"];
        let passed = job.request.headers.end_to_end();
        let passed = passed.filter(|(name, _)| !skipped.iter().any(|s| name.eq_ignore_ascii_case(s)));
        let lines = passed.chain(std::iter::once(("Request-Timeout-Ms", wait.as_bytes())));
        let Request { method, target, body, .. } = job.request;
        let purpose = Purpose::Attempt { id: job.id, attempt: job.attempt, streamed: job.streamed };
        self.start(handle, ids, now, (job.machine, purpose, job.until), notes, |out| {
            write_request(out, method, target, lines, body).is_ok()
        })
    }

    /// Sends a probe.
    pub fn probe(
        &mut self,
        handle: &Handle,
        ids: &mut ConnIds,
        now: Micros,
        machine: MachineId,
        notes: &mut Vec<Note>,
    ) -> Result<(), Outcome> {
        let target = if self.transport.report_columns.is_empty() { "/healthz" } else { "/load" };
        let host = self.endpoints.get(&machine).and_then(|e| e.address).map(|a| a.to_string());
        let host = host.ok_or(Outcome::Unsent)?;
        let lines = std::iter::once(("Host", host.as_bytes()));
        self.start(handle, ids, now, (machine, Purpose::Probe, now + PROBE_WAIT), notes, |out| {
            write_request(out, "GET", target, lines, b"").is_ok()
        })
    }

    /// Whether an exchange with this machine needs no new connection.
    pub fn has_idle(&self, machine: MachineId) -> bool {
        self.endpoints.get(&machine).is_some_and(|e| !e.idle.is_empty())
    }

    fn start(
        &mut self,
        handle: &Handle,
        ids: &mut ConnIds,
        now: Micros,
        (machine, purpose, until): (MachineId, Purpose, Micros),
        notes: &mut Vec<Note>,
        write: impl FnOnce(&mut garnetcrank_http::Ring) -> bool,
    ) -> Result<(), Outcome> {
        let reader = match purpose {
            Purpose::Attempt { streamed: true, .. } => ResponseReader::streamed(BODY_MOST),
            _ => ResponseReader::whole(BODY_MOST),
        };
        let (id, mut link, exchange, connect_until) = match self.kept(machine, now) {
            Some((id, link)) => {
                self.reused += 1;
                (id, link, Exchange::on_open(reader), until)
            }
            None => {
                let endpoint = self.endpoints.get(&machine).ok_or(Outcome::Unsent)?;
                let (address, generation) = (endpoint.address.ok_or(Outcome::Unsent)?, endpoint.generation);
                let id = ids.next();
                let conn = Conn::connect(handle, address, Who::Machine(id), IN_MOST, OUT_MOST);
                let conn = conn.map_err(|e| failed_start(&e))?;
                self.opened += 1;
                let link =
                    Link { conn, machine, generation, under_way: None, idle_since: now, paused: false };
                let connect_until = now + self.transport.connect_timeout;
                (id, link, Exchange::connecting(reader), connect_until)
            }
        };
        if !write(&mut link.conn.output) {
            return Err(Outcome::Unsent);
        }
        let up = exchange.connected();
        let placed = now;
        let due = connect_until.min(until);
        link.under_way =
            Some(UnderWay { purpose, exchange, placed, connect_until, due, until, begun: false });
        self.due.insert((due, id));
        if let Purpose::Attempt { id: request, attempt, .. } = purpose {
            self.attempts.insert((request, attempt), id);
        }
        self.links.insert(id, link);
        // A connection that is being made tells when it is up.
        if up {
            self.go_on(id, now, notes);
        }
        Ok(())
    }

    /// Takes the newest kept connection that is surely open still.
    fn kept(&mut self, machine: MachineId, now: Micros) -> Option<(ConnId, Link)> {
        let keep = self.keep();
        let endpoint = self.endpoints.get_mut(&machine)?;
        while let Some(id) = endpoint.idle.pop() {
            let link = self.links.remove(&id);
            if let Some(link) = link.filter(|l| l.conn.quiet() && now < l.idle_since + keep) {
                return Some((id, link));
            }
        }
        None
    }

    fn keep(&self) -> Micros {
        (self.transport.conn_idle as f64 * IDLE_PART) as Micros
    }

    /// Writes what a new exchange left in the connection's ring, and takes what comes.
    pub fn go_on(&mut self, id: ConnId, now: Micros, notes: &mut Vec<Note>) {
        let Some(link) = self.links.get_mut(&id) else { return };
        while !link.paused {
            let Some(under_way) = &mut link.under_way else {
                // Nothing was asked on an idle connection: whatever comes on it ends it.
                if !link.conn.quiet() {
                    self.forget(id);
                }
                return;
            };
            let mut step = under_way.exchange.step(&mut link.conn);
            let Purpose::Attempt { id: request, attempt, streamed: true } = under_way.purpose else {
                return self.stepped(id, step, now, notes);
            };
            // A streamed answer: its parts are passed on, if it serves.
            let serves = under_way.exchange.reader().begun().filter(|r| r.status == 200);
            if let Some(headers) = serves.filter(|_| !under_way.begun).map(|r| r.headers.clone()) {
                notes.push(Note::Begun { id: request, attempt, headers });
                under_way.begun = true;
            }
            if !under_way.begun {
                return self.stepped(id, step, now, notes);
            }
            let bytes = match &mut step {
                Step::Answer { response, .. } => std::mem::take(&mut response.body),
                _ => under_way.exchange.reader().take_body(),
            };
            let more = !bytes.is_empty();
            under_way.until = now + STREAM_SILENCE; // looked at again when its first time is over
            if more {
                notes.push(Note::Part { id: request, bytes });
            }
            if !matches!(step, Step::Pending) {
                return self.stepped(id, step, now, notes);
            } else if !more || link.conn.input.is_empty() && !link.conn.more_to_read() {
                return;
            }
        }
    }

    /// Takes what the loop told of a connection.
    pub fn ready(&mut self, id: ConnId, readiness: Readiness, now: Micros, notes: &mut Vec<Note>) {
        if let Some(link) = self.links.get_mut(&id) {
            link.conn.note(readiness);
            self.go_on(id, now, notes);
        }
    }

    fn stepped(&mut self, id: ConnId, step: Step, now: Micros, notes: &mut Vec<Note>) {
        match step {
            Step::Pending => {}
            Step::NeverSent => self.end(id, Outcome::Unreached, None, now, notes),
            Step::Broken => self.end(id, Outcome::Broken, None, now, notes),
            Step::Answer { response, reusable } => {
                let outcome = outcome(&response);
                self.end(id, outcome, Some((response, reusable)), now, notes);
            }
        }
    }

    /// The end of an exchange; the connection is kept where it may be used again.
    fn end(
        &mut self,
        id: ConnId,
        outcome: Outcome,
        answer: Option<(Response, bool)>,
        now: Micros,
        notes: &mut Vec<Note>,
    ) {
        let Some(mut link) = self.links.remove(&id) else { return };
        let Some(under_way) = link.under_way.take() else { return };
        self.due.remove(&(under_way.due, id));
        let lag = now.saturating_sub(under_way.placed);
        let (response, reusable) = answer.map_or((None, false), |(r, reusable)| (Some(r), reusable));
        let load = response.as_ref().map(|r| self.load(r, under_way.purpose)).unwrap_or_default();
        notes.push(match under_way.purpose {
            Purpose::Attempt { id, attempt, .. } => {
                self.attempts.remove(&(id, attempt));
                let answer = response.filter(|_| outcome == Outcome::Served && !under_way.begun);
                Note::Ended { id, attempt, outcome, lag, load, answer }
            }
            Purpose::Probe => Note::Probed { machine: link.machine, outcome, lag, load },
        });
        let endpoint = self.endpoints.get_mut(&link.machine);
        if let Some(endpoint) = endpoint.filter(|e| reusable && e.generation == link.generation) {
            (link.idle_since, link.paused) = (now, false);
            endpoint.idle.push(id);
            self.links.insert(id, link);
        }
    }

    /// The load report that an answer bears, in the order of the settings; empty without a whole one.
    fn load(&self, response: &Response, purpose: Purpose) -> Vec<f64> {
        let columns = &self.transport.report_columns;
        if columns.is_empty() {
            return Vec::new();
        }
        let header = response.headers.all("server-load").next();
        let text = header.unwrap_or(if purpose == Purpose::Probe { &response.body } else { b"" });
        let report: serde_json::Value = serde_json::from_slice(text).unwrap_or_default();
        let values = columns.iter().map(|c| report.get(c).and_then(serde_json::Value::as_f64));
        values.collect::<Option<Vec<_>>>().unwrap_or_default()
    }

    /// When the first exchange must be looked at.
    pub fn due(&self) -> Option<Micros> {
        self.due.first().map(|(at, _)| *at)
    }

    /// Gives up the exchanges whose time, or whose time to connect, is over.
    pub fn late(&mut self, now: Micros, notes: &mut Vec<Note>) {
        while self.due().is_some_and(|at| at <= now) {
            let Some((_, id)) = self.due.pop_first() else { return };
            let Some(link) = self.links.get_mut(&id) else { continue };
            let Some(under_way) = &mut link.under_way else { continue };
            if under_way.begun && link.paused {
                under_way.until = now + STREAM_SILENCE; // it is its client that is slow
            }
            let outcome = match () {
                () if !under_way.exchange.connected() && now >= under_way.connect_until => Outcome::Unreached,
                () if now >= under_way.until && under_way.begun => Outcome::Broken,
                () if now >= under_way.until && under_way.exchange.sent() => Outcome::TimedOut,
                // Its time is over before its last byte was written: the machine never begins it.
                () if now >= under_way.until => Outcome::Unsent,
                () => {
                    under_way.due = under_way.until;
                    self.due.insert((under_way.due, id));
                    continue;
                }
            };
            self.end(id, outcome, None, now, notes);
        }
    }

    /// Calls an attempt off; one whose stream has begun goes on.
    pub fn withdraw(&mut self, id: RequestId, attempt: usize, now: Micros, notes: &mut Vec<Note>) {
        let Some(&conn) = self.attempts.get(&(id, attempt)) else { return };
        let begun = |l: &Link| l.under_way.as_ref().is_some_and(|u| u.begun);
        if !self.links.get(&conn).is_some_and(begun) {
            self.end(conn, Outcome::Withdrawn, None, now, notes);
        }
    }

    /// Ends a begun stream that nobody listens to any more.
    pub fn cut(&mut self, id: RequestId, attempt: usize, now: Micros, notes: &mut Vec<Note>) {
        if let Some(&conn) = self.attempts.get(&(id, attempt)) {
            self.end(conn, Outcome::Withdrawn, None, now, notes);
        }
    }

    /// Stops reading a stream, or reads on: its client takes it no faster.
    pub fn pause(&mut self, id: RequestId, attempt: usize, paused: bool, now: Micros, notes: &mut Vec<Note>) {
        let Some(&conn) = self.attempts.get(&(id, attempt)) else { return };
        if let Some(link) = self.links.get_mut(&conn) {
            link.paused = paused;
            self.go_on(conn, now, notes);
        }
    }

    /// Closes idle connections to a machine.
    pub fn close_idle(&mut self, machine: MachineId) {
        if let Some(endpoint) = self.endpoints.get_mut(&machine) {
            for id in endpoint.idle.drain(..) {
                self.links.remove(&id);
            }
        }
    }

    /// Closes the connection that has been idle for longest, to make room. False if none is idle.
    pub fn evict_idle(&mut self) -> bool {
        let oldest = self.endpoints.values().filter_map(|e| e.idle.first());
        let oldest = oldest.min_by_key(|id| self.links.get(id).map(|l| l.idle_since)).copied();
        oldest.inspect(|id| self.forget(*id)).is_some()
    }

    /// Closes what has been idle for too long.
    pub fn tend(&mut self, now: Micros) {
        let keep = self.keep();
        let old = |l: &Link| l.under_way.is_none() && now >= l.idle_since + keep;
        let idle: Vec<ConnId> = self.links.iter().filter(|(_, l)| old(l)).map(|(id, _)| *id).collect();
        idle.into_iter().for_each(|id| self.forget(id));
    }

    fn forget(&mut self, id: ConnId) {
        if let Some(link) = self.links.remove(&id)
            && let Some(endpoint) = self.endpoints.get_mut(&link.machine)
        {
            endpoint.idle.retain(|i| *i != id);
        }
    }
}

/// What an answer says of the attempt.
fn outcome(response: &Response) -> Outcome {
    let not_started = response.headers.all("not-started").any(|v| v.trim_ascii() == b"1");
    match response.status {
        200 => Outcome::Served,
        503 | 504 if not_started => Outcome::Full,
        _ => Outcome::Error,
    }
}

/// Why a connection could not even be started: for want of something of ours, or of the machine.
fn failed_start(error: &io::Error) -> Outcome {
    use rustix::io::Errno;
    match Errno::from_io_error(error) {
        Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM | Errno::ADDRNOTAVAIL) => {
            Outcome::Unsent
        }
        _ => Outcome::Unreached,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use garnetcrank_http::{Parsing, Ring};

    fn answer(text: &str) -> Response {
        let mut ring = Ring::new(4096);
        ring.push(text.as_bytes()).expect("room");
        match ResponseReader::whole(4096).read(&mut ring, true) {
            Ok(Parsing::Done(response)) => response,
            other => panic!("{other:?}"),
        }
    }

    #[test]
    fn only_a_marked_refusal_proves_that_nothing_ran() {
        for (head, expected) in [
            ("200 OK\r\n", Outcome::Served),
            ("500 Oops\r\n", Outcome::Error),
            ("503 Busy\r\nNot-Started: 1\r\n", Outcome::Full),
            ("504 Late\r\nNot-Started: 1\r\n", Outcome::Full),
            ("503 Busy\r\n", Outcome::Error),
            ("503 Busy\r\nNot-Started: 0\r\n", Outcome::Error),
            ("504 Late\r\n", Outcome::Error),
            ("500 Oops\r\nNot-Started: 1\r\n", Outcome::Error),
            ("404 None\r\n", Outcome::Error),
        ] {
            let response = answer(&format!("HTTP/1.1 {head}Content-Length: 0\r\n\r\n"));
            assert_eq!(outcome(&response), expected, "{head:?}");
        }
    }

    #[test]
    fn a_load_report_is_read_in_the_order_of_the_settings() {
        let mut transport = Transport {
            conn_idle: SECOND,
            connect_timeout: SECOND,
            most_held: None,
            report_columns: vec!["util".into(), "queue".into()],
        };
        let text = "HTTP/1.1 200 OK\r\nServer-Load: {\"inflight\":7,\"queue\":2,\"util\":0.61}\r\nContent-Length: 0\r\n\r\n";
        let load = |t: &Transport| Machines::new(t.clone()).load(&answer(text), Purpose::Probe);
        assert_eq!(load(&transport), [0.61, 2.0]);
        transport.report_columns.push("unheard".into());
        assert!(load(&transport).is_empty(), "half a report is none");
    }
}

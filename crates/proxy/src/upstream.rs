//! Connections to machines: made, kept for further use, and the outcome of what was sent on them.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;

use calloop::Readiness;
use garnetcrank_http::{Headers, Request, Response, ResponseReader, write_request};
use garnetcrank_policy::api::*;
use garnetcrank_settings::Transport;
use rustc_hash::FxHashMap;

use crate::clock::{MS, SECOND};
use crate::connection::Connection;
use crate::discovery::EndpointAddress;
use crate::http_exchange::{ExchangeProgress, HttpExchange};
use crate::readiness::{ConnId, ConnIds, Handle, Source};

/// Largest body that a message may have.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Room for a request: its body, and its head with a margin for what we add.
const OUT_MOST: usize = MAX_BODY_BYTES + 40 * 1024;
/// Room for what has come of an answer and is not yet taken apart.
const IN_MOST: usize = 32 * 1024;
/// Part of the machines' idle limit for which a connection is kept: well before the other side closes it.
const IDLE_PART: f64 = 0.8;
/// Longest wait for the answer to a probe; it is a few bytes.
const PROBE_WAIT: Micros = SECOND;
/// A connection rests for so long after an answer: a second answer to the same request may come some milliseconds late,
/// and the next request, another customer's, would take it for its own.
const REST: Micros = 10 * MS;
/// A stream without a byte for so long is dead.
const STREAM_SILENCE: Micros = 60 * SECOND;

/// What an exchange on a connection is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Purpose {
    Attempt { id: RequestId, attempt: usize, streamed: bool },
    Probe,
}

struct ActiveExchange {
    purpose: Purpose,
    exchange: HttpExchange,
    placed: Micros,
    connect_until: Micros,
    /// When it is next looked at: at the end of its time, or of that to connect.
    due: Micros,
    until: Micros,
    begun: bool,
}

struct UpstreamConnection {
    conn: Connection,
    machine: EndpointId,
    /// Of the process that the connection was made to.
    generation: u64,
    under_way: Option<ActiveExchange>,
    idle_since: Micros,
    paused: bool,
}

impl UpstreamConnection {
    /// Whether whatever belongs to the last answer has surely come.
    fn rested(&self, now: Micros) -> bool {
        now >= self.idle_since + REST
    }
}

#[derive(Default)]
struct Endpoint {
    address: Option<SocketAddr>,
    build: Build,
    generation: u64,
    idle: Vec<ConnId>, // the newest last
}

/// What happened on the connections.
#[derive(Debug)]
pub enum UpstreamEvent {
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
        machine: EndpointId,
        /// How.
        outcome: Outcome,
        /// Time since it was sent.
        lag: Micros,
        /// Load report of the machine.
        load: Vec<f64>,
    },
}

/// An attempt to be made.
pub struct UpstreamRequest<'a> {
    /// The request.
    pub id: RequestId,
    /// Number of the attempt.
    pub attempt: usize,
    /// Where.
    pub machine: EndpointId,
    /// What the client sent.
    pub request: &'a Request,
    /// When the front stops waiting.
    pub until: Micros,
    /// The answer is passed on as it comes.
    pub streamed: bool,
}

/// All connections to machines.
pub struct Upstream {
    transport: Transport,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    /// Processes told of so far: no two connections to different ones bear the same number.
    generations: u64,
    links: FxHashMap<ConnId, UpstreamConnection>,
    attempts: FxHashMap<(RequestId, usize), ConnId>,
    /// When exchanges, or their connecting, are given up: one entry for each under way.
    next_deadline: BTreeSet<(Micros, ConnId)>,
    /// Connections opened.
    pub opened: u64,
    /// Exchanges on kept connections.
    pub reused: u64,
}

impl Upstream {
    /// None yet.
    pub fn new(transport: Transport) -> Self {
        Upstream {
            transport,
            endpoints: BTreeMap::new(),
            generations: 0,
            links: FxHashMap::default(),
            attempts: FxHashMap::default(),
            next_deadline: BTreeSet::new(),
            opened: 0,
            reused: 0,
        }
    }

    /// Connections that stand or are being made.
    pub fn len(&self) -> usize {
        self.links.len()
    }

    /// News of where a machine listens. Kept connections to another process than that are dropped; what is
    /// under way on one ends by itself, unless it has not begun: that was decided on what is no longer so.
    pub fn update_address(&mut self, place: &EndpointAddress, now: Micros, notes: &mut Vec<UpstreamEvent>) {
        let Some(address) = place.address else {
            // Nothing is kept for a machine that is gone; what is under way there ends by itself.
            self.close_idle(place.endpoint);
            self.endpoints.remove(&place.endpoint);
            return self.recall_pending(now, notes, |link| link.machine == place.endpoint);
        };
        let endpoint = self.endpoints.entry(place.endpoint).or_default();
        let same = endpoint.address == Some(address) && !place.restarted;
        (endpoint.address, endpoint.build) = (Some(address), place.build);
        if !same {
            self.generations += 1;
            endpoint.generation = self.generations;
            self.close_idle(place.endpoint);
        }
        if !same || place.draining {
            self.recall_pending(now, notes, |link| link.machine == place.endpoint);
        }
    }

    /// Takes back the attempts at a build of which less may be sent from now on, where none of their bytes has left.
    pub fn recall_build(&mut self, build: Build, now: Micros, notes: &mut Vec<UpstreamEvent>) {
        let of_build = self.endpoints.iter().filter(|(_, e)| e.build == build).map(|(machine, _)| *machine);
        let machines: BTreeSet<EndpointId> = of_build.collect();
        self.recall_pending(now, notes, |link| machines.contains(&link.machine));
    }

    /// Takes back attempts whose connection is not up yet: they would be sent whenever it comes up, to a machine that
    /// takes nothing new by then, or to another process than the one chosen. They are decided anew.
    fn recall_pending(
        &mut self,
        now: Micros,
        notes: &mut Vec<UpstreamEvent>,
        which: impl Fn(&UpstreamConnection) -> bool,
    ) {
        let waits = |l: &UpstreamConnection| l.under_way.as_ref().is_some_and(|u| !u.exchange.connected());
        let mut back: Vec<ConnId> =
            self.links.iter().filter(|(_, l)| waits(l) && which(l)).map(|(id, _)| *id).collect();
        back.sort_unstable(); // in the order in which they were decided
        back.into_iter().for_each(|id| self.end(id, Outcome::NotSent, None, now, notes));
    }

    /// Starts an attempt. An error is the outcome of one that could not start.
    pub fn start_attempt(
        &mut self,
        handle: &Handle,
        ids: &mut ConnIds,
        now: Micros,
        job: &UpstreamRequest<'_>,
        notes: &mut Vec<UpstreamEvent>,
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
    pub fn start_health_check(
        &mut self,
        handle: &Handle,
        ids: &mut ConnIds,
        now: Micros,
        machine: EndpointId,
        notes: &mut Vec<UpstreamEvent>,
    ) -> Result<(), Outcome> {
        let target = if self.transport.report_columns.is_empty() { "/healthz" } else { "/load" };
        let host = self.endpoints.get(&machine).and_then(|e| e.address).map(|a| a.to_string());
        let host = host.ok_or(Outcome::NotSent)?;
        let lines = std::iter::once(("Host", host.as_bytes()));
        self.start(handle, ids, now, (machine, Purpose::Probe, now + PROBE_WAIT), notes, |out| {
            write_request(out, "GET", target, lines, b"").is_ok()
        })
    }

    /// Whether an exchange with this machine needs no new connection.
    pub fn has_idle(&self, machine: EndpointId, now: Micros) -> bool {
        // The first one has rested for longest.
        let first = self.endpoints.get(&machine).and_then(|e| e.idle.first());
        first.and_then(|id| self.links.get(id)).is_some_and(|l| l.rested(now))
    }

    fn start(
        &mut self,
        handle: &Handle,
        ids: &mut ConnIds,
        now: Micros,
        (machine, purpose, until): (EndpointId, Purpose, Micros),
        notes: &mut Vec<UpstreamEvent>,
        write: impl FnOnce(&mut garnetcrank_http::Ring) -> bool,
    ) -> Result<(), Outcome> {
        let reader = match purpose {
            Purpose::Attempt { streamed: true, .. } => ResponseReader::streamed(MAX_BODY_BYTES),
            _ => ResponseReader::whole(MAX_BODY_BYTES),
        };
        let (id, mut link, exchange, connect_until) = match self.take_idle(machine, now) {
            Some((id, link)) => {
                self.reused += 1;
                (id, link, HttpExchange::on_open_connection(reader), until)
            }
            None => {
                let endpoint = self.endpoints.get(&machine).ok_or(Outcome::NotSent)?;
                let (address, generation) = (endpoint.address.ok_or(Outcome::NotSent)?, endpoint.generation);
                let id = ids.next();
                let conn = Connection::connect(handle, address, Source::Upstream(id), IN_MOST, OUT_MOST);
                let conn = conn.map_err(|e| failed_start(&e))?;
                self.opened += 1;
                let link = UpstreamConnection {
                    conn,
                    machine,
                    generation,
                    under_way: None,
                    idle_since: now,
                    paused: false,
                };
                let connect_until = now + self.transport.connect_timeout;
                (id, link, HttpExchange::connecting(reader), connect_until)
            }
        };
        if !write(&mut link.conn.output) {
            return Err(Outcome::NotSent);
        }
        let up = exchange.connected();
        let placed = now;
        let due = connect_until.min(until);
        link.under_way =
            Some(ActiveExchange { purpose, exchange, placed, connect_until, due, until, begun: false });
        self.next_deadline.insert((due, id));
        if let Purpose::Attempt { id: request, attempt, .. } = purpose {
            self.attempts.insert((request, attempt), id);
        }
        self.links.insert(id, link);
        // A connection that is being made tells when it is up.
        if up {
            self.resume(id, now, notes);
        }
        Ok(())
    }

    /// Takes the newest kept connection that has rested and is surely open still.
    fn take_idle(&mut self, machine: EndpointId, now: Micros) -> Option<(ConnId, UpstreamConnection)> {
        let keep = self.keep();
        let endpoint = self.endpoints.get_mut(&machine)?;
        let rested = |id: &ConnId| self.links.get(id).is_none_or(|l| l.rested(now));
        let mut most = endpoint.idle.iter().rposition(rested).map_or(0, |last| last + 1);
        while most > 0 {
            most -= 1;
            let id = endpoint.idle.remove(most);
            let link = self.links.remove(&id);
            if let Some(link) = link.filter(|l| l.conn.is_quiet() && now < l.idle_since + keep) {
                return Some((id, link));
            }
        }
        None
    }

    fn keep(&self) -> Micros {
        (self.transport.conn_idle as f64 * IDLE_PART) as Micros
    }

    /// Writes what a new exchange left in the connection's ring, and takes what comes.
    pub fn resume(&mut self, id: ConnId, now: Micros, notes: &mut Vec<UpstreamEvent>) {
        let Some(link) = self.links.get_mut(&id) else { return };
        while !link.paused {
            let Some(under_way) = &mut link.under_way else {
                // Nothing was asked on an idle connection: whatever comes on it ends it.
                if !link.conn.is_quiet() {
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
                notes.push(UpstreamEvent::Begun { id: request, attempt, headers });
                under_way.begun = true;
            }
            if !under_way.begun {
                return self.stepped(id, step, now, notes);
            }
            let bytes = match &mut step {
                ExchangeProgress::Response { response, .. } => std::mem::take(&mut response.body),
                _ => under_way.exchange.reader().take_body(),
            };
            let more = !bytes.is_empty();
            under_way.until = now + STREAM_SILENCE; // looked at again when its first time is over
            if more {
                notes.push(UpstreamEvent::Part { id: request, bytes });
            }
            if !matches!(step, ExchangeProgress::Pending) {
                return self.stepped(id, step, now, notes);
            } else if !more || link.conn.input.is_empty() && !link.conn.more_to_read() {
                return;
            }
        }
    }

    /// Takes what the loop told of a connection.
    pub fn on_ready(
        &mut self,
        id: ConnId,
        readiness: Readiness,
        now: Micros,
        notes: &mut Vec<UpstreamEvent>,
    ) {
        if let Some(link) = self.links.get_mut(&id) {
            link.conn.update_readiness(readiness);
            self.resume(id, now, notes);
        }
    }

    fn stepped(&mut self, id: ConnId, step: ExchangeProgress, now: Micros, notes: &mut Vec<UpstreamEvent>) {
        match step {
            ExchangeProgress::Pending => {}
            ExchangeProgress::NeverSent => self.end(id, Outcome::ConnectFailed, None, now, notes),
            ExchangeProgress::ConnectionLost => self.end(id, Outcome::ConnectionLost, None, now, notes),
            ExchangeProgress::Response { response, reusable } => {
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
        notes: &mut Vec<UpstreamEvent>,
    ) {
        let Some(mut link) = self.links.remove(&id) else { return };
        let Some(under_way) = link.under_way.take() else { return };
        self.next_deadline.remove(&(under_way.due, id));
        let lag = now.saturating_sub(under_way.placed);
        let (response, reusable) = answer.map_or((None, false), |(r, reusable)| (Some(r), reusable));
        let load = response.as_ref().map(|r| self.load(r, under_way.purpose)).unwrap_or_default();
        notes.push(match under_way.purpose {
            Purpose::Attempt { id, attempt, .. } => {
                self.attempts.remove(&(id, attempt));
                let answer = response.filter(|_| outcome == Outcome::Success && !under_way.begun);
                UpstreamEvent::Ended { id, attempt, outcome, lag, load, answer }
            }
            Purpose::Probe => UpstreamEvent::Probed { machine: link.machine, outcome, lag, load },
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
    pub fn next_deadline(&self) -> Option<Micros> {
        self.next_deadline.first().map(|(at, _)| *at)
    }

    /// Gives up the exchanges whose time, or whose time to connect, is over.
    pub fn expire_attempts(&mut self, now: Micros, notes: &mut Vec<UpstreamEvent>) {
        while self.next_deadline().is_some_and(|at| at <= now) {
            let Some((due, id)) = self.next_deadline.pop_first() else { return };
            let sent =
                |l: &&mut UpstreamConnection| l.under_way.as_ref().is_some_and(|u| u.exchange.request_sent());
            if let Some(link) = self.links.get_mut(&id).filter(sent) {
                // What lies there came in time, though the loop has not told of it yet.
                link.conn.poll_readable();
                self.resume(id, now, notes);
            }
            let Some(link) = self.links.get_mut(&id) else { continue };
            let Some(under_way) = link.under_way.as_mut().filter(|u| u.due == due) else { continue };
            if under_way.begun && link.paused {
                under_way.until = now + STREAM_SILENCE; // it is its client that is slow
            }
            let outcome = match () {
                () if !under_way.exchange.connected() && now >= under_way.connect_until => {
                    Outcome::ConnectFailed
                }
                () if now >= under_way.until && under_way.begun => Outcome::ConnectionLost,
                () if now >= under_way.until && under_way.exchange.request_sent() => Outcome::TimedOut,
                // Its time is over before its last byte was written: the machine never begins it.
                () if now >= under_way.until => Outcome::NotSent,
                () => {
                    under_way.due = under_way.until;
                    self.next_deadline.insert((under_way.due, id));
                    continue;
                }
            };
            self.end(id, outcome, None, now, notes);
        }
    }

    /// Calls an attempt off; one whose stream has begun goes on.
    pub fn cancel(&mut self, id: RequestId, attempt: usize, now: Micros, notes: &mut Vec<UpstreamEvent>) {
        let Some(&conn) = self.attempts.get(&(id, attempt)) else { return };
        let begun = |l: &UpstreamConnection| l.under_way.as_ref().is_some_and(|u| u.begun);
        if !self.links.get(&conn).is_some_and(begun) {
            self.end(conn, Outcome::Cancelled, None, now, notes);
        }
    }

    /// Ends a begun stream that nobody listens to any more.
    pub fn abort(&mut self, id: RequestId, attempt: usize, now: Micros, notes: &mut Vec<UpstreamEvent>) {
        if let Some(&conn) = self.attempts.get(&(id, attempt)) {
            self.end(conn, Outcome::Cancelled, None, now, notes);
        }
    }

    /// Stops reading a stream, or reads on: its client takes it no faster.
    pub fn pause(
        &mut self,
        id: RequestId,
        attempt: usize,
        paused: bool,
        now: Micros,
        notes: &mut Vec<UpstreamEvent>,
    ) {
        let Some(&conn) = self.attempts.get(&(id, attempt)) else { return };
        if let Some(link) = self.links.get_mut(&conn) {
            link.paused = paused;
            self.resume(conn, now, notes);
        }
    }

    /// Closes idle connections to a machine.
    pub fn close_idle(&mut self, machine: EndpointId) {
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
    pub fn on_tick(&mut self, now: Micros) {
        let keep = self.keep();
        let old = |l: &UpstreamConnection| l.under_way.is_none() && now >= l.idle_since + keep;
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
        200 => Outcome::Success,
        503 | 504 if not_started => Outcome::Overloaded,
        _ => Outcome::Error,
    }
}

/// Why a connection could not even be started: for want of something of ours, or of the machine.
fn failed_start(error: &io::Error) -> Outcome {
    use rustix::io::Errno;
    match Errno::from_io_error(error) {
        Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM | Errno::ADDRNOTAVAIL) => {
            Outcome::NotSent
        }
        _ => Outcome::ConnectFailed,
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

    const NOW: Micros = 1_000 * SECOND;
    const LATER: Micros = NOW + 5 * SECOND;

    /// Connections to one machine, whose every byte the test writes; the clock is the test's.
    struct Stand {
        event_loop: calloop::EventLoop<'static, crate::readiness::TurnInputs>,
        machine: std::net::TcpListener,
        machines: Upstream,
        ids: ConnIds,
        notes: Vec<UpstreamEvent>,
        request: Request,
    }

    impl Stand {
        fn new() -> Stand {
            let machine = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
            let mut ring = Ring::new(4096);
            ring.push(b"GET /look HTTP/1.1\r\nHost: x\r\nRequest-Id: 1\r\n\r\n").expect("room");
            let read = garnetcrank_http::RequestReader::new(10).read(&mut ring);
            let Ok(Parsing::Done(request)) = read else { panic!("no request") };
            let transport = Transport {
                conn_idle: 30 * SECOND,
                connect_timeout: SECOND,
                most_held: None,
                report_columns: Vec::new(),
            };
            let event_loop = calloop::EventLoop::try_new().expect("a loop");
            let (machines, ids) = (Upstream::new(transport), ConnIds::default());
            let mut stand = Stand { event_loop, machine, machines, ids, notes: Vec::new(), request };
            stand.told(stand.there());
            stand
        }

        fn there(&self) -> EndpointAddress {
            let address = Some(self.machine.local_addr().expect("an address"));
            EndpointAddress {
                endpoint: EndpointId(1),
                address,
                restarted: false,
                draining: false,
                build: Build(7),
            }
        }

        fn told(&mut self, place: EndpointAddress) {
            self.machines.update_address(&place, NOW, &mut self.notes);
        }

        fn attempt(&mut self, id: u32, now: Micros) {
            let (id, machine, until) = (RequestId(id), EndpointId(1), now + 4 * SECOND);
            let job =
                UpstreamRequest { id, attempt: 0, machine, request: &self.request, until, streamed: false };
            let handle = self.event_loop.handle();
            self.machines
                .start_attempt(&handle, &mut self.ids, now, &job, &mut self.notes)
                .expect("it starts");
        }

        /// The machine's end of the newest connection, once the request is there.
        fn accept(&mut self) -> std::net::TcpStream {
            let (mut stream, _) = self.machine.accept().expect("a connection");
            stream.set_read_timeout(Some(std::time::Duration::from_secs(30))).expect("a limit");
            self.tell(NOW);
            hear(&mut stream);
            stream
        }

        /// The loop tells that something is there.
        fn tell(&mut self, now: Micros) {
            let ids: Vec<ConnId> = self.machines.links.keys().copied().collect();
            let readiness = Readiness { readable: true, writable: true, error: false };
            ids.into_iter().for_each(|id| self.machines.on_ready(id, readiness, now, &mut self.notes));
        }

        /// Waits until bytes lie at a connection; nobody is told.
        fn until_there(&self) {
            while self.machines.links.values().all(|l| l.conn.is_quiet()) {
                std::thread::yield_now();
            }
        }

        fn ends(&mut self) -> Vec<(u32, Outcome)> {
            let end = |note| match note {
                UpstreamEvent::Ended { id, outcome, .. } => (id.0, outcome),
                other => panic!("{other:?}"),
            };
            self.notes.drain(..).map(end).collect()
        }
    }

    fn hear(stream: &mut std::net::TcpStream) {
        use std::io::Read;
        let mut request = [0; 512];
        assert!(stream.read(&mut request).expect("a request") > 0);
    }

    fn say(stream: &mut std::net::TcpStream, text: &str) {
        use std::io::Write;
        stream.write_all(text.as_bytes()).expect("sent");
    }

    const ANSWER: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";

    #[test]
    fn an_attempt_that_waits_for_its_connection_is_taken_back_when_its_machine_changes() {
        let elsewhere = Some("127.0.0.1:1".parse().expect("an address"));
        let changes: [fn(EndpointAddress, Option<SocketAddr>) -> EndpointAddress; 4] = [
            |place, _| EndpointAddress { draining: true, ..place },
            |place, _| EndpointAddress { address: None, draining: true, restarted: true, ..place },
            |place, _| EndpointAddress { restarted: true, build: Build(8), ..place },
            |place, elsewhere| EndpointAddress { address: elsewhere, ..place },
        ];
        for change in changes {
            let mut stand = Stand::new();
            stand.attempt(1, NOW);
            let mut sent = stand.accept();
            stand.attempt(2, NOW);
            let (mut waits, _) = stand.machine.accept().expect("a connection");
            stand.told(stand.there());
            assert!(stand.ends().is_empty(), "a list that says nothing new");
            stand.told(change(stand.there(), elsewhere));
            assert_eq!(stand.ends(), [(2, Outcome::NotSent)], "what was sent goes on");
            assert_eq!(std::io::Read::read(&mut waits, &mut [0; 8]).expect("its end"), 0, "nothing was sent");
            say(&mut sent, ANSWER);
            stand.until_there();
            stand.tell(NOW);
            assert_eq!(stand.ends(), [(1, Outcome::Success)]);
        }
    }

    #[test]
    fn a_lower_cap_takes_back_what_waits_for_a_connection_to_that_build_alone() {
        let mut stand = Stand::new();
        stand.attempt(1, NOW);
        stand.machines.recall_build(Build(6), NOW, &mut stand.notes);
        assert!(stand.ends().is_empty());
        stand.machines.recall_build(Build(7), NOW, &mut stand.notes);
        assert_eq!(stand.ends(), [(1, Outcome::NotSent)]);
        assert!(
            stand.machines.next_deadline().is_none() && stand.machines.len() == 0,
            "something is kept for it"
        );
    }

    #[test]
    fn a_second_answer_that_comes_late_is_never_the_next_request_s() {
        let mut stand = Stand::new();
        stand.attempt(1, NOW);
        let mut first = stand.accept();
        say(&mut first, ANSWER);
        stand.until_there();
        stand.tell(NOW);
        assert_eq!(stand.ends(), [(1, Outcome::Success)]);
        // The next request comes before the second answer: it goes on a connection of its own.
        stand.attempt(2, NOW + REST - 1);
        assert_eq!((stand.machines.opened, stand.machines.reused), (2, 0));
        let mut second = stand.accept();
        say(&mut first, ANSWER);
        stand.until_there();
        stand.tell(NOW + REST - 1);
        assert!(stand.ends().is_empty(), "it was taken for the answer to the second request");
        assert_eq!(stand.machines.len(), 1, "a connection with more on it than was asked is closed");
        say(&mut second, ANSWER);
        stand.until_there();
        stand.tell(NOW + REST);
        assert_eq!(stand.ends(), [(2, Outcome::Success)]);
        // One that has rested is used again.
        stand.attempt(3, NOW + 2 * REST);
        assert_eq!((stand.machines.opened, stand.machines.reused), (2, 1));
        hear(&mut second);
    }

    #[test]
    fn an_answer_that_lies_there_at_the_end_of_its_time_came_in_time() {
        let mut stand = Stand::new();
        stand.attempt(1, NOW);
        let mut machine = stand.accept();
        say(&mut machine, ANSWER);
        stand.until_there();
        stand.machines.expire_attempts(LATER, &mut stand.notes);
        assert_eq!(stand.ends(), [(1, Outcome::Success)]);
        // What could not be sent in time is not sent at the end of it.
        stand.attempt(2, LATER + REST);
        hear(&mut machine);
        stand.machines.expire_attempts(LATER + 5 * SECOND, &mut stand.notes);
        assert_eq!(stand.ends(), [(2, Outcome::TimedOut)]);
        stand.attempt(3, LATER);
        let (mut waits, _) = stand.machine.accept().expect("a connection");
        stand.machines.expire_attempts(LATER + 5 * SECOND, &mut stand.notes);
        assert_eq!(stand.ends(), [(3, Outcome::ConnectFailed)]);
        assert_eq!(std::io::Read::read(&mut waits, &mut [0; 8]).expect("its end"), 0);
    }

    #[test]
    fn only_a_marked_refusal_proves_that_nothing_ran() {
        for (head, expected) in [
            ("200 OK\r\n", Outcome::Success),
            ("500 Oops\r\n", Outcome::Error),
            ("503 Busy\r\nNot-Started: 1\r\n", Outcome::Overloaded),
            ("504 Late\r\nNot-Started: 1\r\n", Outcome::Overloaded),
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
        let load = |t: &Transport| Upstream::new(t.clone()).load(&answer(text), Purpose::Probe);
        assert_eq!(load(&transport), [0.61, 2.0]);
        transport.report_columns.push("unheard".into());
        assert!(load(&transport).is_empty(), "half a report is none");
    }
}

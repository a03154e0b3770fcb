//! An answer that stays open and tells news a line: connected, watched for signs of life, connected anew.

use std::net::SocketAddr;

use calloop::Readiness;
use fastrand::Rng;
use garnetcrank_http::{StreamReader, write_request};
use garnetcrank_policy::api::Micros;
use tracing::{info, warn};

use crate::clock::MS;
use crate::connection::Connection;
use crate::readiness::{ConnId, ConnIds, Handle, Source};

/// Longest first wait before a connection that broke or was refused is made anew, doubled each time up to the other; from
/// half of it on, lest all fronts come back in step. One that is mute is made anew at once, which its own limit bounds:
/// what comes back speaks to the connections that are open, and what it says then may count from that moment on.
#[derive(Debug, Clone, Copy)]
pub struct ReconnectBackoff {
    /// The first one.
    pub initial: Micros,
    /// The longest.
    pub max: Micros,
}

impl ReconnectBackoff {
    /// The other side may be overloaded, and what it tells is wanted within four seconds, over a few connections that are
    /// spoilt one after another.
    pub const REMOTE: ReconnectBackoff = ReconnectBackoff { initial: 100 * MS, max: 800 * MS };
    /// It is on this machine, for this front alone: what it holds counts as told whether or not we are connected.
    pub const LOCAL: ReconnectBackoff = ReconnectBackoff { initial: 20 * MS, max: 100 * MS };
}
/// One that speaks at once where it is alive: a connection without a word for so long is mute. What it has to tell counts
/// soon after, whether or not it arrived, so a mute connection must leave time for two more.
pub const FIRST_BYTE_TIMEOUT: Micros = 1_000 * MS;
/// A connection that has not come up within this never will: it is made anew.
const CONNECT_MOST: Micros = 1_000 * MS;
/// Room for what has come and is not yet taken apart.
const RING_MOST: usize = 64 * 1024;
/// Longest line: a list of some ten thousand machines.
const LINE_MOST: usize = 4 * 1024 * 1024;

struct OpenStream {
    id: ConnId,
    conn: Connection,
    reader: StreamReader,
    up: bool,
    told: bool,
}

/// One such source of news.
pub struct WatchStream {
    name: &'static str,
    to: SocketAddr,
    silence: Micros,
    first_word: Micros,
    again: ReconnectBackoff,
    rng: Rng,
    open: Option<OpenStream>,
    heard: Micros,
    again_at: Micros,
    wait: Micros,
}

/// What a watch has to say.
#[derive(Debug, Default)]
pub struct WatchEvents {
    /// Lines, empty ones (signs of life) among them.
    pub lines: Vec<Vec<u8>>,
    /// The connection was lost.
    pub lost: bool,
}

impl WatchEvents {
    /// The lines that say something.
    pub fn non_empty_lines(&self) -> impl Iterator<Item = &[u8]> {
        self.lines.iter().map(Vec::as_slice).filter(|l| !l.trim_ascii().is_empty())
    }
}

impl WatchStream {
    /// A watch that connects when first tended. Nothing heard for `silence`, or for `first_word` on a new connection,
    /// means that it is dead.
    pub fn new(
        name: &'static str,
        to: SocketAddr,
        (silence, first_word): (Micros, Micros),
        again: ReconnectBackoff,
        seed: u64,
    ) -> Self {
        let rng = Rng::with_seed(seed);
        let (open, heard, again_at, wait) = (None, 0, 0, again.initial);
        WatchStream { name, to, silence, first_word, again, rng, open, heard, again_at, wait }
    }

    /// Whether a connection stands and has told something.
    pub fn is_connected(&self) -> bool {
        self.open.as_ref().is_some_and(|open| open.told)
    }

    /// Drops the connection; the next one may be made at once. What the old one has told and nobody has read yet counts
    /// as told, so it is returned.
    pub fn close(&mut self, now: Micros) -> WatchEvents {
        let last = self.look(now);
        (self.open, self.again_at) = (None, 0);
        WatchEvents { lost: false, ..last }
    }

    /// The source is at another address from now on: the old connection is let go, after its last words.
    pub fn retarget(&mut self, to: SocketAddr, now: Micros) -> WatchEvents {
        if self.to == to {
            return WatchEvents::default();
        }
        (self.to, self.wait) = (to, self.again.initial);
        self.close(now)
    }

    /// Gives the connection up, for a reason that on-call should know.
    pub fn disconnect(&mut self, now: Micros, reason: &str) {
        if self.open.take().is_some() {
            self.later(now, reason);
        }
    }

    fn later(&mut self, now: Micros, reason: &str) {
        let wait = self.rng.u64(self.wait / 2..=self.wait);
        warn!("{}: {reason}; connecting anew in {} ms", self.name, wait / MS);
        self.again_at = now + wait;
        self.wait = (self.wait * 2).min(self.again.max);
    }

    /// Connects where that is due. Lost when a connection was given up or could not be started.
    pub fn on_tick(
        &mut self,
        handle: &Handle,
        ids: &mut ConnIds,
        who: fn(ConnId) -> Source,
        now: Micros,
        target: impl FnOnce() -> String,
    ) -> WatchEvents {
        if let Some(open) = &self.open {
            let (limit, reason) = match (open.up, open.told) {
                (false, _) => (CONNECT_MOST, "cannot connect: it never came up"),
                (true, false) => (self.first_word, "not a word on a new connection"),
                (true, true) => (self.silence, "no sign of life"),
            };
            if now < self.heard + limit {
                return WatchEvents::default();
            }
            // This process may have stood still for as long, and the word may lie there.
            let last = self.look(now);
            if last.lost || now < self.heard + limit {
                return last;
            }
            warn!("{}: {reason}; connecting anew", self.name);
            (self.open, self.again_at) = (None, now);
            return WatchEvents { lost: true, ..last };
        }
        if now < self.again_at {
            return WatchEvents::default();
        }
        let id = ids.next();
        let host = self.to.to_string();
        let started =
            Connection::connect(handle, self.to, who(id), RING_MOST, RING_MOST).and_then(|mut conn| {
                let lines = std::iter::once(("Host", host.as_bytes()));
                write_request(&mut conn.output, "GET", &target(), lines, b"")
                    .map_err(|_| std::io::Error::other("a request larger than its buffer"))?;
                Ok(conn)
            });
        self.heard = now;
        match started {
            Ok(conn) => {
                let reader = StreamReader::new(LINE_MOST);
                self.open = Some(OpenStream { id, conn, reader, up: false, told: false });
                WatchEvents::default()
            }
            Err(e) => {
                self.later(now, &format!("cannot connect: {e}"));
                WatchEvents { lines: Vec::new(), lost: true }
            }
        }
    }

    /// Takes what has come.
    pub fn on_ready(&mut self, id: ConnId, readiness: Readiness, now: Micros) -> WatchEvents {
        let Some(open) = self.open.as_mut().filter(|o| o.id == id) else { return WatchEvents::default() };
        open.conn.update_readiness(readiness);
        self.take(now)
    }

    /// Takes what has come and the loop has not told of yet.
    fn look(&mut self, now: Micros) -> WatchEvents {
        if let Some(open) = &mut self.open {
            open.conn.poll_readable();
        }
        self.take(now)
    }

    fn take(&mut self, now: Micros) -> WatchEvents {
        let Some(open) = &mut self.open else { return WatchEvents::default() };
        let mut lines = Vec::new();
        let (came, trouble) = open.take(&mut lines);
        if came {
            self.heard = now; // half a list is a sign of life, too
        }
        if !lines.is_empty() {
            self.wait = self.again.initial;
            if !std::mem::replace(&mut open.told, true) {
                info!("{}: connected", self.name);
            }
        }
        if let Some(reason) = &trouble {
            self.disconnect(now, reason);
        }
        WatchEvents { lines, lost: trouble.is_some() }
    }
}

impl OpenStream {
    /// Adds all lines that have come: whether anything came, and what ended the connection, if anything did.
    fn take(&mut self, lines: &mut Vec<Vec<u8>>) -> (bool, Option<String>) {
        let mut came = false;
        let trouble = self.read(&mut came, lines);
        (came, trouble)
    }

    fn read(&mut self, came: &mut bool, lines: &mut Vec<Vec<u8>>) -> Option<String> {
        if !self.up {
            match self.conn.connected() {
                Ok(true) => self.up = true,
                Ok(false) => return None,
                Err(e) => return Some(format!("cannot connect: {e}")),
            }
        }
        // What it told before it broke stands: it is read first.
        let broke = self.conn.flush().err();
        loop {
            let before = self.conn.input.len();
            let ended = self.conn.fill() || broke.is_some() && !self.conn.more_to_read();
            *came |= self.conn.input.len() > before;
            match self.reader.read(&mut self.conn.input, ended, lines) {
                Ok(over) => {
                    if let Some(status) = self.reader.status().filter(|s| *s != 200) {
                        lines.clear(); // what comes with a refusal is no news
                        return Some(format!("answered with status {status}"));
                    }
                    if over || ended {
                        return Some("connection ended".to_owned());
                    }
                }
                Err(e) => return Some(format!("what came can't be read: {e}")),
            }
            if !self.conn.more_to_read() {
                return broke.map(|e| format!("connection lost: {e}"));
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::clock::SECOND;
    use crate::readiness::TurnInputs;
    use calloop::EventLoop;
    use std::io::{Read, Write};
    use std::net::{TcpListener, TcpStream};

    const SILENCE: Micros = 3 * SECOND;

    /// A watch on a peer whose every byte the test writes, and a clock that the test moves.
    struct Stand {
        event_loop: EventLoop<'static, TurnInputs>,
        peer: TcpListener,
        watch: WatchStream,
        ids: ConnIds,
        now: Micros,
        /// When connections were begun.
        begun: Vec<Micros>,
    }

    impl Stand {
        fn new(seed: u64) -> Stand {
            let peer = TcpListener::bind("127.0.0.1:0").expect("a port");
            let watch = WatchStream::new(
                "test",
                peer.local_addr().expect("an address"),
                (SILENCE, FIRST_BYTE_TIMEOUT),
                ReconnectBackoff::REMOTE,
                seed,
            );
            let event_loop = EventLoop::try_new().expect("a loop");
            Stand { event_loop, peer, watch, ids: ConnIds::default(), now: 100 * SECOND, begun: Vec::new() }
        }

        fn tend(&mut self) -> WatchEvents {
            let before = self.watch.open.as_ref().map(|o| o.id);
            let handle = self.event_loop.handle();
            let heard =
                self.watch.on_tick(&handle, &mut self.ids, Source::Discovery, self.now, || "/w".to_owned());
            let after = self.watch.open.as_ref().map(|o| o.id);
            self.begun.extend((after.is_some() && after != before).then_some(self.now));
            heard
        }

        /// The peer's end of the connection just made, once its request is there.
        fn accept(&mut self) -> TcpStream {
            let (mut stream, _) = self.peer.accept().expect("a connection");
            self.heard(); // it is up, and the request leaves
            let mut request = [0; 512];
            assert!(stream.read(&mut request).expect("a request") > 0);
            stream
        }

        /// What the watch takes when it is told that something is there.
        fn heard(&mut self) -> WatchEvents {
            let id = self.watch.open.as_ref().expect("a connection").id;
            self.watch.on_ready(id, Readiness { readable: true, writable: true, error: false }, self.now)
        }

        /// Connected, and told a first line.
        fn told(seed: u64) -> (Stand, TcpStream) {
            let mut stand = Stand::new(seed);
            stand.tend();
            let mut stream = stand.accept();
            stream
                .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nfirst\n\r\n")
                .expect("sent");
            until_there(&stand);
            assert_eq!(stand.heard().lines, [b"first"]);
            assert!(stand.watch.is_connected());
            (stand, stream)
        }
    }

    /// Waits until bytes lie at the watch's socket; the watch is not told.
    fn until_there(stand: &Stand) {
        let conn = &stand.watch.open.as_ref().expect("a connection").conn;
        while conn.is_quiet() {
            std::thread::yield_now();
        }
    }

    #[test]
    fn two_mute_connections_leave_time_for_a_third_in_every_order() {
        // What is missed counts 6 s after the silence began, and 4 s after a move.
        for (seed, up) in
            (0..40).flat_map(|seed| [[true, true], [true, false], [false, false]].map(|up| (seed, up)))
        {
            for (moved, limit) in [(false, 6 * SECOND), (true, 4 * SECOND)] {
                let (mut stand, _first) = Stand::told(seed);
                let since = stand.now;
                if moved {
                    stand.peer = TcpListener::bind("127.0.0.1:0").expect("a port");
                    let heard = stand.watch.retarget(stand.peer.local_addr().expect("an address"), stand.now);
                    assert!(heard.lines.is_empty() && !heard.lost);
                }
                stand.begun.clear();
                let mut mute = Vec::new();
                while stand.begun.len() < 3 {
                    let before = stand.begun.len();
                    stand.tend();
                    if stand.begun.len() > before && up.get(before) == Some(&true) {
                        mute.push(stand.accept()); // up, and then not a word
                    }
                    stand.now += 100 * MS; // the longest rest of a sweep
                }
                let third = stand.begun[2] - since;
                assert!(third + 200 * MS < limit, "{third} us, seed {seed}, {up:?}, moved {moved}");
            }
        }
    }

    #[test]
    fn while_the_other_side_is_mute_a_connection_is_open_whenever_it_speaks_again() {
        let (mut stand, _first) = Stand::told(1);
        let (mut mute, mut apart) = (Vec::new(), 0);
        for _ in 0..500 {
            let before = stand.begun.len();
            stand.tend();
            if stand.begun.len() > before {
                mute.push(stand.accept()); // up, and then not a word
            }
            apart += u32::from(stand.watch.open.is_none());
            stand.now += 20 * MS; // a sweep
        }
        assert!((5..=8).contains(&mute.len()), "{} connections in 10 s", mute.len());
        // Between two of them one sweep passes, so that a turn that tells of a loss makes no connection as well.
        assert_eq!(apart as usize, mute.len(), "it waits while the other side may be back");
        let mut last = mute.pop().expect("a connection");
        last.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nback\n\r\n")
            .expect("sent");
        until_there(&stand);
        assert_eq!(stand.heard().lines, [b"back"]);
    }

    #[test]
    fn what_was_told_before_the_address_moved_is_read() {
        let (mut stand, mut stream) = Stand::told(1);
        stream.write_all(b"5\r\nlast\n\r\n").expect("sent");
        until_there(&stand);
        let heard = stand.watch.retarget("127.0.0.1:1".parse().expect("an address"), stand.now);
        assert_eq!(heard.lines, [b"last"]);
        assert!(!heard.lost && stand.watch.open.is_none());
    }

    #[test]
    fn a_process_that_stood_still_hears_what_lies_there_and_keeps_the_watch() {
        let (mut stand, mut stream) = Stand::told(1);
        stream.write_all(b"5\r\nlies\n\r\n").expect("sent");
        until_there(&stand);
        stand.now += 2 * SILENCE;
        let heard = stand.tend();
        assert_eq!(heard.lines, [b"lies"]);
        assert!(!heard.lost && stand.watch.is_connected());
        stand.now += SILENCE;
        assert!(stand.tend().lost, "and then nothing more");
    }

    #[test]
    fn what_was_told_before_the_connection_broke_is_read() {
        let (mut stand, mut stream) = Stand::told(1);
        stream.write_all(b"5\r\nlast\n\r\n").expect("sent");
        drop(stream);
        until_there(&stand);
        let heard = stand.heard();
        assert_eq!(heard.lines.first().map(Vec::as_slice), Some(&b"last"[..]));
    }

    #[test]
    fn waits_differ_between_fronts_and_are_bounded() {
        let mut waits = std::collections::BTreeSet::new();
        for seed in 0..20 {
            let (mut stand, _stream) = Stand::told(seed);
            stand.watch.disconnect(stand.now, "a test");
            waits.insert(stand.watch.again_at - stand.now);
        }
        assert!(waits.len() > 10, "in step: {waits:?}");
        let first = ReconnectBackoff::REMOTE.initial;
        assert!(waits.iter().all(|w| (first / 2..=first).contains(w)), "{waits:?}");
    }
}

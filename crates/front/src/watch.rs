//! An answer that stays open and tells news a line: connected, watched for signs of life, connected anew.

use std::net::SocketAddr;

use calloop::Readiness;
use garnetcrank::interface::Micros;
use garnetcrank_http::{StreamReader, write_request};
use tracing::{info, warn};

use crate::clock::MS;
use crate::conn::Conn;
use crate::ready::{ConnId, ConnIds, Handle, Who};

/// First wait before a lost connection is made anew, doubled each time ...
const AGAIN_FIRST: Micros = 100 * MS;
/// ... up to this: the other side may be overloaded, and what it tells is wanted within four seconds, over
/// a few connections that are spoilt one after another.
const AGAIN_MOST: Micros = 800 * MS;
/// A connection that has not come up within this never will: it is made anew.
const CONNECT_MOST: Micros = 1_000 * MS;
/// Room for what has come and is not yet taken apart.
const RING_MOST: usize = 64 * 1024;
/// Longest line: a list of some ten thousand machines.
const LINE_MOST: usize = 4 * 1024 * 1024;

struct Open {
    id: ConnId,
    conn: Conn,
    reader: StreamReader,
    up: bool,
    told: bool,
}

/// One such source of news.
pub struct Watch {
    name: &'static str,
    to: SocketAddr,
    silence: Micros,
    open: Option<Open>,
    heard: Micros,
    again_at: Micros,
    wait: Micros,
}

/// What a watch has to say.
#[derive(Debug, Default)]
pub struct Heard {
    /// Lines, empty ones left out.
    pub lines: Vec<Vec<u8>>,
    /// The connection was lost.
    pub lost: bool,
}

impl Watch {
    /// A watch that connects when first tended. Nothing heard for `silence` means that it is dead.
    pub fn new(name: &'static str, to: SocketAddr, silence: Micros) -> Self {
        Watch { name, to, silence, open: None, heard: 0, again_at: 0, wait: AGAIN_FIRST }
    }

    /// Whether a connection stands and has told something.
    pub fn stands(&self) -> bool {
        self.open.as_ref().is_some_and(|open| open.told)
    }

    /// Drops the connection; the next one may be made at once.
    pub fn close(&mut self) {
        (self.open, self.again_at) = (None, 0);
    }

    /// The source is at another address from now on: the old connection is let go.
    pub fn retarget(&mut self, to: SocketAddr) {
        if self.to != to {
            (self.to, self.wait) = (to, AGAIN_FIRST);
            self.close();
        }
    }

    /// Gives the connection up, for a reason that on-call should know.
    pub fn lose(&mut self, now: Micros, reason: &str) {
        if self.open.take().is_some() {
            self.later(now, reason);
        }
    }

    fn later(&mut self, now: Micros, reason: &str) {
        warn!("{}: {reason}; connecting anew in {} ms", self.name, self.wait / MS);
        self.again_at = now + self.wait;
        self.wait = (self.wait * 2).min(AGAIN_MOST);
    }

    /// Connects where that is due. True when a connection was given up or could not be started.
    pub fn tend(
        &mut self,
        handle: &Handle,
        ids: &mut ConnIds,
        who: fn(ConnId) -> Who,
        now: Micros,
        target: impl FnOnce() -> String,
    ) -> bool {
        if let Some(open) = &self.open {
            let reason = match open.up {
                false if now >= self.heard + CONNECT_MOST => "cannot connect: it never came up",
                _ if now >= self.heard + self.silence => "no sign of life",
                _ => return false,
            };
            self.lose(now, reason);
            return true;
        }
        if now < self.again_at {
            return false;
        }
        let id = ids.next();
        let host = self.to.to_string();
        let started = Conn::connect(handle, self.to, who(id), RING_MOST, RING_MOST).and_then(|mut conn| {
            let lines = std::iter::once(("Host", host.as_bytes()));
            write_request(&mut conn.output, "GET", &target(), lines, b"")
                .map_err(|_| std::io::Error::other("a request larger than its buffer"))?;
            Ok(conn)
        });
        self.heard = now;
        match started {
            Ok(conn) => {
                let reader = StreamReader::new(LINE_MOST);
                self.open = Some(Open { id, conn, reader, up: false, told: false });
                false
            }
            Err(e) => {
                self.later(now, &format!("cannot connect: {e}"));
                true
            }
        }
    }

    /// Takes what has come.
    pub fn ready(&mut self, id: ConnId, readiness: Readiness, now: Micros) -> Heard {
        let Some(open) = self.open.as_mut().filter(|o| o.id == id) else { return Heard::default() };
        open.conn.note(readiness);
        let mut lines = Vec::new();
        let trouble = open.take(&mut lines);
        if !lines.is_empty() {
            self.heard = now;
            self.wait = AGAIN_FIRST;
            if !std::mem::replace(&mut open.told, true) {
                info!("{}: connected", self.name);
            }
        }
        if let Some(reason) = &trouble {
            self.lose(now, reason);
        }
        let lines = lines.into_iter().filter(|l| !l.trim_ascii().is_empty()).collect();
        Heard { lines, lost: trouble.is_some() }
    }
}

impl Open {
    /// Adds all lines that have come; what ended the connection, if anything did.
    fn take(&mut self, lines: &mut Vec<Vec<u8>>) -> Option<String> {
        if !self.up {
            match self.conn.connected() {
                Ok(true) => self.up = true,
                Ok(false) => return None,
                Err(e) => return Some(format!("cannot connect: {e}")),
            }
        }
        if let Err(e) = self.conn.flush() {
            return Some(format!("connection lost: {e}"));
        }
        loop {
            let ended = self.conn.fill();
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
                return None;
            }
        }
    }
}

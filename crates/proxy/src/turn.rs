//! Limits on what one connection may do in one turn of the event loop. A connection that reaches a limit is deferred: the
//! next turn handles it again, after the event loop has reported the readiness of all others.

#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use calloop::Readiness;

use crate::readiness::Source;

/// Number of bytes after which a connection reads no more in a turn. The largest message fits, with its head.
pub(crate) const MAX_READ_BYTES_PER_TURN: usize = 96 * 1024;

/// Number of reads after which a connection reads no more in a turn, however few bytes each has returned: an incomplete
/// head is parsed again after each read.
const MAX_READS_PER_TURN: usize = 8;

/// The current turn of a worker's event loop, shared with all of its connections.
#[derive(Debug, Default)]
pub(crate) struct Turn {
    number: Cell<u64>,
    /// Connections that the next turn handles again.
    deferred: RefCell<Vec<Source>>,
    deferral_count: Cell<u64>,
}

impl Turn {
    /// Begins the next turn, and adds the connections deferred in the previous one to `ready`.
    pub(crate) fn begin(&self, ready: &mut Vec<(Source, Readiness)>) {
        self.number.set(self.number.get() + 1);
        ready.extend(self.deferred.borrow_mut().drain(..).map(|source| (source, Readiness::EMPTY)));
    }

    /// Returns whether a connection has been deferred to the next turn, which must begin without waiting.
    pub(crate) fn has_deferred(&self) -> bool {
        !self.deferred.borrow().is_empty()
    }

    /// Returns how often a connection has been deferred so far.
    pub(crate) fn deferral_count(&self) -> u64 {
        self.deferral_count.get()
    }
}

/// What one connection has done in the current turn.
#[derive(Debug)]
pub(crate) struct TurnQuota {
    turn: Rc<Turn>,
    source: Source,
    /// Turn that the other fields are about. In a later turn, nothing has been done yet.
    number: u64,
    read_bytes: usize,
    reads: usize,
    request_read: bool,
    deferred: bool,
}

impl TurnQuota {
    /// Creates the unused quota of a connection.
    pub(crate) fn new(turn: Rc<Turn>, source: Source) -> Self {
        let number = turn.number.get();
        TurnQuota { turn, source, number, read_bytes: 0, reads: 0, request_read: false, deferred: false }
    }

    /// Returns whether the connection may read more bytes in this turn.
    pub(crate) fn may_read(&self) -> bool {
        !self.is_current() || !self.has_read_enough()
    }

    /// Records read bytes, and defers the connection if it may read no more.
    pub(crate) fn record_read(&mut self, bytes: usize) {
        self.refresh();
        self.read_bytes += bytes;
        self.reads += 1;
        if self.has_read_enough() {
            self.defer();
        }
    }

    fn has_read_enough(&self) -> bool {
        self.read_bytes >= MAX_READ_BYTES_PER_TURN || self.reads >= MAX_READS_PER_TURN
    }

    /// Allows as much again in the current turn.
    pub(crate) fn renew(&mut self) {
        self.read_bytes = 0;
        self.reads = 0;
    }

    /// Returns whether a client may begin another request in this turn: one is allowed.
    pub(crate) fn may_begin_request(&self) -> bool {
        !(self.is_current() && self.request_read)
    }

    /// Records that a client's request has been read.
    pub(crate) fn record_request(&mut self) {
        self.refresh();
        self.request_read = true;
    }

    /// Makes the next turn handle the connection again.
    pub(crate) fn defer(&mut self) {
        self.refresh();
        if self.deferred {
            return;
        }
        self.deferred = true;
        self.turn.deferral_count.set(self.turn.deferral_count.get() + 1);
        self.turn.deferred.borrow_mut().push(self.source);
    }

    fn is_current(&self) -> bool {
        self.number == self.turn.number.get()
    }

    fn refresh(&mut self) {
        if self.is_current() {
            return;
        }
        self.number = self.turn.number.get();
        self.read_bytes = 0;
        self.reads = 0;
        self.request_read = false;
        self.deferred = false;
    }
}

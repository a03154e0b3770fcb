//! One client's connection: requests read from it and responses written to it.

use garnetcrank_http::{MessageError, Parsed, Request, RequestReader};
use garnetcrank_policy::api::{Micros, RequestId};

use crate::clock::{MS, SECOND};
use crate::connection::Connection;
use crate::upstream::MAX_BODY_BYTES;

/// Time limit for a complete request, from its first byte, or from the accept for the first request of a
/// connection. A client that sends slowly or nothing gets an error or is disconnected within 3 s.
const READ_TIMEOUT: Micros = 2_500 * MS;
/// Time without a byte sent after which a response is abandoned. Network stalls are shorter than this.
pub(super) const WRITE_TIMEOUT: Micros = 10 * SECOND;
/// Time between requests after which a connection is closed. It bounds the resources held for clients that
/// never return; for those that do, a new connection is cheap.
const IDLE_TIMEOUT: Micros = 5 * SECOND;
/// Idle time after which a connection may be closed when file descriptors are scarce.
const EVICTABLE_AFTER: Micros = 2 * SECOND;
/// Time without any input after which a new connection may be closed when file descriptors are scarce. A
/// client with a request sends it immediately after connecting.
const NEW_EVICTABLE_AFTER: Micros = 50 * MS;
/// Age of an incomplete request after which it may be rejected when file descriptors are scarce. A request arrives at
/// once, or one round trip after its head; only a lost packet takes longer.
pub(super) const PARTIAL_SHED_AFTER: Micros = 100 * MS;
/// Time that a new connection is given for its first request while the process shuts down.
pub(super) const FIRST_REQUEST_TIMEOUT: Micros = 250 * MS;
/// Time for which input is still read and dropped after the last response on a connection. Closing with
/// unread input would cause a TCP reset that can overtake the response.
pub(super) const LINGER_TIMEOUT: Micros = 300 * MS;
/// Maximum number of bytes that are read and dropped after the last response.
const MAX_LINGER_BYTES: usize = 256 * 1024;

/// State of a client's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ClientState {
    /// Between requests, or reading one.
    Reading,
    /// A complete request has been read but is not in flight yet.
    RequestRead,
    /// The request is in flight.
    InFlight(RequestId),
    /// The last response is being sent, or input is dropped until the client closes.
    Closing,
}

/// A client's connection.
pub(super) struct Client {
    pub(super) connection: Connection,
    reader: RequestReader,
    pub(super) state: ClientState,
    /// Time of the last state change, the last sent bytes of a response or the first byte of a request.
    pub(super) last_progress: Micros,
    /// Whether no complete request has arrived yet.
    pub(super) is_new: bool,
    /// Whether the connection had to wait to be accepted until a descriptor was free. Its client may have disconnected
    /// meanwhile.
    accept_delayed: bool,
    /// Number of bytes dropped after the last response.
    lingered_bytes: usize,
    /// Whether the connection stays open after the current response.
    pub(super) keep_alive: bool,
    /// Whether the response is streamed and not complete yet.
    pub(super) streaming: bool,
    /// Whether the last response has been sent completely and the sending direction is shut down.
    pub(super) write_shut_down: bool,
}

/// Result of reading from and writing to a connection.
pub(super) enum Progress {
    /// Nothing to report.
    Waiting,
    /// A complete request.
    Request(Request),
    /// Input that is not a valid request.
    Malformed(MessageError),
    /// All buffered bytes of a streamed response have been sent.
    OutputDrained(RequestId),
    /// The client has disconnected, or the connection is finished and can be closed.
    Disconnected,
}

impl Client {
    /// Creates the state of a connection that has just been accepted.
    pub(super) fn new(connection: Connection, accept_delayed: bool, now: Micros) -> Self {
        Client {
            connection,
            reader: RequestReader::new(MAX_BODY_BYTES),
            state: ClientState::Reading,
            last_progress: now,
            is_new: true,
            accept_delayed,
            lingered_bytes: 0,
            keep_alive: true,
            streaming: false,
            write_shut_down: false,
        }
    }

    /// Writes and reads as much as possible without blocking.
    pub(super) fn advance(&mut self, now: Micros) -> Progress {
        let output_before = self.connection.output.len();
        let was_idle = self.is_idle();
        let Ok(sent_all) = self.connection.flush() else { return Progress::Disconnected };
        if self.connection.output.len() < output_before {
            self.last_progress = now;
        }
        let progress = if self.state == ClientState::Closing {
            self.linger(sent_all)
        } else {
            let output_drained = sent_all && output_before > 0;
            self.read(output_drained, now)
        };
        let request_begins = was_idle && !self.is_idle() && !self.is_new;
        if request_begins && !matches!(progress, Progress::Disconnected | Progress::Malformed(_)) {
            self.last_progress = now;
        }
        progress
    }

    /// Shuts down the sending direction once the last response has been sent, and drops further input.
    fn linger(&mut self, sent_all: bool) -> Progress {
        if sent_all && !self.write_shut_down {
            self.write_shut_down = true;
            self.connection.shutdown_write();
        }
        let (dropped, ended) = self.connection.discard(MAX_LINGER_BYTES);
        self.lingered_bytes += dropped;
        let input_finished = ended || self.lingered_bytes >= MAX_LINGER_BYTES;
        if sent_all && input_finished { Progress::Disconnected } else { Progress::Waiting }
    }

    fn read(&mut self, output_drained: bool, now: Micros) -> Progress {
        match self.state {
            ClientState::Reading if !self.connection.output.is_empty() => {
                // A client that does not read its response has to wait with its next request, so that it makes the
                // proxy hold one response at a time.
                Progress::Waiting
            }
            ClientState::Reading => self.read_next_request(now),
            ClientState::InFlight(_) | ClientState::RequestRead | ClientState::Closing => {
                self.watch_for_disconnect(output_drained)
            }
        }
    }

    /// Reads what the client sends behind its request, to learn whether it has disconnected. Pipelined input is not
    /// parsed before the response has been written.
    fn watch_for_disconnect(&mut self, output_drained: bool) -> Progress {
        while self.connection.can_read_more() {
            if self.connection.fill().has_ended() {
                return Progress::Disconnected;
            }
        }
        match self.state {
            ClientState::InFlight(id) if output_drained && self.streaming => Progress::OutputDrained(id),
            _ => Progress::Waiting,
        }
    }

    fn read_next_request(&mut self, now: Micros) -> Progress {
        loop {
            let mut ended = self.connection.fill().has_ended();
            if self.is_new && self.accept_delayed {
                // The close of a client that has given up may follow its request.
                ended |= self.connection.fill().has_ended();
            }
            if self.must_wait_for_next_turn() {
                // The other connections come first. Otherwise a client whose requests are all answered at once
                // would be the only one to be served for as long as it sends more.
                self.connection.turn_quota.defer();
                return Progress::Waiting;
            }
            if let Some(progress) = self.read_request(ended, now) {
                return progress;
            }
            if ended || !self.connection.can_read_more() {
                return Progress::Waiting;
            }
        }
    }

    /// Returns whether the input that has arrived belongs to a second request in this turn.
    fn must_wait_for_next_turn(&self) -> bool {
        !self.connection.input.is_empty() && !self.connection.turn_quota.may_begin_request()
    }

    /// Reads a request from the input that has arrived. Returns `None` if more bytes are needed.
    fn read_request(&mut self, ended: bool, now: Micros) -> Option<Progress> {
        match self.reader.read(&mut self.connection.input) {
            // A client that has disconnected does not wait for the response.
            Ok(Parsed::Complete(_)) if ended => Some(Progress::Disconnected),
            Ok(Parsed::Complete(request)) => {
                self.connection.turn_quota.record_request();
                self.state = ClientState::RequestRead;
                self.last_progress = now;
                self.is_new = false;
                self.keep_alive = request.keep_alive;
                Some(Progress::Request(request))
            }
            Ok(Parsed::Incomplete) if ended => {
                let is_partial = self.reader.is_partial() || !self.connection.input.is_empty();
                Some(if is_partial {
                    Progress::Malformed(MessageError::Truncated)
                } else {
                    Progress::Disconnected
                })
            }
            Ok(Parsed::Incomplete) => {
                if self.reader.take_continue() {
                    // Errors are ignored: if the client has disconnected, the next read detects it.
                    let _ = self.connection.output.push(b"HTTP/1.1 100 Continue\r\n\r\n");
                    let _ = self.connection.flush();
                }
                None
            }
            Err(error) => Some(Progress::Malformed(error)),
        }
    }

    /// Returns `Connection: close` if the response is the last one on the connection.
    pub(super) fn connection_header(&mut self, is_last: bool) -> Option<(&'static str, &'static [u8])> {
        self.keep_alive &= !is_last;
        (!self.keep_alive).then_some(("Connection", b"close"))
    }

    /// Updates the state after a complete response has been added to the output buffer.
    pub(super) fn on_response_written(&mut self, now: Micros) {
        self.last_progress = now;
        self.state = if self.keep_alive { ClientState::Reading } else { ClientState::Closing };
        if self.state == ClientState::Closing {
            self.reader.reset();
        }
    }

    /// Returns whether the connection is between requests and both buffers are empty.
    pub(super) fn is_idle(&self) -> bool {
        let buffers_empty = self.connection.input.is_empty() && self.connection.output.is_empty();
        self.state == ClientState::Reading && !self.reader.is_partial() && buffers_empty
    }

    /// Returns whether the connection may be closed while the process shuts down: it is idle and, if new, has
    /// had [`FIRST_REQUEST_TIMEOUT`] for its first request.
    pub(super) fn may_close_on_shutdown(&self, now: Micros) -> bool {
        self.is_idle() && (!self.is_new || now >= self.last_progress + FIRST_REQUEST_TIMEOUT)
    }

    /// Returns whether the connection may be closed when file descriptors are scarce.
    pub(super) fn is_evictable(&self, now: Micros) -> bool {
        let after = if self.is_new { NEW_EVICTABLE_AFTER } else { EVICTABLE_AFTER };
        self.write_shut_down || (self.is_idle() && now >= self.last_progress + after)
    }

    /// Returns whether a request has arrived in part.
    pub(super) fn has_partial_request(&self) -> bool {
        self.state == ClientState::Reading && (self.reader.is_partial() || !self.connection.input.is_empty())
    }

    /// Returns the request in flight whose response has not begun.
    pub(super) fn awaited_request(&self) -> Option<RequestId> {
        match self.state {
            ClientState::InFlight(request) if !self.streaming => Some(request),
            _ => None,
        }
    }

    /// Returns the memory that the connection takes, in bytes.
    pub(super) fn memory_bytes(&self) -> usize {
        self.connection.buffer_bytes() + self.reader.memory_bytes()
    }

    /// Returns whether a request has arrived in part and may be rejected when file descriptors are scarce.
    pub(super) fn is_sheddable(&self, now: Micros) -> bool {
        self.has_partial_request() && now >= self.last_progress + PARTIAL_SHED_AFTER
    }

    /// Returns whether the time since the last progress exceeds the limit for the connection's state.
    pub(super) fn has_stalled(&self, now: Micros) -> bool {
        let output_empty = self.connection.output.is_empty();
        let timeout = match self.state {
            ClientState::Reading if self.is_idle() && !self.is_new => IDLE_TIMEOUT,
            ClientState::Reading if output_empty => READ_TIMEOUT,
            ClientState::Closing if self.write_shut_down => LINGER_TIMEOUT,
            ClientState::InFlight(_) | ClientState::RequestRead if output_empty => return false,
            _ => WRITE_TIMEOUT,
        };
        now.saturating_sub(self.last_progress) >= timeout
    }
}

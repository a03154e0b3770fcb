//! One client's connection: requests read from it and responses written to it.

use garnetcrank_http::{MessageError, Parsed, Request, RequestReader};
use garnetcrank_policy::api::{Micros, RequestId};

use crate::clock::{MS, SECOND};
use crate::connection::Connection;
use crate::upstream::MAX_BODY_BYTES;

/// A request must be complete so long after its first byte, and the first one of a connection so long after that was
/// made: whoever drips or says nothing gets an error or a close within 3 s.
const READ_TIMEOUT: Micros = 2_500 * MS;
/// A response of which the client takes no byte for so long is given up; networks stall for less.
pub(super) const WRITE_TIMEOUT: Micros = 10 * SECOND;
/// A connection without a request for so long is closed: what is kept for clients that never return is bounded, and
/// those that do make a new one for little.
const IDLE_TIMEOUT: Micros = 5 * SECOND;
/// Where descriptors are short, a connection without a request for so long may be closed.
const EVICTABLE_AFTER: Micros = 2 * SECOND;
/// Where descriptors are short, a new connection that has sent nothing for so long may be closed: a client with a
/// request sends it at once.
const NEW_EVICTABLE_AFTER: Micros = 50 * MS;
/// While the process shuts down, a new connection is kept so long for its first request.
pub(super) const FIRST_REQUEST_TIMEOUT: Micros = 250 * MS;
/// After the last response on a connection, what the client still sends is read for so long, so that a reset does not
/// overtake the response.
pub(super) const LINGER_TIMEOUT: Micros = 300 * MS;
/// Maximum number of bytes that are read after the last response.
const MAX_LINGER_BYTES: usize = 256 * 1024;

/// Where a connection stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ClientState {
    /// Between requests, or reading one.
    Reading,
    /// A request was read and is not in flight yet.
    RequestRead,
    /// Its request is in flight.
    InFlight(RequestId),
    /// Its last response is being sent.
    Closing,
}

/// A client's connection.
pub(super) struct Client {
    pub(super) connection: Connection,
    reader: RequestReader,
    pub(super) state: ClientState,
    /// When the state last changed, bytes of a response were last sent, or the first byte of a request arrived.
    pub(super) last_progress: Micros,
    /// No complete request has arrived yet.
    pub(super) is_new: bool,
    lingered_bytes: usize,
    pub(super) keep_alive: bool,
    /// The response is sent part by part.
    pub(super) streaming: bool,
    /// The last response was sent completely, and the sending side is shut down.
    pub(super) write_shut_down: bool,
}

/// What reading and writing came to.
pub(super) enum Progress {
    /// Nothing to report.
    Waiting,
    /// A complete request.
    Request(Request),
    /// What has arrived is no request.
    Malformed(MessageError),
    /// The client has taken all that was waiting of a streamed response.
    OutputDrained(RequestId),
    /// The client has disconnected, or the connection is over.
    Disconnected,
}

impl Client {
    /// A connection that was just accepted.
    pub(super) fn new(connection: Connection, now: Micros) -> Self {
        Client {
            connection,
            reader: RequestReader::new(MAX_BODY_BYTES),
            state: ClientState::Reading,
            last_progress: now,
            is_new: true,
            lingered_bytes: 0,
            keep_alive: true,
            streaming: false,
            write_shut_down: false,
        }
    }

    /// Writes and reads as much as possible.
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

    /// After the last response: shuts the sending side down, and drops what the client still sends.
    fn linger(&mut self, sent_all: bool) -> Progress {
        if sent_all && !self.write_shut_down {
            self.write_shut_down = true;
            self.connection.shutdown_write();
        }
        let (dropped, ended) = self.connection.discard(MAX_LINGER_BYTES);
        self.lingered_bytes += dropped;
        let is_over = ended || self.lingered_bytes >= MAX_LINGER_BYTES;
        if sent_all && is_over { Progress::Disconnected } else { Progress::Waiting }
    }

    fn read(&mut self, output_drained: bool, now: Micros) -> Progress {
        loop {
            let ended = self.connection.fill();
            match self.state {
                ClientState::InFlight(_) | ClientState::RequestRead if ended => {
                    return Progress::Disconnected;
                }
                ClientState::InFlight(id) if output_drained && self.streaming => {
                    return Progress::OutputDrained(id);
                }
                // What a client sends before its response is read after it.
                ClientState::InFlight(_) | ClientState::RequestRead | ClientState::Closing => {
                    return Progress::Waiting;
                }
                ClientState::Reading => {
                    if let Some(progress) = self.read_request(ended, now) {
                        return progress;
                    }
                }
            }
            if ended || !self.connection.more_to_read() {
                return Progress::Waiting;
            }
        }
    }

    /// Reads a request as far as it has come; none: more bytes are needed.
    fn read_request(&mut self, ended: bool, now: Micros) -> Option<Progress> {
        match self.reader.read(&mut self.connection.input) {
            Ok(Parsed::Complete(request)) => {
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
                    // A client that can't be sent this has disconnected, which is seen when reading.
                    let _ = self.connection.output.push(b"HTTP/1.1 100 Continue\r\n\r\n");
                    let _ = self.connection.flush();
                }
                None
            }
            Err(bad) => Some(Progress::Malformed(bad)),
        }
    }

    /// The header that announces the end of the connection, if the response is the last one on it.
    pub(super) fn connection_header(&mut self, is_last: bool) -> Option<(&'static str, &'static [u8])> {
        self.keep_alive &= !is_last;
        (!self.keep_alive).then_some(("Connection", b"close"))
    }

    /// The response is complete in the output ring.
    pub(super) fn on_response_written(&mut self, now: Micros) {
        self.last_progress = now;
        self.state = if self.keep_alive { ClientState::Reading } else { ClientState::Closing };
    }

    /// Whether the connection is between requests, with nothing to read or write in its rings.
    pub(super) fn is_idle(&self) -> bool {
        let rings_empty = self.connection.input.is_empty() && self.connection.output.is_empty();
        self.state == ClientState::Reading && !self.reader.is_partial() && rings_empty
    }

    /// Whether the connection may be closed at the end of the process: it is idle, and a new one had time for its first
    /// request.
    pub(super) fn may_close_on_shutdown(&self, now: Micros) -> bool {
        self.is_idle() && (!self.is_new || now >= self.last_progress + FIRST_REQUEST_TIMEOUT)
    }

    /// Whether the connection may be closed where descriptors are short.
    pub(super) fn is_evictable(&self, now: Micros) -> bool {
        let after = if self.is_new { NEW_EVICTABLE_AFTER } else { EVICTABLE_AFTER };
        self.write_shut_down || (self.is_idle() && now >= self.last_progress + after)
    }

    /// Whether nothing has moved for longer than the state allows.
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

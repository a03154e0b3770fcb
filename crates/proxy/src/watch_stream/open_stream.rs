//! One connection of a watch stream.

use std::io;

use garnetcrank_http::{InputState, MessageError, StreamReader};

use crate::connection::Connection;
use crate::readiness::ConnId;
use crate::response_error::ResponseError;

/// Connection of a watch stream, with the reader of its response.
pub(super) struct OpenStream {
    pub(super) id: ConnId,
    pub(super) connection: Connection,
    reader: StreamReader,
    /// Whether the connection is established.
    pub(super) is_established: bool,
    /// Whether a line has arrived on the connection.
    pub(super) line_received: bool,
}

/// Reason for the end of a connection.
#[derive(Debug, thiserror::Error)]
pub(super) enum StreamEnd {
    #[error("cannot connect: {0}")]
    ConnectFailed(io::Error),
    #[error("response with status {0}")]
    Status(u16),
    #[error(transparent)]
    Response(#[from] ResponseError),
}

/// Result of a read.
pub(super) struct StreamRead {
    /// Whether bytes have arrived.
    pub(super) any_bytes: bool,
    /// Reason for the end of the connection, if it has ended.
    pub(super) end: Option<StreamEnd>,
}

impl OpenStream {
    /// Creates a stream on a connection whose request is queued and that may not be established yet.
    pub(super) fn new(id: ConnId, connection: Connection, max_line_bytes: usize) -> Self {
        OpenStream {
            id,
            connection,
            reader: StreamReader::new(max_line_bytes),
            is_established: false,
            line_received: false,
        }
    }

    /// Reads all bytes that have arrived and appends complete lines to `lines`.
    pub(super) fn read_lines(&mut self, lines: &mut Vec<Vec<u8>>) -> StreamRead {
        let mut any_bytes = false;
        let end = self.read_until_end(&mut any_bytes, lines).err();
        StreamRead { any_bytes, end }
    }

    /// Reads until no more bytes are available. Returns `Err` if the connection has ended.
    fn read_until_end(&mut self, any_bytes: &mut bool, lines: &mut Vec<Vec<u8>>) -> Result<(), StreamEnd> {
        if !self.is_established {
            self.is_established = self.connection.connected().map_err(StreamEnd::ConnectFailed)?;
            if !self.is_established {
                return Ok(());
            }
        }
        // Bytes that arrived before the connection broke still count, so they are read before the error is returned.
        let write_error = self.connection.flush().err();
        loop {
            let before = self.connection.input.len();
            let filled = self.connection.fill();
            let input = match &write_error {
                Some(error) if !self.connection.has_unread_input() && !filled.has_ended() => {
                    InputState::Lost(error.kind())
                }
                _ => filled,
            };
            *any_bytes |= self.connection.input.len() > before;
            let read = self.reader.read(&mut self.connection.input, input, lines);
            if let Some(status) = self.reader.status().filter(|status| *status != 200) {
                return Err(StreamEnd::Status(status));
            }
            let is_complete = read.map_err(|error| ResponseError::new(error, input))?;
            // A watch has no end of its own, so a complete response has ended early, too.
            if is_complete || input.has_ended() {
                return Err(ResponseError::new(MessageError::Truncated, input).into());
            }
            if !self.connection.can_read_more() {
                return Ok(());
            }
        }
    }
}

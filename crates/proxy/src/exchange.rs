//! One request and its answer on a connection of ours, told apart by how far it came.

use garnetcrank_http::{Parsing, Response, ResponseReader};

use crate::conn::Conn;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Connecting,
    Sending,
    Waiting,
}

/// The state of one exchange. The request stands in the connection's output ring.
#[derive(Debug)]
pub struct Exchange {
    stage: Stage,
    reader: ResponseReader,
}

/// How far an exchange is.
#[derive(Debug)]
pub enum Step {
    /// It goes on.
    Pending,
    /// The answer is whole; with the connection's further use.
    Answer {
        /// The answer.
        response: Response,
        /// Another request may be written on this connection.
        reusable: bool,
    },
    /// No connection, or it broke before the request's last byte was written.
    NeverSent,
    /// It broke or made no sense after that.
    Broken,
}

impl Exchange {
    /// On a connection that is being made.
    pub fn connecting(reader: ResponseReader) -> Self {
        Exchange { stage: Stage::Connecting, reader }
    }

    /// On a connection that is up.
    pub fn on_open(reader: ResponseReader) -> Self {
        Exchange { stage: Stage::Sending, reader }
    }

    /// Whether the request's last byte has been written.
    pub fn sent(&self) -> bool {
        self.stage == Stage::Waiting
    }

    /// Whether the connection came up.
    pub fn connected(&self) -> bool {
        self.stage != Stage::Connecting
    }

    /// The answer as far as it has come.
    pub fn reader(&mut self) -> &mut ResponseReader {
        &mut self.reader
    }

    /// Goes on as far as the connection lets it.
    pub fn step(&mut self, conn: &mut Conn) -> Step {
        if self.stage == Stage::Connecting {
            match conn.connected() {
                Ok(true) => self.stage = Stage::Sending,
                Ok(false) => return Step::Pending,
                Err(_) => return Step::NeverSent,
            }
        }
        let mut broke = false;
        if self.stage == Stage::Sending {
            match conn.flush() {
                Ok(true) => self.stage = Stage::Waiting,
                Ok(false) => {}
                // An answer may have come before the break, and is looked for below.
                Err(_) => broke = true,
            }
        }
        loop {
            let ended = conn.fill();
            let lost = if self.sent() { Step::Broken } else { Step::NeverSent };
            match self.reader.read(&mut conn.input, ended) {
                // No machine answers with 200 what it has not read: those are bytes of something else.
                Ok(Parsing::Done(response)) if !self.sent() && response.status == 200 => return lost,
                Ok(Parsing::Done(response)) => {
                    let clean = self.sent() && !ended && conn.input.is_empty();
                    return Step::Answer { reusable: clean && response.keep_alive, response };
                }
                Err(_) => return lost,
                Ok(Parsing::More) if ended || broke => return lost,
                Ok(Parsing::More) if conn.more_to_read() => {}
                Ok(Parsing::More) => return Step::Pending,
            }
        }
    }
}

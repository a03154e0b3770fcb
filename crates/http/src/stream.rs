//! A response that stays open and carries one text a line.

use crate::error::MessageError;
use crate::head::Parsed;
use crate::response::ResponseReader;
use crate::ring::Ring;

/// Maximum number of body bytes taken at once.
const READ_BYTES: usize = 64 * 1024;

/// Reads the lines of a response that stays open.
#[derive(Debug)]
pub struct StreamReader {
    reader: ResponseReader,
    max_line_bytes: usize,
    /// The line that is incomplete.
    line: Vec<u8>,
}

impl StreamReader {
    /// A reader for lines of up to `max_line_bytes`.
    pub fn new(max_line_bytes: usize) -> Self {
        StreamReader { reader: ResponseReader::streamed(READ_BYTES), max_line_bytes, line: Vec::new() }
    }

    /// The status code, once known.
    pub fn status(&self) -> Option<u16> {
        self.reader.partial_response().map(|response| response.status)
    }

    /// Adds the lines that are complete to `lines`, without their line ends. Returns whether the response has ended.
    ///
    /// # Errors
    /// The response is rejected. Lines that were complete before that are in `lines`.
    pub fn read(
        &mut self,
        ring: &mut Ring,
        ended: bool,
        lines: &mut Vec<Vec<u8>>,
    ) -> Result<bool, MessageError> {
        loop {
            let before = ring.len();
            let (body, is_complete) = match self.reader.read(ring, ended) {
                Ok(Parsed::Complete(response)) => (response.body, Ok(true)),
                Ok(Parsed::Incomplete) => (self.reader.take_body(), Ok(false)),
                Err(error) => (self.reader.take_body(), Err(error)),
            };
            self.split_lines(&body, lines)?;
            if is_complete? {
                return Ok(true);
            }
            if ring.len() == before {
                return Ok(false);
            }
        }
    }

    fn split_lines(&mut self, body: &[u8], lines: &mut Vec<Vec<u8>>) -> Result<(), MessageError> {
        for part in body.split_inclusive(|byte| *byte == b'\n') {
            if self.line.len() + part.len() > self.max_line_bytes {
                return Err(MessageError::BodyTooLarge);
            }
            self.line.extend_from_slice(part);
            if self.line.ends_with(b"\n") {
                self.line.pop();
                lines.push(std::mem::take(&mut self.line));
            }
        }
        Ok(())
    }
}

//! Reading of a long-lived response whose body is a sequence of lines.

use crate::error::MessageError;
use crate::head::Parsed;
use crate::input::InputState;
use crate::response::ResponseReader;
use crate::ring::Ring;

/// Maximum number of body bytes that are taken at once.
const READ_BYTES: usize = 64 * 1024;

/// Status code of a successful response.
const STATUS_OK: u16 = 200;

/// Reads the lines of a long-lived response.
#[derive(Debug)]
pub struct StreamReader {
    reader: ResponseReader,
    /// Status code, once the head of the response is complete.
    status: Option<u16>,
    max_line_bytes: usize,
    /// Start of the current, incomplete line.
    line: Vec<u8>,
}

impl StreamReader {
    /// Creates a reader for lines of up to `max_line_bytes`, line end included.
    pub fn new(max_line_bytes: usize) -> Self {
        StreamReader {
            reader: ResponseReader::streamed(READ_BYTES),
            status: None,
            max_line_bytes,
            line: Vec::new(),
        }
    }

    /// Returns the status code, or `None` before the head of the response is complete.
    pub fn status(&self) -> Option<u16> {
        self.status
    }

    /// Adds the complete lines to `lines`, without their line ends. `input` is the state of the connection after the
    /// bytes in the ring. Returns whether the response has ended. The body of an error response has no lines of the
    /// stream, so it is dropped.
    ///
    /// # Errors
    /// The response is rejected or truncated, or a line is too long. Lines that were complete before are in `lines`.
    pub fn read(
        &mut self,
        ring: &mut Ring,
        input: InputState,
        lines: &mut Vec<Vec<u8>>,
    ) -> Result<bool, MessageError> {
        loop {
            let length_before = ring.len();
            let (body, is_complete) = match self.reader.read(ring, input) {
                Ok(Parsed::Complete(response)) => {
                    self.status = Some(response.status);
                    (response.body, Ok(true))
                }
                Ok(Parsed::Incomplete) => (self.take_body(), Ok(false)),
                Err(error) => (self.take_body(), Err(error)),
            };
            if self.status == Some(STATUS_OK) {
                self.split_lines(&body, lines)?;
            }
            if is_complete? {
                return Ok(true);
            }
            if ring.len() == length_before {
                return Ok(false);
            }
        }
    }

    /// Takes the part of the body that has been read, and notes the status.
    fn take_body(&mut self) -> Vec<u8> {
        if let Some(response) = self.reader.partial_response() {
            self.status = Some(response.status);
        }
        self.reader.take_body()
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

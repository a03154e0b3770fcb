//! Assembly of JSON texts that span several lines.

use super::MAX_LIST_BYTES;

/// Buffer for the lines of a JSON text that is incomplete.
#[derive(Debug, Default)]
pub(super) struct LineAssembler {
    bytes: Vec<u8>,
    /// Number of unclosed brackets. JSON strings contain no line breaks, so each line starts outside a string.
    open_brackets: i32,
}

impl LineAssembler {
    /// Adds a line. Returns the text if this line ends it.
    ///
    /// An empty line, which is a heartbeat, ends an incomplete text: the lines after it belong to another text. If the
    /// incomplete text were kept, all later lines would be appended to it.
    pub(super) fn push_line(&mut self, line: &[u8]) -> Option<Vec<u8>> {
        let is_empty = line.trim_ascii().is_empty();
        if is_empty && self.bytes.is_empty() {
            return None;
        }
        let ends_in_string = self.count_brackets(line);
        self.bytes.extend_from_slice(line);
        let is_too_long = self.bytes.len() > MAX_LIST_BYTES;
        if is_empty || ends_in_string || self.open_brackets <= 0 || is_too_long {
            return Some(std::mem::take(self).bytes);
        }
        None
    }

    /// Counts the brackets of a line. Returns whether the line ends inside a string.
    fn count_brackets(&mut self, line: &[u8]) -> bool {
        let mut in_string = false;
        let mut escaped = false;
        for byte in line {
            match byte {
                _ if escaped => escaped = false,
                b'\\' if in_string => escaped = true,
                b'"' => in_string = !in_string,
                b'{' | b'[' if !in_string => self.open_brackets += 1,
                b'}' | b']' if !in_string => self.open_brackets -= 1,
                _ => {}
            }
        }
        in_string
    }
}

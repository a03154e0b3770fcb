//! Joins the lines of a JSON text that may be indented.

use super::MAX_LIST_BYTES;

/// The lines of a JSON text as far as they have come.
#[derive(Debug, Default)]
pub(super) struct LineAssembler {
    bytes: Vec<u8>,
    /// Brackets that are open. No string continues over the end of a line.
    open_brackets: i32,
}

impl LineAssembler {
    /// Adds a line. Returns the text if it ends here.
    ///
    /// An empty line, which is a heartbeat, ends a text that is incomplete: what follows is a text of its own, and a
    /// half text that was kept would swallow all that come after it.
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

    /// Counts the brackets of a line; whether the line ends inside a string.
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

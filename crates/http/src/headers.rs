//! Headers of a message.

use crate::error::MessageError;

/// Headers that apply to a single connection, or that give the framing of a message. A proxy does not forward
/// them.
const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
];

/// Smallest block that an allocator hands out, in bytes, with its own data about the block. Each name and each value
/// takes one.
const MIN_ALLOCATION_BYTES: usize = 32;

/// Header lines in the order of the message. Names are compared case-insensitively.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Headers(Vec<(String, Vec<u8>)>);

impl Headers {
    pub(crate) fn read(lines: &[httparse::Header<'_>]) -> Self {
        Headers(lines.iter().map(|line| (line.name.to_owned(), line.value.to_vec())).collect())
    }

    /// Returns the memory that the list of lines takes beside their bytes.
    pub(crate) fn list_bytes(&self) -> usize {
        let line_bytes = 2 * MIN_ALLOCATION_BYTES;
        self.0.capacity() * size_of::<(String, Vec<u8>)>() + self.0.len() * line_bytes
    }

    /// Iterates over all header lines.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.0.iter().map(|(name, value)| (name.as_str(), value.as_slice()))
    }

    /// Iterates over all values of a header, without splitting or trimming them.
    pub fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.iter().filter(move |(other, _)| other.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    /// Returns the trimmed value of a header that may occur only once, or `None` without one.
    ///
    /// # Errors
    /// The header occurs more than once, or its value is not UTF-8.
    pub fn single_value<'a>(&'a self, name: &'a str) -> Result<Option<&'a str>, MessageError> {
        let mut values = self.values(name);
        let Some(value) = values.next() else { return Ok(None) };
        if values.next().is_some() {
            return Err(MessageError::Malformed("a header that may stand once stands twice"));
        }
        match std::str::from_utf8(value) {
            Ok(text) => Ok(Some(text.trim())),
            Err(_) => Err(MessageError::Malformed("a header value is not text")),
        }
    }

    /// Returns whether a header with comma-separated values contains `token`, compared case-insensitively.
    pub fn contains_token(&self, name: &str, token: &str) -> bool {
        let mut tokens = self.values(name).flat_map(|value| value.split(|byte| *byte == b','));
        tokens.any(|candidate| candidate.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
    }

    /// Iterates over the header lines that a proxy forwards. Left out are hop-by-hop headers, those that
    /// `Connection` names, and those for length and framing, which are generated when the message is written.
    pub fn end_to_end(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.iter().filter(|(name, _)| {
            let is_hop_by_hop = HOP_BY_HOP.iter().any(|hop| name.eq_ignore_ascii_case(hop));
            !is_hop_by_hop && !self.contains_token("connection", name)
        })
    }
}

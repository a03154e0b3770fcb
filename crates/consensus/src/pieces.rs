//! Messages that are too long for one frame, such as snapshots, in pieces: short messages pass between them, and
//! whoever joins them holds one at a time, of a bounded size.

use serde::{Deserialize, Serialize};

/// Longest piece, in bytes.
pub const PIECE: usize = 64 * 1024;
/// Longest message that is put together, in bytes.
pub const WHOLE_MOST: u64 = 256 * 1024 * 1024;

/// A part of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// Which message of this sender's.
    pub transfer: u64,
    /// Where it begins, in bytes.
    pub at: u64,
    /// How long the whole is, in bytes.
    pub whole: u64,
    /// The bytes.
    pub bytes: Vec<u8>,
}

/// The pieces of a message, in order.
pub fn cut(transfer: u64, message: &[u8]) -> impl Iterator<Item = Piece> {
    let whole = message.len() as u64;
    message.chunks(PIECE).enumerate().map(move |(n, bytes)| Piece {
        transfer,
        at: (n * PIECE) as u64,
        whole,
        bytes: bytes.to_vec(),
    })
}

/// Why pieces don't make a message.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// One is missing in front of this one.
    #[error("a piece at {found} where {expected} was to come")]
    Gap {
        /// Where it begins.
        found: u64,
        /// Where it should.
        expected: u64,
    },
    /// The sizes contradict one another or the limits.
    #[error("a message of {0} bytes with a piece that does not fit")]
    Size(u64),
}

/// Puts one sender's pieces together.
#[derive(Debug, Default)]
pub struct Joiner {
    transfer: u64,
    whole: u64,
    held: Vec<u8>,
}

impl Joiner {
    /// One more piece; the message, if it was the last. A new transfer ends an unfinished one: its sender has
    /// given it up.
    ///
    /// # Errors
    /// A gap or a size that makes no sense; what was held is dropped.
    pub fn join(&mut self, piece: Piece) -> Result<Option<Vec<u8>>, Fault> {
        if piece.transfer != self.transfer || piece.at == 0 {
            *self = Self { transfer: piece.transfer, whole: piece.whole, held: Vec::new() };
        }
        let end = piece.at.checked_add(piece.bytes.len() as u64);
        let fits = end.is_some_and(|end| end <= piece.whole);
        if !fits || piece.whole != self.whole || self.whole > WHOLE_MOST || piece.bytes.is_empty() {
            *self = Self::default();
            return Err(Fault::Size(piece.whole));
        }
        let expected = self.held.len() as u64;
        if piece.at != expected {
            *self = Self::default();
            return Err(Fault::Gap { found: piece.at, expected });
        }
        // Grown by what has come, never by what was announced: an announced length costs nothing.
        self.held.extend_from_slice(&piece.bytes);
        if self.held.len() as u64 == self.whole {
            return Ok(Some(std::mem::take(self).held));
        }
        Ok(None)
    }

    /// Bytes held.
    pub fn held(&self) -> usize {
        self.held.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn pieces_make_the_message_again_and_nothing_else_does() {
        let message: Vec<u8> = (0..200_000u32).map(|n| n as u8).collect();
        let pieces: Vec<Piece> = cut(7, &message).collect();
        assert_eq!(pieces.len(), 4);
        let mut joiner = Joiner::default();
        for piece in &pieces[..3] {
            assert_eq!(joiner.join(piece.clone()), Ok(None));
        }
        assert_eq!(joiner.join(pieces[3].clone()), Ok(Some(message.clone())));
        assert_eq!(joiner.held(), 0);

        assert_eq!(joiner.join(pieces[0].clone()), Ok(None));
        assert!(matches!(joiner.join(pieces[2].clone()), Err(Fault::Gap { .. })));
        assert_eq!(joiner.join(pieces[0].clone()), Ok(None));
        for piece in cut(8, b"short") {
            assert_eq!(joiner.join(piece), Ok(Some(b"short".to_vec())), "a new transfer ends the old one");
        }
        let long = Piece { transfer: 9, at: 0, whole: WHOLE_MOST + 1, bytes: vec![1] };
        assert!(matches!(joiner.join(long), Err(Fault::Size(_))));
        let beyond = Piece { transfer: 9, at: 0, whole: 1, bytes: vec![1, 2] };
        assert!(matches!(joiner.join(beyond), Err(Fault::Size(_))));
        let wrapped = Piece { transfer: 9, at: u64::MAX, whole: u64::MAX, bytes: vec![1] };
        assert!(joiner.join(wrapped).is_err());
    }
}

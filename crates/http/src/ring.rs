//! A bounded ring buffer of bytes, one a direction of a connection.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{self, Read, Write};

/// Taken from a peer in one read; larger reads gain nothing on messages of some kilobytes.
const READ_AT_ONCE: usize = 16 * 1024;
/// An emptied ring gives back what it grew beyond this.
const KEPT_WHEN_EMPTY: usize = 8 * 1024;

thread_local! {
    /// Where a read puts its bytes before they are known to be few: zeroed once, not at each read.
    static BLOCK: RefCell<Box<[u8]>> = RefCell::new(vec![0; READ_AT_ONCE].into_boxed_slice());
}

/// The ring has no room for what was to be added; nothing was added.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Full;

/// Bytes in order, at most a fixed number of them; the memory grows on need.
#[derive(Debug)]
pub struct Ring {
    bytes: VecDeque<u8>,
    most: usize,
}

impl Ring {
    /// An empty ring for `most` bytes.
    pub fn new(most: usize) -> Self {
        Ring { bytes: VecDeque::new(), most }
    }

    /// How many bytes wait.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// How many more it takes.
    pub fn room(&self) -> usize {
        self.most - self.bytes.len()
    }

    /// Memory in use, in bytes.
    pub fn capacity(&self) -> usize {
        self.bytes.capacity()
    }

    /// Adds all of `more`, or nothing.
    pub fn push(&mut self, more: &[u8]) -> Result<(), Full> {
        if more.len() > self.room() {
            return Err(Full);
        }
        self.bytes.extend(more);
        Ok(())
    }

    /// One read from `from`, for as much as there is room. The number read is 0 at the end of the input or
    /// without room: ask [`Ring::room`] first.
    pub fn fill(&mut self, from: &mut impl Read) -> io::Result<usize> {
        let most = self.room().min(READ_AT_ONCE);
        BLOCK.with_borrow_mut(|block| {
            let read = from.read(&mut block[..most])?;
            self.bytes.extend(&block[..read]);
            Ok(read)
        })
    }

    /// One write of the foremost bytes to `to`; what was written is gone from the ring.
    pub fn drain(&mut self, to: &mut impl Write) -> io::Result<usize> {
        let written = to.write(self.bytes.as_slices().0)?;
        self.consume(written);
        Ok(written)
    }

    /// All waiting bytes in one piece.
    pub fn contiguous(&mut self) -> &[u8] {
        self.bytes.make_contiguous()
    }

    /// Drops the foremost `n` bytes, or as many as there are.
    pub fn consume(&mut self, n: usize) {
        self.bytes.drain(..n.min(self.bytes.len()));
        if self.bytes.is_empty() && self.bytes.capacity() > KEPT_WHEN_EMPTY {
            self.bytes = VecDeque::new();
        }
    }

    /// Moves up to `n` of the foremost bytes to the end of `to`.
    pub fn take(&mut self, n: usize, to: &mut Vec<u8>) -> usize {
        let n = n.min(self.bytes.len());
        let (first, second) = self.bytes.as_slices();
        to.extend_from_slice(&first[..n.min(first.len())]);
        to.extend_from_slice(&second[..n.saturating_sub(first.len())]);
        self.consume(n);
        n
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bytes_keep_their_order_over_many_wraps() {
        let mut ring = Ring::new(7);
        let (mut next_in, mut next_out) = (0u8, 0u8);
        for step in 0..5_000usize {
            let more: Vec<u8> = (0..step % 5).map(|i| next_in.wrapping_add(i as u8)).collect();
            if ring.push(&more).is_ok() {
                next_in = next_in.wrapping_add(more.len() as u8);
            }
            let mut out = Vec::new();
            ring.take(step % 4, &mut out);
            for byte in out {
                assert_eq!(byte, next_out);
                next_out = next_out.wrapping_add(1);
            }
            assert!(ring.len() <= 7);
        }
    }

    #[test]
    fn what_does_not_fit_is_refused_whole() {
        let mut ring = Ring::new(4);
        assert_eq!(ring.push(b"abc"), Ok(()));
        assert_eq!(ring.push(b"de"), Err(Full));
        assert_eq!(ring.contiguous(), b"abc");
        assert_eq!(ring.fill(&mut &b"xyz"[..]).expect("a slice reads"), 1);
        assert_eq!((ring.room(), ring.contiguous()), (0, &b"abcx"[..]));
    }

    #[test]
    fn a_wrapped_ring_is_written_in_order() {
        let mut ring = Ring::new(6);
        ring.push(b"abcd").expect("room");
        ring.consume(3);
        ring.push(b"efghi").expect("room");
        let mut out = Vec::new();
        while !ring.is_empty() {
            ring.drain(&mut out).expect("a vector takes all");
        }
        assert_eq!(out, b"defghi");
    }

    #[test]
    fn an_emptied_ring_gives_its_memory_back() {
        let mut ring = Ring::new(200_000);
        ring.push(&[7; 150_000]).expect("room");
        ring.consume(150_000);
        assert!(ring.capacity() <= KEPT_WHEN_EMPTY);
    }
}

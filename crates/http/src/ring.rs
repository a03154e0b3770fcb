//! A bounded ring buffer of bytes, one for each direction of a connection.

#[cfg(test)]
mod tests;

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{self, Read, Write};

/// Maximum number of bytes in one read; larger reads gain nothing on messages of some kilobytes.
const MAX_READ_BYTES: usize = 16 * 1024;
/// Capacity beyond which an emptied ring releases its memory, in bytes.
const MAX_EMPTY_CAPACITY: usize = 8 * 1024;

thread_local! {
    /// Where a read puts its bytes before their number is known: zeroed once, not at each read.
    static READ_BUFFER: RefCell<Box<[u8]>> = RefCell::new(vec![0; MAX_READ_BYTES].into_boxed_slice());
}

/// The ring has too little room for what was to be added; nothing was added.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the ring buffer has too little room")]
pub struct RingFull;

/// Bytes in order, up to a fixed number. Memory grows as needed.
#[derive(Debug)]
pub struct Ring {
    bytes: VecDeque<u8>,
    max_bytes: usize,
}

impl Ring {
    /// An empty ring for `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        Ring { bytes: VecDeque::new(), max_bytes }
    }

    /// Number of bytes in the ring.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether the ring is empty.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Number of bytes that can be added.
    pub fn free_bytes(&self) -> usize {
        self.max_bytes - self.bytes.len()
    }

    /// Allocated memory, in bytes.
    pub fn capacity(&self) -> usize {
        self.bytes.capacity()
    }

    /// Adds all of `more`, or nothing.
    ///
    /// # Errors
    /// There is too little room.
    pub fn push(&mut self, more: &[u8]) -> Result<(), RingFull> {
        if more.len() > self.free_bytes() {
            return Err(RingFull);
        }
        self.bytes.extend(more);
        Ok(())
    }

    /// Reads once from `from`, as much as there is room for. Returns the number of bytes read, which is 0 at the end of
    /// the input and without room: check [`Ring::free_bytes`] first.
    ///
    /// # Errors
    /// The read failed.
    pub fn fill(&mut self, from: &mut impl Read) -> io::Result<usize> {
        let max = self.free_bytes().min(MAX_READ_BYTES);
        READ_BUFFER.with_borrow_mut(|buffer| {
            let read = from.read(&mut buffer[..max])?;
            self.bytes.extend(&buffer[..read]);
            Ok(read)
        })
    }

    /// Writes once to `to`, from the front of the ring, and removes what was written. Returns the number of bytes.
    ///
    /// # Errors
    /// The write failed.
    pub fn drain(&mut self, to: &mut impl Write) -> io::Result<usize> {
        let written = to.write(self.bytes.as_slices().0)?;
        self.consume(written);
        Ok(written)
    }

    /// All bytes as one slice.
    pub fn contiguous(&mut self) -> &[u8] {
        self.bytes.make_contiguous()
    }

    /// Removes `count` bytes from the front, or as many as there are.
    pub fn consume(&mut self, count: usize) {
        self.bytes.drain(..count.min(self.bytes.len()));
        if self.bytes.is_empty() && self.bytes.capacity() > MAX_EMPTY_CAPACITY {
            self.bytes = VecDeque::new();
        }
    }

    /// Moves up to `count` bytes from the front to the end of `to`. Returns the number moved.
    pub fn take(&mut self, count: usize, to: &mut Vec<u8>) -> usize {
        let count = count.min(self.bytes.len());
        let (first, second) = self.bytes.as_slices();
        to.extend_from_slice(&first[..count.min(first.len())]);
        to.extend_from_slice(&second[..count.saturating_sub(first.len())]);
        self.consume(count);
        count
    }
}

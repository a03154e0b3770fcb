//! Bounded ring buffer of bytes. A connection has one for each direction.

#[cfg(test)]
mod tests;

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{self, Read, Write};

use crate::memory::{MemoryCharge, MemoryGauge};

/// Maximum number of bytes of one read. Larger reads have no benefit for messages of some kilobytes.
const MAX_READ_BYTES: usize = 16 * 1024;
/// Capacity above which an empty ring releases its memory, in bytes.
const MAX_EMPTY_CAPACITY: usize = 8 * 1024;

thread_local! {
    /// Buffer into which [`Ring::fill`] reads, shared so that it is zeroed once and not for each read.
    static READ_BUFFER: RefCell<Box<[u8]>> = RefCell::new(vec![0; MAX_READ_BYTES].into_boxed_slice());
}

/// Error for bytes that do not fit into the ring, of which none have been added.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("not enough free space in the ring buffer")]
pub struct RingFull;

/// Queue of bytes with a maximum length. Memory is allocated as needed.
#[derive(Debug)]
pub struct Ring {
    bytes: VecDeque<u8>,
    max_bytes: usize,
    /// Charge for the allocated memory.
    memory: MemoryCharge,
}

impl Ring {
    /// Creates an empty ring for up to `max_bytes`, which is counted by a gauge of its own.
    pub fn new(max_bytes: usize) -> Self {
        Ring::counted(max_bytes, &MemoryGauge::default())
    }

    /// Creates an empty ring for up to `max_bytes`. Its memory is counted by `gauge`, and so is that of the messages
    /// that are read from it.
    pub fn counted(max_bytes: usize, gauge: &MemoryGauge) -> Self {
        Ring { bytes: VecDeque::new(), max_bytes, memory: MemoryCharge::new(gauge) }
    }

    /// Returns a charge of no bytes at the gauge of the ring.
    pub(crate) fn new_charge(&self) -> MemoryCharge {
        MemoryCharge::new(self.memory.gauge())
    }

    /// Returns the number of bytes in the ring.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether the ring is empty.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the number of bytes that can be added.
    pub fn free_bytes(&self) -> usize {
        self.max_bytes - self.bytes.len()
    }

    /// Returns the size of the allocated memory, in bytes.
    pub fn capacity(&self) -> usize {
        self.bytes.capacity()
    }

    /// Appends all of `bytes`.
    ///
    /// # Errors
    /// The bytes do not fit; nothing has been appended then.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), RingFull> {
        if bytes.len() > self.free_bytes() {
            return Err(RingFull);
        }
        self.bytes.extend(bytes);
        self.update_charge();
        Ok(())
    }

    /// Reads once from `from`, up to the free space of the ring. Returns the number of bytes read, which is 0
    /// both at the end of the input and if the ring is full. Check [`Ring::free_bytes`] first to tell the two
    /// apart.
    ///
    /// # Errors
    /// The read failed.
    pub fn fill(&mut self, from: &mut impl Read) -> io::Result<usize> {
        let max = self.free_bytes().min(MAX_READ_BYTES);
        READ_BUFFER.with_borrow_mut(|buffer| {
            let read = from.read(&mut buffer[..max])?;
            self.bytes.extend(&buffer[..read]);
            self.update_charge();
            Ok(read)
        })
    }

    /// Writes once from the front of the ring to `to`, and removes the written bytes. Returns their number.
    ///
    /// # Errors
    /// The write failed.
    pub fn drain(&mut self, to: &mut impl Write) -> io::Result<usize> {
        let written = to.write(self.bytes.as_slices().0)?;
        self.consume(written);
        Ok(written)
    }

    /// Returns all bytes as one slice, for which wrapped content is moved.
    pub fn contiguous(&mut self) -> &[u8] {
        self.bytes.make_contiguous()
    }

    /// Removes up to `count` bytes from the front.
    pub fn consume(&mut self, count: usize) {
        self.bytes.drain(..count.min(self.bytes.len()));
        if self.bytes.capacity() > MAX_EMPTY_CAPACITY {
            self.release_if_empty();
        }
    }

    /// Releases the memory of a ring that is empty.
    pub fn release_if_empty(&mut self) {
        if self.bytes.is_empty() {
            self.bytes = VecDeque::new();
            self.update_charge();
        }
    }

    fn update_charge(&mut self) {
        self.memory.set(self.bytes.capacity());
    }

    /// Moves up to `count` bytes from the front to the end of `to`. Returns the number of moved bytes.
    pub fn take(&mut self, count: usize, to: &mut Vec<u8>) -> usize {
        let count = count.min(self.bytes.len());
        let (first, second) = self.bytes.as_slices();
        to.extend_from_slice(&first[..count.min(first.len())]);
        to.extend_from_slice(&second[..count.saturating_sub(first.len())]);
        self.consume(count);
        count
    }
}

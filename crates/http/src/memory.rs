//! Accounting of the memory that buffers and messages take, from their first byte until they are dropped.

#[cfg(test)]
mod tests;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Counts the bytes of all buffers and messages that share it. Clones share the count, also between threads.
#[derive(Debug, Clone, Default)]
pub struct MemoryGauge(Arc<AtomicUsize>);

impl MemoryGauge {
    /// Returns the number of bytes held now.
    pub fn bytes(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// The bytes that one buffer or message adds to a [`MemoryGauge`]. They are subtracted when it is dropped.
#[derive(Debug, Default)]
pub struct MemoryCharge {
    gauge: MemoryGauge,
    bytes: usize,
}

impl MemoryCharge {
    /// Creates a charge of no bytes.
    pub fn new(gauge: &MemoryGauge) -> Self {
        MemoryCharge { gauge: gauge.clone(), bytes: 0 }
    }

    /// Returns the gauge that counts the bytes.
    pub fn gauge(&self) -> &MemoryGauge {
        &self.gauge
    }

    /// Returns the number of charged bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Replaces the number of charged bytes.
    pub fn set(&mut self, bytes: usize) {
        if bytes > self.bytes {
            self.gauge.0.fetch_add(bytes - self.bytes, Ordering::Relaxed);
        } else if bytes < self.bytes {
            self.gauge.0.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
        }
        self.bytes = bytes;
    }
}

/// All charges are equal, so that messages with equal contents are.
impl PartialEq for MemoryCharge {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Eq for MemoryCharge {}

impl Drop for MemoryCharge {
    fn drop(&mut self) {
        self.set(0);
    }
}

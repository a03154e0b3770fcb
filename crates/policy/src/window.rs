//! Counts over a sliding time window.

use std::collections::VecDeque;

use crate::api::{ClassId, Micros};

/// A counted request or attempt.
struct Entry {
    at: Micros,
    class: ClassId,
}

/// Requests or attempts within the last `span`, counted by class.
///
/// Expired entries are dropped whenever one is added and whenever entries are counted, so that memory use is
/// bounded by the traffic of one span.
#[derive(Default)]
pub(crate) struct SlidingWindow {
    span: Micros,
    entries: VecDeque<Entry>,
    count_by_class: Vec<u32>,
}

impl SlidingWindow {
    pub(crate) fn new(span: Micros, classes: usize) -> Self {
        SlidingWindow { span, count_by_class: vec![0; classes], ..Self::default() }
    }

    pub(crate) fn add(&mut self, now: Micros, class: ClassId) {
        // Needed here because nothing calls `count` between two trials.
        self.drop_expired(now);
        self.entries.push_back(Entry { at: now, class });
        self.count_by_class[class.0] += 1;
    }

    /// Returns the number of entries in the span that ends at `now`, of one class or of all.
    pub(crate) fn count(&mut self, now: Micros, class: Option<ClassId>) -> f64 {
        self.drop_expired(now);
        match class {
            Some(class) => f64::from(self.count_by_class[class.0]),
            None => self.entries.len() as f64,
        }
    }

    pub(crate) fn clear(&mut self) {
        self.entries.clear();
        self.count_by_class.fill(0);
    }

    fn drop_expired(&mut self, now: Micros) {
        while let Some(expired) = self.entries.pop_front_if(|entry| entry.at + self.span < now) {
            self.count_by_class[expired.class.0] -= 1;
        }
    }
}

#[cfg(test)]
mod tests;

//! Counts over a sliding time window.

use std::collections::VecDeque;

use crate::api::{ClassId, Micros};

/// Maximum number of entries per class. Requests or attempts of nearly the same time share one, so that a
/// client that sends at full speed takes no more memory.
const MAX_ENTRIES: u64 = 4_096;

/// When requests or attempts that are counted together expire.
#[derive(Clone, Copy)]
pub(crate) enum Expiry {
    /// With the first of them, so that the window never counts too many.
    Early,
    /// With the last of them, so that the window never counts too few.
    Late,
}

/// Requests or attempts of nearly the same time.
struct Entry {
    first_at: Micros,
    last_at: Micros,
    count: u32,
}

impl Entry {
    /// Returns the time at which the span of the entry begins.
    fn span_start(&self, expiry: Expiry) -> Micros {
        match expiry {
            Expiry::Early => self.first_at,
            Expiry::Late => self.last_at,
        }
    }
}

/// The entries of one class, and the sum of their counts.
#[derive(Default)]
struct ClassEntries {
    entries: VecDeque<Entry>,
    count: u32,
}

/// Requests or attempts within the last `span`, counted by class.
///
/// Expired entries are dropped whenever one is added and whenever entries are counted.
pub(crate) struct SlidingWindow {
    span: Micros,
    expiry: Expiry,
    classes: Vec<ClassEntries>,
}

impl SlidingWindow {
    pub(crate) fn new(span: Micros, expiry: Expiry, classes: usize) -> Self {
        SlidingWindow { span, expiry, classes: (0..classes).map(|_| ClassEntries::default()).collect() }
    }

    pub(crate) fn add(&mut self, now: Micros, class: ClassId) {
        // Needed here because nothing calls `count` between two trials.
        self.drop_expired(now);
        let width = self.span / MAX_ENTRIES;
        let class = &mut self.classes[class.0];
        class.count += 1;
        match class.entries.back_mut().filter(|newest| now <= newest.first_at + width) {
            Some(newest) => {
                newest.last_at = now;
                newest.count += 1;
            }
            None => class.entries.push_back(Entry { first_at: now, last_at: now, count: 1 }),
        }
    }

    /// Returns the number of entries in the span that ends at `now`, of one class or of all.
    pub(crate) fn count(&mut self, now: Micros, class: Option<ClassId>) -> f64 {
        self.drop_expired(now);
        match class {
            Some(class) => f64::from(self.classes[class.0].count),
            None => self.classes.iter().map(|class| f64::from(class.count)).sum(),
        }
    }

    pub(crate) fn clear(&mut self) {
        self.classes.fill_with(ClassEntries::default);
    }

    fn drop_expired(&mut self, now: Micros) {
        let (span, expiry) = (self.span, self.expiry);
        for class in &mut self.classes {
            while let Some(expired) =
                class.entries.pop_front_if(|entry| entry.span_start(expiry) + span < now)
            {
                class.count -= expired.count;
            }
        }
    }
}

#[cfg(test)]
mod tests;

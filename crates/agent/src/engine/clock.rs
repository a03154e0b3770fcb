//! The engine's clock, derived from the system's monotonic clock. It also advances while the process is
//! paused.

use std::time::{Duration, Instant};

use garnetcrank_consensus::ids::Ticks;

/// A clock that counts ticks since the engine started.
pub(super) struct EngineClock {
    started: Instant,
    tick_ms: u64,
    /// Ticks counted as of the last [`EngineClock::advance`].
    ticks: u64,
}

impl EngineClock {
    /// Creates a clock that starts now. `tick_ms` is the length of a tick in milliseconds.
    pub(super) fn start(tick_ms: u64) -> Self {
        Self { started: Instant::now(), tick_ms, ticks: 0 }
    }

    /// Returns the number of complete ticks since the start.
    pub(super) fn now(&self) -> Ticks {
        Ticks(self.uptime_ms() / self.tick_ms)
    }

    /// Returns the time at which the first tick after the last [`EngineClock::advance`] is due.
    pub(super) fn next_tick_at(&self) -> Instant {
        let tick = Duration::from_millis(self.tick_ms);
        self.started + tick * u32::try_from(self.ticks + 1).unwrap_or(u32::MAX)
    }

    /// Advances to the current time and returns the number of ticks since the last call.
    pub(super) fn advance(&mut self) -> u64 {
        let now = self.now().0;
        let elapsed = now.saturating_sub(self.ticks);
        self.ticks = now;
        elapsed
    }

    /// Returns the number of milliseconds since the start.
    pub(super) fn uptime_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

//! The engine's clock: ticks of the system's monotonic clock since the start. It runs on while the process is paused.

use std::time::{Duration, Instant};

use garnetcrank_consensus::ids::Ticks;

/// Counts ticks since the engine's start.
pub(super) struct EngineClock {
    started: Instant,
    tick_ms: u64,
    /// Ticks up to the last [`EngineClock::advance`].
    ticks: u64,
}

impl EngineClock {
    /// A clock that starts now, with ticks of so many milliseconds.
    pub(super) fn start(tick_ms: u64) -> Self {
        Self { started: Instant::now(), tick_ms, ticks: 0 }
    }

    /// The time now, in whole ticks.
    pub(super) fn now(&self) -> Ticks {
        Ticks(self.uptime_ms() / self.tick_ms)
    }

    /// When the tick after the last [`EngineClock::advance`] is due.
    pub(super) fn next_tick_at(&self) -> Instant {
        let tick = Duration::from_millis(self.tick_ms);
        self.started + tick * u32::try_from(self.ticks + 1).unwrap_or(u32::MAX)
    }

    /// Ticks since the last call.
    pub(super) fn advance(&mut self) -> u64 {
        let now = self.now().0;
        let elapsed = now.saturating_sub(self.ticks);
        self.ticks = now;
        elapsed
    }

    /// Milliseconds since the start.
    pub(super) fn uptime_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

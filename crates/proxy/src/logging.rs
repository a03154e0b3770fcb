//! Log lines on standard error, bounded in volume.

use std::sync::Mutex;
use std::time::Instant;

use tracing::{Event, Level, Metadata};
use tracing_subscriber::filter::LevelFilter;
use tracing_subscriber::fmt::time::uptime;
use tracing_subscriber::layer::{Context, Filter, SubscriberExt};
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{Layer, Registry};

/// Lines a second that pass in the long run: what a person can still follow.
const LINES_PER_SECOND: f64 = 20.0;
/// Lines that pass at once, such as those of a start or of a stage with many machines.
const BURST_LINES: f64 = 200.0;

/// Lets so many lines through; warnings of a kind nobody has listed must not fill a disk.
struct RateLimit {
    left: Mutex<(f64, Instant)>,
}

impl RateLimit {
    fn new() -> Self {
        RateLimit { left: Mutex::new((BURST_LINES, Instant::now())) }
    }

    fn pass(&self) -> bool {
        let Ok(mut left) = self.left.lock() else { return true };
        let now = Instant::now();
        let earned = now.duration_since(left.1).as_secs_f64() * LINES_PER_SECOND;
        *left = ((left.0 + earned).min(BURST_LINES), now);
        if left.0 < 1.0 {
            return false;
        }
        left.0 -= 1.0;
        true
    }
}

impl<S> Filter<S> for RateLimit {
    fn enabled(&self, metadata: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        *metadata.level() <= Level::INFO
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        // Errors are few and final: they always pass.
        *event.metadata().level() == Level::ERROR || self.pass()
    }

    fn max_level_hint(&self) -> Option<LevelFilter> {
        Some(LevelFilter::INFO)
    }
}

/// Starts logging for this process.
pub fn start() {
    let lines = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .with_timer(uptime());
    Registry::default().with(lines.with_filter(RateLimit::new())).init();
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_flood_of_lines_is_cut() {
        let bounded = RateLimit::new();
        let passed = (0..100_000).filter(|_| bounded.pass()).count();
        assert!(passed >= BURST_LINES as usize && passed < 10_000, "{passed} of 100000 lines passed");
    }
}

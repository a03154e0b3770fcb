//! Log lines on standard error, limited in rate.

#[cfg(test)]
mod tests;

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
/// Lines that may pass at once, such as those of a start or of a rollout stage with many endpoints.
const BURST_LINES: f64 = 200.0;

/// A token bucket of log lines: warnings of a kind that nobody has foreseen must not fill a disk.
struct RateLimit {
    bucket: Mutex<TokenBucket>,
}

struct TokenBucket {
    tokens: f64,
    refilled_at: Instant,
}

impl RateLimit {
    fn new() -> Self {
        RateLimit { bucket: Mutex::new(TokenBucket { tokens: BURST_LINES, refilled_at: Instant::now() }) }
    }

    /// Takes a token. False if there is none, and the line is dropped.
    fn try_acquire(&self) -> bool {
        let Ok(mut bucket) = self.bucket.lock() else { return true };
        let now = Instant::now();
        let earned = now.duration_since(bucket.refilled_at).as_secs_f64() * LINES_PER_SECOND;
        bucket.tokens = (bucket.tokens + earned).min(BURST_LINES);
        bucket.refilled_at = now;
        if bucket.tokens < 1.0 {
            return false;
        }
        bucket.tokens -= 1.0;
        true
    }
}

impl<S> Filter<S> for RateLimit {
    fn enabled(&self, metadata: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        *metadata.level() <= Level::INFO
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        // Errors are few and final: they always pass.
        *event.metadata().level() == Level::ERROR || self.try_acquire()
    }

    fn max_level_hint(&self) -> Option<LevelFilter> {
        Some(LevelFilter::INFO)
    }
}

/// Starts logging for this process. May be called once.
pub(crate) fn start() {
    let lines = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .with_timer(uptime());
    Registry::default().with(lines.with_filter(RateLimit::new())).init();
}

//! Rate-limited logging to standard error.

#[cfg(test)]
mod tests;

use std::sync::Mutex;
use std::time::Instant;

use garnetcrank_policy::api::Micros;
use tracing::{Event, Level, Metadata};
use tracing_subscriber::filter::LevelFilter;
use tracing_subscriber::fmt::time::uptime;
use tracing_subscriber::layer::{Context, Filter, SubscriberExt};
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{Layer, Registry};

use crate::clock::SECOND;

/// Sustained rate of log lines per second, which a person can still follow.
const LINES_PER_SECOND: f64 = 20.0;
/// Burst of log lines that may pass at once, such as those at the start or at a rollout stage with many
/// endpoints.
const BURST_LINES: f64 = 200.0;

/// Minimum interval between two log lines of a kind that recurs with requests.
const RECURRING_LINE_INTERVAL: Micros = SECOND;

/// Token bucket for log lines, which keeps an unexpected flood of warnings from filling a disk.
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

    /// Takes a token. Returns false if there is none; the line is then dropped.
    fn try_acquire(&self) -> bool {
        let Ok(mut bucket) = self.bucket.lock() else { return true };
        let now = Instant::now();
        let refill = now.duration_since(bucket.refilled_at).as_secs_f64() * LINES_PER_SECOND;
        bucket.tokens = (bucket.tokens + refill).min(BURST_LINES);
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
        // Errors are rare and fatal, so they are never dropped.
        *event.metadata().level() == Level::ERROR || self.try_acquire()
    }

    fn max_level_hint(&self) -> Option<LevelFilter> {
        Some(LevelFilter::INFO)
    }
}

/// Limit on log lines of one kind, of which one passes in each interval.
#[derive(Debug, Default)]
pub(crate) struct LineInterval {
    next_at: Micros,
}

impl LineInterval {
    /// Returns whether a line may be logged now. If so, the next one has to wait.
    pub(crate) fn may_log(&mut self, now: Micros) -> bool {
        if now < self.next_at {
            return false;
        }
        self.next_at = now + RECURRING_LINE_INTERVAL;
        true
    }
}

/// Installs the logger of this process. May be called only once.
pub(crate) fn start() {
    let lines = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .with_timer(uptime());
    Registry::default().with(lines.with_filter(RateLimit::new())).init();
}

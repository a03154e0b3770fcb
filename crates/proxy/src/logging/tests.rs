//! Tests of the rate limit on log lines.

use super::*;

#[test]
fn lines_beyond_the_rate_limit_are_dropped() {
    let limit = RateLimit::new();
    let passed = (0..100_000).filter(|_| limit.try_acquire()).count();
    assert!(passed >= BURST_LINES as usize && passed < 10_000, "{passed} of 100000 lines passed");
}

//! Tests of the limit on log lines.

use super::*;

#[test]
fn a_flood_of_lines_is_cut() {
    let limit = RateLimit::new();
    let passed = (0..100_000).filter(|_| limit.try_acquire()).count();
    assert!(passed >= BURST_LINES as usize && passed < 10_000, "{passed} of 100000 lines passed");
}

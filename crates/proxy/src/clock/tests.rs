//! Tests of the timer queue.

use super::*;

#[test]
fn timers_are_due_in_order_and_never_early() {
    let mut timers = Timers::default();
    for (at, task) in [(30, 'c'), (10, 'a'), (30, 'd'), (20, 'b')] {
        timers.set(at, task);
    }
    assert_eq!(timers.pop_due(9), None);
    assert_eq!(timers.next_due(), Some(10));
    let mut order = String::new();
    while let Some(task) = timers.pop_due(30) {
        order.push(task);
    }
    assert_eq!(order, "abcd");
    assert_eq!(timers.next_due(), None);
}

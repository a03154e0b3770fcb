use super::{Expiry, MAX_ENTRIES, SlidingWindow};
use crate::api::{ClassId, Micros};

const CLASS: ClassId = ClassId(0);

fn entry_count(window: &SlidingWindow) -> usize {
    window.classes[CLASS.0].entries.len()
}

#[test]
fn entries_expire_even_if_they_are_never_counted() {
    let mut window = SlidingWindow::new(1_000, Expiry::Early, 1);
    for now in 0..100_000 {
        window.add(now, CLASS);
        let entries = entry_count(&window);
        assert!(entries <= 1_001, "{entries} entries in a window of 1000");
    }
    assert_eq!(window.count(100_000, None), 1_000.0);
}

/// Guards against memory that grows with the rate at which a client sends.
#[test]
fn requests_at_full_speed_take_a_bounded_number_of_entries_and_are_counted_on_the_safe_side() {
    const SPAN: Micros = 6_000_000;
    const INTERVAL: Micros = 5;
    let exact = (SPAN / INTERVAL) as f64;
    let of_one_entry = (SPAN / MAX_ENTRIES / INTERVAL + 1) as f64;
    for (expiry, range) in
        [(Expiry::Early, exact - of_one_entry..=exact), (Expiry::Late, exact..=exact + of_one_entry)]
    {
        let mut window = SlidingWindow::new(SPAN, expiry, 1);
        let mut now = 0;
        while now < 2 * SPAN {
            window.add(now, CLASS);
            now += INTERVAL;
        }
        assert!(entry_count(&window) as u64 <= MAX_ENTRIES + 1, "{}", entry_count(&window));
        let count = window.count(now, Some(CLASS));
        assert!(range.contains(&count), "{count} not in {range:?}");
    }
}

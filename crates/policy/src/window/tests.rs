use super::SlidingWindow;
use crate::api::ClassId;

#[test]
fn entries_expire_even_if_they_are_never_counted() {
    let mut window = SlidingWindow::new(1_000, 1);
    for now in 0..100_000 {
        window.add(now, ClassId(0));
        assert!(window.entries.len() <= 1_001, "{} entries in a window of 1000", window.entries.len());
    }
    assert_eq!(window.count(100_000, None), 1_000.0);
}

use super::SlidingWindow;
use crate::api::ClassId;

#[test]
fn a_window_that_is_never_counted_keeps_its_span_only() {
    let mut window = SlidingWindow::new(1_000, 1);
    for now in 0..100_000 {
        window.add(now, ClassId(0));
        assert!(window.entries.len() <= 1_001, "{} entries are kept", window.entries.len());
    }
    assert_eq!(window.count(100_000, None), 1_000.0);
}

//! Tests of the lifecycle.

use super::*;

#[test]
fn the_stages_from_start_to_exit() {
    let mut lifecycle = Lifecycle::start(0, 900 * MS);
    let at = |lifecycle: &mut Lifecycle, now, list_received, drained| {
        lifecycle.on_tick(now, list_received, drained);
        lifecycle.stage(now)
    };
    assert_eq!(lifecycle.stage(0), LifecycleStage::Starting);
    assert_eq!(at(&mut lifecycle, MS, false, true), LifecycleStage::Starting, "the list may still come");
    assert_eq!(at(&mut lifecycle, 2 * MS, true, true), LifecycleStage::Serving);
    assert_eq!(lifecycle.stop(SECOND), Some(2_500 * MS));
    assert_eq!(lifecycle.stop(2 * SECOND), None, "the second signal changes nothing");
    assert_eq!(
        at(&mut lifecycle, SECOND + MS, true, true),
        LifecycleStage::Draining,
        "clients still connect"
    );
    // Those whose connections are closed under their request connect again while somebody listens.
    let closes = SECOND + ACCEPT_WHILE_DRAINING - RECONNECT_WINDOW;
    assert_eq!(at(&mut lifecycle, closes - 1, true, true), LifecycleStage::Draining);
    assert_eq!(at(&mut lifecycle, closes, true, true), LifecycleStage::ClosingIdle);
    assert_eq!(
        at(&mut lifecycle, SECOND + ACCEPT_WHILE_DRAINING - 1, true, true),
        LifecycleStage::ClosingIdle
    );
    assert_eq!(at(&mut lifecycle, 2 * SECOND, true, false), LifecycleStage::NotAccepting);
    assert_eq!(
        at(&mut lifecycle, 2 * SECOND, true, false),
        LifecycleStage::NotAccepting,
        "a client is still connected"
    );
    assert_eq!(at(&mut lifecycle, 3 * SECOND, true, true), LifecycleStage::Stopped);
}

#[test]
fn answers_are_given_before_the_process_may_be_killed() {
    for (longest, killed) in
        [(0, 700 * MS), (350 * MS, 1_050 * MS), (3 * SECOND, 3_700 * MS), (9 * SECOND, 3_700 * MS)]
    {
        let by = Lifecycle::start(0, longest).stop(0).expect("the first stop signal");
        assert!(by < killed && by > ACCEPT_WHILE_DRAINING, "{by} us of {killed}");
    }
}

#[test]
fn without_discovery_it_serves_on_the_list_of_the_configuration() {
    let mut lifecycle = Lifecycle::start(0, 900 * MS);
    lifecycle.on_tick(MAX_START_WAIT, false, true);
    assert_eq!(lifecycle.stage(MAX_START_WAIT), LifecycleStage::Serving);
}

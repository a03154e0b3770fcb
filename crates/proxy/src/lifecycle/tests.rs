//! Tests of the lifecycle.

use super::*;

#[test]
fn the_process_passes_through_all_stages_in_order() {
    let mut lifecycle = Lifecycle::start(0, 900 * MS);
    let stage_after_tick = |lifecycle: &mut Lifecycle, now, list_received, drained| {
        lifecycle.on_tick(now, list_received, drained);
        lifecycle.stage(now)
    };
    assert_eq!(lifecycle.stage(0), LifecycleStage::Starting);
    assert_eq!(
        stage_after_tick(&mut lifecycle, MS, false, true),
        LifecycleStage::Starting,
        "the endpoint list may still arrive"
    );
    assert_eq!(stage_after_tick(&mut lifecycle, 2 * MS, true, true), LifecycleStage::Serving);
    assert_eq!(lifecycle.stop(SECOND), Some(2_500 * MS));
    assert_eq!(lifecycle.stop(2 * SECOND), None, "the second signal has no effect");
    assert_eq!(
        stage_after_tick(&mut lifecycle, SECOND + MS, true, true),
        LifecycleStage::Draining,
        "clients may still connect"
    );
    // A client whose connection is closed while it sends a request must be able to reconnect.
    let closing_idle_at = SECOND + DRAIN_ACCEPT_PERIOD - RECONNECT_WINDOW;
    assert_eq!(stage_after_tick(&mut lifecycle, closing_idle_at - 1, true, true), LifecycleStage::Draining);
    assert_eq!(stage_after_tick(&mut lifecycle, closing_idle_at, true, true), LifecycleStage::ClosingIdle);
    assert_eq!(
        stage_after_tick(&mut lifecycle, SECOND + DRAIN_ACCEPT_PERIOD - 1, true, true),
        LifecycleStage::ClosingIdle
    );
    assert_eq!(stage_after_tick(&mut lifecycle, 2 * SECOND, true, false), LifecycleStage::NotAccepting);
    assert_eq!(
        stage_after_tick(&mut lifecycle, 2 * SECOND, true, false),
        LifecycleStage::NotAccepting,
        "a client is still connected"
    );
    assert_eq!(stage_after_tick(&mut lifecycle, 3 * SECOND, true, true), LifecycleStage::Stopped);
}

#[test]
fn responses_are_due_before_the_process_may_be_killed() {
    for (longest_deadline, kill_time) in
        [(0, 700 * MS), (350 * MS, 1_050 * MS), (3 * SECOND, 3_700 * MS), (9 * SECOND, 3_700 * MS)]
    {
        let response_deadline = Lifecycle::start(0, longest_deadline).stop(0).expect("the first stop signal");
        assert!(
            response_deadline < kill_time && response_deadline > DRAIN_ACCEPT_PERIOD,
            "response deadline {response_deadline} us, kill time {kill_time} us"
        );
    }
}

#[test]
fn without_discovery_clients_are_served_with_the_configured_endpoint_list() {
    let mut lifecycle = Lifecycle::start(0, 900 * MS);
    lifecycle.on_tick(MAX_STARTUP_WAIT, false, true);
    assert_eq!(lifecycle.stage(MAX_STARTUP_WAIT), LifecycleStage::Serving);
}

//! Clients that disconnect before they have their response.

use std::time::Duration;

use garnetcrank_test_support::scripted_servers::{
    EndpointBehavior, RunningProxy, ScriptedEndpoint, request, wait_until,
};

use crate::common::{proxy_setup, respond_ok};

/// Longer than the time after a client's disconnect in which an attempt may still begin.
const DISCONNECT_GRACE: Duration = Duration::from_millis(150);
/// Time in which attempts that must not begin would begin.
const OBSERVATION_TIME: Duration = Duration::from_millis(500);

/// Has a client disconnect with `behind` sent after its request, and then lets the attempt end as not started.
fn assert_no_attempt_after_disconnect(behind: &str) {
    let endpoint = ScriptedEndpoint::start(EndpointBehavior::RejectAfterRelease);
    let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
    let proxy = RunningProxy::start(&setup);
    let mut client = proxy.client();
    client.send(&request("GET", "/look", 9000, ""));
    wait_until("the request reaches the endpoint", || endpoint.requests().len() == 1);
    let sent = client.send_without_waiting(behind);
    drop(client);
    std::thread::sleep(DISCONNECT_GRACE);
    endpoint.release();
    std::thread::sleep(OBSERVATION_TIME);
    assert_eq!(endpoint.requests().len(), 1, "with {sent} bytes behind the request");
}

#[test]
fn no_attempt_begins_for_a_client_that_left_unread_input_behind() {
    let requests = |count| (0..count).map(|_| request("GET", "/look", 9000, "")).collect::<String>();
    let large = request("POST", "/book", 9000, &"x".repeat(64 * 1024));
    for behind in [&requests(10), &requests(300), &requests(30_000)] {
        assert_no_attempt_after_disconnect(behind);
    }
    for sent in [1_000, 33_000, 60_000] {
        assert_no_attempt_after_disconnect(&large[..sent]);
    }
}

#[test]
fn a_non_idempotent_request_sent_again_after_its_client_left_runs_once() {
    for pause in [Duration::from_millis(20), Duration::from_millis(300)] {
        let endpoint = ScriptedEndpoint::start(EndpointBehavior::WaitForRelease);
        let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
        let proxy = RunningProxy::start(&setup);
        let order = request("POST", "/pay", 9000, "x");
        let mut first = proxy.client();
        first.send(&order);
        wait_until("the order reaches the endpoint", || endpoint.requests().len() == 1);
        drop(first);
        std::thread::sleep(pause);
        endpoint.set_behavior(respond_ok("yes"));
        let response = proxy.client().exchange(&order).expect("the proxy responds");
        assert_eq!((response.status(), endpoint.requests().len()), (409, 1), "after {pause:?}");
    }
}

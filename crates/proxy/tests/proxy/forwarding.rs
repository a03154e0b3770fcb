//! Requests forwarded to endpoints, and clients that disconnect.

use std::time::Duration;

use garnetcrank_test_support::scripted_servers::{
    EndpointBehavior, RunningProxy, ScriptedEndpoint, request, wait_until,
};

use crate::common::{proxy_setup, respond_ok};

#[test]
fn a_request_and_its_response_are_forwarded_unchanged() {
    let endpoint = ScriptedEndpoint::start(respond_ok("an answer\0with any bytes"));
    let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
    let proxy = RunningProxy::start(&setup);
    let mut client = proxy.client();
    for round in 0..3 {
        let text = request("POST", "/book/7?x=%20y", 5000, "body & more");
        let response = client.exchange(&text).expect("the proxy responds");
        assert_eq!((response.status(), response.body.as_slice()), (200, &b"an answer\0with any bytes"[..]));
        assert_eq!(response.header("x-made-by"), Some("machine"));
        let received = endpoint.requests().pop().expect("the endpoint received a request");
        assert_eq!(received.start_line, "POST /book/7?x=%20y HTTP/1.1");
        assert_eq!(received.body, b"body & more");
        assert!(text.contains(received.header("request-id").expect("a Request-Id header")));
        let timeout_ms: u64 = received
            .header("request-timeout-ms")
            .and_then(|ms| ms.parse().ok())
            .expect("a numeric Request-Timeout-Ms header");
        assert!((1..=5000).contains(&timeout_ms), "{timeout_ms} ms in round {round}");
        // The proxy reuses a connection only some time after a response, as a second response may arrive
        // late. This wait is longer; its exact length does not matter, as the idle connection stays open.
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(endpoint.connection_count(), 1, "the idle connection was not reused");
}

#[test]
fn a_request_may_arrive_in_parts_followed_by_the_next_one() {
    let endpoint = ScriptedEndpoint::start(respond_ok("yes"));
    let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
    let proxy = RunningProxy::start(&setup);
    let mut client = proxy.client();
    let (first, second) = (request("POST", "/book", 9000, "one"), request("POST", "/book", 9000, "two"));
    for byte in first.chars() {
        client.send(&byte.to_string());
    }
    client.send(&second);
    for body in [b"one", b"two"] {
        assert_eq!(client.read().expect("the proxy responds").status(), 200);
        assert!(endpoint.requests().iter().any(|r| r.body == body));
    }
}

#[test]
fn a_disconnected_client_cancels_its_attempt() {
    let endpoint = ScriptedEndpoint::start(EndpointBehavior::WaitForRelease);
    let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
    let proxy = RunningProxy::start(&setup);
    for disconnected in 1..=5 {
        let mut client = proxy.client();
        client.send(&request("GET", "/look", 20_000, ""));
        wait_until("the request reaches the endpoint", || endpoint.requests().len() == disconnected);
        drop(client);
    }
    endpoint.set_behavior(respond_ok("yes"));
    assert_eq!(proxy.client().get().status(), 200);
    wait_until("five clients are counted as disconnected", || {
        proxy.signal("USR1");
        let log = proxy.log();
        log.contains(" left=5 ") && log.contains(" withdrawn=5 ")
    });
}

#[test]
fn a_client_that_disconnects_right_after_its_request_is_noticed() {
    let endpoint = ScriptedEndpoint::start(EndpointBehavior::Ignore);
    let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
    let proxy = RunningProxy::start(&setup);
    for _ in 0..5 {
        // The proxy is suspended meanwhile, so that it finds the request and the end of the connection
        // together.
        proxy.signal("STOP");
        let mut client = proxy.client();
        client.send(&request("GET", "/look", 20_000, ""));
        drop(client);
        proxy.signal("CONT");
    }
    wait_until("five clients are counted as disconnected", || {
        proxy.signal("USR1");
        proxy.log().contains(" left=5 ")
    });
}

#[test]
fn equal_request_ids_of_two_tenants_never_share_a_response() {
    // The specification requires a new id for each request. A request whose id is in use is rejected, and the
    // open request with that id is not affected.
    let endpoint = ScriptedEndpoint::start(EndpointBehavior::WaitForRelease);
    let (_discovery, _controller, mut setup) = proxy_setup(&[endpoint.address]);
    let mut other = setup.settings["tenants"][0].clone();
    other["name"] = "others".into();
    setup.settings["tenants"].as_array_mut().expect("a list of tenants").push(other);
    let proxy = RunningProxy::start(&setup);
    let (mut first, mut second) = (proxy.client(), proxy.client());
    let text = request("POST", "/pay", 9000, "of the first");
    first.send(&text);
    wait_until("the first request reaches the endpoint", || endpoint.requests().len() == 1);
    let rejected =
        second.exchange(&text.replace("Tenant: acme", "Tenant: others")).expect("the proxy responds");
    assert_eq!((rejected.status(), rejected.header("connection")), (409, Some("close")));
    endpoint.release();
    assert_eq!(first.read().expect("the proxy responds").status(), 200);
    assert_eq!(endpoint.requests().len(), 1);
}

//! Outcomes of attempts, and the responses that clients get for them.

use std::net::SocketAddr;
use std::time::Duration;

use garnetcrank_test_support::scripted_servers::{
    EndpointBehavior, RunningProxy, ScriptedEndpoint, request, wait_until,
};

use crate::common::{proxy_setup, respond_ok};

#[test]
fn the_outcome_of_an_attempt_determines_status_and_retries() {
    // After an attempt that may have run, a non-idempotent request is failed with 502 and never retried. A
    // response with Not-Started shows that the request has not run: it may be retried, and the client gets
    // 503 with Retry-After.
    for (behavior, status) in [
        (EndpointBehavior::Respond(500, "", Vec::new()), 502),
        (EndpointBehavior::Respond(503, "", Vec::new()), 502),
        (EndpointBehavior::Close, 502),
        (EndpointBehavior::SendRaw(b"no such protocol\r\n\r\n".to_vec()), 502),
        (
            EndpointBehavior::SendRaw(
                b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nand so on".to_vec(),
            ),
            502,
        ),
        (EndpointBehavior::SendRaw(b"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nhello".to_vec()), 502),
        (EndpointBehavior::SendRaw([b"HTTP/1.1 200 OK\r\nX: ".to_vec(), vec![b'y'; 20_000]].concat()), 502),
        (EndpointBehavior::SendRaw(b"HTTP/1.1 103 Early Hints\r\n\r\n".repeat(50)), 502),
        // Without a length, a truncated response would look complete.
        (EndpointBehavior::SendRawAndClose("HTTP/1.1 200 OK\r\n\r\nhalf an ans"), 502),
        (EndpointBehavior::SendRawAndClose("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf an ans"), 502),
        (EndpointBehavior::Respond(200, "", vec![b'x'; 70_000]), 502),
        (EndpointBehavior::Respond(503, "Not-Started: 1\r\n", Vec::new()), 503),
        (EndpointBehavior::Respond(504, "Not-Started: 1\r\n", Vec::new()), 503),
    ] {
        let endpoint = ScriptedEndpoint::start(behavior.clone());
        let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
        let proxy = RunningProxy::start(&setup);
        let response =
            proxy.client().exchange(&request("POST", "/pay", 5000, "x")).expect("the proxy responds");
        assert_eq!(response.status(), status, "{behavior:?}");
        let sent = endpoint.requests().len();
        let expected = if status == 502 { 1..=1 } else { 1..=3 };
        assert!(expected.contains(&sent), "{sent} attempts: {behavior:?}");
        assert_eq!(response.header("retry-after").is_some(), status == 503, "{behavior:?}");
    }
}

#[test]
fn a_request_to_an_unreachable_endpoint_is_retried_elsewhere() {
    // A socket that is bound but not listening refuses connections and keeps other processes off its port.
    let bound_socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
        .expect("a socket is created");
    bound_socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a loopback port is free");
    let unreachable =
        bound_socket.local_addr().expect("the socket has an address").as_socket().expect("an IP address");
    let reachable = ScriptedEndpoint::start(respond_ok("yes"));
    let (_discovery, _controller, setup) = proxy_setup(&[unreachable, reachable.address]);
    let proxy = RunningProxy::start(&setup);
    let mut client = proxy.client();
    for _ in 0..20 {
        assert_eq!(
            client.exchange(&request("POST", "/pay", 9000, "x")).expect("the proxy responds").status(),
            200
        );
    }
    assert_eq!(reachable.requests().len(), 20);
}

#[test]
fn a_timed_out_request_is_failed_and_its_late_response_discarded() {
    let endpoint = ScriptedEndpoint::start(EndpointBehavior::WaitForRelease);
    let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
    let proxy = RunningProxy::start(&setup);
    let mut client = proxy.client();
    let response = client.exchange(&request("POST", "/pay", 300, "x")).expect("the proxy responds");
    assert_eq!(response.status(), 502);
    // The late response must reach no client, and must not be taken for the response to the next request.
    endpoint.release();
    endpoint.set_behavior(respond_ok("the second"));
    let response = client.exchange(&request("POST", "/book", 9000, "x")).expect("the proxy responds");
    assert_eq!((response.status(), response.body.as_slice()), (200, &b"the second"[..]));
}

#[test]
fn a_resumed_proxy_forwards_a_response_that_arrived_in_time() {
    let endpoint = ScriptedEndpoint::start(EndpointBehavior::WaitForRelease);
    let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
    let proxy = RunningProxy::start(&setup);
    let mut client = proxy.client();
    client.send(&request("POST", "/pay", 1_000, "x"));
    wait_until("the request reaches the endpoint", || endpoint.requests().len() == 1);
    proxy.signal("STOP");
    endpoint.release();
    // The response stays unread until the request's timeout has passed: the proxy finds both in one turn of
    // its event loop.
    std::thread::sleep(Duration::from_millis(1_200));
    proxy.signal("CONT");
    let response = client.read().expect("the proxy responds");
    assert_eq!((response.status(), response.body), (200, b"late".to_vec()));
    assert_eq!(endpoint.requests().len(), 1);
}

#[test]
fn bytes_after_a_complete_response_reach_no_client() {
    let good = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood";
    for extra in [good, "\0\x01 noise", "HTTP/1.1 500 X\r\n\r\n"] {
        let endpoint =
            ScriptedEndpoint::start(EndpointBehavior::SendRaw(format!("{good}{extra}").into_bytes()));
        let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
        let proxy = RunningProxy::start(&setup);
        let mut client = proxy.client();
        for served in 1..=3 {
            assert_eq!((client.get().status(), endpoint.requests().len()), (200, served), "{extra:?}");
        }
        assert_eq!(endpoint.connection_count(), 3, "connection reused after {extra:?}");
    }
    let interim = format!("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 X\r\n\r\n{good}");
    let endpoint = ScriptedEndpoint::start(EndpointBehavior::SendRaw(interim.into_bytes()));
    let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
    let proxy = RunningProxy::start(&setup);
    assert_eq!(proxy.client().get().body, b"good");
}

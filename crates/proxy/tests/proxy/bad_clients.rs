//! Requests that are invalid, incomplete or too large.

use std::time::Duration;

use garnetcrank_test_support::scripted_servers::{
    EndpointBehavior, RunningProxy, ScriptedEndpoint, request, wait_until,
};

use crate::common::{proxy_setup, respond_ok};

#[test]
fn an_invalid_request_is_rejected_closes_the_connection_and_reaches_no_endpoint() {
    let endpoint = ScriptedEndpoint::start(respond_ok("yes"));
    let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
    let proxy = RunningProxy::start(&setup);
    let valid = request("GET", "/look", 1000, "");
    let oversized_head = format!("GET /look HTTP/1.1\r\nHost: x\r\nX: {}\r\n\r\n", "y".repeat(20_000));
    for (text, status) in [
        ("nonsense\r\n\r\n".to_owned(), 400),
        (valid.replace("Request-Id", "Other"), 400),
        (valid.replace("/look", "/unheard"), 404),
        (valid.replace("acme", "nobody"), 400),
        (valid.replace("1000", "soon"), 400),
        (valid.replace("Host: service.internal\r\n", ""), 400),
        (
            request("POST", "/book", 1000, "ab")
                .replace("Content-Length: 2", "Content-Length: 2\r\nContent-Length: 3"),
            400,
        ),
        (
            request("POST", "/book", 1000, "ab")
                .replace("Content-Length: 2", "Content-Length: 2\r\nTransfer-Encoding: chunked"),
            400,
        ),
        (request("POST", "/book", 1000, "ab").replace("Content-Length: 2", "Content-Length: 99999999"), 413),
        (request("POST", "/book", 1000, "ab").replace("Content-Length: 2", "Transfer-Encoding: gzip"), 501),
        (valid.replace("HTTP/1.1", "HTTP/1.0"), 505),
        (valid.replace("GET", "HEAD"), 501),
        (oversized_head, 431),
    ] {
        let mut client = proxy.client();
        let response = client.exchange(&text).unwrap_or_else(|| panic!("no response to {text:?}"));
        assert_eq!(response.status(), status, "{text:?}");
        assert!(client.is_closed(), "connection open after {text:?}");
    }
    assert!(endpoint.requests().is_empty());
    assert_eq!(
        proxy.client().exchange(&valid).expect("the proxy responds").status(),
        200,
        "a valid request after invalid ones"
    );
}

#[test]
fn a_request_that_is_never_complete_times_out() {
    let (_discovery, _controller, setup) = proxy_setup(&[]);
    let proxy = RunningProxy::start(&setup);
    let mut client = proxy.client();
    let response = client.exchange("POST /book HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf");
    assert_eq!(response.expect("the proxy responds").status(), 408);
    assert!(client.is_closed());
}

#[test]
fn a_duplicate_request_id_reaches_no_endpoint() {
    let endpoint = ScriptedEndpoint::start(EndpointBehavior::WaitForRelease);
    let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
    let proxy = RunningProxy::start(&setup);
    let (text, mut first, mut second) = (request("GET", "/look", 9000, ""), proxy.client(), proxy.client());
    first.send(&text);
    wait_until("the request reaches the endpoint", || endpoint.requests().len() == 1);
    assert_eq!(second.exchange(&text).expect("the proxy responds").status(), 409);
    assert!(second.is_closed());
    endpoint.release();
    assert_eq!(first.read().expect("the proxy responds").body, b"late");
    assert_eq!(endpoint.requests().len(), 1);
}

#[test]
fn a_client_that_sends_one_byte_at_a_time_times_out() {
    let (_discovery, _controller, setup) = proxy_setup(&[]);
    let proxy = RunningProxy::start(&setup);
    let mut client = proxy.client();
    client.send("GET /look HTTP/1.1\r\nHost: x\r\nX: ");
    wait_until("the connection is closed", || {
        std::thread::sleep(Duration::from_millis(50));
        !client.send("y")
    });
    wait_until("the request is counted as late", || {
        proxy.signal("USR1");
        proxy.log().contains(" bad_late=1 ")
    });
}

#[test]
fn an_oversized_body_is_rejected_while_other_clients_are_served() {
    let endpoint = ScriptedEndpoint::start(respond_ok("yes"));
    let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
    let proxy = RunningProxy::start(&setup);
    let mut active_client = proxy.client();
    for _ in 0..3 {
        let mut client = proxy.client();
        client.send(
            &request("POST", "/book", 9000, "").replace("Content-Length: 0", "Content-Length: 60000000"),
        );
        let megabyte = "x".repeat(1_000_000);
        let blocks_sent = (0..60).take_while(|_| client.send(&megabyte)).count();
        assert!(blocks_sent < 60, "the proxy read the complete body");
        assert_eq!(active_client.get().status(), 200);
    }
    wait_until("three requests are counted as too large", || {
        proxy.signal("USR1");
        proxy.log().contains(" bad_large=3 ")
    });
    assert_eq!(endpoint.requests().len(), 3);
}

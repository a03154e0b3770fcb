//! Requests that are invalid, incomplete or too large.

use std::time::Duration;

use garnetcrank_test_support::scripted_servers::{
    EndpointBehavior, RunningProxy, ScriptedEndpoint, request, wait_until,
};

use crate::common::{ok, proxy_setup};

#[test]
fn an_invalid_request_gets_an_error_and_a_close_and_reaches_no_endpoint() {
    let endpoint = ScriptedEndpoint::start(ok("yes"));
    let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
    let proxy = RunningProxy::start(&setup);
    let good = request("GET", "/look", 1000, "");
    let long = format!("GET /look HTTP/1.1\r\nHost: x\r\nX: {}\r\n\r\n", "y".repeat(20_000));
    for (text, status) in [
        ("nonsense\r\n\r\n".to_owned(), 400),
        (good.replace("Request-Id", "Other"), 400),
        (good.replace("/look", "/unheard"), 404),
        (good.replace("acme", "nobody"), 400),
        (good.replace("1000", "soon"), 400),
        (good.replace("Host: service.internal\r\n", ""), 400),
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
        (good.replace("HTTP/1.1", "HTTP/1.0"), 505),
        (good.replace("GET", "HEAD"), 501),
        (long, 431),
    ] {
        let mut client = proxy.client();
        let answer = client.exchange(&text).unwrap_or_else(|| panic!("no answer to {text:?}"));
        assert_eq!(answer.status(), status, "{text:?}");
        assert!(client.is_closed(), "still open after {text:?}");
    }
    assert!(endpoint.requests().is_empty());
    assert_eq!(proxy.client().exchange(&good).expect("an answer").status(), 200, "it serves on");
}

#[test]
fn a_request_that_is_never_complete_times_out() {
    let (_discovery, _controller, setup) = proxy_setup(&[]);
    let proxy = RunningProxy::start(&setup);
    let mut client = proxy.client();
    let answer = client.exchange("POST /book HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf");
    assert_eq!(answer.expect("an answer").status(), 408);
    assert!(client.is_closed());
}

#[test]
fn a_duplicate_request_id_reaches_no_endpoint() {
    let endpoint = ScriptedEndpoint::start(EndpointBehavior::WaitForRelease);
    let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
    let proxy = RunningProxy::start(&setup);
    let (text, mut first, mut second) = (request("GET", "/look", 9000, ""), proxy.client(), proxy.client());
    first.send(&text);
    wait_until("the request at the machine", || endpoint.requests().len() == 1);
    assert_eq!(second.exchange(&text).expect("an answer").status(), 409);
    assert!(second.is_closed());
    endpoint.release();
    assert_eq!(first.read().expect("an answer").body, b"late");
    assert_eq!(endpoint.requests().len(), 1);
}

#[test]
fn a_dripping_client_times_out() {
    let (_discovery, _controller, setup) = proxy_setup(&[]);
    let proxy = RunningProxy::start(&setup);
    let mut client = proxy.client();
    client.send("GET /look HTTP/1.1\r\nHost: x\r\nX: ");
    wait_until("the connection ends", || {
        std::thread::sleep(Duration::from_millis(50));
        !client.send("y")
    });
    wait_until("it is counted as late", || {
        proxy.signal("USR1");
        proxy.log().contains(" bad_late=1 ")
    });
}

#[test]
fn an_oversized_body_is_rejected_while_other_clients_are_served() {
    let endpoint = ScriptedEndpoint::start(ok("yes"));
    let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
    let proxy = RunningProxy::start(&setup);
    let mut usual = proxy.client();
    for _ in 0..3 {
        let mut client = proxy.client();
        client.send(
            &request("POST", "/book", 9000, "").replace("Content-Length: 0", "Content-Length: 60000000"),
        );
        let block = "x".repeat(1_000_000);
        let taken = (0..60).take_while(|_| client.send(&block)).count();
        assert!(taken < 60, "all of it was read");
        assert_eq!(usual.get().status(), 200);
    }
    wait_until("they are counted as too large", || {
        proxy.signal("USR1");
        proxy.log().contains(" bad_large=3 ")
    });
    assert_eq!(endpoint.requests().len(), 3);
}

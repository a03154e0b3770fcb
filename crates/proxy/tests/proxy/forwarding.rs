//! Requests forwarded to endpoints, and clients that disconnect.

use std::time::Duration;

use garnetcrank_test_support::scripted_servers::{
    EndpointBehavior, RunningProxy, ScriptedEndpoint, request, wait_until,
};

use crate::common::{ok, proxy_setup};

#[test]
fn a_request_and_its_response_are_forwarded_unchanged() {
    let endpoint = ScriptedEndpoint::start(ok("an answer\0with any bytes"));
    let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
    let proxy = RunningProxy::start(&setup);
    let mut client = proxy.client();
    for round in 0..3 {
        let text = request("POST", "/book/7?x=%20y", 5000, "body & more");
        let answer = client.exchange(&text).expect("an answer");
        assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"an answer\0with any bytes"[..]));
        assert_eq!(answer.header("x-made-by"), Some("machine"));
        let got = endpoint.requests().pop().expect("a request");
        assert_eq!(got.first, "POST /book/7?x=%20y HTTP/1.1");
        assert_eq!(got.body, b"body & more");
        assert!(text.contains(got.header("request-id").expect("an id")));
        let wait: u64 = got.header("request-timeout-ms").and_then(|t| t.parse().ok()).expect("a time");
        assert!((1..=5000).contains(&wait), "{wait} ms in round {round}");
        // A connection rests after an response, as a second one may come late; it is used again however long that
        // takes.
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(endpoint.connections(), 1, "a kept connection is used again");
}

#[test]
fn a_request_may_arrive_in_parts_with_the_next_one_behind_it() {
    let endpoint = ScriptedEndpoint::start(ok("yes"));
    let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
    let proxy = RunningProxy::start(&setup);
    let mut client = proxy.client();
    let (first, second) = (request("POST", "/book", 9000, "one"), request("POST", "/book", 9000, "two"));
    for byte in first.chars() {
        client.send(&byte.to_string());
    }
    client.send(&second);
    for body in [b"one", b"two"] {
        assert_eq!(client.read().expect("an answer").status(), 200);
        assert!(endpoint.requests().iter().any(|r| r.body == body));
    }
}

#[test]
fn a_disconnected_client_cancels_its_attempt() {
    let endpoint = ScriptedEndpoint::start(EndpointBehavior::WaitForRelease);
    let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
    let proxy = RunningProxy::start(&setup);
    for gone in 1..=5 {
        let mut client = proxy.client();
        client.send(&request("GET", "/look", 20_000, ""));
        wait_until("the request at the machine", || endpoint.requests().len() == gone);
        drop(client);
    }
    endpoint.set_behavior(ok("yes"));
    assert_eq!(proxy.client().get().status(), 200);
    wait_until("five clients counted as gone", || {
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
        // Its end comes together with its request, before the proxy has read either.
        proxy.signal("STOP");
        let mut client = proxy.client();
        client.send(&request("GET", "/look", 20_000, ""));
        drop(client);
        proxy.signal("CONT");
    }
    wait_until("five clients counted as gone", || {
        proxy.signal("USR1");
        proxy.log().contains(" left=5 ")
    });
}

#[test]
fn equal_request_ids_of_two_tenants_never_share_a_response() {
    // The page has a fresh id on each request; one that is open already is told so, and changes nothing for the other.
    let endpoint = ScriptedEndpoint::start(EndpointBehavior::WaitForRelease);
    let (_discovery, _controller, mut setup) = proxy_setup(&[endpoint.address]);
    let mut other = setup.settings["tenants"][0].clone();
    other["name"] = "others".into();
    setup.settings["tenants"].as_array_mut().expect("tenants").push(other);
    let proxy = RunningProxy::start(&setup);
    let (mut first, mut second) = (proxy.client(), proxy.client());
    let text = request("POST", "/pay", 9000, "of the first");
    first.send(&text);
    wait_until("the first at the machine", || endpoint.requests().len() == 1);
    let taken = second.exchange(&text.replace("Tenant: acme", "Tenant: others")).expect("an answer");
    assert_eq!((taken.status(), taken.header("connection")), (409, Some("close")));
    endpoint.release();
    assert_eq!(first.read().expect("an answer").status(), 200);
    assert_eq!(endpoint.requests().len(), 1);
}

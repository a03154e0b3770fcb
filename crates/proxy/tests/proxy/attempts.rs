//! How attempts end, and what the client is told.

use std::net::SocketAddr;
use std::time::Duration;

use garnetcrank_test_support::scripted_servers::{
    EndpointBehavior, RunningProxy, ScriptedEndpoint, request, wait_until,
};

use crate::common::{ok, proxy_setup};

#[test]
fn each_outcome_of_an_attempt_is_told_apart() {
    // Where an attempt may have run, a request that must not run twice is failed and never sent again.
    for (does, status) in [
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
        // Cut short, it would look whole: nothing says how long it is.
        (EndpointBehavior::SendRawAndClose("HTTP/1.1 200 OK\r\n\r\nhalf an ans"), 502),
        (EndpointBehavior::SendRawAndClose("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf an ans"), 502),
        (EndpointBehavior::Respond(200, "", vec![b'x'; 70_000]), 502),
        (EndpointBehavior::Respond(503, "Not-Started: 1\r\n", Vec::new()), 503),
        (EndpointBehavior::Respond(504, "Not-Started: 1\r\n", Vec::new()), 503),
    ] {
        let endpoint = ScriptedEndpoint::start(does.clone());
        let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
        let proxy = RunningProxy::start(&setup);
        let answer = proxy.client().exchange(&request("POST", "/pay", 5000, "x")).expect("an answer");
        assert_eq!(answer.status(), status, "{does:?}");
        let sent = endpoint.requests().len();
        let expected = if status == 502 { 1..=1 } else { 1..=3 };
        assert!(expected.contains(&sent), "sent {sent} times: {does:?}");
        assert_eq!(answer.header("retry-after").is_some(), status == 503, "{does:?}");
    }
}

#[test]
fn an_unreachable_endpoint_never_ran_a_request_which_is_retried_elsewhere() {
    // Bound and not listening: refused for as long as the test runs, and nobody else's meanwhile.
    let held = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    held.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
    let dead = held.local_addr().expect("an address").as_socket().expect("with a port");
    let alive = ScriptedEndpoint::start(ok("yes"));
    let (_discovery, _controller, setup) = proxy_setup(&[dead, alive.address]);
    let proxy = RunningProxy::start(&setup);
    let mut client = proxy.client();
    for _ in 0..20 {
        assert_eq!(client.exchange(&request("POST", "/pay", 9000, "x")).expect("an answer").status(), 200);
    }
    assert_eq!(alive.requests().len(), 20);
}

#[test]
fn a_silent_endpoint_leads_to_one_final_answer_in_time() {
    let endpoint = ScriptedEndpoint::start(EndpointBehavior::WaitForRelease);
    let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
    let proxy = RunningProxy::start(&setup);
    let mut client = proxy.client();
    let answer = client.exchange(&request("POST", "/pay", 300, "x")).expect("an answer");
    assert_eq!(answer.status(), 502);
    // The late response of the first must reach nobody, least of all the next request.
    endpoint.release();
    endpoint.set_behavior(ok("the second"));
    let answer = client.exchange(&request("POST", "/book", 9000, "x")).expect("an answer");
    assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"the second"[..]));
}

#[test]
fn a_suspended_process_forwards_a_response_that_arrived_in_time() {
    let endpoint = ScriptedEndpoint::start(EndpointBehavior::WaitForRelease);
    let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
    let proxy = RunningProxy::start(&setup);
    let mut client = proxy.client();
    client.send(&request("POST", "/pay", 1_000, "x"));
    wait_until("the request at the machine", || endpoint.requests().len() == 1);
    proxy.signal("STOP");
    endpoint.release();
    // The response lies unread while the request's time runs out, and both are found in one turn.
    std::thread::sleep(Duration::from_millis(1_200));
    proxy.signal("CONT");
    let answer = client.read().expect("an answer");
    assert_eq!((answer.status(), answer.body), (200, b"late".to_vec()));
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
        assert_eq!(endpoint.connections(), 3, "used again after {extra:?}");
    }
    let interim = format!("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 X\r\n\r\n{good}");
    let endpoint = ScriptedEndpoint::start(EndpointBehavior::SendRaw(interim.into_bytes()));
    let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
    let proxy = RunningProxy::start(&setup);
    assert_eq!(proxy.client().get().body, b"good");
}

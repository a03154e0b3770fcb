//! Limits on descriptors and idle connections.

use std::time::{Duration, Instant};

use garnetcrank_test_support::scripted_servers::{
    EndpointBehavior, RunningProxy, ScriptedEndpoint, TestClient, request, wait_until,
};

use crate::common::{LOST_AFTER, proxy_setup, respond_ok};

/// Longer than the 50 ms after which the proxy may evict a silent client, shorter than the 2.5 s after which it
/// closes one anyway.
const SILENT_CLIENT_AGE: Duration = Duration::from_millis(200);

#[test]
fn without_free_descriptors_requests_are_rejected_until_some_are_free() {
    let endpoint = ScriptedEndpoint::start(EndpointBehavior::WaitForRelease);
    let (_discovery, _controller, mut setup) = proxy_setup(&[endpoint.address]);
    setup.descriptor_limit = 64;
    let proxy = RunningProxy::start(&setup);
    let mut clients: Vec<TestClient> = (0..120).map(|_| proxy.client()).collect();
    for client in &mut clients {
        client.send(&request("GET", "/look", 1500, ""));
    }
    // Every request gets a final response, although few can be in flight at once.
    let mut rejected = 0;
    for client in &mut clients {
        let status = client.read().expect("the proxy responds").status();
        assert!([502, 503, 504].contains(&status), "{status}");
        rejected += usize::from(status == 503);
    }
    assert!(rejected > 0);
    endpoint.set_behavior(respond_ok("yes"));
    drop(clients);
    wait_until("the proxy serves again", || {
        proxy
            .client()
            .exchange(&request("GET", "/look", 9000, ""))
            .is_some_and(|response| response.status() == 200)
    });
}

#[test]
fn silent_connections_are_closed_and_take_no_capacity() {
    let endpoint = ScriptedEndpoint::start(respond_ok("yes"));
    let (_discovery, _controller, mut setup) = proxy_setup(&[endpoint.address]);
    setup.descriptor_limit = 64;
    let proxy = RunningProxy::start(&setup);
    let mut silent_clients: Vec<TestClient> = (0..80).map(|_| proxy.client()).collect();
    for _ in 0..5 {
        assert_eq!(proxy.client().get().status(), 200);
    }
    assert!(
        silent_clients.iter_mut().all(TestClient::is_closed),
        "a silent connection is still open or got a response"
    );
}

#[test]
fn idle_clients_fill_at_most_half_of_the_capacity() {
    let endpoint = ScriptedEndpoint::start(respond_ok("yes"));
    let (_discovery, _controller, mut setup) = proxy_setup(&[endpoint.address]);
    setup.descriptor_limit = 64;
    let proxy = RunningProxy::start(&setup);
    let (mut idle_clients, mut closed) = (Vec::new(), 0);
    for _ in 0..60 {
        let mut client = proxy.client();
        let response = client.get();
        assert_eq!(response.status(), 200);
        closed += usize::from(response.header("connection") == Some("close"));
        idle_clients.push(client);
    }
    assert!((30..60).contains(&closed), "{closed} of 60 connections were closed with the response");
    proxy.signal("USR1");
    wait_until("the counters are logged", || proxy.log().contains("counters"));
    assert!(proxy.log().contains(" accepts_paused=0 "), "the proxy paused accepting");
    assert!(idle_clients.iter_mut().all(TestClient::is_closed), "an idle connection was not closed");
}

/// Guards against requests that get 503 because silent clients keep their descriptors: 31 clients are as many as
/// the proxy accepts with 64 descriptors, and the rest is too few for 15 connections to the endpoint.
#[test]
fn silent_clients_are_evicted_for_upstream_connections() {
    let endpoint = ScriptedEndpoint::start(EndpointBehavior::WaitForRelease);
    let (_discovery, _controller, mut setup) = proxy_setup(&[endpoint.address]);
    setup.descriptor_limit = 64;
    let proxy = RunningProxy::start(&setup);
    let _silent_clients: Vec<TestClient> = (0..31).map(|_| proxy.client()).collect();
    std::thread::sleep(SILENT_CLIENT_AGE);
    let mut active_clients: Vec<TestClient> = (0..15).map(|_| proxy.client()).collect();
    for client in &mut active_clients {
        client.send(&request("GET", "/look", 25_000, ""));
    }
    wait_until("all requests reach the endpoint", || endpoint.requests().len() == 15);
    endpoint.release();
    assert!(
        active_clients
            .iter_mut()
            .all(|client| client.read().is_some_and(|response| response.status() == 200))
    );
}

/// Guards against clients that stop in the middle of a request: 60 of them took all places until their requests timed
/// out after 2.5 s, and usual clients were not accepted before.
#[test]
fn clients_with_half_a_request_do_not_keep_others_waiting() {
    let endpoint = ScriptedEndpoint::start(respond_ok("yes"));
    let (_discovery, _controller, mut setup) = proxy_setup(&[endpoint.address]);
    setup.descriptor_limit = 64;
    let proxy = RunningProxy::start(&setup);
    let mut stopped_clients: Vec<TestClient> = (0..60).map(|_| proxy.client()).collect();
    for client in &mut stopped_clients {
        client.send("GET /look HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: ");
    }
    for _ in 0..5 {
        let sent_at = Instant::now();
        let response = proxy.client().exchange(&request("GET", "/look", 1000, ""));
        assert_eq!(response.expect("the proxy responds").status(), 200);
        assert!(sent_at.elapsed() < LOST_AFTER, "answered after {:?}", sent_at.elapsed());
    }
    for client in &mut stopped_clients {
        assert!(client.read().is_some_and(|response| [503, 408].contains(&response.status())));
    }
}

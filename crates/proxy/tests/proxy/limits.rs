//! Descriptors and other limits.

use garnetcrank_test_support::scripted_servers::{
    EndpointBehavior, RunningProxy, ScriptedEndpoint, TestClient, request, wait_until,
};

use crate::common::{ok, proxy_setup};

#[test]
fn without_free_descriptors_it_rejects_and_goes_on() {
    let endpoint = ScriptedEndpoint::start(EndpointBehavior::WaitForRelease);
    let (_discovery, _controller, mut setup) = proxy_setup(&[endpoint.address]);
    setup.sockets = 64;
    let proxy = RunningProxy::start(&setup);
    let mut clients: Vec<TestClient> = (0..120).map(|_| proxy.client()).collect();
    for client in &mut clients {
        client.send(&request("GET", "/look", 1500, ""));
    }
    // Every one of them gets a final response, though only few can be held at once.
    let mut refused = 0;
    for client in &mut clients {
        let status = client.read().expect("an answer").status();
        assert!([502, 503, 504].contains(&status), "{status}");
        refused += usize::from(status == 503);
    }
    assert!(refused > 0);
    endpoint.set_behavior(ok("yes"));
    drop(clients);
    wait_until("it serves again", || {
        proxy.client().exchange(&request("GET", "/look", 9000, "")).is_some_and(|a| a.status() == 200)
    });
}

#[test]
fn silent_connections_are_closed_and_take_no_capacity() {
    let endpoint = ScriptedEndpoint::start(ok("yes"));
    let (_discovery, _controller, mut setup) = proxy_setup(&[endpoint.address]);
    setup.sockets = 64;
    let proxy = RunningProxy::start(&setup);
    let mut crowd: Vec<TestClient> = (0..80).map(|_| proxy.client()).collect();
    for _ in 0..5 {
        assert_eq!(proxy.client().get().status(), 200);
    }
    assert!(crowd.iter_mut().all(TestClient::is_closed), "a silent client was answered");
}

#[test]
fn idle_clients_fill_at_most_half_of_the_capacity() {
    let endpoint = ScriptedEndpoint::start(ok("yes"));
    let (_discovery, _controller, mut setup) = proxy_setup(&[endpoint.address]);
    setup.sockets = 64;
    let proxy = RunningProxy::start(&setup);
    let (mut staying, mut closed) = (Vec::new(), 0);
    for _ in 0..60 {
        let mut client = proxy.client();
        let answer = client.get();
        assert_eq!(answer.status(), 200);
        closed += usize::from(answer.header("connection") == Some("close"));
        staying.push(client);
    }
    assert!((30..60).contains(&closed), "{closed} of 60 connections were closed with the answer");
    proxy.signal("USR1");
    wait_until("the counters", || proxy.log().contains("counters"));
    assert!(proxy.log().contains(" accepts_paused=0 "), "clients had to wait");
    assert!(staying.iter_mut().all(TestClient::is_closed), "idle connections end by themselves");
}

#[test]
fn silent_clients_are_evicted_for_upstream_connections() {
    let endpoint = ScriptedEndpoint::start(EndpointBehavior::WaitForRelease);
    let (_discovery, _controller, mut setup) = proxy_setup(&[endpoint.address]);
    setup.sockets = 64;
    let proxy = RunningProxy::start(&setup);
    let _crowd: Vec<TestClient> = (0..31).map(|_| proxy.client()).collect();
    let mut usual: Vec<TestClient> = (0..15).map(|_| proxy.client()).collect();
    for client in &mut usual {
        client.send(&request("GET", "/look", 25_000, ""));
    }
    wait_until("all requests at the machine", || endpoint.requests().len() == 15);
    endpoint.release();
    assert!(usual.iter_mut().all(|c| c.read().is_some_and(|a| a.status() == 200)));
}

//! Streamed responses.

use garnetcrank_test_support::scripted_servers::{EndpointBehavior, RunningProxy, ScriptedEndpoint, request};

use crate::common::proxy_setup;

#[test]
fn a_streamed_response_is_forwarded_as_it_arrives() {
    let endpoint =
        ScriptedEndpoint::start(EndpointBehavior::Stream { parts: vec!["one", "two"], complete: true });
    let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
    let proxy = RunningProxy::start(&setup);
    let mut client = proxy.client();
    client.send(&request("GET", "/tail", 5000, ""));
    endpoint.release();
    let mut seen = Vec::new();
    while !seen.windows(3).any(|w| w == b"one") {
        let part = client.read_at_most(1000);
        assert!(!part.is_empty(), "ended early");
        seen.extend(part);
    }
    assert!(!seen.windows(3).any(|w| w == b"two"), "held back until whole");
    endpoint.release();
    endpoint.release();
    while !seen.ends_with(b"0\r\n\r\n") {
        let part = client.read_at_most(1000);
        assert!(!part.is_empty(), "ended early");
        seen.extend(part);
    }
}

#[test]
fn a_broken_stream_is_seen_to_be_incomplete() {
    let endpoint = ScriptedEndpoint::start(EndpointBehavior::Stream { parts: vec!["one"], complete: false });
    let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
    let proxy = RunningProxy::start(&setup);
    let mut client = proxy.client();
    client.send(&request("GET", "/tail", 5000, ""));
    endpoint.release();
    endpoint.release();
    assert!(client.read().is_none(), "it looked whole");
}

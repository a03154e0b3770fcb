//! Streamed responses.

use garnetcrank_test_support::scripted_servers::{EndpointBehavior, RunningProxy, ScriptedEndpoint, request};

use crate::common::proxy_setup;

#[test]
fn a_streamed_response_is_forwarded_as_it_arrives() {
    let endpoint =
        ScriptedEndpoint::start(EndpointBehavior::Stream { chunks: vec!["one", "two"], complete: true });
    let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
    let proxy = RunningProxy::start(&setup);
    let mut client = proxy.client();
    client.send(&request("GET", "/tail", 5000, ""));
    endpoint.release();
    let mut received = Vec::new();
    while !received.windows(3).any(|window| window == b"one") {
        let bytes = client.read_at_most(1000);
        assert!(!bytes.is_empty(), "the stream ended early");
        received.extend(bytes);
    }
    assert!(
        !received.windows(3).any(|window| window == b"two"),
        "the first chunk was held back until the second"
    );
    endpoint.release();
    endpoint.release();
    while !received.ends_with(b"0\r\n\r\n") {
        let bytes = client.read_at_most(1000);
        assert!(!bytes.is_empty(), "the stream ended early");
        received.extend(bytes);
    }
}

#[test]
fn a_broken_stream_reaches_the_client_as_incomplete() {
    let endpoint = ScriptedEndpoint::start(EndpointBehavior::Stream { chunks: vec!["one"], complete: false });
    let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
    let proxy = RunningProxy::start(&setup);
    let mut client = proxy.client();
    client.send(&request("GET", "/tail", 5000, ""));
    endpoint.release();
    endpoint.release();
    assert!(client.read().is_none(), "the broken stream looked complete");
}

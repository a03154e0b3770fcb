//! Streamed responses.

use garnetcrank_test_support::scripted_servers::{EndpointBehavior, RunningProxy, ScriptedEndpoint, request};

use crate::common::proxy_setup;
use crate::stream_client::{CHUNK_BYTES, LAST_CHUNK, read_stream_slowly, read_until};

#[test]
fn a_streamed_response_is_forwarded_as_it_arrives() {
    let endpoint =
        ScriptedEndpoint::start(EndpointBehavior::Stream { chunks: vec!["one", "two"], complete: true });
    let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
    let proxy = RunningProxy::start(&setup);
    let mut client = proxy.client();
    client.send(&request("GET", "/tail", 5000, ""));
    endpoint.release();
    let received = read_until(&mut client, "one");
    assert!(
        !received.windows(3).any(|window| window == b"two"),
        "the first chunk was held back until the second"
    );
    endpoint.release();
    endpoint.release();
    assert!(read_until(&mut client, LAST_CHUNK).ends_with(LAST_CHUNK.as_bytes()));
}

/// Guards against a long stream that breaks off for a slow client: the parts that were read in one turn of the event
/// loop overflowed the client's output buffer before reading was paused.
#[test]
fn a_long_stream_reaches_a_client_that_reads_slowly() {
    const CHUNKS: usize = 200;
    let chunk = format!("{CHUNK_BYTES:x}\r\n{}\r\n", "x".repeat(CHUNK_BYTES));
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let response = format!("{head}{}0\r\n\r\n", chunk.repeat(CHUNKS));
    let endpoint = ScriptedEndpoint::start(EndpointBehavior::SendRaw(response.into_bytes()));
    let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
    let proxy = RunningProxy::start(&setup);
    let mut client = proxy.client();
    client.send(&request("GET", "/tail", 25_000, ""));
    assert_eq!(read_stream_slowly(&mut client), (CHUNK_BYTES * CHUNKS, true));
}

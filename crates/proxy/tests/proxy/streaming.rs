//! Streamed responses.

use std::time::Duration;

use garnetcrank_test_support::scripted_servers::{
    ConnectionEnd, EndpointBehavior, RunningProxy, ScriptedEndpoint, TestClient, request,
};

use crate::common::proxy_setup;

/// Head of a response that the end of the connection delimits.
const HEAD_WITHOUT_LENGTH: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

/// Size of the parts of a long stream, in bytes.
const CHUNK_BYTES: usize = 64 * 1024;

/// Reads the bytes that arrive up to the first occurrence of `text`, and possibly more.
fn read_until(client: &mut TestClient, text: &str) -> Vec<u8> {
    let mut received = Vec::new();
    while !received.windows(text.len()).any(|window| window == text.as_bytes()) {
        let bytes = client.read_at_most(1000);
        assert!(!bytes.is_empty(), "the stream ended before {text:?}");
        received.extend(bytes);
    }
    received
}

/// Reads all bytes up to the end of the connection.
fn read_to_end(client: &mut TestClient) -> Vec<u8> {
    let mut received = Vec::new();
    loop {
        let bytes = client.read_at_most(1000);
        if bytes.is_empty() {
            return received;
        }
        received.extend(bytes);
    }
}

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
    read_until(&mut client, "0\r\n\r\n");
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

/// Guards against a reset that is taken for the orderly end of a response that the end of the connection delimits: the
/// client got the part before it as a complete response.
#[test]
fn a_stream_without_length_that_is_reset_reaches_the_client_as_incomplete() {
    let parts = vec![HEAD_WITHOUT_LENGTH.into(), b"one".to_vec()];
    let endpoint = ScriptedEndpoint::start(EndpointBehavior::SendParts { parts, end: ConnectionEnd::Reset });
    let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
    let proxy = RunningProxy::start(&setup);
    let mut client = proxy.client();
    client.send(&request("GET", "/tail", 5000, ""));
    endpoint.release();
    endpoint.release();
    read_until(&mut client, "one");
    endpoint.release();
    let rest = read_to_end(&mut client);
    assert_eq!(String::from_utf8_lossy(rest.trim_ascii()), "", "the reset stream looked complete");
}

/// Guards against an orderly close that is taken for the loss of the connection.
#[test]
fn a_stream_without_length_that_is_closed_reaches_the_client_as_complete() {
    let parts = vec![HEAD_WITHOUT_LENGTH.into(), b"one".to_vec(), b"two".to_vec()];
    let endpoint = ScriptedEndpoint::start(EndpointBehavior::SendParts { parts, end: ConnectionEnd::Close });
    let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
    let proxy = RunningProxy::start(&setup);
    let mut client = proxy.client();
    client.send(&request("GET", "/tail", 5000, ""));
    (0..4).for_each(|_| endpoint.release());
    let response = client.read().expect("the response is complete");
    assert_eq!((response.status(), response.body), (200, b"onetwo".to_vec()));
}

/// Reads a chunked response of `x`s slowly, up to its last chunk or the end of the connection. Returns the size of its
/// body, in bytes, and whether the last chunk has arrived.
fn read_stream_slowly(client: &mut TestClient) -> (usize, bool) {
    const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
    let (mut body_bytes, mut end) = (0, Vec::new());
    loop {
        let bytes = client.read_at_most(CHUNK_BYTES);
        body_bytes += bytes.iter().filter(|byte| **byte == b'x').count();
        end.extend_from_slice(&bytes);
        end.drain(..end.len().saturating_sub(LAST_CHUNK.len()));
        let is_complete = end == LAST_CHUNK;
        if is_complete || bytes.is_empty() {
            return (body_bytes, is_complete);
        }
        std::thread::sleep(Duration::from_millis(5));
    }
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

/// Guards against the end of a connection that is handled before the bytes that wait for a slow client.
#[test]
fn a_slow_client_gets_all_of_a_long_stream_before_a_close_and_no_last_chunk_after_a_reset() {
    const BODY_BYTES: usize = 40 * CHUNK_BYTES;
    for (end, is_complete) in [(ConnectionEnd::Close, true), (ConnectionEnd::Reset, false)] {
        let parts = vec![HEAD_WITHOUT_LENGTH.into(), vec![b'x'; BODY_BYTES]];
        let endpoint = ScriptedEndpoint::start(EndpointBehavior::SendParts { parts, end });
        let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
        let proxy = RunningProxy::start(&setup);
        let mut client = proxy.client();
        client.send(&request("GET", "/tail", 25_000, ""));
        (0..3).for_each(|_| endpoint.release());
        let (body_bytes, has_last_chunk) = read_stream_slowly(&mut client);
        assert_eq!(has_last_chunk, is_complete, "{end:?} after {body_bytes} bytes");
        assert!(body_bytes == BODY_BYTES || !is_complete, "{body_bytes} bytes before the last chunk");
    }
}

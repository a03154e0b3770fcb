//! The ways in which a streamed response ends. Its client gets the last chunk only after all of its bytes.

use std::time::Duration;

use garnetcrank_test_support::scripted_servers::{
    ConnectionEnd, EndpointBehavior, RunningProxy, ScriptedEndpoint, ScriptedStream, TestClient,
    endpoint_json, endpoint_list_json, request, wait_until,
};

use crate::common::{proxy_setup, respond_ok};
use crate::stream_client::{CHUNK_BYTES, LAST_CHUNK, read_stream_slowly, read_until};

/// Head of a response that the end of the connection delimits.
const HEAD_WITHOUT_LENGTH: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

/// Time between two requests for the proxy's counters.
const COUNTERS_INTERVAL: Duration = Duration::from_millis(100);

/// A proxy, and a client that has requested a streamed response from its endpoint.
struct Fixture {
    endpoint: ScriptedEndpoint,
    discovery: ScriptedStream,
    _controller: ScriptedStream,
    proxy: RunningProxy,
    client: TestClient,
}

impl Fixture {
    fn new(behavior: EndpointBehavior) -> Fixture {
        let endpoint = ScriptedEndpoint::start(behavior);
        let (discovery, controller, setup) = proxy_setup(&[endpoint.address]);
        let proxy = RunningProxy::start(&setup);
        let mut client = proxy.client();
        client.send(&request("GET", "/tail", 25_000, ""));
        Fixture { endpoint, discovery, _controller: controller, proxy, client }
    }

    /// Starts a response without a length, of which the head and the first part are sent.
    fn after_first_part(parts: &[&str], end: ConnectionEnd) -> Fixture {
        let mut fixture = Fixture::new(response_without_length(parts, end));
        fixture.release(2);
        read_until(&mut fixture.client, parts[0]);
        fixture
    }

    /// Lets the endpoint take some more steps of its response.
    fn release(&self, steps: usize) {
        (0..steps).for_each(|_| self.endpoint.release());
    }

    /// Waits until the proxy logs a counter with this value.
    fn wait_for_counter(&self, counter: &str) {
        wait_until(counter, || {
            self.proxy.signal("USR1");
            std::thread::sleep(COUNTERS_INTERVAL);
            let log = self.proxy.log();
            let counters = log.lines().rfind(|line| line.contains("counters requests="));
            counters.is_some_and(|line| line.split(' ').any(|pair| pair == counter))
        });
    }

    /// Asserts that the client's connection ends without the last chunk of the response.
    fn assert_cut_off(&mut self) {
        assert!(!read_stream_slowly(&mut self.client).1, "a response that was cut off looks complete");
    }
}

fn response_without_length(parts: &[&str], end: ConnectionEnd) -> EndpointBehavior {
    let head = std::iter::once(&HEAD_WITHOUT_LENGTH);
    let parts = head.chain(parts).map(|part| part.as_bytes().to_vec()).collect();
    EndpointBehavior::SendParts { parts, end }
}

#[test]
fn a_broken_stream_reaches_the_client_as_incomplete() {
    let mut fixture = Fixture::new(EndpointBehavior::Stream { chunks: vec!["one"], complete: false });
    fixture.release(2);
    assert!(fixture.client.read().is_none(), "the broken stream looked complete");
}

/// Guards against a reset that is taken for the orderly end of a response that the end of the connection delimits: the
/// client got the part before it as a complete response.
#[test]
fn a_stream_without_length_that_is_reset_reaches_the_client_as_incomplete() {
    let mut fixture = Fixture::after_first_part(&["one"], ConnectionEnd::Reset);
    fixture.release(1);
    fixture.assert_cut_off();
    let reason = "reason=connection lost: connection reset";
    wait_until("the reason is logged", || {
        let log = fixture.proxy.log();
        log.lines().any(|line| line.contains("streamed response cut off") && line.contains(reason))
    });
}

/// Guards against an orderly close that is taken for the loss of the connection.
#[test]
fn a_stream_without_length_that_is_closed_reaches_the_client_as_complete() {
    let mut fixture = Fixture::new(response_without_length(&["one", "two"], ConnectionEnd::Close));
    fixture.release(4);
    let response = fixture.client.read().expect("the response is complete");
    assert_eq!((response.status(), response.body), (200, b"onetwo".to_vec()));
}

/// Guards against the end of a connection that is handled before the bytes that wait for a slow client.
#[test]
fn a_slow_client_gets_all_of_a_long_stream_before_a_close_and_no_last_chunk_after_a_reset() {
    const BODY_BYTES: usize = 40 * CHUNK_BYTES;
    let body = "x".repeat(BODY_BYTES);
    for (end, is_complete) in [(ConnectionEnd::Close, true), (ConnectionEnd::Reset, false)] {
        let mut fixture = Fixture::new(response_without_length(&[&body], end));
        fixture.release(3);
        let (body_bytes, has_last_chunk) = read_stream_slowly(&mut fixture.client);
        assert_eq!(has_last_chunk, is_complete, "{end:?} after {body_bytes} bytes");
        assert!(body_bytes == BODY_BYTES || !is_complete, "{body_bytes} bytes before the last chunk");
    }
}

/// Guards against a client that stops reading and gets the end of a response without its middle.
#[test]
fn a_client_that_stops_reading_a_stream_gets_no_last_chunk() {
    const BODY_BYTES: usize = 400 * CHUNK_BYTES;
    let body = "x".repeat(BODY_BYTES);
    let mut fixture = Fixture::new(response_without_length(&[&body], ConnectionEnd::Close));
    fixture.release(3);
    fixture.wait_for_counter("left=1");
    fixture.assert_cut_off();
}

/// Guards against an attempt that stays open for a client that has left in the middle of its response.
#[test]
fn a_client_that_leaves_a_stream_ends_its_attempt() {
    let mut fixture = Fixture::after_first_part(&["one"], ConnectionEnd::Close);
    fixture.client = fixture.proxy.client();
    fixture.wait_for_counter("left=1");
    fixture.wait_for_counter("withdrawn=1");
}

/// Guards against a stream that is ended because its endpoint is taken from the list.
#[test]
fn a_stream_goes_on_after_its_endpoint_has_been_removed() {
    let mut fixture = Fixture::after_first_part(&["one", "two"], ConnectionEnd::Close);
    let other = ScriptedEndpoint::start(respond_ok("other"));
    let delta = [
        endpoint_json("s-0", fixture.endpoint.address, 4, "Gone"),
        endpoint_json("s-9", other.address, 4, "Ready"),
    ];
    fixture.discovery.publish(&endpoint_list_json(2, false, &delta), &endpoint_list_json(2, true, &delta));
    let mut other_client = fixture.proxy.client();
    wait_until("responses from the other endpoint", || other_client.get().body == b"other");
    fixture.release(2);
    let rest = read_until(&mut fixture.client, LAST_CHUNK);
    assert!(String::from_utf8_lossy(&rest).contains("two"));
}

/// Guards against a response that the end of the process completes.
#[test]
fn a_stream_that_outlasts_the_shutdown_is_cut_off() {
    let mut fixture = Fixture::after_first_part(&["one"], ConnectionEnd::Close);
    fixture.proxy.signal("TERM");
    fixture.assert_cut_off();
    assert!(fixture.proxy.wait_for_exit().success());
}

//! What clients make the proxy hold stays within its memory limit.

use std::time::Duration;

use garnetcrank_test_support::load_generator::anonymous_memory_kib;
use garnetcrank_test_support::scripted_servers::{EndpointBehavior, RunningProxy, ScriptedEndpoint, request};

use crate::common::{proxy_setup, respond_ok};

/// Lower than what [`LARGE_CLIENTS`] messages of the largest size take.
const MEMORY_LIMIT_MIB: u64 = 16;
const LARGE_CLIENTS: usize = 300;
const MAX_BODY_BYTES: usize = 64 * 1024;

fn assert_within_limit(proxy: &RunningProxy) {
    let memory_kib = anonymous_memory_kib(proxy.process_id());
    assert!(memory_kib <= MEMORY_LIMIT_MIB * 1024, "{memory_kib} KiB of {MEMORY_LIMIT_MIB} MiB");
}

/// Starts a proxy and [`LARGE_CLIENTS`] clients that send `text` and wait. Usual clients are served meanwhile, and the
/// others get an error.
fn assert_memory_is_bounded(text: impl Fn() -> String) {
    let endpoint = ScriptedEndpoint::start(respond_ok("yes"));
    let (_discovery, _controller, mut setup) = proxy_setup(&[endpoint.address]);
    setup.memory_mb = MEMORY_LIMIT_MIB;
    let proxy = RunningProxy::start(&setup);
    let mut usual_client = proxy.client();
    let mut large_clients = Vec::new();
    for _ in 0..LARGE_CLIENTS {
        let mut client = proxy.client();
        client.send(&text());
        large_clients.push(client);
        assert_eq!(usual_client.get().status(), 200);
        assert_within_limit(&proxy);
    }
    for client in &mut large_clients {
        let response = client.read().expect("the proxy responds");
        assert!([503, 408].contains(&response.status()), "{response:?}");
        assert_within_limit(&proxy);
    }
    let large_request = request("POST", "/book", 9000, &"x".repeat(MAX_BODY_BYTES));
    assert_eq!(usual_client.exchange(&large_request).expect("the proxy responds").status(), 200);
}

/// Guards against clients that stop near the end of a large body: its bytes counted nowhere, and took the proxy over its
/// memory limit.
#[test]
fn incomplete_bodies_stay_within_the_memory_limit() {
    assert_memory_is_bounded(|| {
        let complete = request("POST", "/book", 9000, &"x".repeat(MAX_BODY_BYTES));
        complete[..complete.len() - 1].to_owned()
    });
}

/// Guards against the same by chunks, whose total size is not known before the last one.
#[test]
fn incomplete_chunked_bodies_stay_within_the_memory_limit() {
    assert_memory_is_bounded(|| {
        let head =
            request("POST", "/book", 9000, "").replace("Content-Length: 0", "Transfer-Encoding: chunked");
        let chunk = format!("1000\r\n{}\r\n", "x".repeat(0x1000));
        format!("{head}{}", chunk.repeat(MAX_BODY_BYTES / 0x1000))
    });
}

/// Guards against connections that are closed without a response, as what lies behind their requests takes memory.
#[test]
fn requests_in_flight_are_answered_although_much_is_sent_behind_them() {
    let endpoint = ScriptedEndpoint::start(EndpointBehavior::WaitForRelease);
    let (_discovery, _controller, mut setup) = proxy_setup(&[endpoint.address]);
    setup.memory_mb = MEMORY_LIMIT_MIB;
    let proxy = RunningProxy::start(&setup);
    let behind: String = (0..LARGE_CLIENTS).map(|_| request("GET", "/look", 9000, "")).collect();
    let mut clients = Vec::new();
    for _ in 0..LARGE_CLIENTS {
        let mut client = proxy.client();
        client.send(&request("POST", "/pay", 9000, "x"));
        clients.push(client);
    }
    for client in &mut clients {
        client.send_without_waiting(&behind);
        assert_within_limit(&proxy);
    }
    std::thread::sleep(Duration::from_millis(200));
    endpoint.set_behavior(respond_ok("yes"));
    endpoint.release();
    for client in &mut clients {
        let response = client.read().expect("a response to the first request");
        assert!([200, 502, 503].contains(&response.status()), "{response:?}");
        assert_within_limit(&proxy);
    }
}

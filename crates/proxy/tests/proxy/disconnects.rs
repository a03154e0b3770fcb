//! Clients that disconnect before they have their response.

use std::net::TcpStream;
use std::time::Duration;

use garnetcrank_test_support::full_backlog::FullBacklog;
use garnetcrank_test_support::scripted_servers::{
    EndpointBehavior, RunningProxy, ScriptedEndpoint, TestClient, request, request_id, wait_until,
};

use crate::common::{proxy_setup, respond_ok};

/// Longer than the time after a client's disconnect in which an attempt may still begin.
const DISCONNECT_GRACE: Duration = Duration::from_millis(150);
/// Time in which attempts that must not begin would begin.
const OBSERVATION_TIME: Duration = Duration::from_millis(500);

/// Has a client disconnect with `behind` sent after its request, and then lets the attempt end as not started.
fn assert_no_attempt_after_disconnect(behind: &str) {
    let endpoint = ScriptedEndpoint::start(EndpointBehavior::RejectAfterRelease);
    let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
    let proxy = RunningProxy::start(&setup);
    let mut client = proxy.client();
    client.send(&request("GET", "/look", 9000, ""));
    wait_until("the request reaches the endpoint", || endpoint.requests().len() == 1);
    let sent = client.send_without_waiting(behind);
    drop(client);
    std::thread::sleep(DISCONNECT_GRACE);
    endpoint.release();
    std::thread::sleep(OBSERVATION_TIME);
    assert_eq!(endpoint.requests().len(), 1, "with {sent} bytes behind the request");
}

#[test]
fn no_attempt_begins_for_a_client_that_left_unread_input_behind() {
    let requests = |count| (0..count).map(|_| request("GET", "/look", 9000, "")).collect::<String>();
    let large = request("POST", "/book", 9000, &"x".repeat(64 * 1024));
    for behind in [&requests(10), &requests(300), &requests(30_000)] {
        assert_no_attempt_after_disconnect(behind);
    }
    for sent in [1_000, 33_000, 60_000] {
        assert_no_attempt_after_disconnect(&large[..sent]);
    }
}

#[test]
fn a_non_idempotent_request_sent_again_after_its_client_left_runs_once() {
    for pause in [Duration::from_millis(20), Duration::from_millis(300)] {
        let endpoint = ScriptedEndpoint::start(EndpointBehavior::WaitForRelease);
        let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
        let proxy = RunningProxy::start(&setup);
        let order = request("POST", "/pay", 9000, "x");
        let mut first = proxy.client();
        first.send(&order);
        wait_until("the order reaches the endpoint", || endpoint.requests().len() == 1);
        drop(first);
        std::thread::sleep(pause);
        endpoint.set_behavior(respond_ok("yes"));
        let response = proxy.client().exchange(&order).expect("the proxy responds");
        assert_eq!((response.status(), endpoint.requests().len()), (409, 1), "after {pause:?}");
    }
}

/// Longer than the system takes to try a connection again that a full backlog has dropped.
const CONNECT_RETRY_TIME: Duration = Duration::from_millis(2_500);

#[test]
fn an_attempt_that_waits_for_its_connection_is_not_sent_once_its_client_left() {
    let endpoint = FullBacklog::start();
    let (_discovery, _controller, mut setup) = proxy_setup(&[endpoint.address]);
    setup.settings["limits"]["connectTimeout"] = 9_000.0.into();
    let proxy = RunningProxy::start(&setup);
    let mut client = proxy.client();
    let waiting_request = request("GET", "/look", 9000, "");
    client.send(&waiting_request);
    let behind: String = (0..30_000).map(|_| request("GET", "/look", 9000, "")).collect();
    client.send_without_waiting(&behind);
    std::thread::sleep(DISCONNECT_GRACE);
    drop(client);
    let received = endpoint.accept_and_receive(CONNECT_RETRY_TIME);
    assert!(received.is_empty(), "{}", String::from_utf8_lossy(&received));
    let expected = format!("request_id=\"{}\"", request_id(&waiting_request));
    let log = proxy.log();
    assert!(log.lines().any(|line| line.contains("attempt withheld") && line.contains(&expected)), "{log}");
}

#[test]
fn every_request_behind_another_is_answered_however_many_there_are() {
    const REQUESTS: usize = 2_000;
    let endpoint = ScriptedEndpoint::start(respond_ok("yes"));
    let (_discovery, _controller, setup) = proxy_setup(&[endpoint.address]);
    let proxy = RunningProxy::start(&setup);
    let stream = TcpStream::connect(proxy.address).expect("the proxy accepts a connection");
    let mut client = TestClient::new(stream.try_clone().expect("the stream is cloned"));
    let mut sender = TestClient::new(stream);
    let requests: String = (0..REQUESTS).map(|_| request("GET", "/look", 9000, "")).collect();
    let statuses: Vec<u16> = std::thread::scope(|threads| {
        threads.spawn(|| sender.send(&requests));
        (0..REQUESTS).map(|_| client.read().expect("the proxy responds").status()).collect()
    });
    assert!(statuses.iter().all(|status| [200, 503].contains(status)), "{statuses:?}");
    assert_eq!(statuses.last(), Some(&200), "little is behind the last request");
}

//! Clients that disconnect before they have their response.

use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use garnetcrank_test_support::scripted_servers::{
    EndpointBehavior, RunningProxy, ScriptedEndpoint, TestClient, request, request_id, wait_until,
};

use socket2::{Domain, Socket, Type};

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

/// Number of connections that fill the backlog of a listener of length 0.
const BACKLOG_FILLERS: usize = 2;
/// Longer than the system takes to try a connection again that a full backlog has dropped.
const CONNECT_RETRY_TIME: Duration = Duration::from_millis(2_500);

/// Returns a listener whose backlog is full, so that further connections come up only once it accepts.
fn listener_with_full_backlog() -> (TcpListener, Vec<TcpStream>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket is created");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a loopback port is free");
    socket.listen(0).expect("the socket listens");
    let listener: TcpListener = socket.into();
    let address = listener.local_addr().expect("the listener has an address");
    let connect = |_| {
        let filler = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket is created");
        filler.set_nonblocking(true).expect("the mode is set");
        // The connection is under way afterwards, or waits for the backlog.
        let _ = filler.connect(&address.into());
        filler.into()
    };
    let fillers = (0..BACKLOG_FILLERS).map(connect).collect();
    (listener, fillers)
}

/// Accepts connections for a while and returns the bytes that arrive on them.
fn receive_bytes(listener: &TcpListener, duration: Duration) -> Vec<u8> {
    listener.set_nonblocking(true).expect("the mode is set");
    let until = Instant::now() + duration;
    let (mut streams, mut received, mut buffer) = (Vec::new(), Vec::new(), [0; 4096]);
    while Instant::now() < until {
        if let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(true).expect("the mode is set");
            streams.push(stream);
        }
        for stream in &mut streams {
            let read = stream.read(&mut buffer).unwrap_or(0);
            received.extend_from_slice(&buffer[..read]);
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    received
}

#[test]
fn an_attempt_that_waits_for_its_connection_is_not_sent_once_its_client_left() {
    let (listener, fillers) = listener_with_full_backlog();
    let address = listener.local_addr().expect("the listener has an address");
    let (_discovery, _controller, mut setup) = proxy_setup(&[address]);
    setup.settings["limits"]["connectTimeout"] = 9_000.0.into();
    let proxy = RunningProxy::start(&setup);
    let mut client = proxy.client();
    let waiting_request = request("GET", "/look", 9000, "");
    client.send(&waiting_request);
    let behind: String = (0..30_000).map(|_| request("GET", "/look", 9000, "")).collect();
    client.send_without_waiting(&behind);
    std::thread::sleep(DISCONNECT_GRACE);
    drop(client);
    drop(fillers);
    let received = receive_bytes(&listener, CONNECT_RETRY_TIME);
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

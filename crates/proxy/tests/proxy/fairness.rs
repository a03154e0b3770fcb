//! Clients and endpoints that keep the proxy busy do not keep it from serving others.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use garnetcrank_test_support::scripted_servers::{RunningProxy, request, wait_until};

use crate::common::proxy_setup;

/// Time after which a response to a request of 1 s counts as lost.
const LOST_AFTER: Duration = Duration::from_millis(1_500);
const FLOOD_DURATION: Duration = Duration::from_secs(5);
/// Enough clients for each to have sent more by the time the proxy has answered the others.
const FLOODING_CLIENTS: usize = 150;
const REQUESTS_AT_ONCE: usize = 300;
const REJECTED: &[u8] = b"HTTP/1.1 503";

fn requests(count: usize) -> String {
    (0..count).map(|_| request("GET", "/look", 1000, "")).collect()
}

/// Has [`REQUESTS_AT_ONCE`] requests open until `stop` is set or [`FLOOD_DURATION`] is over, and sends another for
/// each that is rejected.
fn flood(proxy: SocketAddr, stop: &AtomicBool) {
    let until = Instant::now() + FLOOD_DURATION;
    let mut stream = TcpStream::connect(proxy).expect("the proxy accepts a connection");
    stream.set_read_timeout(Some(FLOOD_DURATION)).expect("the read timeout is set");
    stream.write_all(requests(REQUESTS_AT_ONCE).as_bytes()).expect("the proxy reads");
    let mut buffer = vec![0; 64 * 1024];
    let mut unread = Vec::new();
    while Instant::now() < until && !stop.load(Ordering::Relaxed) {
        let read = stream.read(&mut buffer).expect("the proxy responds");
        unread.extend_from_slice(&buffer[..read]);
        let rejected = unread.windows(REJECTED.len()).filter(|bytes| *bytes == REJECTED).count();
        stream.write_all(requests(rejected).as_bytes()).expect("the proxy reads");
        // A status line that has arrived in part is counted with its rest.
        unread.drain(..unread.len().saturating_sub(REJECTED.len() - 1));
    }
}

/// Guards against clients that have always sent their next request and keep the proxy in one turn of its event
/// loop, in which no other client is read and no signal is taken.
#[test]
fn clients_that_never_pause_do_not_delay_other_clients_and_signals() {
    // Without an endpoint, the proxy rejects all requests at once.
    let (_discovery, _controller, setup) = proxy_setup(&[]);
    let proxy = RunningProxy::start(&setup);
    let mut usual_client = proxy.client();
    let stop = AtomicBool::new(false);
    std::thread::scope(|threads| {
        for _ in 0..FLOODING_CLIENTS {
            threads.spawn(|| flood(proxy.address, &stop));
        }
        std::thread::sleep(Duration::from_millis(500));
        let sent_at = Instant::now();
        let response = usual_client.exchange(&request("GET", "/look", 1000, ""));
        assert_eq!(response.expect("the proxy responds").status(), 503);
        assert!(sent_at.elapsed() < LOST_AFTER, "answered after {:?}", sent_at.elapsed());
        let signalled_at = Instant::now();
        proxy.signal("USR1");
        wait_until("the counters are logged", || proxy.log().contains("counters "));
        assert!(signalled_at.elapsed() < LOST_AFTER, "logged after {:?}", signalled_at.elapsed());
        stop.store(true, Ordering::Relaxed);
    });
}

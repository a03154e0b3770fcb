//! Clients that keep the proxy busy do not keep it from serving others.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use garnetcrank_test_support::load_generator::pipeline_requests;
use garnetcrank_test_support::scripted_servers::{RunningProxy, request, wait_until};

use crate::common::{LOST_AFTER, proxy_setup};

const FLOOD_DURATION: Duration = Duration::from_secs(5);
/// Enough clients for each to have sent more by the time the proxy has answered the others.
const FLOODING_CLIENTS: usize = 150;
const REQUESTS_AT_ONCE: usize = 300;

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
            threads.spawn(|| pipeline_requests(proxy.address, REQUESTS_AT_ONCE, FLOOD_DURATION, &stop));
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

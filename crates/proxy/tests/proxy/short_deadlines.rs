//! Clients that give their requests too little time to be answered.

use std::time::Duration;

use garnetcrank_test_support::load_generator::{
    ClientLoad, USUAL_TIMEOUT, run_clients, start_endpoint_with_latency,
};
use garnetcrank_test_support::scripted_servers::RunningProxy;

use crate::common::proxy_setup;

const ENDPOINTS: usize = 4;
const ENDPOINT_LATENCY: Duration = Duration::from_millis(20);
/// With many instances, each may keep few requests in flight once it takes the endpoints for overloaded.
const INSTANCES: usize = 8;
const LOAD_DURATION: Duration = Duration::from_secs(4);

#[test]
fn requests_of_one_client_that_time_out_at_once_do_not_turn_other_clients_away() {
    let endpoints = [(); ENDPOINTS].map(|()| start_endpoint_with_latency(ENDPOINT_LATENCY));
    let (_discovery, _controller, mut setup) = proxy_setup(&endpoints);
    setup.settings["balancers"] = INSTANCES.into();
    for class in setup.settings["grades"].as_array_mut().expect("the settings have classes") {
        class["goalTime"] = 400.0.into();
        class["deadline"] = 1_200.0.into();
    }
    let proxy = RunningProxy::start(&setup);
    let hasty = ClientLoad { count: 1, interval: None, timeout: Duration::from_millis(1) };
    let usual = ClientLoad { count: 4, interval: Some(ENDPOINT_LATENCY), timeout: USUAL_TIMEOUT };
    let (hasty, usual) = std::thread::scope(|threads| {
        let hasty = threads.spawn(|| run_clients(proxy.address, hasty, LOAD_DURATION));
        let usual = run_clients(proxy.address, usual, LOAD_DURATION);
        (hasty.join().expect("the client does not panic"), usual)
    });
    assert!(hasty.latencies.is_empty() && hasty.other_statuses > 100, "{}", hasty.other_statuses);
    let served = usual.latencies.len();
    let failed = usual.other_statuses + usual.unanswered;
    assert!(served > 100 && failed == 0, "{served} served, {failed} not");
}

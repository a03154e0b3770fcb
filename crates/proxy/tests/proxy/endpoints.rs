//! Updates of the endpoint list: draining, changed addresses, polling and unusual lists.

use garnetcrank_test_support::scripted_servers::{
    RunningProxy, ScriptedEndpoint, endpoint_json, endpoint_list_json, request, wait_until,
};

use crate::common::{proxy_setup, respond_ok};

#[test]
fn a_draining_endpoint_gets_no_request_and_a_new_one_does() {
    let (old, new) = (ScriptedEndpoint::start(respond_ok("old")), ScriptedEndpoint::start(respond_ok("new")));
    let (discovery, _controller, setup) = proxy_setup(&[old.address]);
    let proxy = RunningProxy::start(&setup);
    let mut client = proxy.client();
    assert_eq!(client.get().body, b"old");
    let delta =
        [endpoint_json("s-0", old.address, 4, "Terminating"), endpoint_json("s-9", new.address, 4, "Ready")];
    discovery.publish(&endpoint_list_json(2, false, &delta), &endpoint_list_json(2, true, &delta));
    wait_until("responses from the new endpoint", || client.get().body == b"new");
    let sent = old.requests().len();
    for _ in 0..20 {
        assert_eq!(client.get().body, b"new");
    }
    assert_eq!(old.requests().len(), sent);
}

#[test]
fn an_endpoint_with_a_changed_address_is_reached_there() {
    let (before, after) =
        (ScriptedEndpoint::start(respond_ok("before")), ScriptedEndpoint::start(respond_ok("after")));
    let (discovery, _controller, setup) = proxy_setup(&[before.address]);
    let proxy = RunningProxy::start(&setup);
    let mut client = proxy.client();
    assert_eq!(client.get().body, b"before");
    let delta = [endpoint_json("s-0", after.address, 4, "Ready")];
    discovery.publish(&endpoint_list_json(2, false, &delta), &endpoint_list_json(2, true, &delta));
    wait_until("responses from the new address", || client.get().body == b"after");
}

#[test]
fn an_on_request_endpoint_list_is_polled() {
    let endpoint = ScriptedEndpoint::start(respond_ok("yes"));
    let (discovery, _controller, mut setup) = proxy_setup(&[endpoint.address]);
    setup.cached_list = endpoint_list_json(0, true, &[]);
    setup.settings["registryMode"] = "on_request".into();
    let proxy = RunningProxy::start(&setup);
    let mut client = proxy.client();
    wait_until("a response from an endpoint of the polled list", || {
        client.exchange(&request("GET", "/look", 9000, "")).is_some_and(|response| response.status() == 200)
    });
    assert!(!discovery.requested_targets().is_empty());
}

#[test]
fn duplicate_entries_empty_lists_and_older_revisions_are_handled() {
    let (first, second) =
        (ScriptedEndpoint::start(respond_ok("first")), ScriptedEndpoint::start(respond_ok("second")));
    let (discovery, _controller, setup) = proxy_setup(&[first.address]);
    let proxy = RunningProxy::start(&setup);
    let mut client = proxy.client();
    assert_eq!(client.get().body, b"first");
    // Of two entries for one endpoint the last one applies.
    let duplicates =
        [endpoint_json("s-0", first.address, 4, "Ready"), endpoint_json("s-0", second.address, 4, "Ready")];
    let update = endpoint_list_json(2, true, &duplicates);
    discovery.publish(&update, &update);
    wait_until("the last of two entries applies", || client.get().body == b"second");
    // With an empty list requests are rejected at once with 503, after which a retry is safe.
    let update = endpoint_list_json(3, true, &[]);
    discovery.publish(&update, &update);
    wait_until("a request is rejected", || client.get().status() == 503);
    // A delta of an older revision is ignored. A snapshot of one applies, as discovery may have restarted.
    let entry = [endpoint_json("s-0", first.address, 4, "Ready")];
    let (delta, snapshot) = (endpoint_list_json(1, false, &entry), endpoint_list_json(1, true, &entry));
    discovery.publish(&delta, &delta);
    discovery.publish("", &delta); // a heartbeat after the delta, so that the delta has been read
    for _ in 0..20 {
        assert_eq!(client.get().status(), 503);
    }
    discovery.publish(&snapshot, &snapshot);
    wait_until("the snapshot applies", || client.get().body == b"first");
    assert_eq!(
        discovery.requested_targets().len(),
        1,
        "the proxy reconnected after a valid list: {}",
        proxy.log()
    );
}

//! Endpoint lists: draining, moving, polling.

use garnetcrank_test_support::scripted_servers::{
    RunningProxy, ScriptedEndpoint, list, member, request, wait_until,
};

use crate::common::{ok, proxy_setup};

#[test]
fn a_draining_endpoint_gets_no_request_and_a_new_one_does() {
    let (old, new) = (ScriptedEndpoint::start(ok("old")), ScriptedEndpoint::start(ok("new")));
    let (discovery, _controller, setup) = proxy_setup(&[old.address]);
    let proxy = RunningProxy::start(&setup);
    let mut client = proxy.client();
    assert_eq!(client.get().body, b"old");
    let change = [member("s-0", old.address, 4, "Terminating"), member("s-9", new.address, 4, "Ready")];
    discovery.publish(&list(2, false, &change), &list(2, true, &change));
    wait_until("answers from the new machine", || client.get().body == b"new");
    let sent = old.requests().len();
    for _ in 0..20 {
        assert_eq!(client.get().body, b"new");
    }
    assert_eq!(old.requests().len(), sent);
}

#[test]
fn an_endpoint_that_moves_is_reached_at_its_new_address() {
    let (before, after) = (ScriptedEndpoint::start(ok("before")), ScriptedEndpoint::start(ok("after")));
    let (discovery, _controller, setup) = proxy_setup(&[before.address]);
    let proxy = RunningProxy::start(&setup);
    let mut client = proxy.client();
    assert_eq!(client.get().body, b"before");
    let change = [member("s-0", after.address, 4, "Ready")];
    discovery.publish(&list(2, false, &change), &list(2, true, &change));
    wait_until("answers from the new address", || client.get().body == b"after");
}

#[test]
fn a_list_that_must_be_polled_is_polled() {
    let endpoint = ScriptedEndpoint::start(ok("yes"));
    let (discovery, _controller, mut setup) = proxy_setup(&[endpoint.address]);
    setup.cached_list = list(0, true, &[]);
    setup.settings["registryMode"] = "on_request".into();
    let proxy = RunningProxy::start(&setup);
    let mut client = proxy.client();
    wait_until("an answer from a machine of the list", || {
        client.exchange(&request("GET", "/look", 9000, "")).is_some_and(|a| a.status() == 200)
    });
    assert!(!discovery.requested_targets().is_empty());
}

#[test]
fn unusual_lists_are_taken_literally() {
    let (first, second) = (ScriptedEndpoint::start(ok("first")), ScriptedEndpoint::start(ok("second")));
    let (discovery, _controller, setup) = proxy_setup(&[first.address]);
    let proxy = RunningProxy::start(&setup);
    let mut client = proxy.client();
    assert_eq!(client.get().body, b"first");
    // An entry that stands twice: the last entry counts.
    let twice = [member("s-0", first.address, 4, "Ready"), member("s-0", second.address, 4, "Ready")];
    let now = list(2, true, &twice);
    discovery.publish(&now, &now);
    wait_until("the last of two entries", || client.get().body == b"second");
    // A list of nothing: there is nowhere to send to, which is said at once and harmless to try again.
    let now = list(3, true, &[]);
    discovery.publish(&now, &now);
    wait_until("a refusal", || client.get().status() == 503);
    // A change of a revision that goes back says nothing; a whole list of one does, as discovery may have begun anew.
    let entry = [member("s-0", first.address, 4, "Ready")];
    let (change, whole) = (list(1, false, &entry), list(1, true, &entry));
    discovery.publish(&change, &change);
    discovery.publish("", &change); // a sign of life behind it, so that it has been read
    for _ in 0..20 {
        assert_eq!(client.get().status(), 503);
    }
    discovery.publish(&whole, &whole);
    wait_until("the machine of the whole list", || client.get().body == b"first");
    assert_eq!(
        discovery.requested_targets().len(),
        1,
        "none of these is a reason to connect anew: {}",
        proxy.log()
    );
}

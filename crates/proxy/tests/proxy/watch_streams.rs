//! Watch streams that become silent or corrupt.

use garnetcrank_test_support::scripted_servers::{
    RunningProxy, ScriptedEndpoint, endpoint_json, endpoint_list_json, rollout_event_json,
    rollout_state_json, wait_until,
};

use crate::common::{proxy_setup, respond_ok};

#[test]
fn silent_watch_streams_are_reconnected() {
    let endpoint = ScriptedEndpoint::start(respond_ok("yes"));
    let (discovery, controller, setup) = proxy_setup(&[endpoint.address]);
    let proxy = RunningProxy::start(&setup);
    discovery.set_silent(true);
    controller.set_silent(true);
    wait_until("both streams are logged as silent", || {
        let log = proxy.log();
        log.contains(r#"peer=discovery reason="no heartbeat""#)
            && log.contains(r#"peer=release-controller reason="no heartbeat""#)
    });
    let mut client = proxy.client();
    assert_eq!(client.get().status(), 200);
    discovery.set_silent(false);
    controller.set_silent(false);
    discovery.disconnect_all();
    controller.disconnect_all();
    wait_until("both streams are reconnected", || {
        proxy.log().matches("watch stream connected peer=discovery").count() > 1
            && proxy.log().matches("watch stream connected peer=release-controller").count() > 1
    });
    assert!(
        discovery.requested_targets().iter().all(|target| target.starts_with("/v1/servers?stream=1&index="))
    );
}

#[test]
fn an_unreadable_event_is_logged_and_the_stream_reconnected() {
    let endpoint = ScriptedEndpoint::start(respond_ok("yes"));
    let (discovery, controller, setup) = proxy_setup(&[endpoint.address]);
    let proxy = RunningProxy::start(&setup);
    let (discovery_requests, controller_requests) =
        (discovery.requested_targets().len(), controller.requested_targets().len());
    discovery.publish("{\"revision\":", &setup.cached_list);
    controller.publish("][", &rollout_event_json(&setup.rollout));
    wait_until("new connections", || {
        discovery.requested_targets().len() > discovery_requests
            && controller.requested_targets().len() > controller_requests
    });
    assert!(proxy.log().contains("unreadable endpoint list"));
    assert_eq!(proxy.client().get().status(), 200);
}

#[test]
fn a_repeatedly_corrupted_watch_still_delivers_the_list() {
    let (old, new) = (ScriptedEndpoint::start(respond_ok("old")), ScriptedEndpoint::start(respond_ok("new")));
    let (discovery, controller, setup) = proxy_setup(&[old.address]);
    let proxy = RunningProxy::start(&setup);
    let mut client = proxy.client();
    // The update before the corrupt bytes is valid and applies. All later connections are corrupt from their
    // first line.
    let update =
        [endpoint_json("s-0", old.address, 4, "Terminating"), endpoint_json("s-9", new.address, 4, "Ready")];
    discovery.publish_corrupt(&endpoint_list_json(2, false, &update), "][");
    controller.publish("][", "{\"type\":");
    wait_until("responses from the endpoint of the valid update", || client.get().body == b"new");
    wait_until("several corrupt connections to each server", || {
        discovery.requested_targets().len() > 4 && controller.requested_targets().len() > 4
    });
    let valid_list = endpoint_list_json(3, true, &[endpoint_json("s-0", old.address, 4, "Ready")]);
    discovery.publish("", &valid_list);
    controller.publish("", &rollout_event_json(&rollout_state_json(5, 0, "IN_PROGRESS", 0.5)));
    wait_until("a valid list applies again", || client.get().body == b"old");
    wait_until("a valid rollout state applies again", || proxy.log().contains("build 5 stage 0: OnTrial"));
}

//! Watch streams that fall silent or are corrupted.

use garnetcrank_test_support::scripted_servers::{
    RunningProxy, ScriptedEndpoint, list, member, progress, state, wait_until,
};

use crate::common::{ok, proxy_setup};

#[test]
fn silent_watch_streams_are_reconnected() {
    let endpoint = ScriptedEndpoint::start(ok("yes"));
    let (discovery, controller, setup) = proxy_setup(&[endpoint.address]);
    let proxy = RunningProxy::start(&setup);
    discovery.set_silent(true);
    controller.set_silent(true);
    wait_until("both are found silent", || {
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
    wait_until("both are connected again", || {
        proxy.log().matches("watch stream connected peer=discovery").count() > 1
            && proxy.log().matches("watch stream connected peer=release-controller").count() > 1
    });
    assert!(discovery.requested_targets().iter().all(|t| t.starts_with("/v1/servers?stream=1&index=")));
}

#[test]
fn an_unreadable_event_is_logged_and_the_stream_reconnected() {
    let endpoint = ScriptedEndpoint::start(ok("yes"));
    let (discovery, controller, setup) = proxy_setup(&[endpoint.address]);
    let proxy = RunningProxy::start(&setup);
    let (discovery_requests, controller_requests) =
        (discovery.requested_targets().len(), controller.requested_targets().len());
    discovery.publish("{\"revision\":", &setup.cached_list);
    controller.publish("][", &progress(&setup.rollout));
    wait_until("new connections", || {
        discovery.requested_targets().len() > discovery_requests
            && controller.requested_targets().len() > controller_requests
    });
    assert!(proxy.log().contains("unreadable endpoint list"));
    assert_eq!(proxy.client().get().status(), 200);
}

#[test]
fn a_repeatedly_corrupted_watch_still_delivers_the_list() {
    let (old, new) = (ScriptedEndpoint::start(ok("old")), ScriptedEndpoint::start(ok("new")));
    let (discovery, controller, setup) = proxy_setup(&[old.address]);
    let proxy = RunningProxy::start(&setup);
    let mut client = proxy.client();
    // What was whole before the noise stands, and every connection after it is corrupted from its first line on.
    let change = [member("s-0", old.address, 4, "Terminating"), member("s-9", new.address, 4, "Ready")];
    discovery.publish_corrupt(&list(2, false, &change), "][");
    controller.publish("][", "{\"type\":");
    wait_until("answers from the machine told before the noise", || client.get().body == b"new");
    wait_until("several connections, all corrupted", || {
        discovery.requested_targets().len() > 4 && controller.requested_targets().len() > 4
    });
    let back = list(3, true, &[member("s-0", old.address, 4, "Ready")]);
    discovery.publish("", &back);
    controller.publish("", &progress(&state(5, 0, "IN_PROGRESS", 0.5)));
    wait_until("the list is back", || client.get().body == b"old");
    wait_until("the platform's news is back", || proxy.log().contains("build 5 stage 0: OnTrial"));
}

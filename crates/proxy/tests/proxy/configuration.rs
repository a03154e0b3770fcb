//! The configuration file, at the start and at SIGHUP.

use std::net::TcpListener;
use std::process::Command;

use garnetcrank_test_support::scripted_servers::{
    RunningProxy, ScriptedEndpoint, ScriptedStream, free_address, list, member, program, progress, request,
    wait_until,
};

use crate::common::{ok, proxy_setup, run_rejected};

#[test]
fn an_invalid_configuration_is_named_and_nothing_starts() {
    let (discovery, controller, setup) = proxy_setup(&[]);
    let good = setup.config(free_address());
    let complaint = |text: &str| {
        let output = run_rejected(text);
        assert_eq!(output.status.code(), Some(2));
        String::from_utf8_lossy(&output.stderr).into_owned()
    };
    for (from, to, named) in [
        ("\"seed\":\"8c", "\"seed\":\"zz", "seed"),
        ("\"sockets\":1024", "\"sockets\":9", "limits.sockets"),
        ("\"memory_mb\":192", "\"memory_mb\":\"much\"", "limits.memory_mb"),
        ("\"mode\":\"COMPLETE\"", "\"mode\":\"ODD\"", "pipeline.news.mode"),
        ("\"listen\"", "\"gone\"", "listen"),
        ("\"discovery\"", "\"gone\"", "discovery"),
        ("\"known\"", "\"gone\"", "known"),
        ("\"connectTimeout\":250.0", "\"connectTimeout\":-1", "limits.connectTimeout"),
        ("\"voteMode\":\"timer\"", "\"voteMode\":\"dice\"", "specifics.voteMode"),
        ("\"maxAttempts\":3", "\"maxAttempts\":0", "limits.maxAttempts"),
    ] {
        assert!(good.contains(from), "{from} is not in the configuration");
        let message = complaint(&good.replace(from, to));
        assert!(message.contains(named), "{named} is not in {message:?}");
    }
    let output = Command::new(program()).env_clear().output();
    let output = output.expect("the program runs");
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("RELAY_CONFIG is not set"));
    drop((discovery, controller));
}

#[test]
fn an_address_in_use_is_reported() {
    let (_discovery, _controller, setup) = proxy_setup(&[]);
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    let output = run_rejected(&setup.config(taken.local_addr().expect("an address")));
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("listen: "));
}

#[test]
fn a_reload_moves_discovery_and_release_controller_under_load() {
    let (first, second) = (ScriptedEndpoint::start(ok("first")), ScriptedEndpoint::start(ok("second")));
    let (discovery, controller, mut setup) = proxy_setup(&[first.address]);
    // What the environment said at the start does not outlive the file.
    let proxy = RunningProxy::start_with(&setup, &[("RELAY_DISCOVERY", &discovery.address.to_string())]);
    let mut client = proxy.client();
    assert_eq!(client.get().body, b"first");
    for round in 2..5 {
        let endpoint = if round % 2 == 0 { &second } else { &first };
        let now = list(round, true, &[member("s-0", endpoint.address, 4, "Ready")]);
        let (to, platform_to) =
            (ScriptedStream::start(&now), ScriptedStream::start(&progress(&setup.rollout)));
        // The file itself holds the list and the state of the start, which are old by now.
        (setup.discovery, setup.controller) = (to.address, platform_to.address);
        proxy.reload(&setup.config(proxy.address));
        let expected: &[u8] = if round % 2 == 0 { b"second" } else { b"first" };
        wait_until("answers by the list of the new address", || client.get().body == expected);
        wait_until("news from the new platform", || !platform_to.requested_targets().is_empty());
        let asked = to.requested_targets();
        assert!(asked[0].ends_with(&format!("index={}", round - 1)), "{asked:?}");
    }
    let older = [member("s-0", free_address(), 4, "Ready")];
    setup.cached_list = list(1, true, &older);
    proxy.reload(&setup.config(proxy.address));
    wait_until("the fourth reload", || proxy.log().matches("reload: discovery at").count() == 4);
    for _ in 0..20 {
        assert_eq!((client.get().status(), client.get().body), (200, b"second".to_vec()));
    }
    assert_eq!(
        (discovery.requested_targets().len(), controller.requested_targets().len()),
        (1, 1),
        "the old addresses are let go"
    );
}

#[test]
fn a_silent_discovery_after_a_reload_is_reconnected_at_once() {
    let (old, new) = (ScriptedEndpoint::start(ok("old")), ScriptedEndpoint::start(ok("new")));
    let (_discovery, _controller, mut setup) = proxy_setup(&[old.address]);
    let proxy = RunningProxy::start(&setup);
    let mut client = proxy.client();
    assert_eq!(client.get().body, b"old");
    let moved = ScriptedStream::start(&list(2, true, &[member("s-9", new.address, 4, "Ready")]));
    moved.set_silent(true);
    setup.discovery = moved.address;
    proxy.reload(&setup.config(proxy.address));
    wait_until("the first connection there", || moved.requested_targets().len() == 1);
    moved.set_silent(false); // on connections to come
    wait_until("answers by the list of the new address", || client.get().body == b"new");
    assert!(
        proxy.log().contains(r#"peer=discovery reason="no byte on a new connection""#),
        "{}",
        proxy.log()
    );
    assert!(!proxy.log().contains(r#"peer=discovery reason="no heartbeat""#), "it waited for a heartbeat");
}

#[test]
fn an_invalid_reload_changes_nothing_and_is_named() {
    let endpoint = ScriptedEndpoint::start(ok("yes"));
    let (_discovery, _controller, mut setup) = proxy_setup(&[endpoint.address]);
    let proxy = RunningProxy::start(&setup);
    let good = setup.config(proxy.address);
    proxy.reload(&good.replace("\"listen\"", "\"gone\""));
    wait_until("the missing key is named", || {
        proxy.log().contains("reload: ") && proxy.log().contains("listen is missing")
    });
    proxy.reload("{\"name\"");
    wait_until("half a file is refused", || proxy.log().matches("all stays as it was").count() == 2);
    proxy.forget_config();
    wait_until("a missing file is refused", || proxy.log().matches("all stays as it was").count() == 3);
    setup.sockets = 512;
    proxy.reload(&setup.config(proxy.address));
    wait_until("what needs a restart is named", || {
        proxy.log().contains("limits.sockets: a new value counts from the next start on")
    });
    assert_eq!(proxy.client().get().status(), 200);
}

#[test]
fn settings_changed_by_a_reload_wait_for_the_next_start() {
    let endpoint = ScriptedEndpoint::start(ok("yes"));
    let (_discovery, _controller, mut setup) = proxy_setup(&[endpoint.address]);
    let proxy = RunningProxy::start(&setup);
    // Another customer's: the classes in another order and of other names, and a tenant of another name.
    for grade in setup.settings["grades"].as_array_mut().expect("classes") {
        grade["name"] = format!("other-{}", grade["name"].as_str().expect("a name")).into();
    }
    setup.settings["grades"].as_array_mut().expect("classes").reverse();
    setup.settings["tenants"][0]["name"] = "others".into();
    proxy.reload(&setup.config(proxy.address));
    wait_until("it is said", || {
        proxy.log().contains("reload: settings: a new value counts from the next start on")
    });
    let mut client = proxy.client();
    assert_eq!(client.get().status(), 200, "its own classes and tenants stand");
    let others = request("GET", "/other-look", 900, "").replace("Tenant: acme", "Tenant: others");
    assert_eq!(client.exchange(&others).expect("an answer").status(), 404);
    let own_class = request("GET", "/look", 900, "").replace("Tenant: acme", "Tenant: others");
    assert_eq!(proxy.client().exchange(&own_class).expect("an answer").status(), 400);
    assert_eq!(endpoint.requests().len(), 1, "what another deployment's settings name went to a machine");
    // The next start goes by them alone.
    drop(proxy);
    let proxy = RunningProxy::start(&setup);
    assert_eq!(proxy.client().exchange(&others).expect("an answer").status(), 200);
    assert_eq!(proxy.client().exchange(&request("GET", "/look", 900, "")).expect("an answer").status(), 404);
}
